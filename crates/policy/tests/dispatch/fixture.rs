//! Configurations, targets and calls for the tests.

use azuretally_policy::{
    Timestamp,
    dispatch::{Call, CallId, ClassConfig, OperationConfig, PeerSlots, ServiceConfig, TargetInfo},
};
use azuretally_settings::BalancingPolicy;
use std::{sync::Arc, time::Duration};

pub(crate) const CHOICES: [BalancingPolicy; 9] = [
    BalancingPolicy::Random,
    BalancingPolicy::RoundRobin,
    BalancingPolicy::LeastInFlight,
    BalancingPolicy::PowerOfTwo,
    BalancingPolicy::HotCold,
    BalancingPolicy::TryAndRefuse,
    BalancingPolicy::IdleSlots,
    BalancingPolicy::Owned,
    BalancingPolicy::OwnedShared,
];

/// Idempotent operation of the urgent class.
pub(crate) const CHECK: usize = 0;
/// Non-idempotent operation of the urgent class.
pub(crate) const SALE: usize = 1;
/// Idempotent operation of the patient class.
pub(crate) const PULL: usize = 2;

pub(crate) fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub(crate) fn config(choice: BalancingPolicy) -> ServiceConfig {
    let class = |name: &str, floor, starvation_limit| ClassConfig {
        name: name.into(),
        timeout: ms(1_000),
        floor,
        starvation_limit,
    };
    let operation = |name: &str, class, idempotent, worth| OperationConfig {
        name: name.into(),
        class,
        idempotent,
        worth,
    };
    ServiceConfig {
        revision: 1,
        service: "till".into(),
        host: "entry-0".into(),
        choice,
        queue_limit: 1_000,
        connections: 240,
        max_rest: Duration::from_secs(30),
        retry_ratio: 0.1,
        hedge_ratio: 0.0,
        probe_share: 0.0,
        probe_cost: ms(6),
        classes: vec![class("urgent", 0.0, None), class("patient", 0.05, Some(ms(500)))],
        operations: vec![
            operation("check", 0, true, 5.0),
            operation("sale", 0, false, 10.0),
            operation("pull", 1, true, 1.0),
        ],
    }
}

pub(crate) fn targets(count: usize, slots: u32) -> Vec<TargetInfo> {
    let target = |n| TargetInfo {
        name: target_name(n),
        failure_domain: format!("domain-{}", n % 3).into(),
        slots,
        incarnation: None,
        leaving: false,
        reported: false,
    };
    (0..count).map(target).collect()
}

pub(crate) fn target_name(n: usize) -> Arc<str> {
    format!("target-{n}").into()
}

pub(crate) fn entry_name(n: usize) -> Arc<str> {
    format!("entry-{n}").into()
}

pub(crate) fn entry_set(count: usize) -> Vec<PeerSlots> {
    (0..count).map(|n| PeerSlots { host: entry_name(n), free: 0 }).collect()
}

pub(crate) fn call(id: u64, caller: &str, operation: usize, deadline: Timestamp) -> Call {
    Call {
        id: CallId(id),
        caller: caller.into(),
        operation,
        deadline,
        relayable: true,
        replayable: true,
    }
}
