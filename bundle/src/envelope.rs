//! Signed forms of a bundle: the proposal, and the envelope in force.

use serde::{Deserialize, Serialize};

use crate::{content, error, sign};

/// A proposed bundle, as the platform stores it until its roll.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Proposal {
    /// TOML text.
    pub text: String,
    /// Signature of the proposer.
    pub proposer: sign::Mark,
    /// Signature of the approver, if the bundle is approved.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub approver: Option<sign::Mark>,
}

/// A bundle in force. It can be verified without other data than the operators' public keys.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Envelope {
    /// TOML text.
    pub text: String,
    /// Signature of the proposer.
    pub proposer: sign::Mark,
    /// Signature of an operator other than the proposer.
    pub approver: sign::Mark,
    /// Roll that put the bundle in force.
    pub roll: sign::Roll,
}

impl Envelope {
    /// Parses the JSON form.
    ///
    /// # Errors
    ///
    /// Returns [`error::Error::Envelope`] if the JSON is not an envelope.
    pub fn parse(json: &[u8]) -> Result<Envelope, error::Error> {
        serde_json::from_slice(json)
            .map_err(|error| error::Error::Envelope { reason: error.to_string() })
    }

    /// Verifies the three signatures and parses the content.
    ///
    /// # Errors
    ///
    /// Returns the first signature that does not verify or rule that the content violates.
    pub fn open(&self, keyring: &sign::Keyring) -> Result<content::Content, error::Error> {
        let digest = sign::Digest::of(&self.text);
        keyring.verify(sign::Step::Proposal, digest, &self.proposer)?;
        keyring.verify(sign::Step::Approval, digest, &self.approver)?;
        keyring.verify_roll(digest, &self.roll)?;
        if self.approver.operator == self.proposer.operator {
            return Err(error::Error::SelfApproved { operator: self.approver.operator.clone() });
        }
        content::Content::parse(&self.text)
    }

    /// Returns the digest of the text.
    pub fn digest(&self) -> sign::Digest {
        sign::Digest::of(&self.text)
    }
}
