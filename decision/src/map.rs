//! Activates a layout as the expert map of a group. All ranks use the same map in every step.
//!
//! A map has an epoch, a number that is never reused. [`record`] is the state that the platform
//! stores for a group. It is changed by compare-and-swap only, so that an epoch always identifies
//! one layout and the revision of the record can serve as a fence (a number that orders carry,
//! so that those of an outdated driver are rejected). [`change`] moves a group from one epoch to
//! the next in two phases: every rank prepares the map, then the record is written with the new
//! epoch, then rank 0, which launches the steps, activates it. [`gate`] runs in the agent and
//! rejects stale orders on behalf of backend servers that do not check fences. [`fence`] does the
//! same with the term of the driver of a group.
//!
//! [`switch`] is the change protocol of groups whose engines switch by themselves at a pass that
//! is agreed beforehand. [`version`] numbers the maps of this protocol, [`difference`] encodes
//! them for transfer, and [`tree`] splits the ranks for the distribution of orders.

pub mod change;
pub mod difference;
pub mod fence;
pub mod gate;
pub mod record;
pub mod switch;
pub mod takeover;
pub mod tree;
pub mod version;
