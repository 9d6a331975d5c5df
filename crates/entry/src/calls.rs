//! The request path: accepts calls from callers and forwards them to targets and peers.
//!
//! A call is read and validated (`inbound`). If it is not idempotent, its key is checked (`keyed`).
//! It then waits in the dispatcher of its service (`service`), is sent to a target or peer
//! (`attempt`, `exchange`) and gets a reply with its outcome (`reply`). Every call ends exactly
//! once, in `call_guard`. `connection` accounts for the connections of callers.

mod app;
mod attempt;
mod body;
mod call_guard;
mod connection;
mod copies;
mod exchange;
mod handler;
mod inbound;
mod keyed;
mod limits;
mod mailbox;
mod pool;
mod probe;
mod reply;
mod router;
mod server;
mod service;
mod target_addresses;
mod view_updates;

pub use server::Server;
