//! Regression bounds on counted work, whose figures are the same in every run.

use loftcove_bench::{drift, fleet, overload, placement, poison, rest, routing};
use loftcove_decision::placement::policy;

/// Number of intervals of a run: half a day.
const INTERVALS: usize = 48;

fn score<P: policy::Policy>(policy: P, drift: drift::Drift) -> placement::Score {
    placement::run(policy, drift, placement::TODAY, INTERVALS)
}

#[test]
fn incremental_placement_keeps_skew_low_with_a_fraction_of_the_moves() {
    for drift in drift::ALL {
        let repack = score(policy::Repack { replicas: 8 }, drift);
        let never = score(policy::Never, drift);
        for weights in [placement::CARTAMAR, placement::MENSAGEIRA] {
            let own =
                score(policy::Incremental::new(placement::rules(weights.0, weights.1)), drift);
            assert!(own.moved < repack.moved * 0.16, "{drift:?}: {own:?} against {repack:?}");
            assert!(own.mean < repack.mean * 1.35, "{drift:?}: {own:?} against {repack:?}");
            assert!(own.mean < never.mean * 0.62, "{drift:?}: {own:?} against {never:?}");
        }
    }
    // The policy must not follow a load that oscillates.
    let own = policy::Incremental::new(placement::rules(1.0, 1.0));
    let swing = score(own, drift::Drift::Oscillation);
    let repack = score(policy::Repack { replicas: 8 }, drift::Drift::Oscillation);
    assert!(swing.mean < repack.mean * 0.6, "{swing:?} against {repack:?}");
}

#[test]
fn goodput_stays_flat_and_urgent_requests_wait_less_under_overload() {
    let plan = |load| {
        fleet::Plan { duration: std::time::Duration::from_secs(20), ..fleet::Plan::default() }
            .at_load(load)
    };
    let at = |load| fleet::run(&plan(load), routing::daemon_policy);
    let (full, double, tenfold) = (at(1.0), at(2.0), at(10.0));
    assert_eq!(at(0.8).refused, 0);
    assert!(double.good as f64 > full.good as f64 * 0.95, "{} after {}", double.good, full.good);
    assert!(tenfold.good as f64 > full.good as f64 * 0.95, "{} after {}", tenfold.good, full.good);
    assert!(tenfold.wait_ms(0, 0.95) < tenfold.wait_ms(1, 0.95) * 0.2);
    assert!(double.sent < double.offered * 2, "{} for {}", double.sent, double.offered);
}

#[test]
fn failing_servers_do_not_multiply_the_load() {
    let plan = fleet::Plan { failing: 8, ..fleet::Plan::default() }.at_load(1.0);
    let result = fleet::run(&plan, routing::daemon_policy);
    let again = result.sent - result.full;
    assert!(again as f64 <= result.offered as f64 * 1.15, "{again} for {}", result.offered);
}

#[test]
fn a_team_with_excess_requests_does_not_starve_the_others() {
    let share = overload::share_of_others(50.0, 2.0);
    assert!(share > 0.9, "the other teams got {share:.2} of their requests answered");
}

#[test]
fn the_routing_policy_of_the_daemon_beats_its_baselines() {
    let plan = fleet::Plan::default().at_load(0.9);
    let rows = routing::compare(&plan);
    let find =
        |name: &str| &rows.iter().find(|row| row.name == name).expect("the row exists").result;
    let own = find("affinity-0.5");
    for name in ["lot", "reported", "two"] {
        let other = find(name);
        assert!(own.wait_ms(1, 0.95) <= other.wait_ms(1, 0.95), "{name}");
        assert!(own.full < other.full, "{name}: {} against {}", own.full, other.full);
        assert!(own.hits > other.hits * 2, "{name}: {} against {}", own.hits, other.hits);
    }
}

#[test]
fn a_request_that_ends_servers_is_rejected_soon_and_no_other_request_is() {
    for gateways in [30, 300] {
        for seed in 0..10 {
            let plan = |way| poison::Plan { way, gateways, at_once: 1, pause_ms: 500, seed };
            let exchanged = poison::run(&plan(poison::Way::Told));
            assert!(exchanged.ended <= 3, "{gateways} gateways, seed {seed}: {exchanged:?}");
            assert_eq!(exchanged.blamed, 0, "{gateways} gateways, seed {seed}: {exchanged:?}");
            assert!(exchanged.known_ms.is_some_and(|ms| ms < 3_000), "{exchanged:?}");
            assert!(poison::run(&plan(poison::Way::Nobody)).ended > 10);
        }
    }
}

/// Guards against requests that reach a server during its rest, and against requests lost by it.
///
/// 30% of the servers shed requests for 8 s and ask for 3 s of rest each time.
#[test]
fn rest_that_servers_ask_for_is_applied_at_any_number_of_gateways() {
    for size in [(8, 16), (100, 100)] {
        let at = |applied| fleet::run(&rest::plan(size, 0.3, 0.5, applied), routing::daemon_policy);
        let (guessed, applied) = (at(false), at(true));
        assert!(
            rest::most_during_rest(&guessed) > 2,
            "{size:?}: too few requests reach servers during their rest to compare"
        );
        assert!(
            rest::most_during_rest(&applied) <= 2,
            "{size:?}: {} requests in a rest",
            rest::most_during_rest(&applied)
        );
        let served = applied.good as f64 / applied.offered as f64;
        assert!(served > 0.99, "{size:?}: {served}");
        assert!(applied.shed < guessed.shed, "{size:?}");
    }
}
