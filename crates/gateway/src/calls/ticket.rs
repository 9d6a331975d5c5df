//! The end of a call: counted, logged and given back to the balancer exactly once.

use super::inbound::Inbound;
use crate::{
    adapter::{CallAdapter, PlatformAdapter},
    gateway::Gateway,
};
use std::rc::Rc;

/// Held by the task of a call for as long as the call lives.
#[derive(Debug)]
pub(super) struct Ticket<Adapter>
where
    Adapter: CallAdapter + PlatformAdapter,
{
    gateway: Rc<Gateway<Adapter>>,
    inbound: Rc<Inbound>,
    ended: bool,
}

impl<Adapter> Ticket<Adapter>
where
    Adapter: CallAdapter + PlatformAdapter,
{
    /// The ticket of a call that is about to be placed.
    pub(super) fn new(gateway: Rc<Gateway<Adapter>>, inbound: Rc<Inbound>) -> Self {
        Self { gateway, inbound, ended: false }
    }

    /// The call ends with `outcome`.
    pub(super) fn end(&mut self, outcome: &str, detail: &str) {
        if self.ended {
            return;
        }
        self.ended = true;
        let inbound = &self.inbound;
        let elapsed = self.gateway.clock.now().since(inbound.arrival);
        log::info!(
            "calls: ended id={} route={} service={} version={} outcome={outcome} {detail} ms={}",
            inbound.id(),
            inbound.route.name,
            inbound.service,
            inbound.version,
            elapsed.as_millis(),
        );
        let seconds = elapsed.as_secs_f64();
        let metrics = &self.gateway.metrics;
        metrics.call_ended(&inbound.service, &inbound.route.name, outcome, seconds);
        self.gateway.forget_call(inbound.number);
    }
}

impl<Adapter> Drop for Ticket<Adapter>
where
    Adapter: CallAdapter + PlatformAdapter,
{
    fn drop(&mut self) {
        self.end("caller-gone", "");
    }
}
