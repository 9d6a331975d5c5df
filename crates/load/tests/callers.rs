//! Tokens of calls that are sent to a second entry after the first attempt failed.
//!
//! A call that may have been executed must keep its token, or it could run a second time under
//! another one. A call that was never sent must use the token of the entry that receives it.

#![allow(clippy::unwrap_used)]

use azuretally_api::record::Outcome;
use azuretally_load::{
    core::{
        mix::{Mix, Operation},
        schedule::ScheduledCall,
    },
    ops::{callers::Callers, direct::RequestTemplate, open_loop::CallSender},
};
use parking_lot::Mutex;
use std::{net::SocketAddr, sync::Arc, time::Duration};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};

/// Behaviour of a fake entry.
#[derive(Clone, Copy, PartialEq)]
enum FakeEntry {
    Answer,
    CloseConnection,
}

/// Starts a fake entry that records the head of every request in `heads`.
async fn start_entry(fake: FakeEntry, heads: Arc<Mutex<Vec<String>>>) -> SocketAddr {
    serve(move |head| {
        heads.lock().push(head);
        let body = "till-0 token/5-0\n";
        let answer = format!(
            "HTTP/1.1 200 OK\r\nx-azuretally-outcome: answered\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        (fake == FakeEntry::Answer).then_some(answer)
    })
    .await
}

/// Starts a server that answers every lookup of directions with `body`.
async fn start_directions(body: String) -> SocketAddr {
    serve(move |_| Some(format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len())))
        .await
}

/// Accepts connections, sends the answer to the first request of each, if there is one, and closes
/// the connection.
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

fn template() -> RequestTemplate {
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
    RequestTemplate { mix: Mix { operations: vec![sale] }, seed: 5, has_id: true }
}

/// Sends one call with directions to `first` (token `first`) and to an entry that answers (token
/// `second`). Returns the outcome and the idempotency key that the second entry received.
async fn send_with_first_entry(first: SocketAddr) -> (Outcome, String) {
    let heads = Arc::new(Mutex::new(Vec::new()));
    let second = start_entry(FakeEntry::Answer, Arc::clone(&heads)).await;
    let (a, b) = (direction(first, "first"), direction(second, "second"));
    let body = format!(r#"{{"service":"till","ttl_ms":5000,"entries":[{a},{b}]}}"#);
    let callers = Callers::new(template(), 1, vec![start_directions(body).await]);
    let call = ScheduledCall {
        number: 0,
        at: Duration::ZERO,
        operation: 0,
        caller: 0,
        service_time: Duration::ZERO,
    };
    let result = callers.send(&call).await;
    callers.close().await;
    let heads = heads.lock().clone();
    let head = heads.into_iter().next().unwrap_or_default();
    let key = head.lines().find_map(|l| l.strip_prefix("idempotency-key: ")).unwrap_or_default();
    (result.outcome, key.to_owned())
}

#[tokio::test]
async fn a_call_that_was_never_sent_uses_the_token_of_the_next_entry() {
    let closed = TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap();
    assert_eq!(send_with_first_entry(closed).await, (Outcome::Answered, "second/5-0".to_owned()));
}

#[tokio::test]
async fn a_call_that_may_have_been_sent_keeps_its_token() {
    let broken = start_entry(FakeEntry::CloseConnection, Arc::default()).await;
    assert_eq!(send_with_first_entry(broken).await, (Outcome::Answered, "first/5-0".to_owned()));
}
