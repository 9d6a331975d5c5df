//! Connections of callers, as their server sees them.
#![allow(clippy::expect_used)]

use azuretally_gateway::socket::CallerStream;
use std::{
    io::ErrorKind,
    time::{Duration, Instant},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::sleep,
};

/// Time limit of the streams.
const STALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Time in which the kernel carries out a step on the loopback interface.
const STEP: Duration = Duration::from_millis(50);
/// Time within which a stream whose caller is known to be gone must end.
const END_TIME: Duration = Duration::from_secs(1);

/// A caller that closed its connection before its answer was taken for one that reads nothing, and
/// the connection was held until the time limit.
#[tokio::test]
async fn stream_ends_at_once_if_the_caller_closed_it_before_its_answer() {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a free port");
    let address = listener.local_addr().expect("bound");
    let caller = TcpStream::connect(address).await.expect("connected");
    let (stream, _) = listener.accept().await.expect("a connection");
    let mut stream = CallerStream::new(stream, STALL_TIMEOUT).expect("open");
    let state = stream.state();
    drop(caller);
    sleep(STEP).await;
    stream.write_all(&[b'a'; 100]).await.expect("the sending side is open");
    sleep(STEP).await;
    assert_eq!(stream.read(&mut [0; 1]).await.ok(), Some(0));
    let start = Instant::now();
    let _ = stream.shutdown().await;
    let elapsed = start.elapsed();
    drop(stream);
    assert!(elapsed < END_TIME, "ended after {elapsed:?}");
    let failure = state.failure();
    assert!(failure.is_some_and(|kind| kind != ErrorKind::TimedOut), "{failure:?}");
    assert_eq!(state.undelivered_bytes(), 100);
}
