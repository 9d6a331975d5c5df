//! Help that has nothing to do with azuretally.

pub mod http;
pub mod table;
pub mod text;
