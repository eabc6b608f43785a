//! The entry host's decisions under generated event orders, and their rules.

#![allow(clippy::unwrap_used, reason = "a test that fails may panic")]

use std::collections::BTreeMap;
use std::time::Duration;

use loftcove_decision::routing::{policy, server};
use loftcove_decision::{admission, balancer, clock, entity, retry};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng as _;

type Balancer = balancer::Balancer<policy::Blend>;

fn new(capacity: usize) -> Balancer {
    let rng = ChaCha8Rng::seed_from_u64(7);
    let policy = policy::Blend { rng, sample: 3, affinity_slack: 0.25 };
    balancer::Balancer::new(policy, &balancer::Options::default().capacity(capacity))
}

/// Shortest time after which a refused caller comes back.
const RETURN: Duration = Duration::from_secs(1);

fn pool() -> entity::Pool {
    entity::Pool::from_u32(0)
}

fn listings(count: u32) -> Vec<server::Listing> {
    let listing = |number: u32| server::Listing {
        host: format!("host{number}").into(),
        born: None,
        news: None,
        pool: pool(),
        group: None,
        zone: "norte".into(),
        local: number.is_multiple_of(2),
        leaving: false,
        drained: false,
        cold: None,
    };
    (0..count).map(listing).collect()
}

/// As [`listings`], in groups of two, of which the first is in the own zone.
fn grouped(count: u32) -> Vec<server::Listing> {
    let group = |number: usize| entity::Group::from_u32(number as u32 / 2);
    let listings = listings(count).into_iter().enumerate();
    let grouped = listings.map(|(number, listing)| server::Listing {
        group: Some(group(number)),
        local: number < 2,
        ..listing
    });
    grouped.collect()
}

fn up(
    balancer: &mut Balancer,
    server: u32,
    sequence: u64,
    now: clock::Instant,
) -> Vec<balancer::Action> {
    let id = entity::Server::from_u32(server);
    let report =
        server::Report { incarnation: 1, sequence, slots: 4, alive: true, ..Default::default() };
    let mut actions = balancer.report(id, report, now);
    actions.extend(balancer.set_connected(id, true, now));
    actions
}

fn arrival(
    team: u32,
    precedence: u32,
    repeatable: bool,
    deadline: clock::Instant,
) -> balancer::Arrival {
    let team = entity::Team::from_u32(team);
    balancer::Arrival {
        pool: pool(),
        team,
        precedence,
        repeatable,
        resumable: false,
        max_attempts: retry::MAX_ATTEMPTS,
        deadline,
        expires: deadline,
        begin_by: None,
        prefix: 0,
        suspect: None,
    }
}

#[derive(Debug, Clone)]
enum Event {
    Pass(u64),
    Arrive { team: u32, precedence: u32, repeatable: bool, patience: u64 },
    End { which: prop::sample::Index, end: balancer::End },
    Leave(prop::sample::Index),
    Report(u32),
    Connect(u32, bool),
    List(u32),
}

fn event() -> impl Strategy<Value = Event> {
    let end = prop_oneof![
        4 => Just(balancer::End::Answered),
        1 => Just(balancer::End::Full),
        1 => Just(balancer::End::NeverRan),
        1 => Just(balancer::End::GroupDown),
        1 => any::<bool>().prop_map(|answer_begun| balancer::End::MayHaveRun { answer_begun }),
    ];
    prop_oneof![
        3 => (1..50_u64).prop_map(Event::Pass),
        8 => (0..3_u32, 0..3_u32, any::<bool>(), 1..400_u64).prop_map(
            |(team, precedence, repeatable, patience)| Event::Arrive { team, precedence, repeatable, patience }
        ),
        6 => (any::<prop::sample::Index>(), end).prop_map(|(which, end)| Event::End { which, end }),
        1 => any::<prop::sample::Index>().prop_map(Event::Leave),
        2 => (0..4_u32).prop_map(Event::Report),
        1 => (0..4_u32, any::<bool>()).prop_map(|(server, up)| Event::Connect(server, up)),
        1 => (0..5_u32).prop_map(Event::List),
    ]
}

/// What a request has come to, as its caller sees it.
#[derive(Debug, Default, Clone, Copy)]
struct Seen {
    repeatable: bool,
    in_flight: bool,
    may_have_run: bool,
    finals: u32,
}

/// The same cases in every run.
fn config(cases: u32) -> ProptestConfig {
    let rng_seed = RngSeed::Fixed(20_261_202);
    ProptestConfig { cases, rng_seed, failure_persistence: None, ..ProptestConfig::default() }
}

proptest! {
    #![proptest_config(config(1500))]

    #[test]
    fn every_request_ends_once_and_truly(
        events in prop::collection::vec(event(), 1..150),
        lockstep in any::<bool>(),
    ) {
        let listings = if lockstep { grouped } else { listings };
        let mut balancer = new(8);
        let mut now = clock::Instant::ZERO;
        let mut seen: BTreeMap<entity::Ticket, Seen> = BTreeMap::new();
        let mut sequence = 0;
        balancer.list(listings(4), now);
        for event in events {
            let mut fresh = None;
            let actions = match event {
                Event::Pass(millis) => {
                    now = now + Duration::from_millis(millis);
                    balancer.tick(now)
                }
                Event::Arrive { team, precedence, repeatable, patience } => {
                    let deadline = now + Duration::from_millis(patience);
                    let (ticket, actions) = balancer.arrive(arrival(team, precedence, repeatable, deadline), now);
                    fresh = Some((ticket, repeatable));
                    actions
                }
                Event::End { which, end } => {
                    let out: Vec<_> = seen.iter().filter(|(_, s)| s.in_flight).map(|(t, _)| *t).collect();
                    if out.is_empty() { continue }
                    let ticket = *which.get(&out);
                    let state = seen.get_mut(&ticket).unwrap();
                    state.in_flight = false;
                    state.may_have_run |= matches!(end, balancer::End::MayHaveRun { .. });
                    if end == balancer::End::Answered { state.finals += 1 }
                    balancer.end(ticket, end, now)
                }
                Event::Leave(which) => {
                    let open: Vec<_> = seen.iter().filter(|(_, s)| s.finals == 0).map(|(t, _)| *t).collect();
                    if open.is_empty() { continue }
                    let ticket = *which.get(&open);
                    let state = seen.get_mut(&ticket).unwrap();
                    state.finals += 1;
                    state.in_flight = false;
                    balancer.end(ticket, balancer::End::Abandoned, now)
                }
                Event::Report(server) if (server as usize) < balancer.servers().iter().count() => {
                    sequence += 1;
                    up(&mut balancer, server, sequence, now)
                }
                Event::Connect(server, up) if (server as usize) < balancer.servers().iter().count() => {
                    balancer.set_connected(entity::Server::from_u32(server), up, now)
                }
                Event::List(count) => balancer.list(listings(count), now),
                _ => continue,
            };
            if let Some((ticket, repeatable)) = fresh {
                seen.insert(ticket, Seen { repeatable, ..Seen::default() });
            }
            for action in actions {
                match action {
                    balancer::Action::Send(dispatch) => {
                        let state = seen.get_mut(&dispatch.ticket).unwrap();
                        prop_assert!(!state.in_flight && state.finals == 0);
                        prop_assert!(state.repeatable || !state.may_have_run, "sent again");
                        state.in_flight = true;
                    }
                    balancer::Action::Refuse(refusal) => {
                        let state = seen.get_mut(&refusal.ticket).unwrap();
                        prop_assert!(!state.in_flight);
                        let told = refusal.outcome == balancer::Outcome::NotRun;
                        prop_assert!(!(told && state.may_have_run && !state.repeatable));
                        state.finals += 1;
                    }
                }
            }
            prop_assert_eq!(balancer.verify(), Ok(()));
            prop_assert!(seen.values().all(|state| state.finals <= 1));
        }
        // No request is forgotten: each has ended, is out, or waits.
        let open = seen.values().filter(|state| state.finals == 0 && !state.in_flight).count();
        prop_assert_eq!(open, balancer.queue().waiting());
    }
}

fn waiter(number: u32, team: u32, precedence: u32) -> admission::Waiter {
    admission::Waiter {
        ticket: entity::Ticket::from_u32(number),
        pool: pool(),
        team: entity::Team::from_u32(team),
        precedence,
        deadline: clock::Instant::from_millis(u64::MAX / 2_000),
        expires: clock::Instant::from_millis(u64::MAX / 2_000),
        since: clock::Instant::from_micros(u64::from(number)),
    }
}

#[test]
fn urgent_goes_first_and_nobody_starves() {
    let mut queue = admission::Queue::new(100, RETURN);
    for number in 0..40 {
        queue.push(waiter(number, 0, u32::from(number % 2 == 1)), clock::Instant::ZERO).unwrap();
    }
    let order: Vec<u32> = (0..20).map(|_| queue.pop(pool()).unwrap().precedence).collect();
    let low = order.iter().filter(|precedence| **precedence == 1).count();
    assert_eq!(low, 20 / admission::PATIENCE as usize, "{order:?}");
}

#[test]
fn teams_share_by_weight() {
    let mut queue = admission::Queue::new(100, RETURN);
    let heavy = entity::Team::from_u32(0);
    queue.set_share(heavy, admission::Share { weight: 3, limit: 100 });
    for number in 0..60 {
        queue.push(waiter(number, number % 2, 0), clock::Instant::ZERO).unwrap();
    }
    let taken = (0..20).filter(|_| queue.pop(pool()).unwrap().team == heavy).count();
    assert_eq!(taken, 15);
}

#[test]
fn a_greedy_team_gives_way_when_the_queue_is_full() {
    let mut queue = admission::Queue::new(10, RETURN);
    for number in 0..10 {
        assert_eq!(queue.push(waiter(number, 0, 1), clock::Instant::ZERO), Ok(None));
    }
    let displaced = queue.push(waiter(10, 1, 1), clock::Instant::ZERO).unwrap();
    assert_eq!(displaced, Some(waiter(9, 0, 1)));
    let refused = queue.push(waiter(11, 0, 1), clock::Instant::ZERO);
    assert_eq!(refused, Err(admission::Refusal::QueueFull));
}

#[test]
fn a_pool_without_a_usable_server_refuses_at_once() {
    let mut balancer = new(8);
    balancer.list(listings(1), clock::Instant::ZERO);
    let deadline = clock::Instant::from_millis(1_000);
    let (_, actions) = balancer.arrive(arrival(0, 0, true, deadline), clock::Instant::ZERO);
    let [balancer::Action::Refuse(refusal)] = actions.as_slice() else { panic!("{actions:?}") };
    assert_eq!(
        (refusal.outcome, refusal.reason),
        (balancer::Outcome::NotRun, balancer::Reason::NoBackend)
    );
    assert!(refusal.retry_after > Duration::ZERO);
}
