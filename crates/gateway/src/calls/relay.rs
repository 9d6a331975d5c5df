//! Relays a call to another gateway while this one is cut off from all targets.

use super::{
    exchange::{ReceivedResponse, Upstream, receive},
    inbound::InboundCall,
    pool::ConnectionPool,
};
use crate::{
    adapter::{CallAdapter, PlatformAdapter},
    gateway::Gateway,
};
use std::{net::SocketAddr, rc::Rc};

/// How the relay of a call to one gateway ended.
#[derive(Debug)]
pub(super) enum RelayOutcome {
    /// The other gateway answered.
    Answered(Box<ReceivedResponse>),
    /// The other gateway has received no part of the call.
    Unsent,
    /// The exchange failed. The call may have run.
    Broken,
}

/// Sends the call to the gateway at `peer`, which may make `attempts` attempts, and waits for its
/// answer.
pub(super) async fn relay<Adapter>(
    gateway: Rc<Gateway<Adapter>>,
    pool: Rc<ConnectionPool>,
    inbound: Rc<InboundCall>,
    peer: SocketAddr,
    attempts: u32,
) -> RelayOutcome
where
    Adapter: CallAdapter + PlatformAdapter,
{
    let timeout = inbound.deadline.since(gateway.clock.now());
    let request = inbound.build_relay_request(&gateway.adapter, attempts, timeout);
    let Some(request) = request else { return RelayOutcome::Unsent };
    let upstream =
        Upstream { gateway: &gateway, pool: &pool, inbound: &inbound, address: peer, target: None };
    let mut sent = false;
    match upstream.send(request, &mut sent).await {
        Ok((response, connection)) => {
            let received = receive(&gateway.adapter, &pool, &inbound, response, connection).await;
            received.map_or(RelayOutcome::Broken, |(_, r)| RelayOutcome::Answered(Box::new(r)))
        }
        Err(_) if sent => RelayOutcome::Broken,
        Err(_) => RelayOutcome::Unsent,
    }
}
