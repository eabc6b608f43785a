//! Which requests are blamed for servers that ended.

#![allow(clippy::unwrap_used, reason = "a test that fails may panic")]

use std::time::Duration;

use loftcove_decision::poison::{Digest, Finished, Item, KEPT, Ledger, Lookout, Mark, Standing};
use loftcove_decision::{clock, fleet};
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

fn item(server: u32, name: &str, mark: Mark) -> Item {
    Item { run: run(server), digest: request(name), mark, at: at(1_000) }
}

/// Servers that ended, each with the requests that were on it.
fn ledger(ends: &[(u32, &[&str])]) -> Ledger {
    let mut ledger = Ledger::default();
    for (server, names) in ends {
        for name in *names {
            assert!(ledger.take(&item(*server, name, Mark::Suspect), at(1_000)));
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
    assert_eq!(ledger.convicted().count(), 0);
}

#[test]
fn the_second_end_refuses_who_alone_was_there_both_times() {
    let ledger = ledger(&[(1, &["guilty", "a", "b"]), (2, &["guilty", "c"])]);
    assert_eq!(ledger.standing(request("guilty")), Standing::Convicted(2));
    // The others are no suspects any more: both ends are explained.
    for other in ["a", "b", "c"] {
        assert_eq!(ledger.standing(request(other)), Standing::Sound, "{other}");
    }
}

#[test]
fn two_that_were_there_both_times_are_told_apart_by_the_third_end() {
    let mut ledger = ledger(&[(1, &["guilty", "a"]), (2, &["guilty", "a"])]);
    assert_eq!(ledger.standing(request("guilty")), Standing::Suspect(2));
    assert_eq!(ledger.standing(request("a")), Standing::Suspect(2));
    ledger.take(&item(3, "guilty", Mark::Suspect), at(1_000));
    assert_eq!(ledger.standing(request("guilty")), Standing::Convicted(3));
    assert_eq!(ledger.standing(request("a")), Standing::Sound);
}

#[test]
fn who_comes_to_its_end_leaves_the_other_one() {
    let mut ledger = ledger(&[(1, &["guilty", "a"]), (2, &["guilty", "a"])]);
    assert_eq!(ledger.clear(request("a")).len(), 2);
    assert_eq!(ledger.standing(request("a")), Standing::Sound);
    assert_eq!(ledger.standing(request("guilty")), Standing::Convicted(2));
    assert_eq!(ledger.clear(request("a")), []);
}

#[test]
fn several_that_end_servers_at_the_same_time_are_each_found() {
    let ledger = ledger(&[(1, &["x", "a"]), (2, &["y", "b"]), (3, &["y", "c"]), (4, &["x", "d"])]);
    for guilty in ["x", "y"] {
        assert_eq!(ledger.standing(request(guilty)), Standing::Convicted(2), "{guilty}");
    }
    assert_eq!(ledger.standing(request("a")), Standing::Sound);
}

#[test]
fn the_third_end_counts_whoever_else_was_there() {
    let all: &[&str] = &["guilty", "a"];
    let ledger = ledger(&[(1, all), (2, all), (3, all)]);
    assert_eq!(ledger.standing(request("guilty")), Standing::Convicted(3));
}

#[test]
fn the_end_of_one_run_counts_once_however_often_it_is_told() {
    let mut ledger = ledger(&[(1, &["a"])]);
    assert!(!ledger.take(&item(1, "a", Mark::Suspect), at(1_500)));
    assert_eq!(ledger.standing(request("a")), Standing::Suspect(1));
}

/// The pattern: a server starts again under its id and ends again, before its
/// entry has told the new start.
#[test]
fn a_run_that_ends_again_later_counts_twice() {
    let mut ledger = ledger(&[(1, &["guilty", "a"])]);
    let again = |ms| Item { at: at(ms), ..item(1, "guilty", Mark::Suspect) };
    // Another gateway found the same end a little later.
    assert!(!ledger.take(&again(1_400), at(1_400)));
    assert_eq!(ledger.standing(request("guilty")), Standing::Suspect(1));
    assert!(ledger.take(&again(2_600), at(2_600)));
    assert_eq!(ledger.standing(request("guilty")), Standing::Convicted(2));
    assert_eq!(ledger.standing(request("a")), Standing::Sound);
    assert_eq!(ledger.clear(request("guilty")).len(), 2);
}

#[test]
fn ends_are_forgotten() {
    let mut ledger = ledger(&[(1, &["guilty"]), (2, &["guilty"])]);
    let later = at(1_000) + KEPT;
    assert!(!ledger.take(&item(3, "guilty", Mark::Suspect), later));
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
        ledger.take(&item(server, &format!("new-{server}"), Mark::Suspect), at(1_000));
    }
    for number in 0..1_000 {
        ledger.take(&item(3, &format!("crowd-{number}"), Mark::Suspect), at(1_000));
    }
    assert_eq!(ledger.verify(), Ok(()));
    assert_eq!(ledger.standing(request("guilty")), Standing::Convicted(2));
}

/// The pattern: a zone is cut off with resets, and a gateway finds all its
/// backend servers beyond the cut ended in the same moment.
#[test]
fn many_ends_at_once_are_blamed_on_no_request() {
    let mut lookout = Lookout::default();
    for server in 1..=4 {
        assert_eq!(lookout.found(&run(server), at(10)), None);
    }
    assert_eq!(lookout.found(&run(5), at(60)).unwrap().len(), 5);
    assert_eq!(lookout.found(&run(6), at(60) + Duration::from_secs(1)), None);
    let mut ledger = ledger(&[(1, &["a", "b"]), (2, &["a"])]);
    assert_eq!(ledger.explain(&[run(1), run(2)]).len(), 3);
    assert_eq!(ledger.standing(request("a")), Standing::Sound);
}

/// The pattern: thousands of callers send the same, and it is on every server
/// that ends.
#[test]
fn what_came_to_its_end_of_late_is_remembered_for_a_while() {
    let mut finished = Finished::default();
    finished.add(request("common"), at(1_000));
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
        rows in prop::collection::vec((0_u32..6, 0_usize..5, any::<bool>()), 1..40),
        swaps in prop::collection::vec((0_usize..40, 0_usize..40), 0..40),
    ) {
        let mark = |cleared| if cleared { Mark::Cleared } else { Mark::Suspect };
        let row = |(server, name, cleared): &(u32, usize, bool)| {
            item(*server, ["a", "b", "c", "d", "e"][*name], mark(*cleared))
        };
        let items: Vec<Item> = rows.iter().map(row).collect();
        let mut other = items.clone();
        for (a, b) in swaps {
            let length = other.len();
            other.swap(a % length, b % length);
        }
        let (mut one, mut two) = (Ledger::default(), Ledger::default());
        for item in &items {
            one.take(item, at(1_000));
        }
        for item in other.iter().chain(&items) {
            two.take(item, at(1_000));
        }
        prop_assert_eq!(one.verify(), Ok(()));
        for name in ["a", "b", "c", "d", "e"] {
            prop_assert_eq!(one.standing(request(name)), two.standing(request(name)));
        }
    }
}
