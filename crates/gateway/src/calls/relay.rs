//! Relays a call to another gateway while this one is cut off from all targets.

use super::{
    body::RequestBody,
    exchange::{ReceivedResponse, receive},
    inbound::InboundCall,
    pool::{Connection, ConnectionPool},
};
use crate::{
    adapter::{CallAdapter, PlatformAdapter},
    gateway::Gateway,
};
use http::Request;
use std::{net::SocketAddr, rc::Rc};

/// Maximum number of connections tried for one relay, since idle ones may turn out to be closed.
const MAX_SEND_TRIES: usize = 3;

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
    let Some(mut request) = request else { return RelayOutcome::Unsent };
    for _ in 0..MAX_SEND_TRIES {
        let idle = pool.take(peer, !inbound.route.idempotent);
        let connection = match idle {
            Some(connection) => connection,
            None => match pool.connect(peer).await {
                Ok(connection) => connection,
                Err(_) => return RelayOutcome::Unsent,
            },
        };
        if gateway.clock.now() >= inbound.deadline || !gateway.is_serving() {
            return RelayOutcome::Unsent;
        }
        match send(&gateway, &pool, &inbound, connection, request).await {
            Ok(outcome) => return outcome,
            Err(unsent) => request = unsent,
        }
    }
    RelayOutcome::Unsent
}

/// Sends the request on `connection`. Returns it if nothing was sent.
async fn send<Adapter>(
    gateway: &Gateway<Adapter>,
    pool: &ConnectionPool,
    inbound: &InboundCall,
    mut connection: Connection,
    request: Request<RequestBody>,
) -> Result<RelayOutcome, Request<RequestBody>>
where
    Adapter: CallAdapter + PlatformAdapter,
{
    match connection.sender.try_send_request(request).await {
        Ok(response) => {
            let received = receive(&gateway.adapter, pool, inbound, response, connection).await;
            Ok(received.map_or(RelayOutcome::Broken, |(_, r)| RelayOutcome::Answered(Box::new(r))))
        }
        Err(mut error) => error.take_message().map_or(Ok(RelayOutcome::Broken), Err),
    }
}
