//! Helpers without knowledge of calls.

pub mod client;
pub mod process;
pub mod table;
pub mod web;
