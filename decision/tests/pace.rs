//! The bound of streams falls with pauses that are too long, and the breaker
//! lets one probe at a time through.

use std::time::Duration;

use loftcove_decision::breaker::Breaker;
use loftcove_decision::clock::Instant;
use loftcove_decision::pace::Pace;

const TICK: Duration = Duration::from_millis(50);
const SLOTS: f64 = 200.0;

/// Plays so many ticks in which each of the streams has one event. The pause
/// is what `pause` makes of the streams. Returns the streams at the end.
fn play(pace: &mut Pace, now: &mut Instant, ticks: u32, pause: impl Fn(u32) -> f64) -> u32 {
    let mut streams = 100;
    for _ in 0..ticks {
        *now = *now + TICK;
        streams = 100.min(pace.bound());
        for _ in 0..streams {
            pace.event(pause(streams), streams, SLOTS, *now);
        }
    }
    streams
}

#[test]
fn there_is_no_bound_while_events_are_in_time() {
    let mut pace = Pace::default();
    let mut now = Instant::ZERO;
    assert_eq!(play(&mut pace, &mut now, 100, |_| 0.5), 100);
}

#[test]
fn the_bound_settles_where_events_are_just_in_time() {
    let mut pace = Pace::default();
    let mut now = Instant::ZERO;
    let streams = play(&mut pace, &mut now, 400, |streams| f64::from(streams) / 60.0);
    assert!((40..=60).contains(&streams), "{streams}");
}

#[test]
fn bounding_is_given_up_where_it_does_not_help() {
    let mut pace = Pace::default();
    let mut now = Instant::ZERO;
    let streams = play(&mut pace, &mut now, 100, |_| 5.0);
    assert_eq!(streams, 100);
}

#[test]
fn a_pool_without_events_stands_still() {
    let mut pace = Pace::default();
    let mut now = Instant::from_millis(1_000);
    pace.sent(0, now);
    assert!(!pace.stalled(5, now + Duration::from_millis(400)));
    assert!(pace.stalled(5, now + Duration::from_millis(500)));
    now = now + Duration::from_millis(500);
    pace.event(1.0, 5, SLOTS, now);
    assert!(!pace.stalled(5, now));
    assert!(!pace.stalled(0, now + Duration::from_secs(9)), "nothing is in flight");
}

#[test]
fn a_broken_group_gets_one_probe_at_a_time() {
    let mut breaker = Breaker::default();
    let now = Instant::from_millis(1_000);
    assert!(breaker.admits(now));
    assert!(breaker.refused(now));
    assert!(!breaker.admits(now + Duration::from_millis(100)));
    let probe = now + Duration::from_millis(200);
    assert!(breaker.admits(probe));
    breaker.sent(probe);
    assert!(!breaker.admits(probe + Duration::from_millis(10)));
    assert!(!breaker.refused(probe + Duration::from_millis(20)), "it was open before");
    let open = breaker.answered(now + Duration::from_secs(3));
    assert_eq!(open, Some(Duration::from_secs(3)));
    breaker.sent(now + Duration::from_secs(3));
    assert!(breaker.admits(now + Duration::from_secs(3)));
}
