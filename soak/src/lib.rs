//! Soak test with injected faults. The real programs run as separate processes on one machine. A
//! seed determines the faults, which are injected from outside of the processes.
//!
//! - [`plan`] draws the faults, which occur in series and overlap.
//! - [`inject`] injects them into a [`loftcove_tests::system::System`].
//! - [`keys`] draws and writes keys and items of another writer in the store.
//! - [`client`] sends requests over persistent connections meanwhile.
//! - [`sender`] sends bytes without end beside them.
//! - [`check`] compares the records of clients and backend servers with the guarantees.
//! - [`run`] combines these into one run of a seed.
//!
//! See `docs/SOAK.md`.

pub mod check;
pub mod client;
pub mod inject;
pub mod keys;
pub mod plan;
pub mod run;
pub mod sender;
