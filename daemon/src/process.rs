//! What all tasks of a process share.

use std::sync::Arc;
use std::time::Duration;

use loftcove_bundle::sign;
use loftcove_decision::attempt;
use loftcove_mirror::ends;
use loftcove_platform::{hosts, records};
use loftcove_settings::file;
use loftcove_wire as wire;

use crate::{clock, explain, force, gossip, life, link, metrics};

/// The process. Lock order, where more than one is held: the entry's dispatcher or
/// the agent's tables, then the gossip's records, then the bundle's gate,
/// then life, then the history of decisions.
pub struct Process {
    /// Its settings.
    pub settings: file::Daemon,
    /// Number of this run.
    pub incarnation: attempt::Incarnation,
    /// Its clocks.
    pub clock: clock::Clock,
    /// Its life.
    pub lifecycle: Arc<life::Lifecycle>,
    /// Bundle, host list and home table.
    pub gossip: gossip::Gossip,
    /// The platform.
    pub platform: records::Client,
    /// Connections to other processes.
    pub links: link::Table,
    /// Decisions.
    pub history: explain::History,
    /// Requests under which backend servers ended, as this entry host saw it.
    pub ends: ends::Ends,
    /// Metrics.
    pub metrics: metrics::Metrics,
}

/// Why a process could not be set up.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// An operator's public key is not one.
    #[error("operators: {0}")]
    Operators(#[from] loftcove_bundle::error::Error),
    /// The deployment's key cannot be sent.
    #[error(transparent)]
    Key(#[from] link::KeyError),
}

impl Process {
    /// Sets a process up; nothing runs yet.
    ///
    /// # Errors
    ///
    /// An [`Error`] of the settings that only shows when they are used.
    pub fn new(settings: file::Daemon) -> Result<Process, Error> {
        let keyring = sign::Keyring::new(&settings.operators)?;
        let key = link::Key::new(&settings.process.key)?;
        let force = force::Force::new(keyring, settings.process.deployment.clone());
        let timeout = Duration::from_millis(settings.platform.timeout_ms);
        Ok(Process {
            incarnation: clock::incarnation(),
            clock: clock::Clock::start(),
            lifecycle: Arc::default(),
            gossip: gossip::Gossip::new(force),
            platform: records::Client::new(
                settings.platform.address,
                settings.process.source_address,
                timeout,
            ),
            links: link::Table::new(key, settings.process.source_address),
            history: explain::History::default(),
            ends: ends::Ends::default(),
            metrics: metrics::Metrics::default(),
            settings,
        })
    }

    /// Takes a record that was heard of, if it is newer.
    pub fn apply_record(&self, record: wire::Record) {
        let size = record.value.len() as u64;
        if self.gossip.apply(record, &self.lifecycle, &self.history) {
            self.metrics.exchanged_bytes.inc_by(size);
            self.metrics.generation.set(self.gossip.force.generation() as i64);
        }
    }

    /// The host of that id in the host list.
    pub fn host(&self, id: &str) -> Option<hosts::Host> {
        let list = self.gossip.hosts();
        list.hosts.iter().find(|host| *host.id == *id).cloned()
    }

    /// Whether the host list or the bundle has that host leaving.
    pub fn leaving(&self, id: &str) -> bool {
        let listed = self.host(id).is_some_and(|host| host.leaving);
        let bundle = self.gossip.force.bundle();
        listed || bundle.is_some_and(|bundle| bundle.content.leaving.iter().any(|h| **h == *id))
    }
}
