//! What the count of ends buys: servers ended by one request, others refused for
//! it, and the time until all gateways know, by the number of gateways.
//!
//! Gateways have the real ledgers and tell each other as the real ones do, each
//! those who follow it and those that it follows. Servers and callers are counted work.

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};
use std::path::Path;

use loftcove_decision::poison::{Digest, Item, Ledger, Mark, SETTLE_TIME, Standing};
use loftcove_decision::{clock, fleet};
use plotters::prelude::*;
use rand::Rng as _;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng as _;

/// Numbers of gateways that are compared; there are twice as many servers.
const GATEWAYS: [usize; 3] = [30, 100, 300];
/// Days played of each.
const SEEDS: u64 = 20;
/// Times that the caller asks.
const TRIES: u64 = 16;
/// Time from a request's begin to the end of its server: 0.1 s and more was seen.
const RUN_MS: u64 = 110;
/// Time that a server is away.
const AWAY_MS: u64 = 4_000;
/// Others that run on a server at a time.
const OTHERS: usize = 4;
/// Time after which they ask again, and that they run.
const RETURN_MS: u64 = 1_000;
/// Peers that a gateway follows, and the time that news takes from one to the other.
const FOLLOWED: usize = 3;
/// See [`FOLLOWED`].
const HOP_MS: std::ops::Range<u64> = 2..6;

/// Who counts ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Way {
    /// Nobody.
    Nobody,
    /// Each gateway what it saw itself.
    Alone,
    /// All together.
    Told,
}

/// Ways that are compared.
pub const WAYS: [Way; 3] = [Way::Nobody, Way::Alone, Way::Told];

/// What is played.
#[derive(Debug, Clone, Copy)]
pub struct Plan {
    /// Who counts.
    pub way: Way,
    /// Gateways.
    pub gateways: usize,
    /// Gateways that the caller asks at the same time.
    pub at_once: usize,
    /// Time between two of its tries.
    pub pause_ms: u64,
    /// Seed.
    pub seed: u64,
}

/// What came of it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Outcome {
    /// Servers that ended.
    pub ended: u64,
    /// Others that were refused.
    pub blamed: u64,
    /// Time from the second end until all gateways refuse the request.
    pub known_ms: Option<u64>,
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Ask,
    End(usize, u64),
    Back(usize),
    News(usize, u64, Digest, Mark, u64),
    Return(Digest),
    Finish(Digest, usize, usize, u64),
    /// An end that a gateway heard of can be judged.
    Settle(usize),
}

#[derive(Debug, Clone, Default)]
struct Server {
    run: u64,
    away: bool,
    doomed: bool,
    /// Requests on it, each with its gateway.
    requests: Vec<(Digest, usize)>,
}

struct Play {
    plan: Plan,
    rng: ChaCha8Rng,
    ledgers: Vec<Ledger>,
    /// Whom each gateway tells: those who follow it and those that it follows.
    followers: Vec<Vec<usize>>,
    servers: Vec<Server>,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sequence: u64,
    runs: u64,
    second_end: Option<u64>,
    refusing: BTreeSet<usize>,
    outcome: Outcome,
}

/// Plays one day.
pub fn run(plan: &Plan) -> Outcome {
    let mut play = Play::new(*plan);
    while let Some(Reverse((now, _, event))) = play.events.pop() {
        play.handle(now, event);
    }
    play.outcome
}

fn guilty() -> Digest {
    Digest::of(&[b"guilty"])
}

fn server_run(number: u64) -> fleet::Run {
    fleet::Run { id: number.to_string().into(), born: Some(number) }
}

impl Play {
    fn new(plan: Plan) -> Play {
        let mut rng = ChaCha8Rng::seed_from_u64(plan.seed);
        let mut followers = vec![Vec::new(); plan.gateways];
        for gateway in 0..plan.gateways {
            let peers = rand::seq::index::sample(&mut rng, plan.gateways, FOLLOWED);
            for peer in peers.iter().filter(|peer| *peer != gateway) {
                // News goes both ways.
                followers[peer].push(gateway);
                followers[gateway].push(peer);
            }
        }
        let servers = (0..2 * plan.gateways)
            .map(|number| Server { run: number as u64, ..Server::default() })
            .collect();
        let mut play = Play {
            plan,
            rng,
            ledgers: vec![Ledger::default(); plan.gateways],
            followers,
            servers,
            events: BinaryHeap::new(),
            sequence: 0,
            runs: 2 * plan.gateways as u64,
            second_end: None,
            refusing: BTreeSet::new(),
            outcome: Outcome::default(),
        };
        for number in 0..TRIES {
            (0..plan.at_once).for_each(|_| play.at(number * plan.pause_ms, Event::Ask));
        }
        play
    }

    fn at(&mut self, time: u64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((time, self.sequence, event)));
    }

    fn handle(&mut self, now: u64, event: Event) {
        match event {
            Event::Ask => {
                let Some((server, _)) = self.send(guilty()) else { return };
                if !std::mem::replace(&mut self.servers[server].doomed, true) {
                    self.at(now + RUN_MS, Event::End(server, self.servers[server].run));
                }
            }
            Event::End(server, run) => self.end(server, run, now),
            Event::Back(server) => {
                self.runs += 1;
                self.servers[server] = Server { run: self.runs, ..Server::default() };
            }
            Event::News(gateway, run, digest, mark, at) => {
                self.tell(gateway, run, digest, mark, at, now);
            }
            Event::Settle(gateway) => {
                self.ledgers[gateway].expire(clock::Instant::from_millis(now));
                self.note_refusal(gateway, now);
            }
            Event::Return(digest) => match self.send(digest) {
                Some((server, gateway)) => {
                    let run = self.servers[server].run;
                    self.at(now + RETURN_MS, Event::Finish(digest, gateway, server, run));
                }
                None => self.outcome.blamed += 1,
            },
            Event::Finish(digest, gateway, server, run) => {
                if self.servers[server].run != run || self.servers[server].away {
                    return;
                }
                self.servers[server].requests.retain(|(other, _)| *other != digest);
                for item in self.ledgers[gateway].clear(digest) {
                    let at = item.at.micros() / 1_000;
                    let run = item.run.born.unwrap_or_default();
                    self.spread(gateway, run, digest, Mark::Cleared, at, now);
                }
            }
        }
    }

    /// Sends a request by some gateway, unless that refuses it.
    fn send(&mut self, digest: Digest) -> Option<(usize, usize)> {
        let gateway = self.rng.random_range(0..self.plan.gateways);
        if matches!(self.ledgers[gateway].standing(digest), Standing::Refused(_)) {
            return None;
        }
        loop {
            let server = self.rng.random_range(0..self.servers.len());
            if !self.servers[server].away {
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
        self.servers[server].away = true;
        self.at(now + AWAY_MS, Event::Back(server));
        let mut requests = std::mem::take(&mut self.servers[server].requests);
        for number in 0..OTHERS {
            let name = format!("other {} {number}", self.outcome.ended);
            let gateway = self.rng.random_range(0..self.plan.gateways);
            requests.push((Digest::of(&[name.as_bytes()]), gateway));
        }
        for (digest, gateway) in requests {
            if digest != guilty() {
                self.at(now + RETURN_MS, Event::Return(digest));
            }
            if self.plan.way != Way::Nobody {
                self.tell(gateway, run, digest, Mark::Suspect, now, now);
            }
        }
    }

    fn tell(&mut self, gateway: usize, run: u64, digest: Digest, mark: Mark, at: u64, now: u64) {
        let moment = clock::Instant::from_millis(at);
        let item = Item { run: server_run(run), digest, mark, at: moment };
        if !self.ledgers[gateway].merge(&item, clock::Instant::from_millis(now)) {
            return;
        }
        self.spread(gateway, run, digest, mark, at, now);
        self.at((at + SETTLE_TIME.as_millis() as u64).max(now), Event::Settle(gateway));
        self.note_refusal(gateway, now);
    }

    /// Notes when the last gateway refuses the request.
    fn note_refusal(&mut self, gateway: usize, now: u64) {
        let refuses = matches!(self.ledgers[gateway].standing(guilty()), Standing::Refused(_));
        if refuses && self.refusing.insert(gateway) && self.refusing.len() == self.plan.gateways {
            self.outcome.known_ms = self.second_end.map(|end| now - end);
        }
    }

    fn spread(&mut self, gateway: usize, run: u64, digest: Digest, mark: Mark, at: u64, now: u64) {
        if self.plan.way != Way::Told {
            return;
        }
        for follower in self.followers[gateway].clone() {
            let hop = self.rng.random_range(HOP_MS);
            self.at(now + hop, Event::News(follower, run, digest, mark, at));
        }
    }
}

/// Prints the comparison.
pub fn print() {
    for at_once in [1, 4] {
        for gateways in GATEWAYS {
            for way in WAYS {
                let days = (0..SEEDS)
                    .map(|seed| run(&Plan { way, gateways, at_once, pause_ms: 500, seed }));
                let days: Vec<Outcome> = days.collect();
                let mean = |of: &dyn Fn(&Outcome) -> u64| {
                    days.iter().map(of).sum::<u64>() as f64 / days.len() as f64
                };
                let most = |of: &dyn Fn(&Outcome) -> u64| days.iter().map(of).max().unwrap_or(0);
                let known = days.iter().filter_map(|day| day.known_ms).max();
                println!(
                    "gateways={gateways} at_once={at_once} way={way:?} ended={:.1} most={} \
                     blamed={:.2} most={} known_ms={}",
                    mean(&|day| day.ended),
                    most(&|day| day.ended),
                    mean(&|day| day.blamed),
                    most(&|day| day.blamed),
                    known.map_or("-".to_owned(), |ms| ms.to_string())
                );
            }
        }
    }
}

/// Draws the servers ended by each way over the number of gateways.
///
/// # Errors
///
/// What the drawing library says.
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
            let days = (0..SEEDS)
                .map(|seed| run(&Plan { way, gateways, at_once: 1, pause_ms: 500, seed }).ended);
            days.sum::<u64>() as f64 / SEEDS as f64
        };
        let points = GATEWAYS.map(|gateways| (gateways as f64, ended(gateways)));
        chart.draw_series(LineSeries::new(points, color))?;
    }
    area.present()?;
    Ok(())
}
