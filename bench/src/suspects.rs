//! Ways to find the requests that end their servers without refusing those
//! beside them: servers ended, proper requests refused and delayed, by the
//! numbers of guilty and proper requests and of gateways.
//!
//! Servers, callers and the time of news are counted work. What is known is
//! one ledger for all gateways, which hears of an end and of a survival after
//! the time of news; that gateways hear at different times is left out, and
//! so is news that is lost.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};

use loftcove_decision::poison::{Digest, Item, Ledger, Mark, Standing};
use loftcove_decision::{clock, fleet};
use rand::Rng as _;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng as _;
use xxhash_rust::xxh3;

/// Time from a guilty request's begin to the end of its server.
const RUN_MS: u64 = 110;
/// Time that a server is away that ended.
const AWAY_MS: u64 = 1_000;
/// Time that a proper request takes.
const SERVICE_MS: std::ops::Range<u64> = 300..500;
/// Time after which a caller asks again whose request was cut.
const RETURN_MS: u64 = 500;
/// How long callers ask.
const DAY_MS: u64 = 20_000;
/// Days played of each.
pub const SEEDS: u64 = 20;
/// Odds that a request is guilty of which nothing is known, and that a server
/// ends by itself under what it runs.
const PRIOR: (f64, f64) = (1e-3, 1e-4);
/// Probability from which a request is refused.
const SURE: f64 = 0.95;

/// Ends from which a request is refused without proof: three, and one more of the
/// three tries that may follow.
const BOUND: u32 = 4;

/// Where a request goes, and who is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Way {
    /// By lot; refused by the count of ends.
    Counting,
    /// Suspects of one end by a hash, each to another server; refused by the count.
    Apart,
    /// A suspect runs with no other one: each gateway has servers of its own for
    /// them, and takes one at a time to each; refused by the count.
    Alone,
    /// By lot; refused by the odds from all ends and survivals.
    Odds,
    /// As [`Way::Alone`], refused by the odds.
    AloneOdds,
    /// As [`Way::Alone`], and its gateway sends nothing else to that server
    /// meanwhile; refused is who ends a server as the only suspect there, which
    /// says nothing of the others, or ends [`BOUND`].
    Proof,
}

/// Ways that are compared.
pub const WAYS: [Way; 6] =
    [Way::Counting, Way::Apart, Way::Alone, Way::Odds, Way::AloneOdds, Way::Proof];

/// What is played.
#[derive(Debug, Clone, Copy)]
pub struct Plan {
    /// Where requests go, and who is refused.
    pub way: Way,
    /// Requests that end their servers.
    pub guilty: usize,
    /// Proper requests in flight.
    pub proper: usize,
    /// Gateways.
    pub gateways: usize,
    /// Servers.
    pub servers: usize,
    /// Time until all gateways have heard of an end.
    pub news_ms: u64,
    /// Seed.
    pub seed: u64,
}

/// What came of it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Outcome {
    /// Servers that ended.
    pub ended: u64,
    /// Proper requests that were refused.
    pub refused: u64,
    /// Proper requests that were cut.
    pub cut: u64,
    /// Most tries after its first cut until a proper request was served.
    pub tries: u64,
    /// Longest time from its first cut until a proper request was served.
    pub delay_ms: u64,
    /// When the last guilty one was refused; none where one never was.
    pub known_ms: Option<u64>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A request arrives at a gateway.
    Ask(u32, usize),
    /// A request comes to its end at a run of a server.
    Finish(u32, usize, u64),
    /// A guilty one ends its server's run.
    End(usize, u64),
    Back(usize),
    /// All have heard that a request was on a run that ended, or survived.
    News(u32, u64, bool),
}

#[derive(Debug, Clone, Default)]
struct Server {
    run: u64,
    away: bool,
    requests: BTreeSet<u32>,
    /// Those of them that were suspects when they were sent, with their gateways.
    suspects: BTreeMap<u32, usize>,
}

/// A request over all its tries.
#[derive(Debug, Clone, Copy)]
struct Request {
    guilty: bool,
    cut_at: Option<u64>,
    tries: u64,
    refused: bool,
    /// Ends since it last survived that nothing else explains.
    ends: u32,
    proven: bool,
}

struct Play {
    plan: Plan,
    rng: ChaCha8Rng,
    ledger: Ledger,
    odds: Odds,
    servers: Vec<Server>,
    requests: Vec<Request>,
    /// Suspects that wait at each gateway.
    waiting: Vec<VecDeque<u32>>,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sequence: u64,
    runs: u64,
    outcome: Outcome,
}

/// Plays one day.
pub fn run(plan: &Plan) -> Outcome {
    let mut play = Play::new(*plan);
    while let Some(Reverse((now, _, event))) = play.events.pop() {
        play.handle(now, event);
    }
    if play.requests.iter().any(|request| request.guilty && !request.refused) {
        play.outcome.known_ms = None;
    }
    play.outcome
}

fn digest(request: u32) -> Digest {
    Digest::of(&[&request.to_le_bytes()])
}

fn moment(ms: u64) -> clock::Instant {
    clock::Instant::from_millis(ms)
}

impl Play {
    fn new(plan: Plan) -> Play {
        let servers = 0..plan.servers as u64;
        let mut play = Play {
            plan,
            rng: ChaCha8Rng::seed_from_u64(plan.seed),
            ledger: Ledger::default(),
            odds: Odds::default(),
            servers: servers.map(|run| Server { run, ..Server::default() }).collect(),
            requests: Vec::new(),
            waiting: vec![VecDeque::new(); plan.gateways],
            events: BinaryHeap::new(),
            sequence: 0,
            runs: plan.servers as u64,
            outcome: Outcome::default(),
        };
        for number in 0..plan.guilty + plan.proper {
            let begin = play.rng.random_range(0..RETURN_MS);
            play.caller(number < plan.guilty, begin);
        }
        play
    }

    /// A caller asks for something new at that time.
    fn caller(&mut self, guilty: bool, at: u64) {
        let request = self.requests.len() as u32;
        self.requests.push(Request {
            guilty,
            cut_at: None,
            tries: 0,
            refused: false,
            ends: 0,
            proven: false,
        });
        self.ask(request, at);
    }

    fn ask(&mut self, request: u32, at: u64) {
        let gateway = self.rng.random_range(0..self.plan.gateways);
        if at < DAY_MS {
            self.at(at, Event::Ask(request, gateway));
        }
    }

    fn at(&mut self, time: u64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((time, self.sequence, event)));
    }

    fn handle(&mut self, now: u64, event: Event) {
        match event {
            Event::Ask(request, gateway) => self.arrive(request, gateway, now),
            Event::Finish(request, server, run) => self.finish(request, server, run, now),
            Event::End(server, run) => self.end(server, run, now),
            Event::Back(server) => {
                self.runs += 1;
                self.servers[server] = Server { run: self.runs, ..Server::default() };
            }
            Event::News(request, run, survived) => self.hear(request, run, survived, now),
        }
        for gateway in 0..self.waiting.len() {
            self.pump(gateway, now);
        }
    }

    fn arrive(&mut self, request: u32, gateway: usize, now: u64) {
        if self.refuses(request) {
            return self.refuse(request, now);
        }
        let alone = matches!(self.plan.way, Way::Alone | Way::AloneOdds | Way::Proof);
        if alone && self.suspect(request) > 0 {
            self.waiting[gateway].push_back(request);
            return;
        }
        match self.choose(request, gateway) {
            Some(server) => self.send(request, server, gateway, now),
            None => self.ask(request, now + RETURN_MS),
        }
    }

    /// Ends that a request is suspect of.
    fn suspect(&self, request: u32) -> u32 {
        if self.plan.way == Way::Proof {
            return self.requests[request as usize].ends;
        }
        match self.ledger.standing(digest(request)) {
            Standing::Sound => 0,
            Standing::Suspect(ends) | Standing::Refused(ends) => ends,
        }
    }

    fn refuses(&self, request: u32) -> bool {
        match self.plan.way {
            Way::Odds | Way::AloneOdds => self.odds.refuses(request),
            Way::Proof => {
                let own = &self.requests[request as usize];
                own.proven || own.ends >= BOUND
            }
            _ => matches!(self.ledger.standing(digest(request)), Standing::Refused(_)),
        }
    }

    fn refuse(&mut self, request: u32, now: u64) {
        if std::mem::replace(&mut self.requests[request as usize].refused, true) {
            return;
        }
        if self.requests[request as usize].guilty {
            self.outcome.known_ms = Some(now);
            return;
        }
        self.outcome.refused += 1;
        self.caller(false, now + RETURN_MS);
    }

    /// Sends suspects that wait at a gateway to its own servers, one to each.
    fn pump(&mut self, gateway: usize, now: u64) {
        while let Some(request) = self.waiting[gateway].front().copied() {
            if self.refuses(request) {
                self.waiting[gateway].pop_front();
                self.refuse(request, now);
                continue;
            }
            let own = (0..self.servers.len()).filter(|server| {
                // Where there are fewer servers than gateways, some share one.
                let of = self.plan.gateways.min(self.servers.len());
                server % of == gateway % of && !self.servers[*server].away
            });
            let mut free = own.filter(|server| {
                let mut running = self.servers[*server].requests.iter();
                !running.any(|other| self.suspect(*other) > 0)
            });
            let Some(server) = free.next() else { return };
            self.waiting[gateway].pop_front();
            self.send(request, server, gateway, now);
        }
    }

    fn choose(&mut self, request: u32, gateway: usize) -> Option<usize> {
        let reserved = |server: usize| {
            let mut of = self.servers[server].suspects.values();
            self.plan.way == Way::Proof && of.any(|own| *own == gateway)
        };
        let open = (0..self.servers.len())
            .filter(|server| !self.servers[*server].away && !reserved(*server));
        let open: Vec<usize> = open.collect();
        let ends = self.suspect(request);
        if self.plan.way == Way::Apart && ends > 0 {
            let key = u64::from(request) << 8 | u64::from(ends);
            let weight = |server: &usize| xxh3::xxh3_64_with_seed(&server.to_le_bytes(), key);
            return open.into_iter().max_by_key(weight);
        }
        let place = (!open.is_empty()).then(|| self.rng.random_range(0..open.len()));
        place.map(|place| open[place])
    }

    fn send(&mut self, request: u32, server: usize, gateway: usize, now: u64) {
        if self.suspect(request) > 0 {
            self.servers[server].suspects.insert(request, gateway);
        }
        self.requests[request as usize].tries += 1;
        let run = self.servers[server].run;
        self.servers[server].requests.insert(request);
        if self.requests[request as usize].guilty {
            self.at(now + RUN_MS, Event::End(server, run));
        } else {
            let time = self.rng.random_range(SERVICE_MS);
            self.at(now + time, Event::Finish(request, server, run));
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
            self.at(now + self.plan.news_ms, Event::News(request, run, true));
        }
        self.caller(false, now);
    }

    fn end(&mut self, server: usize, run: u64, now: u64) {
        if self.servers[server].run != run || self.servers[server].away {
            return;
        }
        self.outcome.ended += 1;
        self.servers[server].away = true;
        self.at(now + AWAY_MS, Event::Back(server));
        let requests = std::mem::take(&mut self.servers[server].requests);
        let suspects = std::mem::take(&mut self.servers[server].suspects);
        let proven = suspects.keys().next().copied().filter(|_| suspects.len() == 1);
        if let Some(proven) = proven {
            self.requests[proven as usize].proven = true;
        }
        self.odds.end(&requests);
        for request in requests {
            let own = &mut self.requests[request as usize];
            self.outcome.cut += u64::from(!own.guilty && own.cut_at.is_none());
            own.cut_at.get_or_insert(now);
            if self.plan.way != Way::Proof || proven.is_none() {
                self.at(now + self.plan.news_ms, Event::News(request, run, false));
            }
            self.ask(request, now + RETURN_MS);
        }
    }

    fn hear(&mut self, request: u32, run: u64, survived: bool, now: u64) {
        let own = &mut self.requests[request as usize];
        own.ends = if survived { 0 } else { own.ends + 1 };
        if survived {
            self.ledger.clear(digest(request));
            self.odds.survived(request);
            return;
        }
        let run = fleet::Run { id: run.to_string().into(), born: Some(run) };
        let at = moment(now - self.plan.news_ms);
        let item = Item { run, digest: digest(request), mark: Mark::Suspect, at };
        self.ledger.merge(&item, moment(now));
    }
}

/// Probability of each request that was on a server that ended to be guilty.
#[derive(Debug, Default)]
struct Odds(BTreeMap<u32, f64>);

impl Odds {
    fn of(&self, request: u32) -> f64 {
        self.0.get(&request).copied().unwrap_or(PRIOR.0)
    }

    /// A server ended under these: each is guilty by its own odds against those
    /// of all others together, and of the server itself.
    fn end(&mut self, requests: &BTreeSet<u32>) {
        let before: Vec<(u32, f64)> = requests.iter().map(|r| (*r, self.of(*r))).collect();
        for (request, own) in &before {
            let others = before.iter().filter(|(other, _)| other != request);
            let nobody = others.fold(1.0 - PRIOR.1, |nobody, (_, odds)| nobody * (1.0 - odds));
            let else_ends = 1.0 - nobody;
            self.0.insert(*request, own / (own + (1.0 - own) * else_ends));
        }
    }

    fn survived(&mut self, request: u32) {
        self.0.insert(request, 0.0);
    }

    fn refuses(&self, request: u32) -> bool {
        self.of(request) > SURE
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
    let days: Vec<Outcome> = (0..SEEDS).map(|seed| run(&Plan { seed, ..*plan })).collect();
    let mean =
        |of: &dyn Fn(&Outcome) -> u64| days.iter().map(of).sum::<u64>() as f64 / days.len() as f64;
    let most = |of: &dyn Fn(&Outcome) -> u64| days.iter().map(of).max().unwrap_or(0);
    let known: Option<Vec<u64>> = days.iter().map(|day| day.known_ms).collect();
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
        mean(&|day| day.ended),
        most(&|day| day.ended),
        mean(&|day| day.cut),
        mean(&|day| day.refused),
        most(&|day| day.refused),
        most(&|day| day.tries),
        most(&|day| day.delay_ms),
        known.map_or("-".to_owned(), |ms| ms.to_string())
    );
}
