//! A small deployment: a store, backends of two services in three zones, and one gateway a zone.

use crate::{
    backend::Backend,
    gateway::{Gateway, Ports, Settings, all_ready},
    http::Partition,
    record::Record,
    store::Store,
};
use std::{
    net::{IpAddr, SocketAddr},
    path::Path,
    sync::Arc,
    thread,
    time::Duration,
};

pub const ZONES: [&str; 3] = ["za-north-a", "za-north-b", "za-north-c"];
pub const SERVICES: [&str; 2] = ["till-api", "head-office-api"];
const BOUNDS: &[&str] = &[
    "grace=6s",
    "config=2000ms",
    "drain=2000ms",
    "budget_ratio=0.2",
    "budget_slack=60",
    "budget_window=10s",
    "ttl_max=5s",
    "probes_per_s=60",
];

/// Backend with its zone and address.
pub struct Listed {
    pub service: &'static str,
    pub zone: &'static str,
    pub address: SocketAddr,
}

/// Starts one backend of each service in each zone.
pub fn start_backends(
    work: Duration,
    store: &Arc<Store>,
    record: &Arc<Record>,
    partition: &Partition,
) -> Vec<Listed> {
    let mut listed = Vec::new();
    for service in SERVICES {
        for zone in ZONES {
            let id = format!("i-{service}-{zone}");
            let address = Backend::start(&id, service, zone, work, store, record, partition);
            listed.push(Listed { service, zone, address });
        }
    }
    listed
}

/// Starts a gateway in each zone, in `network`, and waits until all machines are in touch. Returns none if they
/// are not ready in time.
pub fn start_gateways(
    root: &Path,
    folder: &Path,
    network: u8,
    store: &Store,
    record: &Record,
) -> Option<Vec<Gateway>> {
    let hosts: Vec<IpAddr> = (1..=3).map(|n| IpAddr::from([127, 48, network, n])).collect();
    let ports = Ports::choose(&hosts);
    let start = |(zone, ip): (&&str, &IpAddr)| {
        let settings = Settings {
            host: format!("edge-{zone}-1"),
            zone: (*zone).to_owned(),
            ip: *ip,
            ports,
            platform: store.address,
            seeds: hosts.clone(),
            bounds: BOUNDS,
        };
        Gateway::start(root, folder, &settings)
    };
    let gateways: Vec<Gateway> = ZONES.iter().zip(&hosts).map(start).collect();
    if !all_ready(&gateways, Duration::from_secs(15)) {
        record.line("gateways are not ready");
        return None;
    }
    // Longer than `contact`.
    thread::sleep(Duration::from_secs(5));
    Some(gateways)
}
