//! The state machine of one service at one entry.

use super::{
    event::{Action, Call, CallId, Event, RefusalReason, UnknownReason},
    plan::{ServicePlan, TargetPlan},
};
use crate::Timestamp;
use indexmap::IndexMap;
use std::{collections::VecDeque, sync::Arc, time::Duration};

/// Decides about the calls of one service at one entry.
#[derive(Debug)]
pub struct Dispatcher {
    plan: Arc<ServicePlan>,
    targets: IndexMap<Arc<str>, (TargetPlan, u32)>,
    waiting: VecDeque<Call>,
    running: IndexMap<CallId, (Call, u32)>,
}

impl Dispatcher {
    /// A dispatcher without targets. Equal seeds and events give equal actions.
    pub fn new(plan: Arc<ServicePlan>, _seed: u64) -> Self {
        Self { plan, targets: IndexMap::new(), waiting: VecDeque::new(), running: IndexMap::new() }
    }

    /// Takes in one event and appends what is to be done to `actions`.
    pub fn handle(&mut self, now: Timestamp, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Arrive(call) => self.waiting.push_back(call),
            Event::Answered { call, target, .. } => {
                self.release(&target);
                self.running.swap_remove(&call);
            }
            Event::Refused { call, target, .. } => {
                self.release(&target);
                self.again(call);
            }
            Event::Failed { call, target, proof_not_run, .. } => {
                self.release(&target);
                if proof_not_run {
                    self.again(call);
                } else if self.running.swap_remove(&call).is_some() {
                    actions.push(Action::Unknown { call, reason: UnknownReason::Broken });
                }
            }
            Event::CallerGone(call) => self.waiting.retain(|c| c.id != call),
            Event::Plan(plan) => self.plan = plan,
            Event::Targets(targets) => {
                let old = std::mem::take(&mut self.targets);
                for t in targets {
                    let busy = old.get(&t.name).map_or(0, |o| o.1);
                    self.targets.insert(Arc::clone(&t.name), (t, busy));
                }
            }
            _ => {}
        }
        self.start(now, actions);
    }

    /// When [`Event::Tick`] is due next, if ever.
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        self.waiting.iter().map(|c| c.deadline).min()
    }

    fn release(&mut self, target: &str) {
        if let Some((_, busy)) = self.targets.get_mut(target) {
            *busy = busy.saturating_sub(1);
        }
    }

    fn again(&mut self, id: CallId) {
        if let Some((call, _)) = self.running.swap_remove(&id) {
            self.waiting.push_front(call);
        }
    }

    fn start(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        while let Some(call) = self.waiting.front() {
            if call.deadline <= now {
                let reason = RefusalReason::Deadline;
                let retry_after = Duration::from_secs(1);
                actions.push(Action::Refuse { call: call.id, reason, retry_after });
                self.waiting.pop_front();
                continue;
            }
            let free = self.targets.values_mut().filter(|(t, busy)| !t.leaving && *busy < t.slots);
            let Some((target, busy)) = free.min_by_key(|(_, busy)| *busy) else { return };
            let target = Arc::clone(&target.name);
            *busy += 1;
            let Some(call) = self.waiting.pop_front() else { return };
            actions.push(Action::Dispatch { call: call.id, target, attempt: 1 });
            self.running.insert(call.id, (call, 1));
        }
    }
}
