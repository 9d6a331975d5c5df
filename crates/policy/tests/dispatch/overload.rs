//! Overload, faults and recovery against a few fake targets.

use crate::{
    fake::{Fake, Mode, Stream, quantile},
    fixture::{CHECK, PULL, SALE, ms, plan},
};
use azuretally_policy::{Timestamp, dispatch::ServiceConfig};
use azuretally_settings::BalancingPolicy;
use std::time::Duration;

const TARGETS: usize = 13;
const SLOTS: u32 = 2;

fn shared() -> ServiceConfig {
    plan(BalancingPolicy::OwnedShared)
}

fn capacity() -> f64 {
    Fake::capacity(TARGETS, SLOTS)
}

fn stream(operation: usize, load: f64, timeout: Duration) -> Stream {
    Stream { operation, caller: "caller", per_second: load * capacity(), timeout }
}

/// Checks at `urgent` and pulls at `patient` times the capacity.
fn mixed(urgent: f64, patient: f64) -> Fake {
    let streams = vec![stream(CHECK, urgent, ms(250)), stream(PULL, patient, ms(5_000))];
    Fake::new(shared(), TARGETS, SLOTS, streams)
}

/// Worth per second of the answers in time.
fn goodput(fake: &Fake, seconds: f64) -> f64 {
    let plan = shared();
    let worth =
        |(o, c): (&usize, &crate::fake::Counts)| plan.operations[*o].worth * c.in_time as f64;
    fake.counts.iter().map(worth).sum::<f64>() / seconds
}

/// What a scheduler that knows everything would get: urgent work first within what the floor of
/// the patient class leaves, patient work with the rest.
fn ideal_goodput(urgent: f64, patient: f64) -> f64 {
    let plan = shared();
    let floor = plan.classes[1].floor.min(patient);
    let urgent = urgent.min(1.0 - floor);
    let patient = patient.min(1.0 - urgent);
    capacity() * (urgent * plan.operations[CHECK].worth + patient * plan.operations[PULL].worth)
}

fn holds_under_overload(urgent: f64, patient: f64) {
    let mut fake = mixed(urgent, patient);
    fake.run(ms(2_000));
    fake.clear();
    fake.run(ms(20_000));
    let in_time = fake.in_time(CHECK);
    assert!(in_time >= 0.99, "urgent in time: {in_time}");
    let share = goodput(&fake, 20.0) / ideal_goodput(urgent, patient);
    assert!(share >= 0.95, "goodput is {share} of the ideal's: {:?}", fake.counts);
}

#[test]
fn urgent_calls_are_in_time_at_130_percent() {
    holds_under_overload(0.7, 0.6);
}

#[test]
fn urgent_calls_are_in_time_at_300_percent() {
    holds_under_overload(0.7, 2.3);
}

#[test]
fn goodput_holds_when_urgent_work_alone_is_too_much() {
    for load in [1.3, 3.0] {
        let mut fake = mixed(load, 0.2);
        fake.run(ms(2_000));
        fake.clear();
        fake.run(ms(20_000));
        let share = goodput(&fake, 20.0) / ideal_goodput(load, 0.2);
        assert!(share >= 0.95, "at {load}: {share} of the ideal's: {:?}", fake.counts);
        let counts = &fake.counts[&CHECK];
        assert!(counts.late + counts.unknown <= counts.arrived / 100, "{counts:?}");
    }
}

#[test]
fn patient_work_gets_its_floor_and_is_never_still() {
    let mut fake = mixed(3.0, 0.2);
    fake.run(ms(30_000));
    let mut last = None;
    let mut longest = Duration::ZERO;
    let mut patient = 0;
    for (at, operation) in &fake.starts {
        if *operation == PULL {
            patient += 1;
            longest = longest.max(last.map_or(Duration::ZERO, |l: Timestamp| *at - l));
            last = Some(*at);
        }
    }
    assert!(longest <= ms(500), "still for {longest:?}");
    let share = f64::from(patient) / fake.starts.len() as f64;
    assert!(share >= 0.045, "share of starts: {share}");
}

#[test]
fn callers_share_fairly_within_a_class() {
    let greedy = Stream { caller: "greedy", ..stream(CHECK, 2.0, ms(250)) };
    let modest = Stream { caller: "modest", ..stream(CHECK, 0.4, ms(250)) };
    let third = Stream { caller: "third", ..stream(CHECK, 0.4, ms(250)) };
    let mut fake = Fake::new(shared(), TARGETS, SLOTS, vec![greedy, modest, third]);
    fake.run(ms(2_000));
    fake.clear();
    fake.run(ms(10_000));
    let total: Duration = fake.slot_time.values().sum();
    let fair = total / 3;
    let greedy = fake.slot_time["greedy"];
    let slack = crate::fake::SERVICE * (SLOTS * TARGETS as u32);
    assert!(greedy <= fair + slack, "{greedy:?} of {total:?}");
}

/// p99 of the answers that came within `from..to` after `start`.
fn p99(fake: &Fake, start: Timestamp, from: Duration, to: Duration) -> Duration {
    let within = |at: Timestamp| at >= start + from && at < start + to;
    quantile(fake.latencies.iter().filter(|(at, _)| within(*at)).map(|(_, l)| *l), 0.99)
}

fn recovers_from<F>(trigger: F)
where
    F: Fn(&mut Fake, bool),
{
    let streams = vec![stream(CHECK, 0.6, ms(1_000)), stream(SALE, 0.1, ms(1_000))];
    let mut fake = Fake::new(shared(), TARGETS, SLOTS, streams);
    fake.run(ms(5_000));
    let steady =
        p99(&fake, fake.now, ms(0), ms(0)).max(p99(&fake, Timestamp::default(), ms(0), ms(60_000)));
    trigger(&mut fake, true);
    fake.run(ms(10_000));
    trigger(&mut fake, false);
    let end = fake.now;
    fake.run(ms(8_000));
    let after = p99(&fake, end, ms(2_000), ms(8_000));
    assert!(after <= steady.mul_f64(1.3), "steady {steady:?}, after the trigger {after:?}");
    let budget = 0.1 * fake.first_tries as f64 + 10.0;
    assert!(fake.second_tries as f64 <= budget, "{} second tries", fake.second_tries);
}

#[test]
fn recovers_from_overload() {
    recovers_from(|fake, on| {
        for stream in &mut fake.streams {
            stream.per_second *= if on { 3.0 / 0.7 } else { 0.7 / 3.0 };
        }
    });
}

#[test]
fn recovers_from_slow_half() {
    recovers_from(|fake, on| {
        let factor = if on { 10.0 } else { 1.0 };
        fake.modes[..TARGETS / 2].fill(Mode::Slow(factor));
    });
}

#[test]
fn recovers_from_hanging_half() {
    recovers_from(|fake, on| {
        let mode = if on { Mode::Hang } else { Mode::Slow(1.0) };
        fake.modes[..TARGETS / 2].fill(mode);
    });
}

#[test]
fn recovers_from_restart_of_all_targets() {
    recovers_from(|fake, on| {
        let mode = if on { Mode::Dead } else { Mode::Slow(1.0) };
        fake.modes.fill(mode);
    });
}

/// Dispatches that `mode` draws at one target from the second second on, against an even share.
fn share_drawn(mode: Mode, choice: BalancingPolicy) -> f64 {
    let streams = vec![stream(CHECK, 0.5, ms(1_000))];
    let mut fake = Fake::new(plan(choice), TARGETS, SLOTS, streams);
    fake.run(ms(2_000));
    fake.modes[0] = mode;
    fake.run(ms(1_000));
    fake.clear();
    fake.run(ms(20_000));
    let total: u64 = fake.dispatched.iter().sum();
    fake.dispatched[0] as f64 * TARGETS as f64 / total as f64
}

#[test]
fn faulty_target_draws_no_more_than_its_share() {
    let modes = [Mode::FailFast, Mode::FailSome(0.4), Mode::Hang, Mode::Dead];
    for choice in [
        BalancingPolicy::OwnedShared,
        BalancingPolicy::HotCold,
        BalancingPolicy::IdleSlots,
        BalancingPolicy::LeastInFlight,
    ] {
        for mode in modes {
            let share = share_drawn(mode, choice);
            assert!(share <= 1.0, "{choice:?}: {mode:?} draws {share} of its share");
        }
    }
}

#[test]
fn target_that_lies_about_its_load_draws_no_more_than_its_share() {
    for choice in
        [BalancingPolicy::OwnedShared, BalancingPolicy::HotCold, BalancingPolicy::IdleSlots]
    {
        let share = share_drawn(Mode::LiesIdle, choice);
        assert!(share <= 1.0, "{choice:?}: {share} of its share");
    }
}
