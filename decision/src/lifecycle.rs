//! A process's life: starting, serving, draining, stopped.
#![allow(missing_docs, reason = "the state machine's macro makes types without documentation")]

use statig::prelude::*;

/// What happens to a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// A bundle is in force.
    Ready,
    /// The process was asked to stop.
    Stop,
    /// The number of requests in flight has become this.
    InFlight(usize),
    /// The longest time for a planned stop is over.
    Expired,
}

/// What a process may do at present.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// No bundle is in force yet.
    Starting,
    /// Takes new work.
    Serving,
    /// Takes no new work and finishes what is in flight.
    Draining,
    /// May exit.
    Stopped,
}

/// State of the machine. Invariant: no way leads back from draining.
#[derive(Debug)]
pub struct Lifecycle {
    in_flight: usize,
    phase: Phase,
}

impl Default for Lifecycle {
    fn default() -> Lifecycle {
        Lifecycle { in_flight: 0, phase: Phase::Starting }
    }
}

impl Lifecycle {
    /// A machine in its first state.
    pub fn machine() -> StateMachine<Lifecycle> {
        Lifecycle::default().state_machine()
    }

    /// What the process may do.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    fn leave(&self) -> Outcome<State> {
        if self.in_flight == 0 {
            Transition(State::stopped())
        } else {
            Transition(State::draining())
        }
    }
}

#[state_machine(
    initial = "State::starting()",
    state(derive(Debug)),
    after_transition = "Self::note"
)]
impl Lifecycle {
    #[state]
    fn starting(&mut self, event: &Event) -> Outcome<State> {
        match event {
            Event::Ready => Transition(State::serving()),
            Event::Stop => self.leave(),
            Event::InFlight(count) => self.count(*count),
            Event::Expired => Handled,
        }
    }

    #[state]
    fn serving(&mut self, event: &Event) -> Outcome<State> {
        match event {
            Event::Stop => self.leave(),
            Event::InFlight(count) => self.count(*count),
            Event::Ready | Event::Expired => Handled,
        }
    }

    #[state]
    fn draining(&mut self, event: &Event) -> Outcome<State> {
        match event {
            Event::InFlight(0) | Event::Expired => Transition(State::stopped()),
            Event::InFlight(count) => self.count(*count),
            Event::Ready | Event::Stop => Handled,
        }
    }

    #[state]
    fn stopped(&mut self) -> Outcome<State> {
        Handled
    }

    fn count(&mut self, count: usize) -> Outcome<State> {
        self.in_flight = count;
        Handled
    }

    fn note(&mut self, _from: &State, to: &State) {
        self.phase = match to {
            State::Starting {} => Phase::Starting,
            State::Serving {} => Phase::Serving,
            State::Draining {} => Phase::Draining,
            State::Stopped {} => Phase::Stopped,
        };
    }
}
