//! A target that does not answer while its slots and its queue are occupied.
#![allow(clippy::expect_used)]

mod raw;
mod stub;

use raw::{Node, accept, listen, read_until, run_local};
use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};
use tokio::{
    io::AsyncWriteExt,
    net::{TcpListener, TcpStream},
    task::spawn_local,
    time::sleep,
};

/// Longer than a call takes to reach the target.
const ARRIVAL_TIME: Duration = Duration::from_millis(100);

/// Target with one slot. While it is full it neither answers calls nor closes their connections.
#[derive(Clone, Default)]
struct FullTarget {
    is_full: Rc<Cell<bool>>,
    /// Calls that have arrived.
    calls: Rc<RefCell<Vec<String>>>,
}

impl FullTarget {
    async fn serve(self, listener: TcpListener) {
        loop {
            let (request, stream) = accept(&listener).await;
            spawn_local(self.clone().answer(request, stream));
        }
    }

    async fn answer(self, request: String, mut stream: TcpStream) {
        let is_full = self.is_full.get();
        let load = if is_full { "1,1,1" } else { "0,0,1" };
        let mut call = "";
        if !request.contains(" /load ") {
            self.calls.borrow_mut().push(request.lines().next().unwrap_or_default().to_owned());
            if is_full {
                // The connection stays open, and carries no further request.
                let further = read_until(&mut stream, "HTTP/1.1").await;
                assert_eq!(further, "", "a request after one that is unanswered");
                return;
            }
            call = "x-azuretally-call: a\r\n";
        }
        let answer = format!(
            "HTTP/1.1 200 OK\r\nconnection: close\r\n{call}x-target-load: {load}\r\n\
             content-length: 4\r\n\r\ndone"
        );
        stream.write_all(answer.as_bytes()).await.expect("answer sent");
    }
}

/// The slot of a call that its full target had never accepted was lost until the call's deadline: calls that
/// waited for it were refused.
#[tokio::test]
async fn call_that_a_full_target_never_accepted_leaves_its_slot_to_others() {
    run_local(async {
        let (listener, address) = listen().await;
        let target = FullTarget::default();
        spawn_local(target.clone().serve(listener));
        let node = Node::start(&[address]).await;
        let mut first = node.call("/sale/first").await;
        assert!(read_until(&mut first, "done").await.starts_with("HTTP/1.1 200"));
        target.is_full.set(true);
        let mut lost = node.call("/sale/lost").await;
        sleep(ARRIVAL_TIME).await;
        assert_eq!(target.calls.borrow().len(), 2, "the call was sent");
        target.is_full.set(false);
        let mut waiting = node.call("/sale/waiting").await;
        let response = read_until(&mut waiting, "\r\n\r\n").await;
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
        let metrics = node.gateway.metrics.encode();
        assert!(metrics.contains("kind=\"unaccepted\"} 1"), "{metrics}");
        // It may run all the same.
        let response = read_until(&mut lost, "\r\n\r\n").await;
        assert!(response.contains("x-azuretally-outcome: unknown"), "{response}");
        let calls = target.calls.borrow();
        assert_eq!(calls.iter().filter(|c| c.contains("/sale/lost")).count(), 1, "{calls:?}");
    })
    .await;
}
