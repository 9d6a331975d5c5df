//! The fleet under message loss, duplication, reordering, pauses, restarts and partitions.

mod cases;
mod chaos;
mod chart;
mod leaving;
mod membership;
mod messages;
mod placement;
mod settings;
mod slots;
mod world;
