//! Route lookup, weighted distribution of calls, and the retry budget.

use crate::fixture::{ms, route};
use arbtest::arbtest;
use azuretally_policy::balance::{
    CallerLimits, LookupError, PublishedSettings, RetryBudget, Route, RouteError, RouteTable,
    ServiceSettings, Share, TrafficSplit,
};
use indexmap::IndexMap;
use std::{sync::Arc, time::Duration};

fn published(routes: Vec<Route>) -> PublishedSettings {
    let service =
        ServiceSettings { connections: 10, probe_path: Arc::from("/health"), cold_rate: None };
    PublishedSettings {
        version: 1,
        routes,
        services: IndexMap::from([
            (Arc::from("service"), service.clone()),
            (Arc::from("other"), service),
        ]),
        limits: CallerLimits {
            head_bytes: 16_384,
            body_bytes: 1_000_000,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        },
    }
}

fn with_prefix(name: &str, prefix: &str) -> Route {
    Route { prefix: Arc::from(prefix), ..Route::clone(&route(name, true)) }
}

fn share(service: &str, weight: u32) -> Share {
    Share { service: Arc::from(service), weight }
}

#[test]
fn longest_prefix_of_the_host_wins() {
    let routes = vec![with_prefix("short", "/a/"), with_prefix("long", "/a/b/")];
    let table = RouteTable::new(published(routes));
    assert!(table.refused().is_empty());
    let name = |host, path| table.find(host, path).ok().map(|r| Arc::clone(&r.name));
    assert_eq!(name("host", "/a/b/c").as_deref(), Some("long"));
    assert_eq!(name("host", "/a/bc/d").as_deref(), Some("short"));
    assert_eq!(name("host", "/a/").as_deref(), Some("short"));
    assert_eq!(name("host", "/a"), None);
    assert_eq!(name("host", "/b/a/b/"), None);
    assert_eq!(name("elsewhere", "/a/b/c"), None);
}

/// Guards against one invalid route that holds back all settings.
#[test]
fn invalid_routes_are_refused_by_name_and_alone() {
    let no_service = Route { shares: vec![share("nowhere", 1)], ..with_prefix("r", "/a/") };
    let no_weight = Route { shares: vec![share("service", 0)], ..with_prefix("r", "/a/") };
    let unreadable = Route { shares: Vec::new(), ..with_prefix("r", "/a/") };
    let name = || Arc::from("r");
    let cases = [
        (vec![with_prefix("r", "a/")], RouteError::InvalidPrefix(name())),
        (vec![no_service], RouteError::UnknownService(name(), Arc::from("nowhere"))),
        (vec![no_weight], RouteError::NoWeight(name())),
        (vec![unreadable], RouteError::Unreadable(name(), Arc::from("host"), Arc::from("/a/"))),
        (
            vec![with_prefix("r", "/a/"), with_prefix("s", "/a/")],
            RouteError::Duplicate(name(), Arc::from("s")),
        ),
    ];
    for (mut routes, expected) in cases {
        routes.push(with_prefix("root", "/"));
        routes.push(with_prefix("valid", "/b/"));
        let mut table = RouteTable::new(published(routes));
        assert_eq!(table.refused(), [expected]);
        assert_eq!(table.find("host", "/b/c").map(|r| &*r.name), Ok("valid"));
        let is_known = !matches!(table.refused(), [RouteError::InvalidPrefix(_)]);
        let expected = if is_known { Err(LookupError::Unusable) } else { Ok("root") };
        assert_eq!(table.find("host", "/a/c").map(|r| &*r.name), expected);
        let rest = table.published().routes.iter().filter(|r| &*r.name != "root").cloned();
        table = RouteTable::new(published(rest.collect()));
        assert_eq!(table.find("host", "/a/c"), Err(LookupError::Unusable));
        let expected = if is_known { LookupError::NoRoute } else { LookupError::Unusable };
        assert_eq!(table.find("host", "/c/"), Err(expected));
        assert_eq!(table.find("elsewhere", "/a/c"), Err(LookupError::NoRoute));
    }
}

#[test]
fn shares_are_exact_in_every_window_of_calls() {
    arbtest(|u| {
        let weights =
            [u.int_in_range(0..=100)?, u.int_in_range(1..=100)?, u.int_in_range(0..=100)?];
        let shares = vec![
            share("service", weights[0]),
            share("other", weights[1]),
            share("third", weights[2]),
        ];
        let route = Route { shares: shares.clone(), ..with_prefix("r", "/a/") };
        let mut split = TrafficSplit::default();
        let calls: Vec<Arc<str>> = (0..400).map(|_| split.next_service(&route)).collect();
        let total: u32 = weights.iter().sum();
        let from = u.int_in_range(0..=300)?;
        let window = &calls[from..from + 100];
        for share in &shares {
            let received = window.iter().filter(|s| **s == share.service).count() as f64;
            let expected = 100.0 * f64::from(share.weight) / f64::from(total);
            assert!((received - expected).abs() <= 3.0, "{weights:?}: {received} of {expected}");
        }
        Ok(())
    });
}

#[test]
fn changed_weights_apply_from_the_next_call() {
    let mut split = TrafficSplit::default();
    let first =
        Route { shares: vec![share("service", 1), share("other", 1)], ..with_prefix("r", "/a/") };
    let second = Route { shares: vec![share("service", 0), share("other", 1)], ..first.clone() };
    split.next_service(&first);
    for _ in 0..10 {
        assert_eq!(&*split.next_service(&second), "other");
    }
}

#[test]
fn extra_attempts_stay_within_ratio_and_slack_in_every_window() {
    arbtest(|u| {
        let window = Duration::from_secs(10);
        let mut budget = RetryBudget::new(0.2, 5.0, window);
        let mut calls: Vec<u64> = Vec::new();
        let mut extra: Vec<u64> = Vec::new();
        let mut now = 0;
        for _ in 0..400 {
            now += u.int_in_range(0..=150)?;
            if u.ratio(1, 2)? {
                budget.record_call(ms(now));
                calls.push(now);
            } else if budget.try_take(ms(now), 0.0) {
                extra.push(now);
            }
        }
        for end in &extra {
            let start = end.saturating_sub(10_000);
            let within =
                |times: &[u64], from| times.iter().filter(|t| **t >= from && **t <= *end).count();
            // Calls are counted in buckets, of which the oldest reaches back half a second more.
            let call_count = within(&calls, start.saturating_sub(500)) as f64;
            let extra_count = within(&extra, start) as f64;
            assert!(
                extra_count <= call_count * 0.2 + 5.0,
                "{extra_count} extra attempts for {call_count} calls"
            );
        }
        Ok(())
    });
}

/// Guards against calls from long before that count again once the window has been made longer.
#[test]
fn changed_window_of_a_retry_budget_keeps_the_time_of_calls() {
    let (short, long) = (Duration::from_secs(1), Duration::from_secs(10));
    let mut budget = RetryBudget::new(0.2, 0.0, short);
    (100_000..100_900).for_each(|now| budget.record_call(ms(now)));
    budget.configure(0.2, 0.0, long);
    (160_000..160_010).for_each(|now| budget.record_call(ms(now)));
    assert_eq!(budget.calls(ms(160_010)), 10.0, "after a change to a longer window");
    budget.configure(0.2, 0.0, short);
    assert_eq!(budget.calls(ms(160_020)), 10.0, "after a change to a shorter window");
    budget.configure(0.2, 0.0, long);
    assert_eq!(budget.calls(ms(160_030)), 10.0, "after a second change to a longer window");
    assert_eq!(budget.calls(ms(175_000)), 0.0);
}
