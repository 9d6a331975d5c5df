//! Planned stops of gateway processes, as callers see them on their sockets.
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
mod store;
mod target;
mod targets_leaving;
mod verdict;
