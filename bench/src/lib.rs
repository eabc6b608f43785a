//! Measurements of the decisions, and of the path through real processes.
//!
//! [`fleet`] drives the entry hosts' real decision machines against fake
//! backend servers, [`routing`] and [`overload`] ask it their questions.
//! [`drift`] makes loads of experts that change, [`placement`] compares the
//! policies over them, [`spread`] times the search for a map of a large group.
//! [`poison`] plays a request that ends its servers, [`suspects`] ways to find it
//! without harm to those beside it, [`rest`] servers that ask for rest. [`path`] measures real processes, [`capacity`] the slopes that `docs/CAPACITY.md` is worked out from. Everything but [`path`] and the
//! times in [`capacity`] is counted work and the same in every run; the bounds
//! in `bench/tests` hold it there.

pub mod capacity;
pub mod drift;
pub mod fleet;
pub mod overload;
pub mod path;
pub mod placement;
pub mod poison;
pub mod rest;
pub mod routing;
pub mod spread;
pub mod suspects;
