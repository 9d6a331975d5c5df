//! What azuretally's processes, its callers, the targets and the platform say to each other over
//! HTTP: header names and JSON bodies.

pub mod admin;
pub mod directions;
pub mod headers;
pub mod platform;
pub mod record;
