//! Compares the policies that select a backend server.

use loftcove_decision::routing::policy;

use crate::fleet;

/// Row of one policy.
pub struct Row {
    /// Name of the policy.
    pub name: &'static str,
    /// Result of its run.
    pub result: fleet::Result,
}

/// Returns the policy that the daemon uses.
pub fn daemon_policy(rng: rand_chacha::ChaCha8Rng) -> policy::Blend {
    policy::Blend { rng, sample: 2, affinity_slack: 0.5 }
}

/// Runs all policies on one plan.
pub fn compare(plan: &fleet::Plan) -> Vec<Row> {
    let blend = |sample, affinity_slack| move |rng| policy::Blend { rng, sample, affinity_slack };
    // With a slack below any difference of scores, a cached prefix is never preferred.
    const NO_AFFINITY: f64 = -1e9;
    vec![
        Row { name: "lot", result: fleet::run(plan, |rng| policy::Lot { rng }) },
        Row { name: "reported", result: fleet::run(plan, |_| policy::Reported) },
        Row { name: "two", result: fleet::run(plan, |rng| policy::Two { rng }) },
        Row { name: "blend-2", result: fleet::run(plan, blend(2, NO_AFFINITY)) },
        Row { name: "blend-3", result: fleet::run(plan, blend(3, NO_AFFINITY)) },
        Row { name: "blend-all", result: fleet::run(plan, blend(usize::MAX, NO_AFFINITY)) },
        Row { name: "affinity-0.1", result: fleet::run(plan, blend(2, 0.1)) },
        Row { name: "affinity-0.25", result: fleet::run(plan, blend(2, 0.25)) },
        Row { name: "affinity-0.5", result: fleet::run(plan, blend(2, 0.5)) },
        Row { name: "affinity-free", result: fleet::run(plan, blend(2, 1e9)) },
    ]
}

/// Prints the comparison at several lags and loads.
pub fn print() {
    println!(
        "{:<6} {:<6} {:<14} {:>8} {:>8} {:>7} {:>6} {:>6} {:>8}",
        "load", "lag", "policy", "p50 ms", "p95 ms", "spread", "hits", "full", "refused"
    );
    for load in [0.7, 0.9] {
        for lag_ms in [50, 500, 1_000] {
            let lag = std::time::Duration::from_millis(lag_ms);
            let plan = fleet::Plan { lag, ..fleet::Plan::default() }.at_load(load);
            for Row { name, result } in compare(&plan) {
                println!(
                    "{load:<6} {lag_ms:<6} {name:<14} {:>8.1} {:>8.1} {:>7.2} {:>5.0}% {:>6} {:>8}",
                    result.wait_ms(1, 0.5),
                    result.wait_ms(1, 0.95),
                    result.spread,
                    result.hits as f64 / result.starts.max(1) as f64 * 100.0,
                    result.full,
                    result.refused
                );
            }
        }
    }
}
