//! The decisions of loftcove, without I/O.
//!
//! Every module here is a state machine or a pass over one: events and the
//! present time go in, actions come out. Nothing reads a clock, a socket or
//! ambient randomness, and nothing iterates over an unordered map, so a run
//! with the same seed and events gives the same decisions. The daemon feeds
//! these machines from its sockets; tests, benches and a simulation feed them
//! directly.
//!
//! - A request's way: [`balancer`] joins [`admission`] (who goes first),
//!   [`routing`] (which backend server), [`limit`] (how many at a time) and
//!   [`retry`] (whether again). [`poison`] counts the backend servers that end
//!   under a request, over all its tries. [`attempt`] is the agent's side.
//! - An idempotency key's way: [`home`].
//! - A bundle's way: [`generation`].
//! - An expert map's way: [`placement`] decides it, [`map`] brings it in force.
//! - A process's life: [`lifecycle`].

pub mod admission;
pub mod attempt;
pub mod balancer;
pub mod breaker;
pub mod clock;
pub mod entity;
pub mod episode;
pub mod fleet;
pub mod generation;
pub mod home;
pub mod lifecycle;
pub mod limit;
pub mod map;
pub mod mirror;
pub mod name;
pub mod outage;
pub mod pace;
pub mod pass;
pub mod placement;
pub mod poison;
pub mod rendezvous;
pub mod retry;
pub mod revision;
pub mod route;
pub mod routing;
