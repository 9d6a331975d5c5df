//! What the commands do.

mod check;

pub use check::check;
