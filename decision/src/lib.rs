//! Decision logic of loftcove, without I/O.
//!
//! Each module is a state machine or a computation over one. Its inputs are events and the present
//! time, its outputs are actions. No module reads a clock, a socket or ambient randomness or
//! iterates over an unordered map, so the same seed and events always give the same decisions. The
//! daemon drives the state machines from its sockets. Tests, benchmarks and a simulation drive them
//! directly.
//!
//! - Requests: [`balancer`] combines [`admission`] (order of requests), [`routing`] (selection of a
//!   backend server), [`limit`] (concurrency) and [`retry`] (retries). [`poison`] counts the
//!   backend servers that end while they run a request, over all its attempts. [`attempt`] is the
//!   agent's side.
//!   [`shortage`] distributes scarce capacity by urgency and team.
//! - Idempotency keys: [`home`].
//! - Configuration bundles: [`generation`].
//! - Expert maps: [`placement`] computes them, [`map`] activates them.
//! - Process lifecycle: [`lifecycle`].

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
pub mod shortage;
pub mod spell;
pub mod stall;
