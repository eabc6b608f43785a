//! An engine that is restarted counts from zero. The difference between counts of two runs says
//! nothing about the demand and must not be reported.

#![allow(clippy::unwrap_used, reason = "a test that fails may panic")]

mod common;

use loftcove_sidecar::rank;
use loftcove_wire as wire;

/// Returns the counts that a driver reads.
async fn read_counts(ranks: &common::Ranks) -> Vec<u32> {
    let group = common::GROUP.to_owned();
    let inspection = wire::Inspection { term: common::TERM, counts: true, experts: false, group };
    rank::inspect(&ranks.driver, &inspection).await.unwrap().counts
}

fn set(ranks: &common::Ranks, counts: &[u64], born: Option<u64>) {
    let mut state = ranks.tables[0].state.lock().unwrap();
    state.counts = counts.to_vec();
    state.born = born;
}

#[tokio::test]
async fn reports_the_growth_of_counts_within_one_run() {
    let ranks = common::start(2, &std::collections::BTreeMap::new()).await;
    set(&ranks, &[10, 20], Some(1));
    assert!(read_counts(&ranks).await.is_empty(), "the first read has nothing to compare with");
    set(&ranks, &[13, 21], Some(1));
    assert_eq!(read_counts(&ranks).await, [3, 1]);
}

#[tokio::test]
async fn reports_no_counts_after_a_restart_of_the_engine() {
    let ranks = common::start(2, &std::collections::BTreeMap::new()).await;
    set(&ranks, &[10, 20], Some(1));
    read_counts(&ranks).await;
    // All counts are higher than before; only the start time shows that it is another run.
    set(&ranks, &[400, 500], Some(2));
    assert!(read_counts(&ranks).await.is_empty());
    set(&ranks, &[402, 500], Some(2));
    assert_eq!(read_counts(&ranks).await, [2, 0]);
    // The start time is unchanged, but one count has fallen.
    set(&ranks, &[1, 900], Some(2));
    assert!(read_counts(&ranks).await.is_empty());
}
