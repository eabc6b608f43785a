//! Keeps the backend server's load and reports it.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use loftcove_wire as wire;
use tokio::sync::watch;

use crate::agent::{Agent, server};

/// Longest wait for the backend server's load.
const TIMEOUT: Duration = Duration::from_secs(1);

/// The load, as it is reported.
pub struct Load {
    inner: Mutex<Inner>,
    reports: watch::Sender<wire::Report>,
}

struct Inner {
    /// Attempts that this agent has handed over.
    running: u32,
    slots: u32,
    server: Option<server::Load>,
}

/// A slot of the backend server; dropping it frees the slot.
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
    /// Nothing is known yet.
    pub fn new(incarnation: u64, slots: u32) -> Load {
        let report = wire::Report { incarnation, slots, ..wire::Report::default() };
        let inner = Inner { running: 0, slots, server: None };
        Load { inner: Mutex::new(inner), reports: watch::Sender::new(report) }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Takes a slot, if one is free.
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

    /// The newest report.
    pub fn report(&self) -> wire::Report {
        *self.reports.borrow()
    }

    /// Follows the reports.
    pub fn subscribe(&self) -> watch::Receiver<wire::Report> {
        self.reports.subscribe()
    }

    fn set_server_load(&self, load: Option<server::Load>) {
        self.lock().server = load;
    }

    /// Makes a new report if anything has changed. Its number rises under the
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
                // Callers may reach the backend server by other ways, too.
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

/// Polls until the process ends.
pub async fn run(agent: Arc<Agent>) {
    let pause = Duration::from_millis(agent.settings.poll_ms);
    let mut changed = agent.process.gossip.subscribe();
    loop {
        let load = agent.server.read::<server::Load>("/load", TIMEOUT).await;
        if let Err(error) = &load {
            log::debug!("load poll failed error=\"{error}\"");
        }
        agent.load.set_server_load(load.ok());
        agent.load.publish(&agent);
        // A bundle or host list may have this host leaving: that is reported at once.
        tokio::select! {
            _ = tokio::time::sleep(pause) => {}
            _ = changed.changed() => agent.load.publish(&agent),
        }
    }
}
