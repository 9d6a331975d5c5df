//! Overload, faults and recovery in a simulation of one entry.

use crate::{
    fixture::{CHECK, PULL, SALE, config, ms},
    simulation::{Behavior, Simulation, Stream, quantile},
};
use azuretally_policy::{Timestamp, dispatch::ServiceConfig};
use azuretally_settings::BalancingPolicy;
use std::time::Duration;

const TARGETS: usize = 13;
const SLOTS: u32 = 2;

fn shared_config() -> ServiceConfig {
    config(BalancingPolicy::OwnedShared)
}

fn capacity() -> f64 {
    Simulation::capacity(TARGETS, SLOTS)
}

fn stream(operation: usize, load: f64, timeout: Duration) -> Stream {
    Stream { operation, caller: "caller", per_second: load * capacity(), timeout }
}

/// Simulates checks at `urgent` and pulls at `patient` times the capacity.
fn mixed(urgent: f64, patient: f64) -> Simulation {
    let streams = vec![stream(CHECK, urgent, ms(250)), stream(PULL, patient, ms(5_000))];
    Simulation::new(shared_config(), TARGETS, SLOTS, streams)
}

/// Returns the worth per second of the calls answered in time.
fn goodput(simulation: &Simulation, seconds: f64) -> f64 {
    let config = shared_config();
    let worth = |(o, c): (&usize, &crate::simulation::Counts)| {
        config.operations[*o].worth * c.in_time as f64
    };
    simulation.counts.iter().map(worth).sum::<f64>() / seconds
}

/// Returns the goodput of an ideal scheduler: urgent calls first, up to the capacity that the floor
/// of the patient class leaves, and patient calls in the rest.
fn ideal_goodput(urgent: f64, patient: f64) -> f64 {
    let config = shared_config();
    let floor = config.classes[1].floor.min(patient);
    let urgent = urgent.min(1.0 - floor);
    let patient = patient.min(1.0 - urgent);
    capacity() * (urgent * config.operations[CHECK].worth + patient * config.operations[PULL].worth)
}

/// Asserts that 99% of urgent calls are in time and that goodput is at least 95% of the ideal.
fn assert_goodput_under_overload(urgent: f64, patient: f64) {
    let mut simulation = mixed(urgent, patient);
    simulation.run(ms(2_000));
    simulation.reset_stats();
    simulation.run(ms(20_000));
    let in_time = simulation.in_time(CHECK);
    assert!(in_time >= 0.99, "ratio of urgent calls in time: {in_time}");
    let share = goodput(&simulation, 20.0) / ideal_goodput(urgent, patient);
    assert!(share >= 0.95, "goodput is {share} of the ideal: {:?}", simulation.counts);
}

#[test]
fn urgent_calls_are_in_time_at_130_percent() {
    assert_goodput_under_overload(0.7, 0.6);
}

#[test]
fn urgent_calls_are_in_time_at_300_percent() {
    assert_goodput_under_overload(0.7, 2.3);
}

#[test]
fn goodput_holds_when_urgent_load_alone_exceeds_capacity() {
    for load in [1.3, 3.0] {
        let mut simulation = mixed(load, 0.2);
        simulation.run(ms(2_000));
        simulation.reset_stats();
        simulation.run(ms(20_000));
        let share = goodput(&simulation, 20.0) / ideal_goodput(load, 0.2);
        assert!(
            share >= 0.95,
            "at load {load}: goodput is {share} of the ideal: {:?}",
            simulation.counts
        );
        let counts = &simulation.counts[&CHECK];
        assert!(counts.late + counts.unknown <= counts.arrived / 100, "{counts:?}");
    }
}

#[test]
fn patient_class_gets_its_floor_and_never_starves() {
    let mut simulation = mixed(3.0, 0.2);
    simulation.run(ms(30_000));
    let mut last = None;
    let mut longest_gap = Duration::ZERO;
    let mut patient = 0;
    for (at, operation) in &simulation.starts {
        if *operation == PULL {
            patient += 1;
            longest_gap = longest_gap.max(last.map_or(Duration::ZERO, |l: Timestamp| *at - l));
            last = Some(*at);
        }
    }
    assert!(longest_gap <= ms(500), "no start for {longest_gap:?}");
    let share = f64::from(patient) / simulation.starts.len() as f64;
    assert!(share >= 0.045, "ratio of starts: {share}");
}

#[test]
fn callers_share_fairly_within_a_class() {
    let greedy = Stream { caller: "greedy", ..stream(CHECK, 2.0, ms(250)) };
    let modest = Stream { caller: "modest", ..stream(CHECK, 0.4, ms(250)) };
    let other = Stream { caller: "third", ..stream(CHECK, 0.4, ms(250)) };
    let mut simulation =
        Simulation::new(shared_config(), TARGETS, SLOTS, vec![greedy, modest, other]);
    simulation.run(ms(2_000));
    simulation.reset_stats();
    simulation.run(ms(10_000));
    let total: Duration = simulation.slot_time.values().sum();
    let fair = total / 3;
    let greedy = simulation.slot_time["greedy"];
    let slack = crate::simulation::SERVICE * (SLOTS * TARGETS as u32);
    assert!(greedy <= fair + slack, "the greedy caller got {greedy:?} of {total:?}");
}

/// Returns the 99th percentile latency of the answers between `start + from` and `start + to`.
fn p99(simulation: &Simulation, start: Timestamp, from: Duration, to: Duration) -> Duration {
    let within = |at: Timestamp| at >= start + from && at < start + to;
    quantile(simulation.latencies.iter().filter(|(at, _)| within(*at)).map(|(_, l)| *l), 0.99)
}

/// Applies `trigger` for 10 s. Asserts that the p99 latency returns to at most 1.3 times the steady
/// state within 2 s, and that retries stay within their budget.
fn assert_recovery<F>(trigger: F)
where
    F: Fn(&mut Simulation, bool),
{
    let streams = vec![stream(CHECK, 0.6, ms(1_000)), stream(SALE, 0.1, ms(1_000))];
    let mut simulation = Simulation::new(shared_config(), TARGETS, SLOTS, streams);
    simulation.run(ms(5_000));
    let steady = p99(&simulation, simulation.now, ms(0), ms(0)).max(p99(
        &simulation,
        Timestamp::default(),
        ms(0),
        ms(60_000),
    ));
    trigger(&mut simulation, true);
    simulation.run(ms(10_000));
    trigger(&mut simulation, false);
    let end = simulation.now;
    simulation.run(ms(8_000));
    let after = p99(&simulation, end, ms(2_000), ms(8_000));
    assert!(after <= steady.mul_f64(1.3), "steady {steady:?}, after the trigger {after:?}");
    let budget = 0.1 * simulation.first_attempts as f64 + 10.0;
    assert!(
        simulation.extra_attempts as f64 <= budget,
        "{} extra attempts",
        simulation.extra_attempts
    );
}

#[test]
fn recovers_from_overload() {
    assert_recovery(|simulation, is_active| {
        for stream in &mut simulation.streams {
            stream.per_second *= if is_active { 3.0 / 0.7 } else { 0.7 / 3.0 };
        }
    });
}

#[test]
fn recovers_from_half_of_targets_slow() {
    assert_recovery(|simulation, is_active| {
        let factor = if is_active { 10.0 } else { 1.0 };
        simulation.behaviors[..TARGETS / 2].fill(Behavior::Slow(factor));
    });
}

#[test]
fn recovers_from_half_of_targets_hanging() {
    assert_recovery(|simulation, is_active| {
        let behavior = if is_active { Behavior::Hang } else { Behavior::Slow(1.0) };
        simulation.behaviors[..TARGETS / 2].fill(behavior);
    });
}

#[test]
fn recovers_from_restart_of_all_targets() {
    assert_recovery(|simulation, is_active| {
        let behavior = if is_active { Behavior::RefuseConnections } else { Behavior::Slow(1.0) };
        simulation.behaviors.fill(behavior);
    });
}

/// Returns the dispatches to one target, from 1 s after it starts to show `behavior`, relative to
/// an even share.
fn relative_share(behavior: Behavior, choice: BalancingPolicy) -> f64 {
    let streams = vec![stream(CHECK, 0.5, ms(1_000))];
    let mut simulation = Simulation::new(config(choice), TARGETS, SLOTS, streams);
    simulation.run(ms(2_000));
    simulation.behaviors[0] = behavior;
    simulation.run(ms(1_000));
    simulation.reset_stats();
    simulation.run(ms(20_000));
    let total: u64 = simulation.dispatched.iter().sum();
    simulation.dispatched[0] as f64 * TARGETS as f64 / total as f64
}

#[test]
fn faulty_target_gets_no_more_than_its_share() {
    let behaviors =
        [Behavior::FailFast, Behavior::FailRatio(0.4), Behavior::Hang, Behavior::RefuseConnections];
    for choice in [
        BalancingPolicy::OwnedShared,
        BalancingPolicy::HotCold,
        BalancingPolicy::IdleSlots,
        BalancingPolicy::LeastInFlight,
    ] {
        for behavior in behaviors {
            let share = relative_share(behavior, choice);
            assert!(share <= 1.0, "{choice:?}: {behavior:?} gets {share} of its share");
        }
    }
}

#[test]
fn target_that_underreports_its_load_gets_no_more_than_its_share() {
    for choice in
        [BalancingPolicy::OwnedShared, BalancingPolicy::HotCold, BalancingPolicy::IdleSlots]
    {
        let share = relative_share(Behavior::UnderreportLoad, choice);
        assert!(share <= 1.0, "{choice:?}: gets {share} of its share");
    }
}
