//! A gateway that is busier than the others asks some of its callers to connect anew.
#![allow(clippy::expect_used)]

mod answering;
mod peer;
// Other test binaries use the rest of the modules.
#[allow(dead_code)]
mod raw;
#[allow(dead_code)]
mod stub;

use answering::start_target;
use azuretally_policy::balance::{Build, GatewayLoad, Heartbeat, MESSAGE_GENERATION, Message};
use peer::{PEER_CAPACITY, heartbeat_of};
use raw::{Node, read_until, run_local};
use std::{
    net::{IpAddr, SocketAddr},
    sync::Arc,
};
use tokio::io::AsyncWriteExt;

/// Thousandths of a core that the host of the gateway has, as has that of the other one.
const CAPACITY: u32 = PEER_CAPACITY;
const CALLS: usize = 8;

/// Lets `node` know another gateway of its size and failure domain, which uses `used`.
fn receive_peer(node: &Node, used: u32) {
    let ip = IpAddr::from([127, 0, 0, 77]);
    let heartbeat = Heartbeat {
        sequence: u64::from(used),
        build: Build { generation: MESSAGE_GENERATION, version: Arc::from("") },
        load: GatewayLoad { used, interval_ms: 0 },
        ..heartbeat_of(SocketAddr::new(ip, 80))
    };
    let now = node.gateway.clock.now();
    let mut membership = node.gateway.membership.borrow_mut();
    membership.receive(now, ip, Message::Heartbeat(heartbeat));
    membership.set_load(CAPACITY);
    membership.tick(now);
}

/// Makes calls on one connection as long as it lasts. Returns how many ended their connection.
async fn make_calls(node: &Node) -> usize {
    let request = "GET /check/1 HTTP/1.1\r\nhost: test\r\nx-azuretally-call: a\r\n\r\n";
    let mut ended = 0;
    let mut caller = node.call("/check/1").await;
    for call in 1..=CALLS {
        let answer = read_until(&mut caller, "\r\n\r\n").await.to_ascii_lowercase();
        assert!(answer.starts_with("http/1.1 200"), "{answer}");
        let is_last = answer.contains("connection: close");
        ended += usize::from(is_last);
        if call == CALLS {
            break;
        }
        match is_last {
            true => caller = node.call("/check/1").await,
            false => caller.write_all(request.as_bytes()).await.expect("the connection is open"),
        }
    }
    ended
}

/// Guards against callers that stay at a gateway that is falling behind, since they keep their connections.
#[tokio::test]
async fn some_answers_of_the_busiest_gateway_are_the_last_on_their_connection() {
    run_local(async {
        let node = Node::start(&[start_target()]).await;
        receive_peer(&node, CAPACITY / 4);
        node.gateway.update_load_shares();
        assert_eq!(make_calls(&node).await, CALLS / 4);
        receive_peer(&node, CAPACITY);
        node.gateway.update_load_shares();
        assert_eq!(make_calls(&node).await, 0, "the other one is as busy");
    })
    .await;
}
