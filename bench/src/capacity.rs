//! The slopes that `docs/CAPACITY.md` is worked out from.

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
    // Five bytes of gRPC and nine of HTTP/2 framing come to each message.
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

/// Bytes that gRPC and HTTP/2 add to a message.
const FRAMING: usize = 14;

fn machine(servers: u32) -> balancer::Balancer<loftcove_decision::routing::policy::Blend> {
    let rng = rand_chacha::ChaCha8Rng::seed_from_u64(1);
    let mut machine = balancer::Balancer::new(routing::chosen(rng), &balancer::Options::default());
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
    machine.list((0..servers).map(listing).collect(), now);
    for server in 0..servers {
        let server = entity::Server::from_u32(server);
        machine.set_connected(server, true, now);
        machine.report(server, report(1), now);
    }
    machine
}

fn report(sequence: u64) -> server::Report {
    server::Report { incarnation: 1, sequence, slots: 32, alive: true, ..server::Report::default() }
}

fn balancer_times() {
    const ROUNDS: u32 = 20_000;
    for servers in [16, 135, 525, 4_200] {
        let mut machine = machine(servers);
        let mut now = clock::Instant::ZERO;
        let began = Instant::now();
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
            let (ticket, _) = machine.arrive(arrival, now);
            machine.end(ticket, balancer::End::Answered, now);
        }
        let request = began.elapsed() / ROUNDS;
        let began = Instant::now();
        for round in 0..ROUNDS {
            let server = entity::Server::from_u32(round % servers);
            machine.report(server, report(2 + u64::from(round)), now);
        }
        let report = began.elapsed() / ROUNDS;
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
    let began = Instant::now();
    for number in 0..1_000 {
        queue.push(waiter(number), clock::Instant::ZERO).unwrap_or_default();
    }
    while queue.pop(entity::Pool::from_u32(0)).is_some() {}
    println!("queue of 1000 from 790 teams, push and pop={:?} each", began.elapsed() / 1_000);
}

fn memory() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|field| field.parse::<u64>().ok());
    pages.unwrap_or(0) * 4_096
}

fn key_memory() {
    const KEYS: u64 = 200_000;
    let me = table::Holder { host: "host".into(), incarnation: 1 };
    let rules = keeper::Rules {
        lease: Duration::from_secs(3_600),
        grace: Duration::from_secs(3_600),
        skew: Duration::from_secs(1),
        window: Duration::from_secs(3_600),
        capacity: usize::MAX,
    };
    let mut keeper = keeper::Keeper::new(me.clone(), rules);
    let entry = table::Entry { home: me, witness: None, epoch: 1, way: table::Way::Settled };
    let table = table::Table { nonce: String::new(), slots: vec![entry] };
    let wall = clock::Wall::from_millis(1_800_000_000_000);
    keeper.confirm(1, table, clock::Instant::ZERO, wall);
    let before = memory();
    let began = Instant::now();
    for number in 0..KEYS {
        let time = uuid::Timestamp::from_unix(uuid::NoContext, 1_799_999_999, number as u32);
        let key = key::Key::new(uuid::Uuid::new_v7(time)).expect("it is a UUIDv7");
        let claim = keeper::Claim { key, fingerprint: number, token: u128::from(number) };
        let standing = keeper.claim(claim, clock::Instant::ZERO, wall);
        assert_eq!(standing, keeper::Standing::Granted);
    }
    let each = (memory() - before) / KEYS;
    println!("home claim={:?} memory per key={each} bytes", began.elapsed() / KEYS as u32);
}

fn decision_times() {
    for (name, shape) in [("today", placement::TODAY), ("target", placement::TARGET)] {
        let mut source = drift::Source::new(drift::Drift::Mornings, shape, 1);
        let mut layout = layout::Layout::round_robin(shape);
        let mut policy = policy::Incremental::new(placement::rules(1.0, 1.0));
        let mut times = Vec::new();
        for number in 0..20 {
            let interval = source.interval(number, 20);
            let seen = policy::Observation { load: &interval.load, health: &interval.health };
            let began = Instant::now();
            let next = policy.decide(seen, &layout);
            times.push(began.elapsed());
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
