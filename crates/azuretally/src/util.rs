//! General-purpose helpers.

pub mod http;
pub mod table;
pub mod text;
