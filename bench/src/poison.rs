//! Measures the effect of counting the ends of servers per request, by the number of gateways.
//!
//! One request, the guilty one, ends each server that runs it. Measured are the servers that it
//! ends, the other requests that are rejected because they ran beside it, and the time until all
//! gateways reject it. Gateways have the real ledgers and exchange items as the real ones do: each
//! sends them to the peers that follow it and to those that it follows. Servers and clients are
//! simulated, so the results are the same in every run.

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};
use std::path::Path;

use loftcove_decision::poison::{Digest, Item, Ledger, Mark, SETTLE_TIME, Standing};
use loftcove_decision::{clock, fleet};
use plotters::prelude::*;
use rand::Rng as _;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng as _;

/// Compared numbers of gateways. There are twice as many servers.
const GATEWAYS: [usize; 3] = [30, 100, 300];
/// Number of simulated runs of each plan, each with its own seed.
const SEEDS: u64 = 20;
/// Number of times that the client sends the guilty request.
const TRIES: u64 = 16;
/// Time from the start of the guilty request to the end of its server. In observed cases it was
/// 0.1 s or more.
const RUN_MS: u64 = 110;
/// Time from the end of a server to its restart.
const RESTART_MS: u64 = 4_000;
/// Number of other requests that run on a server that ends.
const OTHERS: usize = 4;
/// Time after which these are retried, and time that they then run.
const RETRY_MS: u64 = 1_000;
/// Number of peers that a gateway follows.
const FOLLOWED: usize = 3;
/// Time that an item takes from one gateway to the next.
const HOP_MS: std::ops::Range<u64> = 2..6;

/// Which gateways share their counts of ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Way {
    /// No gateway counts ends.
    Nobody,
    /// Each gateway counts the ends that it observed itself.
    Alone,
    /// Gateways exchange the ends that they observed.
    Told,
}

/// Compared ways.
pub const WAYS: [Way; 3] = [Way::Nobody, Way::Alone, Way::Told];

/// Parameters of a run.
#[derive(Debug, Clone, Copy)]
pub struct Plan {
    /// Which gateways share their counts.
    pub way: Way,
    /// Number of gateways.
    pub gateways: usize,
    /// Number of gateways to which the client sends each try at the same time.
    pub at_once: usize,
    /// Time between two tries of the client.
    pub pause_ms: u64,
    /// Seed of the random numbers.
    pub seed: u64,
}

/// Result of a run.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Outcome {
    /// Number of servers that ended.
    pub ended: u64,
    /// Number of other requests that were rejected.
    pub blamed: u64,
    /// Time from the second end until all gateways reject the guilty request.
    pub known_ms: Option<u64>,
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// The client sends the guilty request.
    Send,
    /// The guilty request ends the run of a server.
    End(usize, u64),
    /// A server restarts.
    Restart(usize),
    /// A gateway receives an item about a request on a run.
    Receive(usize, u64, Digest, Mark, u64),
    /// Another request is retried.
    Retry(Digest),
    /// Another request finishes.
    Finish(Digest, usize, usize, u64),
    /// An end that a gateway has received is old enough to be judged.
    Settle(usize),
}

#[derive(Debug, Clone, Default)]
struct Server {
    run: u64,
    ended: bool,
    /// Whether the guilty request runs on it.
    guilty: bool,
    /// Requests that it runs, each with its gateway.
    requests: Vec<(Digest, usize)>,
}

/// State of a run.
struct Simulation {
    plan: Plan,
    rng: ChaCha8Rng,
    ledgers: Vec<Ledger>,
    /// Gateways to which each gateway sends items: those that follow it and those that it follows.
    peers: Vec<Vec<usize>>,
    servers: Vec<Server>,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sequence: u64,
    runs: u64,
    second_end: Option<u64>,
    rejecting: BTreeSet<usize>,
    outcome: Outcome,
}

/// Simulates one run.
pub fn run(plan: &Plan) -> Outcome {
    let mut simulation = Simulation::new(*plan);
    while let Some(Reverse((now, _, event))) = simulation.events.pop() {
        simulation.handle(now, event);
    }
    simulation.outcome
}

fn guilty() -> Digest {
    Digest::of(&[b"guilty"])
}

fn server_run(number: u64) -> fleet::Run {
    fleet::Run { id: number.to_string().into(), born: Some(number) }
}

impl Simulation {
    fn new(plan: Plan) -> Simulation {
        let mut rng = ChaCha8Rng::seed_from_u64(plan.seed);
        let mut links = vec![Vec::new(); plan.gateways];
        for gateway in 0..plan.gateways {
            let followed = rand::seq::index::sample(&mut rng, plan.gateways, FOLLOWED);
            for peer in followed.iter().filter(|peer| *peer != gateway) {
                // Items are sent in both directions.
                links[peer].push(gateway);
                links[gateway].push(peer);
            }
        }
        let servers = (0..2 * plan.gateways)
            .map(|number| Server { run: number as u64, ..Server::default() })
            .collect();
        let mut simulation = Simulation {
            plan,
            rng,
            ledgers: vec![Ledger::default(); plan.gateways],
            peers: links,
            servers,
            events: BinaryHeap::new(),
            sequence: 0,
            runs: 2 * plan.gateways as u64,
            second_end: None,
            rejecting: BTreeSet::new(),
            outcome: Outcome::default(),
        };
        for number in 0..TRIES {
            (0..plan.at_once)
                .for_each(|_| simulation.schedule(number * plan.pause_ms, Event::Send));
        }
        simulation
    }

    fn schedule(&mut self, time: u64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((time, self.sequence, event)));
    }

    fn handle(&mut self, now: u64, event: Event) {
        match event {
            Event::Send => {
                let Some((server, _)) = self.send(guilty()) else { return };
                if !std::mem::replace(&mut self.servers[server].guilty, true) {
                    self.schedule(now + RUN_MS, Event::End(server, self.servers[server].run));
                }
            }
            Event::End(server, run) => self.end(server, run, now),
            Event::Restart(server) => {
                self.runs += 1;
                self.servers[server] = Server { run: self.runs, ..Server::default() };
            }
            Event::Receive(gateway, run, digest, mark, at) => {
                self.merge(gateway, run, digest, mark, at, now);
            }
            Event::Settle(gateway) => {
                self.ledgers[gateway].expire(clock::Instant::from_millis(now));
                self.record_rejection(gateway, now);
            }
            Event::Retry(digest) => match self.send(digest) {
                Some((server, gateway)) => {
                    let run = self.servers[server].run;
                    self.schedule(now + RETRY_MS, Event::Finish(digest, gateway, server, run));
                }
                None => self.outcome.blamed += 1,
            },
            Event::Finish(digest, gateway, server, run) => {
                if self.servers[server].run != run || self.servers[server].ended {
                    return;
                }
                self.servers[server].requests.retain(|(other, _)| *other != digest);
                for item in self.ledgers[gateway].clear(digest) {
                    let at = item.at.micros() / 1_000;
                    let run = item.run.born.unwrap_or_default();
                    self.forward(gateway, run, digest, Mark::Cleared, at, now);
                }
            }
        }
    }

    /// Sends a request through a random gateway, unless that gateway rejects it.
    ///
    /// Returns the server and the gateway.
    fn send(&mut self, digest: Digest) -> Option<(usize, usize)> {
        let gateway = self.rng.random_range(0..self.plan.gateways);
        if matches!(self.ledgers[gateway].standing(digest), Standing::Refused(_)) {
            return None;
        }
        loop {
            let server = self.rng.random_range(0..self.servers.len());
            if !self.servers[server].ended {
                self.servers[server].requests.push((digest, gateway));
                return Some((server, gateway));
            }
        }
    }

    fn end(&mut self, server: usize, run: u64, now: u64) {
        self.outcome.ended += 1;
        if self.outcome.ended == 2 {
            self.second_end = Some(now);
        }
        self.servers[server].ended = true;
        self.schedule(now + RESTART_MS, Event::Restart(server));
        let mut requests = std::mem::take(&mut self.servers[server].requests);
        for number in 0..OTHERS {
            let name = format!("other {} {number}", self.outcome.ended);
            let gateway = self.rng.random_range(0..self.plan.gateways);
            requests.push((Digest::of(&[name.as_bytes()]), gateway));
        }
        for (digest, gateway) in requests {
            if digest != guilty() {
                self.schedule(now + RETRY_MS, Event::Retry(digest));
            }
            if self.plan.way != Way::Nobody {
                self.merge(gateway, run, digest, Mark::Suspect, now, now);
            }
        }
    }

    /// Merges an item into the ledger of a gateway, and forwards it if it is new.
    fn merge(&mut self, gateway: usize, run: u64, digest: Digest, mark: Mark, at: u64, now: u64) {
        let moment = clock::Instant::from_millis(at);
        let item = Item { run: server_run(run), digest, mark, at: moment };
        if !self.ledgers[gateway].merge(&item, clock::Instant::from_millis(now)) {
            return;
        }
        self.forward(gateway, run, digest, mark, at, now);
        self.schedule((at + SETTLE_TIME.as_millis() as u64).max(now), Event::Settle(gateway));
        self.record_rejection(gateway, now);
    }

    /// Records the time at which the last gateway begins to reject the guilty request.
    fn record_rejection(&mut self, gateway: usize, now: u64) {
        let rejects = matches!(self.ledgers[gateway].standing(guilty()), Standing::Refused(_));
        if rejects && self.rejecting.insert(gateway) && self.rejecting.len() == self.plan.gateways {
            self.outcome.known_ms = self.second_end.map(|end| now - end);
        }
    }

    /// Sends an item to the peers of a gateway.
    fn forward(&mut self, gateway: usize, run: u64, digest: Digest, mark: Mark, at: u64, now: u64) {
        if self.plan.way != Way::Told {
            return;
        }
        for peer in self.peers[gateway].clone() {
            let hop = self.rng.random_range(HOP_MS);
            self.schedule(now + hop, Event::Receive(peer, run, digest, mark, at));
        }
    }
}

/// Prints the comparison.
pub fn print() {
    for at_once in [1, 4] {
        for gateways in GATEWAYS {
            for way in WAYS {
                let runs = (0..SEEDS)
                    .map(|seed| run(&Plan { way, gateways, at_once, pause_ms: 500, seed }));
                let runs: Vec<Outcome> = runs.collect();
                let mean = |of: &dyn Fn(&Outcome) -> u64| {
                    runs.iter().map(of).sum::<u64>() as f64 / runs.len() as f64
                };
                let most = |of: &dyn Fn(&Outcome) -> u64| runs.iter().map(of).max().unwrap_or(0);
                let known = runs.iter().filter_map(|run| run.known_ms).max();
                println!(
                    "gateways={gateways} at_once={at_once} way={way:?} ended={:.1} most={} \
                     blamed={:.2} most={} known_ms={}",
                    mean(&|run| run.ended),
                    most(&|run| run.ended),
                    mean(&|run| run.blamed),
                    most(&|run| run.blamed),
                    known.map_or("-".to_owned(), |ms| ms.to_string())
                );
            }
        }
    }
}

/// Draws the number of servers that ended, for each way, over the number of gateways.
///
/// # Errors
///
/// Returns the error of the drawing library.
pub fn draw(file: &Path) -> Result<(), Box<dyn std::error::Error>> {
    const COLORS: [RGBColor; 3] =
        [RGBColor(200, 60, 40), RGBColor(220, 150, 30), RGBColor(30, 130, 60)];
    let area = SVGBackend::new(file, (800, 400)).into_drawing_area();
    area.fill(&WHITE)?;
    let last = GATEWAYS[GATEWAYS.len() - 1] as f64;
    let mut chart = ChartBuilder::on(&area)
        .margin(12)
        .x_label_area_size(28)
        .y_label_area_size(44)
        .build_cartesian_2d(0.0..last, 0.0..TRIES as f64 + 1.0)?;
    for (way, color) in WAYS.into_iter().zip(COLORS) {
        let ended = |gateways: usize| {
            let runs = (0..SEEDS)
                .map(|seed| run(&Plan { way, gateways, at_once: 1, pause_ms: 500, seed }).ended);
            runs.sum::<u64>() as f64 / SEEDS as f64
        };
        let points = GATEWAYS.map(|gateways| (gateways as f64, ended(gateways)));
        chart.draw_series(LineSeries::new(points, color))?;
    }
    area.present()?;
    Ok(())
}
