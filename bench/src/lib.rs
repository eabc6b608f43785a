//! Benchmarks of the decisions, and of the path through real processes.
//!
//! - [`fleet`] simulates entry hosts with their real balancers in front of fake backend servers.
//!   [`routing`], [`overload`] and [`rest`] run it.
//! - [`drift`] generates expert loads that change over time. [`placement`] compares the placement
//!   policies over them. [`spread`] times the search for a map of a large group.
//! - [`poison`] simulates a request that ends its servers. [`suspects`] compares ways to identify
//!   such requests without harm to those that run beside them.
//! - [`path`] measures real processes.
//! - [`capacity`] measures the slopes from which `docs/CAPACITY.md` is calculated.
//!
//! [`path`], the times in [`capacity`] and those of [`spread`] are measured. Everything else is
//! counted work, which is the same in every run; the tests in `bench/tests` set bounds on it.

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
