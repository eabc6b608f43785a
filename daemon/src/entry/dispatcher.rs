//! Shares the balancer between the requests of an entry host, and delivers its actions to them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use loftcove_bundle::content;
use loftcove_decision::routing::{notice, policy, rate, server};
use loftcove_decision::{admission, balancer, entity, name, poison, retry};
use loftcove_line::field;
use loftcove_platform::hosts;
use loftcove_settings::file;
use loftcove_wire as wire;
use rand_chacha::rand_core::SeedableRng as _;
use tokio::sync::{Notify, mpsc};

use crate::{clock, status};

/// Number of sampled candidates per choice; see `docs/design/routing.md`.
const SAMPLE_SIZE: usize = 2;
/// Maximum difference to the lowest score at which the backend server that has the prompt's prefix
/// in its cache is still selected.
const AFFINITY_SLACK: f64 = 0.5;
/// Interval at which the balancer rejects waiting requests that can no longer meet their deadline.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Address and identity of a backend server.
#[derive(Debug, Clone)]
pub struct Target {
    /// Id of the server's host.
    pub host: Arc<str>,
    /// Availability zone.
    pub zone: Arc<str>,
    /// Address of the server's agent.
    pub address: SocketAddr,
    /// Service or rank group that the server belongs to.
    pub backend: Arc<str>,
    /// Rank in the group; none for a plain service.
    pub rank: Option<u32>,
}

/// The balancer behind a lock, with the requests that it decides on.
pub struct Dispatcher {
    clock: clock::Clock,
    /// Notified when requests wait in the queue.
    queued: Notify,
    inner: Mutex<Inner>,
}

struct Inner {
    balancer: balancer::Balancer<policy::Blend>,
    pools: name::Table<entity::Pool>,
    teams: name::Table<entity::Team>,
    limits: BTreeMap<entity::Team, u32>,
    targets: BTreeMap<entity::Server, Target>,
    /// Incarnation, sequence number and epoch of each backend server's newest report. The first two
    /// order the reports.
    epochs: BTreeMap<entity::Server, (u64, u64, u64)>,
    permits: BTreeMap<entity::Ticket, mpsc::UnboundedSender<balancer::Action>>,
}

/// A request that arrives at the dispatcher.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// Pool of backend servers, named after the model or service.
    pub pool: Arc<str>,
    /// Team that sent the request.
    pub team: Arc<str>,
    /// Precedence of the request's class.
    pub precedence: u32,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Time until the deadline.
    pub budget: Duration,
    /// Hash of the beginning of the prompt.
    pub prefix: u64,
    /// Identity of the request, if it is suspected of having ended a backend server.
    pub suspect: Option<poison::Digest>,
}

impl Dispatcher {
    /// Creates a dispatcher without backend servers.
    pub fn new(settings: &file::Entry, clock: clock::Clock) -> Dispatcher {
        let rng = rand_chacha::ChaCha8Rng::seed_from_u64(rand::random());
        let policy = policy::Blend { rng, sample: SAMPLE_SIZE, affinity_slack: AFFINITY_SLACK };
        let options = balancer::Options::default()
            .capacity(settings.max_waiting)
            .retry_ratio(settings.retry_ratio);
        let balancer = balancer::Balancer::new(policy, &options);
        let inner = Inner {
            balancer,
            pools: name::Table::default(),
            teams: name::Table::default(),
            limits: BTreeMap::new(),
            targets: BTreeMap::new(),
            epochs: BTreeMap::new(),
            permits: BTreeMap::new(),
        };
        Dispatcher { clock, queued: Notify::new(), inner: Mutex::new(inner) }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Applies the bundle in force and the host list. `own` is this entry host.
    pub fn refresh(&self, content: &content::Content, list: &hosts::Snapshot, own: &rate::Peer) {
        let now = self.clock.now();
        let mut inner = self.lock();
        for team in &content.teams {
            let id = inner.teams.intern(&team.name);
            let share = admission::Share { weight: team.weight, limit: team.limit };
            inner.balancer.set_share(id, share);
            inner.limits.insert(id, team.limit);
        }
        let agents = list.hosts.iter().filter(|host| host.role == hosts::Role::Agent);
        let mut listings = Vec::new();
        let mut targets = Vec::new();
        for host in agents {
            let model = content.model_of_group(&host.backend).map(|model| &model.name);
            let service = content.service(&host.backend).map(|service| &service.name);
            let Some(pool) = model.or(service) else { continue };
            listings.push(server::Listing {
                host: host.id.clone(),
                born: None,
                status: None,
                pool: inner.pools.intern(pool),
                group: None,
                zone: host.zone.clone(),
                local: *host.zone == *own.zone,
                leaving: host.leaving || content.leaving.contains(&host.id),
                drained: false,
                cold: None,
            });
            targets.push(Target {
                host: host.id.clone(),
                zone: host.zone.clone(),
                address: host.address,
                backend: host.backend.clone(),
                rank: host.rank,
            });
        }
        let entries = list.hosts.iter().filter(|host| host.role == hosts::Role::Entry);
        let peer =
            |host: &hosts::Host| rate::Peer { name: host.id.clone(), zone: host.zone.clone() };
        let peers = rate::Peers::new(own.clone(), entries.map(peer));
        let mut actions = inner.balancer.set_peers(peers, now);
        actions.extend(inner.balancer.list(listings, now));
        for target in targets {
            if let Some(server) = inner.balancer.servers().find(&target.host) {
                inner.targets.insert(server, target);
            }
        }
        inner.deliver(actions);
    }

    /// Returns the backend servers in the host list.
    pub fn listed(&self) -> Vec<(entity::Server, Target)> {
        let inner = self.lock();
        let listed = inner.balancer.servers().iter().filter(|(_, record)| record.listed);
        listed.filter_map(|(id, _)| Some((id, inner.targets.get(&id)?.clone()))).collect()
    }

    /// Returns the ranks of a group that are in the host list, each with the epoch of its newest
    /// report, or zero if it has not reported.
    pub fn ranks(&self, group: &str) -> Vec<(Target, u64)> {
        let inner = self.lock();
        let member = |id: &entity::Server, target: &Target| {
            let record = &inner.balancer.servers()[*id];
            record.listed && *target.backend == *group && target.rank.is_some()
        };
        let members = inner.targets.iter().filter(|(id, target)| member(id, target));
        let epoch = |id| inner.epochs.get(id).map_or(0, |newest| newest.2);
        members.map(|(id, target)| (target.clone(), epoch(id))).collect()
    }

    /// Applies an agent's report, which arrived on its report stream or with the end of an attempt.
    pub fn report(&self, server: entity::Server, report: &wire::Report) {
        let now = self.clock.now();
        let mut inner = self.lock();
        let epoch = (report.incarnation, report.sequence, report.epoch);
        let newest = inner.epochs.entry(server).or_default();
        *newest = epoch.max(*newest);
        let actions = inner.balancer.report(server, convert_report(report), now);
        inner.deliver(actions);
    }

    /// Applies what an answer announced about its backend server leaving or resting. Returns the
    /// change that it caused.
    pub fn apply_notice(
        &self,
        server: entity::Server,
        notice: &notice::Notice,
    ) -> Option<notice::Change> {
        let now = self.clock.now();
        let mut inner = self.lock();
        let (change, actions) = inner.balancer.apply_notice(server, notice, now);
        inner.deliver(actions);
        change
    }

    /// Applies what an answer reported about its backend server's rate limit. `selected_at` is when
    /// the server was selected for the request. Returns the change that the report caused.
    pub fn apply_limit(
        &self,
        server: entity::Server,
        notice: rate::Notice,
        selected_at: loftcove_decision::clock::Instant,
    ) -> Option<rate::Change> {
        let now = self.clock.now();
        let mut inner = self.lock();
        let (change, actions) = inner.balancer.apply_rate_notice(server, notice, selected_at, now);
        inner.deliver(actions);
        change
    }

    /// Records that an agent's report stream has opened or closed.
    pub fn set_connected(&self, server: entity::Server, connected: bool) {
        let now = self.clock.now();
        let mut inner = self.lock();
        let actions = inner.balancer.set_connected(server, connected, now);
        inner.deliver(actions);
    }

    /// Queues a request. The permit returns the actions that the balancer decides on.
    pub fn arrive(self: &Arc<Dispatcher>, arrival: &Arrival) -> Permit {
        let now = self.clock.now();
        let (sender, receiver) = mpsc::unbounded_channel();
        let mut inner = self.lock();
        let arrival = balancer::Arrival {
            pool: inner.pools.intern(&arrival.pool),
            team: inner.teams.intern(&arrival.team),
            precedence: arrival.precedence,
            repeatable: arrival.repeatable,
            resumable: false,
            max_attempts: retry::MAX_ATTEMPTS,
            deadline: now + arrival.budget,
            expires: now + arrival.budget,
            begin_by: None,
            prefix: arrival.prefix,
            suspect: arrival.suspect,
        };
        let (ticket, actions) = inner.balancer.arrive(arrival, now);
        inner.permits.insert(ticket, sender);
        inner.deliver(actions);
        let waiting = inner.balancer.queue().waiting() > 0;
        drop(inner);
        if waiting {
            self.queued.notify_one();
        }
        Permit { dispatcher: self.clone(), ticket, receiver, open: true }
    }

    /// Returns a backend server's target, and the incarnation of its agent.
    pub fn target(&self, server: entity::Server) -> Option<(Target, u64)> {
        let inner = self.lock();
        let target = inner.targets.get(&server)?.clone();
        let incarnation = inner.balancer.servers()[server].report.incarnation;
        Some((target, incarnation))
    }

    /// Returns the listed backend servers for the status.
    pub fn servers(&self) -> Vec<status::Server> {
        let now = self.clock.now();
        let inner = self.lock();
        let listed = inner.balancer.servers().iter().filter(|(_, record)| record.listed);
        listed
            .map(|(_, record)| status::Server {
                host: record.listing.host.to_string(),
                state: state_name(record, now),
                in_flight: record.in_flight,
                window: record.window.size(),
            })
            .collect()
    }

    /// Returns the teams with requests for the status.
    pub fn teams(&self) -> Vec<status::Team> {
        let inner = self.lock();
        let held = |team: &entity::Team| inner.balancer.queue().team_requests(*team);
        let busy = inner.limits.iter().filter(|(team, _)| held(team) > 0);
        busy.map(|(team, limit)| status::Team {
            name: inner.teams.name(*team).to_string(),
            held: held(team),
            limit: *limit,
        })
        .collect()
    }

    /// Advances the balancer's time. Returns the number of waiting requests.
    fn tick(&self) -> usize {
        let now = self.clock.now();
        let mut inner = self.lock();
        let actions = inner.balancer.tick(now);
        inner.deliver(actions);
        debug_assert_eq!(inner.balancer.verify(), Ok(()));
        inner.balancer.queue().waiting()
    }
}

/// Converts a report from the wire for the balancer.
fn convert_report(report: &wire::Report) -> server::Report {
    server::Report {
        incarnation: report.incarnation,
        sequence: report.sequence,
        running: report.running,
        queued: report.queued,
        slots: report.slots,
        leaving: report.leaving,
        alive: report.alive,
    }
}

/// Returns the name of a backend server's state in the status.
fn state_name(record: &server::Record, now: loftcove_decision::clock::Instant) -> &'static str {
    match () {
        _ if record.leaving() => "leaving",
        _ if !record.usable() => "down",
        _ if record.health.ejected(now) => "ejected",
        _ if record.standing.rests(now) => "resting",
        _ => "usable",
    }
}

impl Inner {
    /// Sends each action to the permit of its request, and logs the balancer's notes.
    fn deliver(&mut self, actions: Vec<balancer::Action>) {
        for note in self.balancer.take_notes() {
            if let balancer::Note::Rested(server, time) = note {
                let host = &self.balancer.servers()[server].listing.host;
                log::info!(
                    "server rested server={host} ms={}",
                    time.as_millis(),
                    host = field::Text(host)
                );
            }
        }
        for action in actions {
            let ticket = match &action {
                balancer::Action::Send(dispatch) => dispatch.ticket,
                balancer::Action::Move(moved) => moved.dispatch.ticket,
                balancer::Action::Refuse(refusal) => refusal.ticket,
            };
            // If the permit was dropped, it has already reported that to the balancer.
            if let Some(permit) = self.permits.get(&ticket) {
                permit.send(action).unwrap_or_default();
            }
        }
    }
}

/// Registration of a request at the dispatcher. Dropping it reports that the client disconnected,
/// unless the request has ended.
pub struct Permit {
    dispatcher: Arc<Dispatcher>,
    ticket: entity::Ticket,
    receiver: mpsc::UnboundedReceiver<balancer::Action>,
    open: bool,
}

impl Permit {
    /// Waits for the balancer's next action for the request.
    pub async fn next(&mut self) -> Option<balancer::Action> {
        self.receiver.recv().await
    }

    /// Returns whether an attempt that has ended may have run.
    pub fn may_have_run(&self) -> bool {
        self.dispatcher.lock().balancer.may_have_run(self.ticket)
    }

    /// Records that the attempt's answer began after the given time.
    pub fn begin(&self, after: Duration) {
        let now = self.dispatcher.clock.now();
        self.dispatcher.lock().balancer.begin(self.ticket, after, now);
    }

    /// Records how the attempt ended. Unless the end is final, [`Permit::next`] returns what
    /// follows.
    pub fn end(&mut self, end: balancer::End) {
        if end.is_final() {
            self.open = false;
        }
        let now = self.dispatcher.clock.now();
        let mut inner = self.dispatcher.lock();
        let actions = inner.balancer.end(self.ticket, end, now);
        inner.deliver(actions);
        if inner.balancer.queue().waiting() > 0 {
            self.dispatcher.queued.notify_one();
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if self.open {
            self.end(balancer::End::Abandoned);
        }
        self.dispatcher.lock().permits.remove(&self.ticket);
    }
}

/// Ticks the balancer until the process exits. Sleeps while no request waits.
pub async fn tick(dispatcher: Arc<Dispatcher>) {
    loop {
        if dispatcher.tick() == 0 {
            dispatcher.queued.notified().await;
        }
        tokio::time::sleep(TICK_INTERVAL).await;
    }
}
