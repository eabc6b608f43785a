//! Stand-ins for what loftcove meets: the platform, model engines, a plain
//! service, and a fault-injecting TCP proxy between any two processes.
//!
//! For tests and the demo only. Each is a program that prints
//! `listening ADDRESS` once it serves, so that ports come from the system.
//! [`calls`] is a store in memory, for tests without processes.

pub mod calls;
pub mod engine;
pub mod group;
pub mod proxy;
pub mod server;
pub mod service;
pub mod store;
pub mod worker;
