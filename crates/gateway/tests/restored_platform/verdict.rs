//! Which calls were handled under settings that are too old.

use super::{
    caller::{Answer, CallRecord},
    operator::Operator,
    target::Service,
};
use indexmap::IndexMap;
use std::fmt;
use tokio::time::Instant;

/// Largest number of calls of one kind in the message of a failed test.
const MAX_SHOWN: usize = 6;

/// Versions under which a call can have been handled, by its answer.
#[derive(Clone, Copy, Debug, Default)]
struct Versions {
    /// The version was this one or a later one.
    least: u64,
    /// The version was an earlier one.
    before: Option<u64>,
}

impl Versions {
    fn new(record: &CallRecord, operator: &Operator) -> Self {
        let Some(route) = operator.route(&record.route) else { return Self::default() };
        match record.answer {
            Answer::NoRoute => Self { least: 0, before: Some(route.added) },
            Answer::Served(Service::Second) => {
                Self { least: route.moved.unwrap_or(0), before: None }
            }
            Answer::Served(_) => Self { least: route.added, before: route.moved },
            Answer::Failed(_) => Self::default(),
        }
    }
}

/// Results of a test.
#[derive(Debug)]
pub(crate) struct Verdict {
    /// Calls to each gateway, while it was in touch, of routes that were due.
    judged: IndexMap<u8, usize>,
    /// Calls that were answered 404 or by a target.
    answered: usize,
    /// Calls to gateways in touch that were refused although their service has targets.
    refused: Vec<String>,
    /// Calls that were not answered by a target or 404, by status.
    failed: IndexMap<Option<u16>, usize>,
    /// Calls to gateways in touch that were handled under settings older than those that were due.
    stale: Vec<String>,
    /// Number of these by gateway.
    stale_nodes: IndexMap<u8, usize>,
    /// Calls that a process handled under older settings than an earlier call.
    pub(crate) reverted: Vec<String>,
}

impl Verdict {
    /// Judges the calls that were made, whose times are shown relative to `start`.
    pub(crate) fn new(records: &[CallRecord], operator: &Operator, start: Instant) -> Self {
        let versions: Vec<_> = records.iter().map(|r| Versions::new(r, operator)).collect();
        let mut verdict = Self {
            judged: IndexMap::new(),
            answered: 0,
            failed: IndexMap::new(),
            refused: Vec::new(),
            stale: Vec::new(),
            stale_nodes: IndexMap::new(),
            reverted: Vec::new(),
        };
        for (record, version) in records.iter().zip(&versions) {
            let is_in_touch = record.node.is_in_touch(record.sent, record.received);
            if let Answer::Failed(status) = record.answer {
                *verdict.failed.entry(status).or_insert(0) += 1;
                if is_in_touch && status.is_some() && &*record.route != Service::Extra.name() {
                    verdict.refused.push(describe(record, start));
                }
                continue;
            }
            verdict.answered += 1;
            let judged = verdict.judged.entry(record.node.number).or_insert(0);
            let route = operator.route(&record.route);
            if is_in_touch && route.is_some_and(|r| operator.is_due(r.added, record.sent)) {
                *judged += 1;
            }
            let Some(before) = version.before else { continue };
            if is_in_touch && operator.is_due(before, record.sent) {
                verdict.stale.push(describe_old(record, before, start));
                *verdict.stale_nodes.entry(record.node.number).or_insert(0) += 1;
            }
            let has_seen = records.iter().zip(&versions).any(|(other, seen)| {
                seen.least >= before
                    && other.node.number == record.node.number
                    && other.process.is_some()
                    && other.process == record.process
                    && other.received <= record.sent
            });
            if has_seen {
                verdict.reverted.push(describe_old(record, before, start));
            }
        }
        verdict
    }

    /// Returns how many calls to a gateway were handled under settings that are too old, and how many
    /// could have been.
    pub(crate) fn stale_at(&self, number: u8) -> (usize, usize) {
        let count = |counts: &IndexMap<u8, usize>| counts.get(&number).copied().unwrap_or(0);
        (count(&self.stale_nodes), count(&self.judged))
    }

    /// Asserts that no call was handled under settings that are too old.
    pub(crate) fn assert_settings_current(&self) {
        assert!(self.stale.is_empty() && self.reverted.is_empty(), "{self}");
    }

    /// Asserts that no call was handled under settings that are too old or refused, and that there were
    /// at least `least` judged calls to each gateway.
    pub(crate) fn assert_current(&self, least: usize) {
        self.assert_settings_current();
        assert!(self.refused.is_empty(), "{self}");
        assert!(self.judged.values().all(|calls| *calls >= least), "too few calls; {self}");
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { judged, answered, refused, failed, stale, stale_nodes, reverted } = self;
        let total: usize = judged.values().sum();
        writeln!(f, "judged={total} {judged:?} answered={answered} failed={failed:?}")?;
        writeln!(f, "stale by gateway: {stale_nodes:?}")?;
        for (kind, calls) in [("stale", stale), ("reverted", reverted), ("refused", refused)] {
            writeln!(f, "{kind}={}", calls.len())?;
            for call in calls.iter().take(MAX_SHOWN) {
                writeln!(f, "  {call}")?;
            }
        }
        Ok(())
    }
}

fn describe(record: &CallRecord, start: Instant) -> String {
    let sent = record.sent.duration_since(start);
    let CallRecord { node, process, route, answer, .. } = record;
    let number = node.number;
    format!("gateway={number} process={process:?} route={route} sent={sent:.2?} answer={answer:?}")
}

fn describe_old(record: &CallRecord, before: u64, start: Instant) -> String {
    format!("{}: handled before version {before}", describe(record, start))
}
