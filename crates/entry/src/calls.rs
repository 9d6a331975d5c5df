//! The request path: callers in, targets and peers out.
//!
//! A call is read (`inbound`), gets a key check when it is not idempotent (`keyed`), waits in
//! its service's dispatcher (`service`), is exchanged with a target or a peer (`exchange`) and
//! is answered with its outcome (`reply`). Every call ends exactly once, in `ending`.

mod app;
mod attempt;
mod body;
mod copies;
mod ending;
mod exchange;
mod feed;
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
mod targets;

pub use server::Server;
