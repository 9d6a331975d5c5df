//! Planned stops of gateway processes, and slow callers beside none, as callers see them on their sockets.
#![allow(clippy::expect_used)]

mod bodies;
mod call;
mod caller;
mod deployment;
mod exit;
mod gateway;
mod idle;
mod late;
mod load;
mod network;
mod pipelined;
mod rolling;
mod signals;
mod slow_readers;
mod store;
mod target;
mod targets_leaving;
mod verdict;
