//! What the commands do.

pub mod callers;
pub mod demo;
pub mod direct;
pub mod drive;

pub mod fleet;
pub mod ideal;

pub mod run;
pub mod throughput;
