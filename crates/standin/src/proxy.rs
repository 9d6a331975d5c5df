//! TCP proxy that injects faults into the connections it forwards.

mod control;
mod link;
mod pump;

pub use control::serve;
pub use link::{Faults, Link, LinkCounts, connect_from};
