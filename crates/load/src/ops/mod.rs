//! Implementations of the commands.

pub mod callers;
pub mod central_queue;
pub mod demo;
pub mod direct;
pub mod experiment;
pub mod fleet;
pub mod open_loop;
pub mod plot;
pub mod run;
pub mod throughput;
pub mod trial;
