//! Which bundle is in force: generations only rise.

use std::fmt;

/// Number of a bundle put in force; zero stands for "none yet".
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct Generation(pub u64);

impl fmt::Display for Generation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// What to do with a bundle that was heard of.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It is newer: verify it and put it in force.
    Newer,
    /// It is the one in force.
    Same,
    /// It is older than the one in force: ignore it, whoever sent it.
    Older,
}

/// Holds the generation in force. Invariant: it never falls.
#[derive(Debug, Default)]
pub struct Gate {
    current: Generation,
}

impl Gate {
    /// The generation in force.
    pub fn current(&self) -> Generation {
        self.current
    }

    /// What to do with a bundle of that generation.
    pub fn compare(&self, heard: Generation) -> Verdict {
        match heard.cmp(&self.current) {
            std::cmp::Ordering::Greater => Verdict::Newer,
            std::cmp::Ordering::Equal => Verdict::Same,
            std::cmp::Ordering::Less => Verdict::Older,
        }
    }

    /// Puts a verified bundle in force. Returns false, and changes nothing,
    /// where a newer one came in meanwhile.
    pub fn accept(&mut self, verified: Generation) -> bool {
        if self.compare(verified) != Verdict::Newer {
            return false;
        }
        self.current = verified;
        true
    }
}
