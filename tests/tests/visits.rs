//! The checks of rests, leaves and rate limits count as the users do.

use std::collections::BTreeMap;

use loftcove_tests::visits::{
    self, Allowance, DRAIN_MS, MAX_REQUESTS_DURING_REST, NoExemption, Sent, Visit,
};

fn visit(request: &str, at: u64) -> Visit {
    let (server, request) = ("s".to_owned(), request.to_owned());
    Visit { server, run: 0, request, at, shed: None, leaving: false, limit: None, told: false }
}

/// Returns the client times of requests that gateway 0 received and answered at once.
fn sent(visits: &[Visit]) -> BTreeMap<String, Sent> {
    let sent = |visit: &Visit| Sent { gateway: 0, at: visit.at, answered: visit.at };
    visits.iter().map(|visit| (visit.request.clone(), sent(visit))).collect()
}

/// Returns the violations if a server asks for a rest of 2 s at 1,000 ms and receives requests at
/// the given times.
fn violations_in_rest(times: &[u64]) -> usize {
    let mut visits = vec![Visit { shed: Some("2".to_owned()), ..visit("asked", 1_000) }];
    visits.extend(times.iter().map(|at| visit(&format!("r{at}"), *at)));
    visits::rest_violations(&visits, &sent(&visits), &NoExemption).len()
}

#[test]
fn allows_two_requests_during_a_rest_after_half_a_second() {
    assert_eq!(MAX_REQUESTS_DURING_REST, 2);
    assert_eq!(violations_in_rest(&[1_100, 1_499, 1_500, 3_000, 3_001]), 0);
    assert_eq!(violations_in_rest(&[1_500, 2_000, 3_000]), 1);
}

#[test]
fn ignores_rests_of_another_run_and_of_another_gateway() {
    let mut visits = vec![Visit { shed: Some("2".to_owned()), ..visit("asked", 1_000) }];
    visits.extend((0..9).map(|n| Visit { run: 1, ..visit(&format!("r{n}"), 2_000) }));
    visits.extend((0..9).map(|n| visit(&format!("g{n}"), 2_000)));
    let mut sent = sent(&visits);
    sent.iter_mut().filter(|(id, _)| id.starts_with('g')).for_each(|(_, sent)| sent.gateway = 1);
    assert_eq!(visits::rest_violations(&visits, &sent, &NoExemption), []);
}

#[test]
fn counts_requests_sent_after_the_drain_time() {
    let told = Visit { leaving: true, ..visit("told", 1_000) };
    let late = |at| [told.clone(), visit("late", at)];
    let count =
        |visits: &[Visit]| visits::drain_violations(visits, &sent(visits), &NoExemption).len();
    assert_eq!(count(&late(1_000 + DRAIN_MS)), 0);
    assert_eq!(count(&late(1_001 + DRAIN_MS)), 1);
}

/// Returns the overruns if a server names a limit of one request per second from 1,000 ms on, in
/// an answer to gateway 0, and receives requests at the given times.
fn overruns_of_limit(times: &[u64]) -> usize {
    let named = |request: &str, at| Visit { limit: Some(1.0), told: true, ..visit(request, at) };
    let mut visits = vec![named("first", 1_000)];
    visits.extend(times.iter().map(|at| named(&format!("r{at}"), *at)));
    visits::overruns(&visits, &sent(&visits), &NoExemption).len()
}

#[test]
fn allows_eleven_requests_in_four_seconds_at_one_per_second() {
    let from = |first: u64, count: u64| -> Vec<u64> { (first..first + count).collect() };
    // Requests of the first three seconds are not counted.
    assert_eq!(overruns_of_limit(&from(3_900, 100)), 0);
    assert_eq!(overruns_of_limit(&from(4_000, 11)), 0);
    assert_eq!(overruns_of_limit(&from(4_000, 12)), 1);
    let spread: Vec<u64> = from(4_000, 11).into_iter().chain([8_001]).collect();
    assert_eq!(overruns_of_limit(&spread), 0);
}

#[test]
fn counts_only_gateways_that_received_the_limit_half_a_second_before() {
    let named = |request: String, at| Visit { limit: Some(1.0), told: true, ..visit(&request, at) };
    let mut visits = vec![named("first".to_owned(), 1_000)];
    visits.extend((0..40).map(|n| named(format!("r{n}"), 5_000 + n)));
    let mut sent = sent(&visits);
    // All requests but the first are of a gateway that passes its first answer on at 5,000 ms.
    sent.values_mut().filter(|sent| sent.at >= 5_000).for_each(|sent| sent.gateway = 1);
    assert_eq!(visits::overruns(&visits, &sent, &NoExemption), []);
}

/// Guards against windows that are counted with the requests of another time, and against first
/// arrivals that are counted as retries.
#[test]
fn counts_retries_of_a_window_against_its_requests_or_earlier_ones() {
    let allowance = Allowance { ratio: 0.2, slack: 3.0 };
    let twice = |from: u64, count: u64| {
        (from..from + count)
            .flat_map(|at| [visit(&format!("r{at}"), at), visit(&format!("r{at}"), at)])
    };
    let sent: Vec<u64> = (20_000..20_010).collect();
    let found = |visits: Vec<Visit>| visits::overspend(&visits, &sent, allowance);
    assert_eq!(found(twice(20_000, 5).collect()), None);
    let over =
        found(twice(20_000, 6).collect()).map(|over| (over.retries, over.requests, over.from));
    assert_eq!(over, Some((6, 10, 20_000)));
    // The requests of the window before count, but not those of an earlier one.
    assert_eq!(found(twice(30_000, 5).collect()), None);
    assert_eq!(found(twice(30_100, 5).collect()).map(|over| over.requests), Some(0));
    // Retries of two windows are not added up.
    assert_eq!(found(twice(20_000, 3).chain(twice(30_100, 3)).collect()), None);
}
