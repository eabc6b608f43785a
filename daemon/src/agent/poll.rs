//! Polls the backend server's load and reports it to entry hosts.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use loftcove_line::field;
use loftcove_wire as wire;
use tokio::sync::watch;

use crate::agent::{Agent, server};

/// Time limit for a load poll.
const TIMEOUT: Duration = Duration::from_secs(1);

/// Load of the backend server, with the report that entry hosts receive.
pub struct Load {
    inner: Mutex<Inner>,
    reports: watch::Sender<wire::Report>,
}

struct Inner {
    /// Attempts that this agent has handed to the backend server.
    running: u32,
    slots: u32,
    /// Load by the last poll; none if that failed.
    server: Option<server::Load>,
}

/// Guard of a slot of the backend server. Dropping it releases the slot.
pub struct Slot {
    agent: Arc<Agent>,
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.agent.load.lock().running -= 1;
        self.agent.load.publish(&self.agent);
    }
}

impl Load {
    /// Creates the load of a backend server with `slots` slots, which was not polled yet.
    pub fn new(incarnation: u64, slots: u32) -> Load {
        let report = wire::Report { incarnation, slots, ..wire::Report::default() };
        let inner = Inner { running: 0, slots, server: None };
        Load { inner: Mutex::new(inner), reports: watch::Sender::new(report) }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Acquires a slot, or returns `None` if none is free.
    pub fn acquire(agent: &Arc<Agent>) -> Option<Slot> {
        {
            let mut inner = agent.load.lock();
            if inner.running >= inner.slots {
                return None;
            }
            inner.running += 1;
        }
        agent.load.publish(agent);
        Some(Slot { agent: agent.clone() })
    }

    /// Returns the newest report.
    pub fn report(&self) -> wire::Report {
        *self.reports.borrow()
    }

    /// Returns a receiver of all further reports.
    pub fn subscribe(&self) -> watch::Receiver<wire::Report> {
        self.reports.subscribe()
    }

    fn set_server_load(&self, load: Option<server::Load>) {
        self.lock().server = load;
    }

    /// Publishes a new report if anything has changed. Its sequence number is incremented under the
    /// channel's lock.
    pub fn publish(&self, agent: &Agent) {
        let (running, slots, server) = {
            let inner = self.lock();
            (inner.running, inner.slots, inner.server)
        };
        let load = server.unwrap_or_default();
        let leaving = !agent.accepts_work();
        let generation = agent.process.gossip.force.generation();
        self.reports.send_if_modified(|report| {
            let next = wire::Report {
                incarnation: report.incarnation,
                // The backend server may also run requests that bypass this agent.
                running: running.max(load.running),
                queued: load.queued,
                slots,
                step_us: load.step_us,
                leaving,
                generation,
                epoch: load.epoch,
                sequence: report.sequence,
                alive: server.is_some(),
            };
            let changed = next != *report;
            *report = wire::Report { sequence: next.sequence + u64::from(changed), ..next };
            changed
        });
    }
}

/// Polls the load until the process exits.
pub async fn run(agent: Arc<Agent>) {
    let pause = Duration::from_millis(agent.settings.poll_ms);
    let mut changed = agent.process.gossip.subscribe();
    loop {
        let load = agent.server.read::<server::Load>("/load", TIMEOUT).await;
        if let Err(error) = &load {
            log::debug!("load poll failed error={error}", error = field::Quoted(&error));
        }
        agent.load.set_server_load(load.ok());
        agent.load.publish(&agent);
        // A new bundle or host list may list this host as leaving, which is reported immediately.
        tokio::select! {
            _ = tokio::time::sleep(pause) => {}
            _ = changed.changed() => agent.load.publish(&agent),
        }
    }
}
