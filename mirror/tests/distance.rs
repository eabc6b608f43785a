//! Distances of hosts from the store.

use loftcove_mirror::distance::{Distance, UNREACHABLE};

/// Propagates distances along the links, each from a host to its follower, until none changes.
fn propagate(hosts: &[Distance], links: &[(usize, usize)]) {
    loop {
        let before: Vec<u32> = hosts.iter().map(Distance::get).collect();
        for (from, to) in links {
            hosts[*to].set_peer(&from.to_string(), hosts[*from].get());
        }
        if before == hosts.iter().map(Distance::get).collect::<Vec<u32>>() {
            return;
        }
    }
}

fn hosts(count: usize) -> Vec<Distance> {
    (0..count).map(|_| Distance::default()).collect()
}

#[test]
fn counts_from_the_nearest_watcher_that_the_store_answers() {
    let hosts = hosts(3);
    hosts[0].set_watcher(true);
    assert_eq!(hosts[0].get(), UNREACHABLE, "the store has not answered it yet");
    hosts[0].set_answered(true);
    propagate(&hosts, &[(0, 1), (1, 2)]);
    let distances: Vec<u32> = hosts.iter().map(Distance::get).collect();
    assert_eq!(distances, [0, 1, 2]);
    assert!(hosts[2].peers_reach_store());
    hosts[1].forget_peer("0");
    propagate(&hosts, &[(1, 2)]);
    assert!(!hosts[2].peers_reach_store());
}

#[test]
fn hosts_in_a_cycle_become_unreachable_when_the_last_watcher_is_lost() {
    let hosts = hosts(4);
    hosts[0].set_watcher(true);
    hosts[0].set_answered(true);
    let links = [(0, 1), (0, 2), (1, 2), (2, 3), (3, 1), (2, 1), (3, 2)];
    propagate(&hosts, &links);
    assert!(hosts[1..].iter().all(Distance::peers_reach_store));
    // The store rejects the watcher.
    hosts[0].set_answered(false);
    propagate(&hosts, &links);
    assert!(hosts.iter().all(|host| host.get() == UNREACHABLE));
    assert!(!hosts[1..].iter().any(Distance::peers_reach_store));
}

#[test]
fn a_host_that_watches_for_lack_of_peers_does_not_count_as_a_watcher() {
    let hosts = hosts(2);
    hosts[0].set_answered(true);
    propagate(&hosts, &[(0, 1), (1, 0)]);
    assert!(
        !hosts[1].peers_reach_store(),
        "a circular reliance would make both hosts stop watching"
    );
}
