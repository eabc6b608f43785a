//! The records of runs of backend servers are bounded by the list.

#![allow(clippy::unwrap_used, reason = "a test that fails may panic")]

mod common;

use std::time::Duration;

use common::{DEADLINE, SLOTS, Setup, pool};
use loftcove_decision::routing::{notice, rate, server};
use loftcove_decision::{balancer, entity};
use proptest::prelude::*;

fn records(setup: &Setup) -> usize {
    setup.balancer.servers().iter().count()
}

/// Returns the ids of the usable servers.
fn usable(setup: &Setup) -> Vec<entity::Server> {
    setup.balancer.servers().usable(pool()).map(|(server, _)| server).collect()
}

/// Guards against a record that is never removed because no newer run of its server is listed. A
/// host that replaces another one has a new id.
#[test]
fn records_of_servers_that_were_replaced_by_others_are_removed() {
    let mut setup = Setup::new(&[(0, None)]);
    for number in 1..=50 {
        setup.list(&[(number - 1, None), (number, None)]);
        setup.advance(120_000);
        setup.list(&[(number, None)]);
        // At most two servers were listed at a time.
        assert!(records(&setup) <= 3, "{} records after {number}", records(&setup));
    }
    setup.now = setup.now + server::UNLISTED_RETENTION * 2;
    setup.arrive(DEADLINE);
    assert_eq!(records(&setup), 1);
    assert_eq!(usable(&setup), [setup.find(50)]);
    for number in 0..50 {
        assert_eq!(setup.balancer.servers().find(&format!("server-{number}")), None);
    }
    assert_eq!(setup.balancer.verify(), Ok(()));
}

/// Guards against records that are removed only as a list arrives.
#[test]
fn records_are_removed_by_requests_and_ticks_without_a_new_list() {
    let by_request: fn(&mut Setup) = |setup| {
        setup.arrive(DEADLINE);
    };
    let by_tick: fn(&mut Setup) = |setup| setup.advance(0);
    for event in [by_request, by_tick] {
        let mut setup = Setup::new(&[(0, Some(0)), (1, Some(0))]);
        for run in 1..=50 {
            setup.advance(100);
            setup.list(&[(0, Some(run)), (1, Some(0))]);
        }
        assert!(records(&setup) <= 4, "{}", records(&setup));
        setup.now = setup.now + server::EARLIER_RUN_RETENTION * 2;
        event(&mut setup);
        assert_eq!(records(&setup), 2);
        assert_eq!(setup.balancer.verify(), Ok(()));
    }
}

/// An entry may expire while the store is unavailable, though its run continues. What the run
/// announced must still hold once it is listed again.
#[test]
fn a_run_that_is_listed_again_keeps_its_record() {
    let mut setup = Setup::new(&[(0, Some(0)), (1, Some(0))]);
    let server = setup.find(0);
    let leaves = notice::Notice { leaving: true, ..Default::default() };
    setup.balancer.apply_notice(server, &leaves, setup.now);
    setup.list(&[(1, Some(0))]);
    setup.advance(600_000);
    assert_eq!(setup.balancer.resting_and_leaving(setup.now), (0, 0));
    setup.list(&[(0, Some(0)), (1, Some(0))]);
    assert_eq!(setup.find(0), server);
    assert!(setup.balancer.servers()[server].standing.leaving());
    assert_eq!(setup.balancer.resting_and_leaving(setup.now), (0, 1));
    assert_eq!(usable(&setup), [setup.find(1)]);
}

/// Guards against a server that gets no requests for good because nothing checks whether it leaves.
#[test]
fn a_run_that_is_listed_again_is_checked_if_it_may_leave() {
    let mut setup = Setup::new(&[(0, Some(0))]);
    let leaves = notice::Notice { leaving: true, ..Default::default() };
    setup.balancer.apply_notice(setup.find(0), &leaves, setup.now);
    setup.list(&[(0, Some(1))]);
    let server = setup.find(0);
    let unsettled = || vec![balancer::Note::Unsettled(server)];
    assert_eq!(setup.balancer.take_notes(), unsettled());
    setup.list(&[]);
    setup.advance(10_000);
    assert_eq!(setup.balancer.unsettled().next(), None);
    setup.list(&[(0, Some(1))]);
    assert_eq!(setup.balancer.take_notes(), unsettled());
    assert_eq!(setup.balancer.unsettled().collect::<Vec<_>>(), [server]);
    setup.balancer.settle(server, false, setup.now);
    assert_eq!(usable(&setup), [server]);
}

/// All entries may expire at once.
#[test]
fn an_empty_list_removes_no_record_at_once() {
    let servers: Vec<(u32, Option<u64>)> = (0..8).map(|number| (number, Some(0))).collect();
    let mut setup = Setup::new(&servers);
    let before = usable(&setup);
    for _ in 0..3 {
        setup.list(&[]);
        setup.advance(60_000);
    }
    assert_eq!(records(&setup), 8);
    assert_eq!(setup.balancer.servers().listed_count(), 0);
    setup.list(&servers);
    assert_eq!(usable(&setup), before);
}

/// A late event of a removed run changes nothing, also at the newest run of the server.
#[test]
fn events_of_a_removed_run_have_no_effect() {
    let mut setup = Setup::new(&[(0, Some(0))]);
    let removed = setup.find(0);
    setup.list(&[(0, Some(1))]);
    setup.now = setup.now + server::EARLIER_RUN_RETENTION * 2;
    setup.list(&[(0, Some(1))]);
    assert_eq!(records(&setup), 1);
    let (now, newest) = (setup.now, setup.find(0));
    let balancer = &mut setup.balancer;
    let notes = || vec![balancer::Note::Removed(removed)];
    assert_eq!(balancer.take_notes(), notes());

    let rest = notice::Rest::For(Duration::from_secs(5));
    let notice = notice::Notice { rest, leaving: true };
    assert_eq!(balancer.apply_notice(removed, &notice, now), (None, Vec::new()));
    let limit = rate::Notice::Unreadable;
    assert_eq!(balancer.apply_rate_notice(removed, limit, now, now), (None, Vec::new()));
    balancer.settle(removed, true, now);
    balancer.set_connected(removed, true, now);
    let load = server::Report { incarnation: 9, slots: 1, alive: true, ..Default::default() };
    balancer.report(removed, load, now);
    balancer.report_load(removed, 3, now);

    assert!(!balancer.servers()[removed].usable());
    assert!(!balancer.still_accepts(removed, now, now));
    assert!(balancer.servers()[newest].open(now));
    assert_eq!(balancer.servers()[newest].report.slots, SLOTS);
    assert_eq!(balancer.resting_and_leaving(now), (0, 0));
    assert_eq!(balancer.take_notes(), Vec::new());
    assert_eq!(balancer.verify(), Ok(()));
}

/// An event that changes the records.
#[derive(Debug, Clone)]
enum Event {
    /// A list of servers, each with the number of its run.
    List(Vec<(u32, Option<u64>)>),
    /// An arriving request.
    Request,
    /// The end of a request in flight, chosen by its position.
    End(usize),
    /// Time without events, in milliseconds.
    Wait(u64),
}

fn event() -> impl Strategy<Value = Event> {
    let run = prop_oneof![1 => Just(None), 4 => (0..4_u64).prop_map(Some)];
    let list = prop::collection::btree_map(0..12_u32, run, 0..6);
    prop_oneof![
        4 => list.prop_map(|list| Event::List(list.into_iter().collect())),
        4 => Just(Event::Request),
        3 => (0..64_usize).prop_map(Event::End),
        2 => prop_oneof![0..500_u64, 0..90_000_u64, 0..8_000_000_u64].prop_map(Event::Wait),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(512))]

    /// Whatever is listed in whichever order: a run with a request in flight keeps its record, and
    /// a server is found only by a run with a record. Beyond the listed runs and those with
    /// requests, at most as many runs that may be listed again have a record as were ever listed
    /// at a time, and as many that were replaced.
    #[test]
    fn records_are_bounded_by_the_list(events in prop::collection::vec(event(), 1..60)) {
        let mut setup = Setup::new(&[]);
        let mut most_listed = 0;
        for event in events {
            let list = matches!(event, Event::List(_));
            match event {
                Event::List(servers) => {
                    setup.list(&servers);
                    most_listed = most_listed.max(servers.len());
                }
                Event::Request => {
                    setup.arrive(DEADLINE);
                }
                Event::End(_) if setup.sent.is_empty() => {}
                Event::End(position) => {
                    let (ticket, ..) = setup.sent.remove(position % setup.sent.len());
                    let actions = setup.balancer.end(ticket, balancer::End::Answered, setup.now);
                    setup.apply(actions);
                }
                Event::Wait(ms) => setup.advance(ms),
            }
            let servers = setup.balancer.servers();
            for (_, server, _) in &setup.sent {
                prop_assert!(servers.contains(*server), "{server} was removed");
            }
            let unlisted = || servers.iter().filter(|(_, record)| !record.listed);
            let idle = unlisted().filter(|(_, record)| record.in_flight == 0);
            let (newest, replaced): (Vec<_>, Vec<_>) =
                idle.partition(|(id, record)| servers.find(&record.listing.host) == Some(*id));
            if list {
                prop_assert!(newest.len() <= most_listed, "{} newest", newest.len());
                prop_assert!(replaced.len() <= most_listed, "{} replaced", replaced.len());
            }
            let listed = servers.iter().filter(|(_, record)| record.listed);
            let listed: Vec<entity::Server> = listed.map(|(server, _)| server).collect();
            let indexed: Vec<entity::Server> =
                servers.listed(pool()).map(|(server, _)| server).collect();
            prop_assert_eq!(&listed, &indexed);
            prop_assert_eq!(listed.len(), servers.listed_count());
            for number in 0..12 {
                let found = servers.find(&format!("server-{number}"));
                prop_assert!(found.is_none_or(|server| servers.contains(server)));
            }
            prop_assert_eq!(setup.balancer.verify(), Ok(()));
        }
        // Without further lists, only the records of listed runs and of requests remain.
        setup.now = setup.now + server::UNLISTED_RETENTION * 2;
        setup.advance(0);
        let needed = |server: entity::Server, record: &server::Record| {
            record.listed || setup.sent.iter().any(|(_, sent, _)| *sent == server)
        };
        for (server, record) in setup.balancer.servers().iter() {
            prop_assert!(needed(server, record), "{} stays", server);
        }
    }
}
