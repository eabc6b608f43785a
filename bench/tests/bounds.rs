//! Regression bounds on counted work: the same figures in every run.

use loftcove_bench::{drift, fleet, overload, placement, poison, rest, routing};
use loftcove_decision::placement::policy;

/// A group as today, for half a day.
const INTERVALS: usize = 48;

fn score<P: policy::Policy>(policy: P, drift: drift::Drift) -> placement::Score {
    placement::run(policy, drift, placement::TODAY, INTERVALS)
}

#[test]
fn incremental_placement_holds_its_skew_at_a_fraction_of_the_moves() {
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
    // What swings between two loads must not be chased.
    let own = policy::Incremental::new(placement::rules(1.0, 1.0));
    let swing = score(own, drift::Drift::Oscillation);
    let repack = score(policy::Repack { replicas: 8 }, drift::Drift::Oscillation);
    assert!(swing.mean < repack.mean * 0.6, "{swing:?} against {repack:?}");
}

#[test]
fn goodput_holds_flat_and_urgent_requests_pass_under_overload() {
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
fn a_greedy_team_does_not_touch_the_others() {
    let share = overload::share_of_others(50.0, 2.0);
    assert!(share > 0.9, "the others got {share:.2} of what they asked");
}

#[test]
fn the_chosen_routing_beats_its_baselines() {
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
fn a_request_that_ends_servers_ends_few_and_takes_nobody_along() {
    for gateways in [30, 300] {
        for seed in 0..10 {
            let plan = |way| poison::Plan { way, gateways, at_once: 1, pause_ms: 500, seed };
            let told = poison::run(&plan(poison::Way::Told));
            assert!(told.ended <= 3, "{gateways} gateways, seed {seed}: {told:?}");
            assert_eq!(told.blamed, 0, "{gateways} gateways, seed {seed}: {told:?}");
            assert!(told.known_ms.is_some_and(|ms| ms < 3_000), "{told:?}");
            assert!(poison::run(&plan(poison::Way::Nobody)).ended > 10);
        }
    }
}

/// A third of the servers sheds requests for eight seconds and asks for three
/// seconds of rest each time: they get it, and nobody loses by it.
#[test]
fn servers_that_ask_for_rest_get_it_at_any_number_of_gateways() {
    for size in [(8, 16), (100, 100)] {
        let at = |applied| fleet::run(&rest::plan(size, 0.3, 0.5, applied), routing::daemon_policy);
        let (guessed, applied) = (at(false), at(true));
        assert!(rest::most_during_rest(&guessed) > 2, "{size:?}: the load shows nothing");
        assert!(
            rest::most_during_rest(&applied) <= 2,
            "{size:?}: {} in a rest",
            rest::most_during_rest(&applied)
        );
        let served = applied.good as f64 / applied.offered as f64;
        assert!(served > 0.99, "{size:?}: {served}");
        assert!(applied.shed < guessed.shed, "{size:?}");
    }
}
