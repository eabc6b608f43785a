//! How long a state lasts is learnt from how long it lasted.

use std::time::Duration;

use loftcove_decision::clock::Instant;
use loftcove_decision::episode::Episode;

#[test]
fn nothing_is_expected_before_the_first_has_ended() {
    let mut episode = Episode::default();
    episode.begin(Instant::from_millis(5));
    assert_eq!(episode.expected_duration(), None);
}

#[test]
fn the_mean_follows_the_episodes() {
    let mut episode = Episode::default();
    let mut now = Instant::from_millis(1_000);
    for _ in 0..20 {
        episode.begin(now);
        // A second look at the same state does not begin it anew.
        episode.begin(now + Duration::from_millis(100));
        now = now + Duration::from_millis(400);
        episode.end(now);
        episode.end(now + Duration::from_millis(100));
    }
    assert_eq!(episode.expected_duration(), Some(Duration::from_millis(400)));
    episode.begin(now);
    episode.end(now + Duration::from_secs(2));
    let left = episode.expected_duration().unwrap_or_default();
    assert!(left > Duration::from_millis(800) && left < Duration::from_secs(1), "{left:?}");
}
