//! What happens because time has passed.

use super::Dispatcher;
use crate::{
    Timestamp,
    dispatch::{
        event::{Action, RefusalReason},
        target::Target,
    },
};
use std::{sync::Arc, time::Duration};

/// Silence of a target after which a probe is worth its cost.
const SILENCE: Duration = Duration::from_secs(5);

impl Dispatcher {
    /// Gives up the waiting calls that can no longer end before their deadline.
    pub(super) fn expire(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        while let Some((latest, id)) = self.queue.earliest_expiry() {
            if latest > now {
                return;
            }
            if let Some(entry) = self.calls.get(&id) {
                self.queue.remove(entry);
            }
            self.give_up(now, id, RefusalReason::Deadline, actions);
        }
    }

    /// Puts the calls back into the queue whose next attempt is due.
    pub(super) fn end_backoffs(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        while let Some((at, id)) = self.backoffs.first().copied() {
            if at > now {
                return;
            }
            self.backoffs.remove(&(at, id));
            if self.calls.get(&id).is_some_and(|e| e.call.deadline > now) {
                self.requeue(now, id, actions);
            } else {
                self.give_up(now, id, RefusalReason::Deadline, actions);
            }
        }
    }

    /// Sends a probe where nothing else tells about a target, within the budget.
    pub(super) fn start_probe(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        if self.probe_at.is_some_and(|at| at > now) {
            return;
        }
        let Some(wait) = self.probes.wait(now) else {
            self.probe_at = None;
            return;
        };
        let since = |t: &Target| now.since(t.heard);
        let silent = self.targets.values().filter(|t| !t.gone && !t.plan.leaving);
        let Some(target) = silent.max_by_key(|t| since(t)) else {
            self.probe_at = None;
            return;
        };
        if since(target) < SILENCE {
            self.probe_at = Some((target.heard + SILENCE).max(now + wait));
            return;
        }
        let name = Arc::clone(&target.plan.name);
        if self.probes.take(now) {
            if let Some(target) = self.targets.get_mut(&name) {
                target.heard = now;
            }
            actions.push(Action::Probe { target: name });
        }
        self.probe_at = self.probes.wait(now).map(|wait| now + wait);
    }
}
