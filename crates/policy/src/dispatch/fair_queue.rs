//! Fair queueing among the callers of one class.
//!
//! Start-time fair queueing (Goyal, Vin and Cheng, 1996) over slot time: each caller is a flow with
//! a virtual start tag, and the call of the flow with the lowest tag starts first. A start is
//! charged the expected slot time; the charge is corrected once the slot is free again.

use super::event::CallId;
use indexmap::IndexMap;
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

/// Key of a flow in the ready set: start tag, sequence number of its first call, flow index.
type ReadyKey = (u64, u64, u32);

/// Queue state of one caller.
#[derive(Debug, Default)]
struct Flow {
    caller: Option<Arc<str>>,
    /// Virtual time at which the next call of the flow starts, in µs of slot time.
    start_tag: u64,
    /// Waiting calls by sequence number.
    waiting: BTreeMap<u64, CallId>,
    /// Number of started calls that have not ended.
    running: u32,
    /// Key in the ready set, if the flow has waiting calls.
    ready: Option<ReadyKey>,
}

/// Waiting calls of one class, scheduled fairly among callers. Operations take O(log n) time.
#[derive(Debug, Default)]
pub(super) struct FairQueue {
    flows: Vec<Flow>,
    /// Indices of unused flows.
    free_flows: Vec<u32>,
    by_caller: IndexMap<Arc<str>, u32>,
    /// Flows with waiting calls, in the order in which they are served.
    ready: BTreeSet<ReadyKey>,
    /// Flows with waiting calls by their number of waiting calls.
    by_length: BTreeSet<(usize, u32)>,
    /// Flows without calls by start tag.
    idle: BTreeSet<(u64, u32)>,
    /// Highest start tag at which a call was started.
    virtual_time: u64,
    len: usize,
}

impl FairQueue {
    /// Returns the number of waiting calls.
    pub(super) fn len(&self) -> usize {
        self.len
    }

    /// Returns the number of callers with waiting calls.
    pub(super) fn active_callers(&self) -> usize {
        self.ready.len()
    }

    /// Returns the number of waiting calls of `caller`.
    pub(super) fn waiting_of(&self, caller: &str) -> usize {
        self.by_caller.get(caller).map_or(0, |f| self.flows[*f as usize].waiting.len())
    }

    /// Returns the call that starts next.
    pub(super) fn head(&self) -> Option<CallId> {
        let (_, seq, flow) = self.ready.first()?;
        self.flows[*flow as usize].waiting.get(seq).copied()
    }

    /// Returns the last call of the caller with the most waiting calls, and the number of its
    /// waiting calls.
    pub(super) fn longest(&self) -> Option<(CallId, usize)> {
        let (len, flow) = self.by_length.last()?;
        let (_, call) = self.flows[*flow as usize].waiting.last_key_value()?;
        Some((*call, *len))
    }

    /// Adds a waiting call and returns its flow.
    pub(super) fn push(&mut self, caller: &Arc<str>, seq: u64, call: CallId) -> u32 {
        let flow = self.flow_for(caller);
        self.unlink(flow);
        let state = &mut self.flows[flow as usize];
        if state.waiting.is_empty() {
            state.start_tag = state.start_tag.max(self.virtual_time);
        }
        if state.waiting.insert(seq, call).is_none() {
            self.len += 1;
        }
        self.link(flow);
        flow
    }

    /// Removes a waiting call that will not start.
    pub(super) fn remove(&mut self, flow: u32, seq: u64) {
        self.unlink(flow);
        if self.flows[flow as usize].waiting.remove(&seq).is_some() {
            self.len -= 1;
        }
        self.link(flow);
    }

    /// Removes a waiting call that starts, and charges its caller `cost` µs of slot time.
    pub(super) fn start(&mut self, flow: u32, seq: u64, cost: u64) {
        self.unlink(flow);
        let state = &mut self.flows[flow as usize];
        if state.waiting.remove(&seq).is_some() {
            self.len -= 1;
        }
        self.virtual_time = self.virtual_time.max(state.start_tag);
        state.start_tag = state.start_tag.saturating_add(cost);
        state.running += 1;
        self.link(flow);
    }

    /// Ends a started call that was charged `cost` µs and took `actual` µs.
    pub(super) fn finish(&mut self, flow: u32, cost: u64, actual: u64) {
        self.unlink(flow);
        let state = &mut self.flows[flow as usize];
        state.start_tag = state.start_tag.saturating_add(actual).saturating_sub(cost);
        state.running = state.running.saturating_sub(1);
        self.link(flow);
    }

    /// Returns the flow of `caller`, creating it if necessary.
    fn flow_for(&mut self, caller: &Arc<str>) -> u32 {
        if let Some(flow) = self.by_caller.get(caller) {
            return *flow;
        }
        let flow = self.free_flows.pop().unwrap_or_else(|| {
            self.flows.push(Flow::default());
            (self.flows.len() - 1) as u32
        });
        let state = &mut self.flows[flow as usize];
        state.caller = Some(Arc::clone(caller));
        state.start_tag = self.virtual_time;
        self.by_caller.insert(Arc::clone(caller), flow);
        flow
    }

    /// Removes the flow from the ordered sets. Must be called before the flow is modified.
    fn unlink(&mut self, flow: u32) {
        let state = &mut self.flows[flow as usize];
        if let Some(key) = state.ready.take() {
            self.ready.remove(&key);
            self.by_length.remove(&(state.waiting.len(), flow));
        } else {
            self.idle.remove(&(state.start_tag, flow));
        }
    }

    /// Inserts the flow into the ordered sets after a modification.
    fn link(&mut self, flow: u32) {
        let state = &mut self.flows[flow as usize];
        if let Some((seq, _)) = state.waiting.first_key_value() {
            let key = (state.start_tag, *seq, flow);
            state.ready = Some(key);
            self.ready.insert(key);
            self.by_length.insert((state.waiting.len(), flow));
        } else if state.running == 0 {
            self.idle.insert((state.start_tag, flow));
        }
        self.evict_idle_flows();
    }

    /// Removes flows without calls whose start tag no longer affects the order.
    fn evict_idle_flows(&mut self) {
        while let Some((start_tag, flow)) = self.idle.first().copied() {
            let has_no_calls = self.len == 0 && self.by_caller.len() == self.idle.len();
            if start_tag > self.virtual_time && !has_no_calls {
                return;
            }
            self.idle.remove(&(start_tag, flow));
            let state = std::mem::take(&mut self.flows[flow as usize]);
            if let Some(caller) = state.caller {
                self.by_caller.swap_remove(&caller);
            }
            self.free_flows.push(flow);
        }
    }
}
