//! Control plane of an entry: watches the platform, talks to peers and publishes the view.
//!
//! It runs on a separate thread, so that request load cannot starve it and its CPU time can be
//! measured per thread. Decisions are made by `azuretally_policy::fleet`; this module reads the
//! clock and does the I/O.

mod control_loop;
mod directions;
mod error;
mod handle;
mod load;
mod peers;
mod platform;
mod view_builder;

pub use directions::{DIRECTIONS_TTL_MS, directions};
pub use error::PlatformError;
pub use handle::{ControlCounters, ControlHandle};

use crate::{StartError, context::Context};
use azuretally_policy::fleet::{Addresses, FleetBuilder};
use control_loop::ControlLoop;
use error_stack::{Report, ResultExt};
use peers::PeerConnections;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::{
    sync::Arc,
    time::{SystemTime, UNIX_EPOCH},
};

/// Runs the control loop until the process shuts down.
///
/// # Errors
///
/// Returns [`StartError::Bind`] if the address for peers cannot be bound and
/// [`StartError::Runtime`] if the fleet state machine cannot be built.
pub async fn run(context: &Arc<Context>) -> Result<(), Report<StartError>> {
    let local = &context.local;
    let (peers, inbox) = PeerConnections::listen(local.listen.peers)
        .await
        .change_context(StartError::Bind(local.listen.peers))?;
    let addresses = Addresses { calls: local.listen.calls, peers: local.listen.peers };
    let builder =
        FleetBuilder::new(Arc::clone(&local.host), Arc::clone(&local.failure_domain), addresses);
    let fleet = builder
        .key(&context.peer_key)
        .generation(generation())
        .seeds(&local.seeds)
        .seed(rand::random())
        .build(context.clock.now())
        .change_context(StartError::Runtime)?;
    let control_loop =
        ControlLoop::new(context, fleet, peers, Pcg64Mcg::seed_from_u64(rand::random()));
    control_loop.run(inbox).await;
    Ok(())
}

/// Returns the generation of this process: the wall-clock time, in ms, which orders the processes
/// of one host. If the clock was set back, the state machine moves to a higher generation than the
/// one it hears of from peers.
fn generation() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}
