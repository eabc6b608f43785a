//! The check of rests and of leaving counts as the users do.

use std::collections::BTreeMap;

use loftcove_tests::visits::{self, DRAIN_MS, MAX_REQUESTS_DURING_REST, NoExemption, Sent, Visit};

fn visit(request: &str, at: u64) -> Visit {
    let (server, request) = ("s".to_owned(), request.to_owned());
    Visit { server, run: 0, request, at, shed: None, leaving: false, limit: None, told: false }
}

/// Requests that a client sent to gateway 0 and got answers to at once.
fn sent(visits: &[Visit]) -> BTreeMap<String, Sent> {
    let sent = |visit: &Visit| Sent { gateway: 0, at: visit.at, answered: visit.at };
    visits.iter().map(|visit| (visit.request.clone(), sent(visit))).collect()
}

/// A server asks for 2 s at 1,000 ms, and gets requests at these times.
fn in_a_rest(times: &[u64]) -> usize {
    let mut visits = vec![Visit { shed: Some("2".to_owned()), ..visit("asked", 1_000) }];
    visits.extend(times.iter().map(|at| visit(&format!("r{at}"), *at)));
    visits::rest_violations(&visits, &sent(&visits), &NoExemption).len()
}

#[test]
fn two_requests_are_allowed_from_half_a_second_on_until_the_rest_is_over() {
    assert_eq!(MAX_REQUESTS_DURING_REST, 2);
    assert_eq!(in_a_rest(&[1_100, 1_499, 1_500, 3_000, 3_001]), 0);
    assert_eq!(in_a_rest(&[1_500, 2_000, 3_000]), 1);
}

#[test]
fn another_run_and_another_gateway_were_asked_nothing() {
    let mut visits = vec![Visit { shed: Some("2".to_owned()), ..visit("asked", 1_000) }];
    visits.extend((0..9).map(|n| Visit { run: 1, ..visit(&format!("r{n}"), 2_000) }));
    visits.extend((0..9).map(|n| visit(&format!("g{n}"), 2_000)));
    let mut sent = sent(&visits);
    sent.iter_mut().filter(|(id, _)| id.starts_with('g')).for_each(|(_, sent)| sent.gateway = 1);
    assert_eq!(visits::rest_violations(&visits, &sent, &NoExemption), []);
}

#[test]
fn what_a_client_sends_later_than_the_drain_after_it_was_told_may_not_arrive() {
    let told = Visit { leaving: true, ..visit("told", 1_000) };
    let late = |at| [told.clone(), visit("late", at)];
    let count =
        |visits: &[Visit]| visits::drain_violations(visits, &sent(visits), &NoExemption).len();
    assert_eq!(count(&late(1_000 + DRAIN_MS)), 0);
    assert_eq!(count(&late(1_001 + DRAIN_MS)), 1);
}

/// A server names one request a second from 1,000 ms on, in an answer to gateway 0; then requests
/// come at these times.
fn over_a_limit(times: &[u64]) -> usize {
    let named = |request: &str, at| Visit { limit: Some(1.0), told: true, ..visit(request, at) };
    let mut visits = vec![named("first", 1_000)];
    visits.extend(times.iter().map(|at| named(&format!("r{at}"), *at)));
    visits::overruns(&visits, &sent(&visits), &NoExemption).len()
}

#[test]
fn eleven_requests_are_allowed_within_four_seconds_at_one_a_second() {
    let from = |first: u64, count: u64| -> Vec<u64> { (first..first + count).collect() };
    // Those of the first three seconds do not count.
    assert_eq!(over_a_limit(&from(3_900, 100)), 0);
    assert_eq!(over_a_limit(&from(4_000, 11)), 0);
    assert_eq!(over_a_limit(&from(4_000, 12)), 1);
    let spread: Vec<u64> = from(4_000, 11).into_iter().chain([8_001]).collect();
    assert_eq!(over_a_limit(&spread), 0);
}

#[test]
fn only_gateways_that_were_told_half_a_second_before_count() {
    let named = |request: String, at| Visit { limit: Some(1.0), told: true, ..visit(&request, at) };
    let mut visits = vec![named("first".to_owned(), 1_000)];
    visits.extend((0..40).map(|n| named(format!("r{n}"), 5_000 + n)));
    let mut sent = sent(&visits);
    // All but the first are of a gateway that passes its first answer on at 5,000 ms.
    sent.values_mut().filter(|sent| sent.at >= 5_000).for_each(|sent| sent.gateway = 1);
    assert_eq!(visits::overruns(&visits, &sent, &NoExemption), []);
}
