//! The signed whole of a bundle: a proposal, and what is in force.

use serde::{Deserialize, Serialize};

use crate::{content, error, sign};

/// A bundle put forward, as it stands in the platform until it is rolled.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Proposal {
    /// The TOML text.
    pub text: String,
    /// The proposer's signature.
    pub proposer: sign::Mark,
    /// The approver's signature, once there is one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub approver: Option<sign::Mark>,
}

/// A bundle in force. Whoever holds one can verify it alone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Envelope {
    /// The TOML text.
    pub text: String,
    /// The proposer's signature.
    pub proposer: sign::Mark,
    /// The signature of an operator other than the proposer.
    pub approver: sign::Mark,
    /// The roll that put it in force.
    pub roll: sign::Roll,
}

impl Envelope {
    /// Reads the JSON form.
    ///
    /// # Errors
    ///
    /// [`error::Error::Envelope`] where it is not one.
    pub fn parse(json: &[u8]) -> Result<Envelope, error::Error> {
        serde_json::from_slice(json)
            .map_err(|error| error::Error::Envelope { reason: error.to_string() })
    }

    /// Verifies the three signatures and reads the content.
    ///
    /// # Errors
    ///
    /// The first of the signatures or rules of content that does not hold.
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

    /// Digest of the text.
    pub fn digest(&self) -> sign::Digest {
        sign::Digest::of(&self.text)
    }
}
