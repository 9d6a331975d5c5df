//! The stand-ins themselves, since every other test relies upon what they count.

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

const IMPATIENT: Duration = Duration::from_millis(300);

/// One target behind a link, in this process.
struct Pair {
    link: Arc<Link>,
    address: SocketAddr,
    control: SocketAddr,
    caller: Caller,
    _network: Network,
    _stop: DropGuard,
}

async fn pair(options: &TargetOptions) -> Pair {
    let network = Network::reserve();
    let stop = CancellationToken::new();
    let target = network.address(2, 9_000);
    let control = network.address(2, 8_999);
    let fleet = TargetGroup::bind("till", 1, target, options).unwrap();
    tokio::spawn(fleet.run(Some(listen(control).unwrap()), stop.clone()));
    let address = network.address(3, 9_000);
    let link = Arc::new(Link::new(target));
    tokio::spawn(Arc::clone(&link).run(listen(address).unwrap(), stop.clone()));
    let _stop = stop.drop_guard();
    Pair { link, address, control, caller: Caller::default(), _network: network, _stop }
}

impl Pair {
    async fn call(&self, id: &str) -> Result<Reply, CallError> {
        let call = Call::post("/till/sale", id, "voucher").client_timeout(IMPATIENT);
        self.caller.call(self.address, &call).await
    }

    async fn faults(&self, faults: TargetFaults) {
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

fn quick() -> TargetOptions {
    TargetOptions {
        service_time: Duration::from_millis(1),
        connect_time: Duration::ZERO,
        ..TargetOptions::default()
    }
}

#[tokio::test]
async fn target_echoes_and_counts() {
    let pair = pair(&quick()).await;
    let reply = pair.call("k1").await.unwrap();
    let (line, rest) = reply.echo_parts();
    assert_eq!((line.as_str(), &rest[..]), ("till k1", &b"voucher"[..]));
    assert_eq!(pair.starts("k1").await, 1);
}

#[tokio::test]
async fn target_refuses_without_running_when_full() {
    let distribution = Distribution::Fixed;
    let options =
        TargetOptions { service_time: DEFAULT_TIMEOUT, slots: 1, distribution, ..quick() };
    let pair = pair(&options).await;
    let (caller, address) = (pair.caller.clone(), pair.address);
    let first =
        tokio::spawn(
            async move { caller.call(address, &Call::get("/till/balance", "first")).await },
        );
    eventually("the slot is taken", DEFAULT_TIMEOUT, async || {
        (pair.starts("first").await == 1).then_some(())
    })
    .await;
    let reply = pair.call("second").await.unwrap();
    assert_eq!(reply.header("x-target-refused"), Some("busy"));
    assert_eq!(pair.starts("second").await, 0);
    first.abort();
}

#[tokio::test]
async fn target_stops_working_when_the_caller_goes() {
    let pair = pair(&quick()).await;
    pair.faults(TargetFaults { hang: true, ..TargetFaults::default() }).await;
    for i in 0..3 {
        // Two slots: the third call finds one only when the first two were cancelled.
        let id = format!("k{i}");
        assert_eq!(pair.call(&id).await.unwrap_err(), CallError::Timeout);
        assert_eq!(pair.starts(&id).await, 1);
    }
}

#[tokio::test]
async fn target_cuts_an_answer_short() {
    let pair = pair(&quick()).await;
    let cut = TargetFaults { cut_answer_after_bytes: Some(3), ..TargetFaults::default() };
    pair.faults(cut).await;
    assert_eq!(pair.call("k1").await.unwrap_err(), CallError::Broken);
}

#[tokio::test]
async fn link_cut_breaks_open_connections_and_refuses_new_ones() {
    let pair = pair(&quick()).await;
    pair.call("k1").await.unwrap();
    pair.link.set_faults(Faults { cut: true, ..Faults::default() });
    pair.call("k2").await.unwrap_err();
    pair.link.set_faults(Faults::default());
    eventually("the link works again", DEFAULT_TIMEOUT, async || pair.call("k3").await.ok()).await;
    assert_eq!(pair.starts("k2").await, 0);
}

#[tokio::test]
async fn link_silences_open_connections_for_good_while_new_ones_work() {
    let pair = pair(&quick()).await;
    pair.call("k1").await.unwrap();
    pair.link.set_faults(Faults { silence_open: true, ..Faults::default() });
    assert_eq!(pair.call("k2").await.unwrap_err(), CallError::Timeout);
    pair.call("k3").await.unwrap();
    assert_eq!(pair.starts("k2").await, 0);
}

#[tokio::test]
async fn link_drops_one_direction() {
    let pair = pair(&quick()).await;
    pair.link.set_faults(Faults { drop_backward: true, ..Faults::default() });
    assert_eq!(pair.call("k1").await.unwrap_err(), CallError::Timeout);
    assert_eq!(pair.starts("k1").await, 1);
    pair.link.set_faults(Faults { drop_forward: true, ..Faults::default() });
    assert_eq!(pair.call("k2").await.unwrap_err(), CallError::Timeout);
    assert_eq!(pair.starts("k2").await, 0);
}

#[test]
fn platform_orders_operators() {
    let platform = Platform::new("a", HostList::default());
    assert_eq!(platform.write_settings("b", Some(1)), Ok(2));
    assert!(platform.write_settings("c", Some(1)).is_err());
    assert_eq!(platform.write_settings("c", None), Ok(3));
}
