//! The request path from callers to targets.
//!
//! A call is read (`inbound`), dispatched as the balancer decides (`task`), sent to one or more
//! targets (`exchange`) and answered. Every call is completed exactly once (`call_guard`). The end of
//! each connection of a caller is logged and counted (`connection`).

mod allowance;
mod body;
mod call_guard;
mod connection;
mod crash;
mod exchange;
mod inbound;
mod lateness;
mod pool;
mod probe;
mod reach;
mod relay;
mod server;
mod streams;
mod task;
mod unread;

pub use server::Server;
