//! Stand-ins for the systems that loftcove calls or serves: the platform, model engines, backend
//! servers, a plain service, and a fault-injecting TCP proxy between any two processes.
//!
//! They are for tests and the demo only. Each stand-in is a program that prints `listening ADDRESS`
//! once it serves, which lets the system assign its port. [`calls`] is an in-memory store for
//! tests within one process.

pub mod calls;
pub mod crowd;
pub mod engine;
pub mod flood;
pub mod frame;
pub mod group;
pub mod proxy;
pub mod raw;
pub mod sender;
pub mod server;
pub mod service;
pub mod store;
pub mod worker;
