//! Digests, keys and the three signed steps of a bundle: proposal, approval and roll.
//!
//! A *mark* is an operator's signature of one step. A *roll* puts a bundle in force under a
//! generation.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

use ed25519_dalek::Signer as _;
use serde::{Deserialize, Serialize};
use sha2::Digest as _;

use crate::error;

/// Length of a digest, in bytes.
const DIGEST_LENGTH: usize = 32;
/// Length of an ed25519 signature, in bytes.
const SIGNATURE_LENGTH: usize = 64;

/// A step of a bundle's lifecycle that an operator signs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// An operator proposes the bundle.
    Proposal,
    /// Another operator approves the bundle.
    Approval,
    /// An operator puts the bundle in force under a generation.
    Roll,
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Step::Proposal => "proposal",
            Step::Approval => "approval",
            Step::Roll => "roll",
        })
    }
}

/// SHA-256 digest of a bundle's text.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Digest([u8; DIGEST_LENGTH]);

impl Digest {
    /// Computes the digest of a bundle's text.
    pub fn of(text: &str) -> Digest {
        Digest(sha2::Sha256::digest(text.as_bytes()).into())
    }

    /// Parses the 64 hexadecimal digits that `Display` writes.
    ///
    /// # Errors
    ///
    /// Returns [`error::Error::Hex`] if the text has another form.
    pub fn parse(text: &str) -> Result<Digest, error::Error> {
        read_hex("digest", text).map(Digest)
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(self.0))
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl Serialize for Digest {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for Digest {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Digest, D::Error> {
        let text = String::deserialize(deserializer)?;
        Digest::parse(&text).map_err(serde::de::Error::custom)
    }
}

fn read_hex<const N: usize>(what: &'static str, text: &str) -> Result<[u8; N], error::Error> {
    let mut bytes = [0; N];
    hex::decode_to_slice(text.trim(), &mut bytes)
        .map_err(|_| error::Error::Hex { what, digits: N * 2 })?;
    Ok(bytes)
}

/// An operator's signature of a step.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Mark {
    /// Name of the operator.
    pub operator: Arc<str>,
    /// Ed25519 signature, in hexadecimal.
    pub signature: String,
}

/// A roll: the statement that a digest is in force from a generation on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Roll {
    /// Generation, one above the previous one.
    pub generation: u64,
    /// Unique value of this attempt. The operator's tool reads it back if the platform's answer was
    /// lost.
    pub nonce: String,
    /// Signature of generation, nonce and digest.
    pub mark: Mark,
}

/// Returns the bytes that a signature covers. They include the step, so that a signature of one
/// step does not verify for another.
fn signed_bytes(step: Step, digest: Digest, generation: u64, nonce: &str) -> Vec<u8> {
    format!("loftcove {step} {digest} {generation} {nonce}").into_bytes()
}

/// Name and secret key of an operator.
pub struct Signer {
    name: Arc<str>,
    key: ed25519_dalek::SigningKey,
}

impl Signer {
    /// Creates a signer from the 64 hexadecimal digits of the secret key.
    ///
    /// # Errors
    ///
    /// Returns [`error::Error::Hex`] if the text has another form.
    pub fn new(name: &str, secret: &str) -> Result<Signer, error::Error> {
        let bytes = read_hex("secret key", secret)?;
        Ok(Signer { name: name.into(), key: ed25519_dalek::SigningKey::from_bytes(&bytes) })
    }

    /// Returns the name of the operator.
    pub fn name(&self) -> &Arc<str> {
        &self.name
    }

    /// Returns the public key in the form that the settings use.
    pub fn public(&self) -> String {
        hex::encode(self.key.verifying_key().to_bytes())
    }

    /// Signs a proposal or an approval of a digest.
    pub fn sign(&self, step: Step, digest: Digest) -> Mark {
        self.mark(&signed_bytes(step, digest, 0, ""))
    }

    /// Signs the roll of a digest under a generation.
    pub fn roll(&self, digest: Digest, generation: u64, nonce: String) -> Roll {
        let mark = self.mark(&signed_bytes(Step::Roll, digest, generation, &nonce));
        Roll { generation, nonce, mark }
    }

    fn mark(&self, bytes: &[u8]) -> Mark {
        let signature = hex::encode(self.key.sign(bytes).to_bytes());
        Mark { operator: self.name.clone(), signature }
    }
}

/// Public keys of the operators, from the settings of the process.
#[derive(Debug, Clone, Default)]
pub struct Keyring {
    keys: BTreeMap<Arc<str>, ed25519_dalek::VerifyingKey>,
}

impl Keyring {
    /// Parses the public key (64 hexadecimal digits) of each operator.
    ///
    /// # Errors
    ///
    /// Returns [`error::Error::Hex`] for an invalid key.
    pub fn new(operators: &BTreeMap<Arc<str>, String>) -> Result<Keyring, error::Error> {
        let mut keys = BTreeMap::new();
        for (name, text) in operators {
            let bytes = read_hex("public key", text)?;
            let key = ed25519_dalek::VerifyingKey::from_bytes(&bytes)
                .map_err(|_| error::Error::Hex { what: "public key", digits: 64 })?;
            keys.insert(name.clone(), key);
        }
        Ok(Keyring { keys })
    }

    /// Verifies a proposal or an approval of a digest.
    ///
    /// # Errors
    ///
    /// Returns [`error::Error::Operator`], [`error::Error::Hex`] or [`error::Error::Signature`].
    pub fn verify(&self, step: Step, digest: Digest, mark: &Mark) -> Result<(), error::Error> {
        self.check(step, mark, &signed_bytes(step, digest, 0, ""))
    }

    /// Verifies a roll of a digest.
    ///
    /// # Errors
    ///
    /// Returns [`error::Error::Operator`], [`error::Error::Hex`] or [`error::Error::Signature`].
    pub fn verify_roll(&self, digest: Digest, roll: &Roll) -> Result<(), error::Error> {
        let bytes = signed_bytes(Step::Roll, digest, roll.generation, &roll.nonce);
        self.check(Step::Roll, &roll.mark, &bytes)
    }

    fn check(&self, step: Step, mark: &Mark, bytes: &[u8]) -> Result<(), error::Error> {
        let operator = mark.operator.clone();
        let Some(key) = self.keys.get(&operator) else {
            return Err(error::Error::Operator { operator });
        };
        let raw: [u8; SIGNATURE_LENGTH] = read_hex("signature", &mark.signature)?;
        let signature = ed25519_dalek::Signature::from_bytes(&raw);
        key.verify_strict(bytes, &signature).map_err(|_| error::Error::Signature { step, operator })
    }
}
