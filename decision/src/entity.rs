//! Small integer ids of the entities that decisions concern. Dense maps use them as keys.

use cranelift_entity::entity_impl;

/// A backend server.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Server(u32);
entity_impl!(Server, "server");

/// A pool of backend servers that can answer the same requests: those of one model or of one plain
/// service.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Pool(u32);
entity_impl!(Pool, "pool");

/// A group of backend servers of one pool that run in lock-step.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Group(u32);
entity_impl!(Group, "group");

/// A team, to which clients belong.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Team(u32);
entity_impl!(Team, "team");

/// A request for which this process makes decisions.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(u32);
entity_impl!(Ticket, "ticket");

/// A rank of a group.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Rank(u32);
entity_impl!(Rank, "rank");

/// A layer with experts.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Layer(u32);
entity_impl!(Layer, "layer");

/// An expert of a layer.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Expert(u32);
entity_impl!(Expert, "expert");

/// A part of the key space of idempotency keys.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Slot(u32);
entity_impl!(Slot, "slot");
