//! Attribution of servers' ends to requests, and the refusal of poison requests.

#![allow(clippy::unwrap_used, reason = "a test that fails may panic")]

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use loftcove_decision::poison::{
    Burst, Digest, Finished, Item, Ledger, Mark, RETENTION, SETTLE_TIME, Standing,
};
use loftcove_decision::{clock, fleet, poison};
use proptest::prelude::*;

fn run(number: u32) -> fleet::Run {
    fleet::Run { id: format!("server-{number}").into(), born: Some(u64::from(number)) }
}

fn request(name: &str) -> Digest {
    Digest::of(&[name.as_bytes()])
}

fn at(ms: u64) -> clock::Instant {
    clock::Instant::from_millis(ms)
}

/// Default time of merges, at which all ends have settled.
const NOW: clock::Instant = clock::Instant::from_micros(1_400_000);

fn item(server: u32, name: &str, mark: Mark) -> Item {
    Item { run: run(server), digest: request(name), mark, at: at(1_000) }
}

/// Builds a ledger from servers that ended, each with the requests that were on it. A star
/// marks requests that were sent there as the only suspect.
fn ledger(ends: &[(u32, &[&str])]) -> Ledger {
    let mut ledger = Ledger::default();
    for (server, names) in ends {
        for name in *names {
            let mark = if name.starts_with('*') { Mark::Alone } else { Mark::Suspect };
            let item = item(*server, name.trim_start_matches('*'), mark);
            assert!(ledger.merge(&item, NOW));
        }
    }
    assert_eq!(ledger.verify(), Ok(()));
    ledger
}

#[test]
fn a_single_end_refuses_no_request() {
    let ledger = ledger(&[(1, &["guilty", "a", "b"])]);
    assert_eq!(ledger.standing(request("guilty")), Standing::Suspect(1));
    assert_eq!(ledger.standing(request("other")), Standing::Sound);
    assert_eq!(ledger.refused().count(), 0);
}

#[test]
fn refuses_the_only_suspect_at_its_second_end() {
    let mut ledger = ledger(&[(1, &["guilty", "a", "b"]), (2, &["*guilty", "c"])]);
    // The new request `c` may have ended the second server, so the suspect is deferred.
    assert_eq!(ledger.standing(request("guilty")), Standing::Suspect(2));
    assert!(ledger.awaits(request("guilty"), NOW));
    ledger.clear(request("c"));
    assert_eq!(ledger.standing(request("guilty")), Standing::Refused(2));
    // Both ends are explained, so the others are no longer suspects. Each still runs apart
    // from suspects until it has completed.
    for other in ["a", "b"] {
        assert_eq!(ledger.standing(request(other)), Standing::Sound, "{other}");
        assert!(ledger.apart(request(other)));
    }
    assert_eq!(ledger.standing(request("c")), Standing::Sound);
    ledger.clear(request("a"));
    assert!(!ledger.apart(request("a")) && !ledger.apart(request("other")));
}

/// A plain count of ends would refuse a proper request that was on two servers, each of
/// which another request ended.
#[test]
fn does_not_refuse_a_request_interrupted_by_two_others() {
    let mut ledger = ledger(&[(1, &["x", "proper", "a"]), (2, &["y", "proper", "b"])]);
    assert_eq!(ledger.standing(request("proper")), Standing::Suspect(2));
    assert_eq!(ledger.refused().count(), 0);
    // Each of the other two ends one more server as the only suspect there.
    for (server, name) in [(3, "x"), (4, "y")] {
        ledger.merge(&item(server, name, Mark::Alone), NOW);
        assert_eq!(ledger.standing(request(name)), Standing::Refused(2));
    }
    assert_eq!(ledger.standing(request("proper")), Standing::Sound);
}

/// A proper suspect that is tried alone must not be refused if another gateway sends a new
/// poison request to the same server.
#[test]
fn does_not_refuse_a_suspect_that_ran_beside_a_new_request() {
    let mut ledger = ledger(&[(1, &["x", "proper"]), (2, &["*proper", "new"])]);
    assert_eq!(ledger.standing(request("proper")), Standing::Suspect(2));
    assert_eq!(ledger.refused().count(), 0);
    assert!(ledger.awaits(request("proper"), NOW) && !ledger.awaits(request("new"), NOW));
    ledger.merge(&item(3, "new", Mark::Alone), NOW);
    assert_eq!(ledger.standing(request("new")), Standing::Refused(2));
    assert_eq!(ledger.standing(request("proper")), Standing::Suspect(1));
    assert!(!ledger.awaits(request("proper"), NOW), "it is known which request ended the server");
}

/// A suspect must not be deferred without bound if the clients of the requests beside it
/// never retry.
#[test]
fn defers_a_suspect_beside_a_new_request_for_a_bounded_time() {
    let ledger = ledger(&[(1, &["x", "proper"]), (2, &["*proper", "new"])]);
    assert!(ledger.awaits(request("proper"), at(2_400)));
    assert!(!ledger.awaits(request("proper"), at(2_600)));
}

/// Two gateways send a poison request and a proper one to the same server. Each knows only
/// its own request at first, which must not be refused as the only one there.
#[test]
fn an_end_is_no_proof_before_it_has_settled() {
    let mut ledger = ledger(&[(1, &["guilty", "proper"])]);
    let later = |name| Item { at: at(2_000), ..item(2, name, Mark::Alone) };
    ledger.merge(&later("proper"), at(2_010));
    assert_eq!(ledger.standing(request("proper")), Standing::Suspect(2));
    ledger.merge(&later("guilty"), at(2_020));
    ledger.expire(at(2_000) + SETTLE_TIME);
    assert_eq!(ledger.refused().count(), 0);
    // The poison request ends a third server.
    ledger.merge(&Item { at: at(3_000), ..item(3, "guilty", Mark::Alone) }, at(3_010));
    assert_eq!(ledger.refused().count(), 0);
    ledger.expire(at(3_000) + SETTLE_TIME);
    assert_eq!(ledger.standing(request("guilty")), Standing::Refused(3));
    assert_eq!(ledger.standing(request("proper")), Standing::Sound);
}

#[test]
fn an_end_is_proof_once_it_has_settled() {
    let mut ledger = ledger(&[(1, &["guilty", "a"])]);
    ledger.merge(&Item { at: at(2_000), ..item(2, "guilty", Mark::Alone) }, at(2_010));
    assert_eq!(ledger.standing(request("guilty")), Standing::Suspect(2));
    assert!(ledger.unsettled(at(2_100)));
    ledger.expire(at(2_000) + SETTLE_TIME);
    assert_eq!(ledger.standing(request("guilty")), Standing::Refused(2));
}

/// If two gateways each send a suspect to the same server, its end proves nothing about
/// either.
#[test]
fn does_not_refuse_two_suspects_sent_to_one_server() {
    let ledger = ledger(&[(1, &["x", "y"]), (2, &["*x", "*y"])]);
    assert_eq!(ledger.refused().count(), 0);
}

#[test]
fn third_end_separates_two_requests_with_the_same_ends() {
    let mut ledger = ledger(&[(1, &["guilty", "a"]), (2, &["guilty", "a"])]);
    assert_eq!(ledger.standing(request("guilty")), Standing::Suspect(2));
    assert_eq!(ledger.standing(request("a")), Standing::Suspect(2));
    ledger.merge(&item(3, "guilty", Mark::Suspect), NOW);
    assert_eq!(ledger.standing(request("guilty")), Standing::Refused(3));
    assert_eq!(ledger.standing(request("a")), Standing::Sound);
}

#[test]
fn completion_of_a_request_leaves_the_other_one_as_the_cause() {
    let mut ledger = ledger(&[(1, &["guilty", "a"]), (2, &["guilty", "a"])]);
    assert_eq!(ledger.clear(request("a")).len(), 2);
    assert_eq!(ledger.standing(request("a")), Standing::Sound);
    assert_eq!(ledger.standing(request("guilty")), Standing::Refused(2));
    assert_eq!(ledger.clear(request("a")), []);
}

#[test]
fn detects_several_concurrent_poison_requests() {
    let mut ledger =
        ledger(&[(1, &["x", "a"]), (2, &["y", "b"]), (3, &["*y", "c"]), (4, &["*x", "d"])]);
    assert_eq!(ledger.refused().count(), 0);
    for new in ["c", "d"] {
        ledger.clear(request(new));
    }
    for guilty in ["x", "y"] {
        assert_eq!(ledger.standing(request(guilty)), Standing::Refused(2), "{guilty}");
    }
    assert_eq!(ledger.standing(request("a")), Standing::Sound);
}

#[test]
fn refuses_the_request_with_the_most_ends_at_its_third_end() {
    let ledger = ledger(&[(1, &["guilty", "a"]), (2, &["guilty", "a"]), (3, &["guilty", "b"])]);
    assert_eq!(ledger.standing(request("guilty")), Standing::Refused(3));
    assert_eq!(ledger.standing(request("a")), Standing::Sound);
}

/// A proper request may be on the same three servers as a poison request, as gateways
/// divide the servers differently while some gateways are absent. It must not be refused.
#[test]
fn fourth_end_separates_two_requests_with_the_same_three_ends() {
    let all: &[&str] = &["*guilty", "*proper"];
    let mut ledger = ledger(&[(1, all), (2, all), (3, all)]);
    assert_eq!(ledger.refused().count(), 0);
    for name in ["guilty", "proper"] {
        assert!(ledger.awaits(request(name), NOW) || ledger.apart(request(name)));
    }
    ledger.merge(&item(4, "guilty", Mark::Alone), NOW);
    assert_eq!(ledger.standing(request("guilty")), Standing::Refused(4));
    assert_eq!(ledger.standing(request("proper")), Standing::Sound);
}

#[test]
fn refuses_at_the_fourth_end_in_any_case() {
    let all: &[&str] = &["guilty", "a"];
    let ledger = ledger(&[(1, all), (2, all), (3, all), (4, all)]);
    assert_eq!(ledger.standing(request("guilty")), Standing::Refused(4));
}

/// A gateway knows that its own request was on the third server, but has not received yet
/// that another request was on all three as well. Its own request must not be refused.
#[test]
fn a_count_is_no_proof_before_the_last_end_has_settled() {
    let both: &[&str] = &["guilty", "proper"];
    let mut ledger = ledger(&[(1, both), (2, both)]);
    let third = |name| Item { at: at(2_000), ..item(3, name, Mark::Alone) };
    ledger.merge(&third("proper"), at(2_000));
    assert_eq!(ledger.standing(request("proper")), Standing::Suspect(3));
    ledger.merge(&third("guilty"), at(2_020));
    ledger.expire(at(2_000) + SETTLE_TIME);
    assert_eq!(ledger.refused().count(), 0);
}

#[test]
fn repeated_reports_of_an_end_count_once() {
    let mut ledger = ledger(&[(1, &["a"])]);
    assert!(!ledger.merge(&item(1, "a", Mark::Suspect), at(1_500)));
    assert_eq!(ledger.standing(request("a")), Standing::Suspect(1));
}

/// A server restarts under its id and ends again while one gateway still takes it for its
/// earlier run. Reports of that end with both runs must not count as two ends.
#[test]
fn reports_of_one_end_with_different_runs_count_once() {
    let mut ledger = ledger(&[(1, &["x", "y"])]);
    let on = |name, born| Item {
        run: fleet::Run { id: "server-2".into(), born: Some(born) },
        at: at(2_000),
        ..item(2, name, Mark::Alone)
    };
    ledger.merge(&on("x", 1), at(2_400));
    ledger.merge(&on("y", 2), at(2_400));
    assert_eq!(ledger.refused().count(), 0);
}

/// A server restarts under its id and ends again before its entry has the new start time.
/// The second end must not be taken for the first one.
#[test]
fn a_later_end_of_the_same_run_counts_again() {
    let mut ledger = ledger(&[(1, &["guilty", "a"])]);
    let again = |ms| Item { at: at(ms), ..item(1, "guilty", Mark::Suspect) };
    // Another gateway detects the same end a little later.
    assert!(!ledger.merge(&again(1_400), at(1_400)));
    assert_eq!(ledger.standing(request("guilty")), Standing::Suspect(1));
    assert!(ledger.merge(&again(2_600), at(2_600) + SETTLE_TIME));
    assert_eq!(ledger.standing(request("guilty")), Standing::Refused(2));
    assert_eq!(ledger.standing(request("a")), Standing::Sound);
    assert_eq!(ledger.clear(request("guilty")).len(), 2);
}

#[test]
fn ends_expire() {
    let mut ledger = ledger(&[(1, &["guilty"]), (2, &["guilty"])]);
    let later = at(1_000) + RETENTION;
    assert!(!ledger.merge(&item(3, "guilty", Mark::Suspect), later));
    ledger.expire(later);
    assert!(ledger.is_empty());
    assert_eq!(ledger.standing(request("guilty")), Standing::Sound);
}

/// A client that sends new requests, each of which ends a server, fills the ledger. Ends
/// that support a refusal must be evicted last.
#[test]
fn many_ends_neither_exceed_the_limits_nor_lift_a_refusal() {
    let mut ledger = ledger(&[(1, &["guilty"]), (2, &["guilty"])]);
    for server in 10..1_000 {
        ledger.merge(&item(server, &format!("new-{server}"), Mark::Suspect), NOW);
    }
    for number in 0..1_000 {
        ledger.merge(&item(3, &format!("crowd-{number}"), Mark::Suspect), NOW);
    }
    assert_eq!(ledger.verify(), Ok(()));
    assert_eq!(ledger.standing(request("guilty")), Standing::Refused(2));
}

/// A network partition resets all connections to a zone, and a gateway detects the end of
/// all its backend servers there at the same moment.
#[test]
fn simultaneous_ends_are_not_blamed_on_requests() {
    let mut burst = Burst::default();
    for server in 1..=4 {
        assert_eq!(burst.found(&run(server), at(10)), None);
    }
    assert_eq!(burst.found(&run(5), at(60)).unwrap().len(), 5);
    assert_eq!(burst.found(&run(6), at(60) + Duration::from_secs(1)), None);
    let mut ledger = ledger(&[(1, &["a", "b"]), (2, &["a"])]);
    assert_eq!(ledger.clear_runs(&[run(1), run(2)]).len(), 3);
    assert_eq!(ledger.standing(request("a")), Standing::Sound);
}

/// An identical request of thousands of clients is on every server that ends, and must not
/// be blamed for these ends.
#[test]
fn recent_completions_are_recorded_for_a_bounded_time() {
    let mut finished = Finished::default();
    finished.add(request("common"), NOW);
    assert!(finished.contains(request("common"), at(2_000)));
    assert!(!finished.contains(request("rare"), at(2_000)));
    assert!(!finished.contains(request("common"), at(62_000)));
    // Of thousands of other requests, only the last ones and repeated ones are kept.
    for number in 0..10_000 {
        finished.add(request(&format!("other-{number}")), at(3_000));
        if number % 1_000 == 0 {
            finished.add(request("common"), at(3_000));
        }
    }
    assert!(finished.contains(request("common"), at(4_000)));
    assert!(!finished.contains(request("other-0"), at(4_000)));
    assert!(finished.contains(request("other-9999"), at(4_000)));
}

#[test]
fn digest_depends_on_each_part() {
    let parts = |parts: &[&str]| {
        let bytes: Vec<&[u8]> = parts.iter().map(|part| part.as_bytes()).collect();
        Digest::of(&bytes)
    };
    assert_eq!(parts(&["/a", "b"]), parts(&["/a", "b"]));
    assert_ne!(parts(&["/a", "b"]), parts(&["/ab", ""]));
    assert_eq!(Digest::from_bytes(request("a").bytes()), Some(request("a")));
    assert_eq!(Digest::from_bytes(b"short"), None);
    let text = request("a").to_string();
    assert_eq!(Digest::from_text(&text), Some(request("a")));
    assert_eq!(Digest::from_text(&text[1..]), None);
    assert_eq!(Digest::from_text(&text.replace(&text[..1], "g")), None);
}

proptest! {
    /// Gateways receive the same items in different orders, and repeatedly.
    #[test]
    fn merge_does_not_depend_on_the_order_of_items(
        rows in prop::collection::vec((0_u32..6, 0_usize..5, 0_usize..3), 1..40),
        swaps in prop::collection::vec((0_usize..40, 0_usize..40), 0..40),
    ) {
        let marks = [Mark::Suspect, Mark::Alone, Mark::Cleared];
        let row = |(server, name, mark): &(u32, usize, usize)| {
            item(*server, ["a", "b", "c", "d", "e"][*name], marks[*mark])
        };
        let items: Vec<Item> = rows.iter().map(row).collect();
        let mut other = items.clone();
        for (a, b) in swaps {
            let length = other.len();
            other.swap(a % length, b % length);
        }
        let (mut one, mut two) = (Ledger::default(), Ledger::default());
        for item in &items {
            one.merge(item, NOW);
        }
        for item in other.iter().chain(&items) {
            two.merge(item, NOW);
        }
        prop_assert_eq!(one.verify(), Ok(()));
        for name in ["a", "b", "c", "d", "e"] {
            prop_assert_eq!(one.standing(request(name)), two.standing(request(name)));
        }
    }

    /// A request that was on four servers that ended, or on three as the only one with that
    /// many, and completed nowhere, is refused, unless other requests explain its ends. No
    /// request is refused for one end, nor before the third end if it never was the only
    /// request on a server.
    #[test]
    fn each_refusal_has_a_ground(
        rows in prop::collection::vec((0_u32..6, 0_usize..5, any::<bool>()), 1..40),
    ) {
        let mut ledger = Ledger::default();
        let mut on: BTreeMap<usize, BTreeSet<u32>> = BTreeMap::new();
        let mut all: BTreeMap<u32, BTreeSet<usize>> = BTreeMap::new();
        for (server, name, tried) in rows {
            let mark = if tried { Mark::Alone } else { Mark::Suspect };
            ledger.merge(&item(server, ["a", "b", "c", "d", "e"][name], mark), NOW);
            on.entry(name).or_default().insert(server);
            all.entry(server).or_default().insert(name);
        }
        prop_assert_eq!(ledger.verify(), Ok(()));
        let only = |marks: &BTreeMap<u32, BTreeSet<usize>>, server: &u32, name: usize| {
            marks.get(server).is_some_and(|names| names.len() == 1 && names.contains(&name))
        };
        for (name, servers) in &on {
            let standing = ledger.standing(request(["a", "b", "c", "d", "e"][*name]));
            if let Standing::Refused(ends) = standing {
                let proof = |server: &u32| only(&all, server, *name);
                prop_assert!(ends >= 3 || ends == 2 && servers.iter().any(proof));
                let ground = ledger.verdict(request(["a", "b", "c", "d", "e"][*name])).unwrap().ground;
                let counted = ground == poison::Ground::Count && ends == 3 && servers.len() == 3;
                let alike = |(other, there): (&usize, &BTreeSet<u32>)| {
                    other != name && there.is_superset(servers)
                };
                prop_assert!(!counted || !on.iter().any(alike), "another request was on as many servers");
            }
            if let Standing::Suspect(ends) = standing {
                prop_assert!(ends < 4);
                let same = |other: &str| ledger.standing(request(other)) == standing;
                let others = ["a", "b", "c", "d", "e"].into_iter().filter(|other| same(other));
                prop_assert!(ends < 3 || others.count() > 1, "no other request was on as many servers");
            }
        }
    }
}

/// Without the ground and the evidence in the log, the refusal of a proper request cannot
/// be traced to its cause.
#[test]
fn a_refusal_reports_its_ground_and_evidence() {
    let mut ledger = ledger(&[(1, &["x", "guilty", "a"]), (2, &["*guilty", "b"])]);
    ledger.clear(request("b"));
    let verdict = ledger.verdict(request("guilty")).unwrap();
    assert_eq!((verdict.ends, verdict.ground), (2, poison::Ground::OnlyRequestOnTrial));
    let evidence = ledger.evidence(request("guilty"), NOW);
    let evidence: Vec<String> = evidence.iter().map(ToString::to_string).collect();
    assert_eq!(evidence, ["server-1@400ms:suspect+2s0a0c", "server-2@400ms:alone+0s0a1c"]);
    assert_eq!(ledger.verdict(request("a")), None);
}

#[test]
fn an_abandoned_request_is_blamed_once_and_until_its_deadline() {
    let mut abandoned = poison::Abandoned::default();
    abandoned.add(&run(1), request("given-up"), at(2_000));
    abandoned.add(&run(2), request("given-up"), at(500));
    assert_eq!(abandoned.blame(&item(3, "other", Mark::Suspect)), []);
    assert_eq!(abandoned.blame(&item(1, "other", Mark::Cleared)), []);
    // Reports of the same request by other gateways add nothing.
    assert_eq!(abandoned.blame(&item(1, "given-up", Mark::Suspect)), []);
    let blamed = item(1, "given-up", Mark::Suspect);
    assert_eq!(abandoned.blame(&item(1, "other", Mark::Alone)), [blamed]);
    assert_eq!(abandoned.blame(&item(1, "third", Mark::Suspect)), []);
    // The deadline of the request had passed when the server ended.
    assert_eq!(abandoned.blame(&item(2, "other", Mark::Alone)), []);
}
