//! Large answers beside small ones, with callers that read slowly.
#![allow(clippy::expect_used)]

mod raw;
mod stub;

use raw::{Node, TIMEOUT, accept, listen, read_until, run_local};
use std::time::Duration;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpSocket, TcpStream},
    task::spawn_local,
    time::{sleep, timeout},
};

/// Answers above the size up to which one is buffered, and below it.
const LARGE_BYTES: usize = 400_000;
const MEDIUM_BYTES: usize = 90_000;
/// Callers of each size that read nothing at first.
const SLOW_CALLERS: usize = 10;
/// Receive buffer of such a caller.
const RECEIVE_BYTES: u32 = 8_192;

/// Answers calls with as many bytes as the last part of their path says.
async fn serve(listener: TcpListener) {
    loop {
        let (request, mut stream) = accept(&listener).await;
        let size = request.split([' ', '/']).find_map(|part| part.parse::<usize>().ok());
        spawn_local(async move {
            let size = size.unwrap_or_default();
            let head = format!(
                "HTTP/1.1 200 OK\r\nconnection: close\r\nx-azuretally-call: a\r\n\
                 content-length: {size}\r\n\r\n"
            );
            stream.write_all(head.as_bytes()).await.expect("head sent");
            stream.write_all(&vec![b'x'; size]).await.expect("body sent");
        });
    }
}

async fn slow_call(node: &Node, size: usize) -> TcpStream {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(RECEIVE_BYTES).expect("an open socket");
    let mut caller = socket.connect(node.calls).await.expect("the gateway listens");
    let request = format!(
        "GET /check/{size} HTTP/1.1\r\nhost: test\r\nx-azuretally-call: a\r\n\
         x-azuretally-timeout-ms: 10000\r\n\r\n"
    );
    caller.write_all(request.as_bytes()).await.expect("request sent");
    // The call has reached its target, whose only slot is free again once the answer has begun.
    let mut status = [0; 12];
    timeout(TIMEOUT, caller.read_exact(&mut status)).await.expect("in time").expect("a status");
    assert_eq!(&status, b"HTTP/1.1 200");
    caller
}

/// Guards against small answers that wait behind large ones which nobody reads, and against large answers that
/// are cut off because their callers are slow.
#[tokio::test]
async fn small_answers_pass_large_ones_that_are_read_slowly() {
    run_local(async {
        let (listener, address) = listen().await;
        spawn_local(serve(listener));
        let node = Node::start(&[address]).await;
        let mut callers = Vec::new();
        for _ in 0..SLOW_CALLERS {
            for size in [LARGE_BYTES, MEDIUM_BYTES] {
                callers.push((size, slow_call(&node, size).await));
            }
        }
        for _ in 0..SLOW_CALLERS {
            let mut small = node.call("/check/4").await;
            let response = read_until(&mut small, "xxxx").await;
            assert!(response.starts_with("HTTP/1.1 200"), "{response}");
        }
        for (size, mut caller) in callers {
            let mut text = Vec::new();
            let mut buffer = [0; 65_536];
            while text.iter().rev().take_while(|b| **b == b'x').count() < size {
                let read = timeout(TIMEOUT, caller.read(&mut buffer)).await.expect("in time");
                let read = read.expect("an open connection");
                assert_ne!(read, 0, "the answer was cut off");
                text.extend_from_slice(&buffer[..read]);
                sleep(Duration::from_millis(1)).await;
            }
        }
    })
    .await;
}
