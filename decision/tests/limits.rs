//! Backend servers that report a rate limit. All gateways together keep within the limit
//! even if their views of each other differ, use most of it, and detect that it is lifted.

#![allow(clippy::unwrap_used, reason = "a test that fails may panic")]

use std::collections::BTreeSet;
use std::time::Duration;

use loftcove_decision::clock;
use loftcove_decision::routing::rate::{Change, Limit, Notice, Peer, Peers, Place, Quota};
use proptest::prelude::*;

const SERVER: &str = "server-1";
const ZONE: &str = "norte";
/// Span over which the users count requests, and time after a gateway received the limit
/// from which its requests count.
const SPAN: Duration = Duration::from_secs(4);
const SETTLE: Duration = Duration::from_millis(500);
const STEP: Duration = Duration::from_millis(20);
const BEGIN: clock::Instant = clock::Instant::from_millis(1_000_000);

fn limit(rate: f64) -> Limit {
    Limit::per_second(rate).unwrap()
}

/// Returns the gateway of that number. One in `zones` is in the zone of the server.
fn peer(number: usize, zones: usize) -> Peer {
    let zone = if number.is_multiple_of(zones) {
        ZONE.to_owned()
    } else {
        format!("zone-{}", number % zones)
    };
    Peer { name: format!("gateway-{number}").into(), zone: zone.into() }
}

fn place(own: usize, listed: impl IntoIterator<Item = usize>, zones: usize) -> Place {
    Peers::new(peer(own, zones), listed.into_iter().map(|n| peer(n, zones))).place(SERVER, ZONE)
}

fn at(ms: u64) -> clock::Instant {
    BEGIN + Duration::from_millis(ms)
}

/// A gateway that always has a request to dispatch.
struct Gateway {
    number: usize,
    quota: Option<Quota>,
    informed: Option<clock::Instant>,
    runs: bool,
}

impl Gateway {
    fn new(number: usize, runs: bool) -> Gateway {
        Gateway { number, quota: None, informed: None, runs }
    }

    /// Dispatches a request if the quota admits it; the answer arrives at once. Returns
    /// whether a request was dispatched.
    fn send(
        &mut self,
        rate: Limit,
        listed: &BTreeSet<usize>,
        zones: usize,
        now: clock::Instant,
    ) -> bool {
        let admitted = self.runs && self.quota.is_none_or(|quota| quota.admits(now));
        if admitted {
            if let Some(quota) = &mut self.quota {
                quota.sent(now);
            }
            let place = || place(self.number, listed.iter().copied(), zones);
            Quota::update(&mut self.quota, Notice::Limited(rate), place, (now, now));
            self.informed.get_or_insert(now);
        }
        admitted
    }

    fn counts(&self, now: clock::Instant) -> bool {
        self.informed.is_some_and(|informed| now >= informed + SETTLE)
    }
}

fn most_in_a_span(arrivals: &[clock::Instant]) -> usize {
    let within = |first: &clock::Instant| {
        arrivals.partition_point(|at| *at <= *first + SPAN)
            - arrivals.partition_point(|at| at < first)
    };
    arrivals.iter().map(within).max().unwrap_or(0)
}

/// Gateways that start or stop at a time, and the delay until each of the others receives
/// the update.
#[derive(Debug, Clone)]
struct Turnover {
    ms: u64,
    changed: BTreeSet<usize>,
    received_ms: Vec<u64>,
}

const GATEWAYS: usize = 24;

fn turnover() -> impl Strategy<Value = Turnover> {
    let changed = prop::collection::btree_set(0..GATEWAYS, 1..GATEWAYS);
    let received = prop::collection::vec(0_u64..2_000, GATEWAYS);
    (0_u64..40_000, changed, received).prop_map(|(ms, changed, received_ms)| Turnover {
        ms,
        changed,
        received_ms,
    })
}

proptest! {
    /// Gateways whose lists of running gateways differ for two seconds together keep within
    /// the users' bound of one and a half times the limit plus five requests.
    #[test]
    fn gateways_with_different_peer_lists_keep_within_the_limit(
        rate in prop_oneof![Just(0.0), Just(0.2), Just(1.0), 0.05_f64..4.0, 4.0_f64..60.0],
        zones in 1_usize..4,
        first in prop::collection::btree_set(0..GATEWAYS, 1..GATEWAYS),
        turnovers in prop::collection::vec(turnover(), 0..4),
    ) {
        let rate = limit(rate);
        let mut gateways: Vec<Gateway> =
            (0..GATEWAYS).map(|number| Gateway::new(number, first.contains(&number))).collect();
        let mut views = vec![first.clone(); GATEWAYS];
        let mut running = first;
        let mut arrivals = Vec::new();
        for ms in (0..60_000).step_by(STEP.as_millis() as usize) {
            let now = at(ms);
            for turnover in turnovers.iter().filter(|turnover| turnover.ms / 20 == ms / 20) {
                for number in &turnover.changed {
                    let starts = running.insert(*number) || !running.remove(number);
                    gateways[*number] = Gateway::new(*number, starts);
                }
                // A gateway that starts reads the current list.
                turnover.changed.iter().for_each(|number| views[*number] = running.clone());
            }
            for (number, gateway) in gateways.iter_mut().enumerate() {
                let received =
                    turnovers.iter().any(|t| (t.ms + t.received_ms[number]) / 20 == ms / 20);
                if received {
                    views[number] = running.clone();
                    if let Some(quota) = &mut gateway.quota {
                        quota.set_place(place(number, running.iter().copied(), zones), now);
                    }
                }
                if gateway.send(rate, &views[number], zones, now) && gateway.counts(now) {
                    arrivals.push(now);
                }
            }
        }
        let allowed = 1.5 * rate.rate() * SPAN.as_secs_f64() + 5.0;
        let most = most_in_a_span(&arrivals);
        prop_assert!(most as f64 <= allowed, "{most} of {allowed} at {rate} a second");
    }
}

/// Returns the arrivals within 200 s from gateways that always have a request to dispatch.
fn sent(rate: f64, gateways: usize, zones: usize) -> Vec<clock::Instant> {
    let all: BTreeSet<usize> = (0..gateways).collect();
    let mut gateways: Vec<Gateway> = (0..gateways).map(|n| Gateway::new(n, true)).collect();
    let mut arrivals = Vec::new();
    for ms in (0..200_000).step_by(10) {
        for gateway in &mut gateways {
            if gateway.send(limit(rate), &all, zones, at(ms)) && gateway.counts(at(ms)) {
                arrivals.push(at(ms));
            }
        }
    }
    arrivals
}

/// The aim is to use at least four fifths of a server's limit while there is work for it.
#[test]
fn any_number_of_gateways_uses_four_fifths_of_a_limit() {
    for (gateways, zones) in [(1, 1), (8, 3), (31, 3), (300, 31), (1_000, 31)] {
        for rate in [0.2, 1.0, 7.0, 40.0] {
            let arrivals = sent(rate, gateways, zones);
            let part = arrivals.len() as f64 / (rate * 200.0);
            println!("gateways={gateways} rate={rate} used={part:.2}");
            assert!((0.8..=1.02).contains(&part), "{part} of {rate} by {gateways}");
            let most = most_in_a_span(&arrivals);
            assert!(most as f64 <= 6.0 * rate + 5.0, "{most} at {rate} by {gateways}");
        }
    }
}

#[test]
fn gateways_in_the_zone_of_the_server_rank_first() {
    let rank = |number| place(number, 0..9, 3).rank;
    let mut near: Vec<u32> = (0..9).step_by(3).map(rank).collect();
    near.sort_unstable();
    assert_eq!(near, [0, 1, 2]);
    // A server in a zone without gateways gets requests from gateways of other zones.
    let far = Peers::new(peer(1, 3), [peer(2, 3), peer(4, 3)]).place(SERVER, ZONE);
    let mut quota = None;
    Quota::update(&mut quota, Notice::Limited(limit(1.0)), || far, (at(0), at(0)));
    assert!(quota.unwrap().pace().holder);
}

/// Applies the notice of an answer that was read at `read`, to a request dispatched at `sent`.
fn apply(quota: &mut Option<Quota>, notice: Notice, sent: u64, read: u64) -> Option<Change> {
    Quota::update(quota, notice, || place(0, 0..1, 1), (at(sent), at(read)))
}

#[test]
fn answers_to_earlier_requests_neither_lift_nor_raise_a_limit() {
    let named = |rate| Notice::Limited(limit(rate));
    let mut quota = None;
    assert_eq!(apply(&mut quota, named(2.0), 0, 100), Some(Change::Limited(limit(2.0), None)));
    // These requests were dispatched before the limit was received.
    assert_eq!(apply(&mut quota, Notice::Unlimited, 50, 120), None);
    assert_eq!(apply(&mut quota, named(5.0), 90, 130), None);
    let lowered = Some(Change::Limited(limit(1.0), Some(limit(2.0))));
    assert_eq!(apply(&mut quota, named(1.0), 95, 140), lowered);
    // These were dispatched after it.
    let raised = Some(Change::Limited(limit(5.0), Some(limit(1.0))));
    assert_eq!(apply(&mut quota, named(5.0), 140, 200), raised);
    assert_eq!(apply(&mut quota, Notice::Unreadable, 210, 220), None);
    assert_eq!(apply(&mut quota, Notice::Unknown, 210, 220), None);
    assert_eq!(quota.unwrap().limit(), limit(5.0));
    let lifted = Some(Change::Lifted(Duration::from_millis(150)));
    assert_eq!(apply(&mut quota, Notice::Unlimited, 220, 250), lifted);
    assert_eq!(quota, None);
}

#[test]
fn a_limit_of_zero_admits_an_occasional_probe() {
    let mut quota = None;
    apply(&mut quota, Notice::Limited(limit(0.0)), 0, 0);
    let quota = quota.unwrap();
    assert!(!quota.admits(at(5_000)));
    assert!(quota.admits(at(60_000)));
}

#[test]
fn follows_a_limit_that_changes_several_times_a_second() {
    let mut quota = None;
    let mut sent = Vec::new();
    for step in 0..1_000 {
        let rate = if step % 20 < 10 { 100.0 } else { 0.5 };
        let now = step * 10;
        apply(&mut quota, Notice::Limited(limit(rate)), now, now);
        if quota.unwrap().admits(at(now)) {
            quota.as_mut().unwrap().sent(at(now));
            sent.push(rate);
        }
    }
    assert!(sent.iter().filter(|rate| **rate > 1.0).count() > 300);
    assert!(sent.iter().filter(|rate| **rate < 1.0).count() < 5);
}

#[test]
fn rejects_rates_that_are_negative_or_not_finite() {
    assert_eq!(Limit::per_second(f64::NAN), None);
    assert_eq!(Limit::per_second(f64::INFINITY), None);
    assert_eq!(Limit::per_second(-0.1), None);
    let huge = limit(1e300);
    let mut quota = None;
    apply(&mut quota, Notice::Limited(huge), 0, 0);
    assert!(quota.unwrap().admits(at(1)));
}
