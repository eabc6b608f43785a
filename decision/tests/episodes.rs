//! The expected duration of a state follows its previous durations.

use std::time::Duration;

use loftcove_decision::clock::Instant;
use loftcove_decision::episode::Episode;

#[test]
fn expects_no_duration_before_the_first_episode_has_ended() {
    let mut episode = Episode::default();
    episode.begin(Instant::from_millis(5));
    assert_eq!(episode.expected_duration(), None);
}

#[test]
fn the_expected_duration_follows_the_previous_ones() {
    let mut episode = Episode::default();
    let mut now = Instant::from_millis(1_000);
    for _ in 0..20 {
        episode.begin(now);
        // A second observation of the same state does not restart the episode.
        episode.begin(now + Duration::from_millis(100));
        now = now + Duration::from_millis(400);
        episode.end(now);
        episode.end(now + Duration::from_millis(100));
    }
    assert_eq!(episode.expected_duration(), Some(Duration::from_millis(400)));
    episode.begin(now);
    episode.end(now + Duration::from_secs(2));
    let duration = episode.expected_duration().unwrap_or_default();
    assert!(
        duration > Duration::from_millis(800) && duration < Duration::from_secs(1),
        "{duration:?}"
    );
}
