//! The operators' configuration and the backend servers, parsed from the mirror.
//!
//! An entry is parsed once for each of its revisions. Parsing everything at each change cost 198
//! entries and the configuration for one changed entry among 198. An entry that cannot be parsed
//! yields no backend server, not even the one that its key held before; other entries are not
//! affected.

use std::collections::{BTreeMap, BTreeSet};
use std::marker::PhantomData;
use std::sync::Arc;

use loftcove_clock as boot;
use loftcove_decision::revision::Revision;
use loftcove_decision::{fleet, mirror, route};
use loftcove_interface::protocol::{Key, Protocol, Record};
use loftcove_line::field;

use crate::{Mirror, log_limit};

/// Number of ids above which the starts of unlisted servers are discarded.
const MAX_STARTS: usize = 4_096;

/// Configuration, backend servers and drained zones.
#[derive(Debug)]
pub struct Catalog<P> {
    /// Version of the mirror at the last update.
    read_version: Option<u64>,
    entries: BTreeMap<Arc<str>, Entry>,
    config: Option<Arc<route::Config>>,
    /// Availability zones whose backend servers receive no requests.
    drained: BTreeSet<Arc<str>>,
    /// Latest known start of each server id. An entry of an earlier start is stale: a previous run
    /// may have written it late.
    starts: BTreeMap<Arc<str>, u64>,
    log_limiter: log_limit::Limiter,
    protocol: PhantomData<P>,
}

/// A backend server's entry as it was last parsed.
#[derive(Debug)]
struct Entry {
    revision: Revision,
    /// The server; `None` if the entry cannot be parsed.
    server: Option<fleet::Server>,
    /// When the entry was parsed.
    read_at: boot::Instant,
}

impl Entry {
    fn new(revision: Revision, server: Option<fleet::Server>) -> Entry {
        Entry { revision, server, read_at: boot::Instant::now() }
    }
}

impl<P> Default for Catalog<P> {
    fn default() -> Catalog<P> {
        Catalog {
            read_version: None,
            entries: BTreeMap::new(),
            config: None,
            drained: BTreeSet::new(),
            starts: BTreeMap::new(),
            log_limiter: log_limit::Limiter::default(),
            protocol: PhantomData,
        }
    }
}

impl<P: Protocol> Catalog<P> {
    /// Parses the records that changed in the mirror. Returns at once if the mirror did not change.
    pub fn update(&mut self, mirror: &Mirror) {
        let version = mirror.version();
        if self.read_version.replace(version) == Some(version) {
            return;
        }
        let mut listed = BTreeSet::new();
        let mut drained = BTreeSet::new();
        for record in P::PREFIXES.iter().flat_map(|prefix| mirror.below(prefix)) {
            match P::parse_key(&record.key) {
                Key::Config => self.read_config(&record),
                Key::Server(_) => {
                    self.read_server(&record);
                    listed.insert(record.key);
                }
                Key::DrainedZone(zone) => {
                    drained.insert(Arc::from(zone));
                }
                Key::Other => {}
            }
        }
        self.set_drained(drained);
        self.entries.retain(|key, _| listed.contains(key));
        self.forget_starts();
    }

    /// Returns the newest configuration that could be parsed.
    pub fn config(&self) -> Option<&Arc<route::Config>> {
        self.config.as_ref()
    }

    /// Returns whether a backend server's zone is drained, so that it receives no requests.
    pub fn drained(&self, server: &fleet::Server) -> bool {
        self.drained.contains(&server.zone)
    }

    /// Returns the backend servers. A server whose entry lacks its start is included: one entry of
    /// another writer that has a start must not exclude all entries that have none.
    pub fn servers(&self) -> impl Iterator<Item = &fleet::Server> {
        self.entries.values().filter_map(|entry| entry.server.as_ref())
    }

    /// Returns the backend servers, each with the time until which its entry declares it cold. The
    /// time counts from when the entry was parsed: it is rather too long than too short.
    pub fn servers_cold_until(&self) -> impl Iterator<Item = (&fleet::Server, boot::Instant)> {
        let servers = self.entries.values();
        servers.filter_map(|entry| {
            let server = entry.server.as_ref()?;
            Some((server, entry.read_at + server.cold))
        })
    }

    /// Returns the number of entries that yield no usable backend server.
    pub fn unusable(&self) -> usize {
        self.entries.len() - self.servers().count()
    }

    /// Sets the drained zones and logs the differences.
    fn set_drained(&mut self, drained: BTreeSet<Arc<str>>) {
        for zone in drained.difference(&self.drained) {
            log::info!("zone drained zone={zone}", zone = field::Text(zone));
        }
        for zone in self.drained.difference(&drained) {
            log::info!("zone no longer drained zone={zone}", zone = field::Text(zone));
        }
        self.drained = drained;
    }

    fn read_config(&mut self, record: &mirror::Record) {
        let value = record.value.as_deref().unwrap_or_default();
        match P::record(&record.key, value) {
            Ok(Record::Config(config)) => {
                let newer = self.config.as_ref().is_none_or(|own| own.version < config.version);
                if newer {
                    self.config = Some(Arc::new(*config));
                }
            }
            Ok(_) => {}
            Err(error) => self.log_unused(&error.to_string(), record),
        }
    }

    fn read_server(&mut self, record: &mirror::Record) {
        let known = self.entries.get(&record.key);
        if known.is_some_and(|known| known.revision == record.revision) {
            return;
        }
        let value = record.value.as_deref().unwrap_or_default();
        let server = match P::record(&record.key, value) {
            Ok(Record::Server(server)) => Some(server),
            Ok(_) => None,
            Err(error) => {
                self.log_unused(&error.to_string(), record);
                None
            }
        };
        if let Some(server) = &server
            && let Some(born) = server.born
        {
            let latest = self.starts.entry(server.id.clone()).or_insert(born);
            if born < *latest {
                let latest = *latest;
                self.log_unused(&format!("start {born} is before {latest}"), record);
                // The known run keeps its state.
                let known = self.entries.remove(&record.key).and_then(|known| known.server);
                let entry = Entry::new(record.revision, known);
                self.entries.insert(record.key.clone(), entry);
                return;
            }
            *latest = born;
        }
        self.entries.insert(record.key.clone(), Entry::new(record.revision, server));
    }

    /// Logs a record that is not used, subject to a rate limit. A server's entry is parsed, and so
    /// logged, once for each of its revisions.
    fn log_unused(&self, reason: &str, record: &mirror::Record) {
        if let Some(left_out) = self.log_limiter.acquire() {
            let revision = record.revision;
            log::warn!(
                "record not used key={} revision={revision} reason={reason} left_out={left_out}",
                field::Text(&record.key),
                reason = field::Quoted(&reason)
            );
        }
    }

    fn forget_starts(&mut self) {
        if self.starts.len() <= MAX_STARTS {
            return;
        }
        let listed: BTreeSet<&Arc<str>> = self
            .entries
            .values()
            .filter_map(|entry| entry.server.as_ref().map(|server| &server.id))
            .collect();
        self.starts.retain(|id, _| listed.contains(id));
    }
}
