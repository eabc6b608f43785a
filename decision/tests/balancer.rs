//! Invariants of the balancer under generated event sequences, and rules of its queue.

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

/// Minimum retry delay for the client of a rejected request.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);

fn pool() -> entity::Pool {
    entity::Pool::from_u32(0)
}

fn listings(count: u32) -> Vec<server::Listing> {
    let listing = |number: u32| server::Listing {
        host: format!("host{number}").into(),
        born: None,
        status: None,
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

/// Returns [`listings`] in groups of two, the first group in the local zone.
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

/// Reports a live backend server and opens its report stream.
fn bring_up(
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
        1 => any::<bool>().prop_map(|answer_begun| balancer::End::Unacknowledged { answer_begun }),
        1 => any::<bool>().prop_map(|server_ended| balancer::End::BrokenOff { server_ended }),
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

/// The state of a request as its client observes it.
#[derive(Debug, Default, Clone, Copy)]
struct Observed {
    repeatable: bool,
    in_flight: bool,
    may_have_run: bool,
    finals: u32,
}

/// Returns a configuration that generates the same cases in every run.
fn config(cases: u32) -> ProptestConfig {
    let rng_seed = RngSeed::Fixed(20_261_202);
    ProptestConfig { cases, rng_seed, failure_persistence: None, ..ProptestConfig::default() }
}

proptest! {
    #![proptest_config(config(1500))]

    #[test]
    fn every_request_has_one_final_answer_with_a_true_outcome(
        events in prop::collection::vec(event(), 1..150),
        lockstep in any::<bool>(),
    ) {
        let listings = if lockstep { grouped } else { listings };
        let mut balancer = new(8);
        let mut now = clock::Instant::ZERO;
        let mut seen: BTreeMap<entity::Ticket, Observed> = BTreeMap::new();
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
                    state.may_have_run |= matches!(
                        end,
                        balancer::End::MayHaveRun { .. } | balancer::End::Unacknowledged { .. }
                    );
                    if end.is_final() { state.finals += 1 }
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
                    bring_up(&mut balancer, server, sequence, now)
                }
                Event::Connect(server, up) if (server as usize) < balancer.servers().iter().count() => {
                    balancer.set_connected(entity::Server::from_u32(server), up, now)
                }
                Event::List(count) => balancer.list(listings(count), now),
                _ => continue,
            };
            if let Some((ticket, repeatable)) = fresh {
                seen.insert(ticket, Observed { repeatable, ..Observed::default() });
            }
            for action in actions {
                match action {
                    balancer::Action::Send(dispatch) => {
                        let state = seen.get_mut(&dispatch.ticket).unwrap();
                        prop_assert!(!state.in_flight && state.finals == 0);
                        prop_assert!(state.repeatable || !state.may_have_run, "sent again");
                        state.in_flight = true;
                    }
                    balancer::Action::Move(moved) => prop_assert!(false, "{moved:?}"),
                    balancer::Action::Refuse(refusal) => {
                        let state = seen.get_mut(&refusal.ticket).unwrap();
                        prop_assert!(!state.in_flight);
                        let not_run = refusal.outcome == balancer::Outcome::NotRun;
                        prop_assert!(!(not_run && state.may_have_run && !state.repeatable));
                        state.finals += 1;
                    }
                }
            }
            prop_assert_eq!(balancer.verify(), Ok(()));
            prop_assert!(seen.values().all(|state| state.finals <= 1));
        }
        // No request is lost: each has a final answer, is in flight, or waits.
        let open = seen.values().filter(|state| state.finals == 0 && !state.in_flight).count();
        prop_assert_eq!(open, balancer.queue().waiting());
    }
}

/// Guards against servers whose long responses break off and that get as many requests as before,
/// and against attempts for a response that no server can continue.
#[test]
fn a_response_that_breaks_off_counts_against_its_server_and_is_not_sent_again() {
    for (server_ended, breaks) in [(false, 20), (true, 1)] {
        let mut balancer = new(8);
        let now = clock::Instant::ZERO;
        balancer.list(listings(4), now);
        for server in 0..4 {
            bring_up(&mut balancer, server, 1, now);
        }
        for _ in 0..breaks {
            let deadline = now + Duration::from_secs(9);
            let (ticket, _) = balancer.arrive(arrival(0, 1, true, deadline), now);
            let actions = balancer.end(ticket, balancer::End::BrokenOff { server_ended }, now);
            assert!(actions.is_empty(), "{actions:?}");
            assert_eq!(balancer.verify(), Ok(()));
        }
        let ejected = balancer.servers().iter().any(|(_, record)| record.health.ejected(now));
        assert!(ejected, "server_ended={server_ended}");
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
fn dispatches_urgent_requests_first_without_starving_others() {
    let mut queue = admission::Queue::new(100, MIN_RETRY_AFTER);
    for number in 0..40 {
        queue.push(waiter(number, 0, u32::from(number % 2 == 1)), clock::Instant::ZERO).unwrap();
    }
    let order: Vec<u32> = (0..20).map(|_| queue.pop(pool()).unwrap().precedence).collect();
    let low = order.iter().filter(|precedence| **precedence == 1).count();
    assert_eq!(low, 20 / admission::STARVATION_INTERVAL as usize, "{order:?}");
}

#[test]
fn teams_are_served_in_proportion_to_their_weights() {
    let mut queue = admission::Queue::new(100, MIN_RETRY_AFTER);
    let heavy = entity::Team::from_u32(0);
    queue.set_share(heavy, admission::Share { weight: 3, limit: 100 });
    for number in 0..60 {
        queue.push(waiter(number, number % 2, 0), clock::Instant::ZERO).unwrap();
    }
    let taken = (0..20).filter(|_| queue.pop(pool()).unwrap().team == heavy).count();
    assert_eq!(taken, 15);
}

#[test]
fn a_full_queue_displaces_requests_of_the_team_that_holds_most() {
    let mut queue = admission::Queue::new(10, MIN_RETRY_AFTER);
    for number in 0..10 {
        assert_eq!(queue.push(waiter(number, 0, 1), clock::Instant::ZERO), Ok(None));
    }
    let displaced = queue.push(waiter(10, 1, 1), clock::Instant::ZERO).unwrap();
    assert_eq!(displaced, Some(waiter(9, 0, 1)));
    let refused = queue.push(waiter(11, 0, 1), clock::Instant::ZERO);
    assert_eq!(refused, Err(admission::Refusal::QueueFull));
}

/// Guards against clients that retry and are rejected again behind newer requests, as they have
/// less time left.
#[test]
fn the_earliest_deadline_of_a_team_goes_first() {
    let mut queue = admission::Queue::new(100, MIN_RETRY_AFTER);
    let due = |number: u32, team: u32, precedence: u32, deadline: u64| admission::Waiter {
        deadline: clock::Instant::from_millis(deadline),
        ..waiter(number, team, precedence)
    };
    let waiters =
        [due(0, 0, 1, 9_000), due(1, 0, 1, 5_000), due(2, 0, 1, 9_000), due(3, 0, 0, 9_500)];
    for waiter in waiters.into_iter().chain([due(4, 1, 1, 9_900)]) {
        queue.push(waiter, clock::Instant::ZERO).unwrap();
    }
    // One whose attempt did not run goes before others of the same deadline.
    queue.push_front(due(5, 0, 1, 9_000));
    let order: Vec<u32> = (0..6).map(|_| queue.pop(pool()).unwrap().ticket.as_u32()).collect();
    // The most urgent first, then the two teams in turn.
    assert_eq!(order, [3, 1, 4, 5, 0, 2]);
}

#[test]
fn rejects_at_once_if_the_pool_has_no_usable_server() {
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
