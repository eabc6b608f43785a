//! State that all tasks of a process share.

use std::sync::Arc;
use std::time::Duration;

use loftcove_bundle::sign;
use loftcove_decision::attempt;
use loftcove_mirror::ends;
use loftcove_platform::{hosts, records};
use loftcove_settings::file;
use loftcove_wire as wire;

use crate::{clock, explain, force, gossip, intake, life, link, metrics};

/// The process. Locks that are held together are acquired in this order: the entry's dispatcher or
/// the agent's tables, the gossip's records, the bundle's gate, the lifecycle, the history of
/// decisions.
pub struct Process {
    /// Settings.
    pub settings: file::Daemon,
    /// Number of this run of the process.
    pub incarnation: attempt::Incarnation,
    /// Clocks.
    pub clock: clock::Clock,
    /// Lifecycle and requests in flight.
    pub lifecycle: Arc<life::Lifecycle>,
    /// Records that peers replicate: bundle, host list and home table.
    pub gossip: gossip::Gossip,
    /// Client of the platform.
    pub platform: records::Client,
    /// Connections to other processes.
    pub links: link::Table,
    /// Recent decisions.
    pub history: explain::History,
    /// Requests during which backend servers ended, as detected by this entry host.
    pub ends: ends::Ends,
    /// What others may take from the process.
    pub intake: intake::Intake,
    /// Metrics.
    pub metrics: metrics::Metrics,
}

/// Reason why a process could not be initialized.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The public key of an operator is invalid.
    #[error("operators: {0}")]
    Operators(#[from] loftcove_bundle::error::Error),
    /// The deployment's key cannot be sent in a header.
    #[error(transparent)]
    Key(#[from] link::KeyError),
}

impl Process {
    /// Creates the state of a process. No task runs yet.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] if a setting is invalid that reading the settings does not check.
    pub fn new(settings: file::Daemon) -> Result<Process, Error> {
        let keyring = sign::Keyring::new(&settings.operators)?;
        let key = link::Key::new(&settings.process.key)?;
        let force = force::Force::new(keyring, settings.process.deployment.clone());
        let intake = intake::Intake::new(&settings);
        let metrics = metrics::Metrics::default();
        // The cell was created empty.
        metrics.intake.set(intake.peers.clone()).unwrap_or_default();
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
            links: link::Table::new(
                key,
                settings.process.source_address,
                intake.peers.memory.clone(),
            ),
            history: explain::History::default(),
            ends: ends::Ends::default(),
            intake,
            metrics,
            settings,
        })
    }

    /// Applies a record from the platform or a peer, if it is newer.
    pub fn apply_record(&self, record: wire::Record) {
        let size = record.value.len() as u64;
        if self.gossip.apply(record, &self.lifecycle, &self.history) {
            self.metrics.exchanged_bytes.inc_by(size);
            self.metrics.generation.set(self.gossip.force.generation() as i64);
        }
    }

    /// Returns the host with that id from the host list.
    pub fn host(&self, id: &str) -> Option<hosts::Host> {
        let list = self.gossip.hosts();
        list.hosts.iter().find(|host| *host.id == *id).cloned()
    }

    /// Returns whether the host list or the bundle marks a host as leaving.
    pub fn is_leaving(&self, id: &str) -> bool {
        let listed = self.host(id).is_some_and(|host| host.leaving);
        let bundle = self.gossip.force.bundle();
        listed || bundle.is_some_and(|bundle| bundle.content.leaving.iter().any(|h| **h == *id))
    }
}
