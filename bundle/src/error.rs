//! Errors for which a bundle is rejected.

use std::sync::Arc;

/// Error in a bundle's text or its signatures.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum Error {
    /// The text is too large for a value of the platform.
    #[error("bundle of {size} bytes is over the limit of {limit}")]
    Size {
        /// Size of the text, in bytes.
        size: usize,
        /// Maximum size, in bytes.
        limit: usize,
    },
    /// The text is not valid TOML or does not have the structure of a bundle.
    #[error("line {line}: {reason}")]
    Syntax {
        /// Line of the text, from 1.
        line: usize,
        /// Message of the parser.
        reason: String,
    },
    /// Two entries of one kind have the same name.
    #[error("{kind} `{name}` is declared twice")]
    Duplicate {
        /// Kind of the entry.
        kind: &'static str,
        /// Name of both entries.
        name: Arc<str>,
    },
    /// A name cannot be expressed where it is used.
    #[error("{kind} {name:?}: {reason}")]
    Name {
        /// Kind of the entry.
        kind: &'static str,
        /// The name.
        name: Arc<str>,
        /// Where the name cannot be used, and why.
        reason: &'static str,
    },
    /// An entry refers to a class that the bundle does not declare.
    #[error("{kind} `{name}` refers to `{target}`, which is not declared")]
    Undeclared {
        /// Kind of the referring entry.
        kind: &'static str,
        /// Name of the referring entry.
        name: Arc<str>,
        /// Name that is not declared.
        target: Arc<str>,
    },
    /// A number is out of range.
    #[error("{kind} `{name}`: {key} = {value} is outside of {low} to {high}")]
    Range {
        /// Kind of the entry.
        kind: &'static str,
        /// Name of the entry.
        name: Arc<str>,
        /// Key of the number.
        key: &'static str,
        /// Value of the number.
        value: f64,
        /// Minimum value.
        low: f64,
        /// Maximum value.
        high: f64,
    },
    /// A team's token digest is not a SHA-256 digest in hexadecimal.
    #[error("team `{name}`: token_sha256 is not 64 hexadecimal digits")]
    Token {
        /// Name of the team.
        name: Arc<str>,
    },
    /// A signature does not verify with the operator's public key in the settings.
    #[error("the {step} signature of `{operator}` does not verify")]
    Signature {
        /// Step that was signed.
        step: crate::sign::Step,
        /// Operator that the signature names.
        operator: Arc<str>,
    },
    /// The settings contain no public key for the operator.
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
    /// The text differs from the signed one.
    #[error("the text's digest is {found}, but {signed} was signed")]
    Digest {
        /// Digest of the text.
        found: crate::sign::Digest,
        /// Digest that was signed.
        signed: crate::sign::Digest,
    },
    /// A key, digest or signature is malformed.
    #[error("{what} is not {digits} hexadecimal digits")]
    Hex {
        /// Kind of the value.
        what: &'static str,
        /// Required number of digits.
        digits: usize,
    },
    /// An envelope is not valid JSON or does not have the structure of an envelope.
    #[error("envelope: {reason}")]
    Envelope {
        /// Message of the parser.
        reason: String,
    },
}
