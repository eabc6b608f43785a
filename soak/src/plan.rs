//! Which faults come when, drawn from a seed.

use std::time::Duration;

use rand::Rng as _;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng as _;

/// Longest pause between the beginnings of two faults; they last longer than
/// that, so that several are there at a time.
const LONGEST_PAUSE_MS: u64 = 900;
/// Shortest and longest time that a fault lasts.
const LASTS_MS: std::ops::Range<u64> = 200..3_500;
/// Time between two silences, on average.
const SILENCE_INTERVAL: Duration = Duration::from_millis(1_500);
/// What the seed of silences differs by. They are drawn beside the other faults,
/// so that seeds that were kept before there were silences still mean the same.
const SILENCE_SEED: u64 = 0x51;
/// Time between two strange or new entries, on average.
const ENTRY_INTERVAL: Duration = Duration::from_millis(2_000);
/// The same for entries as [`SILENCE_SEED`] for silences.
const ENTRY_SEED: u64 = 0xe7;
/// Time between two callers of a request that ends its servers, on average.
const POISON_INTERVAL: Duration = Duration::from_millis(4_000);
/// The same for these callers as [`SILENCE_SEED`] for silences.
const POISON_SEED: u64 = 0xde;
/// Times that such a caller asks, and the time between two: servers that ended
/// are back after that, and their entries tell a new start.
pub const POISON_TRIES: u32 = 9;
/// See [`POISON_TRIES`].
const POISON_PAUSE: Duration = Duration::from_millis(850);

/// Time between two servers that ask for rest or say that they leave, on average.
const NOTICE_INTERVAL: Duration = Duration::from_millis(1_200);
/// The same for these servers as [`SILENCE_SEED`] for silences.
const NOTICE_SEED: u64 = 0xb5;
/// What servers that shed requests ask for: seconds, nonsense, nothing. Some
/// rests outlast the fault, none the time until all is well again.
const RESTS: [&str; 8] = ["0.2", "0.7", "1.5", "2", "3", "8", "soon", ""];

/// Time between two servers that name a rate limit, on average.
const LIMIT_INTERVAL: Duration = Duration::from_millis(2_500);
/// The same for these servers as [`SILENCE_SEED`] for silences.
const LIMIT_SEED: u64 = 0x17;
/// Shortest and longest time for which they name it: gateways have three seconds, and what
/// comes within four is counted.
const LIMIT_LASTS_MS: std::ops::Range<u64> = 3_500..9_000;
/// What they name: requests a second, nonsense.
const LIMITS: [&str; 8] = ["0.2", "1", "1", "3", "10", "0", "1e9", "soon"];

/// Time between two losses of a part of the store's history, on average, and how far back
/// the copy is that it comes back from.
const LOSS_INTERVAL: Duration = Duration::from_millis(5_000);
/// See [`LOSS_INTERVAL`].
const LOSS_MS: std::ops::Range<u64> = 300..3_000;
/// The same for losses as [`SILENCE_SEED`] for silences.
const LOSS_SEED: u64 = 0x3a;

/// Where the number of a layer stands in its seed: above the bits of seeds drawn by
/// the command line, and of what the layers of one seed differ by.
const LAYER_SHIFT: u32 = 40;

/// What runs.
#[derive(Debug, Clone, Copy)]
pub struct Size {
    /// Gateways.
    pub gateways: u8,
    /// Ranks of the group, each with a sidecar.
    pub ranks: u8,
    /// Plain servers.
    pub plain: u8,
    /// Clients.
    pub clients: u32,
    /// Time for which faults come.
    pub time: Duration,
}

/// One of our processes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Process {
    /// A gateway by its number.
    Gateway(u8),
    /// A sidecar by its rank.
    Sidecar(u8),
}

/// What the proxy does to a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Harm {
    /// Closes connections.
    Cut,
    /// Resets them.
    Reset,
    /// Silences them both ways.
    Silence,
    /// Silences one way: answers are lost.
    LoseAnswers,
    /// Delays each part by so many milliseconds.
    Delay(u64),
}

/// Whose open connections fall silent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Link {
    /// Those of a process to the store.
    Store(Process),
    /// Those of drivers to a sidecar, by its rank.
    Sidecar(u8),
    /// Those to a rank's engine.
    Rank(u8),
    /// Those to a plain server.
    Plain(u8),
}

/// How the store misbehaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Store {
    /// It never answers the calls that come.
    Silent,
    /// It refuses every call.
    Down,
    /// It takes long for every call.
    Slow,
    /// It does one write and loses the answer.
    LoseWrite,
    /// It forgets its history.
    Compact,
    /// It rejects the calls of one gateway.
    Deny(u8),
}

/// A fault, or a change that an operator or a backend server makes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// A process is killed, and started again later.
    Kill(Process),
    /// A process stands still for a while.
    Pause(Process),
    /// A planned stop; the process is started again when it has ended.
    Stop(Process),
    /// A host freezes: a sidecar stands still, and nobody reaches its engine.
    Freeze(u8),
    /// A process is told that its settings have changed.
    Reload(Process),
    /// Connections to a backend server are harmed: a rank, or a plain server.
    Server {
        /// Whether it is a rank of the group.
        rank: bool,
        /// Its number.
        number: u8,
        /// What happens to the connections.
        harm: Harm,
    },
    /// Connections of one gateway to the store are harmed.
    StoreLink {
        /// The gateway.
        gateway: u8,
        /// What happens to the connections.
        harm: Harm,
    },
    /// The connections that are open fall silent for good; new ones work.
    Silence(Link),
    /// The store misbehaves.
    Store(Store),
    /// A copy of the store is taken, from which it comes back.
    Lose,
    /// Of the orders to engines, each so-and-so-many-th is lost or late.
    Orders,
    /// The group breaks, and forms anew.
    Break,
    /// Demand shifts to other experts.
    Shift(u16),
    /// A configuration with another key of the team.
    Configure,
    /// A plain server says that it is leaving, and comes back.
    Drain(u8),
    /// A plain server's entry goes, and comes back.
    Unlist(u8),
    /// A plain server starts again under its id, by its entry: its connections
    /// are reset.
    Restart(u8),
    /// Another writer's entries come, and go.
    Foreign,
    /// A caller asks a gateway for what ends the server that runs it.
    Poison {
        /// Number of the caller.
        caller: u8,
        /// Gateway that it asks this time.
        gateway: u8,
        /// Whether a rank runs it, and not a plain server.
        rank: bool,
    },
    /// A server sheds each so-and-so-many-th request, and asks for rest.
    Shed {
        /// Whether it is a rank of the group.
        rank: bool,
        /// Its number.
        number: u8,
        /// Which requests it sheds.
        each: u8,
        /// What it asks for, as its header says it.
        rest: &'static str,
    },
    /// A server names a rate limit in its answers.
    Limit {
        /// Whether it is a rank of the group.
        rank: bool,
        /// Its number.
        number: u8,
        /// The limit, as its header says it.
        rate: &'static str,
    },
    /// A plain server says in its answers that it leaves, which the store does not
    /// tell; in the end it starts again.
    Leave(u8),
    /// Another writer spoils a plain server's entry, until the server writes it
    /// again.
    Spoil(u8),
}

impl Fault {
    /// Name of its kind, as the command line has it.
    pub fn name(&self) -> &'static str {
        match self {
            Fault::Kill(_) => "kill",
            Fault::Pause(_) => "pause",
            Fault::Stop(_) => "stop",
            Fault::Freeze(_) => "freeze",
            Fault::Reload(_) => "reload",
            Fault::Server { .. } => "server-link",
            Fault::StoreLink { .. } => "store-link",
            Fault::Silence(_) => "silence",
            Fault::Store(_) => "store",
            Fault::Lose => "lose",
            Fault::Orders => "orders",
            Fault::Break => "break",
            Fault::Shift(_) => "shift",
            Fault::Configure => "configure",
            Fault::Drain(_) => "drain",
            Fault::Unlist(_) => "unlist",
            Fault::Restart(_) => "restart",
            Fault::Foreign => "foreign",
            Fault::Poison { .. } => "poison",
            Fault::Shed { .. } => "shed",
            Fault::Limit { .. } => "limit",
            Fault::Leave(_) => "leave",
            Fault::Spoil(_) => "spoil",
        }
    }
}

/// A fault with its time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Event {
    /// When it begins, from the start of the faults.
    pub at: Duration,
    /// How long it lasts.
    pub lasts: Duration,
    /// What it is.
    pub fault: Fault,
}

/// The faults of a seed, in the order of their beginnings.
pub fn draw(seed: u64, size: &Size) -> Vec<Event> {
    let mut events = faults(seed, size);
    events.extend(silences(seed, size));
    events.extend(entries(seed, size));
    events.extend(poisons(seed, size));
    events.extend(notices(seed, size));
    events.extend(limits(seed, size));
    events.extend(losses(seed, size));
    events.sort_by_key(|event| event.at);
    events
}

/// The faults of a seed that are of some kinds, by [`Fault::name`], so many times
/// as often as in [`draw`].
pub fn draw_kinds(seed: u64, size: &Size, kinds: &[String], times: u32) -> Vec<Event> {
    let seeds = (0..times).map(|layer| seed ^ (u64::from(layer) << LAYER_SHIFT));
    let mut events: Vec<Event> = seeds.flat_map(|seed| draw(seed, size)).collect();
    events.retain(|event| kinds.iter().any(|kind| kind == event.fault.name()));
    events.sort_by_key(|event| event.at);
    events
}

/// The faults of a seed without those of some kinds, by [`Fault::name`]: kinds that were
/// added later are left out so that a seed is played as it once was.
pub fn draw_without(seed: u64, size: &Size, kinds: &[String]) -> Vec<Event> {
    let mut events = draw(seed, size);
    events.retain(|event| !kinds.iter().any(|kind| kind == event.fault.name()));
    events
}

fn silences(seed: u64, size: &Size) -> Vec<Event> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ SILENCE_SEED);
    let count = (size.time.as_secs_f64() / SILENCE_INTERVAL.as_secs_f64()).ceil() as usize;
    let mut events = Vec::new();
    for _ in 0..count {
        let at = size.time.mul_f64(rng.random_range(0.0..1.0));
        let lasts = Duration::from_millis(rng.random_range(LASTS_MS));
        let fault = silence(&mut rng, size);
        events.push(Event { at, lasts, fault });
        // Right after a change all watches are opened again.
        if fault == Fault::Store(Store::Silent) {
            events.push(Event { at, lasts, fault: Fault::Configure });
        }
    }
    events
}

fn entries(seed: u64, size: &Size) -> Vec<Event> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ ENTRY_SEED);
    let count = (size.time.as_secs_f64() / ENTRY_INTERVAL.as_secs_f64()).ceil() as usize;
    let mut events = Vec::new();
    for _ in 0..count {
        let at = size.time.mul_f64(rng.random_range(0.0..1.0));
        let lasts = Duration::from_millis(rng.random_range(LASTS_MS));
        let number = rng.random_range(0..size.plain);
        let fault = match rng.random_range(0..3) {
            0 => Fault::Restart(number),
            1 => Fault::Foreign,
            _ => Fault::Spoil(number),
        };
        events.push(Event { at, lasts, fault });
    }
    events
}

/// Servers that say something of their own near future.
fn notices(seed: u64, size: &Size) -> Vec<Event> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ NOTICE_SEED);
    let count = (size.time.as_secs_f64() / NOTICE_INTERVAL.as_secs_f64()).ceil() as usize;
    let mut events = Vec::new();
    for _ in 0..count {
        let at = size.time.mul_f64(rng.random_range(0.0..1.0));
        let lasts = Duration::from_millis(rng.random_range(LASTS_MS));
        let rank = rng.random_bool(0.5);
        let number = rng.random_range(0..if rank { size.ranks } else { size.plain });
        let each = rng.random_range(1..5);
        let rest = RESTS[rng.random_range(0..RESTS.len())];
        let leaves = !rank && rng.random_ratio(1, 3);
        let fault =
            if leaves { Fault::Leave(number) } else { Fault::Shed { rank, number, each, rest } };
        events.push(Event { at, lasts, fault });
    }
    events
}

/// Servers that name a rate limit.
fn limits(seed: u64, size: &Size) -> Vec<Event> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ LIMIT_SEED);
    let count = (size.time.as_secs_f64() / LIMIT_INTERVAL.as_secs_f64()).ceil() as usize;
    let mut events = Vec::new();
    for _ in 0..count {
        let at = size.time.mul_f64(rng.random_range(0.0..1.0));
        let lasts = Duration::from_millis(rng.random_range(LIMIT_LASTS_MS));
        let rank = rng.random_bool(0.5);
        let number = rng.random_range(0..if rank { size.ranks } else { size.plain });
        let rate = LIMITS[rng.random_range(0..LIMITS.len())];
        events.push(Event { at, lasts, fault: Fault::Limit { rank, number, rate } });
    }
    events
}

/// Losses of a part of the store's history.
fn losses(seed: u64, size: &Size) -> Vec<Event> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ LOSS_SEED);
    let count = (size.time.as_secs_f64() / LOSS_INTERVAL.as_secs_f64()).ceil() as usize;
    let mut event = |_| {
        let at = size.time.mul_f64(rng.random_range(0.0..1.0));
        let lasts = Duration::from_millis(rng.random_range(LOSS_MS));
        Event { at, lasts, fault: Fault::Lose }
    };
    (0..count).map(&mut event).collect()
}

/// Callers that ask the same at one gateway after the other.
fn poisons(seed: u64, size: &Size) -> Vec<Event> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ POISON_SEED);
    let count = (size.time.as_secs_f64() / POISON_INTERVAL.as_secs_f64()).ceil() as u8;
    let mut events = Vec::new();
    for caller in 0..count {
        let mut at = size.time.mul_f64(rng.random_range(0.0..0.3));
        let rank = rng.random_bool(0.5);
        for _ in 0..POISON_TRIES {
            let gateway = rng.random_range(0..size.gateways);
            let fault = Fault::Poison { caller, gateway, rank };
            events.push(Event { at, lasts: Duration::ZERO, fault });
            at += POISON_PAUSE;
        }
    }
    events
}

fn silence(rng: &mut ChaCha8Rng, size: &Size) -> Fault {
    match rng.random_range(0..6) {
        0 | 1 => Fault::Store(Store::Silent),
        2 | 3 => Fault::Silence(Link::Store(process(rng, size))),
        4 => Fault::Silence(Link::Sidecar(rng.random_range(0..size.ranks))),
        _ if rng.random_bool(0.5) => Fault::Silence(Link::Rank(rng.random_range(0..size.ranks))),
        _ => Fault::Silence(Link::Plain(rng.random_range(0..size.plain))),
    }
}

fn faults(seed: u64, size: &Size) -> Vec<Event> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut events = Vec::new();
    let mut at = Duration::ZERO;
    loop {
        at += Duration::from_millis(rng.random_range(0..LONGEST_PAUSE_MS));
        if at >= size.time {
            return events;
        }
        let lasts = Duration::from_millis(rng.random_range(LASTS_MS));
        let fault = fault(&mut rng, size);
        events.push(Event { at, lasts, fault });
        // Series: the same kind again, at once.
        if rng.random_ratio(1, 6) {
            let at = at + lasts / 3;
            events.push(Event { at, lasts, fault });
        }
    }
}

fn fault(rng: &mut ChaCha8Rng, size: &Size) -> Fault {
    match rng.random_range(0..22) {
        0..3 => Fault::Kill(process(rng, size)),
        3..6 => Fault::Pause(process(rng, size)),
        6..8 => Fault::Stop(process(rng, size)),
        8 => Fault::Reload(process(rng, size)),
        9..11 => server(rng, size),
        11 => Fault::StoreLink { gateway: rng.random_range(0..size.gateways), harm: harm(rng) },
        12 | 13 => Fault::Store(store(rng, size)),
        14 => Fault::Orders,
        15 => Fault::Break,
        16 => Fault::Shift(rng.random_range(0..16)),
        17 => Fault::Configure,
        18 | 19 => Fault::Freeze(rng.random_range(0..size.ranks)),
        20 => Fault::Drain(rng.random_range(0..size.plain)),
        _ => Fault::Unlist(rng.random_range(0..size.plain)),
    }
}

fn process(rng: &mut ChaCha8Rng, size: &Size) -> Process {
    if rng.random_bool(0.5) {
        Process::Gateway(rng.random_range(0..size.gateways))
    } else {
        Process::Sidecar(rng.random_range(0..size.ranks))
    }
}

fn server(rng: &mut ChaCha8Rng, size: &Size) -> Fault {
    let rank = rng.random_bool(0.5);
    let number = rng.random_range(0..if rank { size.ranks } else { size.plain });
    Fault::Server { rank, number, harm: harm(rng) }
}

fn harm(rng: &mut ChaCha8Rng) -> Harm {
    match rng.random_range(0..5) {
        0 => Harm::Cut,
        1 => Harm::Reset,
        2 => Harm::Silence,
        3 => Harm::LoseAnswers,
        _ => Harm::Delay(rng.random_range(5..400)),
    }
}

fn store(rng: &mut ChaCha8Rng, size: &Size) -> Store {
    match rng.random_range(0..5) {
        0 => Store::Down,
        1 => Store::Slow,
        2 => Store::LoseWrite,
        3 => Store::Compact,
        _ => Store::Deny(rng.random_range(0..size.gateways)),
    }
}
