//! Requests that may have ended their servers run apart from each other.

#![allow(clippy::unwrap_used, reason = "a test that fails may panic")]

use std::collections::BTreeSet;
use std::time::Duration;

use loftcove_decision::routing::{policy, server};
use loftcove_decision::{balancer, clock, entity, poison};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng as _;

const GATEWAYS: u32 = 3;
const NOW: clock::Instant = clock::Instant::from_micros(1_000_000);

type Balancer = balancer::Balancer<policy::Blend>;

fn pool() -> entity::Pool {
    entity::Pool::from_u32(0)
}

/// What one of the gateways knows of so many servers.
fn gateway(number: u32, servers: u32) -> Balancer {
    let rng = ChaCha8Rng::seed_from_u64(3);
    let policy = policy::Blend { rng, sample: 2, affinity_slack: 0.0 };
    let mut balancer = balancer::Balancer::new(policy, &balancer::Options::default());
    balancer.set_share_of_servers(balancer::Share { number, of: GATEWAYS });
    let listing = |number: u32| server::Listing {
        host: format!("server-{number}").into(),
        born: None,
        pool: pool(),
        group: None,
        news: None,
        zone: "norte".into(),
        local: true,
        leaving: false,
        drained: false,
        cold: None,
    };
    balancer.list((0..servers).map(listing).collect(), NOW);
    for number in 0..servers {
        let id = balancer.servers().find(&format!("server-{number}")).unwrap();
        let report = server::Report { slots: 8, sequence: 1, alive: true, ..Default::default() };
        balancer.set_connected(id, true, NOW);
        balancer.report(id, report, NOW);
    }
    balancer
}

/// A request arrives; a suspect has a name.
fn arrive(balancer: &mut Balancer, suspect: Option<&str>) -> (entity::Ticket, Vec<entity::Server>) {
    let arrival = balancer::Arrival {
        pool: pool(),
        team: entity::Team::from_u32(0),
        precedence: 0,
        repeatable: true,
        resumable: false,
        max_attempts: 2,
        deadline: NOW + Duration::from_secs(8),
        expires: NOW + Duration::from_secs(8),
        begin_by: Some(NOW),
        prefix: 0,
        suspect: suspect.map(|name| poison::Digest::of(&[name.as_bytes()])),
    };
    let (ticket, actions) = balancer.arrive(arrival, NOW);
    assert_eq!(balancer.verify(), Ok(()));
    (ticket, sent(&actions))
}

fn sent(actions: &[balancer::Action]) -> Vec<entity::Server> {
    let server = |action: &balancer::Action| match action {
        balancer::Action::Send(dispatch) => Some(dispatch.choice.server),
        balancer::Action::Refuse(_) => None,
    };
    actions.iter().filter_map(server).collect()
}

#[test]
fn gateways_send_suspects_to_servers_of_their_own() {
    let mut taken = BTreeSet::new();
    for number in 0..GATEWAYS {
        let mut balancer = gateway(number, 6);
        for name in ["a", "b", "c"] {
            taken.extend(arrive(&mut balancer, Some(name)).1);
        }
    }
    // Two each; the third suspect of each waits.
    assert_eq!(taken.len(), 6);
}

#[test]
fn a_suspect_waits_for_its_turn_and_others_do_not() {
    let mut balancer = gateway(0, 3);
    let (first, server) = arrive(&mut balancer, Some("a"));
    assert_eq!(server.len(), 1);
    assert_eq!(arrive(&mut balancer, Some("b")).1, []);
    // It waits beyond the time by which its answer should begin.
    assert_eq!(balancer.queue().waiting(), 1);
    for _ in 0..10 {
        let other = arrive(&mut balancer, None).1;
        assert!(other.len() == 1 && other != server, "{other:?} beside the suspect on {server:?}");
    }
    let actions = balancer.end(first, balancer::End::Answered, NOW);
    assert_eq!(sent(&actions), server);
    assert_eq!(balancer.verify(), Ok(()));
}

/// Copies of one request are not on two servers at the same time.
#[test]
fn tries_of_one_suspect_follow_each_other() {
    let mut balancer = gateway(0, 9);
    let (first, server) = arrive(&mut balancer, Some("a"));
    assert_eq!(server.len(), 1);
    assert_eq!(arrive(&mut balancer, Some("a")).1, []);
    assert_eq!(sent(&balancer.end(first, balancer::End::ServerEnded, NOW)).len(), 1);
}

/// Where its own server has ended, a suspect waits: others' suspects are on the
/// other servers. Once it is off the list, these are shared anew.
#[test]
fn a_suspect_waits_for_a_server_that_ended_while_it_is_listed() {
    let mut balancer = gateway(0, 3);
    let (first, before) = arrive(&mut balancer, Some("a"));
    balancer.end(first, balancer::End::ServerEnded, NOW);
    assert_eq!(arrive(&mut balancer, Some("b")).1, []);
    let ended = balancer.servers()[before[0]].listing.host.clone();
    let listed = balancer.servers().iter().map(|(_, record)| record.listing.clone());
    let listed = listed.filter(|listing| listing.host != ended).collect();
    let after = sent(&balancer.list(listed, NOW));
    assert!(after.len() == 1 && after != before);
}

/// The pattern: a zone is cut off with the servers that are a gateway's own.
#[test]
fn a_suspect_whose_own_server_stays_away_goes_elsewhere() {
    let mut balancer = gateway(0, 3);
    let (first, before) = arrive(&mut balancer, Some("a"));
    balancer.end(first, balancer::End::ServerEnded, NOW);
    assert_eq!(arrive(&mut balancer, Some("b")).1, []);
    assert_eq!(sent(&balancer.tick(NOW + Duration::from_millis(1_000))), []);
    let after = sent(&balancer.tick(NOW + Duration::from_millis(1_500)));
    assert!(after.len() == 1 && after != before, "{after:?}");
}

/// Seen: suspects used up all their attempts within a millisecond, each on the same server,
/// which had ended a moment ago and took no connection: of three servers no second one is
/// taken out.
#[test]
fn a_suspect_that_does_not_reach_its_server_waits_for_another_one() {
    let mut balancer = gateway(0, 3);
    let (first, before) = arrive(&mut balancer, Some("a"));
    let (other, _) = arrive(&mut balancer, None);
    balancer.end(other, balancer::End::ServerEnded, NOW);
    let actions = balancer.end(first, balancer::End::Unreachable, NOW);
    assert_eq!(actions, [], "neither sent there again nor refused");
    let after = sent(&balancer.tick(NOW + Duration::from_millis(1_500)));
    assert!(after.len() == 1 && after != before, "{after:?}");
    assert_eq!(balancer.verify(), Ok(()));
}

/// Nobody waits for a suspect where there is one server alone.
#[test]
fn the_only_server_takes_others_beside_a_suspect() {
    let mut balancer = gateway(0, 1);
    let (_, server) = arrive(&mut balancer, Some("a"));
    assert_eq!(arrive(&mut balancer, None).1, server);
}
