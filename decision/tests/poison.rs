//! Which requests are blamed for servers that ended.

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

/// When most is told: all ends have settled.
const NOW: clock::Instant = clock::Instant::from_micros(1_400_000);

fn item(server: u32, name: &str, mark: Mark) -> Item {
    Item { run: run(server), digest: request(name), mark, at: at(1_000) }
}

/// Servers that ended, each with the requests that were on it; a star is before
/// those that were sent there as the only suspect.
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
fn one_end_refuses_nobody() {
    let ledger = ledger(&[(1, &["guilty", "a", "b"])]);
    assert_eq!(ledger.standing(request("guilty")), Standing::Suspect(1));
    assert_eq!(ledger.standing(request("other")), Standing::Sound);
    assert_eq!(ledger.refused().count(), 0);
}

#[test]
fn the_second_end_refuses_who_was_the_only_suspect_there() {
    let mut ledger = ledger(&[(1, &["guilty", "a", "b"]), (2, &["*guilty", "c"])]);
    // It may have been the one that came new; it is not sent again meanwhile.
    assert_eq!(ledger.standing(request("guilty")), Standing::Suspect(2));
    assert!(ledger.awaits(request("guilty"), NOW));
    ledger.clear(request("c"));
    assert_eq!(ledger.standing(request("guilty")), Standing::Refused(2));
    // The others are no suspects any more: both ends are explained. Until one has
    // come to its end it runs apart all the same.
    for other in ["a", "b"] {
        assert_eq!(ledger.standing(request(other)), Standing::Sound, "{other}");
        assert!(ledger.apart(request(other)));
    }
    assert_eq!(ledger.standing(request("c")), Standing::Sound);
    ledger.clear(request("a"));
    assert!(!ledger.apart(request("a")) && !ledger.apart(request("other")));
}

/// The pattern: two requests end a server each, and a proper one was on both.
#[test]
fn who_was_cut_by_two_others_is_not_refused_for_it() {
    let mut ledger = ledger(&[(1, &["x", "proper", "a"]), (2, &["y", "proper", "b"])]);
    assert_eq!(ledger.standing(request("proper")), Standing::Suspect(2));
    assert_eq!(ledger.refused().count(), 0);
    // Each of the others ends one more server as the only suspect there.
    for (server, name) in [(3, "x"), (4, "y")] {
        ledger.merge(&item(server, name, Mark::Alone), NOW);
        assert_eq!(ledger.standing(request(name)), Standing::Refused(2));
    }
    assert_eq!(ledger.standing(request("proper")), Standing::Sound);
}

/// The pattern: a new request that ends its servers lands beside a proper one
/// that is tried alone, sent there by another gateway.
#[test]
fn a_new_request_beside_the_suspect_does_not_have_it_refused() {
    let mut ledger = ledger(&[(1, &["x", "proper"]), (2, &["*proper", "new"])]);
    assert_eq!(ledger.standing(request("proper")), Standing::Suspect(2));
    assert_eq!(ledger.refused().count(), 0);
    assert!(ledger.awaits(request("proper"), NOW) && !ledger.awaits(request("new"), NOW));
    ledger.merge(&item(3, "new", Mark::Alone), NOW);
    assert_eq!(ledger.standing(request("new")), Standing::Refused(2));
    assert_eq!(ledger.standing(request("proper")), Standing::Suspect(1));
    assert!(!ledger.awaits(request("proper"), NOW), "it is known who it was");
}

/// Nobody is held back for long by callers that do not come back.
#[test]
fn a_suspect_is_held_back_beside_a_new_request_for_a_bounded_time() {
    let ledger = ledger(&[(1, &["x", "proper"]), (2, &["*proper", "new"])]);
    assert!(ledger.awaits(request("proper"), at(2_400)));
    assert!(!ledger.awaits(request("proper"), at(2_600)));
}

/// The pattern: a guilty request and a proper one are sent to one server by two
/// gateways, which know of their own first.
#[test]
fn an_end_proves_nothing_before_all_have_told_of_it() {
    let mut ledger = ledger(&[(1, &["guilty", "proper"])]);
    let later = |name| Item { at: at(2_000), ..item(2, name, Mark::Alone) };
    ledger.merge(&later("proper"), at(2_010));
    assert_eq!(ledger.standing(request("proper")), Standing::Suspect(2));
    ledger.merge(&later("guilty"), at(2_020));
    ledger.expire(at(2_000) + SETTLE_TIME);
    assert_eq!(ledger.refused().count(), 0);
    // The guilty one ends a third server.
    ledger.merge(&Item { at: at(3_000), ..item(3, "guilty", Mark::Alone) }, at(3_010));
    assert_eq!(ledger.refused().count(), 0);
    ledger.expire(at(3_000) + SETTLE_TIME);
    assert_eq!(ledger.standing(request("guilty")), Standing::Refused(3));
    assert_eq!(ledger.standing(request("proper")), Standing::Sound);
}

#[test]
fn a_proof_holds_once_it_has_settled() {
    let mut ledger = ledger(&[(1, &["guilty", "a"])]);
    ledger.merge(&Item { at: at(2_000), ..item(2, "guilty", Mark::Alone) }, at(2_010));
    assert_eq!(ledger.standing(request("guilty")), Standing::Suspect(2));
    assert!(ledger.unsettled(at(2_100)));
    ledger.expire(at(2_000) + SETTLE_TIME);
    assert_eq!(ledger.standing(request("guilty")), Standing::Refused(2));
}

/// Two gateways each sent one suspect to the same server.
#[test]
fn two_that_were_sent_to_one_server_prove_nothing() {
    let ledger = ledger(&[(1, &["x", "y"]), (2, &["*x", "*y"])]);
    assert_eq!(ledger.refused().count(), 0);
}

#[test]
fn two_that_were_there_both_times_are_told_apart_by_the_third_end() {
    let mut ledger = ledger(&[(1, &["guilty", "a"]), (2, &["guilty", "a"])]);
    assert_eq!(ledger.standing(request("guilty")), Standing::Suspect(2));
    assert_eq!(ledger.standing(request("a")), Standing::Suspect(2));
    ledger.merge(&item(3, "guilty", Mark::Suspect), NOW);
    assert_eq!(ledger.standing(request("guilty")), Standing::Refused(3));
    assert_eq!(ledger.standing(request("a")), Standing::Sound);
}

#[test]
fn who_comes_to_its_end_leaves_the_other_one() {
    let mut ledger = ledger(&[(1, &["guilty", "a"]), (2, &["guilty", "a"])]);
    assert_eq!(ledger.clear(request("a")).len(), 2);
    assert_eq!(ledger.standing(request("a")), Standing::Sound);
    assert_eq!(ledger.standing(request("guilty")), Standing::Refused(2));
    assert_eq!(ledger.clear(request("a")), []);
}

#[test]
fn several_that_end_servers_at_the_same_time_are_each_found() {
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
fn the_third_end_counts_whoever_else_was_there() {
    let ledger = ledger(&[(1, &["guilty", "a"]), (2, &["guilty", "a"]), (3, &["guilty", "b"])]);
    assert_eq!(ledger.standing(request("guilty")), Standing::Refused(3));
    assert_eq!(ledger.standing(request("a")), Standing::Sound);
}

/// The pattern: a proper request meets a guilty one on three servers, as their
/// gateways share the servers in different ways while some are away.
#[test]
fn two_that_were_on_the_same_three_servers_are_told_apart_by_the_next_end() {
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
fn the_fourth_end_counts_in_any_case() {
    let all: &[&str] = &["guilty", "a"];
    let ledger = ledger(&[(1, all), (2, all), (3, all), (4, all)]);
    assert_eq!(ledger.standing(request("guilty")), Standing::Refused(4));
}

/// The pattern: one gateway has heard of its own request on the third server, and not yet of
/// the other one, which was on all three as well.
#[test]
fn a_count_proves_nothing_before_all_have_told() {
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
fn the_end_of_one_run_counts_once_however_often_it_is_told() {
    let mut ledger = ledger(&[(1, &["a"])]);
    assert!(!ledger.merge(&item(1, "a", Mark::Suspect), at(1_500)));
    assert_eq!(ledger.standing(request("a")), Standing::Suspect(1));
}

/// The pattern: a server is back under its id, and one gateway takes it for its run
/// of before as it ends again.
#[test]
fn an_end_is_one_whichever_run_it_is_told_of() {
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

/// The pattern: a server starts again under its id and ends again, before its
/// entry has told the new start.
#[test]
fn a_run_that_ends_again_later_counts_twice() {
    let mut ledger = ledger(&[(1, &["guilty", "a"])]);
    let again = |ms| Item { at: at(ms), ..item(1, "guilty", Mark::Suspect) };
    // Another gateway found the same end a little later.
    assert!(!ledger.merge(&again(1_400), at(1_400)));
    assert_eq!(ledger.standing(request("guilty")), Standing::Suspect(1));
    assert!(ledger.merge(&again(2_600), at(2_600) + SETTLE_TIME));
    assert_eq!(ledger.standing(request("guilty")), Standing::Refused(2));
    assert_eq!(ledger.standing(request("a")), Standing::Sound);
    assert_eq!(ledger.clear(request("guilty")).len(), 2);
}

#[test]
fn ends_are_forgotten() {
    let mut ledger = ledger(&[(1, &["guilty"]), (2, &["guilty"])]);
    let later = at(1_000) + RETENTION;
    assert!(!ledger.merge(&item(3, "guilty", Mark::Suspect), later));
    ledger.expire(later);
    assert!(ledger.is_empty());
    assert_eq!(ledger.standing(request("guilty")), Standing::Sound);
}

/// A caller that makes new requests, each of which ends a server, fills the
/// ledger: what convicts is kept longest.
#[test]
fn a_flood_of_ends_neither_grows_nor_frees() {
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

/// The pattern: a zone is cut off with resets, and a gateway finds all its
/// backend servers beyond the cut ended in the same moment.
#[test]
fn many_ends_at_once_are_blamed_on_no_request() {
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

/// The pattern: thousands of callers send the same, and it is on every server
/// that ends.
#[test]
fn what_came_to_its_end_of_late_is_remembered_for_a_while() {
    let mut finished = Finished::default();
    finished.add(request("common"), NOW);
    assert!(finished.contains(request("common"), at(2_000)));
    assert!(!finished.contains(request("rare"), at(2_000)));
    assert!(!finished.contains(request("common"), at(62_000)));
    // Of thousands of others only the last are kept, and what comes again.
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
fn requests_differ_by_each_part() {
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
    /// Gateways hear of the same items in different orders, and repeatedly.
    #[test]
    fn the_order_of_news_does_not_matter(
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

    /// Whoever was on four servers that ended, or on three as the only one, and came to
    /// its end nowhere, is refused or suspect of ends that others explain; nobody is
    /// refused for one end, or for ends at which it never was the only request, before
    /// the third.
    #[test]
    fn refusals_have_grounds(
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
                prop_assert!(!counted || !on.iter().any(alike), "another one was on as many");
            }
            if let Standing::Suspect(ends) = standing {
                prop_assert!(ends < 4);
                let same = |other: &str| ledger.standing(request(other)) == standing;
                let others = ["a", "b", "c", "d", "e"].into_iter().filter(|other| same(other));
                prop_assert!(ends < 3 || others.count() > 1, "nobody else was on as many");
            }
        }
    }
}

/// A refusal tells what it is based on: without that, a proper request that is refused
/// cannot be traced.
#[test]
fn a_refusal_names_its_ground_and_the_ends_that_it_goes_by() {
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
fn a_request_that_was_given_up_is_blamed_until_its_deadline_and_once() {
    let mut abandoned = poison::Abandoned::default();
    abandoned.add(&run(1), request("given-up"), at(2_000));
    abandoned.add(&run(2), request("given-up"), at(500));
    assert_eq!(abandoned.blame(&item(3, "other", Mark::Suspect)), []);
    assert_eq!(abandoned.blame(&item(1, "other", Mark::Cleared)), []);
    // What others tell of the same request says nothing new.
    assert_eq!(abandoned.blame(&item(1, "given-up", Mark::Suspect)), []);
    let blamed = item(1, "given-up", Mark::Suspect);
    assert_eq!(abandoned.blame(&item(1, "other", Mark::Alone)), [blamed]);
    assert_eq!(abandoned.blame(&item(1, "third", Mark::Suspect)), []);
    // Its deadline had passed as the server ended.
    assert_eq!(abandoned.blame(&item(2, "other", Mark::Alone)), []);
}
