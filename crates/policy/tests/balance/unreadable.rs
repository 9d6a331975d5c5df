//! Settings of which services or limits could not be read.

use crate::{
    fixture::{ms, route},
    platform::published,
};
use azuretally_policy::balance::{
    CallerLimits, Catalog, Change, PublishedSettings, Revision, Route, ServiceSettings, Source,
};
use std::{sync::Arc, time::Duration};

const UNKNOWN: CallerLimits = CallerLimits {
    head_bytes: 0,
    body_bytes: 0,
    head_timeout: Duration::ZERO,
    idle_timeout: Duration::ZERO,
};

fn settings(version: u64, services: &[&str]) -> PublishedSettings {
    let service =
        ServiceSettings { connections: 10, probe_path: Arc::from("/load"), cold_rate: None };
    let named = services.iter().map(|name| (Arc::from(*name), service.clone()));
    PublishedSettings {
        routes: vec![Route::clone(&route("check", true))],
        services: named.collect(),
        ..published(version)
    }
}

fn apply(catalog: &mut Catalog, settings: PublishedSettings) {
    let revision = Revision::new(0, settings.version);
    let changes = vec![Change::Published(settings)];
    assert!(catalog.apply(ms(1), revision, changes, Source::Platform));
}

fn services(catalog: &Catalog) -> Vec<&str> {
    catalog.published().map_or(Vec::new(), |p| p.services.keys().map(|name| &**name).collect())
}

/// Guards against calls that are refused because the settings of their service could not be read.
#[test]
fn service_that_routes_need_stays_as_it_was() {
    let mut catalog = Catalog::default();
    apply(&mut catalog, settings(1, &["service", "other"]));
    apply(&mut catalog, settings(2, &["third"]));
    assert_eq!(services(&catalog), ["third", "service"]);
    assert!(catalog.take_log_lines().iter().any(|line| line.contains("lack service service")));
    apply(&mut catalog, PublishedSettings { routes: Vec::new(), ..settings(3, &["third"]) });
    assert_eq!(services(&catalog), ["third"]);
    apply(&mut catalog, settings(4, &["third"]));
    assert_eq!(services(&catalog), ["third"]);
}

/// Guards against calls that are refused as too large because a limit could not be read.
#[test]
fn unknown_limits_stay_as_they_were() {
    let mut catalog = Catalog::default();
    let limits = |catalog: &Catalog| catalog.published().map(|p| p.limits);
    apply(&mut catalog, PublishedSettings { limits: UNKNOWN, ..settings(1, &[]) });
    assert_eq!(limits(&catalog), Some(CallerLimits::DEFAULT));
    let before = published(2).limits;
    apply(&mut catalog, settings(2, &[]));
    assert_eq!(limits(&catalog), Some(before));
    let partial = CallerLimits { body_bytes: 7, ..UNKNOWN };
    apply(&mut catalog, PublishedSettings { limits: partial, ..settings(3, &[]) });
    assert_eq!(limits(&catalog), Some(CallerLimits { body_bytes: 7, ..before }));
    assert!(catalog.take_log_lines().iter().any(|line| line.contains("lack limits")));
}
