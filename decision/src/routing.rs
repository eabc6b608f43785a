//! Selection of a backend server for each request.
//!
//! - [`server`] holds the state that one entry host keeps of each backend server.
//! - [`policy`] has the load-balancing policies; `docs/design/routing.md` compares them.
//! - [`eject`] detects backend servers that are alive but fail requests.
//! - [`notice`] handles rests and departures that a backend server announces.
//! - [`rate`] divides the rate limit that a backend server reports among gateways.
//! - [`speed`] places streams on the ranks of a group whose ranks differ in speed.
//! - [`warmup`] limits the requests to cold backend servers.

pub mod eject;
pub mod notice;
pub mod policy;
pub mod rate;
pub mod server;
pub mod speed;
pub mod warmup;
