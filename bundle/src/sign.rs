//! Digests, keys and the three signed steps of a bundle: proposal, approval, roll.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

use ed25519_dalek::Signer as _;
use serde::{Deserialize, Serialize};
use sha2::Digest as _;

use crate::error;

/// Length of a digest, bytes.
const DIGEST_LENGTH: usize = 32;
/// Length of an ed25519 signature, bytes.
const SIGNATURE_LENGTH: usize = 64;

/// A step of a bundle's life that an operator signs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// The bundle is put forward.
    Proposal,
    /// Another operator agrees to it.
    Approval,
    /// The bundle is put in force under a generation.
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

/// SHA-256 of a bundle's text.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Digest([u8; DIGEST_LENGTH]);

impl Digest {
    /// Digest of a bundle's text.
    pub fn of(text: &str) -> Digest {
        Digest(sha2::Sha256::digest(text.as_bytes()).into())
    }

    /// Reads the 64 hexadecimal digits that `Display` writes.
    ///
    /// # Errors
    ///
    /// [`error::Error::Hex`] where the text is anything else.
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

/// One operator's signature of one step.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Mark {
    /// Operator that signed.
    pub operator: Arc<str>,
    /// The ed25519 signature, hexadecimal.
    pub signature: String,
}

/// What a roll states: this digest is in force from this generation on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Roll {
    /// Generation, one above the one before it.
    pub generation: u64,
    /// Unique to this try: read back when the platform's answer was lost.
    pub nonce: String,
    /// Signature over generation, nonce and digest.
    pub mark: Mark,
}

/// The bytes that a signature covers; each step has a domain of its own, so
/// that no signature can stand for another step.
fn covered(step: Step, digest: Digest, generation: u64, nonce: &str) -> Vec<u8> {
    format!("loftcove {step} {digest} {generation} {nonce}").into_bytes()
}

/// An operator's secret key and name.
pub struct Signer {
    name: Arc<str>,
    key: ed25519_dalek::SigningKey,
}

impl Signer {
    /// Takes the 64 hexadecimal digits of the secret key.
    ///
    /// # Errors
    ///
    /// [`error::Error::Hex`] where the text is anything else.
    pub fn new(name: &str, secret: &str) -> Result<Signer, error::Error> {
        let bytes = read_hex("secret key", secret)?;
        Ok(Signer { name: name.into(), key: ed25519_dalek::SigningKey::from_bytes(&bytes) })
    }

    /// Name of the operator.
    pub fn name(&self) -> &Arc<str> {
        &self.name
    }

    /// The public key, as the settings hold it.
    pub fn public(&self) -> String {
        hex::encode(self.key.verifying_key().to_bytes())
    }

    /// Signs a proposal or an approval of the digest.
    pub fn sign(&self, step: Step, digest: Digest) -> Mark {
        self.mark(&covered(step, digest, 0, ""))
    }

    /// Signs the roll of the digest under the generation.
    pub fn roll(&self, digest: Digest, generation: u64, nonce: String) -> Roll {
        let mark = self.mark(&covered(Step::Roll, digest, generation, &nonce));
        Roll { generation, nonce, mark }
    }

    fn mark(&self, bytes: &[u8]) -> Mark {
        let signature = hex::encode(self.key.sign(bytes).to_bytes());
        Mark { operator: self.name.clone(), signature }
    }
}

/// The operators' public keys, from the settings of the process.
#[derive(Debug, Clone, Default)]
pub struct Keyring {
    keys: BTreeMap<Arc<str>, ed25519_dalek::VerifyingKey>,
}

impl Keyring {
    /// Reads name and public key (64 hexadecimal digits) of each operator.
    ///
    /// # Errors
    ///
    /// [`error::Error::Hex`] for a key that is not one.
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

    /// Verifies a proposal or an approval.
    ///
    /// # Errors
    ///
    /// [`error::Error::Operator`] or [`error::Error::Signature`].
    pub fn verify(&self, step: Step, digest: Digest, mark: &Mark) -> Result<(), error::Error> {
        self.check(step, mark, &covered(step, digest, 0, ""))
    }

    /// Verifies a roll of the digest.
    ///
    /// # Errors
    ///
    /// [`error::Error::Operator`] or [`error::Error::Signature`].
    pub fn verify_roll(&self, digest: Digest, roll: &Roll) -> Result<(), error::Error> {
        let bytes = covered(Step::Roll, digest, roll.generation, &roll.nonce);
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
