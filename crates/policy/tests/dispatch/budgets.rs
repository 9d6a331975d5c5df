//! Budgets of retries, hedges and probes, and determinism.

use crate::{
    fake::{Fake, Mode, Stream},
    fixture::{CHECK, SALE, ms, plan},
};
use azuretally_policy::dispatch::Dispatcher;
use azuretally_settings::BalancingPolicy;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::{sync::Arc, time::Duration};

const TARGETS: usize = 13;
const SLOTS: u32 = 2;
/// First tries that the burst of a budget is worth.
const BURST: f64 = 100.0;

fn stream(operation: usize, load: f64) -> Stream {
    let per_second = load * Fake::capacity(TARGETS, SLOTS);
    Stream { operation, caller: "caller", per_second, timeout: ms(500) }
}

fn random_mode(random: &mut Pcg64Mcg) -> Mode {
    match random.random_range(0..6) {
        0 => Mode::Hang,
        1 => Mode::Dead,
        2 => Mode::FailSome(0.5),
        3 => Mode::Slow(10.0),
        _ => Mode::Slow(1.0),
    }
}

/// Runs 20 s during which targets change at random every 200 ms.
fn troubled(choice: BalancingPolicy, seed: u64, retry: f64, hedge: f64) -> Fake {
    let mut plan = plan(choice);
    plan.retry_ratio = retry;
    plan.hedge_ratio = hedge;
    let streams = vec![stream(CHECK, 0.6), stream(SALE, 0.1)];
    let mut fake = Fake::new(plan, TARGETS, SLOTS, streams);
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    for _ in 0..100 {
        let target = random.random_range(0..TARGETS);
        fake.modes[target] = random_mode(&mut random);
        fake.run(ms(200));
    }
    fake
}

#[test]
fn second_tries_stay_within_their_budgets() {
    for seed in 0..8 {
        for (retry, hedge) in [(0.0, 0.0), (0.1, 0.0), (0.1, 0.05), (0.02, 0.02)] {
            let fake = troubled(BalancingPolicy::OwnedShared, seed, retry, hedge);
            let budget = (retry + hedge) * (fake.first_tries as f64 + BURST);
            let second = fake.second_tries as f64;
            assert!(second <= budget, "seed {seed}: {second} of {budget}");
        }
    }
}

#[test]
fn equal_inputs_give_equal_decisions() {
    for choice in [BalancingPolicy::OwnedShared, BalancingPolicy::PowerOfTwo] {
        let one = troubled(choice, 5, 0.1, 0.05);
        let other = troubled(choice, 5, 0.1, 0.05);
        assert_eq!(one.starts, other.starts);
        assert_eq!(one.counts, other.counts);
        assert_eq!(one.retry_after, other.retry_after);
    }
}

/// Each entry holds its static share from its own start on, so the sum holds for the fleet
/// whichever entries run, are cut off or are replaced.
#[test]
fn probes_of_the_fleet_stay_within_the_budget() {
    const ENTRIES: usize = 16;
    let mut random = Pcg64Mcg::seed_from_u64(9);
    let cost = ms(6);
    let share = 0.05 / ENTRIES as f64;
    let total = ms(120_000);
    let mut probes = 0;
    for _ in 0..ENTRIES {
        let mut plan = plan(BalancingPolicy::OwnedShared);
        plan.probe_share = share;
        plan.probe_cost = cost;
        let mut fake = Fake::new(plan.clone(), TARGETS, SLOTS, Vec::new());
        let end = fake.now + total;
        while fake.now < end {
            let life = ms(random.random_range(1_000..60_000)).min(end - fake.now);
            fake.run(life);
            fake.dispatcher = Dispatcher::new(Arc::new(plan.clone()), random.random());
            let targets = crate::fixture::targets(TARGETS, SLOTS);
            fake.on(azuretally_policy::dispatch::Event::TargetsChanged(targets));
        }
        probes += fake.probes.len();
    }
    let spent = cost * probes as u32;
    let budget: Duration = total.mul_f64(0.05);
    assert!(probes > 0, "silent targets are probed");
    assert!(spent <= budget, "{probes} probes cost {spent:?} of {budget:?}");
}
