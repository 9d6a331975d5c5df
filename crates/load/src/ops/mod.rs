//! What the commands do.

pub mod callers;
pub mod demo;
pub mod direct;
pub mod drive;
pub mod experiment;
pub mod fleet;
pub mod ideal;
pub mod plot;
pub mod run;
pub mod throughput;
pub mod trial;
