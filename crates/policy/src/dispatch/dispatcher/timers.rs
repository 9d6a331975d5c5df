//! Timers: expiry, backoff and probes.

use super::Dispatcher;
use crate::{
    Timestamp,
    dispatch::{
        event::{Action, RefusalReason},
        target::Target,
    },
};
use std::{sync::Arc, time::Duration};

/// Time without contact after which a target is probed.
const PROBE_AFTER_SILENCE: Duration = Duration::from_secs(5);

impl Dispatcher {
    /// Gives up the waiting calls whose latest start has passed.
    pub(super) fn expire_waiting(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        while let Some((latest_start, id)) = self.queue.earliest_expiry() {
            if latest_start > now {
                return;
            }
            if let Some(tracked) = self.calls.get(&id) {
                self.queue.remove(tracked);
            }
            self.give_up(now, id, RefusalReason::Deadline, actions);
        }
    }

    /// Requeues the calls whose backoff has ended.
    pub(super) fn requeue_after_backoff(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        while let Some((at, id)) = self.backoffs.first().copied() {
            if at > now {
                return;
            }
            self.backoffs.remove(&(at, id));
            if self.calls.get(&id).is_some_and(|c| c.call.deadline > now) {
                self.requeue(now, id, actions);
            } else {
                self.give_up(now, id, RefusalReason::Deadline, actions);
            }
        }
    }

    /// Probes the target without contact for the longest time, if that exceeds
    /// [`PROBE_AFTER_SILENCE`] and the budget allows it.
    pub(super) fn send_probe(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        if self.probe_at.is_some_and(|at| at > now) {
            return;
        }
        let Some(wait) = self.probe_budget.time_to_next(now) else {
            self.probe_at = None;
            return;
        };
        let silence = |t: &Target| now.since(t.last_heard);
        let may_probe = |t: &&Target| !t.removed && !t.info.leaving && !t.rest.is_pending();
        let candidates = self.targets.values().filter(may_probe);
        let Some(target) = candidates.max_by_key(|t| silence(t)) else {
            self.probe_at = None;
            return;
        };
        if silence(target) < PROBE_AFTER_SILENCE {
            self.probe_at = Some((target.last_heard + PROBE_AFTER_SILENCE).max(now + wait));
            return;
        }
        let name = Arc::clone(&target.info.name);
        if self.probe_budget.try_withdraw(now) {
            if let Some(target) = self.targets.get_mut(&name) {
                target.last_heard = now;
            }
            actions.push(Action::Probe { target: name });
        }
        self.probe_at = self.probe_budget.time_to_next(now).map(|wait| now + wait);
    }
}
