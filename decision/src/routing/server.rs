//! What one entry host knows of the backend servers.

use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use cranelift_entity::PrimaryMap;
use xxhash_rust::xxh3;

use crate::balancer::Share;
use crate::routing::{eject, notice, rate, warmup};
use crate::{attempt, clock, entity, limit, outage};

/// Half-life of what a report says of other entry hosts' requests.
pub const REPORT_HALF_LIFE: Duration = Duration::from_millis(1_000);

/// Shortest and longest time without new work after a want of slots.
pub const BACK_OFF: (Duration, Duration) = (Duration::from_millis(20), Duration::from_millis(320));

/// Lots that are told apart when gateways come back to one that rested.
const JITTER_STEPS: u64 = 1_024;

/// Load that a backend server tells with an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Load {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait inside it.
    pub waiting: u32,
    /// Requests that may run at a time.
    pub slots: u32,
}

/// A load report of an agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Report {
    /// The run of the agent that reports.
    pub incarnation: attempt::Incarnation,
    /// Counts the reports of that run.
    pub sequence: u64,
    /// Requests that run on the backend server.
    pub running: u32,
    /// Requests that wait inside the backend server.
    pub queued: u32,
    /// Requests that the agent lets in at a time.
    pub slots: u32,
    /// Whether the agent or its backend server is leaving.
    pub leaving: bool,
    /// Whether the backend server answered its last poll.
    pub alive: bool,
}

/// What the host list says of a backend server.
#[derive(Debug, Clone, PartialEq)]
pub struct Listing {
    /// Id of its host.
    pub host: Arc<str>,
    /// When its run started, Unix milliseconds, where that is told.
    pub born: Option<u64>,
    /// Pool that it belongs to.
    pub pool: entity::Pool,
    /// Group that it runs in lock-step with, if it is a rank of one.
    pub group: Option<entity::Group>,
    /// What its entry tells of the group.
    pub news: Option<outage::News>,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// Whether that is the entry host's own.
    pub local: bool,
    /// Whether the list or the bundle has it leaving.
    pub leaving: bool,
    /// Whether its availability zone is drained: it lives, and gets nothing.
    pub drained: bool,
    /// What it can serve while it is cold.
    pub cold: Option<warmup::Cold>,
}

/// One backend server.
#[derive(Debug, Clone)]
pub struct Record {
    /// What the host list says.
    pub listing: Listing,
    /// Hash of the host's id, the same at every entry host.
    pub hash: u64,
    /// Whether the host list still has it.
    pub listed: bool,
    /// Whether the agent's report stream is open.
    pub connected: bool,
    /// The newest report.
    pub report: Report,
    /// When it came.
    pub reported: clock::Instant,
    /// Own requests in flight when it came.
    own_at_report: u32,
    /// Own requests in flight.
    pub in_flight: u32,
    /// Own requests that may be in flight.
    pub window: limit::Window,
    /// It had no slot a moment ago: until then it gets nothing more.
    back_off_until: clock::Instant,
    /// Refusals for want of a slot since it last answered.
    refusals: u32,
    /// Record of its failures.
    pub health: eject::Health,
    /// What it has said of its own near future.
    pub standing: notice::Standing,
    /// The rate limit that it names, where it names one.
    pub quota: Option<rate::Quota>,
    /// Its schedule while it is cold.
    schedule: Option<warmup::Schedule>,
}

impl Record {
    fn new(listing: Listing) -> Record {
        Record {
            hash: xxh3::xxh3_64(listing.host.as_bytes()),
            listing,
            listed: true,
            connected: false,
            report: Report::default(),
            reported: clock::Instant::ZERO,
            own_at_report: 0,
            in_flight: 0,
            window: limit::Window::default(),
            back_off_until: clock::Instant::ZERO,
            refusals: 0,
            health: eject::Health::default(),
            standing: notice::Standing::default(),
            quota: None,
            schedule: None,
        }
    }

    /// Whether it may be of the run that started then: a start that is not told,
    /// before or now, makes it no other one.
    fn is_run(&self, born: Option<u64>) -> bool {
        !matches!((self.listing.born, born), (Some(own), Some(other)) if own != other)
    }

    /// Takes another listing of the same run.
    fn relist(&mut self, listing: Listing) {
        let born = listing.born.or(self.listing.born);
        self.listing = Listing { born, ..listing };
        self.listed = true;
    }

    /// Whether it may be given new work at all.
    pub fn usable(&self) -> bool {
        self.present() && !self.listing.drained
    }

    /// Whether it serves, though perhaps only what it has and what others send it.
    pub fn present(&self) -> bool {
        self.listed && self.connected && !self.leaving() && self.report.alive
    }

    /// Whether it is about to end, as far as the host list, its agent or it itself
    /// has told.
    pub fn leaving(&self) -> bool {
        self.listing.leaving || self.report.leaving || self.standing.leaving()
    }

    /// Whether it may be given one more request now. What it says itself goes
    /// before what is guessed: one that refuses all looks idle, and would be
    /// chosen before those that have room.
    pub fn open(&self, now: clock::Instant) -> bool {
        let blocked = now < self.back_off_until || self.health.ejected(now);
        let blocked = blocked || self.schedule.is_some_and(|schedule| !schedule.admits(now));
        let blocked = blocked || self.quota.is_some_and(|quota| !quota.admits(now));
        self.usable()
            && !blocked
            && self.standing.admits(now)
            && self.in_flight < self.window.size()
    }

    /// Gives it schedule if it has told that it is cold since the last look.
    pub fn warm_up(&mut self, share: Share, now: clock::Instant) {
        let Some(cold) = self.listing.cold.filter(|cold| now < cold.until) else {
            self.schedule = None;
            return;
        };
        if self.schedule.is_none_or(|schedule| schedule.cold() != cold) {
            self.schedule = Some(warmup::Schedule::new(cold, share, self.hash, now));
        }
    }

    /// A request is sent to it.
    pub fn sent(&mut self, now: clock::Instant) {
        self.in_flight += 1;
        self.standing.sent();
        if let Some(schedule) = &mut self.schedule {
            schedule.sent(now);
        }
        if let Some(quota) = &mut self.quota {
            quota.sent(now);
        }
    }

    /// Until when it is to get nothing by its own word; none where it may get
    /// something now. Of a rest and a rate limit the later end holds.
    pub fn closed_until(&self, now: clock::Instant) -> Option<clock::Instant> {
        let rest = self.standing.rests(now).then(|| self.standing.until());
        let turn = self.quota.map(|quota| quota.next()).filter(|next| now < *next);
        rest.max(turn)
    }

    /// Another gateway found that the rate limit of a run that started then is lifted:
    /// all come back one after the other. Returns for how long there was one.
    pub fn lift(&mut self, born: Option<u64>, now: clock::Instant) -> Option<Duration> {
        let quota = self.quota.filter(|quota| self.is_run(born) && quota.may_be_over(now))?;
        self.quota = None;
        self.back_off_until = self.back_off_until.max(now + quota.return_after());
        Some(now.since(quota.since()))
    }

    /// Takes what it says of its own near future.
    pub fn apply_notice(
        &mut self,
        notice: &notice::Notice,
        now: clock::Instant,
    ) -> Option<notice::Change> {
        let jitter = ((self.hash ^ now.micros()) % JITTER_STEPS) as f64 / JITTER_STEPS as f64;
        self.standing.apply(notice, jitter, now)
    }

    /// It had no slot: it gets nothing more for a while, which doubles with each
    /// time. Hundreds of entry hosts before few slots would otherwise send
    /// far more attempts than requests.
    pub fn back_off(&mut self, now: clock::Instant) {
        let pause = BACK_OFF.0.saturating_mul(1 << self.refusals.min(16)).min(BACK_OFF.1);
        // Entry hosts that were refused together come back apart.
        let percent = 50 + (self.hash ^ now.micros()) % 51;
        self.back_off_until = now + pause * percent as u32 / 100;
        self.refusals += 1;
    }

    /// It answered: slots come free.
    pub fn ease_back_off(&mut self) {
        self.refusals /= 2;
    }

    /// Requests of others on it, as the last report had them, fading with age:
    /// an old report says little, and every entry host that trusted it alike
    /// would send to the same backend server.
    fn others(&self, now: clock::Instant) -> f64 {
        let reported = self.report.running + self.report.queued;
        let others = f64::from(reported.saturating_sub(self.own_at_report));
        let age = now.since(self.reported).as_secs_f64();
        others * 0.5_f64.powf(age / REPORT_HALF_LIFE.as_secs_f64())
    }

    /// Load in relation to the slots: own requests in flight are exact, those
    /// of others are the faded report.
    pub fn score(&self, now: clock::Instant) -> f64 {
        let slots = f64::from(self.report.slots.max(1));
        (f64::from(self.in_flight) + self.others(now)) / slots
    }

    /// Load in relation to the slots as the last report had it.
    pub fn reported_score(&self) -> f64 {
        let reported = f64::from(self.report.running + self.report.queued);
        reported / f64::from(self.report.slots.max(1))
    }

    /// Takes a report; a late one is dropped.
    pub fn apply_report(&mut self, report: Report, now: clock::Instant) -> bool {
        let newer =
            (report.incarnation, report.sequence) > (self.report.incarnation, self.report.sequence);
        if !newer {
            return false;
        }
        self.report = report;
        self.reported = now;
        self.own_at_report = self.in_flight;
        self.window.set_slots(report.slots);
        true
    }
}

impl fmt::Display for Record {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} {} listed={} connected={} leaving={} in_flight={} window={} running={} queued={} slots={}",
            self.listing.host,
            self.listing.pool,
            self.listed,
            self.connected,
            self.leaving(),
            self.in_flight,
            self.window.size(),
            self.report.running,
            self.report.queued,
            self.report.slots
        )
    }
}

/// All backend servers that the entry host has heard of.
#[derive(Debug, Default)]
pub struct Table {
    records: PrimaryMap<entity::Server, Record>,
    /// Newest run of the backend server on each host.
    newest: HashMap<Arc<str>, entity::Server>,
}

impl Table {
    /// Replaces the listings. One that is gone stays known while its requests
    /// are in flight, and gets no new work. One that has started again is
    /// another record: nothing that was learnt of its earlier run holds, but for
    /// what the new one may have said itself. Returns the restarted ones, each with
    /// whether it is uncertain that it stays.
    pub fn list(
        &mut self,
        listings: Vec<Listing>,
        now: clock::Instant,
    ) -> Vec<(entity::Server, bool)> {
        let mut restarted = Vec::new();
        for record in self.records.values_mut() {
            record.listed = false;
        }
        for listing in listings {
            match self.find(&listing.host).filter(|id| self.records[*id].is_run(listing.born)) {
                Some(server) => self.records[server].relist(listing),
                None => {
                    let host = listing.host.clone();
                    let earlier = self.find(&host);
                    let server = self.records.push(Record::new(listing));
                    self.newest.insert(host, server);
                    if let Some(earlier) = earlier {
                        restarted.push((server, self.inherit(server, earlier, now)));
                    }
                }
            }
        }
        restarted
    }

    /// Has a run take over what an earlier one said; returns whether it is no longer
    /// certain that it stays.
    pub fn inherit(
        &mut self,
        server: entity::Server,
        earlier: entity::Server,
        now: clock::Instant,
    ) -> bool {
        let (standing, quota) =
            (self.records[earlier].standing.clone(), self.records[earlier].quota);
        let record = &mut self.records[server];
        // The limit may be the new run's; its first answer tells.
        record.quota = record.quota.or(quota);
        record.standing.inherit(&standing, now)
    }

    /// The newest run of the backend server on that host.
    pub fn find(&self, host: &str) -> Option<entity::Server> {
        self.newest.get(host).copied()
    }

    /// Takes the ranks of a group in again that were out for their failures.
    pub fn restore(&mut self, group: entity::Group, now: clock::Instant) {
        let ranks = self.records.values_mut().filter(|record| record.listing.group == Some(group));
        for record in ranks.filter(|record| record.health.ejected(now)) {
            record.health = eject::Health::default();
        }
    }

    /// Takes another list of gateways: who uses the limits of servers changes.
    pub fn set_peers(&mut self, peers: &rate::Peers, now: clock::Instant) {
        for record in self.records.values_mut() {
            if let Some(quota) = &mut record.quota {
                quota.set_place(peers.place(&record.listing.host, &record.listing.zone), now);
            }
        }
    }

    /// Gives schedule to those that have told that they are cold.
    pub fn warm_up(&mut self, share: Share, now: clock::Instant) {
        let listed = self.records.values_mut().filter(|record| record.listed);
        listed.for_each(|record| record.warm_up(share, now));
    }

    /// All backend servers, in the order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = (entity::Server, &Record)> {
        self.records.iter()
    }

    /// Those of a pool that may be given new work, in the order of their ids.
    pub fn usable(&self, pool: entity::Pool) -> impl Iterator<Item = (entity::Server, &Record)> {
        self.iter().filter(move |(_, record)| record.listing.pool == pool && record.usable())
    }
}

impl std::ops::Index<entity::Server> for Table {
    type Output = Record;

    fn index(&self, server: entity::Server) -> &Record {
        &self.records[server]
    }
}

impl std::ops::IndexMut<entity::Server> for Table {
    fn index_mut(&mut self, server: entity::Server) -> &mut Record {
        &mut self.records[server]
    }
}
