//! Ordinary requests, one at a time, at each port, and the largest one.

use super::{
    call::{Answer, Call},
    deployment::{DESCRIPTORS, Deployment, MAX_BODY_BYTES, ROUTE},
};
use azuretally_gateway::native::{DIRECTIONS_PATH, READINESS_PATH};
use std::{io, net::SocketAddr, time::Duration};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{Instant, sleep, timeout},
};

/// Path of catalog updates for other gateways.
pub(crate) const NEWS_PATH: &str = "/news";
/// Time within which an ordinary request is answered, its repetitions included.
const SERVED_TIMEOUT: Duration = Duration::from_secs(10);
/// Time that a caller waits for the answer to one try.
const TRY_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause before a request is sent again.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Size of the body of an ordinary call with a body.
const BODY_BYTES: usize = 2_000;

/// Checks that an ordinary request is answered at each port.
pub(crate) async fn assert_served(deployment: &Deployment) {
    let get = |path: &str| format!("GET {path} HTTP/1.1\r\nhost: test\r\n\r\n").into_bytes();
    let call = Call::new("ordinary", ROUTE);
    let with_body = Call::new("ordinary", ROUTE).body(BODY_BYTES);
    let mut request = with_body.head().into_bytes();
    request.resize(request.len() + BODY_BYTES, b'x');
    let requests = [
        (deployment.gateway.calls, call.head().into_bytes()),
        (deployment.gateway.calls, request),
        (deployment.readiness(), get(READINESS_PATH)),
        (deployment.directions(), get(DIRECTIONS_PATH)),
        (deployment.peers(), get(NEWS_PATH)),
    ];
    for (address, request) in requests {
        assert_answered(deployment, address, &request).await;
    }
}

/// Sends `request` until it is answered.
async fn assert_answered(deployment: &Deployment, address: SocketAddr, request: &[u8]) {
    let start = Instant::now();
    loop {
        let answer = timeout(TRY_TIMEOUT, exchange(address, request)).await;
        if matches!(&answer, Ok(Ok(answer)) if answer.status == 200) {
            return;
        }
        assert!(
            start.elapsed() < SERVED_TIMEOUT,
            "not served: {}, last: {answer:?}\n{}",
            String::from_utf8_lossy(&request[..request.len().min(60)]),
            deployment.gateway.notable_log(),
        );
        sleep(RETRY_DELAY).await;
    }
}

async fn exchange(address: SocketAddr, request: &[u8]) -> io::Result<Answer> {
    let mut stream = TcpStream::connect(address).await?;
    stream.write_all(request).await?;
    read_answer(&mut stream).await
}

async fn read_answer(stream: &mut TcpStream) -> io::Result<Answer> {
    let mut received = Vec::new();
    loop {
        if let Some(answer) = Answer::take(&mut received) {
            return Ok(answer);
        }
        if stream.read_buf(&mut received).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
}

/// A limit on what callers may hold must not refuse the largest call that the settings allow while
/// nobody else calls.
#[tokio::test]
async fn body_of_the_largest_size_is_served() {
    let deployment = Deployment::start().await;
    let body = usize::try_from(MAX_BODY_BYTES).expect("fits");
    for size in [250_000, 262_144, body] {
        let call = Call::new(&format!("call-{size}"), ROUTE).body(size);
        let mut stream = TcpStream::connect(deployment.gateway.calls).await.expect("connected");
        stream.write_all(call.head().as_bytes()).await.expect("sent");
        let piece = vec![b'x'; 65_536];
        let mut left = size;
        while left > 0 {
            let length = left.min(piece.len());
            stream.write_all(&piece[..length]).await.expect("sent");
            left -= length;
        }
        let answer = timeout(SERVED_TIMEOUT, read_answer(&mut stream)).await;
        let answer = answer.expect("in time").expect("answered");
        assert!(answer.is_whole(&call), "{answer}\n{}", deployment.gateway.notable_log());
    }
    deployment.finish(DESCRIPTORS).await;
}
