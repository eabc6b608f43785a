//! State that one entry host keeps of each backend server.
//!
//! Each run of a server's process has a record of its own, also under the same id.

mod table;

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

pub use table::Table;

use xxhash_rust::xxh3;

use crate::balancer::Share;
use crate::routing::{eject, notice, rate, warmup};
use crate::{attempt, clock, entity, limit, outage};

/// Half-life of the reported load of other entry hosts' requests.
pub const REPORT_HALF_LIFE: Duration = Duration::from_millis(1_000);

/// Lower bound of the weight by which reports decay more slowly, so that the report of a rank
/// that gets hardly any stream is not relied on for more than some seconds.
const MIN_DECAY: f64 = 0.25;

/// Shortest and longest back-off after a server reported that it had no free slot.
pub const BACK_OFF: (Duration, Duration) = (Duration::from_millis(20), Duration::from_millis(320));

/// Time for which a record is kept after a newer run of the same server was listed. Answers,
/// notices and reports of the earlier run arrive within seconds of its end.
pub const EARLIER_RUN_RETENTION: Duration = Duration::from_secs(60);

/// Time for which the record of a run is kept that is no longer listed. The entry of a run that
/// continues may expire during an outage of the store, and the run is listed again after it.
pub const UNLISTED_RETENTION: Duration = Duration::from_secs(60 * 60);

/// Number of distinct jitter values for gateways that return to a server after a rest.
const JITTER_STEPS: u64 = 1_024;

/// Load that a backend server reports in a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Load {
    /// Number of running requests.
    pub running: u32,
    /// Number of requests queued inside the server.
    pub waiting: u32,
    /// Number of requests that may run at a time.
    pub slots: u32,
}

/// Load report of an agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Report {
    /// Incarnation of the agent.
    pub incarnation: attempt::Incarnation,
    /// Sequence number of the report within that incarnation.
    pub sequence: u64,
    /// Number of requests that run on the backend server.
    pub running: u32,
    /// Number of requests queued inside the backend server.
    pub queued: u32,
    /// Number of requests that the agent admits at a time.
    pub slots: u32,
    /// Whether the agent or its backend server is leaving.
    pub leaving: bool,
    /// Whether the backend server answered its last poll.
    pub alive: bool,
}

/// Entry of a backend server in the host list.
#[derive(Debug, Clone, PartialEq)]
pub struct Listing {
    /// Id of the server's host.
    pub host: Arc<str>,
    /// Start time of the server's run in Unix milliseconds, if it is reported.
    pub born: Option<u64>,
    /// Pool of the server.
    pub pool: entity::Pool,
    /// Lock-step group of the server, if it is a rank of one.
    pub group: Option<entity::Group>,
    /// State of the group as the server's entry reports it.
    pub status: Option<outage::Status>,
    /// Availability zone of the server.
    pub zone: Arc<str>,
    /// Whether the server is in the entry host's availability zone.
    pub local: bool,
    /// Whether the list or the bundle marks the server as leaving.
    pub leaving: bool,
    /// Whether the server's availability zone is drained: it runs but gets no requests.
    pub drained: bool,
    /// Rate that the server can serve while it is cold.
    pub cold: Option<warmup::Cold>,
}

/// One run of a backend server.
#[derive(Debug, Clone)]
pub struct Record {
    /// Entry in the host list.
    pub listing: Listing,
    /// Hash of the host's id, the same at every entry host.
    pub hash: u64,
    /// Whether the host list still contains the run.
    pub listed: bool,
    /// Time after which the record may be removed. `None` while the run is listed.
    expires: Option<clock::Instant>,
    /// Whether the agent's report stream is open.
    pub connected: bool,
    /// Newest report.
    pub report: Report,
    /// Time at which the newest report was received.
    pub reported: clock::Instant,
    /// Own requests in flight when the newest report was received.
    own_at_report: u32,
    /// Own requests in flight.
    pub in_flight: u32,
    /// Limit of own requests in flight.
    pub window: limit::Window,
    /// End of the back-off after a rejection; until then the server gets no requests.
    back_off_until: clock::Instant,
    /// Back-off exponent: incremented by each rejection for lack of a free slot, halved by
    /// each response.
    refusals: u32,
    /// Failures and latency.
    pub health: eject::Health,
    /// Rests and departures that the server announced.
    pub standing: notice::Standing,
    /// Share of the rate limit that the server reports, if there is one.
    pub quota: Option<rate::Quota>,
    /// Target number of streams relative to the highest of the group's ranks, from 0 to 1.
    /// It is 1 unless the server is a slow rank, see [`crate::routing::speed`].
    pub weight: f64,
    /// Schedule of requests while the server is cold.
    schedule: Option<warmup::Schedule>,
}

impl Record {
    fn new(listing: Listing) -> Record {
        Record {
            hash: xxh3::xxh3_64(listing.host.as_bytes()),
            listing,
            listed: true,
            expires: None,
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
            weight: 1.0,
            schedule: None,
        }
    }

    /// Returns a record that is not of any run and gets no requests.
    fn unknown() -> Record {
        let listing = Listing {
            host: "".into(),
            born: None,
            pool: entity::Pool::from_u32(u32::MAX - 1),
            group: None,
            status: None,
            zone: "".into(),
            local: false,
            leaving: false,
            drained: false,
            cold: None,
        };
        Record { listed: false, ..Record::new(listing) }
    }

    /// Moves the time after which the record may be removed to `at` if that is earlier.
    fn expire_by(&mut self, at: clock::Instant) {
        self.expires = Some(self.expires.map_or(at, |expires| expires.min(at)));
    }

    /// Returns whether the record may be of the run that started at `born`. An unknown
    /// start time on either side matches any run.
    fn is_run(&self, born: Option<u64>) -> bool {
        !matches!((self.listing.born, born), (Some(own), Some(other)) if own != other)
    }

    /// Replaces the listing by a newer one of the same run. Returns whether the run was not
    /// listed before.
    fn relist(&mut self, listing: Listing) -> bool {
        let born = listing.born.or(self.listing.born);
        self.listing = Listing { born, ..listing };
        self.listed = true;
        self.expires.take().is_some()
    }

    /// Returns whether the server may get new requests, regardless of its load and limits.
    pub fn usable(&self) -> bool {
        self.present() && !self.listing.drained
    }

    /// Returns whether the server serves requests. In a drained zone it gets none from this
    /// entry host, but serves those that it has and those that others send.
    pub fn present(&self) -> bool {
        self.listed && self.connected && !self.leaving() && self.report.alive
    }

    /// Returns whether the host list, the agent or the server itself reports that the
    /// server is leaving.
    pub fn leaving(&self) -> bool {
        self.listing.leaving || self.report.leaving || self.standing.leaving()
    }

    /// Returns whether the server may get one more request now. Its own announcements take
    /// precedence over the estimated load: a server that rejects all requests looks idle
    /// and would be preferred to servers with free slots.
    pub fn open(&self, now: clock::Instant) -> bool {
        let blocked = now < self.back_off_until || self.health.ejected(now);
        let blocked = blocked || self.schedule.is_some_and(|schedule| !schedule.admits(now));
        let blocked = blocked || self.quota.is_some_and(|quota| !quota.admits(now));
        self.usable()
            && !blocked
            && self.standing.admits(now)
            && self.in_flight < self.window.size()
    }

    /// Creates a schedule if the server has reported that it is cold since the last call,
    /// and removes it once the server is warm.
    pub fn warm_up(&mut self, share: Share, now: clock::Instant) {
        let Some(cold) = self.listing.cold.filter(|cold| now < cold.until) else {
            self.schedule = None;
            return;
        };
        if self.schedule.is_none_or(|schedule| schedule.cold() != cold) {
            self.schedule = Some(warmup::Schedule::new(cold, share, self.hash, now));
        }
    }

    /// Records that a request is sent to the server.
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

    /// Returns the time until which the server gets no requests because of a rest or a rate
    /// limit, whichever ends later, or `None` if neither applies now.
    pub fn closed_until(&self, now: clock::Instant) -> Option<clock::Instant> {
        let rest = self.standing.rests(now).then(|| self.standing.until());
        let turn = self.quota.map(|quota| quota.next()).filter(|next| now < *next);
        rest.max(turn)
    }

    /// Lifts the rate limit after another gateway reported that it is lifted for the run
    /// that started at `born`. Gateways return to the server one after the other. Returns
    /// for how long a limit was in force.
    pub fn lift(&mut self, born: Option<u64>, now: clock::Instant) -> Option<Duration> {
        let quota = self.quota.filter(|quota| self.is_run(born) && quota.may_be_over(now))?;
        self.quota = None;
        self.back_off_until = self.back_off_until.max(now + quota.return_after());
        Some(now.since(quota.since()))
    }

    /// Applies a notice of the server.
    pub fn apply_notice(
        &mut self,
        notice: &notice::Notice,
        now: clock::Instant,
    ) -> Option<notice::Change> {
        let jitter = ((self.hash ^ now.micros()) % JITTER_STEPS) as f64 / JITTER_STEPS as f64;
        self.standing.apply(notice, jitter, now)
    }

    /// Stops requests to the server for a back-off time after it reported that it had no
    /// free slot. The time doubles with each such rejection. Without it, hundreds of entry
    /// hosts with few slots to share would send far more attempts than requests.
    pub fn back_off(&mut self, now: clock::Instant) {
        let pause = BACK_OFF.0.saturating_mul(1 << self.refusals.min(16)).min(BACK_OFF.1);
        // The jitter spreads out entry hosts that were rejected together.
        let percent = 50 + (self.hash ^ now.micros()) % 51;
        self.back_off_until = now + pause * percent as u32 / 100;
        self.refusals += 1;
    }

    /// Shortens later back-off times after a response, which frees a slot.
    pub fn ease_back_off(&mut self) {
        self.refusals /= 2;
    }

    /// Returns the number of other entry hosts' requests by the last report, with a weight
    /// that decays with the report's age. An old report says little, and if all entry hosts
    /// relied on it they would herd on the same backend server.
    fn others(&self, half_life: f64, now: clock::Instant) -> f64 {
        let reported = self.report.running + self.report.queued;
        let others = f64::from(reported.saturating_sub(self.own_at_report));
        let age = now.since(self.reported).as_secs_f64();
        others * 0.5_f64.powf(age / half_life)
    }

    /// Returns the estimated load: the exact number of own requests in flight plus the
    /// decayed reported number of others' requests.
    pub fn load(&self, now: clock::Instant) -> f64 {
        f64::from(self.in_flight) + self.others(REPORT_HALF_LIFE.as_secs_f64(), now)
    }

    /// Returns the load relative to the slots, or to the part of them that a slow rank
    /// should use. A rank that should use none is compared by its slots, as it is selected
    /// only if no other rank is open.
    ///
    /// A rank with a lower weight gets fewer streams, so that its reports are older. They
    /// decay more slowly in proportion; otherwise the rank would look idle and get more than
    /// its share.
    pub fn score(&self, now: clock::Instant) -> f64 {
        let slots = f64::from(self.report.slots.max(1));
        let weight = if self.weight > 0.0 { self.weight } else { 1.0 };
        let half_life = REPORT_HALF_LIFE.as_secs_f64() / weight.max(MIN_DECAY);
        (f64::from(self.in_flight) + self.others(half_life, now)) / (slots * weight)
    }

    /// Returns the load relative to the slots by the last report.
    pub fn reported_score(&self) -> f64 {
        let reported = f64::from(self.report.running + self.report.queued);
        reported / f64::from(self.report.slots.max(1))
    }

    /// Applies a report. Returns whether it is newer than the last one; a stale one is
    /// dropped.
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
