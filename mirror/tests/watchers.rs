//! Selection of the gateways that watch the store: a few of each zone, and those that lack peers.

#![allow(clippy::unwrap_used, reason = "a test that fails may panic")]

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use loftcove_decision::mirror::Record;
use loftcove_decision::revision::Revision;
use loftcove_mirror::{Mirror, OWN_PREFIX, Source, register};

const START_TIME: Duration = Duration::from_millis(1_500);

fn entry(name: &str, zone: &str, revision: u64) -> Record {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let entry = register::Entry { address, zone: zone.into() };
    let value = serde_json::to_vec(&entry).unwrap();
    let key = format!("{OWN_PREFIX}gateways/{name}").into();
    Record { key, revision: Revision::new(0, revision), value: Some(value.into()) }
}

fn own(name: &str, zone: &str, seed: bool) -> register::Own {
    let bound = Duration::from_secs(2);
    register::Own { name: name.into(), zone: zone.into(), seed, bound }
}

/// Returns the number of gateways of one zone that are watchers because of their place in it, among
/// `zones` zones of `gateways` gateways each. All lack peers and therefore watch the store, so that
/// only the distance distinguishes watchers.
fn count_watchers(zones: usize, gateways: usize) -> usize {
    let mirror = Mirror::default();
    let name = |zone: usize, number: usize| format!("g-{zone}-{number}");
    let all = (0..zones).flat_map(|zone| (0..gateways).map(move |number| (zone, number)));
    let records = all
        .map(|(zone, number)| entry(&name(zone, number), &format!("z{zone}"), 1 + number as u64))
        .collect();
    mirror.apply(records, Source::Store);
    let watches = |number: usize| {
        register::watches(&mirror, &own(&name(0, number), "z0", false));
        mirror.distance.set_answered(true);
        mirror.distance.get() == 0
    };
    (0..gateways).filter(|number| watches(*number)).count()
}

#[test]
fn two_or_three_gateways_of_each_zone_watch() {
    assert_eq!(count_watchers(3, 3), 3);
    assert_eq!(count_watchers(3, 12), 3);
    assert_eq!(count_watchers(5, 30), 2);
    assert_eq!(count_watchers(31, 13), 2);
}

#[test]
fn a_gateway_waits_for_peers_after_its_start_unless_it_is_a_seed() {
    let begun = Instant::now();
    let mirror = Mirror::default();
    assert!(
        register::watches(&mirror, &own("g", "z", true)),
        "other gateways follow a seed, so it watches at once"
    );
    let waited = !register::watches(&mirror, &own("g", "z", false));
    assert!(waited || begun.elapsed() >= START_TIME);
    // Without a peer it starts to watch after the start time, and not before.
    while !register::watches(&mirror, &own("g", "z", false)) {
        assert!(begun.elapsed() < START_TIME * 20);
        std::thread::yield_now();
    }
    assert!(begun.elapsed() >= START_TIME);
}
