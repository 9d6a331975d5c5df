//! Callers: which token goes with a call that is tried at a second address.

#![allow(clippy::unwrap_used)]

use azuretally_api::record::Outcome;
use azuretally_load::{
    core::{
        mix::{Mix, Operation},
        schedule::Due,
    },
    ops::{callers::Callers, direct::Shape, drive::Sender},
};
use parking_lot::Mutex;
use std::{net::SocketAddr, sync::Arc, time::Duration};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};

/// What a fake entry does with a call.
#[derive(Clone, Copy, PartialEq)]
enum Fake {
    Answer,
    BreakOff,
}

/// Takes connections, keeps the head of every request and treats each as `fake` says.
async fn entry(fake: Fake, heads: Arc<Mutex<Vec<String>>>) -> SocketAddr {
    serve(move |head| {
        heads.lock().push(head);
        let body = "till-0 token/5-0\n";
        let answer = format!(
            "HTTP/1.1 200 OK\r\nx-azuretally-outcome: answered\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        (fake == Fake::Answer).then_some(answer)
    })
    .await
}

async fn directions(body: String) -> SocketAddr {
    serve(move |_| Some(format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len())))
        .await
}

async fn serve<F>(answer: F) -> SocketAddr
where
    F: Fn(String) -> Option<String> + Send + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut buffer = vec![0; 4_096];
            let n = stream.read(&mut buffer).await.unwrap_or_default();
            let head = String::from_utf8_lossy(&buffer[..n]).into_owned();
            if let Some(text) = answer(head) {
                let _ = stream.write_all(text.as_bytes()).await;
            }
        }
    });
    address
}

fn direction(address: SocketAddr, token: &str) -> String {
    format!(r#"{{"host":"h","failure_domain":"d","address":"{address}","token":"{token}"}}"#)
}

fn shape() -> Shape {
    let sale = Operation {
        service: Arc::from("till"),
        name: Arc::from("till.sale"),
        class: Arc::from("urgent"),
        method: http::Method::POST,
        path: "/till/sale".to_owned(),
        idempotent: false,
        worth: 1.0,
        timeout: Duration::from_secs(2),
        weight: 1.0,
    };
    Shape { mix: Mix { operations: vec![sale] }, seed: 5, is_named: true }
}

/// Sends one sale to `first` with the token `first`, then to an entry that answers.
async fn tried_after(first: SocketAddr) -> (Outcome, String) {
    let heads = Arc::new(Mutex::new(Vec::new()));
    let second = entry(Fake::Answer, Arc::clone(&heads)).await;
    let (a, b) = (direction(first, "first"), direction(second, "second"));
    let body = format!(r#"{{"service":"till","ttl_ms":5000,"entries":[{a},{b}]}}"#);
    let callers = Callers::new(shape(), 1, vec![directions(body).await]);
    let call =
        Due { number: 0, at: Duration::ZERO, operation: 0, caller: 0, service: Duration::ZERO };
    let verdict = callers.send(&call).await;
    callers.close().await;
    let heads = heads.lock().clone();
    let head = heads.into_iter().next().unwrap_or_default();
    let key = head.lines().find_map(|l| l.strip_prefix("idempotency-key: ")).unwrap_or_default();
    (verdict.outcome, key.to_owned())
}

#[tokio::test]
async fn a_call_that_was_never_sent_takes_the_token_of_the_next_address() {
    let closed = TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap();
    assert_eq!(tried_after(closed).await, (Outcome::Answered, "second/5-0".to_owned()));
}

#[tokio::test]
async fn a_call_that_may_have_been_sent_keeps_its_token() {
    let broken = entry(Fake::BreakOff, Arc::default()).await;
    assert_eq!(tried_after(broken).await, (Outcome::Answered, "first/5-0".to_owned()));
}
