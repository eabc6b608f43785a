//! Idempotency keys.

use std::fmt;

use xxhash_rust::xxh3;

use crate::{clock, entity};

/// A key: a UUIDv7, which bears the time at which it was made.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key(uuid::Uuid);

/// The text is not a UUIDv7.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("an idempotency key must be a UUIDv7")]
pub struct Error;

impl Key {
    /// Reads the textual form.
    ///
    /// # Errors
    ///
    /// [`Error`] where it is not a UUIDv7.
    pub fn parse(text: &str) -> Result<Key, Error> {
        Key::new(uuid::Uuid::parse_str(text).map_err(|_| Error)?)
    }

    /// Takes a UUID.
    ///
    /// # Errors
    ///
    /// [`Error`] where it is not of version 7.
    pub fn new(id: uuid::Uuid) -> Result<Key, Error> {
        match id.get_version() {
            Some(uuid::Version::SortRand) => Ok(Key(id)),
            _ => Err(Error),
        }
    }

    /// Takes the 16 bytes of a key.
    ///
    /// # Errors
    ///
    /// [`Error`] where they are not a UUIDv7.
    pub fn from_bytes(bytes: &[u8]) -> Result<Key, Error> {
        Key::new(uuid::Uuid::from_slice(bytes).map_err(|_| Error)?)
    }

    /// The 16 bytes.
    pub fn bytes(&self) -> &[u8; 16] {
        self.0.as_bytes()
    }

    /// When the key was made, by the clock of whoever made it: the first 48
    /// bits (RFC 9562, section 5.7).
    pub fn time(&self) -> clock::Wall {
        let mut millis = [0; 8];
        millis[2..].copy_from_slice(&self.0.as_bytes()[..6]);
        clock::Wall::from_millis(u64::from_be_bytes(millis))
    }

    /// The slot that the key falls into.
    pub fn slot(&self, slots: usize) -> entity::Slot {
        let hash = xxh3::xxh3_64(self.0.as_bytes());
        entity::Slot::from_u32((hash % slots.max(1) as u64) as u32)
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
