//! What another gateway of the failure domain tells of itself.

use azuretally_policy::balance::{
    Build, GatewayLoad, Heartbeat, HeartbeatExtension, Phase, ReadState,
};
use std::{net::SocketAddr, sync::Arc};

/// Capacity of the other gateway, in thousandths of a core.
pub(crate) const PEER_CAPACITY: u32 = 200;

/// Returns the first heartbeat of a ready gateway in failure domain `a` that takes calls at `address`.
pub(crate) fn heartbeat_of(address: SocketAddr) -> Heartbeat {
    Heartbeat {
        host: Arc::from(address.to_string()),
        domain: Arc::from("a"),
        incarnation: 1,
        sequence: 1,
        call_address: address,
        capacity: PEER_CAPACITY,
        phase: Phase::Ready,
        settled: true,
        revision: 1,
        age_ms: Some(0),
        reader: false,
        remote_primaries: Vec::new(),
        extension: HeartbeatExtension::default(),
        build: Build::default(),
        reads: ReadState::default(),
        load: GatewayLoad::default(),
    }
}
