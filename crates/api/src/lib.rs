//! HTTP header names and JSON bodies exchanged by azuretally's processes, their callers, the
//! targets and the platform.

pub mod admin;
pub mod directions;
pub mod headers;
pub mod platform;
pub mod record;
pub mod retry_after;
