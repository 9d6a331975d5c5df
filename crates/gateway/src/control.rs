//! Control plane of a gateway: platform reads, heartbeats, catalog updates between gateways,
//! directions, readiness and metrics.

pub mod codec;
mod peers;
mod platform;
mod servers;
mod sync;
mod unreadable;

pub use peers::HeartbeatSocket;
pub use servers::ControlServers;
pub use unreadable::UnreadableMessages;

use crate::{
    adapter::{CallAdapter, PlatformAdapter},
    gateway::Gateway,
};
use std::rc::Rc;

/// Runs the control plane until the process shuts down.
pub async fn run<Adapter>(
    gateway: Rc<Gateway<Adapter>>,
    heartbeats: HeartbeatSocket,
    servers: ControlServers,
) where
    Adapter: CallAdapter + PlatformAdapter,
{
    tokio::join!(
        servers.run(Rc::clone(&gateway)),
        until_shutdown(&gateway, peers::run(Rc::clone(&gateway), heartbeats)),
        until_shutdown(&gateway, peers::watch(Rc::clone(&gateway))),
        until_shutdown(&gateway, platform::run(Rc::clone(&gateway))),
        until_shutdown(&gateway, sync::run(Rc::clone(&gateway))),
    );
}

async fn until_shutdown<Adapter, Task>(gateway: &Gateway<Adapter>, task: Task)
where
    Task: Future<Output = ()>,
{
    tokio::select! {
        () = gateway.shutdown.cancelled() => {}
        () = task => {}
    }
}
