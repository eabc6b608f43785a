//! The entry host's decisions behind one lock, and the requests that wait for them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use loftcove_bundle::content;
use loftcove_decision::routing::{notice, policy, rate, server};
use loftcove_decision::{admission, balancer, entity, name, poison, retry};
use loftcove_platform::hosts;
use loftcove_settings::file;
use loftcove_wire as wire;
use rand_chacha::rand_core::SeedableRng as _;
use tokio::sync::{Notify, mpsc};

use crate::{clock, status};

/// Candidates looked at by one choice; see `docs/design/routing.md`.
const SAMPLE: usize = 2;
/// How much more load the prefix cache's backend server may have.
const AFFINITY_SLACK: f64 = 0.5;
/// Time between two looks for requests that are late.
const TICK: Duration = Duration::from_millis(20);

/// A backend server as the entry host reaches it.
#[derive(Debug, Clone)]
pub struct Target {
    /// Id of its host.
    pub host: Arc<str>,
    /// Availability zone.
    pub zone: Arc<str>,
    /// Address of its agent.
    pub address: SocketAddr,
    /// Service or rank group.
    pub backend: Arc<str>,
    /// Rank in the group.
    pub rank: Option<u32>,
}

/// The dispatcher.
pub struct Dispatcher {
    clock: clock::Clock,
    /// Told when a request begins to wait.
    waited: Notify,
    inner: Mutex<Inner>,
}

struct Inner {
    balancer: balancer::Balancer<policy::Blend>,
    pools: name::Table<entity::Pool>,
    teams: name::Table<entity::Team>,
    limits: BTreeMap<entity::Team, u32>,
    targets: BTreeMap<entity::Server, Target>,
    /// Epoch of the newest report of each, with the report's order.
    epochs: BTreeMap<entity::Server, (u64, u64, u64)>,
    permits: BTreeMap<entity::Ticket, mpsc::UnboundedSender<balancer::Action>>,
}

/// What arrives at the dispatcher.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// Model or service.
    pub pool: Arc<str>,
    /// Team.
    pub team: Arc<str>,
    /// Precedence of the class.
    pub precedence: u32,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// Time that is left.
    pub budget: Duration,
    /// Hash of the prompt's beginning.
    pub prefix: u64,
    /// What it is, if it may have ended a backend server.
    pub suspect: Option<poison::Digest>,
}

impl Dispatcher {
    /// A dispatcher without backend servers.
    pub fn new(settings: &file::Entry, clock: clock::Clock) -> Dispatcher {
        let rng = rand_chacha::ChaCha8Rng::seed_from_u64(rand::random());
        let policy = policy::Blend { rng, sample: SAMPLE, affinity_slack: AFFINITY_SLACK };
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
        Dispatcher { clock, waited: Notify::new(), inner: Mutex::new(inner) }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Takes the bundle in force and the host list.
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
        inner.route(actions);
    }

    /// Backend servers that the host list has.
    pub fn listed(&self) -> Vec<(entity::Server, Target)> {
        let inner = self.lock();
        let listed = inner.balancer.servers().iter().filter(|(_, record)| record.listed);
        listed.filter_map(|(id, _)| Some((id, inner.targets.get(&id)?.clone()))).collect()
    }

    /// The ranks of a group that report, with their servers and last reported epochs.
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

    /// An agent reported, on its own or with the end of an attempt.
    pub fn report(&self, server: entity::Server, report: &wire::Report) {
        let now = self.clock.now();
        let mut inner = self.lock();
        let epoch = (report.incarnation, report.sequence, report.epoch);
        let newest = inner.epochs.entry(server).or_default();
        *newest = epoch.max(*newest);
        let actions = inner.balancer.report(server, read(report), now);
        inner.route(actions);
    }

    /// An answer said something of its backend server's near future. Returns
    /// what has changed by it.
    pub fn notice(
        &self,
        server: entity::Server,
        notice: &notice::Notice,
    ) -> Option<notice::Change> {
        let now = self.clock.now();
        let mut inner = self.lock();
        let (change, actions) = inner.balancer.apply_notice(server, notice, now);
        inner.route(actions);
        change
    }

    /// The answer to a request that was chosen for a backend server at `chosen` said
    /// something of the server's rate limit. Returns what has changed by it.
    pub fn limit(
        &self,
        server: entity::Server,
        notice: rate::Notice,
        chosen: loftcove_decision::clock::Instant,
    ) -> Option<rate::Change> {
        let now = self.clock.now();
        let mut inner = self.lock();
        let (change, actions) = inner.balancer.apply_rate_notice(server, notice, chosen, now);
        inner.route(actions);
        change
    }

    /// An agent's report stream opened or closed.
    pub fn connect(&self, server: entity::Server, up: bool) {
        let now = self.clock.now();
        let mut inner = self.lock();
        let actions = inner.balancer.set_connected(server, up, now);
        inner.route(actions);
    }

    /// A request arrives; the permit tells what to do with it.
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
        inner.route(actions);
        let waiting = inner.balancer.queue().waiting() > 0;
        drop(inner);
        if waiting {
            self.waited.notify_one();
        }
        Permit { dispatcher: self.clone(), ticket, receiver, open: true }
    }

    /// Where a backend server is reached, and the run of its agent.
    pub fn target(&self, server: entity::Server) -> Option<(Target, u64)> {
        let inner = self.lock();
        let target = inner.targets.get(&server)?.clone();
        let incarnation = inner.balancer.servers()[server].report.incarnation;
        Some((target, incarnation))
    }

    /// Backend servers as the status shows them.
    pub fn servers(&self) -> Vec<status::Server> {
        let now = self.clock.now();
        let inner = self.lock();
        let listed = inner.balancer.servers().iter().filter(|(_, record)| record.listed);
        listed
            .map(|(_, record)| status::Server {
                host: record.listing.host.to_string(),
                state: state(record, now),
                in_flight: record.in_flight,
                window: record.window.size(),
            })
            .collect()
    }

    /// Teams as the status shows them.
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

    /// Moves the machine on; returns how many wait.
    fn tick(&self) -> usize {
        let now = self.clock.now();
        let mut inner = self.lock();
        let actions = inner.balancer.tick(now);
        inner.route(actions);
        debug_assert_eq!(inner.balancer.verify(), Ok(()));
        inner.balancer.queue().waiting()
    }
}

/// The wire's report as the decisions take it.
fn read(report: &wire::Report) -> server::Report {
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

fn state(record: &server::Record, now: loftcove_decision::clock::Instant) -> &'static str {
    match () {
        _ if record.leaving() => "leaving",
        _ if !record.usable() => "down",
        _ if record.health.ejected(now) => "ejected",
        _ if record.standing.rests(now) => "resting",
        _ => "usable",
    }
}

impl Inner {
    /// Hands each action to the request that it is about.
    fn route(&mut self, actions: Vec<balancer::Action>) {
        for note in self.balancer.take_notes() {
            if let balancer::Note::Rested(server, time) = note {
                let host = &self.balancer.servers()[server].listing.host;
                log::info!("server rested server={host} ms={}", time.as_millis());
            }
        }
        for action in actions {
            let ticket = match &action {
                balancer::Action::Send(dispatch) => dispatch.ticket,
                balancer::Action::Refuse(refusal) => refusal.ticket,
            };
            // A permit that was given up has left word with the balancer itself.
            if let Some(permit) = self.permits.get(&ticket) {
                permit.send(action).unwrap_or_default();
            }
        }
    }
}

/// A request's place at the dispatcher; dropping it means that the caller left.
pub struct Permit {
    dispatcher: Arc<Dispatcher>,
    ticket: entity::Ticket,
    receiver: mpsc::UnboundedReceiver<balancer::Action>,
    open: bool,
}

impl Permit {
    /// What to do next with the request.
    pub async fn next(&mut self) -> Option<balancer::Action> {
        self.receiver.recv().await
    }

    /// The first part of the attempt's answer came after that time.
    pub fn begin(&self, after: Duration) {
        let now = self.dispatcher.clock.now();
        self.dispatcher.lock().balancer.begin(self.ticket, after, now);
    }

    /// The attempt ended; unless it was answered, [`Permit::next`] tells what follows.
    pub fn end(&mut self, end: balancer::End) {
        if matches!(end, balancer::End::Answered | balancer::End::Abandoned) {
            self.open = false;
        }
        let now = self.dispatcher.clock.now();
        let mut inner = self.dispatcher.lock();
        let actions = inner.balancer.end(self.ticket, end, now);
        inner.route(actions);
        if inner.balancer.queue().waiting() > 0 {
            self.dispatcher.waited.notify_one();
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

/// Answers requests that are late, until the process ends; sleeps while nobody waits.
pub async fn tick(dispatcher: Arc<Dispatcher>) {
    loop {
        if dispatcher.tick() == 0 {
            dispatcher.waited.notified().await;
        }
        tokio::time::sleep(TICK).await;
    }
}
