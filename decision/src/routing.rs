//! Which backend server takes a request.
//!
//! [`server`] holds what one entry host knows of each backend server;
//! [`policy`] has the ways to choose between them, weighed against each other
//! in `docs/design/routing.md`; [`eject`] finds those that are alive and fail;
//! [`notice`] is what a backend server says of its own near future, [`rate`] the rate
//! limit that it names, [`warmup`] what those that are cold may get.

pub mod eject;
pub mod notice;
pub mod policy;
pub mod rate;
pub mod server;
pub mod warmup;
