//! Streams on a rank that is too slow for a single stream are moved to other ranks.

#![allow(clippy::unwrap_used, reason = "a test that fails may panic")]

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use loftcove_decision::routing::{policy, server};
use loftcove_decision::{balancer, clock, entity, pass, poison};
use rand::Rng as _;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng as _;

const COST: pass::Cost = pass::Cost { step: 0.004_55, per_stream: 0.001_09, steps: 5.0 };
const SLOW: usize = 7;

fn group() -> entity::Group {
    entity::Group::from_u32(0)
}

fn pool() -> entity::Pool {
    entity::Pool::from_u32(0)
}

fn host(rank: usize) -> Arc<str> {
    format!("rank-{rank}").into()
}

fn stream(now: clock::Instant) -> balancer::Arrival {
    let due = now + Duration::from_secs(8);
    balancer::Arrival {
        pool: pool(),
        team: entity::Team::from_u32(0),
        precedence: 1,
        repeatable: true,
        resumable: true,
        max_attempts: 3,
        deadline: due,
        expires: due,
        begin_by: Some(due),
        prefix: 0,
        suspect: None,
    }
}

/// A gateway and what its balancer has asked for.
struct Gateway {
    balancer: balancer::Balancer<policy::Blend>,
    now: clock::Instant,
    sequence: u64,
    /// Rank of each stream in flight.
    streams: BTreeMap<entity::Ticket, usize>,
    moved: Vec<entity::Ticket>,
    refused: Vec<balancer::Refusal>,
}

impl Gateway {
    fn new(number: u32, of: u32) -> Gateway {
        let rng = ChaCha8Rng::seed_from_u64(u64::from(number));
        let policy = policy::Blend { rng, sample: 2, affinity_slack: 0.0 };
        // The budget begins with three retries, and each stream adds a tenth.
        let options = balancer::Options::default().retry_reserve(10.0).charge_full(true);
        let mut balancer = balancer::Balancer::new(policy, &options);
        balancer.set_cost(pool(), COST);
        balancer.set_share_of_servers(balancer::Share { number, of });
        let now = clock::Instant::from_millis(1_000);
        let (streams, moved, refused) = Default::default();
        Gateway { balancer, now, sequence: 0, streams, moved, refused }
    }

    fn list(&mut self, ranks: impl Iterator<Item = usize>) {
        self.list_in(group(), ranks);
    }

    fn list_in(&mut self, group: entity::Group, ranks: impl Iterator<Item = usize>) {
        let ranks: Vec<usize> = ranks.collect();
        let listing = |rank: &usize| server::Listing {
            host: host(*rank),
            born: None,
            pool: pool(),
            group: Some(group),
            status: None,
            zone: "norte".into(),
            local: true,
            leaving: false,
            drained: false,
            cold: None,
        };
        let actions = self.balancer.list(ranks.iter().map(listing).collect(), self.now);
        self.apply(actions);
        for rank in ranks {
            self.connect(rank, true);
            self.sequence += 1;
            let report = server::Report {
                incarnation: 1,
                sequence: self.sequence,
                slots: 10,
                alive: true,
                ..Default::default()
            };
            let actions = self.balancer.report(self.id(rank), report, self.now);
            self.apply(actions);
        }
    }

    fn id(&self, rank: usize) -> entity::Server {
        self.balancer.servers().find(&host(rank)).unwrap()
    }

    fn connect(&mut self, rank: usize, up: bool) {
        let actions = self.balancer.set_connected(self.id(rank), up, self.now);
        self.apply(actions);
    }

    fn set_speeds(&mut self, slow: &[(usize, f64)]) {
        let slow: Vec<(Arc<str>, f64)> = slow.iter().map(|(r, s)| (host(*r), *s)).collect();
        let actions = self.balancer.set_speeds(group(), &slow, self.now);
        self.apply(actions);
    }

    fn arrive(&mut self, arrival: balancer::Arrival) -> entity::Ticket {
        let (ticket, actions) = self.balancer.arrive(arrival, self.now);
        self.apply(actions);
        ticket
    }

    fn end(&mut self, ticket: entity::Ticket, end: balancer::End) {
        self.streams.remove(&ticket);
        let actions = self.balancer.end(ticket, end, self.now);
        self.apply(actions);
    }

    fn tick(&mut self, ms: u64) {
        self.now = self.now + Duration::from_millis(ms);
        let actions = self.balancer.tick(self.now);
        self.apply(actions);
    }

    fn rank(&self, server: entity::Server) -> usize {
        let name = &self.balancer.servers()[server].listing.host;
        name.strip_prefix("rank-").unwrap().parse().unwrap()
    }

    fn apply(&mut self, actions: Vec<balancer::Action>) {
        for action in actions {
            match action {
                balancer::Action::Send(sent) => {
                    let rank = self.rank(sent.choice.server);
                    assert_eq!(self.streams.insert(sent.ticket, rank), None, "sent twice");
                }
                balancer::Action::Move(moved) => {
                    let ticket = moved.dispatch.ticket;
                    let to = self.rank(moved.dispatch.choice.server);
                    let from = self.streams.insert(ticket, to);
                    assert_eq!(from, Some(self.rank(moved.from)));
                    assert_ne!(from, Some(to));
                    assert!(moved.slowness >= 1.5, "{moved:?}");
                    self.moved.push(ticket);
                }
                balancer::Action::Refuse(refusal) => {
                    assert!(!self.streams.contains_key(&refusal.ticket), "rejected in flight");
                    self.refused.push(refusal);
                }
            }
        }
        assert_eq!(self.balancer.verify(), Ok(()));
    }

    /// Returns the number of streams in flight on a rank, which the balancer must count too.
    fn on(&self, rank: usize) -> usize {
        let count = self.streams.values().filter(|on| **on == rank).count();
        assert_eq!(self.balancer.servers()[self.id(rank)].in_flight as usize, count);
        count
    }
}

/// Returns a gateway with the given streams on the slow rank, and with open ranks besides it.
fn with_streams(arrivals: &[balancer::Arrival], ranks: usize) -> (Gateway, Vec<entity::Ticket>) {
    let mut gateway = Gateway::new(0, 1);
    gateway.list(SLOW..=SLOW);
    let tickets = arrivals.iter().map(|arrival| gateway.arrive(*arrival)).collect();
    assert_eq!(gateway.on(SLOW), arrivals.len());
    gateway.list(0..ranks);
    (gateway, tickets)
}

/// Guards against streams that keep a group slow until they end, against streams that are moved
/// though they cannot be resumed, and against streams that are moved again and again.
#[test]
fn resumable_streams_leave_a_slow_rank_once() {
    let now = clock::Instant::from_millis(1_000);
    let (full, never) = (stream(now), stream(now));
    let stays = [
        balancer::Arrival { resumable: false, ..never },
        balancer::Arrival { resumable: false, repeatable: false, ..never },
        balancer::Arrival { max_attempts: 1, ..never },
        balancer::Arrival { suspect: Some(poison::Digest::of(&[b"suspect"])), ..never },
    ];
    let mut gateways: Vec<Gateway> = (0..30).map(|number| Gateway::new(number, 30)).collect();
    let mut staying = 0;
    for (number, gateway) in gateways.iter_mut().enumerate() {
        gateway.list(SLOW..=SLOW);
        // Ten streams on the slow rank, four of which must stay.
        if number < 10 {
            let arrival = stays.get(number).copied().unwrap_or(full);
            gateway.arrive(arrival);
            if gateway.on(SLOW) == 1 && number < stays.len() {
                staying += 1;
            }
        }
        gateway.list(0..63);
        for _ in 0..6 {
            gateway.arrive(full);
        }
        (0..63).for_each(|rank| gateway.balancer.report_load(gateway.id(rank), 3, gateway.now));
    }
    assert!(staying >= 3, "a suspect may have to wait for its server");
    for gateway in &mut gateways {
        let before = (gateway.on(SLOW), gateway.streams.len());
        gateway.set_speeds(&[(SLOW, 4.33)]);
        assert_eq!(gateway.on(SLOW) + gateway.moved.len(), before.0);
        assert_eq!(gateway.streams.len(), before.1);
        assert!(gateway.refused.is_empty());
    }
    assert_eq!(gateways.iter().map(|gateway| gateway.on(SLOW)).sum::<usize>(), staying);
    // The ranks that the streams were moved to become slow too.
    for gateway in &mut gateways {
        let moved = gateway.moved.clone();
        let slow: Vec<usize> = moved.iter().map(|ticket| gateway.streams[ticket]).collect();
        let all: BTreeSet<usize> = slow.into_iter().chain([SLOW]).collect();
        gateway.set_speeds(&all.into_iter().map(|rank| (rank, 5.0)).collect::<Vec<_>>());
        gateway.tick(500);
        let tickets: BTreeSet<_> = gateway.moved.iter().collect();
        assert_eq!(tickets.len(), gateway.moved.len(), "a stream was moved twice");
        let tickets: Vec<entity::Ticket> = gateway.streams.keys().copied().collect();
        tickets.into_iter().for_each(|ticket| gateway.end(ticket, balancer::End::Answered));
        assert_eq!(gateway.balancer.tally().moved as usize, gateway.moved.len());
        assert!(gateway.refused.is_empty());
    }
}

/// Guards against moves beyond the retry budget, and against moves that are forgotten if the budget
/// has no retry at first.
#[test]
fn moves_are_within_the_retry_budget() {
    let now = clock::Instant::from_millis(1_000);
    // Three retries initially and a tenth for each of eight streams.
    let (mut gateway, _) = with_streams(&[stream(now); 8], 20);
    gateway.set_speeds(&[(SLOW, 4.0)]);
    assert_eq!((gateway.moved.len(), gateway.on(SLOW)), (3, 5));
    gateway.set_speeds(&[(SLOW, 4.0)]);
    gateway.tick(100);
    assert_eq!(gateway.moved.len(), 3);
    for _ in 0..4 {
        gateway.arrive(stream(now));
    }
    gateway.tick(100);
    assert_eq!((gateway.moved.len(), gateway.on(SLOW)), (4, 4));
}

/// Guards against moves after the rank has recovered, and from a rank that is only slightly slower.
#[test]
fn streams_stay_on_a_rank_that_has_recovered_or_is_slightly_slower() {
    let now = clock::Instant::from_millis(1_000);
    let (mut gateway, _) = with_streams(&[stream(now); 8], 20);
    gateway.set_speeds(&[(SLOW, 1.45)]);
    assert_eq!(gateway.balancer.servers()[gateway.id(SLOW)].weight, 0.0);
    assert_eq!(gateway.moved.len(), 0);
    gateway.set_speeds(&[(SLOW, 4.0)]);
    assert_eq!(gateway.moved.len(), 3);
    gateway.set_speeds(&[]);
    for _ in 0..40 {
        gateway.arrive(stream(now));
    }
    gateway.tick(100);
    assert_eq!(gateway.moved.len(), 3);
}

/// Guards against streams that are lost, queued or rejected because no other rank is open.
#[test]
fn a_stream_stays_while_no_other_rank_is_open() {
    let now = clock::Instant::from_millis(1_000);
    let (mut gateway, _) = with_streams(&[stream(now); 2], 0);
    gateway.list([3, SLOW].into_iter());
    gateway.connect(3, false);
    gateway.set_speeds(&[(SLOW, 4.0)]);
    gateway.tick(100);
    assert_eq!((gateway.moved.len(), gateway.on(SLOW)), (0, 2));
    gateway.connect(3, true);
    gateway.tick(100);
    assert_eq!((gateway.moved.len(), gateway.on(3)), (2, 2));
    assert!(gateway.refused.is_empty());
}

/// Guards against a moved stream that loses its place under the group's bound to a waiting one.
#[test]
fn a_moved_stream_keeps_its_place_under_the_bound() {
    let now = clock::Instant::from_millis(1_000);
    let (mut gateway, tickets) = with_streams(&[stream(now); 3], 10);
    // Passes that take twice as long as they should, and many gateways, reduce the bound to its
    // minimum of two streams.
    gateway.balancer.set_share_of_servers(balancer::Share { number: 0, of: 20 });
    for _ in 0..40 {
        gateway.now = gateway.now + Duration::from_millis(110);
        for ticket in &tickets {
            let (pause, wanted) = (Duration::from_millis(154), Duration::from_millis(100));
            let actions = gateway.balancer.stream_event(*ticket, pause, wanted, gateway.now);
            gateway.apply(actions);
        }
        gateway.balancer.report_load(gateway.id(SLOW), 6, gateway.now);
    }
    let waits = gateway.arrive(balancer::Arrival { begin_by: None, ..stream(gateway.now) });
    assert!(!gateway.streams.contains_key(&waits), "the bound does not bind");
    gateway.set_speeds(&[(SLOW, 4.0)]);
    assert_eq!((gateway.moved.len(), gateway.on(SLOW)), (3, 0));
    assert!(!gateway.streams.contains_key(&waits));
    assert_eq!(gateway.balancer.queue().waiting(), 1);
}

/// Guards against a count that is taken from the group to which the rank belongs by now, while the
/// stream was counted in the rank's group at its dispatch.
#[test]
fn a_stream_is_moved_after_its_rank_is_listed_in_another_group() {
    let now = clock::Instant::from_millis(1_000);
    let mut gateway = Gateway::new(0, 1);
    gateway.list_in(entity::Group::from_u32(1), SLOW..=SLOW);
    let ticket = gateway.arrive(stream(now));
    let pause = Duration::ZERO;
    let actions = gateway.balancer.stream_event(ticket, pause, Duration::from_millis(100), now);
    gateway.apply(actions);
    gateway.list(0..10);
    gateway.set_speeds(&[(SLOW, 4.0)]);
    assert_eq!(gateway.moved, [ticket]);
    gateway.end(ticket, balancer::End::Answered);
    assert!(gateway.refused.is_empty());
}

/// Guards against a count at a wrong rank, and a lost retry, if the old attempt ends before the
/// move is carried out.
#[test]
fn a_cancelled_move_changes_nothing() {
    let now = clock::Instant::from_millis(1_000);
    let (mut gateway, tickets) = with_streams(&[stream(now); 2], 20);
    let before = gateway.balancer.tally();
    gateway.set_speeds(&[(SLOW, 4.0)]);
    assert_eq!(gateway.moved.len(), 2);
    for ticket in &tickets {
        gateway.balancer.cancel_move(*ticket, gateway.now);
        gateway.balancer.cancel_move(*ticket, gateway.now);
        gateway.streams.insert(*ticket, SLOW);
    }
    assert_eq!(gateway.on(SLOW), 2);
    assert_eq!(gateway.balancer.tally(), before);
    gateway.tick(100);
    assert_eq!(gateway.moved.len(), 2, "moved once only");
    // Three retries are left: the first stream fails twice, which is within its three attempts.
    gateway.end(tickets[1], balancer::End::Answered);
    for _ in 0..2 {
        assert!(gateway.streams.contains_key(&tickets[0]));
        gateway.end(tickets[0], balancer::End::MayHaveRun { answer_begun: true });
    }
    assert!(gateway.refused.is_empty());
    gateway.end(tickets[0], balancer::End::MayHaveRun { answer_begun: true });
    assert_eq!(gateway.refused.len(), 1);
}

/// Guards against a request that returns to a rank whose record has been removed.
#[test]
fn a_move_may_be_cancelled_long_after_the_slow_rank_has_left() {
    let now = clock::Instant::from_millis(1_000);
    let (mut gateway, tickets) = with_streams(&[stream(now)], 20);
    let slow = gateway.id(SLOW);
    gateway.set_speeds(&[(SLOW, 4.0)]);
    assert_eq!((gateway.moved.len(), gateway.on(SLOW)), (1, 0));
    for _ in 0..2 {
        gateway.list((0..20).filter(|rank| *rank != SLOW));
        gateway.tick(server::UNLISTED_RETENTION.as_millis() as u64 * 2);
    }
    gateway.balancer.cancel_move(tickets[0], gateway.now);
    gateway.streams.insert(tickets[0], SLOW);
    assert_eq!((gateway.id(SLOW), gateway.on(SLOW)), (slow, 1));
    assert_eq!(gateway.balancer.verify(), Ok(()));
    gateway.end(tickets[0], balancer::End::Answered);
    gateway.tick(60_000);
    assert_eq!(gateway.balancer.servers().find(&host(SLOW)), None);
}

/// Guards against more runs than `max_attempts`, against a moved request that is rejected as not
/// run, and against a failure or an ejection that is charged to the slow rank.
#[test]
fn a_moved_attempt_counts_as_a_run_and_not_as_a_failure() {
    let now = clock::Instant::from_millis(1_000);
    let arrival = balancer::Arrival { max_attempts: 2, ..stream(now) };
    let (mut gateway, tickets) = with_streams(&[arrival; 2], 20);
    gateway.set_speeds(&[(SLOW, 4.0)]);
    assert_eq!(gateway.moved.len(), 2);
    assert!(gateway.balancer.servers()[gateway.id(SLOW)].open(gateway.now));
    gateway.end(tickets[0], balancer::End::MayHaveRun { answer_begun: true });
    gateway.balancer.list(Vec::new(), gateway.now);
    gateway.end(tickets[1], balancer::End::NeverRan);
    let outcomes: Vec<_> = gateway.refused.iter().map(|refusal| refusal.outcome).collect();
    assert_eq!(outcomes, [balancer::Outcome::Unknown; 2]);
}

/// Guards against wrong counters, second moves and too many runs under random events.
#[test]
fn random_events_keep_the_counters_and_limits() {
    for seed in 0..40 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut gateway = Gateway::new(seed as u32, 1);
        gateway.list(0..6);
        let mut runs: BTreeMap<entity::Ticket, u32> = BTreeMap::new();
        for _ in 0..400 {
            let tickets: Vec<entity::Ticket> = gateway.streams.keys().copied().collect();
            let ticket = tickets.get(rng.random_range(0..tickets.len().max(1))).copied();
            let moves = gateway.moved.len();
            match (rng.random_range(0..12), ticket) {
                (0..4, _) => {
                    let suspect = (rng.random_range(0..9) == 0)
                        .then(|| poison::Digest::of(&[&rng.random::<u64>().to_be_bytes()]));
                    let resumable = rng.random();
                    let arrival = stream(gateway.now);
                    gateway.arrive(balancer::Arrival { resumable, suspect, ..arrival });
                }
                (4 | 5, Some(ticket)) => gateway.end(ticket, balancer::End::Answered),
                (6, Some(ticket)) => {
                    let end = balancer::End::MayHaveRun { answer_begun: rng.random() };
                    *runs.entry(ticket).or_default() += 1;
                    gateway.end(ticket, end);
                }
                (7, _) => {
                    let rank = rng.random_range(0..6);
                    let slow = [(rank, rng.random_range(1.2..6.0))];
                    gateway.set_speeds(if rng.random() { &slow } else { &[] });
                }
                (8, _) => gateway.connect(rng.random_range(0..6), rng.random()),
                (9, _) => gateway.list_in(entity::Group::from_u32(rng.random_range(0..2)), 0..6),
                (10, Some(ticket)) => {
                    let (pause, wanted) = (Duration::from_millis(60), Duration::from_millis(100));
                    let actions = gateway.balancer.stream_event(ticket, pause, wanted, gateway.now);
                    gateway.apply(actions);
                }
                _ => gateway.tick(rng.random_range(1..200)),
            }
            for ticket in gateway.moved.clone().split_off(moves) {
                *runs.entry(ticket).or_default() += 1;
            }
            let most = runs.iter().filter(|(ticket, _)| gateway.streams.contains_key(ticket));
            assert!(most.map(|(_, runs)| *runs).max().unwrap_or(0) < 3, "too many runs");
            for rank in 0..6 {
                gateway.on(rank);
            }
        }
        let once: BTreeSet<_> = gateway.moved.iter().collect();
        assert_eq!(once.len(), gateway.moved.len(), "moved twice");
    }
}
