//! Every way in which a bundle can be refused.

use std::sync::Arc;

/// Why a bundle's text or its signatures were refused.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum Error {
    /// The text is larger than the platform's values may be.
    #[error("bundle of {size} bytes is over the limit of {limit}")]
    Size {
        /// Size of the text, bytes.
        size: usize,
        /// Largest size, bytes.
        limit: usize,
    },
    /// The text is not the TOML that a bundle must be.
    #[error("line {line}: {reason}")]
    Syntax {
        /// Line of the text, from 1.
        line: usize,
        /// What the parser found.
        reason: String,
    },
    /// Two entries of one kind share a name.
    #[error("{kind} `{name}` is declared twice")]
    Duplicate {
        /// Kind of the entry.
        kind: &'static str,
        /// The shared name.
        name: Arc<str>,
    },
    /// An entry names another that the bundle does not declare.
    #[error("{kind} `{name}` names `{target}`, which is not declared")]
    Undeclared {
        /// Kind of the entry that names.
        kind: &'static str,
        /// Name of that entry.
        name: Arc<str>,
        /// The missing name.
        target: Arc<str>,
    },
    /// A number is outside of its range.
    #[error("{kind} `{name}`: {key} = {value} is outside of {low} to {high}")]
    Range {
        /// Kind of the entry.
        kind: &'static str,
        /// Name of the entry.
        name: Arc<str>,
        /// Key of the number.
        key: &'static str,
        /// The number.
        value: f64,
        /// Least value.
        low: f64,
        /// Greatest value.
        high: f64,
    },
    /// A team's token hash is not the hexadecimal form of a SHA-256.
    #[error("team `{name}`: token_sha256 is not 64 hexadecimal digits")]
    Token {
        /// Name of the team.
        name: Arc<str>,
    },
    /// A signature does not fit the key that the settings hold for its operator.
    #[error("the {step} signature of `{operator}` does not verify")]
    Signature {
        /// Step that was signed.
        step: crate::sign::Step,
        /// Operator that is said to have signed.
        operator: Arc<str>,
    },
    /// The settings hold no key for the operator.
    #[error("operator `{operator}` is not in the settings")]
    Operator {
        /// Name of the operator.
        operator: Arc<str>,
    },
    /// The proposer approved the bundle.
    #[error("`{operator}` proposed this bundle and may not approve it")]
    SelfApproved {
        /// Name of the operator.
        operator: Arc<str>,
    },
    /// The text is not the one that was signed.
    #[error("the text's digest is {found}, {signed} was signed")]
    Digest {
        /// Digest of the text.
        found: crate::sign::Digest,
        /// Digest under the signature.
        signed: crate::sign::Digest,
    },
    /// A key or signature is not in its textual form.
    #[error("{what} is not {digits} hexadecimal digits")]
    Hex {
        /// What was read.
        what: &'static str,
        /// Digits that it must have.
        digits: usize,
    },
    /// An envelope is not the JSON that it must be.
    #[error("envelope: {reason}")]
    Envelope {
        /// What the parser found.
        reason: String,
    },
}
