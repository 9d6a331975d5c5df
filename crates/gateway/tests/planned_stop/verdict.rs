//! What became of a call.

use super::{
    call::{Answer, Call},
    caller::{Caller, End},
    deployment::Deployment,
};
use std::time::Duration;

/// What became of a call, by the users' rule: the answer to a call that a target got must reach the
/// caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Verdict {
    /// The caller got the whole answer of the target.
    Whole,
    /// The caller was told that the call was not run, and no target got it.
    Refused,
    /// The caller was told at the time limit that the outcome is unknown.
    TimedOut,
    /// The caller was told that the outcome is unknown, and no target got the call.
    Failed,
    /// The connection ended without an answer, and no target got the call.
    Unread,
    /// A target got the call, but the caller did not get its answer.
    Cut,
}

impl Verdict {
    /// Judges `call`, whose caller got `answer` after `elapsed`.
    pub(crate) fn new(
        deployment: &Deployment,
        call: &Call,
        answer: Option<&Answer>,
        elapsed: Duration,
    ) -> Self {
        let has_run = deployment.run_of(&call.id).is_some();
        let Some(answer) = answer.filter(|answer| answer.is_complete) else {
            return if has_run { Self::Cut } else { Self::Unread };
        };
        let outcome = answer.header("x-azuretally-outcome");
        if answer.is_whole(call) {
            Self::Whole
        } else if outcome == Some("not-run") && !has_run {
            Self::Refused
        } else if answer.status == 504 && elapsed >= call.time_limit() {
            Self::TimedOut
        } else if outcome == Some("unknown") && !has_run {
            Self::Failed
        } else {
            Self::Cut
        }
    }
}

/// Describes what was seen of `call` on the sockets of the caller and of the target, and its lines
/// in the logs of the gateways.
pub(crate) fn evidence(deployment: &Deployment, caller: &Caller, call: &Call, end: &End) -> String {
    let run = deployment.run_of(&call.id).map(|run| match run.answered {
        Some(answered) => format!("answered after {:?}", answered - run.started),
        None => "not answered".to_owned(),
    });
    let logs: Vec<_> = deployment.gateways.iter().map(|g| g.log_of(&call.id)).collect();
    let answers: Vec<_> = caller.answers().iter().map(Answer::to_string).collect();
    format!(
        "call {}: received {} bytes: [{}], then: {end}; target: {}; log:\n{}",
        call.id,
        caller.received.len(),
        answers.join(", "),
        run.as_deref().unwrap_or("not called"),
        logs.join("\n"),
    )
}

/// Asserts that the caller has received the whole answer to `call` as its last one, that the answer
/// announces the end of the connection, and that the connection ended in order.
pub(crate) fn assert_whole_and_orderly(
    deployment: &Deployment,
    caller: &Caller,
    call: &Call,
    end: &End,
) {
    assert_whole(deployment, caller, call, end);
    let seen = evidence(deployment, caller, call, end);
    let answers = caller.answers();
    assert!(answers.last().is_some_and(Answer::is_last), "no end announced; {seen}");
    assert!(end.is_orderly(), "the connection ended with an error; {seen}");
}

/// Asserts that the caller has received the whole answer to `call`.
pub(crate) fn assert_whole(deployment: &Deployment, caller: &Caller, call: &Call, end: &End) {
    let seen = evidence(deployment, caller, call, end);
    let answers = caller.answers();
    assert!(answers.iter().any(|answer| answer.is_whole(call)), "the answer is cut; {seen}");
}
