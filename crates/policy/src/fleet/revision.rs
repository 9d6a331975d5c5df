//! Order of the documents that the platform publishes.

use std::fmt;

/// Era before the first restore of the platform.
const FIRST_ERA: u64 = 1;
/// Bits of a code that hold the number; the others hold the era.
const NUMBER_BITS: u32 = 40;

/// Revision of a published document: its number, and the era of the platform in which it was written.
///
/// Each time the platform is restored from a copy an era begins, in which the numbers continue from
/// an earlier one. Revisions are therefore ordered by era, then by number.
///
/// Entries exchange a revision as one number, its code. Codes have the order of the revisions, and
/// those of the first era are the numbers, so that entries of a version without eras order them
/// alike.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PublishedRevision {
    code: u64,
}

impl PublishedRevision {
    /// Returns the revision with `number` in `era`, or `None` if there is no code for it: eras are
    /// above 0 and below 2^24, numbers are below 2^40. Without an era it is in the first one.
    pub fn new(era: Option<u64>, number: u64) -> Option<Self> {
        let earlier_eras = era.unwrap_or(FIRST_ERA).checked_sub(FIRST_ERA)?;
        let has_code = earlier_eras >> (u64::BITS - NUMBER_BITS) == 0 && number >> NUMBER_BITS == 0;
        has_code.then_some(Self { code: earlier_eras << NUMBER_BITS | number })
    }

    /// Returns the revision with `code`.
    pub const fn from_code(code: u64) -> Self {
        Self { code }
    }

    /// Returns the code.
    pub const fn code(self) -> u64 {
        self.code
    }

    /// Returns the era in which the document was written.
    pub const fn era(self) -> u64 {
        (self.code >> NUMBER_BITS) + FIRST_ERA
    }

    /// Returns the era if it is not the first, as in record lines.
    pub fn later_era(self) -> Option<u64> {
        Some(self.era()).filter(|era| *era != FIRST_ERA)
    }

    /// Returns the number that the platform gave to the document, or 0 before the first document.
    pub const fn number(self) -> u64 {
        self.code & ((1 << NUMBER_BITS) - 1)
    }
}

impl fmt::Display for PublishedRevision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.era() {
            FIRST_ERA => write!(f, "{}", self.number()),
            era => write!(f, "{era}:{}", self.number()),
        }
    }
}
