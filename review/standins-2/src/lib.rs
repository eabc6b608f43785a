//! Stand-ins for the platform's store, the workers and the clients, as the pages describe them.
//!
//! They run as threads of a case's driver, listen on loopback addresses alone and use only the
//! standard library. The project's own programs run as separate processes, see [`process`].

pub mod client;
pub mod engine;
pub mod http;
pub mod json;
pub mod link;
pub mod process;
pub mod record;
pub mod site;
pub mod store;
pub mod worker;
