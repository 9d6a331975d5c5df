//! Completion of a call: it is logged, counted and removed from the balancer exactly once.

use super::inbound::InboundCall;
use crate::{
    adapter::{CallAdapter, PlatformAdapter},
    gateway::Gateway,
};
use std::rc::Rc;

/// Completes a call exactly once.
///
/// The task of the call owns the guard. If the guard is dropped before [`CallGuard::complete`], the
/// call ends as `interrupted` when the process exits, and otherwise as `caller-gone`, because the
/// caller closed its connection.
#[derive(Debug)]
pub(super) struct CallGuard<Adapter>
where
    Adapter: CallAdapter + PlatformAdapter,
{
    gateway: Rc<Gateway<Adapter>>,
    inbound: Rc<InboundCall>,
    completed: bool,
}

impl<Adapter> CallGuard<Adapter>
where
    Adapter: CallAdapter + PlatformAdapter,
{
    /// Creates the guard of a call that is about to be submitted to the balancer.
    pub(super) fn new(gateway: Rc<Gateway<Adapter>>, inbound: Rc<InboundCall>) -> Self {
        Self { gateway, inbound, completed: false }
    }

    /// Completes the call with `outcome`, unless it is complete already. `detail` becomes a part of
    /// its log line.
    pub(super) fn complete(&mut self, outcome: &str, detail: &str) {
        if self.completed {
            return;
        }
        self.completed = true;
        let inbound = &self.inbound;
        let elapsed = self.gateway.clock.now().since(inbound.arrived_at);
        log::info!(
            "calls: ended id={} route={} service={} version={} outcome={outcome} {detail} ms={} \
             digest={} connection={}",
            inbound.log_id(),
            inbound.route.name,
            inbound.service,
            inbound.version,
            elapsed.as_millis(),
            inbound.digests.content,
            inbound.connection,
        );
        let seconds = elapsed.as_secs_f64();
        let metrics = &self.gateway.metrics;
        metrics.record_call(&inbound.service, &inbound.route.name, outcome, seconds);
        self.gateway.forget_call(inbound.id);
    }
}

impl<Adapter> Drop for CallGuard<Adapter>
where
    Adapter: CallAdapter + PlatformAdapter,
{
    fn drop(&mut self) {
        let outcome = match self.gateway.shutdown.is_cancelled() {
            true => "interrupted",
            false => "caller-gone",
        };
        self.complete(outcome, "");
    }
}
