//! Revisions of the platform's store.
//!
//! The store numbers its changes. When it loses a part of its history, it assigns the lost numbers
//! again to other changes. The *era* is the number of such losses, which the store reports. Era and
//! number together order all changes that any process has received.

use std::fmt;

/// Bits of the change number in an ordinal, enough for 400 changes per second for five years.
const NUMBER_BITS: u32 = 36;

/// A revision of the store. The lowest one precedes all changes.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Revision {
    /// Number of times that the store had lost a part of its history.
    pub era: u32,
    /// Number of the change. After a loss, numbers continue from the last change that the store
    /// kept.
    pub number: u64,
}

impl Revision {
    /// The revision before any change, which represents a key that does not exist.
    pub const ZERO: Revision = Revision { era: 0, number: 0 };

    /// Returns the revision of change `number` in an era.
    pub fn new(era: u32, number: u64) -> Revision {
        Revision { era, number }
    }

    /// Returns whether this revision represents a key that does not exist.
    pub fn is_zero(self) -> bool {
        self.number == 0
    }

    /// Returns one number that has the same order as revisions. Terms and fences use it.
    pub fn ordinal(self) -> u64 {
        debug_assert!(
            self.number >> NUMBER_BITS == 0,
            "the change number exceeds the bits of an ordinal"
        );
        (u64::from(self.era) << NUMBER_BITS) + self.number
    }

    /// Returns the revision with that [`Revision::ordinal`].
    pub fn from_ordinal(ordinal: u64) -> Revision {
        let era = u32::try_from(ordinal >> NUMBER_BITS).unwrap_or(u32::MAX);
        Revision { era, number: ordinal & ((1 << NUMBER_BITS) - 1) }
    }
}

/// The same text as [`fmt::Display`], because log lines contain revisions within the `Debug` text
/// of outcomes.
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
