//! A short soak of the seeds that are kept.

#![allow(clippy::unwrap_used, reason = "a test that fails may panic")]

use std::time::Duration;

use loftcove_soak::{plan, run};

const SIZE: plan::Size =
    plan::Size { gateways: 3, ranks: 4, plain: 3, clients: 12, time: Duration::from_secs(8) };

fn seeds() -> Vec<u64> {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/seeds.txt");
    let text = std::fs::read_to_string(path).unwrap();
    let lines = text.lines().filter(|line| !line.starts_with('#'));
    lines.map(|line| line.split_whitespace().next().unwrap().parse().unwrap()).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn kept_seeds_break_no_promise() {
    let seeds = seeds();
    assert!(!seeds.is_empty());
    for seed in seeds {
        let report = run::seed(seed, &SIZE).await;
        assert!(report.requests.1 > 100, "{:?} requests", report.requests);
        assert_eq!(report.breaches, [], "seed {seed}: {:?}", report.events);
    }
}

#[test]
fn a_seed_draws_the_same_faults_again() {
    assert_eq!(plan::draw(7, &SIZE), plan::draw(7, &SIZE));
    assert_ne!(plan::draw(7, &SIZE), plan::draw(8, &SIZE));
}
