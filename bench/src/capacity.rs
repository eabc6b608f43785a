//! Measures the slopes from which `docs/CAPACITY.md` is calculated: sizes, times and memory per
//! unit.

use std::time::{Duration, Instant};

use loftcove_decision::home::{keeper, key, table};
use loftcove_decision::map::record;
use loftcove_decision::placement::policy::Policy as _;
use loftcove_decision::placement::{layout, policy};
use loftcove_decision::routing::server;
use loftcove_decision::{admission, balancer, clock, entity};
use loftcove_wire as wire;
use prost::Message as _;
use rand_chacha::rand_core::SeedableRng as _;

use crate::{drift, placement, routing};

/// Prints all slopes.
pub fn print() {
    sizes();
    balancer_times();
    key_memory();
    decision_times();
}

/// Prints the sizes of messages and records.
fn sizes() {
    let report = wire::Report {
        incarnation: 1_764_000_000_000_000,
        running: 20,
        queued: 3,
        slots: 32,
        step_us: 25_000,
        leaving: false,
        generation: 9_500,
        epoch: 300,
        sequence: 100_000,
        alive: true,
    };
    // Framing adds 5 bytes of gRPC and 9 bytes of HTTP/2 to each message.
    println!("report bytes={}", report.encoded_len() + FRAMING);
    let version = |kind: wire::Kind| wire::Version { kind: kind.into(), revision: 1_000_000 };
    let kinds = [wire::Kind::Bundle, wire::Kind::Hosts, wire::Kind::Homes];
    let offer = wire::Offer {
        host: "entry-sala-braga-0".to_owned(),
        versions: kinds.into_iter().map(version).collect(),
    };
    println!("offer bytes={}", offer.encoded_len() + FRAMING);
    let shape = placement::TARGET;
    let map = record::Map { epoch: record::Epoch(1), layout: layout::Layout::round_robin(shape) };
    let json = serde_json::to_vec(&map).map_or(0, |json| json.len());
    println!("map bytes={json} at 60 layers of 256 experts");
    let candidates: Vec<table::Candidate> = (0..12)
        .map(|number| table::Candidate {
            host: format!("host-{number:04}").into(),
            zone: format!("zone-{}", number % 4).into(),
        })
        .collect();
    let homes = table::Table::found(&candidates, 64, "0".repeat(32));
    let json = serde_json::to_vec(&homes).map_or(0, |json| json.len());
    println!("homes bytes={json} at 64 slots");
}

/// Bytes that gRPC and HTTP/2 framing add to a message.
const FRAMING: usize = 14;

/// Returns a balancer with that many connected servers.
fn balancer(servers: u32) -> balancer::Balancer<loftcove_decision::routing::policy::Blend> {
    let rng = rand_chacha::ChaCha8Rng::seed_from_u64(1);
    let mut balancer =
        balancer::Balancer::new(routing::daemon_policy(rng), &balancer::Options::default());
    let listing = |server: u32| server::Listing {
        host: format!("server{server:05}").into(),
        born: None,
        status: None,
        pool: entity::Pool::from_u32(0),
        group: None,
        zone: "norte".into(),
        local: true,
        leaving: false,
        drained: false,
        cold: None,
    };
    let now = clock::Instant::ZERO;
    balancer.list((0..servers).map(listing).collect(), now);
    for server in 0..servers {
        let server = entity::Server::from_u32(server);
        balancer.set_connected(server, true, now);
        balancer.report(server, report(1), now);
    }
    balancer
}

fn report(sequence: u64) -> server::Report {
    server::Report { incarnation: 1, sequence, slots: 32, alive: true, ..server::Report::default() }
}

/// Prints the times of a request and a report in the balancer, and of the admission queue.
fn balancer_times() {
    const ROUNDS: u32 = 20_000;
    for servers in [16, 135, 525, 4_200] {
        let mut balancer = balancer(servers);
        let mut now = clock::Instant::ZERO;
        let start = Instant::now();
        for round in 0..ROUNDS {
            now = now + Duration::from_micros(100);
            let arrival = balancer::Arrival {
                pool: entity::Pool::from_u32(0),
                team: entity::Team::from_u32(round % 790),
                precedence: round % 3,
                repeatable: true,
                resumable: false,
                max_attempts: loftcove_decision::retry::MAX_ATTEMPTS,
                deadline: now + Duration::from_secs(10),
                expires: now + Duration::from_secs(10),
                begin_by: None,
                prefix: u64::from(round % 64) + 1,
                suspect: None,
            };
            let (ticket, _) = balancer.arrive(arrival, now);
            balancer.end(ticket, balancer::End::Answered, now);
        }
        let request = start.elapsed() / ROUNDS;
        let start = Instant::now();
        for round in 0..ROUNDS {
            let server = entity::Server::from_u32(round % servers);
            balancer.report(server, report(2 + u64::from(round)), now);
        }
        let report = start.elapsed() / ROUNDS;
        println!("balancer servers={servers} request={request:?} report={report:?}");
    }
    let mut queue = admission::Queue::new(1_024, Duration::from_secs(1));
    let waiter = |number: u32| admission::Waiter {
        ticket: entity::Ticket::from_u32(number),
        pool: entity::Pool::from_u32(0),
        team: entity::Team::from_u32(number % 790),
        precedence: number % 3,
        deadline: clock::Instant::from_millis(1_000_000),
        expires: clock::Instant::from_millis(1_000_000),
        since: clock::Instant::ZERO,
    };
    let start = Instant::now();
    for number in 0..1_000 {
        queue.push(waiter(number), clock::Instant::ZERO).unwrap_or_default();
    }
    while queue.pop(entity::Pool::from_u32(0)).is_some() {}
    println!("queue of 1000 from 790 teams, push and pop={:?} each", start.elapsed() / 1_000);
}

/// Returns the resident memory of this process, bytes, with pages of 4 KiB.
fn memory() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|field| field.parse::<u64>().ok());
    pages.unwrap_or(0) * 4_096
}

/// Prints the time of a claim at a home, and the memory per claimed key.
fn key_memory() {
    const KEYS: u64 = 200_000;
    let holder = table::Holder { host: "host".into(), incarnation: 1 };
    let rules = keeper::Rules {
        lease: Duration::from_secs(3_600),
        grace: Duration::from_secs(3_600),
        skew: Duration::from_secs(1),
        window: Duration::from_secs(3_600),
        capacity: usize::MAX,
    };
    let mut keeper = keeper::Keeper::new(holder.clone(), rules);
    let entry = table::Entry { home: holder, witness: None, epoch: 1, way: table::Way::Settled };
    let table = table::Table { nonce: String::new(), slots: vec![entry] };
    let wall = clock::Wall::from_millis(1_800_000_000_000);
    keeper.confirm(1, table, clock::Instant::ZERO, wall);
    let before = memory();
    let start = Instant::now();
    for number in 0..KEYS {
        let time = uuid::Timestamp::from_unix(uuid::NoContext, 1_799_999_999, number as u32);
        let key = key::Key::new(uuid::Uuid::new_v7(time)).expect("the UUID is version 7");
        let claim = keeper::Claim { key, fingerprint: number, token: u128::from(number) };
        let standing = keeper.claim(claim, clock::Instant::ZERO, wall);
        assert_eq!(standing, keeper::Standing::Granted);
    }
    let per_key = (memory() - before) / KEYS;
    println!("home claim={:?} memory per key={per_key} bytes", start.elapsed() / KEYS as u32);
}

/// Prints the times of placement decisions.
fn decision_times() {
    for (name, shape) in [("today", placement::TODAY), ("target", placement::TARGET)] {
        let mut source = drift::Source::new(drift::Drift::Mornings, shape, 1);
        let mut layout = layout::Layout::round_robin(shape);
        let mut policy = policy::Incremental::new(placement::rules(1.0, 1.0));
        let mut times = Vec::new();
        for number in 0..20 {
            let interval = source.interval(number, 20);
            let observation =
                policy::Observation { load: &interval.load, health: &interval.health };
            let start = Instant::now();
            let next = policy.decide(observation, &layout);
            times.push(start.elapsed());
            layout = next.unwrap_or(layout);
        }
        let first = times[0];
        times.sort();
        println!(
            "placement size={name} first={first:?} median={:?} worst={:?}",
            times[10], times[19]
        );
    }
}
