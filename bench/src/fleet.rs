//! Entry hosts' real decision machines before fake backend servers.
//!
//! A small queue of events in one thread: requests arrive by lot, the
//! machines decide, servers with slots take time. It is a fake at the
//! interface of the decisions and knows nothing of processes or networks but
//! a fixed delay.

mod plan;
pub mod shed;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::time::Duration;

use hdrhistogram::Histogram;
use loftcove_decision::routing::{policy, server};
use loftcove_decision::{balancer, clock, entity, retry};
use rand::Rng as _;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng as _;
use rand_distr::Distribution as _;

pub use plan::Plan;

/// One-way delay between an entry host and an agent.
const DELAY: Duration = Duration::from_micros(500);

/// What came of a run.
#[derive(Debug, Clone)]
pub struct Result {
    /// Requests that arrived.
    pub offered: u64,
    /// Attempts that were sent.
    pub sent: u64,
    /// Attempts that an agent refused for want of a slot.
    pub full: u64,
    /// Attempts that a server refused, asking for rest.
    pub shed: u64,
    /// What servers asked for, and what came all the same.
    pub log: shed::Log,
    /// Requests answered in time.
    pub good: u64,
    /// Requests that arrived and were answered in time, of team 0 and of all others.
    pub by_team: [(u64, u64); 2],
    /// Requests given up.
    pub refused: u64,
    /// Time from arrival to the start in a slot, microseconds, urgent and others.
    pub wait: [Histogram<u64>; 2],
    /// Largest number of requests at one server relative to the mean, averaged over samples.
    pub spread: f64,
    /// Starts that found their prefix in the cache.
    pub hits: u64,
    /// Starts.
    pub starts: u64,
}

impl Result {
    /// A quantile of the waits, milliseconds.
    pub fn wait_ms(&self, class: usize, quantile: f64) -> f64 {
        self.wait[class].value_at_quantile(quantile) as f64 / 1_000.0
    }

    /// Requests answered in time, a second.
    pub fn goodput(&self, plan: &Plan) -> f64 {
        self.good as f64 / plan.length.as_secs_f64()
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    /// An attempt reaches its server.
    Reach(usize, Attempt),
    /// An attempt leaves its slot.
    Finish(usize, Attempt),
    /// The news reaches the entry host.
    End(usize, Attempt, Ended, Load),
    /// Servers write their reports, which arrive one lag later.
    Sample,
    /// The reports of a sample arrive.
    Deliver,
    Tick,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Attempt {
    entry: usize,
    ticket: u32,
    number: u32,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Ended {
    Answered,
    Full,
    Shed,
    Broken,
}

/// Load of a server as its answer bears it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Load {
    sequence: u64,
    running: u32,
}

struct Request {
    arrived: clock::Instant,
    deadline: clock::Instant,
    team: u32,
    urgent: bool,
    prefix: u64,
}

#[derive(Default)]
struct Server {
    running: u32,
    cache: VecDeque<u64>,
    sequence: u64,
}

/// A run under way.
struct Fleet<'a, P> {
    plan: &'a Plan,
    now: clock::Instant,
    events: BinaryHeap<Reverse<(clock::Instant, u64, Event)>>,
    order: u64,
    rng: ChaCha8Rng,
    entries: Vec<balancer::Balancer<P>>,
    servers: Vec<Server>,
    requests: BTreeMap<(usize, u32), Request>,
    samples: VecDeque<Vec<server::Report>>,
    spreads: Vec<f64>,
    result: Result,
}

/// Teams.
const TEAMS: usize = 10;
/// Time between two ticks of an entry host's machine.
const TICK: Duration = Duration::from_millis(20);

/// Runs a plan; `policy` makes the policy of each entry host.
pub fn run<P: policy::Policy>(plan: &Plan, policy: impl Fn(ChaCha8Rng) -> P) -> Result {
    let histogram = || Histogram::new(3).expect("three digits are allowed");
    let result = Result {
        offered: 0,
        sent: 0,
        full: 0,
        shed: 0,
        log: shed::Log::default(),
        good: 0,
        by_team: [(0, 0); 2],
        refused: 0,
        wait: [histogram(), histogram()],
        spread: 0.0,
        hits: 0,
        starts: 0,
    };
    let entry = |index: usize| {
        let rng = ChaCha8Rng::seed_from_u64(1_000 + index as u64);
        let options =
            balancer::Options::default().capacity(plan.capacity).retry_ratio(plan.retry_ratio);
        balancer::Balancer::new(policy(rng), &options)
    };
    let mut fleet = Fleet {
        plan,
        now: clock::Instant::ZERO,
        events: BinaryHeap::new(),
        order: 0,
        rng: ChaCha8Rng::seed_from_u64(42),
        entries: (0..plan.entries).map(entry).collect(),
        servers: (0..plan.servers).map(|_| Server::default()).collect(),
        requests: BTreeMap::new(),
        samples: VecDeque::new(),
        spreads: Vec::new(),
        result,
    };
    fleet.start();
    fleet.drain();
    fleet.finish()
}

impl<P: policy::Policy> Fleet<'_, P> {
    fn start(&mut self) {
        let listing = |server: usize| server::Listing {
            host: format!("server{server:04}").into(),
            born: None,
            status: None,
            pool: pool(),
            group: None,
            zone: "norte".into(),
            local: true,
            leaving: false,
            drained: false,
            cold: None,
        };
        let listings: Vec<server::Listing> = (0..self.plan.servers).map(listing).collect();
        let now = self.now;
        for entry in &mut self.entries {
            entry.list(listings.clone(), now);
            for server in 0..self.plan.servers {
                entry.set_connected(entity::Server::from_u32(server as u32), true, now);
            }
        }
        let first = self.sample();
        self.deliver(&first);
        self.at(Duration::ZERO, Event::Sample);
        self.at(Duration::ZERO, Event::Arrive);
        self.at(TICK, Event::Tick);
    }

    fn at(&mut self, after: Duration, event: Event) {
        self.order += 1;
        self.events.push(Reverse((self.now + after, self.order, event)));
    }

    fn open(&self) -> bool {
        self.now < clock::Instant::ZERO + self.plan.length
    }

    fn drain(&mut self) {
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            self.now = now;
            match event {
                Event::Arrive => self.arrive(),
                Event::Reach(server, attempt) => self.reach(server, attempt),
                Event::Finish(server, attempt) => {
                    self.servers[server].running -= 1;
                    self.reply(server, attempt, Ended::Answered);
                }
                Event::End(server, attempt, ended, load) => {
                    if self.plan.piggyback {
                        self.learn(server, attempt.entry, load);
                    }
                    if ended == Ended::Shed {
                        self.notice(server, attempt.entry);
                    }
                    self.end(attempt, ended);
                }
                Event::Sample => {
                    let reports = self.sample();
                    self.samples.push_back(reports);
                    self.at(self.plan.lag, Event::Deliver);
                    if self.open() {
                        self.at(self.plan.lag, Event::Sample);
                    }
                }
                Event::Deliver => {
                    if let Some(reports) = self.samples.pop_front() {
                        self.deliver(&reports);
                    }
                }
                Event::Tick => {
                    for entry in 0..self.entries.len() {
                        let actions = self.entries[entry].tick(self.now);
                        self.act(entry, actions);
                    }
                    if self.open() || !self.requests.is_empty() {
                        self.at(TICK, Event::Tick);
                    }
                }
            }
        }
    }

    fn arrive(&mut self) {
        if !self.open() {
            return;
        }
        let gap = rand_distr::Exp::new(self.plan.rate).expect("the rate is positive");
        let gap: f64 = gap.sample(&mut self.rng);
        self.at(Duration::from_secs_f64(gap), Event::Arrive);
        let entry = self.rng.random_range(0..self.entries.len());
        let greed = self.plan.greed;
        let lot = self.rng.random_range(0.0..greed + (TEAMS - 1) as f64);
        let team = if lot < greed { 0 } else { 1 + (lot - greed) as u32 };
        let urgent = self.rng.random_bool(self.plan.urgent);
        let prefix = 1 + self.rng.random_range(0..self.plan.prefixes);
        let deadline = self.now + self.plan.patience;
        let arrival = balancer::Arrival {
            pool: pool(),
            team: entity::Team::from_u32(team),
            precedence: u32::from(!urgent),
            repeatable: true,
            resumable: false,
            max_attempts: retry::MAX_ATTEMPTS,
            deadline,
            expires: deadline,
            begin_by: None,
            prefix,
            suspect: None,
        };
        self.result.offered += 1;
        self.result.by_team[usize::from(team > 0)].0 += 1;
        let (ticket, actions) = self.entries[entry].arrive(arrival, self.now);
        let request = Request { arrived: self.now, deadline, team, urgent, prefix };
        self.requests.insert((entry, ticket.as_u32()), request);
        self.act(entry, actions);
    }

    fn act(&mut self, entry: usize, actions: Vec<balancer::Action>) {
        for action in actions {
            match action {
                balancer::Action::Send(dispatch) => {
                    let ticket = dispatch.ticket.as_u32();
                    let attempt = Attempt { entry, ticket, number: dispatch.attempt };
                    let server = dispatch.choice.server.as_u32() as usize;
                    self.result.sent += 1;
                    self.at(DELAY, Event::Reach(server, attempt));
                }
                balancer::Action::Refuse(refusal) => {
                    self.result.refused += 1;
                    self.requests.remove(&(entry, refusal.ticket.as_u32()));
                }
            }
        }
    }

    fn reach(&mut self, server: usize, attempt: Attempt) {
        if server < self.plan.failing {
            self.reply(server, attempt, Ended::Broken);
            return;
        }
        if self.sheds(server, attempt.entry) {
            self.result.shed += 1;
            self.reply(server, attempt, Ended::Shed);
            return;
        }
        if self.servers[server].running >= self.plan.slots {
            self.result.full += 1;
            self.reply(server, attempt, Ended::Full);
            return;
        }
        let Some(request) = self.requests.get(&(attempt.entry, attempt.ticket)) else { return };
        let wait = self.now.since(request.arrived).as_micros() as u64;
        let prefix = request.prefix;
        self.result.wait[usize::from(!request.urgent)].record(wait).unwrap_or_default();
        self.servers[server].running += 1;
        let hit = self.servers[server].lookup(prefix, self.plan.cache);
        self.result.starts += 1;
        self.result.hits += u64::from(hit);
        let mean = self.plan.service.as_secs_f64();
        // Half of the time is the prompt, which a cached prefix spares.
        let prompt = if hit { 0.1 } else { 0.5 };
        let answer: f64 =
            rand_distr::Exp::new(2.0).expect("the rate is positive").sample(&mut self.rng);
        let slow = if server < self.plan.slow { 10.0 } else { 1.0 };
        let after = Duration::from_secs_f64(mean * (prompt + answer) * slow);
        self.at(after, Event::Finish(server, attempt));
        let first = Duration::from_secs_f64(mean * prompt * slow);
        let ticket = entity::Ticket::from_u32(attempt.ticket);
        self.entries[attempt.entry].begin(ticket, first, self.now);
    }

    fn reply(&mut self, server: usize, attempt: Attempt, ended: Ended) {
        self.servers[server].sequence += 1;
        let Server { sequence, running, .. } = self.servers[server];
        self.at(DELAY, Event::End(server, attempt, ended, Load { sequence, running }));
    }

    /// Whether a server sheds a request of an entry host.
    fn sheds(&mut self, server: usize, entry: usize) -> bool {
        let Some(plan) = &self.plan.shed else { return false };
        let lot = self.rng.random_range(0.0..1.0);
        self.result.log.take(plan, (server, entry), lot, self.now)
    }

    fn notice(&mut self, server: usize, entry: usize) {
        let Some(plan) = &self.plan.shed else { return };
        let server = entity::Server::from_u32(server as u32);
        let (_, actions) = self.entries[entry].apply_notice(server, &plan.notice(), self.now);
        self.act(entry, actions);
    }

    fn learn(&mut self, server: usize, entry: usize, load: Load) {
        let report = report(load.sequence, load.running, self.plan.slots);
        let server = entity::Server::from_u32(server as u32);
        let actions = self.entries[entry].report(server, report, self.now);
        self.act(entry, actions);
    }

    fn end(&mut self, attempt: Attempt, ended: Ended) {
        let key = (attempt.entry, attempt.ticket);
        let end = match ended {
            Ended::Answered => {
                if let Some(request) = self.requests.remove(&key) {
                    let good = u64::from(self.now <= request.deadline);
                    self.result.good += good;
                    self.result.by_team[usize::from(request.team > 0)].1 += good;
                }
                balancer::End::Answered
            }
            Ended::Full | Ended::Shed => balancer::End::Full,
            Ended::Broken => balancer::End::MayHaveRun { answer_begun: false },
        };
        let ticket = entity::Ticket::from_u32(attempt.ticket);
        let actions = self.entries[attempt.entry].end(ticket, end, self.now);
        self.act(attempt.entry, actions);
    }

    fn sample(&mut self) -> Vec<server::Report> {
        let most = self.servers.iter().map(|server| server.running).max().unwrap_or(0);
        let sum: u32 = self.servers.iter().map(|server| server.running).sum();
        if sum > 0 {
            self.spreads.push(f64::from(most) * self.servers.len() as f64 / f64::from(sum));
        }
        let slots = self.plan.slots;
        let write = |server: &mut Server| {
            server.sequence += 1;
            report(server.sequence, server.running, slots)
        };
        self.servers.iter_mut().map(write).collect()
    }

    fn deliver(&mut self, reports: &[server::Report]) {
        for entry in 0..self.entries.len() {
            for (server, report) in reports.iter().enumerate() {
                let server = entity::Server::from_u32(server as u32);
                let actions = self.entries[entry].report(server, *report, self.now);
                self.act(entry, actions);
            }
        }
    }

    fn finish(mut self) -> Result {
        self.result.spread = self.spreads.iter().sum::<f64>() / self.spreads.len().max(1) as f64;
        self.result
    }
}

fn report(sequence: u64, running: u32, slots: u32) -> server::Report {
    server::Report {
        incarnation: 1,
        sequence,
        running,
        queued: 0,
        slots,
        leaving: false,
        alive: true,
    }
}

/// The one pool.
fn pool() -> entity::Pool {
    entity::Pool::from_u32(0)
}

impl Server {
    /// Whether the cache has the prefix; it has it afterwards.
    fn lookup(&mut self, prefix: u64, capacity: usize) -> bool {
        let found = self.cache.iter().position(|cached| *cached == prefix);
        if let Some(index) = found {
            self.cache.remove(index);
        }
        self.cache.push_back(prefix);
        if self.cache.len() > capacity {
            self.cache.pop_front();
        }
        found.is_some()
    }
}
