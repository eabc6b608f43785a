//! Idempotency keys.

use std::fmt;

use xxhash_rust::xxh3;

use crate::{clock, entity};

/// An idempotency key: a UUIDv7, which contains its creation time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key(uuid::Uuid);

/// Error for input that is not a UUIDv7.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("an idempotency key must be a UUIDv7")]
pub struct Error;

impl Key {
    /// Parses the textual form.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if the text is not a UUIDv7.
    pub fn parse(text: &str) -> Result<Key, Error> {
        Key::new(uuid::Uuid::parse_str(text).map_err(|_| Error)?)
    }

    /// Creates a key from a UUID.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if the UUID is not of version 7.
    pub fn new(id: uuid::Uuid) -> Result<Key, Error> {
        match id.get_version() {
            Some(uuid::Version::SortRand) => Ok(Key(id)),
            _ => Err(Error),
        }
    }

    /// Creates a key from its 16 bytes.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if the bytes are not a UUIDv7.
    pub fn from_bytes(bytes: &[u8]) -> Result<Key, Error> {
        Key::new(uuid::Uuid::from_slice(bytes).map_err(|_| Error)?)
    }

    /// Returns the 16 bytes of the key.
    pub fn bytes(&self) -> &[u8; 16] {
        self.0.as_bytes()
    }

    /// Returns the creation time by the clock of the process that created the key: the first 48
    /// bits (RFC 9562, section 5.7).
    pub fn time(&self) -> clock::Wall {
        let mut millis = [0; 8];
        millis[2..].copy_from_slice(&self.0.as_bytes()[..6]);
        clock::Wall::from_millis(u64::from_be_bytes(millis))
    }

    /// Returns the slot of the key in a table of `slots` slots.
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
