//! Lifecycle of a process: starting, serving, draining, stopped.
#![allow(missing_docs, reason = "the state machine macro generates types without documentation")]

use statig::prelude::*;

/// Event in the lifecycle of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// A bundle is in force.
    Ready,
    /// The process was asked to stop.
    Stop,
    /// The number of requests in flight changed to this value.
    InFlight(usize),
    /// The time limit for a planned stop has passed.
    Expired,
}

/// Phase of a process, which determines whether it accepts work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// No bundle is in force yet.
    Starting,
    /// Accepts new work.
    Serving,
    /// Accepts no new work and completes the requests in flight.
    Draining,
    /// May exit.
    Stopped,
}

/// Data of the state machine. Invariant: no transition leads from draining back to serving.
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
    /// Returns a machine in its initial state.
    pub fn machine() -> StateMachine<Lifecycle> {
        Lifecycle::default().state_machine()
    }

    /// Returns the phase of the process.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    fn stop(&self) -> Outcome<State> {
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
    after_transition = "Self::record_phase"
)]
impl Lifecycle {
    #[state]
    fn starting(&mut self, event: &Event) -> Outcome<State> {
        match event {
            Event::Ready => Transition(State::serving()),
            Event::Stop => self.stop(),
            Event::InFlight(count) => self.set_in_flight(*count),
            Event::Expired => Handled,
        }
    }

    #[state]
    fn serving(&mut self, event: &Event) -> Outcome<State> {
        match event {
            Event::Stop => self.stop(),
            Event::InFlight(count) => self.set_in_flight(*count),
            Event::Ready | Event::Expired => Handled,
        }
    }

    #[state]
    fn draining(&mut self, event: &Event) -> Outcome<State> {
        match event {
            Event::InFlight(0) | Event::Expired => Transition(State::stopped()),
            Event::InFlight(count) => self.set_in_flight(*count),
            Event::Ready | Event::Stop => Handled,
        }
    }

    #[state]
    fn stopped(&mut self) -> Outcome<State> {
        Handled
    }

    fn set_in_flight(&mut self, count: usize) -> Outcome<State> {
        self.in_flight = count;
        Handled
    }

    fn record_phase(&mut self, _from: &State, to: &State) {
        self.phase = match to {
            State::Starting {} => Phase::Starting,
            State::Serving {} => Phase::Serving,
            State::Draining {} => Phase::Draining,
            State::Stopped {} => Phase::Stopped,
        };
    }
}
