//! State machine of the driver for one change of a group's map.
//!
//! The states are proposing, preparing, committing and activating. The driver may crash in any of
//! them. Before the commit, the group keeps its old map and a later driver proposes again under a
//! new epoch. After the commit, every rank is prepared and a later driver repeats the activation,
//! which is idempotent.
#![allow(missing_docs, reason = "the state machine macro generates undocumented types")]

use std::collections::BTreeSet;

use statig::prelude::*;

use crate::map::{gate, record};
use crate::placement::layout;

/// Input of the state machine.
#[derive(Debug, Clone)]
pub enum Event {
    /// The record was written; the fence is its new revision.
    Written(gate::Fence),
    /// The record was not written, or the result of the write is unknown.
    NotWritten,
    /// A rank has prepared.
    Prepared(u32),
    /// A rank rejected the order, failed or did not answer in time.
    Failed(u32),
    /// Rank 0 launches steps on the new map.
    Activated,
}

/// Action that the driver carries out next.
#[derive(Debug, Clone, PartialEq)]
pub enum Command {
    /// Write this record, conditional on the last known revision.
    Write(record::Record),
    /// Order all ranks to prepare the map, with this fence.
    Prepare(record::Map, gate::Fence),
    /// Order rank 0 to activate the map, with this fence.
    Activate(record::Map, gate::Fence),
}

/// Result of a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// The new map is active.
    Done,
    /// The new map is committed, but rank 0 has not confirmed: the activation must be repeated.
    Unconfirmed,
    /// The change was aborted; the group keeps the old map.
    Abandoned,
}

/// Data of the state machine.
#[derive(Debug)]
pub struct Change {
    proposal: record::Record,
    ranks: u32,
    nonce: String,
    end: Option<End>,
}

/// Driver of a change in progress.
pub struct Driver {
    machine: StateMachine<Change>,
}

impl Driver {
    /// Begins a change of the given record, which was read last, and returns the first command
    /// with the driver. The two nonces identify the two writes.
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

    /// Handles an event and returns the next commands in order.
    pub fn step(&mut self, event: &Event) -> Vec<Command> {
        let mut commands = Vec::new();
        self.machine.handle_with_context(event, &mut commands);
        commands
    }

    /// Returns the result of the change, or `None` while it is in progress.
    pub fn ended(&self) -> Option<End> {
        self.machine.inner().end
    }
}

impl Change {
    fn map(&self) -> record::Map {
        // `Driver::begin` builds the proposal with `Record::propose`, which sets `next`.
        self.proposal.next.clone().expect("a proposal has a next map")
    }

    fn finish(&mut self, end: End) -> Outcome<State> {
        self.end = Some(end);
        Transition(State::finished())
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
    fn finished(&mut self) -> Outcome<State> {
        Handled
    }
}
