//! A gateway with more events than processor time. Its probes time out although the targets answer them, each
//! of them costs more time, and targets that seem silent get no calls: a spiral at whose end the gateway probes
//! all day and sends nothing, while its targets are idle.

use crate::fixture::{Fixture, idle_report, ms, route};
use azuretally_policy::balance::{AttemptOutcome, Decision, ProbeResult};
use std::{collections::VecDeque, sync::Arc, time::Duration};

const TARGETS: u8 = 100;
/// Interval between two turns of the event loop, in ms, and the calls that arrive in it.
const TURN_MS: u64 = 10;
const CALLS_PER_TURN: u64 = 3;
/// Time that a target takes for a call, and after which a probe is given up, in ms.
const SERVICE_MS: u64 = 160;
const PROBE_TIMEOUT_MS: u64 = 80;
const END_MS: u64 = 4_000;

/// What became of the calls.
#[derive(Debug, Default)]
struct Outcome {
    submitted: u64,
    /// Calls that were sent to a target.
    sent: u64,
    probes: u64,
}

/// Lets calls arrive at a gateway whose timers come `late` and that reads the answer to no probe in time.
fn run(late: Duration) -> Outcome {
    let mut fixture = Fixture::before_first_answer(TARGETS, 0);
    let check = route("check", true);
    let mut outcome = Outcome::default();
    let mut running: VecDeque<(u64, u64, Arc<str>)> = VecDeque::new();
    let mut probes = VecDeque::new();
    for now in (0..END_MS).step_by(TURN_MS as usize) {
        fixture.balancer.record_lateness(ms(now), late);
        while let Some((_, id, target)) = running.pop_front_if(|(end, ..)| *end <= now) {
            let answered = AttemptOutcome::Answered { ok: true, bytes: 100 };
            fixture.end_attempt(ms(now), id, &target, answered, Some(idle_report(1.0)));
            fixture.balancer.forget(id);
        }
        while let Some((_, probe)) = probes.pop_front_if(|(end, _)| *end <= now) {
            fixture.balancer.probe_ended(ms(now), &probe, ProbeResult::NoAnswer);
        }
        let mut started = Vec::new();
        for _ in 0..CALLS_PER_TURN {
            outcome.submitted += 1;
            let (id, decision) = fixture.submit(ms(now), &check);
            started.extend(Some((id, decision)));
        }
        started.extend(fixture.balancer.dispatch_waiting(ms(now)));
        for (id, decision) in started {
            match decision {
                Decision::Start(start) => {
                    outcome.sent += 1;
                    running.push_back((now + SERVICE_MS, id, start.target));
                }
                Decision::Wait => {}
                _ => fixture.balancer.forget(id),
            }
        }
        for probe in fixture.balancer.take_probes() {
            outcome.probes += 1;
            probes.push_back((now + PROBE_TIMEOUT_MS, probe));
        }
    }
    outcome
}

/// Guards against a gateway that sends nothing any more once its event loop is late.
#[test]
fn late_gateway_goes_on_sending_calls() {
    let outcome = run(Duration::from_millis(40));
    assert!(outcome.sent * 20 >= outcome.submitted * 19, "{outcome:?}");
    assert!(outcome.probes * 20 <= outcome.submitted, "{outcome:?}");
}

/// Targets that answer no probes of a gateway which is on time are left alone.
#[test]
fn gateway_on_time_leaves_targets_alone_that_answer_no_probes() {
    let outcome = run(Duration::ZERO);
    assert!(outcome.sent * 2 <= outcome.submitted, "{outcome:?}");
}
