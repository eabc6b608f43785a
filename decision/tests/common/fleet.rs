//! A simulated lock-step group with the balancers of several gateways, and clients that retry.

#![allow(dead_code, reason = "no test file uses all of the module")]

use std::collections::BTreeMap;
use std::time::Duration;

use loftcove_decision::routing::{policy, server};
use loftcove_decision::{balancer, clock, entity, pass};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore as _, SeedableRng as _};

pub const RANKS: u32 = 63;
pub const TEAMS: u32 = 24;
const SLOTS: u32 = 10;
const EVENTS: u32 = 19;
const TICK: Duration = Duration::from_millis(10);
const REPORT_TICKS: u64 = 50;
pub const PAUSE: Duration = Duration::from_millis(150);
const DEADLINE: Duration = Duration::from_secs(8);
/// Time to the first event by precedence.
const BEGIN: [Duration; 3] =
    [Duration::from_millis(500), Duration::from_millis(500), Duration::from_millis(1_000)];
pub const COST: pass::Cost = pass::Cost { step: 0.004_55, per_stream: 0.001_09, steps: 5.0 };
/// Ratio of the actual to the published time of a pass at which 268 streams per second fit.
pub const SKEW: f64 = 1.6;

/// A kind of requests, by precedence and team.
pub type Kind = (u32, u32);

/// What a load asks for at a time (seconds after the start).
pub struct Load {
    /// Requests per second of a kind at a gateway.
    pub rate: Box<dyn Fn(f64, Kind, usize) -> f64>,
    /// Ratio of the actual to the published time of a pass.
    pub skew: Box<dyn Fn(f64) -> f64>,
    /// Start and end of the arrivals that are counted.
    pub window: (f64, f64),
    /// Length of the run, seconds.
    pub seconds: f64,
    /// Whether the gateways know precedences and teams.
    pub distinguished: bool,
    /// Kinds that are asked for.
    pub kinds: Vec<Kind>,
}

/// Returns all kinds of requests.
pub fn all_kinds() -> Vec<Kind> {
    (0..3).flat_map(|precedence| (0..TEAMS).map(move |team| (precedence, team))).collect()
}

/// Requests by what became of them.
#[derive(Debug, Clone, Copy, Default)]
pub struct Count {
    pub asked: f64,
    pub served: f64,
}

impl Count {
    pub fn share(&self) -> f64 {
        self.served / self.asked.max(1.0)
    }
}

/// Outcome of a run.
#[derive(Debug, Default)]
pub struct Outcome {
    pub kinds: BTreeMap<Kind, Count>,
    pub notes: usize,
    /// Streams that were completed in the window, whenever they arrived.
    pub completed: f64,
    /// Mean number of streams per rank in the window.
    pub streams: f64,
    /// Largest number of streams per rank in the window.
    pub peak: f64,
    /// Requests that were served at the first attempt, by the interval of [`INTERVAL`] in which
    /// they arrived.
    pub first_attempts: BTreeMap<u64, Count>,
}

impl Outcome {
    pub fn count(&self, of: impl Fn(Kind) -> bool) -> Count {
        let mut sum = Count::default();
        for (_, count) in self.kinds.iter().filter(|(kind, _)| of(**kind)) {
            sum.asked += count.asked;
            sum.served += count.served;
        }
        sum
    }

    pub fn urgency(&self, precedence: u32) -> Count {
        self.count(|kind| kind.0 == precedence)
    }

    pub fn total(&self) -> Count {
        self.count(|_| true)
    }
}

/// Length of an interval of [`Outcome::first_attempts`].
pub const INTERVAL: Duration = Duration::from_millis(500);

#[derive(Debug, Clone, Copy)]
struct Client {
    kind: Kind,
    arrived: u64,
    deadline: clock::Instant,
    retried: bool,
    counted: bool,
}

struct Stream {
    gateway: usize,
    ticket: entity::Ticket,
    server: entity::Server,
    sent: clock::Instant,
    events: u32,
}

struct Gateway {
    balancer: balancer::Balancer<policy::Blend>,
    clients: BTreeMap<entity::Ticket, Client>,
}

struct Fleet {
    gateways: Vec<Gateway>,
    streams: Vec<Stream>,
    ranks: Vec<u32>,
    returns: Vec<(clock::Instant, Client)>,
    now: clock::Instant,
    /// Draws arrivals, so that all runs of a load have the same ones.
    rng: ChaCha8Rng,
    /// Draws the gateways of clients that retry.
    retries: ChaCha8Rng,
    outcome: Outcome,
    distinguished: bool,
}

fn listing(number: u32) -> server::Listing {
    server::Listing {
        host: format!("rank{number}").into(),
        born: None,
        status: None,
        pool: entity::Pool::from_u32(0),
        group: Some(entity::Group::from_u32(0)),
        zone: "norte".into(),
        local: true,
        leaving: false,
        drained: false,
        cold: None,
    }
}

fn gateway(number: u32, of: u32, now: clock::Instant) -> Gateway {
    let rng = ChaCha8Rng::seed_from_u64(u64::from(number) + 7);
    let policy = policy::Blend { rng, sample: 2, affinity_slack: 0.5 };
    let options = balancer::Options::default().min_retry_after(Duration::from_millis(500));
    let mut balancer = balancer::Balancer::new(policy, &options);
    balancer.set_share_of_servers(balancer::Share { number, of });
    balancer.set_cost(entity::Pool::from_u32(0), COST);
    balancer.list((0..RANKS).map(listing).collect(), now);
    for rank in 0..RANKS {
        balancer.set_connected(entity::Server::from_u32(rank), true, now);
    }
    Gateway { balancer, clients: BTreeMap::new() }
}

impl Fleet {
    fn new(gateways: u32, distinguished: bool, seed: u64) -> Fleet {
        let now = clock::Instant::from_millis(1_000);
        Fleet {
            gateways: (0..gateways).map(|number| gateway(number, gateways, now)).collect(),
            streams: Vec::new(),
            ranks: vec![0; RANKS as usize],
            returns: Vec::new(),
            now,
            rng: ChaCha8Rng::seed_from_u64(seed),
            retries: ChaCha8Rng::seed_from_u64(13),
            outcome: Outcome::default(),
            distinguished,
        }
    }

    fn uniform(&mut self) -> f64 {
        f64::from(self.rng.next_u32()) / f64::from(u32::MAX)
    }

    fn poisson(&mut self, mean: f64) -> u32 {
        let (limit, mut product, mut count) = ((-mean).exp(), self.uniform(), 0);
        while product > limit {
            product *= self.uniform();
            count += 1;
        }
        count
    }

    fn arrive(&mut self, number: usize, client: Client) {
        let precedence = client.kind.0;
        let arrival = balancer::Arrival {
            pool: entity::Pool::from_u32(0),
            team: entity::Team::from_u32(if self.distinguished { client.kind.1 } else { 0 }),
            precedence: if self.distinguished { precedence } else { 0 },
            repeatable: true,
            resumable: true,
            max_attempts: 2,
            deadline: client.deadline,
            expires: client.deadline,
            begin_by: Some(self.now + BEGIN[precedence as usize]),
            prefix: 0,
            suspect: None,
        };
        let gateway = &mut self.gateways[number];
        let (ticket, actions) = gateway.balancer.arrive(arrival, self.now);
        gateway.clients.insert(ticket, client);
        self.apply(number, actions);
    }

    fn apply(&mut self, number: usize, actions: Vec<balancer::Action>) {
        for action in actions {
            match action {
                balancer::Action::Send(dispatch) => {
                    let server = dispatch.choice.server;
                    self.ranks[server.as_u32() as usize] += 1;
                    self.streams.push(Stream {
                        gateway: number,
                        ticket: dispatch.ticket,
                        server,
                        sent: self.now,
                        events: 0,
                    });
                }
                balancer::Action::Move(moved) => panic!("{moved:?}"),
                balancer::Action::Refuse(refusal) => {
                    let client = self.gateways[number].clients.remove(&refusal.ticket).unwrap();
                    let left = client.deadline.since(self.now);
                    if !client.retried && refusal.retry_after <= left / 3 {
                        let client = Client { retried: true, ..client };
                        self.returns.push((self.now + refusal.retry_after, client));
                    }
                }
            }
        }
    }

    fn arrivals(&mut self, load: &Load, time: f64) {
        let counted = (load.window.0..load.window.1).contains(&time);
        let arrived = (time / INTERVAL.as_secs_f64()) as u64;
        for number in 0..self.gateways.len() {
            for kind in load.kinds.iter().copied() {
                let rate = (load.rate)(time, kind, number);
                for _ in 0..self.poisson(rate * TICK.as_secs_f64()) {
                    if counted {
                        self.outcome.kinds.entry(kind).or_default().asked += 1.0;
                    }
                    self.outcome.first_attempts.entry(arrived).or_default().asked += 1.0;
                    let deadline = self.now + DEADLINE;
                    let client = Client { kind, arrived, deadline, retried: false, counted };
                    self.arrive(number, client);
                }
            }
        }
        let (due, later) = self.returns.iter().partition(|(at, _)| *at <= self.now);
        self.returns = later;
        let due: Vec<(clock::Instant, Client)> = due;
        for (_, client) in due {
            let number = self.retries.next_u32() as usize % self.gateways.len();
            self.arrive(number, client);
        }
    }

    /// Ends a pass. Returns the number of streams that are complete.
    fn pass(&mut self, pause: Duration) -> f64 {
        let mut completed = 0.0;
        for mut stream in std::mem::take(&mut self.streams) {
            let number = stream.gateway;
            let rank = stream.server.as_u32() as usize;
            let gateway = &mut self.gateways[number];
            stream.events += 1;
            let pause = if stream.events == 1 {
                let after = self.now.since(stream.sent);
                gateway.balancer.begin(stream.ticket, after, self.now);
                gateway.balancer.report_load(stream.server, self.ranks[rank], self.now);
                Duration::ZERO
            } else {
                pause
            };
            let mut actions = gateway.balancer.stream_event(stream.ticket, pause, PAUSE, self.now);
            if stream.events == EVENTS {
                self.ranks[rank] -= 1;
                completed += 1.0;
                let ended = balancer::End::Answered;
                actions.extend(gateway.balancer.end(stream.ticket, ended, self.now));
                let client = gateway.clients.remove(&stream.ticket).unwrap();
                if !client.retried {
                    let first = self.outcome.first_attempts.entry(client.arrived);
                    first.or_default().served += 1.0;
                }
                if client.counted && self.now <= client.deadline {
                    self.outcome.kinds.entry(client.kind).or_default().served += 1.0;
                }
            } else {
                self.streams.push(stream);
            }
            self.apply(number, actions);
        }
        completed
    }

    fn tick(&mut self, ticks: u64) {
        for number in 0..self.gateways.len() {
            let gateway = &mut self.gateways[number];
            let mut actions = gateway.balancer.tick(self.now);
            if ticks.is_multiple_of(REPORT_TICKS) {
                for rank in 0..RANKS {
                    let report = server::Report {
                        incarnation: 1,
                        sequence: ticks + 1,
                        slots: SLOTS,
                        running: self.ranks[rank as usize],
                        alive: true,
                        ..server::Report::default()
                    };
                    let rank = entity::Server::from_u32(rank);
                    actions.extend(gateway.balancer.report(rank, report, self.now));
                }
            }
            let limits = |note: &balancer::Note| matches!(note, balancer::Note::Shortage(..));
            self.outcome.notes +=
                gateway.balancer.take_notes().iter().filter(|n| limits(n)).count();
            self.apply(number, actions);
        }
    }
}

/// Seeds of the runs of a load. The share served varies by 5 % with the seed where few streams fit.
pub const SEEDS: [u64; 5] = [1, 2, 3, 4, 5];

/// Runs a load at that many gateways with each seed. Returns the sum of the outcomes.
pub fn run(gateways: u32, load: &Load) -> Outcome {
    let mut sum = Outcome::default();
    for seed in SEEDS {
        let outcome = run_once(gateways, load, seed);
        sum.notes += outcome.notes;
        sum.completed += outcome.completed;
        sum.streams += outcome.streams / SEEDS.len() as f64;
        sum.peak = sum.peak.max(outcome.peak);
        for (kind, count) in outcome.kinds {
            let kind = sum.kinds.entry(kind).or_default();
            kind.asked += count.asked;
            kind.served += count.served;
        }
    }
    sum
}

/// Runs a load at that many gateways with one seed.
pub fn run_once(gateways: u32, load: &Load, seed: u64) -> Outcome {
    let mut fleet = Fleet::new(gateways, load.distinguished, seed);
    let start = fleet.now;
    let mut passed = fleet.now;
    let mut length = Duration::from_millis(30);
    for ticks in 0..(load.seconds / TICK.as_secs_f64()) as u64 {
        let time = fleet.now.since(start).as_secs_f64();
        fleet.tick(ticks);
        fleet.arrivals(load, time);
        fleet.now = fleet.now + TICK;
        if fleet.now.since(passed) >= length {
            let streams = fleet.streams.len() as f64 / f64::from(RANKS);
            let taken = fleet.now.since(passed);
            if (load.window.0..load.window.1).contains(&time) {
                fleet.outcome.peak = fleet.outcome.peak.max(streams);
                fleet.outcome.streams +=
                    streams * taken.as_secs_f64() / (load.window.1 - load.window.0);
            }
            let in_window = (load.window.0..load.window.1).contains(&time);
            let ended = fleet.pass(taken);
            fleet.outcome.completed += if in_window { ended } else { 0.0 };
            passed = fleet.now;
            length = Duration::from_secs_f64(COST.time(streams) * (load.skew)(time));
        }
    }
    for gateway in &fleet.gateways {
        assert_eq!(gateway.balancer.verify(), Ok(()));
    }
    fleet.outcome
}
