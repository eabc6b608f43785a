//! Places in the history of the platform's store.
//!
//! The store counts its changes, and goes back when it loses a part of its history:
//! from then on it gives the same numbers to other changes. It tells how often that
//! happened, so that era and number together order all changes that were ever seen.

use std::fmt;

/// Bits of the number where both are in one: 400 changes a second for five years.
const NUMBER_BITS: u32 = 36;

/// A place in the store's history; the first one is before any change.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Revision {
    /// How often the store had lost a part of its history.
    pub era: u32,
    /// Number of the change, which counts on from what the store had kept.
    pub number: u64,
}

impl Revision {
    /// Before any change; stands for a key that does not exist.
    pub const ZERO: Revision = Revision { era: 0, number: 0 };

    /// A change of an era.
    pub fn new(era: u32, number: u64) -> Revision {
        Revision { era, number }
    }

    /// Whether it stands for a key that does not exist.
    pub fn is_zero(self) -> bool {
        self.number == 0
    }

    /// One number in the same order, for terms and fences.
    pub fn ordinal(self) -> u64 {
        debug_assert!(self.number >> NUMBER_BITS == 0, "the store counts further than that");
        (u64::from(self.era) << NUMBER_BITS) + self.number
    }

    /// The place with that [`Revision::ordinal`].
    pub fn from_ordinal(ordinal: u64) -> Revision {
        let era = u32::try_from(ordinal >> NUMBER_BITS).unwrap_or(u32::MAX);
        Revision { era, number: ordinal & ((1 << NUMBER_BITS) - 1) }
    }
}

/// The same as [`fmt::Display`]: lines of the log have it within outcomes.
impl fmt::Debug for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
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
