//! The request path: callers in, targets out.
//!
//! A call is read (`inbound`), placed by the balancer (`task`), exchanged with one or more targets
//! (`exchange`) and answered. Every call ends exactly once (`ticket`).

mod body;
mod exchange;
mod inbound;
mod pool;
mod probe;
mod server;
mod task;
mod ticket;

pub use server::Server;
