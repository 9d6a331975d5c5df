//! Control work: platform, peers and the view.
//!
//! It runs on a thread of its own, so that request load cannot starve it and its cost can be read
//! per thread. Decisions are made by `azuretally_policy::fleet`; this module keeps time and moves
//! bytes.

mod control_loop;
mod directions;
mod error;
mod handle;
mod load;
mod peers;
mod platform;
mod view_builder;

pub use directions::{DIRECTIONS_TTL_MS, directions};
pub use error::{PeerError, PlatformError};
pub use handle::{ControlCounters, ControlHandle};

use crate::{StartError, context::Context};
use azuretally_policy::fleet::{Addresses, FleetBuilder};
use control_loop::ControlLoop;
use error_stack::{Report, ResultExt};
use peers::PeerSockets;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::{
    sync::Arc,
    time::{SystemTime, UNIX_EPOCH},
};

/// Runs until the end of the process.
///
/// # Errors
///
/// [`StartError`] when the address for peers cannot be used.
pub async fn run(context: &Arc<Context>) -> Result<(), Report<StartError>> {
    let local = &context.local;
    let (peers, inbox) = PeerSockets::listen(local.listen.peers)
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
    let shell = ControlLoop::new(context, fleet, peers, Pcg64Mcg::seed_from_u64(rand::random()));
    shell.run(inbox).await;
    shell.close();
    Ok(())
}

/// Wall-clock time orders the processes of one host. A clock that was set back is overcome by the
/// state machine, which takes a later number than it hears of.
fn generation() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
