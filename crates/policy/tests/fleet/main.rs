//! Simulated fleet under message loss, duplication, reordering, pauses, restarts and partitions.

#![allow(clippy::unwrap_used, clippy::expect_used)]

mod cases;
mod chaos;
mod chart;
mod cluster;
mod leaving;
mod membership;
mod messages;
mod monitor;
mod placement;
mod settings;
mod slots;
