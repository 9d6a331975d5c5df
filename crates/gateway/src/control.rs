//! Everything beside calls: the platform, the other gateways, directions and readiness.

mod peers;
mod platform;
mod servers;
mod sync;

pub use peers::HeartbeatSocket;
pub use servers::ControlServers;

use crate::{
    adapter::{CallAdapter, PlatformAdapter},
    gateway::Gateway,
};
use std::rc::Rc;

/// Runs until the end of the process.
pub async fn run<Adapter>(
    gateway: Rc<Gateway<Adapter>>,
    heartbeats: HeartbeatSocket,
    answers: ControlServers,
) where
    Adapter: CallAdapter + PlatformAdapter,
{
    tokio::join!(
        answers.run(Rc::clone(&gateway)),
        until_end(&gateway, peers::run(Rc::clone(&gateway), heartbeats)),
        until_end(&gateway, peers::watch(Rc::clone(&gateway))),
        until_end(&gateway, platform::run(Rc::clone(&gateway))),
        until_end(&gateway, sync::run(Rc::clone(&gateway))),
    );
}

async fn until_end<Adapter, Work>(gateway: &Gateway<Adapter>, work: Work)
where
    Work: Future<Output = ()>,
{
    tokio::select! {
        () = gateway.shutdown.cancelled() => {}
        () = work => {}
    }
}
