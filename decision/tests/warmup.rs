//! Cold backend servers get no more requests than they can serve, from all gateways
//! together, with any distribution of the load.

#![allow(clippy::unwrap_used, reason = "a test that fails may panic")]

use std::time::Duration;

use loftcove_decision::balancer::Share;
use loftcove_decision::clock;
use loftcove_decision::routing::warmup::{Cold, Schedule};
use proptest::prelude::*;

/// Requests a second that the server can serve.
const RATE: f64 = 14.0;
/// Requests in one second that users of the system tolerate.
const ALLOWED: usize = 26;
const COLD: Duration = Duration::from_secs(4);
const BEGIN: clock::Instant = clock::Instant::from_micros(10_000_000);

/// Returns the times at which requests arrive at the server. From `burst_start` on, each
/// gateway tries to send a request each millisecond. `late_ms` has the delay with which
/// each gateway learns that the server is cold.
fn arrivals(late_ms: &[u64], burst_start: Duration) -> Vec<clock::Instant> {
    let of = late_ms.len() as u32;
    let cold = Cold { until: BEGIN + COLD, rate: RATE };
    let schedule = |(number, late): (usize, &u64)| {
        let received = BEGIN + Duration::from_millis(*late);
        Schedule::new(cold, Share { number: number as u32, of }, 7, received)
    };
    let mut schedules: Vec<Schedule> = late_ms.iter().enumerate().map(schedule).collect();
    let mut arrivals = Vec::new();
    let mut now = BEGIN + burst_start;
    while now < cold.until {
        for schedule in schedules.iter_mut().filter(|schedule| schedule.admits(now)) {
            schedule.sent(now);
            arrivals.push(now);
        }
        now = now + Duration::from_millis(1);
    }
    arrivals
}

fn max_in_one_second(arrivals: &[clock::Instant]) -> usize {
    let within = |first: &clock::Instant| {
        arrivals
            .iter()
            .filter(|at| *at >= first && at.since(*first) < Duration::from_secs(1))
            .count()
    };
    arrivals.iter().map(within).max().unwrap_or(0)
}

proptest! {
    /// Unused turns must not accumulate, or a burst after a time without requests would
    /// overload the server.
    #[test]
    fn gateways_together_stay_below_the_tolerated_rate(
        late_ms in prop::collection::vec(0_u64..150, 1..120),
        burst_start_ms in 0_u64..3_000,
    ) {
        let arrivals = arrivals(&late_ms, Duration::from_millis(burst_start_ms));
        let most = max_in_one_second(&arrivals);
        prop_assert!(most <= ALLOWED, "{most} in a second from {} gateways", late_ms.len());
    }
}

#[test]
fn a_cold_server_gets_requests_up_to_its_capacity() {
    let arrivals = arrivals(&[0; 30], Duration::ZERO);
    let capacity = (RATE * COLD.as_secs_f64()) as usize;
    assert!(
        (capacity - 2..=capacity + 2).contains(&arrivals.len()),
        "{} of {capacity}",
        arrivals.len()
    );
}

#[test]
fn a_warm_server_is_not_limited() {
    let cold = Cold { until: BEGIN + COLD, rate: RATE };
    let schedule = Schedule::new(cold, Share { number: 29, of: 30 }, 7, BEGIN);
    assert!(!schedule.admits(BEGIN));
    assert!(schedule.admits(BEGIN + COLD));
}

/// Guards against a panic of the task that applies the configuration, because the reciprocal of a
/// configured rate is no duration.
#[test]
fn any_positive_rate_gives_a_schedule() {
    for rate in [f64::MIN_POSITIVE, 5e-324, 1e-30, 1e-19, 1e300, f64::MAX] {
        let cold = Cold { until: BEGIN + COLD, rate };
        let schedule = Schedule::new(cold, Share { number: 299, of: 300 }, 7, BEGIN);
        assert!(!schedule.admits(BEGIN) || rate > 1.0, "{rate}");
    }
}
