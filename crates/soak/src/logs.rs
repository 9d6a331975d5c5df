//! Compares the logs of the gateways with the results that callers saw.

use crate::{
    checker::{CallResult, Checker, EndedCall},
    cluster::Cluster,
    process::Process,
};
use azuretally::core::LogLine;
use azuretally_gateway::adapter::CallFailure;
use indexmap::IndexMap;
use std::time::Duration;

/// Time after which a log line must have been written. Gateways buffer lines for 250 ms.
const WRITE_DELAY: Duration = Duration::from_secs(1);

/// Returns the outcomes that the gateways logged, by call id.
pub(crate) fn read_outcomes(cluster: &Cluster) -> IndexMap<u64, Vec<String>> {
    let mut outcomes: IndexMap<u64, Vec<String>> = IndexMap::new();
    for gateway in &cluster.gateways {
        let log = gateway.process.lock().as_ref().map(Process::log);
        for line in log.iter().flat_map(|log| log.lines()).filter_map(LogLine::parse) {
            let call = line.field("id").and_then(|id| id.parse().ok());
            if let (Some(call), Some(outcome)) = (call, line.field("outcome")) {
                outcomes.entry(call).or_default().push(outcome.to_owned());
            }
        }
    }
    outcomes
}

/// Checks that each call has exactly one log line with its outcome, and that the outcome agrees
/// with the result that the caller saw. The line may be missing if the gateway did not receive the
/// call, has not written the line yet or was killed before it wrote it.
///
/// `calls` are those that had ended before the logs were read.
pub(crate) fn compare(
    checker: &Checker,
    calls: &[EndedCall],
    outcomes: &IndexMap<u64, Vec<String>>,
) {
    let no_outcomes = Vec::new();
    for call in calls {
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
            (CallResult::NotRun, [outcome]) => is_not_run(outcome),
            (CallResult::Unknown, [outcome]) => !is_not_run(outcome),
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

/// Returns whether a logged outcome tells that no target ran the call.
fn is_not_run(outcome: &str) -> bool {
    // A body that a fault delays or discards is refused as slow or malformed.
    let failures =
        [CallFailure::NotRun(Duration::ZERO), CallFailure::SlowBody, CallFailure::Malformed];
    failures.iter().any(|f| f.as_str() == outcome)
}
