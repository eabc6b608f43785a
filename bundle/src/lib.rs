//! Versioned, signed bundles: what operators drive loftcove with.
//!
//! A bundle is a TOML text ([`content`]) that states models, teams, classes,
//! services and how far placement may move. An operator proposes it, another
//! one approves it, and a roll puts it in force under a generation that only
//! rises ([`sign`]). The signed whole is an [`envelope::Envelope`], and it is
//! all that a process needs to trust a bundle, whoever hands it over. The
//! daemon and the tool both verify through [`envelope::Envelope::open`]; the
//! decision crate reads [`content::Content`] only.

pub mod content;
pub mod envelope;
pub mod error;
pub mod sign;
