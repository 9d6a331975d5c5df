//! Order of the platform's data.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Restores of the platform that a running gateway may have missed.
const MAX_ERA_STEP: u64 = 64;

/// Point in the history of the platform's data.
///
/// The platform numbers its changes. Each time it is restored from a copy an era begins, in which the
/// numbers continue from an earlier one. Eras are therefore compared before numbers.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Revision {
    /// Era of the data; 0 if the platform names none, or if nothing is known.
    pub era: u64,
    /// Number of the last change; 0 if nothing is known.
    pub number: u64,
}

impl Revision {
    /// Returns the revision with `number` in `era`.
    pub const fn new(era: u64, number: u64) -> Self {
        Self { era, number }
    }

    /// Returns whether data of this revision may come after that of `known`: a higher era that no gateway
    /// can have missed so many restores for is an error.
    pub const fn may_follow(self, known: Self) -> bool {
        known.era == 0 || self.era <= known.era.saturating_add(MAX_ERA_STEP)
    }

    /// Returns whether nothing is known.
    pub const fn is_unknown(self) -> bool {
        self.number == 0
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.era {
            0 => write!(f, "{}", self.number),
            era => write!(f, "{era}:{}", self.number),
        }
    }
}
