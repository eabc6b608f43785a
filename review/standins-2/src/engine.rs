//! The model workers of one lock-step group, as PROTOCOL.md describes them, with one rank on each
//! machine. Streams are not played: each rank counts as having some.
//!
//! A machine that stands still answers nothing, and no pass begins meanwhile.

use std::collections::BTreeMap;
use std::io::{self, BufReader};
use std::net::{Ipv4Addr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use crate::http;
use crate::json::{self, Value};
use crate::process;
use crate::record::Record;

pub const RANKS: usize = 16;
pub const SETS: usize = 4;
pub const EXPERTS: usize = 64;
pub const PLACES: usize = 5;
pub const SPARE: usize = 2;
/// Port of each engine, at the address of its machine.
pub const PORT: u16 = 8_100;
/// Running streams that each rank reports.
const ACTIVE: u32 = 8;
/// Interval between two passes: some steps of 5.85 ms.
const PASS: Duration = Duration::from_millis(25);
/// Time for which a rank copies the experts of a map.
const COPY: Duration = Duration::from_millis(80);
/// Choices that the requests of a rank make in a pass and set.
const CHOICES: u64 = 256;

/// By set and rank, the experts.
type Map = Vec<Vec<Vec<u64>>>;

fn map_0() -> Map {
    let held = |rank: usize| (rank..EXPERTS).step_by(RANKS).map(|expert| expert as u64).collect();
    vec![(0..RANKS).map(held).collect(); SETS]
}

#[derive(Clone)]
struct Held {
    version: u64,
    map: Map,
}

struct Rank {
    held: Held,
    prepared: Option<Held>,
    copied: Option<Instant>,
    highest: u64,
    armed: Option<(u64, u64)>,
    hold: Option<u64>,
    seq: u64,
    counts: Vec<u64>,
    /// Whether the machine stands still.
    frozen: bool,
    /// The sidecar's process while the machine is cut off from the other machines of the system.
    cut_beside: Option<u32>,
}

struct State {
    pass: u64,
    ranks: Vec<Rank>,
    popular: usize,
    /// Passes that began while two ranks held different maps.
    mixed: u64,
    switches: u64,
    /// Kinds of the orders that were carried out, with their ranks and times.
    orders: Vec<(String, usize, Instant)>,
}

impl Rank {
    fn is_cut_from(&self, stream: &TcpStream) -> bool {
        self.cut_beside.is_some_and(|process| !process::connects(process, stream))
    }
}

#[derive(Clone)]
pub struct Group {
    state: Arc<(Mutex<State>, Condvar)>,
    record: Record,
}

/// Returns the address of a rank's machine.
pub fn machine(subnet: [u8; 2], rank: usize) -> Ipv4Addr {
    Ipv4Addr::new(127, subnet[0], subnet[1], 100 + rank as u8)
}

impl Group {
    pub fn start(subnet: [u8; 2], record: Record) -> io::Result<Group> {
        let rank = |_| Rank {
            held: Held { version: 0, map: map_0() },
            prepared: None,
            copied: None,
            highest: 0,
            armed: None,
            hold: None,
            seq: 0,
            counts: vec![0; SETS * EXPERTS],
            frozen: false,
            cut_beside: None,
        };
        let state = State {
            pass: 0,
            ranks: (0..RANKS).map(rank).collect(),
            popular: 0,
            mixed: 0,
            switches: 0,
            orders: Vec::new(),
        };
        let group = Group { state: Arc::new((Mutex::new(state), Condvar::new())), record };
        for rank in 0..RANKS {
            let listener = TcpListener::bind((machine(subnet, rank), PORT))?;
            let group = group.clone();
            std::thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let group = group.clone();
                    std::thread::spawn(move || group.serve(rank, stream).unwrap_or_default());
                }
            });
        }
        let passing = group.clone();
        std::thread::spawn(move || loop {
            std::thread::sleep(PASS);
            passing.begin_pass();
        });
        Ok(group)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().unwrap()
    }

    /// Makes four experts popular that map 0 places on one rank.
    pub fn set_popular(&self, rank: usize) {
        self.lock().popular = rank;
    }

    pub fn set_frozen(&self, rank: usize, frozen: bool) {
        self.lock().ranks[rank].frozen = frozen;
        self.state.1.notify_all();
    }

    /// Cuts the rank's machine off, so that only its own sidecar reaches its engine, or ends the cut.
    pub fn set_cut(&self, rank: usize, sidecar: Option<u32>) {
        self.lock().ranks[rank].cut_beside = sidecar;
        self.state.1.notify_all();
    }

    pub fn mixed(&self) -> u64 {
        self.lock().mixed
    }

    pub fn switches(&self) -> u64 {
        self.lock().switches
    }

    /// Waits until an order of this kind is carried out after `since`, and returns its rank.
    pub fn wait_for(&self, op: &str, since: Instant, limit: Duration) -> Option<usize> {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            let found = self
                .lock()
                .orders
                .iter()
                .find_map(|(kind, rank, at)| (kind == op && *at > since).then_some(*rank));
            if found.is_some() {
                return found;
            }
            std::thread::sleep(Duration::from_micros(200));
        }
        None
    }

    /// Waits until nothing but a hold keeps the next pass from beginning.
    pub fn wait_until_held(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            let state = self.lock();
            if state.ranks.iter().any(|rank| rank.hold == Some(state.pass + 1)) {
                return true;
            }
            drop(state);
            std::thread::sleep(Duration::from_micros(200));
        }
        false
    }

    /// Returns the time of the last order of any kind.
    pub fn last_order(&self) -> Option<Instant> {
        self.lock().orders.last().map(|(_, _, at)| *at)
    }

    fn begin_pass(&self) {
        let mut state = self.lock();
        let next = state.pass + 1;
        let held = state.ranks.iter().any(|rank| rank.hold == Some(next));
        if held || state.ranks.iter().any(|rank| rank.frozen) {
            return;
        }
        state.pass = next;
        let mut switched = 0;
        for rank in &mut state.ranks {
            if rank.armed.is_some_and(|(_, pass)| pass == next) {
                rank.armed = None;
                rank.held = rank.prepared.take().expect("an armed rank is prepared");
                switched += 1;
            }
        }
        let mut versions: BTreeMap<u64, Vec<usize>> = BTreeMap::new();
        for (number, rank) in state.ranks.iter().enumerate() {
            versions.entry(rank.held.version).or_default().push(number);
        }
        let first = &state.ranks[0].held;
        let same = state.ranks.iter().all(|rank| rank.held.map == first.map) && versions.len() == 1;
        if switched > 0 {
            state.switches += 1;
            self.record.line(&format!("pass {next} begins, {switched} ranks take another map"));
        }
        if !same {
            if state.mixed == 0 {
                self.record.line(&format!(
                    "MAP: pass {next} begins while ranks hold different maps, ranks by version: {versions:?}"
                ));
            }
            state.mixed += 1;
        }
        let popular = state.popular;
        for rank in &mut state.ranks {
            for set in 0..SETS {
                for index in 0..4 {
                    let expert = (popular + index * RANKS) % EXPERTS;
                    rank.counts[set * EXPERTS + expert] += CHOICES * 7 / 32;
                }
                for expert in 0..EXPERTS {
                    rank.counts[set * EXPERTS + expert] += CHOICES / 8 / 16;
                }
            }
        }
    }

    fn serve(&self, rank: usize, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut writer = stream;
        while let Some(head) = http::read_head(&mut reader)? {
            let body = http::read_body(&mut reader, &head)?;
            let mut state = self.lock();
            while state.ranks[rank].frozen || state.ranks[rank].is_cut_from(&writer) {
                state = self.state.1.wait(state).unwrap();
            }
            let target = head.first.split(' ').nth(1).unwrap_or_default();
            let (status, answer) = match target {
                "/v1/report" => (200, report(&state, rank)),
                "/v1/picked" => {
                    let counts: Vec<String> =
                        state.ranks[rank].counts.iter().map(u64::to_string).collect();
                    let (pass, counts) = (state.pass, counts.join(","));
                    (200, format!("{{\"step\":{pass},\"epoch\":1,\"counts\":[{counts}]}}"))
                }
                "/v1/order" => {
                    let order = json::parse(&String::from_utf8_lossy(&body));
                    (self.carry_out(&mut state, rank, &order.unwrap_or(Value::Other)), "{}".into())
                }
                _ if target.starts_with("/v1/picked?") => (200, lists(&state, rank)),
                _ => (404, "{}".to_owned()),
            };
            drop(state);
            http::write_json(&mut writer, status, &answer)?;
        }
        Ok(())
    }

    fn carry_out(&self, state: &mut State, rank: usize, order: &Value) -> u16 {
        let op = order.text("op").unwrap_or_default().to_owned();
        let status = apply(state, rank, &op, order);
        let numbers = (order.number("version"), order.number("step"));
        self.record.line(&format!("rank {rank} is ordered {op} {numbers:?}: {status}"));
        if status == 202 {
            state.ranks[rank].seq += 1;
            state.orders.push((op, rank, Instant::now()));
        }
        status
    }
}

fn apply(state: &mut State, rank: usize, op: &str, order: &Value) -> u16 {
    let pass = state.pass;
    let own = &mut state.ranks[rank];
    if order.number("epoch").is_some_and(|epoch| epoch != 1)
        || order.number("expected_rev").is_some_and(|seq| seq != own.seq)
    {
        return 409;
    }
    let (version, step) = (order.number("version"), order.number("step"));
    match (op, version, step) {
        ("prepare", Some(version), _) => {
            let map = map_of(order);
            let known = |set: usize, expert: &u64| own.held.map[set][rank].contains(expert);
            let fits = map.len() == SETS
                && map.iter().enumerate().all(|(set, ranks)| {
                    let new = ranks[rank].iter().filter(|expert| !known(set, expert)).count();
                    ranks.len() == RANKS && ranks[rank].len() <= PLACES && new <= SPARE
                });
            if version <= own.highest || own.armed.is_some() || !fits {
                return 409;
            }
            own.highest = version;
            own.prepared = Some(Held { version, map });
            own.copied = Some(Instant::now() + COPY);
            202
        }
        ("arm", Some(version), Some(step)) => {
            let copied = own.copied.is_some_and(|at| at <= Instant::now());
            let ready = own.prepared.as_ref().is_some_and(|held| held.version == version);
            if !ready || !copied || step <= pass {
                return 409;
            }
            own.armed = Some((version, step));
            202
        }
        ("disarm", Some(version), _) => match own.armed {
            _ if own.held.version == version => 409,
            Some((armed, _)) if armed == version => {
                own.armed = None;
                202
            }
            _ => 200,
        },
        ("hold", _, Some(step)) if step > pass && own.hold.is_none_or(|held| held == step) => {
            own.hold = Some(step);
            202
        }
        ("go", _, Some(step)) if own.hold == Some(step) => {
            own.hold = None;
            202
        }
        ("hold" | "go", _, _) => 409,
        _ => 400,
    }
}

fn map_of(order: &Value) -> Map {
    let numbers = |list: &Value| -> Vec<u64> {
        list.list()
            .iter()
            .filter_map(|v| if let Value::Number(n) = v { Some(*n) } else { None })
            .collect()
    };
    let sets = order.get("map").map_or(&[][..], Value::list);
    sets.iter().map(|ranks| ranks.list().iter().map(numbers).collect()).collect()
}

fn report(state: &State, rank: usize) -> String {
    let own = &state.ranks[rank];
    let copied = own.copied.is_some_and(|at| at <= Instant::now());
    let prepared = own.prepared.as_ref().filter(|_| copied).map(|held| held.version);
    let number = |number: Option<u64>| number.map_or("null".to_owned(), |n| n.to_string());
    let armed = own.armed.map_or("null".to_owned(), |(version, step)| {
        format!("{{\"version\":{version},\"step\":{step}}}")
    });
    format!(
        "{{\"stage\":\"both\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\
         \"group\":{{\"name\":\"g0\",\"epoch\":1,\"rank\":{rank},\"state\":\"open\"}},\
         \"size\":{RANKS},\"busy\":false,\"seq\":{},\"queued\":0,\"active\":{ACTIVE},\
         \"kv_used\":41000,\"kv_total\":372000,\"handles\":0,\"pace\":1.0,\"step\":{},\
         \"map\":{},\"prepared\":{},\"armed\":{armed},\"held\":{}}}",
        own.seq,
        state.pass,
        own.held.version,
        number(prepared),
        number(own.hold)
    )
}

fn lists(state: &State, rank: usize) -> String {
    let own = &state.ranks[rank];
    let list = |held: &Held| {
        let sets: Vec<String> =
            held.map.iter().map(|ranks| format!("{:?}", ranks[rank]).replace(' ', "")).collect();
        format!("{{\"version\":{},\"experts\":[{}]}}", held.version, sets.join(","))
    };
    let copied = own.copied.is_some_and(|at| at <= Instant::now());
    let prepared = own.prepared.as_ref().filter(|_| copied);
    let prepared = prepared.map_or("null".to_owned(), &list);
    format!("{{\"epoch\":1,\"map\":{},\"prepared\":{prepared}}}", list(&own.held))
}
