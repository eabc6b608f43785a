//! Compares ways to identify the requests that end their servers without rejecting the requests
//! that ran beside them.
//!
//! A *guilty* request ends each server that runs it; all others are *proper*. A request is a
//! *suspect* if a server ended while it ran there. Measured are the servers that ended and the
//! proper requests that were rejected and delayed, by the numbers of guilty requests, proper
//! requests and gateways.
//!
//! Servers, clients and propagation delay are simulated, so the results are the same in every run.
//! All gateways share one ledger, which receives an end or a survival after the propagation delay.
//! Not simulated are gateways that receive an update at different times, and lost updates.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};

use loftcove_decision::poison::{Digest, Item, Ledger, Mark, Standing};
use loftcove_decision::{clock, fleet};
use rand::Rng as _;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng as _;
use xxhash_rust::xxh3;

/// Time from the start of a guilty request to the end of its server.
const RUN_MS: u64 = 110;
/// Time from the end of a server to its restart.
const RESTART_MS: u64 = 1_000;
/// Time that a proper request runs.
const SERVICE_MS: std::ops::Range<u64> = 300..500;
/// Time after which a client retries a request that was cut, since its server ended.
const RETRY_MS: u64 = 500;
/// Time during which clients send requests.
const DURATION_MS: u64 = 20_000;
/// Number of simulated runs of each plan, each with its own seed.
pub const SEEDS: u64 = 20;
/// Probability that an unknown request is guilty, and that a server ends without a guilty request.
const PRIOR: (f64, f64) = (1e-3, 1e-4);
/// Probability above which a request is rejected.
const REJECT_PROBABILITY: f64 = 0.95;

/// Number of ends at which a request is rejected without proof: three, and one more in the three
/// tries that may follow.
const MAX_ENDS: u32 = 4;

/// How servers are selected for requests, and which requests are rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Way {
    /// At random. Rejects by the count of ends.
    Counting,
    /// Suspects of one end are sent to different servers, by a hash. Rejects by the count.
    Apart,
    /// A suspect runs beside no other suspect: each gateway has servers of its own for them, and
    /// sends each of these one suspect at a time. Rejects by the count.
    Alone,
    /// At random. Rejects by the probability that follows from all ends and survivals.
    Odds,
    /// As [`Way::Alone`], but rejects by that probability.
    AloneOdds,
    /// As [`Way::Alone`], and the gateway sends nothing else to that server meanwhile. Rejects a
    /// request that ends a server as its only suspect, which is no evidence against the others
    /// there, or that was on [`MAX_ENDS`] ended servers.
    Proof,
}

/// Compared ways.
pub const WAYS: [Way; 6] =
    [Way::Counting, Way::Apart, Way::Alone, Way::Odds, Way::AloneOdds, Way::Proof];

/// Parameters of a run.
#[derive(Debug, Clone, Copy)]
pub struct Plan {
    /// How servers are selected, and which requests are rejected.
    pub way: Way,
    /// Number of guilty requests in flight.
    pub guilty: usize,
    /// Number of proper requests in flight.
    pub proper: usize,
    /// Number of gateways.
    pub gateways: usize,
    /// Number of servers.
    pub servers: usize,
    /// Propagation delay: time until all gateways have received an end.
    pub news_ms: u64,
    /// Seed of the random numbers.
    pub seed: u64,
}

/// Result of a run.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Outcome {
    /// Number of servers that ended.
    pub ended: u64,
    /// Number of proper requests that were rejected.
    pub refused: u64,
    /// Number of proper requests that were cut.
    pub cut: u64,
    /// Largest number of tries that a cut proper request needed, beyond its first one.
    pub tries: u64,
    /// Longest time from the first cut of a proper request until it was served.
    pub delay_ms: u64,
    /// Time at which the last guilty request was rejected, or `None` if one never was.
    pub known_ms: Option<u64>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A request arrives at a gateway.
    Arrive(u32, usize),
    /// A request finishes on a run of a server.
    Finish(u32, usize, u64),
    /// A guilty request ends the run of its server.
    End(usize, u64),
    /// A server restarts.
    Restart(usize),
    /// All gateways have received that a request was on a run that ended, or that it survived.
    Receive(u32, u64, bool),
}

#[derive(Debug, Clone, Default)]
struct Server {
    run: u64,
    ended: bool,
    requests: BTreeSet<u32>,
    /// Gateways of the requests that were suspects when they were sent.
    suspects: BTreeMap<u32, usize>,
}

/// State of a request, over all its tries.
#[derive(Debug, Clone, Copy)]
struct Request {
    guilty: bool,
    cut_at: Option<u64>,
    tries: u64,
    refused: bool,
    /// Number of ends since its last survival that no proven request explains.
    ends: u32,
    proven: bool,
}

/// State of a run.
struct Simulation {
    plan: Plan,
    rng: ChaCha8Rng,
    ledger: Ledger,
    probabilities: Probabilities,
    servers: Vec<Server>,
    requests: Vec<Request>,
    /// Suspects that are deferred at each gateway.
    waiting: Vec<VecDeque<u32>>,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sequence: u64,
    runs: u64,
    outcome: Outcome,
}

/// Simulates one run.
pub fn run(plan: &Plan) -> Outcome {
    let mut simulation = Simulation::new(*plan);
    while let Some(Reverse((now, _, event))) = simulation.events.pop() {
        simulation.handle(now, event);
    }
    if simulation.requests.iter().any(|request| request.guilty && !request.refused) {
        simulation.outcome.known_ms = None;
    }
    simulation.outcome
}

fn digest(request: u32) -> Digest {
    Digest::of(&[&request.to_le_bytes()])
}

fn moment(ms: u64) -> clock::Instant {
    clock::Instant::from_millis(ms)
}

impl Simulation {
    fn new(plan: Plan) -> Simulation {
        let servers = 0..plan.servers as u64;
        let mut simulation = Simulation {
            plan,
            rng: ChaCha8Rng::seed_from_u64(plan.seed),
            ledger: Ledger::default(),
            probabilities: Probabilities::default(),
            servers: servers.map(|run| Server { run, ..Server::default() }).collect(),
            requests: Vec::new(),
            waiting: vec![VecDeque::new(); plan.gateways],
            events: BinaryHeap::new(),
            sequence: 0,
            runs: plan.servers as u64,
            outcome: Outcome::default(),
        };
        for number in 0..plan.guilty + plan.proper {
            let begin = simulation.rng.random_range(0..RETRY_MS);
            simulation.add_request(number < plan.guilty, begin);
        }
        simulation
    }

    /// Adds a client that sends a new request at that time.
    fn add_request(&mut self, guilty: bool, at: u64) {
        let request = self.requests.len() as u32;
        self.requests.push(Request {
            guilty,
            cut_at: None,
            tries: 0,
            refused: false,
            ends: 0,
            proven: false,
        });
        self.schedule_try(request, at);
    }

    /// Schedules a try of a request, unless the time for requests is over by then.
    fn schedule_try(&mut self, request: u32, at: u64) {
        let gateway = self.rng.random_range(0..self.plan.gateways);
        if at < DURATION_MS {
            self.schedule(at, Event::Arrive(request, gateway));
        }
    }

    fn schedule(&mut self, time: u64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((time, self.sequence, event)));
    }

    fn handle(&mut self, now: u64, event: Event) {
        match event {
            Event::Arrive(request, gateway) => self.arrive(request, gateway, now),
            Event::Finish(request, server, run) => self.finish(request, server, run, now),
            Event::End(server, run) => self.end(server, run, now),
            Event::Restart(server) => {
                self.runs += 1;
                self.servers[server] = Server { run: self.runs, ..Server::default() };
            }
            Event::Receive(request, run, survived) => {
                self.record_outcome(request, run, survived, now)
            }
        }
        for gateway in 0..self.waiting.len() {
            self.send_waiting(gateway, now);
        }
    }

    fn arrive(&mut self, request: u32, gateway: usize, now: u64) {
        if self.rejects(request) {
            return self.reject(request, now);
        }
        let alone = matches!(self.plan.way, Way::Alone | Way::AloneOdds | Way::Proof);
        if alone && self.suspected_ends(request) > 0 {
            self.waiting[gateway].push_back(request);
            return;
        }
        match self.select(request, gateway) {
            Some(server) => self.send(request, server, gateway, now),
            None => self.schedule_try(request, now + RETRY_MS),
        }
    }

    /// Returns the number of ends for which a request is a suspect.
    fn suspected_ends(&self, request: u32) -> u32 {
        if self.plan.way == Way::Proof {
            return self.requests[request as usize].ends;
        }
        match self.ledger.standing(digest(request)) {
            Standing::Sound => 0,
            Standing::Suspect(ends) | Standing::Refused(ends) => ends,
        }
    }

    fn rejects(&self, request: u32) -> bool {
        match self.plan.way {
            Way::Odds | Way::AloneOdds => self.probabilities.rejects(request),
            Way::Proof => {
                let own = &self.requests[request as usize];
                own.proven || own.ends >= MAX_ENDS
            }
            _ => matches!(self.ledger.standing(digest(request)), Standing::Refused(_)),
        }
    }

    fn reject(&mut self, request: u32, now: u64) {
        if std::mem::replace(&mut self.requests[request as usize].refused, true) {
            return;
        }
        if self.requests[request as usize].guilty {
            self.outcome.known_ms = Some(now);
            return;
        }
        self.outcome.refused += 1;
        self.add_request(false, now + RETRY_MS);
    }

    /// Sends the suspects that wait at a gateway to its own servers, one to each.
    fn send_waiting(&mut self, gateway: usize, now: u64) {
        while let Some(request) = self.waiting[gateway].front().copied() {
            if self.rejects(request) {
                self.waiting[gateway].pop_front();
                self.reject(request, now);
                continue;
            }
            let own = (0..self.servers.len()).filter(|server| {
                // With fewer servers than gateways, several gateways share a server.
                let count = self.plan.gateways.min(self.servers.len());
                server % count == gateway % count && !self.servers[*server].ended
            });
            let mut free = own.filter(|server| {
                let mut running = self.servers[*server].requests.iter();
                !running.any(|other| self.suspected_ends(*other) > 0)
            });
            let Some(server) = free.next() else { return };
            self.waiting[gateway].pop_front();
            self.send(request, server, gateway, now);
        }
    }

    fn select(&mut self, request: u32, gateway: usize) -> Option<usize> {
        let reserved = |server: usize| {
            let mut gateways = self.servers[server].suspects.values();
            self.plan.way == Way::Proof && gateways.any(|own| *own == gateway)
        };
        let available = (0..self.servers.len())
            .filter(|server| !self.servers[*server].ended && !reserved(*server));
        let available: Vec<usize> = available.collect();
        let ends = self.suspected_ends(request);
        if self.plan.way == Way::Apart && ends > 0 {
            let key = u64::from(request) << 8 | u64::from(ends);
            let weight = |server: &usize| xxh3::xxh3_64_with_seed(&server.to_le_bytes(), key);
            return available.into_iter().max_by_key(weight);
        }
        let index = (!available.is_empty()).then(|| self.rng.random_range(0..available.len()));
        index.map(|index| available[index])
    }

    fn send(&mut self, request: u32, server: usize, gateway: usize, now: u64) {
        if self.suspected_ends(request) > 0 {
            self.servers[server].suspects.insert(request, gateway);
        }
        self.requests[request as usize].tries += 1;
        let run = self.servers[server].run;
        self.servers[server].requests.insert(request);
        if self.requests[request as usize].guilty {
            self.schedule(now + RUN_MS, Event::End(server, run));
        } else {
            let time = self.rng.random_range(SERVICE_MS);
            self.schedule(now + time, Event::Finish(request, server, run));
        }
    }

    fn finish(&mut self, request: u32, server: usize, run: u64, now: u64) {
        if self.servers[server].run != run || !self.servers[server].requests.remove(&request) {
            return;
        }
        self.servers[server].suspects.remove(&request);
        let Request { cut_at, tries, .. } = self.requests[request as usize];
        if let Some(cut_at) = cut_at {
            self.outcome.tries = self.outcome.tries.max(tries - 1);
            self.outcome.delay_ms = self.outcome.delay_ms.max(now - cut_at);
            self.schedule(now + self.plan.news_ms, Event::Receive(request, run, true));
        }
        self.add_request(false, now);
    }

    fn end(&mut self, server: usize, run: u64, now: u64) {
        if self.servers[server].run != run || self.servers[server].ended {
            return;
        }
        self.outcome.ended += 1;
        self.servers[server].ended = true;
        self.schedule(now + RESTART_MS, Event::Restart(server));
        let requests = std::mem::take(&mut self.servers[server].requests);
        let suspects = std::mem::take(&mut self.servers[server].suspects);
        let proven = suspects.keys().next().copied().filter(|_| suspects.len() == 1);
        if let Some(proven) = proven {
            self.requests[proven as usize].proven = true;
        }
        self.probabilities.record_end(&requests);
        for request in requests {
            let own = &mut self.requests[request as usize];
            self.outcome.cut += u64::from(!own.guilty && own.cut_at.is_none());
            own.cut_at.get_or_insert(now);
            if self.plan.way != Way::Proof || proven.is_none() {
                self.schedule(now + self.plan.news_ms, Event::Receive(request, run, false));
            }
            self.schedule_try(request, now + RETRY_MS);
        }
    }

    fn record_outcome(&mut self, request: u32, run: u64, survived: bool, now: u64) {
        let own = &mut self.requests[request as usize];
        own.ends = if survived { 0 } else { own.ends + 1 };
        if survived {
            self.ledger.clear(digest(request));
            self.probabilities.record_survival(request);
            return;
        }
        let run = fleet::Run { id: run.to_string().into(), born: Some(run) };
        let at = moment(now - self.plan.news_ms);
        let item = Item { run, digest: digest(request), mark: Mark::Suspect, at };
        self.ledger.merge(&item, moment(now));
    }
}

/// Probability that a request is guilty, of each request that was on a server that ended.
#[derive(Debug, Default)]
struct Probabilities(BTreeMap<u32, f64>);

impl Probabilities {
    fn of(&self, request: u32) -> f64 {
        self.0.get(&request).copied().unwrap_or(PRIOR.0)
    }

    /// Updates the probabilities of the requests that ran on a server that ended.
    ///
    /// By Bayes' rule, each request's prior is weighed against the probability that one of the
    /// other requests, or the server itself, caused the end.
    fn record_end(&mut self, requests: &BTreeSet<u32>) {
        let before: Vec<(u32, f64)> = requests.iter().map(|r| (*r, self.of(*r))).collect();
        for (request, own) in &before {
            let others = before.iter().filter(|(other, _)| other != request);
            let no_other =
                others.fold(1.0 - PRIOR.1, |product, (_, other)| product * (1.0 - other));
            let other_cause = 1.0 - no_other;
            self.0.insert(*request, own / (own + (1.0 - own) * other_cause));
        }
    }

    fn record_survival(&mut self, request: u32) {
        self.0.insert(request, 0.0);
    }

    fn rejects(&self, request: u32) -> bool {
        self.of(request) > REJECT_PROBABILITY
    }
}

/// Prints a row for each size and way.
pub fn print() {
    let sizes = [(12, 3, 3), (100, 30, 30), (1_000, 300, 300)];
    for (proper, gateways, servers) in sizes {
        for guilty in [1, 2, 3, 5, 10] {
            for news_ms in [20, 1_000] {
                for way in WAYS {
                    row(&Plan { way, guilty, proper, gateways, servers, news_ms, seed: 0 });
                }
            }
        }
    }
}

fn row(plan: &Plan) {
    let runs: Vec<Outcome> = (0..SEEDS).map(|seed| run(&Plan { seed, ..*plan })).collect();
    let mean =
        |of: &dyn Fn(&Outcome) -> u64| runs.iter().map(of).sum::<u64>() as f64 / runs.len() as f64;
    let most = |of: &dyn Fn(&Outcome) -> u64| runs.iter().map(of).max().unwrap_or(0);
    let known: Option<Vec<u64>> = runs.iter().map(|run| run.known_ms).collect();
    let known = known.and_then(|known| known.into_iter().max());
    println!(
        "proper={} gateways={} servers={} guilty={} news_ms={} way={:?} ended={:.1} most={} cut={:.1} \
         refused={:.2} most={} tries={} delay_ms={} known_ms={}",
        plan.proper,
        plan.gateways,
        plan.servers,
        plan.guilty,
        plan.news_ms,
        plan.way,
        mean(&|run| run.ended),
        most(&|run| run.ended),
        mean(&|run| run.cut),
        mean(&|run| run.refused),
        most(&|run| run.refused),
        most(&|run| run.tries),
        most(&|run| run.delay_ms),
        known.map_or("-".to_owned(), |ms| ms.to_string())
    );
}
