//! Checks of the reach and of targets at a gateway that is late itself: its event loop gets to the answers
//! only after the time for them is over.
#![allow(clippy::expect_used)]

mod answering;
// Other test binaries use the rest of the modules.
#[allow(dead_code)]
mod raw;
#[allow(dead_code)]
mod stub;

use answering::start_target;
use azuretally_gateway::{gateway::Gateway, native::NativeAdapter};
use azuretally_policy::balance::{Phase, Probe, ProbeResult, ProcessId, TargetRecord};
use raw::{Node, run_local};
use std::{
    net::TcpListener,
    thread,
    time::{Duration, Instant},
};
use tokio::{
    task::{JoinSet, yield_now},
    time::sleep,
};

/// Tasks that are always ready, and the time that each of them takes in a turn of the event loop.
const TASKS: usize = 300;
const WORK: Duration = Duration::from_millis(1);
/// Time for which that goes on; several checks begin in it.
const BUSY: Duration = Duration::from_secs(4);
/// Time after which a gateway whose checks fail on time has found itself cut off.
const DETECTION: Duration = Duration::from_millis(1_500);

/// Records that the only target has not answered a probe, which calls for a check of the reach.
fn fail_probe(gateway: &Gateway<NativeAdapter>) {
    let TargetRecord { service, name, started, address, .. } = stub::target(0, 1);
    let process = ProcessId::new(&name, started);
    let probe =
        Probe { service, process, target: name, address, limit: None, resting: false, cold: false };
    gateway.balancer.borrow_mut().probe_ended(gateway.clock.now(), &probe, ProbeResult::NoAnswer);
    gateway.target_failed.notify_one();
}

/// Holds up all other tasks.
async fn work() {
    let start = Instant::now();
    while start.elapsed() < BUSY {
        thread::sleep(WORK);
        yield_now().await;
    }
}

/// Guards against a gateway with too much to do that takes itself for cut off from all targets and relays
/// its calls, although its targets answer: they reach targets after their callers have left.
#[tokio::test]
async fn gateway_that_is_late_itself_does_not_count_as_cut_off() {
    run_local(async {
        let node = Node::start(&[start_target()]).await;
        let gateway = &node.gateway;
        let mut busy = JoinSet::new();
        for _ in 0..TASKS {
            busy.spawn_local(work());
        }
        while busy.try_join_next().is_none() {
            fail_probe(gateway);
            sleep(Duration::from_millis(50)).await;
            assert_ne!(gateway.membership.borrow().phase(), Phase::Detached);
        }
    })
    .await;
}

/// A gateway that is on time and gets no answer is cut off.
#[tokio::test]
async fn gateway_whose_checks_fail_on_time_counts_as_cut_off() {
    run_local(async {
        let silent = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let node = Node::start(&[silent.local_addr().expect("bound")]).await;
        fail_probe(&node.gateway);
        sleep(DETECTION).await;
        assert_eq!(node.gateway.membership.borrow().phase(), Phase::Detached);
    })
    .await;
}
