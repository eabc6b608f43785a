//! Homes of idempotency keys: a request that may not be repeated runs at most once.
//!
//! The key space is cut into slots, and [`table::Table`], one value in the
//! platform, names one home for each slot. The home ([`keeper::Keeper`]) grants
//! each key once. Nothing is written to the platform for a request, and hosts
//! keep nothing: a key is a UUIDv7, so it bears its time, and a new home
//! refuses keys from before it could be sure that the old one had stopped.
//! `docs/design/at-most-once.md` works the hand-over out in full and says what
//! each choice costs.

pub mod claim;
pub mod keeper;
pub mod key;
pub mod table;
