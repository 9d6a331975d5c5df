//! Holds the logs of the gateways against what callers saw.

use crate::{
    ledger::{Ledger, Seen},
    world::World,
};
use azuretally::core::LogLine;
use azuretally_gateway::adapter::CallFailure;
use indexmap::IndexMap;
use std::time::Duration;

/// Time after which a line has been written out; lines are gathered for a quarter of a second.
const WRITTEN: Duration = Duration::from_secs(1);

/// Each call has exactly one line on its outcome, which agrees with what its caller saw.
pub(crate) fn check(world: &World) {
    let mut outcomes: IndexMap<u64, Vec<String>> = IndexMap::new();
    for gateway in &world.gateways {
        let log = gateway.child.lock().as_ref().map(azuretally_testsuite::Child::log);
        for line in log.iter().flat_map(|log| log.lines()).filter_map(LogLine::parse) {
            let call = line.field("id").and_then(|id| id.parse().ok());
            if let (Some(call), Some(outcome)) = (call, line.field("outcome")) {
                outcomes.entry(call).or_default().push(outcome.to_owned());
            }
        }
    }
    hold(&world.ledger, &outcomes);
}

/// Compares the outcomes that were logged with those that were seen.
fn hold(ledger: &Ledger, outcomes: &IndexMap<u64, Vec<String>>) {
    let none = Vec::new();
    for call in ledger.ended_calls() {
        let logged = outcomes.get(&call.id).unwrap_or(&none);
        let excused = call.unwritten || call.age < WRITTEN;
        // A call that ran, or got an answer, was read by its gateway.
        let read =
            call.runs > 0 || matches!(call.seen, Seen::Answered | Seen::NotRun | Seen::Unknown);
        let agrees = match (call.seen, logged.as_slice()) {
            (_, []) => excused || !read,
            (Seen::Answered, [one]) => one == "answered",
            (Seen::NotRun, [one]) => one == CallFailure::NotRun(Duration::ZERO).as_str(),
            (Seen::Unknown, [one]) => one != CallFailure::NotRun(Duration::ZERO).as_str(),
            (Seen::Cut | Seen::Unsent | Seen::GaveUp, [_]) => true,
            (_, _) => false,
        };
        if !agrees {
            let (id, seen) = (call.id, call.seen);
            ledger.violation(format!("log: call {id} {seen:?}, but its outcomes are {logged:?}"));
        }
    }
}
