//! Size and parsing time of the published documents of a deployment with 340 services and 3,700
//! targets. Each document must fit into one value of the platform.
//!
//! `cargo test --release -p azuretally-load --test size -- --nocapture` prints the measurements.

#![allow(clippy::unwrap_used)]

use azuretally_api::platform::{HostList, HostRecord, HostState, Role};
use azuretally_policy::dispatch::ServiceConfig;
use azuretally_settings::PublishedSettings;
use std::{fmt::Write as _, time::Instant};

/// Number of services.
const SERVICES: usize = 340;
/// Number of targets.
const TARGETS: usize = 3_700;
/// Number of failure domains.
const DOMAINS: usize = 20;
/// Largest value that the platform stores, in bytes.
const MAX_VALUE_BYTES: usize = 1_000_000;
/// Operations of each service.
const OPERATIONS: [&str; 3] = ["check", "issue", "list"];

fn document(services: usize) -> String {
    let mut text = String::from("deployment = \"large\"\nentries = 200\npreset = \"ordinary\"\n");
    text.push_str("[measuring]\ntarget_ms_per_s = 600.0\nprobe_cost_ms = 6.0\n");
    for s in 0..services {
        let name = format!("service-{s}");
        write!(text, "[services.{name}]\npath = \"/{name}\"\nslots = 3\nconnections = 240\n")
            .unwrap();
        text.push_str("entry_set = 2\n");
        for operation in OPERATIONS {
            write!(
                text,
                "[services.{name}.operations.{operation}]\nmethod = \"POST\"\n\
                 path = \"/{operation}\"\nidempotent = true\nworth = 1.0\n"
            )
            .unwrap();
        }
    }
    for preset in ["ordinary", "peak", "maintenance"] {
        for operation in OPERATIONS {
            write!(text, "[[presets.{preset}.classes]]\nname = \"{operation}\"\n").unwrap();
            text.push_str("timeout_ms = 500\noperations = [");
            for s in 0..services {
                write!(text, "\"service-{s}.{operation}\",").unwrap();
            }
            text.push_str("]\n");
        }
    }
    text
}

fn hosts() -> HostList {
    let host = |i: usize| HostRecord {
        host: format!("target-{i}"),
        failure_domain: format!("domain-{}", i % DOMAINS),
        incarnation: Some(format!("{i:016x}")),
        state: HostState::Live,
        role: Role::Target {
            service: format!("service-{}", i % SERVICES),
            address: format!("10.{}.{}.{}:7300", i / 65_536, i / 256 % 256, i % 256)
                .parse()
                .unwrap(),
        },
    };
    HostList { revision: 1, hosts: (0..TARGETS).map(host).collect(), unreadable: 0 }
}

#[test]
fn settings_of_340_services_fit_into_one_value_and_are_accepted() {
    let text = document(SERVICES);
    let bytes_per_service = (text.len() - document(SERVICES / 2).len()) / (SERVICES - SERVICES / 2);
    let start = Instant::now();
    let published = PublishedSettings::parse("large.toml", &text).unwrap();
    let parsed = start.elapsed();
    let start = Instant::now();
    for service in published.services.keys() {
        assert!(ServiceConfig::new(&published, 1, service, "entry-0").is_some());
    }
    let configured = start.elapsed();
    println!("settings: {} bytes, {bytes_per_service} bytes per service", text.len());
    println!("settings: parsed and checked in {parsed:?}, service configs in {configured:?}");
    assert!(text.len() < MAX_VALUE_BYTES, "{} bytes", text.len());
}

#[test]
fn host_list_of_3700_targets_fits_into_one_value() {
    let list = hosts();
    let start = Instant::now();
    let text = serde_json::to_string(&list).unwrap();
    let written = start.elapsed();
    let start = Instant::now();
    let read: HostList = serde_json::from_str(&text).unwrap();
    println!("hosts: {} bytes, {} per target", text.len(), text.len() / TARGETS);
    println!("hosts: written in {written:?}, read in {:?}", start.elapsed());
    assert_eq!(read, list);
    assert!(text.len() < MAX_VALUE_BYTES, "{} bytes", text.len());
}
