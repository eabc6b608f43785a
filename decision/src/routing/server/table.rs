//! The records of all runs of backend servers that an entry host knows.
//!
//! The number of records is bounded by the list, not by the number of restarts. A run that is
//! listed has a record. A run that is no longer listed keeps its record while it has requests in
//! flight, and for a time after it was last listed. See [`Table::remove_expired`] for the bound.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use cranelift_entity::{EntityRef as _, SecondaryMap};

use crate::balancer::Share;
use crate::routing::server::{EARLIER_RUN_RETENTION, Listing, Record, UNLISTED_RETENTION};
use crate::routing::{eject, rate};
use crate::{clock, entity};

/// Minimum time between two calls of [`Table::remove_expired`] without a new list. It batches the
/// removals and the checks of records with requests in flight.
const REMOVAL_INTERVAL: Duration = Duration::from_secs(10);

/// All backend servers that the entry host knows.
///
/// Callers may hold the id of a run whose record has been removed. Indexing by such an id
/// gives a record that is not listed; [`Table::get_mut`] returns `None`.
#[derive(Debug)]
pub struct Table {
    /// Ids of the records, in ascending order. Ids are not reused.
    ids: Vec<entity::Server>,
    /// Records in the order of `ids`.
    records: Vec<Record>,
    /// Number of records created.
    created: usize,
    /// Newest run of the backend server on each host.
    newest: HashMap<Arc<str>, entity::Server>,
    /// Positions in `records` of the listed runs of each pool, in ascending order.
    listed: SecondaryMap<entity::Pool, Vec<usize>>,
    /// Largest number of runs that were listed at a time.
    most_listed: usize,
    /// Time after which [`Table::remove_expired`] should be called, if any run is not listed.
    removal_due: Option<clock::Instant>,
    /// Stands for every run whose record has been removed.
    unknown: Record,
}

impl Default for Table {
    fn default() -> Table {
        Table {
            ids: Vec::new(),
            records: Vec::new(),
            created: 0,
            newest: HashMap::new(),
            listed: SecondaryMap::new(),
            most_listed: 0,
            removal_due: None,
            unknown: Record::unknown(),
        }
    }
}

impl Table {
    /// Replaces the listings. A server that is no longer listed keeps its record and gets no new
    /// requests. A restarted server gets a new record: nothing learned of its earlier run
    /// applies, except announcements that may come from the new one.
    ///
    /// Returns the servers that restarted or are listed again, each with whether it has become
    /// uncertain whether it leaves.
    pub fn list(
        &mut self,
        listings: Vec<Listing>,
        now: clock::Instant,
    ) -> Vec<(entity::Server, bool)> {
        let mut changed = Vec::new();
        for record in &mut self.records {
            record.listed = false;
        }
        for listing in listings {
            let earlier = self.find(&listing.host);
            match earlier.filter(|id| self[*id].is_run(listing.born)) {
                Some(server) => {
                    let record = &mut self[server];
                    if record.relist(listing) {
                        changed.push((server, record.standing.unsettled()));
                    }
                }
                None => {
                    let server = self.push(listing);
                    if let Some(earlier) = earlier {
                        self[earlier].expire_by(now + EARLIER_RUN_RETENTION);
                        changed.push((server, self.inherit(server, earlier, now)));
                    }
                }
            }
        }
        for record in self.records.iter_mut().filter(|record| !record.listed) {
            record.expires.get_or_insert(now + UNLISTED_RETENTION);
        }
        self.update_listed();
        changed
    }

    fn push(&mut self, listing: Listing) -> entity::Server {
        let server = entity::Server::new(self.created);
        self.created += 1;
        self.newest.insert(listing.host.clone(), server);
        self.ids.push(server);
        self.records.push(Record::new(listing));
        server
    }

    /// Updates the positions of the listed runs.
    fn update_listed(&mut self) {
        self.listed.values_mut().for_each(Vec::clear);
        let mut count = 0;
        for (position, record) in self.records.iter().enumerate() {
            if record.listed {
                self.listed[record.listing.pool].push(position);
                count += 1;
            }
        }
        self.most_listed = self.most_listed.max(count);
    }

    /// Returns whether [`Table::remove_expired`] should be called.
    pub fn removal_due(&self, now: clock::Instant) -> bool {
        self.removal_due.is_some_and(|due| now > due)
    }

    /// Removes the records of runs that are no longer listed and have no requests in flight,
    /// once their time is over. `held` are runs to which a request may return that is in flight
    /// elsewhere. Returns the ids of the removed records.
    ///
    /// Of the runs that may be listed again, and of those that a newer run has replaced, as many
    /// are kept as servers were ever listed at a time. The records of those that have been
    /// unlisted for longest are removed earlier.
    pub fn remove_expired(
        &mut self,
        held: &BTreeSet<entity::Server>,
        now: clock::Instant,
    ) -> Vec<entity::Server> {
        let unlisted = || self.iter().filter(|(_, record)| !record.listed);
        let is_idle = |id, record: &Record| record.in_flight == 0 && !held.contains(&id);
        let idle = unlisted().filter(|(id, record)| is_idle(*id, record));
        let (newest, replaced): (Vec<_>, Vec<_>) =
            idle.partition(|(id, record)| self.find(&record.listing.host) == Some(*id));
        let most = self.most_listed;
        let removed = [newest, replaced].map(|runs| removable(&runs, most, now));
        let removed: BTreeSet<entity::Server> = removed.into_iter().flatten().collect();
        if !removed.is_empty() {
            self.remove(&removed);
        }
        let next = now + REMOVAL_INTERVAL;
        let unlisted = || self.iter().filter(|(_, record)| !record.listed);
        let busy = unlisted().any(|(id, record)| !is_idle(id, record));
        let due = unlisted().filter_map(|(_, record)| record.expires).min();
        self.removal_due = due.map(|due| if busy { next } else { due.max(next) });
        removed.into_iter().collect()
    }

    fn remove(&mut self, removed: &BTreeSet<entity::Server>) {
        self.newest.retain(|_, server| !removed.contains(server));
        let mut ids = self.ids.iter();
        self.records.retain(|_| ids.next().is_some_and(|id| !removed.contains(id)));
        self.ids.retain(|id| !removed.contains(id));
        self.update_listed();
    }

    /// Makes a run inherit the announcements of an earlier run. Returns whether this makes
    /// it uncertain whether the run leaves.
    pub fn inherit(
        &mut self,
        server: entity::Server,
        earlier: entity::Server,
        now: clock::Instant,
    ) -> bool {
        let (standing, quota) = (self[earlier].standing.clone(), self[earlier].quota);
        let record = &mut self[server];
        // The limit may have been reported by the new run; its first response settles this.
        record.quota = record.quota.or(quota);
        record.standing.inherit(&standing, now)
    }

    /// Returns the newest run of the backend server on this host.
    pub fn find(&self, host: &str) -> Option<entity::Server> {
        self.newest.get(host).copied()
    }

    fn position(&self, server: entity::Server) -> Option<usize> {
        self.ids.binary_search(&server).ok()
    }

    /// Returns whether the run has a record.
    pub fn contains(&self, server: entity::Server) -> bool {
        self.position(server).is_some()
    }

    /// Returns the record of a run, or `None` if it has been removed.
    pub fn get_mut(&mut self, server: entity::Server) -> Option<&mut Record> {
        let position = self.position(server)?;
        self.records.get_mut(position)
    }

    /// Readmits the ranks of a group that were ejected for their failures.
    pub fn restore(&mut self, group: entity::Group, now: clock::Instant) {
        let ranks = self.records.iter_mut().filter(|record| record.listing.group == Some(group));
        for record in ranks.filter(|record| record.health.ejected(now)) {
            record.health = eject::Health::default();
        }
    }

    /// Applies a new list of gateways, which changes the holders of rate limits.
    pub fn set_peers(&mut self, peers: &rate::Peers, now: clock::Instant) {
        for record in &mut self.records {
            if let Some(quota) = &mut record.quota {
                quota.set_place(peers.place(&record.listing.host, &record.listing.zone), now);
            }
        }
    }

    /// Updates the schedules of all listed servers that are or were cold.
    pub fn warm_up(&mut self, share: Share, now: clock::Instant) {
        let listed = self.records.iter_mut().filter(|record| record.listed);
        listed.for_each(|record| record.warm_up(share, now));
    }

    /// Returns the records of all runs in the order of their ids, including runs that are no
    /// longer listed.
    pub fn iter(&self) -> impl Iterator<Item = (entity::Server, &Record)> {
        self.ids.iter().copied().zip(&self.records)
    }

    /// Returns the listed servers of a pool in the order of their ids.
    pub fn listed(&self, pool: entity::Pool) -> impl Iterator<Item = (entity::Server, &Record)> {
        let at = |position: &usize| (self.ids[*position], &self.records[*position]);
        self.listed[pool].iter().map(at)
    }

    /// Returns the number of listed servers.
    pub fn listed_count(&self) -> usize {
        self.listed.values().map(Vec::len).sum()
    }

    /// Returns whether the indices match the records.
    pub fn is_consistent(&self) -> bool {
        let positions = self
            .listed
            .iter()
            .flat_map(|(pool, positions)| positions.iter().map(move |position| (*position, pool)));
        let mut indexed: Vec<(usize, entity::Pool)> = positions.collect();
        indexed.sort_unstable();
        let listed = self.records.iter().enumerate().filter(|(_, record)| record.listed);
        self.ids.len() == self.records.len()
            && self.ids.is_sorted_by(|a, b| a < b)
            && listed.map(|(position, record)| (position, record.listing.pool)).eq(indexed)
            && self.newest.values().all(|server| self.contains(*server))
    }

    /// Returns the usable servers of a pool in the order of their ids.
    pub fn usable(&self, pool: entity::Pool) -> impl Iterator<Item = (entity::Server, &Record)> {
        self.listed(pool).filter(|(_, record)| record.usable())
    }
}

/// Returns the runs whose records are removed: those whose time is over, and those beyond the
/// `most` newest ones.
fn removable(
    runs: &[(entity::Server, &Record)],
    most: usize,
    now: clock::Instant,
) -> Vec<entity::Server> {
    let mut runs: Vec<(Option<clock::Instant>, entity::Server)> =
        runs.iter().map(|(server, record)| (record.expires, *server)).collect();
    runs.sort_unstable();
    let expired = runs.partition_point(|(expires, _)| *expires < Some(now));
    runs.truncate(expired.max(runs.len().saturating_sub(most)));
    runs.into_iter().map(|(_, server)| server).collect()
}

impl std::ops::Index<entity::Server> for Table {
    type Output = Record;

    fn index(&self, server: entity::Server) -> &Record {
        self.position(server).map_or(&self.unknown, |position| &self.records[position])
    }
}

impl std::ops::IndexMut<entity::Server> for Table {
    /// The record must exist, as it does for a listed run and while a request is in flight.
    fn index_mut(&mut self, server: entity::Server) -> &mut Record {
        let position = self.position(server);
        debug_assert!(position.is_some(), "{server} has no record");
        match position {
            Some(position) => &mut self.records[position],
            None => {
                self.unknown = Record::unknown();
                &mut self.unknown
            }
        }
    }
}
