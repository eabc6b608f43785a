//! The account of the memory that peers make a process hold, and the bodies that take it.

#![allow(clippy::unwrap_used, reason = "a test that fails may panic")]

use std::convert::Infallible;
use std::time::Duration;

use bytes::Bytes;
use futures_util::{FutureExt as _, StreamExt as _, stream};
use http_body::Frame;
use http_body_util::{Full, StreamBody};
use loftcove_intake::body::{Error, Limit, collect};
use loftcove_intake::memory::{Account, Demand, Full as NoMemory, SMALL, STALL};

const MB: usize = 1 << 20;

fn demand(bytes: usize) -> Demand {
    Demand { bytes, time: Duration::from_secs(10), wait: Duration::from_millis(200) }
}

fn limit(bytes: usize) -> Limit {
    Limit { bytes, time: Duration::from_secs(60), copies: 1 }
}

#[tokio::test]
async fn memory_is_given_back_when_the_last_copy_of_a_body_is_dropped() {
    let account = Account::new(12 * MB);
    let mut body = Full::new(Bytes::from(vec![1; 3 * MB]));
    let bytes = collect(&mut body, &account, limit(4 * MB)).await.unwrap();
    assert_eq!((bytes.len(), account.held()), (3 * MB, 3 * MB));
    let copy = bytes.slice(MB..);
    drop(bytes);
    assert_eq!(account.held(), 3 * MB);
    drop(copy);
    assert_eq!(account.held(), 0);
}

#[tokio::test]
async fn a_small_hold_gets_in_while_all_that_is_large_is_taken() {
    let account = Account::new(8 * MB);
    let mut large = Vec::new();
    while let Some(hold) = account.try_hold(MB) {
        large.push(hold);
    }
    let small = account.try_hold(SMALL);
    assert!(small.is_some() && account.held() <= account.capacity());
    assert!(account.try_hold(SMALL + 1).is_none());
    large.pop();
    assert!(account.try_hold(MB).is_some());
}

#[tokio::test]
async fn a_body_larger_than_the_account_is_admitted_alone_and_leaves_room_for_small_ones() {
    let account = Account::new(MB);
    let large = account.try_hold(4 * MB).unwrap();
    assert!(account.try_hold(4 * MB).is_none());
    assert!(account.try_hold(SMALL).is_some());
    drop(large);
    assert!(account.try_hold(4 * MB).is_some());
}

#[tokio::test]
async fn waits_for_memory_for_a_bounded_time() {
    let account = Account::new(6 * MB);
    let first = account.try_hold(5 * MB).unwrap();
    assert_eq!(account.hold_body(demand(MB)).await.unwrap_err(), NoMemory);
    let waiting = account.hold_body(demand(MB));
    tokio::pin!(waiting);
    assert!((&mut waiting).now_or_never().is_none());
    drop(first);
    waiting.await.unwrap();
    assert_eq!(account.held(), 0);
}

#[tokio::test]
async fn gives_up_the_body_that_has_made_no_progress_for_the_longest_time() {
    let account = Account::new(6 * MB);
    let bodies = [
        account.hold_body(demand(2 * MB)).await.unwrap(),
        account.hold_body(demand(MB)).await.unwrap(),
        account.hold_body(demand(2 * MB)).await.unwrap(),
    ];
    // The first one sends a byte at a time, the last one fast enough for its deadline.
    tokio::time::sleep(STALL / 2).await;
    bodies[0].record(1);
    tokio::time::sleep(STALL / 2).await;
    bodies[0].record(1);
    bodies[2].record(MB);
    let (given_up, held) = tokio::join!(bodies[0].given_up(), async {
        let waiting = account.hold_body(demand(2 * MB));
        tokio::pin!(waiting);
        (&mut waiting).now_or_never()
    });
    let () = given_up;
    assert!(held.is_none());
    assert!(bodies[1].given_up().now_or_never().is_none());
    assert!(bodies[2].given_up().now_or_never().is_none());
    let [first, ..] = bodies;
    drop(first);
    account.hold_body(demand(2 * MB)).await.unwrap();
}

#[tokio::test]
async fn a_complete_body_is_not_given_up() {
    let account = Account::new(6 * MB);
    let mut body = account.hold_body(demand(5 * MB)).await.unwrap();
    body.complete();
    tokio::time::sleep(STALL).await;
    assert_eq!(account.hold_body(demand(MB)).await.unwrap_err(), NoMemory);
}

/// Returns a body without a known length.
fn pieces(
    size: usize,
    count: usize,
) -> impl http_body::Body<Data = Bytes, Error = Infallible> + Unpin {
    let piece = Bytes::from(vec![b'x'; size]);
    let frames = (0..count).map(move |_| Ok(Frame::data(piece.clone())));
    StreamBody::new(stream::iter(frames).boxed())
}

#[tokio::test]
async fn a_body_of_unknown_length_grows_within_the_account() {
    let account = Account::new(24 * MB);
    let bytes = collect(&mut pieces(1_000, 3_000), &account, limit(4 * MB)).await.unwrap();
    assert_eq!(bytes.len(), 3_000_000);
    assert!((bytes.len()..=4 * MB).contains(&account.held()));
    let error = collect(&mut pieces(1_000, 3_000), &account, limit(2 * MB)).await.unwrap_err();
    assert_eq!(error, Error::TooLarge);
    drop(bytes);
    assert_eq!(account.held(), 0);
}

#[tokio::test]
async fn a_length_over_the_limit_is_refused_unread() {
    let account = Account::new(24 * MB);
    let mut body = Full::new(Bytes::from(vec![1; 3 * MB]));
    let error = collect(&mut body, &account, limit(2 * MB)).await.unwrap_err();
    assert_eq!(error, Error::TooLarge);
    assert!(!http_body::Body::is_end_stream(&body));
}

#[tokio::test]
async fn a_body_without_memory_is_refused_in_time() {
    let account = Account::new(6 * MB);
    let _held = account.try_hold(5 * MB).unwrap();
    let error = collect(&mut pieces(1_000, 3_000), &account, limit(4 * MB)).await.unwrap_err();
    assert_eq!(error, Error::Full(NoMemory));
    assert_eq!(account.held(), 5 * MB);
}
