//! One change of a group's map, as its driver goes through it.
//!
//! Proposing, preparing, committing, activating. The driver may stop anywhere:
//! until the commit the group goes on with its old map, and a later driver
//! proposes anew under a fresh epoch; after it, every rank is prepared and a
//! later driver activates again, which does no harm.
#![allow(missing_docs, reason = "the state machine's macro makes types without documentation")]

use std::collections::BTreeSet;

use statig::prelude::*;

use crate::map::{gate, record};
use crate::placement::layout;

/// What happens to a change.
#[derive(Debug, Clone)]
pub enum Event {
    /// The record was written, at that revision.
    Written(gate::Fence),
    /// The record was not written, or the write's fate stays open.
    NotWritten,
    /// A rank has prepared.
    Prepared(u32),
    /// A rank refused, failed or did not answer in time.
    Failed(u32),
    /// Rank 0 launches steps on the new map.
    Activated,
}

/// What the driver is to do next.
#[derive(Debug, Clone, PartialEq)]
pub enum Command {
    /// Write this record over the revision last known.
    Write(record::Record),
    /// Order all ranks to prepare the map, under that fence.
    Prepare(record::Map, gate::Fence),
    /// Order rank 0 to activate the map, under that fence.
    Activate(record::Map, gate::Fence),
}

/// How a change ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// The new map is in force.
    Done,
    /// It is in force, and rank 0 has not confirmed: activate again.
    Unconfirmed,
    /// It is not in force; the group goes on with the old one.
    Abandoned,
}

/// Data of the machine.
#[derive(Debug)]
pub struct Change {
    proposal: record::Record,
    ranks: u32,
    nonce: String,
    end: Option<End>,
}

/// A change under way.
pub struct Driver {
    machine: StateMachine<Change>,
}

impl Driver {
    /// Begins a change from the record that was last read; returns the first
    /// command too. The two nonces mark the two writes.
    pub fn begin(
        record: &record::Record,
        layout: layout::Layout,
        nonces: [String; 2],
    ) -> (Driver, Command) {
        let ranks = layout.shape.ranks;
        let [propose, nonce] = nonces;
        let proposal = record.propose(layout, propose);
        let first = Command::Write(proposal.clone());
        let machine = Change { proposal, ranks, nonce, end: None }.state_machine();
        (Driver { machine }, first)
    }

    /// Takes an event and returns what to do next, in order.
    pub fn step(&mut self, event: &Event) -> Vec<Command> {
        let mut commands = Vec::new();
        self.machine.handle_with_context(event, &mut commands);
        commands
    }

    /// How the change ended, once it has.
    pub fn ended(&self) -> Option<End> {
        self.machine.inner().end
    }
}

impl Change {
    fn map(&self) -> record::Map {
        // A change only exists with the map that it proposes.
        self.proposal.next.clone().expect("a proposal has a next map")
    }

    fn finish(&mut self, end: End) -> Outcome<State> {
        self.end = Some(end);
        Transition(State::over())
    }
}

#[state_machine(initial = "State::proposing()", state(derive(Debug)))]
impl Change {
    #[state]
    fn proposing(&mut self, context: &mut Vec<Command>, event: &Event) -> Outcome<State> {
        match event {
            Event::Written(fence) => {
                context.push(Command::Prepare(self.map(), *fence));
                Transition(State::preparing((0..self.ranks).collect()))
            }
            Event::NotWritten => self.finish(End::Abandoned),
            _ => Handled,
        }
    }

    #[state]
    fn preparing(
        &mut self,
        context: &mut Vec<Command>,
        waiting: &mut BTreeSet<u32>,
        event: &Event,
    ) -> Outcome<State> {
        match event {
            Event::Prepared(rank) => {
                waiting.remove(rank);
                if !waiting.is_empty() {
                    return Handled;
                }
                let nonce = self.nonce.clone();
                context.push(Command::Write(self.proposal.commit(nonce)));
                Transition(State::committing())
            }
            Event::Failed(_) => self.finish(End::Abandoned),
            _ => Handled,
        }
    }

    #[state]
    fn committing(&mut self, context: &mut Vec<Command>, event: &Event) -> Outcome<State> {
        match event {
            Event::Written(fence) => {
                context.push(Command::Activate(self.map(), *fence));
                Transition(State::activating())
            }
            Event::NotWritten => self.finish(End::Abandoned),
            _ => Handled,
        }
    }

    #[state]
    fn activating(&mut self, event: &Event) -> Outcome<State> {
        match event {
            Event::Activated => self.finish(End::Done),
            Event::Failed(_) => self.finish(End::Unconfirmed),
            _ => Handled,
        }
    }

    #[state]
    fn over(&mut self) -> Outcome<State> {
        Handled
    }
}
