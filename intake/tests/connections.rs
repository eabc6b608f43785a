//! The bound on open connections, and which one is closed for others.

#![allow(clippy::unwrap_used, reason = "a test that fails may panic")]

use std::time::Duration;

use futures_util::FutureExt as _;
use loftcove_intake::connections::{Connection, Connections};
use loftcove_intake::memory::{Account, SMALL};

/// Longer than any connection is left alone.
const LONG: Duration = Duration::from_millis(1_100);

fn is_closing(connection: &Connection) -> bool {
    connection.state().closing().now_or_never().is_some()
}

#[tokio::test]
async fn closes_connections_without_work_in_order() {
    let bound = Connections::new(4);
    let mut open: Vec<Connection> = (0..4).map(|_| bound.open_connection()).collect();
    let [working, arriving, idle, _new] = &open[..] else { unreachable!() };
    let mut request = working.state().begin();
    request.complete();
    let _arriving = arriving.state().begin();
    drop(idle.state().begin());
    assert!(bound.wait_for_room().now_or_never().is_none());
    assert!(!open.iter().any(is_closing), "all have only begun");
    tokio::time::sleep(LONG).await;
    // Opened in this order, they are closed in the reverse one.
    while open.len() > 1 {
        assert!(bound.has_room());
        bound.close_one();
        let last = open.pop().unwrap();
        assert!(is_closing(&last) && !open.iter().any(is_closing));
        // One that is about to be closed is enough.
        bound.close_one();
        assert!(!open.iter().any(is_closing));
    }
    bound.close_one();
    assert!(!is_closing(&open[0]));
}

#[tokio::test]
async fn waits_while_all_connections_work() {
    let bound = Connections::new(1);
    let only = bound.open_connection();
    let mut request = only.state().begin();
    request.complete();
    tokio::time::sleep(LONG).await;
    assert!(!bound.has_room());
    let room = bound.wait_for_room();
    tokio::pin!(room);
    assert!((&mut room).now_or_never().is_none() && !is_closing(&only));
    drop(request);
    drop(only);
    room.await;
    assert_eq!(bound.open(), 0);
}

#[tokio::test]
async fn the_head_of_a_request_begins_with_its_first_byte() {
    let bound = Connections::new(1);
    let connection = bound.open_connection();
    let state = connection.state();
    assert!(state.head_since().is_none());
    state.receive();
    let since = state.head_since();
    state.receive();
    assert!(since.is_some() && state.head_since() == since);
    let request = state.begin();
    state.receive();
    assert!(state.head_since().is_none() && !state.is_idle());
    drop(request);
    assert!(state.head_since().is_none() && state.is_idle());
}

#[tokio::test]
async fn large_bodies_keep_no_connection_out() {
    const CONNECTION: usize = SMALL + 8 * 1_024;
    let account = Account::new(8 << 20);
    let mut large = Vec::new();
    while let Some(hold) = account.try_hold(1 << 20) {
        large.push(hold);
    }
    let bound = Connections::new(1);
    let hold = bound.hold(&account, CONNECTION).now_or_never().unwrap();
    assert_eq!((hold.bytes(), account.held()), (CONNECTION, (large.len() << 20) + CONNECTION));
    drop(hold);
    assert_eq!(account.held(), large.len() << 20);
}
