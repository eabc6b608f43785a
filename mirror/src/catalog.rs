//! The operators' configuration and the backend servers, read from the mirror.
//!
//! Each record is read once for each change of it. An entry that cannot be
//! read names no backend server, not even the one that its key named before;
//! the others hold. With all read again at each change, one entry that changed
//! among 198 cost 198 readings and that of the configuration.

use std::collections::{BTreeMap, BTreeSet};
use std::marker::PhantomData;
use std::sync::Arc;

use loftcove_clock as boot;
use loftcove_decision::revision::Revision;
use loftcove_decision::{fleet, mirror, route};
use loftcove_interface::protocol::{Key, Protocol, Record};

use crate::{Mirror, lines};

/// Ids whose last known start is kept although they are not listed.
const MOST_STARTS: usize = 4_096;

/// What the records say.
#[derive(Debug)]
pub struct Catalog<P> {
    /// Version of the mirror that was read last.
    read: Option<u64>,
    entries: BTreeMap<Arc<str>, Entry>,
    config: Option<Arc<route::Config>>,
    /// Availability zones whose backend servers get nothing.
    drained: BTreeSet<Arc<str>>,
    /// Latest start that was told of each id: an entry of an earlier one, which
    /// a run of before may have written late, is old news.
    starts: BTreeMap<Arc<str>, u64>,
    lines: lines::Allowance,
    protocol: PhantomData<P>,
}

/// A backend server's entry, as it was last read.
#[derive(Debug)]
struct Entry {
    revision: Revision,
    /// None where it cannot be read.
    server: Option<fleet::Server>,
    /// When it was read.
    read: boot::Instant,
}

impl Entry {
    fn new(revision: Revision, server: Option<fleet::Server>) -> Entry {
        Entry { revision, server, read: boot::Instant::now() }
    }
}

impl<P> Default for Catalog<P> {
    fn default() -> Catalog<P> {
        Catalog {
            read: None,
            entries: BTreeMap::new(),
            config: None,
            drained: BTreeSet::new(),
            starts: BTreeMap::new(),
            lines: lines::Allowance::default(),
            protocol: PhantomData,
        }
    }
}

impl<P: Protocol> Catalog<P> {
    /// Reads what has changed in the mirror; costs next to nothing where nothing
    /// has.
    pub fn update(&mut self, mirror: &Mirror) {
        let version = mirror.version();
        if self.read.replace(version) == Some(version) {
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
        self.drain(drained);
        self.entries.retain(|key, _| listed.contains(key));
        self.forget_starts();
    }

    /// The configuration, the newest one that could be read.
    pub fn config(&self) -> Option<&Arc<route::Config>> {
        self.config.as_ref()
    }

    /// Whether a backend server's zone is drained: it gets nothing meanwhile.
    pub fn drained(&self, server: &fleet::Server) -> bool {
        self.drained.contains(&server.zone)
    }

    /// The backend servers. One that does not tell when it started is used all
    /// the same: a single entry of another writer, which tells it, must not take
    /// out all others.
    pub fn servers(&self) -> impl Iterator<Item = &fleet::Server> {
        self.entries.values().filter_map(|entry| entry.server.as_ref())
    }

    /// The same, each with the time until which it is cold by its entry, counted
    /// from when that was read: rather too long than too short.
    pub fn servers_cold_until(&self) -> impl Iterator<Item = (&fleet::Server, boot::Instant)> {
        let servers = self.entries.values();
        servers.filter_map(|entry| {
            let server = entry.server.as_ref()?;
            Some((server, entry.read + server.cold))
        })
    }

    /// Entries that name no backend server to use.
    pub fn unusable(&self) -> usize {
        self.entries.len() - self.servers().count()
    }

    /// Takes the zones that are drained.
    fn drain(&mut self, drained: BTreeSet<Arc<str>>) {
        for zone in drained.difference(&self.drained) {
            log::info!("zone drained zone={zone}");
        }
        for zone in self.drained.difference(&drained) {
            log::info!("zone in use again zone={zone}");
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
            Err(error) => self.tell(&error.to_string(), record),
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
                self.tell(&error.to_string(), record);
                None
            }
        };
        if let Some(server) = &server
            && let Some(born) = server.born
        {
            let latest = self.starts.entry(server.id.clone()).or_insert(born);
            if born < *latest {
                let latest = *latest;
                self.tell(&format!("start {born} is before {latest}"), record);
                // The run that is known stays as it is.
                let known = self.entries.remove(&record.key).and_then(|known| known.server);
                let entry = Entry::new(record.revision, known);
                self.entries.insert(record.key.clone(), entry);
                return;
            }
            *latest = born;
        }
        self.entries.insert(record.key.clone(), Entry::new(record.revision, server));
    }

    /// Logs an entry that is not used, once for each change of it, and only
    /// some of them in a flood.
    fn tell(&self, reason: &str, record: &mirror::Record) {
        if let Some(left_out) = self.lines.take() {
            let revision = record.revision;
            log::warn!(
                "record not used key={} revision={revision} reason=\"{reason}\" left_out={left_out}",
                record.key
            );
        }
    }

    fn forget_starts(&mut self) {
        if self.starts.len() <= MOST_STARTS {
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
