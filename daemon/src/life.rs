//! Lifecycle of the process, shared by its tasks.

use std::sync::{Arc, Mutex, OnceLock};

use loftcove_clock as boot;
use loftcove_decision::lifecycle;
use statig::blocking::StateMachine;
use tokio::sync::watch;

/// The state machine, the number of requests in flight, and the phase that tasks subscribe to.
pub struct Lifecycle {
    inner: Mutex<Inner>,
    phase: watch::Sender<lifecycle::Phase>,
    /// Time at which the drain ends, once it has begun.
    drain_end: OnceLock<boot::Instant>,
}

struct Inner {
    machine: StateMachine<lifecycle::Lifecycle>,
    in_flight: usize,
}

impl Default for Lifecycle {
    fn default() -> Lifecycle {
        let machine = lifecycle::Lifecycle::machine();
        Lifecycle {
            inner: Mutex::new(Inner { machine, in_flight: 0 }),
            phase: watch::Sender::new(lifecycle::Phase::Starting),
            drain_end: OnceLock::new(),
        }
    }
}

impl Lifecycle {
    /// Passes an event to the state machine.
    pub fn handle(&self, event: lifecycle::Event) {
        let mut inner = self.lock();
        inner.machine.handle(&event);
        self.publish(&inner);
    }

    /// Returns the phase of the process.
    pub fn phase(&self) -> lifecycle::Phase {
        *self.phase.borrow()
    }

    /// Returns a receiver of changes of the phase.
    pub fn subscribe(&self) -> watch::Receiver<lifecycle::Phase> {
        self.phase.subscribe()
    }

    /// Begins the drain, which ends at `end`.
    pub fn drain(&self, end: boot::Instant) {
        self.drain_end.get_or_init(|| end);
        self.handle(lifecycle::Event::Stop);
    }

    /// Returns whether a request with the deadline `due` may be passed on now. One that may outlast
    /// the process is left to another host.
    pub fn allows_until(&self, due: boot::Instant) -> bool {
        self.drain_end.get().is_none_or(|end| due <= *end)
    }

    /// Waits until the process is about to exit.
    pub async fn wait_until_stopped(&self) {
        let mut phase = self.phase.subscribe();
        // The sender lives as long as the process.
        phase
            .wait_for(|phase| *phase == lifecycle::Phase::Stopped)
            .await
            .map(drop)
            .unwrap_or_default();
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.lock().in_flight
    }

    /// Counts a request as in flight until the guard is dropped. Returns `None` if the process
    /// accepts no new work. The check and the count are one atomic step.
    pub fn enter(self: &Arc<Lifecycle>) -> Option<InFlight> {
        let mut inner = self.lock();
        if self.phase() != lifecycle::Phase::Serving {
            return None;
        }
        inner.in_flight += 1;
        let count = inner.in_flight;
        inner.machine.handle(&lifecycle::Event::InFlight(count));
        Some(InFlight { lifecycle: self.clone() })
    }

    fn publish(&self, inner: &Inner) {
        let phase = inner.machine.inner().phase();
        self.phase.send_if_modified(|known| std::mem::replace(known, phase) != phase);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

/// Guard of a request in flight. Dropping it ends the request.
pub struct InFlight {
    lifecycle: Arc<Lifecycle>,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let mut inner = self.lifecycle.lock();
        inner.in_flight -= 1;
        let count = inner.in_flight;
        inner.machine.handle(&lifecycle::Event::InFlight(count));
        self.lifecycle.publish(&inner);
    }
}
