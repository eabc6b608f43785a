//! A lock around the balancer, and the requests that wait for its decisions.
//!
//! A [`Dispatcher`] accepts requests and returns a [`Permit`] for each, which yields the next step
//! of the request: send an attempt to a backend server, or send the final answer.
//! `loftcove-decision` makes all decisions. This crate adds the lock, the clock and the wake-ups of
//! waiting tasks.
//!
//! A backend server *rests* while it receives no requests because it asked for a pause. It *leaves*
//! when it accepts no new requests before the end of its run.

mod attempt;
mod moves;
mod permit;
mod records;

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use loftcove_clock as boot;
use loftcove_decision::routing::{notice, policy, rate, server, warmup};
use loftcove_decision::{
    admission, balancer, clock, entity, fleet, name, outage, pass, poison, retry,
};
use loftcove_line::field;
use rand_chacha::rand_core::SeedableRng as _;
use tokio::sync::{Notify, mpsc};

pub use attempt::Attempt;
pub use moves::Move;
pub use permit::Permit;
pub use records::Records;

/// Number of candidates that one selection compares; see `docs/design/routing.md`.
const SAMPLE: usize = 2;
/// Engines keep no prompt after its request, so no backend server is preferred for a prefix.
const NO_PREFIX: u64 = 0;
/// Interval between two checks for requests that have waited too long.
const TICK: Duration = Duration::from_millis(10);

/// An entry of the list of backend servers, with the caller's target.
#[derive(Debug, Clone)]
pub struct Listing<T> {
    /// Run of the backend server.
    pub run: fleet::Run,
    /// Pool that it belongs to.
    pub pool: Arc<str>,
    /// Place in a lock-step group, if the server is a rank of one.
    pub rank: Option<Rank>,
    /// Availability zone.
    pub zone: Arc<str>,
    /// Whether the availability zone is that of this host.
    pub local: bool,
    /// Whether the server is leaving.
    pub leaving: bool,
    /// Whether the server's availability zone is drained.
    pub drained: bool,
    /// End of the warm-up, and the rate in requests per second that the server can serve until
    /// then.
    pub cold: Option<(boot::Instant, f64)>,
    /// Number of requests that the server accepts concurrently from all gateways together.
    pub slots: u32,
    /// The caller's data for reaching the server.
    pub target: T,
}

/// A backend server's place in a lock-step group.
#[derive(Debug, Clone)]
pub struct Rank {
    /// Name of the group.
    pub group: Arc<str>,
    /// State of the group as the rank itself reports it.
    pub reported: Option<fleet::Rank>,
}

impl Rank {
    fn status(&self) -> Option<outage::Status> {
        let reported = self.reported.as_ref()?;
        Some(outage::Status {
            epoch: reported.epoch,
            state: reported.state,
            ranks: (1, reported.size),
        })
    }
}

/// An arriving request.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// Pool of backend servers that can answer the request.
    pub pool: Arc<str>,
    /// Team that sent the request.
    pub team: Arc<str>,
    /// Precedence; 0 is dispatched first.
    pub precedence: u32,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Whether another backend server may continue an answer that has begun.
    pub resumable: bool,
    /// Maximum number of backend servers that may run the request.
    pub max_attempts: u32,
    /// Deadline of the answer.
    pub due: boot::Instant,
    /// Time by which the answer should begin.
    pub begin_by: boot::Instant,
    /// Digest of the request, if it is suspected of having ended a backend server.
    pub suspect: Option<poison::Digest>,
}

/// Next step of a request.
#[derive(Debug, Clone)]
pub enum Next<T> {
    /// Send an attempt to a backend server.
    Send(Attempt<T>),
    /// Replace the attempt in flight, which runs on a slow rank, by another one.
    Move(Move<T>),
    /// Reject the request, which is the final answer.
    Refuse(balancer::Refusal),
}

/// A balancer behind a lock.
pub struct Dispatcher<T> {
    origin: boot::Instant,
    has_waiting: Notify,
    outage: Arc<Notify>,
    unsettled: Arc<Notify>,
    inner: Mutex<Inner<T>>,
}

struct Inner<T> {
    balancer: balancer::Balancer<policy::Blend>,
    pools: name::Table<entity::Pool>,
    groups: name::Table<entity::Group>,
    teams: name::Table<entity::Team>,
    targets: BTreeMap<entity::Server, T>,
    waiting: BTreeMap<entity::Ticket, mpsc::UnboundedSender<Next<T>>>,
    sequence: u64,
    /// Number of records of runs that were removed.
    removed: u64,
    /// Wakes the task that checks unreachable groups.
    outage: Arc<Notify>,
    /// Wakes the task that determines which backend servers leave.
    unsettled: Arc<Notify>,
}

impl<T: Clone + Send> Dispatcher<T> {
    /// Creates a dispatcher without backend servers.
    pub fn new(options: &balancer::Options) -> Dispatcher<T> {
        let rng = rand_chacha::ChaCha8Rng::seed_from_u64(rand::random());
        let policy = policy::Blend { rng, sample: SAMPLE, affinity_slack: 0.0 };
        let (outage, unsettled): (Arc<Notify>, Arc<Notify>) = Default::default();
        let inner = Inner {
            balancer: balancer::Balancer::new(policy, options),
            pools: name::Table::default(),
            groups: name::Table::default(),
            teams: name::Table::default(),
            targets: BTreeMap::new(),
            waiting: BTreeMap::new(),
            sequence: 0,
            removed: 0,
            outage: outage.clone(),
            unsettled: unsettled.clone(),
        };
        let (origin, has_waiting) = (boot::Instant::now(), Notify::new());
        Dispatcher { origin, has_waiting, outage, unsettled, inner: Mutex::new(inner) }
    }

    fn lock(&self) -> MutexGuard<'_, Inner<T>> {
        // A panic in another thread is reported there. The tables stay consistent, so the poisoned
        // lock can be used.
        self.inner.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    fn at(&self, instant: boot::Instant) -> clock::Instant {
        let micros = instant.saturating_duration_since(self.origin).as_micros();
        clock::Instant::from_micros(micros as u64)
    }

    fn now(&self) -> clock::Instant {
        self.at(boot::Instant::now())
    }

    /// Replaces the list of backend servers.
    pub fn list(&self, listings: Vec<Listing<T>>) {
        let now = self.now();
        let mut inner = self.lock();
        let rows = listings.iter().map(|listing| server::Listing {
            host: listing.run.id.clone(),
            born: listing.run.born,
            pool: inner.pools.intern(&listing.pool),
            group: listing.rank.as_ref().map(|rank| inner.groups.intern(&rank.group)),
            status: listing.rank.as_ref().and_then(Rank::status),
            zone: listing.zone.clone(),
            local: listing.local,
            leaving: listing.leaving,
            drained: listing.drained,
            cold: listing.cold.map(|(until, rate)| warmup::Cold { until: self.at(until), rate }),
        });
        let rows: Vec<server::Listing> = rows.collect();
        let mut actions = inner.balancer.list(rows, now);
        for listing in listings {
            let Some(id) = inner.balancer.servers().find(&listing.run.id) else { continue };
            if inner.targets.insert(id, listing.target).is_some() {
                continue;
            }
            let load = server::Load { running: 0, waiting: 0, slots: listing.slots };
            actions.extend(inner.balancer.set_connected(id, true, now));
            actions.extend(inner.report(id, load, now));
        }
        inner.route(actions);
    }

    /// Returns the states of the retry budgets of all pools that have had requests.
    pub fn retry_budgets(&self) -> Vec<(Arc<str>, retry::Status)> {
        let inner = self.lock();
        let budgets = inner.balancer.retry_budgets();
        budgets.map(|(pool, status)| (inner.pools.name(pool).clone(), status)).collect()
    }

    /// Returns the capacities of all pools whose groups are bounded, as this process knows them.
    pub fn capacities(&self) -> Vec<(Arc<str>, balancer::Capacity)> {
        let now = self.now();
        let inner = self.lock();
        let capacities = inner.balancer.capacities(now);
        capacities.map(|(pool, capacity)| (inner.pools.name(pool).clone(), capacity)).collect()
    }

    /// Sets the number of retries that the retry budget of each pool may accumulate.
    /// See [`balancer::Balancer::set_reserve`].
    pub fn set_reserve(&self, reserve: f64) -> f64 {
        let now = self.now();
        self.lock().balancer.set_reserve(reserve, now)
    }

    /// Applies the load that a backend server reported.
    pub fn report(&self, server: entity::Server, load: server::Load) {
        let now = self.now();
        let mut inner = self.lock();
        inner.balancer.report_load(server, load.running + load.waiting, now);
        let actions = inner.report(server, load, now);
        inner.route(actions);
    }

    /// Sets the cost of a pass of a pool's lock-step groups.
    pub fn set_cost(&self, pool: &Arc<str>, cost: pass::Cost) {
        let mut inner = self.lock();
        let id = inner.pools.intern(pool);
        inner.balancer.set_cost(id, cost);
    }

    /// Sets the slow ranks of a lock-step group, each with the id of its backend server and its
    /// slowness, which is the time that its work takes as a multiple of the usual time. All other
    /// ranks count as equally fast.
    pub fn set_speeds(&self, group: &Arc<str>, slow: &[(Arc<str>, f64)]) {
        let now = self.now();
        let mut inner = self.lock();
        let id = inner.groups.intern(group);
        let actions = inner.balancer.set_speeds(id, slow, now);
        inner.route(actions);
    }

    /// Returns the number of ranks that count as slow.
    pub fn slow_ranks(&self) -> usize {
        self.lock().balancer.slow_ranks()
    }

    /// Sets the time that a pool's lock-step groups need to form.
    pub fn set_form_time(&self, pool: &Arc<str>, time: Duration) {
        let mut inner = self.lock();
        let id = inner.pools.intern(pool);
        inner.balancer.set_form_time(id, time);
    }

    /// Sets this gateway's place among the gateways that share the backend servers.
    pub fn set_share_of_servers(&self, share: balancer::Share) {
        self.lock().balancer.set_share_of_servers(share);
    }

    /// Sets the gateways that share the backend servers' rate limits.
    pub fn set_peers(&self, peers: rate::Peers) {
        let now = self.now();
        let mut inner = self.lock();
        let actions = inner.balancer.set_peers(peers, now);
        inner.route(actions);
    }

    /// Marks a backend server as another run than the listed one. It receives no requests until the
    /// server is listed again.
    pub fn unlist(&self, server: entity::Server) {
        let now = self.now();
        let mut inner = self.lock();
        let actions = inner.balancer.set_connected(server, false, now);
        inner.route(actions);
    }

    /// Applies a notice that a backend server sent in an answer: that it rests or leaves. Returns
    /// the resulting change.
    pub fn apply_notice(
        &self,
        server: entity::Server,
        notice: &notice::Notice,
    ) -> Option<notice::Change> {
        let now = self.now();
        let mut inner = self.lock();
        let (change, actions) = inner.balancer.apply_notice(server, notice, now);
        inner.route(actions);
        change
    }

    /// Applies a notice about a backend server's rate limit. It was in the answer to a request for
    /// which the server was selected at `chosen`. Returns the resulting change.
    pub fn apply_rate_notice(
        &self,
        server: entity::Server,
        notice: rate::Notice,
        chosen: clock::Instant,
    ) -> Option<rate::Change> {
        let now = self.now();
        let mut inner = self.lock();
        let (change, actions) = inner.balancer.apply_rate_notice(server, notice, chosen, now);
        inner.route(actions);
        change
    }

    /// Lifts a run's rate limit, which another gateway has found to be lifted. Returns how long a
    /// limit was in force here.
    pub fn lift_limit(&self, run: &fleet::Run) -> Option<Duration> {
        let now = self.now();
        let mut inner = self.lock();
        let (time, actions) = inner.balancer.lift_limit(&run.id, run.born, now);
        inner.route(actions);
        time
    }

    /// Returns the number of listed backend servers that report a rate limit.
    pub fn limited(&self) -> usize {
        self.lock().balancer.limited()
    }

    /// Returns the rate at which this gateway may send to a backend server that reports a rate
    /// limit.
    pub fn pace(&self, server: entity::Server) -> Option<rate::Pace> {
        self.lock().balancer.servers()[server].quota.map(|quota| quota.pace())
    }

    /// Returns whether an attempt for which a backend server was selected at `chosen` may still be
    /// sent to it now.
    pub fn still_accepts(&self, server: entity::Server, chosen: clock::Instant) -> bool {
        self.lock().balancer.still_accepts(server, chosen, self.now())
    }

    /// Returns the number of backend servers that rest, and of listed ones that reported that they
    /// leave.
    pub fn resting_and_leaving(&self) -> (usize, usize) {
        self.lock().balancer.resting_and_leaving(self.now())
    }

    /// Waits until it is uncertain whether some backend servers leave. Returns them with their
    /// targets.
    pub async fn unsettled(&self) -> Vec<(entity::Server, T)> {
        loop {
            let unsettled = self.lock().unsettled();
            if !unsettled.is_empty() {
                return unsettled;
            }
            self.unsettled.notified().await;
        }
    }

    /// Records whether a backend server leaves, which was uncertain.
    pub fn settle(&self, server: entity::Server, leaving: bool) {
        let now = self.now();
        let mut inner = self.lock();
        let actions = inner.balancer.settle(server, leaving, now);
        inner.route(actions);
    }

    /// Returns whether a backend server is leaving or is no longer listed. A server that restarted
    /// has not left: its earlier run ended.
    pub fn leaving(&self, server: entity::Server) -> bool {
        let inner = self.lock();
        let servers = inner.balancer.servers();
        let record = &servers[server];
        let newest = servers.find(&record.listing.host) == Some(server);
        record.leaving() || !record.listed && newest
    }

    /// Returns whether a listed backend server's target satisfies `wanted`.
    pub fn any_listed(&self, wanted: impl Fn(&T) -> bool) -> bool {
        let inner = self.lock();
        let listed = inner.balancer.servers().iter().filter(|(_, record)| record.listed);
        listed.into_iter().any(|(server, _)| inner.targets.get(&server).is_some_and(&wanted))
    }

    /// Waits until groups are unreachable. Returns them with the targets of their ranks.
    pub async fn unreachable_groups(&self) -> Vec<(entity::Group, Vec<T>)> {
        loop {
            let groups = self.lock().unreachable_groups();
            if !groups.is_empty() {
                return groups;
            }
            self.outage.notified().await;
        }
    }

    /// Records that a connection to a rank of an unreachable group was established.
    pub fn group_reached(&self, group: entity::Group) {
        let now = self.now();
        let mut inner = self.lock();
        let actions = inner.balancer.group_reached(group, now);
        inner.route(actions);
    }

    /// Accepts an arriving request. The permit yields its next steps.
    pub fn arrive(self: &Arc<Dispatcher<T>>, arrival: &Arrival) -> Permit<T> {
        let now = self.now();
        let (sender, receiver) = mpsc::unbounded_channel();
        let mut inner = self.lock();
        let arrival = balancer::Arrival {
            pool: inner.pools.intern(&arrival.pool),
            team: inner.teams.intern(&arrival.team),
            precedence: arrival.precedence,
            repeatable: arrival.repeatable,
            resumable: arrival.resumable,
            max_attempts: arrival.max_attempts,
            deadline: self.at(arrival.due),
            expires: self.at(arrival.due),
            begin_by: Some(self.at(arrival.begin_by)),
            prefix: NO_PREFIX,
            suspect: arrival.suspect,
        };
        let (ticket, actions) = inner.balancer.arrive(arrival, now);
        inner.waiting.insert(ticket, sender);
        inner.route(actions);
        let waiting = inner.balancer.queue().waiting() > 0;
        drop(inner);
        if waiting {
            self.has_waiting.notify_one();
        }
        Permit::new(self.clone(), ticket, receiver)
    }

    fn end(
        &self,
        ticket: entity::Ticket,
        end: balancer::End,
        unread: &mut mpsc::UnboundedReceiver<Next<T>>,
    ) {
        let now = self.now();
        let mut inner = self.lock();
        inner.cancel_unread_move(ticket, unread, now);
        let actions = inner.balancer.end(ticket, end, now);
        inner.route(actions);
        let waiting = inner.balancer.queue().waiting() > 0;
        drop(inner);
        if waiting {
            self.has_waiting.notify_one();
        }
    }

    fn event(&self, ticket: entity::Ticket, pause: Duration, wanted: Duration) {
        let now = self.now();
        let mut inner = self.lock();
        let actions = inner.balancer.stream_event(ticket, pause, wanted, now);
        inner.route(actions);
    }

    fn begin(
        &self,
        ticket: entity::Ticket,
        after: Duration,
        unread: &mpsc::UnboundedReceiver<Next<T>>,
    ) {
        let now = self.now();
        let mut inner = self.lock();
        if !unread.is_empty() {
            // The request is already accounted to another backend server than the answering one.
            return;
        }
        inner.balancer.begin(ticket, after, now);
        inner.route(Vec::new());
    }

    fn remove_waiter(&self, ticket: entity::Ticket) {
        self.lock().waiting.remove(&ticket);
    }

    /// Returns the number of requests that wait for a backend server.
    pub fn waiting(&self) -> usize {
        self.lock().balancer.queue().waiting()
    }

    /// Returns the counts since the start.
    pub fn tally(&self) -> balancer::Tally {
        self.lock().balancer.tally()
    }

    /// Runs the task that rejects requests that have waited too long. Sleeps while no request
    /// waits.
    pub async fn run(&self) {
        loop {
            if self.tick() == 0 {
                self.has_waiting.notified().await;
            }
            tokio::time::sleep(TICK).await;
        }
    }

    fn tick(&self) -> usize {
        let now = self.now();
        let mut inner = self.lock();
        let actions = inner.balancer.tick(now);
        inner.route(actions);
        debug_assert_eq!(inner.balancer.verify(), Ok(()));
        inner.balancer.queue().waiting()
    }

    /// Sets the share of a team.
    pub fn set_share(&self, team: &Arc<str>, share: admission::Share) {
        let mut inner = self.lock();
        let id = inner.teams.intern(team);
        inner.balancer.set_share(id, share);
    }
}

impl<T: Clone> Inner<T> {
    fn report(
        &mut self,
        server: entity::Server,
        load: server::Load,
        now: clock::Instant,
    ) -> Vec<balancer::Action> {
        self.sequence += 1;
        let report = server::Report {
            incarnation: 1,
            sequence: self.sequence,
            running: load.running,
            queued: load.waiting,
            slots: load.slots,
            leaving: false,
            alive: true,
        };
        self.balancer.report(server, report, now)
    }

    fn unsettled(&self) -> Vec<(entity::Server, T)> {
        let servers = self.balancer.unsettled();
        servers.filter_map(|server| Some((server, self.targets.get(&server)?.clone()))).collect()
    }

    fn unreachable_groups(&self) -> Vec<(entity::Group, Vec<T>)> {
        let groups = self.balancer.unreachable_groups().into_iter();
        let targets = |ranks: Vec<entity::Server>| {
            ranks.iter().filter_map(|rank| self.targets.get(rank).cloned()).collect()
        };
        groups.map(|(group, ranks)| (group, targets(ranks))).collect()
    }

    /// Sends each action to its request, and logs the balancer's notes.
    fn route(&mut self, actions: Vec<balancer::Action>) {
        let mut removed = 0;
        for note in self.balancer.take_notes() {
            match note {
                balancer::Note::GroupDown(group, ground) => {
                    log::warn!(
                        "group down group={} ground={ground}",
                        field::Text(self.groups.name(group))
                    );
                    self.outage.notify_one();
                }
                balancer::Note::Bound(group, ground) => log::info!(
                    "group bound group={} bound={:.1} in_flight={} streams={:.2} fitting={:.2} \
                     skew={:.2} allowed={:.2} demand={:.1} part={:.3}",
                    field::Text(self.groups.name(group)),
                    ground.bound,
                    ground.in_flight,
                    ground.streams,
                    ground.fitting,
                    ground.skew,
                    ground.allowed,
                    ground.demand,
                    ground.part
                ),
                balancer::Note::BudgetUsedUp(pool, budget) => log::info!(
                    "retry budget used up service={} available={:.2} reserve={:.2} waiting={} \
                     charged={} refunded={} denied={}",
                    field::Text(self.pools.name(pool)),
                    budget.available,
                    budget.reserve,
                    budget.waiting,
                    budget.counts.charged,
                    budget.counts.refunded,
                    budget.counts.denied
                ),
                balancer::Note::Shortage(group, limit) => log::info!(
                    "shortage limit group={} precedence={} team={} limit={:.1} in_flight={} \
                     capacity={:.1} age_ms={}",
                    field::Text(self.groups.name(group)),
                    limit.precedence,
                    field::Text(limit.team.map_or("any", |team| self.teams.name(team))),
                    limit.limit,
                    limit.in_flight,
                    limit.capacity,
                    limit.age.as_millis()
                ),
                balancer::Note::GroupUp(group, time) => {
                    let name = self.groups.name(group);
                    log::info!(
                        "group up group={name} down_ms={}",
                        time.as_millis(),
                        name = field::Text(name)
                    );
                }
                balancer::Note::Rested(server, time) => {
                    let id = &self.balancer.servers()[server].listing.host;
                    log::info!(
                        "server rested server={id} ms={}",
                        time.as_millis(),
                        id = field::Text(id)
                    );
                }
                balancer::Note::Removed(server) => {
                    self.targets.remove(&server);
                    removed += 1;
                }
                balancer::Note::Unsettled(server) => {
                    let listing = &self.balancer.servers()[server].listing;
                    let born = listing.born.unwrap_or_default();
                    log::info!(
                        "server may leave server={} born={born}",
                        field::Text(&listing.host)
                    );
                    self.unsettled.notify_one();
                }
            }
        }
        self.log_removals(removed);
        for action in actions {
            let (ticket, next) = match action {
                balancer::Action::Send(dispatch) => {
                    let Some(attempt) = self.attempt(&dispatch) else { continue };
                    (dispatch.ticket, Next::Send(attempt))
                }
                balancer::Action::Move(moved) => {
                    let balancer::Dispatch { ticket, at, .. } = moved.dispatch;
                    let Some(next) = self.move_of(&moved) else {
                        self.balancer.cancel_move(ticket, at);
                        continue;
                    };
                    (ticket, Next::Move(next))
                }
                balancer::Action::Refuse(refusal) => (refusal.ticket, Next::Refuse(refusal)),
            };
            // A dropped permit has already reported the end of its request to the balancer.
            if let Some(sender) = self.waiting.get(&ticket) {
                sender.send(next).unwrap_or_default();
            }
        }
    }
}
