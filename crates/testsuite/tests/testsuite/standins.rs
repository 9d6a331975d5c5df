//! The stand-ins themselves, since all other tests rely on their counters and faults.

use azuretally_api::platform::HostList;
use azuretally_standin::{
    http::listen,
    platform::Platform,
    proxy::{Faults, Link},
    target::{Distribution, Faults as TargetFaults, GroupReport, TargetGroup, TargetOptions},
};
use azuretally_testsuite::{Call, CallError, Caller, DEFAULT_TIMEOUT, Network, Reply, eventually};
use std::{net::SocketAddr, sync::Arc, time::Duration};
use tokio_util::sync::{CancellationToken, DropGuard};

const CLIENT_TIMEOUT: Duration = Duration::from_millis(300);

/// A target in this process, reached through a link.
struct LinkedTarget {
    link: Arc<Link>,
    address: SocketAddr,
    control: SocketAddr,
    caller: Caller,
    _network: Network,
    _stop: DropGuard,
}

async fn linked_target(options: &TargetOptions) -> LinkedTarget {
    let network = Network::reserve();
    let stop = CancellationToken::new();
    let target = network.address(2, 9_000);
    let control = network.address(2, 8_999);
    let group = TargetGroup::bind("till", 1, target, options).unwrap();
    tokio::spawn(group.run(Some(listen(control).unwrap()), stop.clone()));
    let address = network.address(3, 9_000);
    let link = Arc::new(Link::new(target));
    tokio::spawn(Arc::clone(&link).run(listen(address).unwrap(), stop.clone()));
    let _stop = stop.drop_guard();
    LinkedTarget { link, address, control, caller: Caller::default(), _network: network, _stop }
}

impl LinkedTarget {
    async fn call(&self, id: &str) -> Result<Reply, CallError> {
        let call = Call::post("/till/sale", id, "voucher").client_timeout(CLIENT_TIMEOUT);
        self.caller.call(self.address, &call).await
    }

    async fn set_faults(&self, faults: TargetFaults) {
        let body = serde_json::to_vec(&faults).unwrap();
        let call = Call::post("/faults", "-", body);
        assert!(self.caller.call(self.control, &call).await.unwrap().status.is_success());
    }

    async fn starts(&self, id: &str) -> u64 {
        let reply = self.caller.call(self.control, &Call::get("/runs", "-")).await.unwrap();
        let report: GroupReport = serde_json::from_slice(&reply.body).unwrap();
        report.runs.get(id).map_or(0, |r| r.starts)
    }
}

fn fast_options() -> TargetOptions {
    TargetOptions {
        service_time: Duration::from_millis(1),
        connect_time: Duration::ZERO,
        ..TargetOptions::default()
    }
}

#[tokio::test]
async fn target_echoes_the_body_and_counts_the_run() {
    let linked_target = linked_target(&fast_options()).await;
    let reply = linked_target.call("k1").await.unwrap();
    let (line, rest) = reply.echo_parts();
    assert_eq!((line.as_str(), &rest[..]), ("till k1", &b"voucher"[..]));
    assert_eq!(linked_target.starts("k1").await, 1);
}

#[tokio::test]
async fn full_target_refuses_without_running() {
    let distribution = Distribution::Fixed;
    let options =
        TargetOptions { service_time: DEFAULT_TIMEOUT, slots: 1, distribution, ..fast_options() };
    let linked_target = linked_target(&options).await;
    let (caller, address) = (linked_target.caller.clone(), linked_target.address);
    let first =
        tokio::spawn(
            async move { caller.call(address, &Call::get("/till/balance", "first")).await },
        );
    eventually("the slot is taken", DEFAULT_TIMEOUT, async || {
        (linked_target.starts("first").await == 1).then_some(())
    })
    .await;
    let reply = linked_target.call("second").await.unwrap();
    assert_eq!(reply.header("x-target-refused"), Some("busy"));
    assert_eq!(linked_target.starts("second").await, 0);
    first.abort();
}

#[tokio::test]
async fn target_frees_its_slot_when_the_caller_disconnects() {
    let linked_target = linked_target(&fast_options()).await;
    linked_target.set_faults(TargetFaults { hang: true, ..TargetFaults::default() }).await;
    for i in 0..3 {
        // The target has two slots, so the third call starts only if the first two were cancelled.
        let id = format!("k{i}");
        assert_eq!(linked_target.call(&id).await.unwrap_err(), CallError::Timeout);
        assert_eq!(linked_target.starts(&id).await, 1);
    }
}

#[tokio::test]
async fn target_truncates_a_response() {
    let linked_target = linked_target(&fast_options()).await;
    let cut = TargetFaults { cut_answer_after_bytes: Some(3), ..TargetFaults::default() };
    linked_target.set_faults(cut).await;
    assert_eq!(linked_target.call("k1").await.unwrap_err(), CallError::Broken);
}

#[tokio::test]
async fn link_cut_resets_open_connections_and_refuses_new_ones() {
    let linked_target = linked_target(&fast_options()).await;
    linked_target.call("k1").await.unwrap();
    linked_target.link.set_faults(Faults { cut: true, ..Faults::default() });
    linked_target.call("k2").await.unwrap_err();
    linked_target.link.set_faults(Faults::default());
    eventually("the link works again", DEFAULT_TIMEOUT, async || {
        linked_target.call("k3").await.ok()
    })
    .await;
    assert_eq!(linked_target.starts("k2").await, 0);
}

#[tokio::test]
async fn link_silences_open_connections_but_not_new_ones() {
    let linked_target = linked_target(&fast_options()).await;
    linked_target.call("k1").await.unwrap();
    linked_target.link.set_faults(Faults { silence_open: true, ..Faults::default() });
    assert_eq!(linked_target.call("k2").await.unwrap_err(), CallError::Timeout);
    linked_target.call("k3").await.unwrap();
    assert_eq!(linked_target.starts("k2").await, 0);
}

#[tokio::test]
async fn link_drops_one_direction() {
    let linked_target = linked_target(&fast_options()).await;
    linked_target.link.set_faults(Faults { drop_backward: true, ..Faults::default() });
    assert_eq!(linked_target.call("k1").await.unwrap_err(), CallError::Timeout);
    assert_eq!(linked_target.starts("k1").await, 1);
    linked_target.link.set_faults(Faults { drop_forward: true, ..Faults::default() });
    assert_eq!(linked_target.call("k2").await.unwrap_err(), CallError::Timeout);
    assert_eq!(linked_target.starts("k2").await, 0);
}

#[test]
fn platform_refuses_a_write_with_an_outdated_revision() {
    let platform = Platform::new("a", HostList::default());
    assert_eq!(platform.write_settings("b", Some(1)), Ok(2));
    assert!(platform.write_settings("c", Some(1)).is_err());
    assert_eq!(platform.write_settings("c", None), Ok(3));
}
