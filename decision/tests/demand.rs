//! Demand that moves between the gateways of a group.
//!
//! The group has room for all of it, or for a part only. Retries meet any gateway.

#![allow(clippy::unwrap_used, reason = "a test that fails may panic")]

#[path = "common/fleet.rs"]
mod fleet;

use std::time::Duration;

use fleet::{Load, Outcome, SKEW};

/// Requests per second of all gateways together. The group fits 268 at [`SKEW`].
const RATE: f64 = 200.0;
/// Ratio of the actual to the published time of a pass at which 7 of 10 slots of a rank fit.
const HIGH_SKEW: f64 = 2.2;
/// Time at which the demand moves, seconds.
const START: f64 = 12.0;
/// Time for which one gateway has the demand, seconds.
const LENGTH: f64 = 6.0;
/// Time after which a gateway has to serve the requests that have moved to it.
const CONTACT: Duration = Duration::from_secs(4);
const SEED: u64 = 1;
const GATEWAYS: [u32; 3] = [6, 27, 100];
/// Gateways of which each usually has fewer than two streams.
const MANY_GATEWAYS: u32 = 300;

/// Returns the load of which `share` arrives at gateway 0 from [`START`] on, then at gateway 1, and
/// evenly afterwards. At other times `usual` requests per second arrive, and meanwhile `rate`.
fn moved(gateways: u32, share: f64, (usual, rate): (f64, f64)) -> Load {
    let even = 1.0 / f64::from(gateways);
    let part = move |time: f64, gateway: usize| {
        let chosen = match time - START {
            time if (0.0..LENGTH).contains(&time) => 0,
            time if (LENGTH..2.0 * LENGTH).contains(&time) => 1,
            _ => return usual * even,
        };
        rate * (share * f64::from(u8::from(gateway == chosen)) + (1.0 - share) * even)
    };
    Load {
        rate: Box::new(move |time, _, gateway| part(time, gateway)),
        skew: Box::new(|_| SKEW),
        window: (START, START + 2.0 * LENGTH),
        seconds: START + 2.0 * LENGTH + 4.0,
        distinguished: true,
        kinds: vec![(0, 0)],
    }
}

/// Returns the share of the requests served at the first attempt among those that arrive from
/// `after` a move on.
fn served(outcome: &Outcome, after: Duration) -> f64 {
    let number = |time: f64| (time / fleet::INTERVAL.as_secs_f64()) as u64;
    let mut sum = fleet::Count::default();
    for start in [START, START + LENGTH] {
        let intervals = number(start + after.as_secs_f64())..number(start + LENGTH);
        for (_, count) in outcome.first_attempts.range(intervals) {
            sum.asked += count.asked;
            sum.served += count.served;
        }
    }
    sum.share()
}

fn summary(name: &str, gateways: u32, outcome: &Outcome) -> String {
    let shares = outcome.first_attempts.values().map(|count| format!("{:.2}", count.share()));
    let shares: Vec<String> = shares.collect();
    let summary = format!(
        "{name} gateways={gateways} all={:.3} settled={:.3} peak={:.2} completed={} \
         by interval: {}",
        served(outcome, Duration::ZERO),
        served(outcome, CONTACT),
        outcome.peak,
        outcome.completed,
        shares[22..].join(" ")
    );
    println!("{summary}");
    summary
}

fn check_moved(gateways: u32) {
    let outcome = fleet::run_once(gateways, &moved(gateways, 0.95, (RATE, RATE)), SEED);
    let summary = summary("moved", gateways, &outcome);
    assert!(served(&outcome, CONTACT) >= 0.95, "{summary}");
    assert!(served(&outcome, Duration::ZERO) >= 0.9, "{summary}");
}

/// Guards against a gateway that rejects requests for shortage while the group has room, because
/// most requests have moved to that gateway.
#[test]
fn requests_that_move_to_one_gateway_use_the_capacity_that_the_others_leave() {
    GATEWAYS.into_iter().for_each(check_moved);
}

/// Guards against the same where the usual part of each gateway is too small to show how many
/// streams the group has.
#[test]
fn requests_that_move_to_one_of_300_gateways_use_the_capacity_that_the_others_leave() {
    check_moved(MANY_GATEWAYS);
}

/// Guards against gateways that all take the capacity that only one of them could have.
#[test]
fn more_requests_at_all_gateways_do_not_exceed_what_fits_in_time() {
    for gateways in GATEWAYS.into_iter().chain([MANY_GATEWAYS]) {
        for (name, share) in [("burst", 0.0), ("burst at one", 0.5)] {
            let load = moved(gateways, share, (RATE / 2.0, RATE * 2.0));
            let load = Load { skew: Box::new(|_| HIGH_SKEW), ..load };
            let outcome = fleet::run_once(gateways, &load, SEED);
            let summary = summary(name, gateways, &outcome);
            let time = fleet::COST.time(outcome.peak) * HIGH_SKEW;
            assert!(time <= fleet::PAUSE.as_secs_f64(), "{time} {summary}");
        }
    }
}
