//! Generation of the active configuration bundle, which never decreases.

use std::fmt;

/// Number of a bundle; zero means that none is active yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct Generation(pub u64);

impl fmt::Display for Generation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Relation of a received bundle to the active one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It is newer: verify and activate it.
    Newer,
    /// It is the active one.
    Same,
    /// It is older than the active one: ignore it, regardless of its sender.
    Older,
}

/// Holder of the active generation. Invariant: it never decreases.
#[derive(Debug, Default)]
pub struct Gate {
    current: Generation,
}

impl Gate {
    /// Returns the active generation.
    pub fn current(&self) -> Generation {
        self.current
    }

    /// Compares a received generation with the active one.
    pub fn compare(&self, received: Generation) -> Verdict {
        match received.cmp(&self.current) {
            std::cmp::Ordering::Greater => Verdict::Newer,
            std::cmp::Ordering::Equal => Verdict::Same,
            std::cmp::Ordering::Less => Verdict::Older,
        }
    }

    /// Makes the generation of a verified bundle the active one. Returns false and changes nothing
    /// if one that is as new or newer was accepted in the meantime.
    pub fn accept(&mut self, verified: Generation) -> bool {
        if self.compare(verified) != Verdict::Newer {
            return false;
        }
        self.current = verified;
        true
    }
}
