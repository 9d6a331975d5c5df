//! Types that hold no socket and start no process.

pub mod deployment;
pub mod error;
pub mod experiment;
pub mod mix;
pub mod proof;
pub mod report;
pub mod sample;
pub mod schedule;
pub mod score;

pub use error::LoadError;
