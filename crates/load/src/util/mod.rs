//! General helpers that do not depend on calls.

pub mod client;
pub mod process;
pub mod rest;
pub mod table;
