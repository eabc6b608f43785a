//! Versioned, signed bundles, with which operators configure loftcove.
//!
//! A bundle is a TOML text ([`content`]) that declares models, teams, classes, services and the
//! limits of expert placement. An operator proposes it and another one approves it. A *roll* then
//! puts it in force under a generation, which only rises ([`sign`]). The text and its three
//! signatures form an [`envelope::Envelope`]. A process needs only the envelope and the operators'
//! public keys to trust a bundle, whichever peer sent it. The daemon and the tool both verify it
//! with [`envelope::Envelope::open`]. The decision crate reads only [`content::Content`].

pub mod content;
pub mod envelope;
pub mod error;
pub mod sign;
