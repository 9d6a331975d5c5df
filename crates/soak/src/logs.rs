//! Compares the logs of the gateways with the results that callers saw.

use crate::{
    checker::{CallResult, Checker},
    cluster::Cluster,
};
use azuretally::core::LogLine;
use azuretally_gateway::adapter::CallFailure;
use indexmap::IndexMap;
use std::time::Duration;

/// Time after which a log line must have been written. Gateways buffer lines for 250 ms.
const WRITE_DELAY: Duration = Duration::from_secs(1);

/// Checks that each call has exactly one log line with its outcome, and that the outcome agrees
/// with the result that the caller saw. The line may be missing if the gateway did not receive the
/// call, has not written the line yet or was killed before it wrote it.
pub(crate) fn check_outcomes(cluster: &Cluster) {
    let mut outcomes: IndexMap<u64, Vec<String>> = IndexMap::new();
    for gateway in &cluster.gateways {
        let log = gateway.child.lock().as_ref().map(azuretally_testsuite::Child::log);
        for line in log.iter().flat_map(|log| log.lines()).filter_map(LogLine::parse) {
            let call = line.field("id").and_then(|id| id.parse().ok());
            if let (Some(call), Some(outcome)) = (call, line.field("outcome")) {
                outcomes.entry(call).or_default().push(outcome.to_owned());
            }
        }
    }
    compare(&cluster.checker, &outcomes);
}

/// Compares the logged outcomes, by call id, with the results that callers saw.
fn compare(checker: &Checker, outcomes: &IndexMap<u64, Vec<String>>) {
    let no_outcomes = Vec::new();
    for call in checker.ended_calls() {
        let logged = outcomes.get(&call.id).unwrap_or(&no_outcomes);
        let may_be_missing = call.unwritten || call.age < WRITE_DELAY;
        // A call that ran or was answered must have been received by its gateway.
        let received = call.runs > 0
            || matches!(
                call.result,
                CallResult::Answered | CallResult::NotRun | CallResult::Unknown
            );
        let agrees = match (call.result, logged.as_slice()) {
            (_, []) => may_be_missing || !received,
            (CallResult::Answered, [outcome]) => outcome == "answered",
            (CallResult::NotRun, [outcome]) => {
                outcome == CallFailure::NotRun(Duration::ZERO).as_str()
            }
            (CallResult::Unknown, [outcome]) => {
                outcome != CallFailure::NotRun(Duration::ZERO).as_str()
            }
            (CallResult::Cut | CallResult::Unsent | CallResult::GaveUp, [_]) => true,
            (_, _) => false,
        };
        if !agrees {
            let (id, result) = (call.id, call.result);
            checker.record_violation(format!(
                "log: call {id} ended as {result:?}, but the logged outcomes are {logged:?}"
            ));
        }
    }
}
