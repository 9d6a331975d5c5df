//! Compares the logs of the gateways with the results that callers saw.

use crate::{
    checker::{CallResult, Checker, EndedCall},
    cluster::Cluster,
    process::Process,
};
use azuretally::core::LogLine;
use azuretally_gateway::adapter::CallFailure;
use azuretally_policy::balance::GiveUpReason;
use indexmap::IndexMap;
use std::time::Duration;

/// Time after which a log line must have been written. Gateways buffer lines for 250 ms.
const WRITE_DELAY: Duration = Duration::from_secs(1);

/// Outcome of a call that another gateway answered.
const RELAYED: &str = "relayed";

/// End of a call that a gateway logged.
#[derive(Clone, Debug)]
pub(crate) struct LoggedEnd {
    /// Number of the gateway.
    gateway: usize,
    outcome: String,
    /// Whether the call was refused as one that crashes targets.
    is_quarantined: bool,
}

/// Ends that gateways logged, by call id.
pub(crate) type Outcomes = IndexMap<u64, Vec<LoggedEnd>>;

/// Returns the ends of calls that the gateways logged.
pub(crate) fn read_outcomes(cluster: &Cluster) -> Outcomes {
    let mut outcomes = Outcomes::new();
    for gateway in &cluster.gateways {
        let log = gateway.process.lock().as_ref().map(Process::log);
        for line in log.iter().flat_map(|log| log.lines()).filter_map(LogLine::parse) {
            let call = line.field("id").and_then(|id| id.parse().ok());
            if let (Some(call), Some(outcome)) = (call, line.field("outcome")) {
                let is_quarantined =
                    line.field("reason") == Some(GiveUpReason::Quarantined.as_str());
                outcomes.entry(call).or_default().push(LoggedEnd {
                    gateway: gateway.number,
                    outcome: outcome.to_owned(),
                    is_quarantined,
                });
            }
        }
    }
    outcomes
}

/// Checks that only calls of the route for calls that crash targets were refused as such.
pub(crate) fn check_quarantine(checker: &Checker, outcomes: &Outcomes) {
    for (call, ends) in outcomes {
        for end in ends.iter().filter(|end| end.is_quarantined && !checker.is_crash_call(*call)) {
            checker.record_violation(format!(
                "innocent: gateway {} refused call {call} as one that crashes targets",
                end.gateway
            ));
        }
    }
}

/// Checks that each call has exactly one log line with its outcome at the gateway that its caller
/// used, and that the outcome agrees with the result that the caller saw. For a relayed call one of
/// the outcomes at other gateways must agree, if they logged any. The line may be missing if the gateway did not receive the
/// call, has not written the line yet or was killed before it wrote it.
///
/// `calls` are those that had ended before the logs were read.
pub(crate) fn compare(checker: &Checker, calls: &[EndedCall], outcomes: &Outcomes) {
    let no_outcomes = Vec::new();
    for call in calls {
        let all = outcomes.get(&call.id).unwrap_or(&no_outcomes);
        let (own, others): (Vec<_>, Vec<_>) =
            all.iter().partition(|end| end.gateway == call.gateway);
        let may_be_missing = call.unwritten || call.age < WRITE_DELAY;
        // A call that ran or was answered must have been received by its gateway.
        let received = call.runs > 0
            || matches!(
                call.result,
                CallResult::Answered | CallResult::NotRun | CallResult::Unknown
            );
        let agrees = match own.as_slice() {
            [] => may_be_missing || !received,
            [end] if end.outcome == RELAYED => {
                others.is_empty() || others.iter().any(|other| agrees(call.result, &other.outcome))
            }
            [end] => agrees(call.result, &end.outcome),
            _ => false,
        };
        if !agrees {
            let (id, result) = (call.id, call.result);
            checker.record_violation(format!(
                "log: call {id} ended as {result:?}, but the logged outcomes are {all:?}"
            ));
        }
    }
}

/// Returns whether a logged outcome agrees with the result that the caller saw.
fn agrees(result: CallResult, outcome: &str) -> bool {
    match result {
        CallResult::Answered => outcome == "answered",
        CallResult::NotRun => is_not_run(outcome),
        CallResult::Unknown => !is_not_run(outcome),
        CallResult::Cut | CallResult::Unsent | CallResult::GaveUp => true,
    }
}

/// Returns whether a logged outcome tells that no target ran the call.
fn is_not_run(outcome: &str) -> bool {
    // A body that a fault delays or discards is refused as slow or malformed.
    let failures = [
        CallFailure::NotRun(Duration::ZERO),
        CallFailure::SlowBody,
        CallFailure::Malformed,
        CallFailure::NoRoute,
    ];
    failures.iter().any(|f| f.as_str() == outcome)
}
