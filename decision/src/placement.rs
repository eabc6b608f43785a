//! Placement of the experts of a group on its ranks, and the decision when to change it.
//!
//! All ranks of a group advance in lock-step, so each layer takes as long as its most loaded rank.
//! [`load`] counts the tokens of each expert, [`layout`] assigns experts to ranks, and [`cost`]
//! computes the duration of a step under a layout. [`pack`] builds a layout from scratch,
//! [`improve`] refines one by short chains of moves, and [`policy`] decides which of them to use
//! and when. `docs/design/placement.md` compares the policies by measurement. [`spread`] searches
//! placements for groups whose ranks can load a few experts of each set at a time, and [`stage`]
//! limits how much of the result is applied in one change.

pub mod cost;
pub mod improve;
pub mod layout;
pub mod load;
pub mod pack;
pub mod policy;
pub mod spread;
pub mod stage;
