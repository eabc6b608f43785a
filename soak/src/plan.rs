//! Draws the faults and their times from a seed.

use std::time::Duration;

use rand::Rng as _;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng as _;

use crate::keys;

/// Maximum time between the starts of two faults. Most faults last longer, so that several overlap.
const MAX_INTERVAL_MS: u64 = 900;
/// Range of the duration of a fault.
const DURATION_MS: std::ops::Range<u64> = 200..3_500;
/// Mean time between two silences of a link or the store.
const SILENCE_INTERVAL: Duration = Duration::from_millis(1_500);
/// Value that is XORed with the seed for silences. They are drawn from a separate generator, so
/// that older seeds still draw the same other faults as before silences were added.
const SILENCE_SEED: u64 = 0x51;
/// Mean time between two invalid or new entries.
const ENTRY_INTERVAL: Duration = Duration::from_millis(2_000);
/// Value like [`SILENCE_SEED`] for entries.
const ENTRY_SEED: u64 = 0xe7;
/// Mean time between two callers whose request ends servers.
const POISON_INTERVAL: Duration = Duration::from_millis(4_000);
/// Value like [`SILENCE_SEED`] for these callers.
const POISON_SEED: u64 = 0xde;
/// Mean time between two callers whose requests share a part of their prompts that ends servers.
const PART_INTERVAL: Duration = Duration::from_millis(6_000);
/// Value like [`SILENCE_SEED`] for these callers.
const PART_SEED: u64 = 0x9c;
/// Number of requests of such a caller. [`POISON_PAUSE`] is the time between two of them: by then,
/// servers that ended have restarted, and their entries have the new start.
pub const POISON_TRIES: u32 = 9;
/// Time between two requests of a caller; see [`POISON_TRIES`].
const POISON_PAUSE: Duration = Duration::from_millis(850);

/// Mean time between two servers that request rest or announce that they are leaving.
const NOTICE_INTERVAL: Duration = Duration::from_millis(1_200);
/// Value like [`SILENCE_SEED`] for these notices.
const NOTICE_SEED: u64 = 0xb5;
/// Rests that servers request when they shed requests: seconds, an invalid value, or none. Some
/// rests outlast the fault, but none outlasts the time until the system must have recovered.
const RESTS: [&str; 8] = ["0.2", "0.7", "1.5", "2", "3", "8", "soon", ""];

/// Mean time between two servers that announce a rate limit.
const LIMIT_INTERVAL: Duration = Duration::from_millis(2_500);
/// Value like [`SILENCE_SEED`] for these limits.
const LIMIT_SEED: u64 = 0x17;
/// Range of the time for which a server announces its limit. Gateways must apply the limit within
/// three seconds, and requests are counted over four seconds.
const LIMIT_DURATION_MS: std::ops::Range<u64> = 3_500..9_000;
/// Limits that servers announce: requests per second, or an invalid value.
const LIMITS: [&str; 8] = ["0.2", "1", "1", "3", "10", "0", "1e9", "soon"];

/// Mean time between two losses of a part of the store's history.
const LOSS_INTERVAL: Duration = Duration::from_millis(5_000);
/// Range of the age of the copy from which the store restarts, which is the history that is lost.
const LOSS_MS: std::ops::Range<u64> = 300..3_000;
/// Value like [`SILENCE_SEED`] for losses.
const LOSS_SEED: u64 = 0x3a;

/// Mean time between two spans in which servers end responses early.
const ENDING_INTERVAL: Duration = Duration::from_millis(2_500);
/// Value like [`SILENCE_SEED`] for these spans.
const ENDING_SEED: u64 = 0x62;

/// Mean time between two restarts that overlap with the previous process, signals or other users of
/// the ports.
const START_INTERVAL: Duration = Duration::from_millis(1_000);
/// Value like [`SILENCE_SEED`] for these restarts.
const START_SEED: u64 = 0x74;
/// Range of the time from SIGTERM to the start of the next process. A gateway that is idle stops
/// for seconds, and a sidecar for milliseconds.
const GATEWAY_OVERLAP_MS: std::ops::Range<u64> = 0..2_500;
const SIDECAR_OVERLAP_MS: std::ops::Range<u64> = 0..30;
/// Range of the time from the start of a process to SIGTERM.
const EARLY_STOP_MS: std::ops::Range<u64> = 0..300;
/// Range of the time from the start of a process until another user of its port releases it.
const OCCUPIED_MS: std::ops::Range<u64> = 100..900;

/// Position of the layer number in the seed of a layer. It is above the bits of the seeds that the
/// command line draws, and above those of the XORed values such as [`SILENCE_SEED`].
const LAYER_SHIFT: u32 = 40;

/// Size of the system, and the time for which faults are injected.
#[derive(Debug, Clone, Copy)]
pub struct Size {
    /// Number of gateways.
    pub gateways: u8,
    /// Number of ranks of lock-step groups, each with a sidecar.
    pub ranks: u8,
    /// Number of plain servers.
    pub plain: u8,
    /// Number of clients.
    pub clients: u32,
    /// Time for which faults are injected.
    pub time: Duration,
}

/// A process of loftcove.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Process {
    /// A gateway by its number.
    Gateway(u8),
    /// A sidecar by its rank.
    Sidecar(u8),
}

/// Fault of a link, which the proxy injects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Harm {
    /// Closes connections.
    Cut,
    /// Resets connections.
    Reset,
    /// Holds the data of both directions until the fault ends.
    Silence,
    /// Drops the answers.
    LoseAnswers,
    /// Delays each part of the data by this number of milliseconds.
    Delay(u64),
}

/// Link whose open connections are silenced.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Link {
    /// Connections of a process to the store.
    Store(Process),
    /// Connections of drivers to a sidecar, by its rank.
    Sidecar(u8),
    /// Connections to the engine of a rank.
    Rank(u8),
    /// Connections to a plain server.
    Plain(u8),
}

/// Fault of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Store {
    /// The store never answers the calls that arrive.
    Silent,
    /// The store rejects every call.
    Down,
    /// The store answers every call slowly.
    Slow,
    /// The store does one write and loses the answer.
    LoseWrite,
    /// The store discards its history of changes.
    Compact,
    /// The store rejects the calls of one gateway.
    Deny(u8),
}

/// A fault, or a change that an operator or a backend server makes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// A process is killed, and restarted later.
    Kill(Process),
    /// A process is suspended for a while.
    Pause(Process),
    /// A planned stop. The process is restarted after it has exited.
    Stop(Process),
    /// A process is killed, and the next one starts without waiting for the end of the killed one.
    Replace(Process),
    /// A planned stop. The next process starts while the stop lasts, and both receive the signal to
    /// reload their settings.
    Overlap(Process),
    /// A process is killed and restarted. The new one receives the signal to reload its settings
    /// as soon as it handles it, and soon after that is stopped as in [`Fault::Overlap`].
    Early(Process),
    /// A process is killed and restarted while another program uses one of its ports.
    Occupy {
        /// The process.
        process: Process,
        /// Index of the port among those of the process, modulo their number.
        port: u8,
        /// Whether the other program listens on the port. Otherwise, it is the local port of an
        /// outgoing connection.
        listens: bool,
    },
    /// A host freezes: its sidecar is suspended, and its engine is unreachable.
    Freeze(u8),
    /// A process receives the signal to reload its settings.
    Reload(Process),
    /// Connections to a backend server have a fault.
    Server {
        /// Whether the server is a rank of the group, and not a plain server.
        rank: bool,
        /// Number of the server.
        number: u8,
        /// Fault of the connections.
        harm: Harm,
    },
    /// Connections of one gateway to the store have a fault.
    StoreLink {
        /// Number of the gateway.
        gateway: u8,
        /// Fault of the connections.
        harm: Harm,
    },
    /// Data on open connections is dropped for good, and they stay open. New connections work.
    Silence(Link),
    /// The store has a fault.
    Store(Store),
    /// A copy of the store is taken, from which the store restarts later.
    Lose,
    /// Orders to engines are lost or delayed at fixed intervals.
    Orders,
    /// The group breaks, and forms again.
    Break,
    /// Demand shifts to other experts.
    Shift(u16),
    /// A new configuration with another key of the team is put in force.
    Configure,
    /// The entry of a plain server is `draining`, and later `ready` again.
    Drain(u8),
    /// The entry of a plain server is removed, and written again later.
    Unlist(u8),
    /// A plain server restarts under its id, by its entry. Its connections are reset.
    Restart(u8),
    /// Entries of another writer are added, and removed later.
    Foreign,
    /// A caller sends a gateway a request that ends the server on which it runs.
    Poison {
        /// Number of the caller.
        caller: u8,
        /// Gateway to which it sends this request.
        gateway: u8,
        /// Whether the request runs on a rank, and not on a plain server.
        rank: bool,
    },
    /// A caller sends a gateway a request with a part of a prompt that ends the server on which it
    /// runs. No two of its requests are alike.
    Part {
        /// Number of the caller.
        caller: u8,
        /// Number of the request.
        number: u32,
        /// Gateway to which it sends this request.
        gateway: u8,
        /// Whether the request runs on a rank, and not on a plain server.
        rank: bool,
    },
    /// A server sheds every `each`-th request, and requests rest.
    Shed {
        /// Whether the server is a rank of the group, and not a plain server.
        rank: bool,
        /// Number of the server.
        number: u8,
        /// Interval of the shed requests.
        each: u8,
        /// Value of the header that requests rest.
        rest: &'static str,
    },
    /// A server announces a rate limit in its answers.
    Limit {
        /// Whether the server is a rank of the group, and not a plain server.
        rank: bool,
        /// Number of the server.
        number: u8,
        /// Value of the header with the limit.
        rate: &'static str,
    },
    /// A plain server announces in its answers that it is leaving, but not by its entry in the
    /// store. At the end of the fault it restarts.
    Leave(u8),
    /// Servers send responses with any framing, and end some of them early in any way.
    Endings,
    /// Another writer replaces the entry of a plain server by an invalid one, until the server
    /// writes it again.
    Spoil(u8),
    /// Keys and malformed items of another writer are added, and removed later.
    Keys(keys::Batch),
}

impl Fault {
    /// Returns the name of the kind, which the command line uses.
    pub fn name(&self) -> &'static str {
        match self {
            Fault::Kill(_) => "kill",
            Fault::Pause(_) => "pause",
            Fault::Stop(_) => "stop",
            Fault::Replace(_) => "replace",
            Fault::Overlap(_) => "overlap",
            Fault::Early(_) => "early",
            Fault::Occupy { .. } => "occupy",
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
            Fault::Part { .. } => "part",
            Fault::Shed { .. } => "shed",
            Fault::Limit { .. } => "limit",
            Fault::Leave(_) => "leave",
            Fault::Endings => "endings",
            Fault::Spoil(_) => "spoil",
            Fault::Keys(_) => "keys",
        }
    }
}

/// A fault with its time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Event {
    /// Time of its start, since the start of the faults.
    pub at: Duration,
    /// Duration of the fault.
    pub lasts: Duration,
    /// The fault.
    pub fault: Fault,
}

/// Returns the faults of a seed in the order of their starts.
pub fn draw(seed: u64, size: &Size) -> Vec<Event> {
    let mut events = faults(seed, size);
    events.extend(silences(seed, size));
    events.extend(entries(seed, size));
    events.extend(poisons(seed, size));
    events.extend(notices(seed, size));
    events.extend(limits(seed, size));
    events.extend(losses(seed, size));
    events.extend(endings(seed, size));
    events.extend(parts(seed, size));
    events.extend(starts(seed, size));
    events.extend(keys::draw(seed, size));
    events.sort_by_key(|event| event.at);
    events
}

/// Returns the faults of a seed that are of some kinds, by [`Fault::name`], `times` times as often
/// as in [`draw`].
pub fn draw_kinds(seed: u64, size: &Size, kinds: &[String], times: u32) -> Vec<Event> {
    let seeds = (0..times).map(|layer| seed ^ (u64::from(layer) << LAYER_SHIFT));
    let mut events: Vec<Event> = seeds.flat_map(|seed| draw(seed, size)).collect();
    events.retain(|event| kinds.iter().any(|kind| kind == event.fault.name()));
    events.sort_by_key(|event| event.at);
    events
}

/// Returns the faults of a seed without those of some kinds, by [`Fault::name`]. If the kinds that
/// were added later are excluded, an old seed has the same faults as when it was first run.
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
        let lasts = Duration::from_millis(rng.random_range(DURATION_MS));
        let fault = silence(&mut rng, size);
        events.push(Event { at, lasts, fault });
        // Right after a new configuration all watches are reopened, while the store is silent.
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
        let lasts = Duration::from_millis(rng.random_range(DURATION_MS));
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

/// Draws servers that request rest or announce that they are leaving.
fn notices(seed: u64, size: &Size) -> Vec<Event> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ NOTICE_SEED);
    let count = (size.time.as_secs_f64() / NOTICE_INTERVAL.as_secs_f64()).ceil() as usize;
    let mut events = Vec::new();
    for _ in 0..count {
        let at = size.time.mul_f64(rng.random_range(0.0..1.0));
        let lasts = Duration::from_millis(rng.random_range(DURATION_MS));
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

/// Draws servers that announce a rate limit.
fn limits(seed: u64, size: &Size) -> Vec<Event> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ LIMIT_SEED);
    let count = (size.time.as_secs_f64() / LIMIT_INTERVAL.as_secs_f64()).ceil() as usize;
    let mut events = Vec::new();
    for _ in 0..count {
        let at = size.time.mul_f64(rng.random_range(0.0..1.0));
        let lasts = Duration::from_millis(rng.random_range(LIMIT_DURATION_MS));
        let rank = rng.random_bool(0.5);
        let number = rng.random_range(0..if rank { size.ranks } else { size.plain });
        let rate = LIMITS[rng.random_range(0..LIMITS.len())];
        events.push(Event { at, lasts, fault: Fault::Limit { rank, number, rate } });
    }
    events
}

/// Draws losses of a part of the store's history.
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

/// Draws restarts that overlap with the previous process, signals or other users of the ports.
fn starts(seed: u64, size: &Size) -> Vec<Event> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ START_SEED);
    let count = (size.time.as_secs_f64() / START_INTERVAL.as_secs_f64()).ceil() as usize;
    let mut events = Vec::new();
    for _ in 0..count {
        let at = size.time.mul_f64(rng.random_range(0.0..1.0));
        let process = process(&mut rng, size);
        let overlap_ms = match process {
            Process::Gateway(_) => GATEWAY_OVERLAP_MS,
            Process::Sidecar(_) => SIDECAR_OVERLAP_MS,
        };
        let (fault, ms) = match rng.random_range(0..4) {
            0 => (Fault::Replace(process), 0..1),
            1 => (Fault::Overlap(process), overlap_ms),
            2 => (Fault::Early(process), EARLY_STOP_MS),
            _ => {
                let (port, listens) = (rng.random_range(0..4), rng.random_bool(0.5));
                (Fault::Occupy { process, port, listens }, OCCUPIED_MS)
            }
        };
        let lasts = Duration::from_millis(rng.random_range(ms));
        events.push(Event { at, lasts, fault });
    }
    events
}

/// Draws spans in which servers end responses early.
fn endings(seed: u64, size: &Size) -> Vec<Event> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ ENDING_SEED);
    let count = (size.time.as_secs_f64() / ENDING_INTERVAL.as_secs_f64()).ceil() as usize;
    let mut event = |_| {
        let at = size.time.mul_f64(rng.random_range(0.0..1.0));
        let lasts = Duration::from_millis(rng.random_range(DURATION_MS));
        Event { at, lasts, fault: Fault::Endings }
    };
    (0..count).map(&mut event).collect()
}

/// Draws callers that send the same request to one gateway after the other.
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

/// Draws callers that send requests with one part in their prompts to one gateway after the other.
fn parts(seed: u64, size: &Size) -> Vec<Event> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ PART_SEED);
    let count = (size.time.as_secs_f64() / PART_INTERVAL.as_secs_f64()).ceil() as u8;
    let mut events = Vec::new();
    for caller in 0..count {
        let mut at = size.time.mul_f64(rng.random_range(0.0..0.3));
        let rank = rng.random_bool(0.5);
        for number in 0..POISON_TRIES {
            let gateway = rng.random_range(0..size.gateways);
            let fault = Fault::Part { caller, number, gateway, rank };
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
        at += Duration::from_millis(rng.random_range(0..MAX_INTERVAL_MS));
        if at >= size.time {
            return events;
        }
        let lasts = Duration::from_millis(rng.random_range(DURATION_MS));
        let fault = fault(&mut rng, size);
        events.push(Event { at, lasts, fault });
        // Series: the same fault again, while the first one lasts.
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
