//! Decisions about the fleet as a whole: who is in it, which settings are in force, which entries
//! serve which service and which targets are leaving.

mod placement;

pub use placement::{Candidate, place};
