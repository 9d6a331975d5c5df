//! Budgets of retries, hedges and probes, and determinism.

use crate::{
    fixture::{CHECK, SALE, config, ms},
    simulation::{Behavior, Simulation, Stream},
};
use azuretally_policy::dispatch::Dispatcher;
use azuretally_settings::BalancingPolicy;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::{sync::Arc, time::Duration};

const TARGETS: usize = 13;
const SLOTS: u32 = 2;
/// Number of first attempts that the burst of a budget corresponds to.
const BURST_ATTEMPTS: f64 = 100.0;

fn stream(operation: usize, load: f64) -> Stream {
    let per_second = load * Simulation::capacity(TARGETS, SLOTS);
    Stream { operation, caller: "caller", per_second, timeout: ms(500) }
}

fn random_behavior(random: &mut Pcg64Mcg) -> Behavior {
    match random.random_range(0..6) {
        0 => Behavior::Hang,
        1 => Behavior::RefuseConnections,
        2 => Behavior::FailRatio(0.5),
        3 => Behavior::Slow(10.0),
        _ => Behavior::Slow(1.0),
    }
}

/// Runs 20 s, changing the behavior of a random target every 200 ms.
fn run_with_faults(
    choice: BalancingPolicy,
    seed: u64,
    retry_ratio: f64,
    hedge_ratio: f64,
) -> Simulation {
    let mut config = config(choice);
    config.retry_ratio = retry_ratio;
    config.hedge_ratio = hedge_ratio;
    let streams = vec![stream(CHECK, 0.6), stream(SALE, 0.1)];
    let mut simulation = Simulation::new(config, TARGETS, SLOTS, streams);
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    for _ in 0..100 {
        let target = random.random_range(0..TARGETS);
        simulation.behaviors[target] = random_behavior(&mut random);
        simulation.run(ms(200));
    }
    simulation
}

#[test]
fn retries_and_hedges_stay_within_their_budgets() {
    for seed in 0..8 {
        for (retry_ratio, hedge_ratio) in [(0.0, 0.0), (0.1, 0.0), (0.1, 0.05), (0.02, 0.02)] {
            let simulation =
                run_with_faults(BalancingPolicy::OwnedShared, seed, retry_ratio, hedge_ratio);
            let budget =
                (retry_ratio + hedge_ratio) * (simulation.first_attempts as f64 + BURST_ATTEMPTS);
            let extra = simulation.extra_attempts as f64;
            assert!(extra <= budget, "seed {seed}: {extra} extra attempts, budget {budget}");
        }
    }
}

#[test]
fn same_seed_and_events_give_same_decisions() {
    for choice in [BalancingPolicy::OwnedShared, BalancingPolicy::PowerOfTwo] {
        let base = run_with_faults(choice, 5, 0.1, 0.05);
        let repeat = run_with_faults(choice, 5, 0.1, 0.05);
        assert_eq!(base.starts, repeat.starts);
        assert_eq!(base.counts, repeat.counts);
        assert_eq!(base.retry_after, repeat.retry_after);
    }
}

/// Every entry has a static share of the budget, starting empty. The sum therefore stays within the
/// budget of the fleet, even if entries restart, are cut off or are replaced.
#[test]
fn probes_of_all_entries_stay_within_the_budget() {
    const ENTRIES: usize = 16;
    let mut random = Pcg64Mcg::seed_from_u64(9);
    let cost = ms(6);
    let share = 0.05 / ENTRIES as f64;
    let total = ms(120_000);
    let mut probes = 0;
    for _ in 0..ENTRIES {
        let mut config = config(BalancingPolicy::OwnedShared);
        config.probe_share = share;
        config.probe_cost = cost;
        let mut simulation = Simulation::new(config.clone(), TARGETS, SLOTS, Vec::new());
        let end = simulation.now + total;
        while simulation.now < end {
            let uptime = ms(random.random_range(1_000..60_000)).min(end - simulation.now);
            simulation.run(uptime);
            simulation.dispatcher = Dispatcher::new(Arc::new(config.clone()), random.random());
            let targets = crate::fixture::targets(TARGETS, SLOTS);
            simulation.handle(azuretally_policy::dispatch::Event::TargetsChanged(targets));
        }
        probes += simulation.probes.len();
    }
    let spent = cost * probes as u32;
    let budget: Duration = total.mul_f64(0.05);
    assert!(probes > 0, "silent targets must be probed");
    assert!(spent <= budget, "{probes} probes cost {spent:?} of {budget:?}");
}
