//! A fault soak: the real programs as separate processes on one machine, under
//! faults from outside them that a seed decides.
//!
//! [`plan`] draws the faults, which come in series and overlap; [`inject`]
//! carries them out on a [`loftcove_tests::system::System`]; [`client`] sends
//! requests over kept connections meanwhile; [`check`] holds what clients and
//! backend servers saw against what is promised; [`run`] ties them together.
//! See `docs/SOAK.md`.

pub mod check;
pub mod client;
pub mod inject;
pub mod plan;
pub mod run;
