//! Types and computations that open no sockets and start no processes.

pub mod consistency;
pub mod deployment;
pub mod error;
pub mod experiment;
pub mod mix;
pub mod report;
pub mod sample;
pub mod schedule;
pub mod stats;

pub use error::LoadError;
