//! Homes of idempotency keys: a request that must not be repeated runs at most once.
//!
//! The key space is divided into slots. [`table::Table`], one value in the platform, assigns a
//! *home* to each slot: the agent that grants each key of the slot once ([`keeper::Keeper`]). It
//! also assigns a *witness*: the agent that extends the home's lease during an outage of the
//! platform and takes the slot over when the home is silent.
//!
//! Requests cause no writes to the platform, and hosts store nothing. A key is a UUIDv7, which
//! contains its creation time. A new home rejects keys that were created before the earlier home
//! is certain to have stopped granting. `docs/design/at-most-once.md` describes the hand-over in
//! full and the costs of each design choice.

pub mod claim;
pub mod keeper;
pub mod key;
pub mod table;
