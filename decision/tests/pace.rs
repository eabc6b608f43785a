//! The bound on streams keeps events in time, and the breaker admits one probe at a time.

use std::time::Duration;

use loftcove_decision::breaker::Breaker;
use loftcove_decision::clock::Instant;
use loftcove_decision::pace::{Pace, Snapshot};
use loftcove_decision::pass;

const TICK: Duration = Duration::from_millis(50);
const WANTED: Duration = Duration::from_millis(120);
/// Four steps to a pass, each of 5 ms and 1 ms more for each stream.
const COST: pass::Cost = pass::Cost { step: 0.005, per_stream: 0.001, steps: 4.0 };

/// Gateways that share one group of ten ranks. Each keeps its own bound.
struct Fleet {
    paces: Vec<Pace>,
    streams: Vec<f64>,
    now: Instant,
}

impl Fleet {
    const RANKS: u32 = 10;

    fn new(gateways: usize) -> Fleet {
        let paces = vec![Pace::default(); gateways];
        Fleet { paces, streams: vec![0.0; gateways], now: Instant::from_millis(1_000) }
    }

    fn load(&self) -> f64 {
        self.streams.iter().sum::<f64>() / f64::from(Fleet::RANKS)
    }

    /// Simulates `seconds` in which each gateway has demand for `wanted` streams in
    /// flight, each of which ends after a second and a half.
    fn run(&mut self, seconds: f64, wanted: &[f64], skew: impl Fn(f64) -> f64) {
        let ticks = (seconds / TICK.as_secs_f64()) as u32;
        for _ in 0..ticks {
            self.now = self.now + TICK;
            let load = self.load();
            let pause = Duration::from_secs_f64(COST.time(load) * skew(load));
            for (number, pace) in self.paces.iter_mut().enumerate() {
                let in_flight = self.streams[number];
                pace.record_streams(load.round() as u32, in_flight.round() as u32, self.now);
                let mut due = false;
                for _ in 0..(in_flight.ceil() as u32).max(2) {
                    due |= pace.record_event(pause, self.now);
                }
                if due {
                    let view = Snapshot {
                        ranks: Fleet::RANKS,
                        slots: 12,
                        in_flight: in_flight.round() as u32,
                        gateways: wanted.len() as u32,
                        demand: wanted[number],
                        cost: COST,
                    };
                    pace.update_bound(WANTED, &view, self.now);
                }
                let kept = in_flight * (1.0 - TICK.as_secs_f64() / 1.5);
                let limit = pace.bound().min(1_000.0).max(kept);
                let asked = kept + wanted[number] * TICK.as_secs_f64() / 1.5;
                self.streams[number] = asked.min(limit);
            }
        }
    }
}

#[test]
fn admits_all_streams_while_passes_are_short() {
    let mut fleet = Fleet::new(4);
    fleet.run(20.0, &[10.0; 4], |_| 1.2);
    let carried = fleet.streams.iter().sum::<f64>();
    assert!(carried > 38.0, "{carried}");
}

#[test]
fn limits_the_streams_to_those_that_fit_in_time() {
    let mut fleet = Fleet::new(4);
    // At twice the published time, eight and a half streams a rank fit in 120 ms.
    fleet.run(40.0, &[100.0; 4], |_| 2.0);
    let load = fleet.load();
    assert!((6.0..=10.0).contains(&load), "{load}");
    let time = COST.time(load) * 2.0;
    assert!(time <= WANTED.as_secs_f64(), "{time}");
}

#[test]
fn shares_of_the_gateways_converge() {
    let mut fleet = Fleet::new(2);
    fleet.run(10.0, &[200.0, 0.0], |_| 2.0);
    fleet.run(60.0, &[200.0, 200.0], |_| 2.0);
    let (first, second) = (fleet.streams[0], fleet.streams[1]);
    assert!(second > first * 0.5, "{first} {second}");
}

#[test]
fn the_bound_allows_for_the_skew_of_the_last_seconds() {
    let mut fleet = Fleet::new(1);
    for _ in 0..6 {
        fleet.run(2.5, &[60.0], |_| 1.0);
        fleet.run(1.5, &[60.0], |_| 2.2);
    }
    // With a skew of 2.2, at most 7 streams a rank fit in time.
    fleet.run(2.0, &[100.0], |_| 1.0);
    assert!(fleet.load() < 8.0, "{}", fleet.load());
}

#[test]
fn serves_streams_late_if_none_can_be_in_time() {
    let mut fleet = Fleet::new(1);
    // The slowest rank takes a third of a second for a pass at any load.
    fleet.run(20.0, &[100.0], |load| 0.35 / COST.time(load));
    assert!(fleet.load() > 8.0, "{}", fleet.load());
}

/// With a minimum of whole streams, the gateways together admitted more than fits.
#[test]
fn the_minimum_bounds_of_many_gateways_do_not_exceed_what_fits() {
    for gateways in [30, 70, 400] {
        let mut fleet = Fleet::new(gateways);
        // At four times the published time, 1.75 streams a rank fit in 120 ms.
        fleet.run(40.0, &vec![10.0; gateways], |_| 4.0);
        assert!(fleet.load() < 4.5, "{gateways} {}", fleet.load());
        assert!(fleet.paces.iter().all(|pace| pace.bound() > 0.0), "{gateways}");
    }
}

#[test]
fn an_open_breaker_admits_one_probe_at_a_time() {
    let mut breaker = Breaker::default();
    let now = Instant::from_millis(1_000);
    assert!(breaker.admits(now));
    assert!(breaker.record_refusal(now));
    assert!(!breaker.admits(now + Duration::from_millis(100)));
    let probe = now + Duration::from_millis(200);
    assert!(breaker.admits(probe));
    breaker.record_dispatch(probe);
    assert!(!breaker.admits(probe + Duration::from_millis(10)));
    assert!(
        !breaker.record_refusal(probe + Duration::from_millis(20)),
        "the breaker was already open"
    );
    let open = breaker.record_answer(now + Duration::from_secs(3));
    assert_eq!(open, Some(Duration::from_secs(3)));
    breaker.record_dispatch(now + Duration::from_secs(3));
    assert!(breaker.admits(now + Duration::from_secs(3)));
}

/// Runs a pace for `seconds` with four streams of each rank and the given pause.
fn run_pace(pace: &mut Pace, now: &mut Instant, seconds: f64, pause: f64) {
    let view =
        Snapshot { ranks: 10, slots: 12, in_flight: 40, gateways: 1, demand: 0.0, cost: COST };
    for _ in 0..(seconds / 0.1) as u32 {
        *now = *now + Duration::from_millis(100);
        pace.record_streams(4, 40, *now);
        if pace.record_event(Duration::from_secs_f64(pause), *now) {
            pace.update_bound(WANTED, &view, *now);
        }
    }
}

/// Guards against a bound of the whole group that falls because of one slow rank.
#[test]
fn the_part_of_a_slow_rank_is_predicted() {
    let (mut pace, mut now) = (Pace::default(), Instant::from_millis(1_000));
    run_pace(&mut pace, &mut now, 10.0, COST.time(4.0));
    let before = pace.bound();
    let slow = 4.33 * COST.time(4.0);
    let mut unaware = pace.clone();
    run_pace(&mut unaware, &mut now.clone(), 2.0, slow);
    pace.set_slow_part(slow);
    run_pace(&mut pace, &mut now, 8.0, slow);
    assert!(pace.bound() >= before, "{} {before}", pace.bound());
    assert!(unaware.bound() < before / 2.0, "{} {before}", unaware.bound());
}

/// Guards against a bound that stays low for seconds after a rank has become known to be slow,
/// and against the loss of samples from before that.
#[test]
fn samples_from_before_the_speed_was_known_are_dropped() {
    let (mut pace, mut now) = (Pace::default(), Instant::from_millis(1_000));
    run_pace(&mut pace, &mut now, 6.0, 1.5 * COST.time(4.0));
    let slow = 4.33 * COST.time(4.0);
    run_pace(&mut pace, &mut now, 1.9, slow);
    assert!(pace.bound() < 25.0, "{}", pace.bound());
    pace.set_slow_part(slow);
    pace.forget_recent_skews(now);
    now = now + Duration::from_millis(100);
    pace.record_event(Duration::from_secs_f64(slow), now);
    let view =
        Snapshot { ranks: 10, slots: 12, in_flight: 40, gateways: 1, demand: 0.0, cost: COST };
    let bound = pace.update_bound(WANTED, &view, now);
    assert!((1.4..1.6).contains(&bound.allowed), "{bound:?}");
    assert!(bound.bound > 40.0, "{bound:?}");
}

/// Guards against a bound that rises beyond what fits because a slow rank has fewer streams than
/// assumed.
#[test]
fn a_slow_rank_never_makes_the_skew_less_than_one() {
    let (mut pace, now) = (Pace::default(), Instant::from_millis(1_000));
    pace.record_streams(4, 40, now);
    pace.set_slow_part(4.33 * COST.time(4.0));
    let view =
        Snapshot { ranks: 10, slots: 12, in_flight: 40, gateways: 1, demand: 0.0, cost: COST };
    for (pause, wanted) in [(2.0, 1.0), (0.8, 0.8), (5.2, 1.2)] {
        pace.record_event(Duration::from_secs_f64(pause * COST.time(4.0)), now);
        let skew = pace.update_bound(WANTED, &view, now).skew;
        assert!((skew - wanted).abs() < 0.01, "{skew} {wanted}");
    }
}
