//! Requests that end the backend servers that run them.

use std::fmt;

use sha2::Digest as _;

/// Bytes of a digest: two requests share one by chance once in 2^64 of them.
const BYTES: usize = 16;

/// Names what a caller asks for, whichever of its tries it is: the same at all
/// gateways. Made by a cryptographic hash, so that no caller can choose a
/// request that is taken for another's.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Digest([u8; BYTES]);

impl Digest {
    /// The digest of a request by its parts, in an order that all callers of
    /// this function keep to.
    pub fn of(parts: &[&[u8]]) -> Digest {
        let mut hash = sha2::Sha256::new();
        for part in parts {
            hash.update((part.len() as u64).to_le_bytes());
            hash.update(part);
        }
        let mut bytes = [0; BYTES];
        bytes.copy_from_slice(&hash.finalize()[..BYTES]);
        Digest(bytes)
    }

    /// Its bytes.
    pub fn bytes(&self) -> &[u8] {
        &self.0
    }

    /// The digest with those bytes, if they are as many as one has.
    pub fn from_bytes(bytes: &[u8]) -> Option<Digest> {
        bytes.try_into().ok().map(Digest)
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}
