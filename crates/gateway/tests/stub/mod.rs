//! Settings and target records for tests that run without a platform.

use azuretally_gateway::{gateway::Gateway, native::NativeAdapter, settings::Settings};
use azuretally_policy::balance::{Probe, ProbeResult, ProcessId, TargetRecord};
use std::{net::SocketAddr, path::Path, sync::Arc, time::Duration};

/// Returns settings whose addresses are placeholders.
pub(crate) fn settings() -> Settings {
    let text = r#"
        host = "gateway-1"
        failure_domain = "a"
        platform = "127.0.0.1:1"
        [listen]
        calls = "127.0.0.1:0"
        readiness = "127.0.0.1:0"
        directions = "127.0.0.1:0"
        news = "127.0.0.1:0"
        heartbeats = "127.0.0.1:0"
        [size]
        cores = 0.2
        memory_mb = 260
        descriptors = 4100
    "#;
    Settings::parse(Path::new("test"), text).unwrap_or_else(|e| panic!("{e:?}"))
}

/// Returns the record of a target with `slots` slots in the gateway's failure domain.
pub(crate) fn target(number: u8, slots: u32) -> TargetRecord {
    TargetRecord {
        name: Arc::from(format!("target-{number}")),
        started: Some(1),
        service: Arc::from("service"),
        address: SocketAddr::from(([127, 0, 0, number], 80)),
        failure_domain: Arc::from("a"),
        version: Arc::from("v1"),
        slots,
        leaving: false,
        warmup: Duration::ZERO,
    }
}

/// Marks the targets of the service as not reporting their load, so that the gateway does not probe
/// them.
pub(crate) fn disable_probes(gateway: &Gateway<NativeAdapter>) {
    let TargetRecord { service, name, started, address, .. } = target(0, 1);
    let probe = Probe {
        service,
        process: ProcessId::new(&name, started),
        target: name,
        address,
        limit: None,
        resting: false,
        cold: false,
    };
    let now = gateway.clock.now();
    gateway.balancer.borrow_mut().probe_ended(now, &probe, ProbeResult::NoReport);
}
