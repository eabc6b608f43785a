//! Backend servers that name a rate limit: all gateways together send no more, whatever
//! they know of each other, use most of it, and hear of its end.

#![allow(clippy::unwrap_used, reason = "a test that fails may panic")]

use std::collections::BTreeSet;
use std::time::Duration;

use loftcove_decision::clock;
use loftcove_decision::routing::rate::{Change, Limit, Notice, Peer, Peers, Place, Quota};
use proptest::prelude::*;

const SERVER: &str = "server-1";
const ZONE: &str = "norte";
/// Span in which the users count, and how long after it was told a gateway counts.
const SPAN: Duration = Duration::from_secs(4);
const SETTLE: Duration = Duration::from_millis(500);
const STEP: Duration = Duration::from_millis(20);
const BEGIN: clock::Instant = clock::Instant::from_millis(1_000_000);

fn limit(rate: f64) -> Limit {
    Limit::per_second(rate).unwrap()
}

/// Gateway by its number; one of `zones` is in the server's.
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

/// A gateway that always has something to send.
struct Gateway {
    number: usize,
    quota: Option<Quota>,
    told: Option<clock::Instant>,
    runs: bool,
}

impl Gateway {
    fn new(number: usize, runs: bool) -> Gateway {
        Gateway { number, quota: None, told: None, runs }
    }

    /// Whether it sends a request now, whose answer comes at once.
    fn send(
        &mut self,
        rate: Limit,
        listed: &BTreeSet<usize>,
        zones: usize,
        now: clock::Instant,
    ) -> bool {
        let goes = self.runs && self.quota.is_none_or(|quota| quota.admits(now));
        if goes {
            if let Some(quota) = &mut self.quota {
                quota.sent(now);
            }
            let place = || place(self.number, listed.iter().copied(), zones);
            Quota::update(&mut self.quota, Notice::Limited(rate), place, (now, now));
            self.told.get_or_insert(now);
        }
        goes
    }

    fn counts(&self, now: clock::Instant) -> bool {
        self.told.is_some_and(|told| now >= told + SETTLE)
    }
}

fn most_in_a_span(arrivals: &[clock::Instant]) -> usize {
    let within = |first: &clock::Instant| {
        arrivals.partition_point(|at| *at <= *first + SPAN)
            - arrivals.partition_point(|at| at < first)
    };
    arrivals.iter().map(within).max().unwrap_or(0)
}

/// Gateways that come and go at a time, and when each of the others hears of it.
#[derive(Debug, Clone)]
struct Turnover {
    ms: u64,
    changed: BTreeSet<usize>,
    heard_ms: Vec<u64>,
}

const GATEWAYS: usize = 24;

fn turnover() -> impl Strategy<Value = Turnover> {
    let changed = prop::collection::btree_set(0..GATEWAYS, 1..GATEWAYS);
    let heard = prop::collection::vec(0_u64..2_000, GATEWAYS);
    (0_u64..40_000, changed, heard).prop_map(|(ms, changed, heard_ms)| Turnover {
        ms,
        changed,
        heard_ms,
    })
}

proptest! {
    /// Gateways that differ for two seconds on who there is send no more together than the
    /// users allow: one and a half times the limit, and five requests.
    #[test]
    fn gateways_that_differ_on_who_there_is_keep_the_bound(
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
                    let comes = running.insert(*number) || !running.remove(number);
                    gateways[*number] = Gateway::new(*number, comes);
                }
                // Who starts reads the list.
                turnover.changed.iter().for_each(|number| views[*number] = running.clone());
            }
            for (number, gateway) in gateways.iter_mut().enumerate() {
                let heard = turnovers.iter().any(|t| (t.ms + t.heard_ms[number]) / 20 == ms / 20);
                if heard {
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

/// Requests in 200 s that so many gateways send, each of which always has one.
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

/// The aim: four fifths of what a server allows are used where there is work for it.
#[test]
fn four_fifths_of_a_limit_are_used_at_any_number_of_gateways() {
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
fn gateways_of_the_servers_zone_use_its_limit() {
    let rank = |number| place(number, 0..9, 3).rank;
    let mut near: Vec<u32> = (0..9).step_by(3).map(rank).collect();
    near.sort_unstable();
    assert_eq!(near, [0, 1, 2]);
    // A zone without gateways is served by those of others.
    let far = Peers::new(peer(1, 3), [peer(2, 3), peer(4, 3)]).place(SERVER, ZONE);
    let mut quota = None;
    Quota::update(&mut quota, Notice::Limited(limit(1.0)), || far, (at(0), at(0)));
    assert!(quota.unwrap().pace().holder);
}

/// What an answer says to a request that was sent then, read at that time.
fn hear(quota: &mut Option<Quota>, notice: Notice, sent: u64, read: u64) -> Option<Change> {
    Quota::update(quota, notice, || place(0, 0..1, 1), (at(sent), at(read)))
}

#[test]
fn answers_that_come_out_of_order_neither_lift_nor_raise_a_limit() {
    let named = |rate| Notice::Limited(limit(rate));
    let mut quota = None;
    assert_eq!(hear(&mut quota, named(2.0), 0, 100), Some(Change::Limited(limit(2.0), None)));
    // These were sent before that was heard.
    assert_eq!(hear(&mut quota, Notice::Unlimited, 50, 120), None);
    assert_eq!(hear(&mut quota, named(5.0), 90, 130), None);
    let lowered = Some(Change::Limited(limit(1.0), Some(limit(2.0))));
    assert_eq!(hear(&mut quota, named(1.0), 95, 140), lowered);
    // These after it.
    let raised = Some(Change::Limited(limit(5.0), Some(limit(1.0))));
    assert_eq!(hear(&mut quota, named(5.0), 140, 200), raised);
    assert_eq!(hear(&mut quota, Notice::Unreadable, 210, 220), None);
    assert_eq!(hear(&mut quota, Notice::Unknown, 210, 220), None);
    assert_eq!(quota.unwrap().limit(), limit(5.0));
    let lifted = Some(Change::Lifted(Duration::from_millis(150)));
    assert_eq!(hear(&mut quota, Notice::Unlimited, 220, 250), lifted);
    assert_eq!(quota, None);
}

#[test]
fn a_limit_of_nothing_is_asked_after_now_and_then() {
    let mut quota = None;
    hear(&mut quota, Notice::Limited(limit(0.0)), 0, 0);
    let quota = quota.unwrap();
    assert!(!quota.admits(at(5_000)));
    assert!(quota.admits(at(60_000)));
}

#[test]
fn a_limit_that_changes_several_times_a_second_is_followed() {
    let mut quota = None;
    let mut sent = Vec::new();
    for step in 0..1_000 {
        let rate = if step % 20 < 10 { 100.0 } else { 0.5 };
        let now = step * 10;
        hear(&mut quota, Notice::Limited(limit(rate)), now, now);
        if quota.unwrap().admits(at(now)) {
            quota.as_mut().unwrap().sent(at(now));
            sent.push(rate);
        }
    }
    assert!(sent.iter().filter(|rate| **rate > 1.0).count() > 300);
    assert!(sent.iter().filter(|rate| **rate < 1.0).count() < 5);
}

#[test]
fn rates_that_are_no_number_of_requests_are_none() {
    assert_eq!(Limit::per_second(f64::NAN), None);
    assert_eq!(Limit::per_second(f64::INFINITY), None);
    assert_eq!(Limit::per_second(-0.1), None);
    let huge = limit(1e300);
    let mut quota = None;
    hear(&mut quota, Notice::Limited(huge), 0, 0);
    assert!(quota.unwrap().admits(at(1)));
}
