//! An engine that starts again counts from zero: what it had counted before
//! says nothing of the demand.

#![allow(clippy::unwrap_used, reason = "a test that fails may panic")]

mod common;

use loftcove_sidecar::rank;
use loftcove_wire as wire;

/// What a driver reads of the counts.
async fn look(ranks: &common::Ranks) -> Vec<u32> {
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
async fn counts_are_told_as_their_growth_within_one_run() {
    let ranks = common::start(2, &std::collections::BTreeMap::new()).await;
    set(&ranks, &[10, 20], Some(1));
    assert!(look(&ranks).await.is_empty(), "a first look tells nothing");
    set(&ranks, &[13, 21], Some(1));
    assert_eq!(look(&ranks).await, [3, 1]);
}

#[tokio::test]
async fn a_start_between_two_looks_tells_nothing() {
    let ranks = common::start(2, &std::collections::BTreeMap::new()).await;
    set(&ranks, &[10, 20], Some(1));
    look(&ranks).await;
    // It counts higher than before: only its start shows that it is another run.
    set(&ranks, &[400, 500], Some(2));
    assert!(look(&ranks).await.is_empty());
    set(&ranks, &[402, 500], Some(2));
    assert_eq!(look(&ranks).await, [2, 0]);
    // One that does not tell its start, and of which one count has fallen.
    set(&ranks, &[1, 900], Some(2));
    assert!(look(&ranks).await.is_empty());
}
