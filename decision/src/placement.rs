//! Where the experts of a group are, and when it pays to move them.
//!
//! All ranks of a group advance in lock-step, so each layer takes as long as
//! its most loaded rank. [`load`] says how many tokens each expert gets,
//! [`layout`] which ranks hold it, [`cost`] what a step then takes. [`pack`]
//! makes a layout from nothing, [`improve`] betters one by single moves, and
//! [`policy`] decides when to do which. `docs/design/placement.md` compares
//! the policies by measurement. [`spread`] is the search for groups whose ranks
//! take in a few experts of each set at a time, and [`stage`] says how much of
//! what it finds is done at once.

pub mod cost;
pub mod improve;
pub mod layout;
pub mod load;
pub mod pack;
pub mod policy;
pub mod spread;
pub mod stage;
