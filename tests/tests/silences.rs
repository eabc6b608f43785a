//! Calls to the store, and open connections to it, that fall silent without a
//! reset, while new ones work.

#![allow(clippy::unwrap_used, reason = "a test that fails may panic")]

use std::time::Instant;

use loftcove_tests::system::{BOUND, Plan, Request, System};
use loftcove_tests::until;

const PLAN: Plan =
    Plan { gateways: 3, ranks: 2, groups: 1, plain: 2, sidecars: false, proxied: true };

/// Waits until all gateways take a key; returns when one did last.
async fn all_take(system: &System, key: &str) -> Instant {
    for gateway in 0..PLAN.gateways {
        let taken = || async {
            let request = Request::new("/alert/").key(key);
            system.ask(gateway, &request).await.status == 200
        };
        until(&format!("gateway {gateway} takes {key}"), taken).await;
    }
    Instant::now()
}

/// Waits until the gateways have opened their watches again after a change.
async fn watches_open() {
    tokio::time::sleep(std::time::Duration::from_millis(600)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_watch_sent_while_the_store_is_silent_does_not_outlast_the_silence() {
    let mut system = System::start(PLAN).await;
    // All gateways hear of it at the same time, and open their next watches
    // while the store is silent.
    system.configure(2, &["second"]).await;
    system.store_control("fault/silent").await;
    all_take(&system, "second").await;
    watches_open().await;
    system.store_control("fault/none").await;
    let began = Instant::now();
    system.configure(3, &["third"]).await;
    let took = all_take(&system, "third").await - began;
    assert!(took < BOUND, "{took:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn open_connections_to_the_store_that_fall_silent_delay_no_configuration() {
    let mut system = System::start(PLAN).await;
    system.configure(2, &["second"]).await;
    all_take(&system, "second").await;
    watches_open().await;
    for gateway in 0..PLAN.gateways {
        system.link(&format!("store-gateway-{gateway}"), "silence").await;
    }
    let began = Instant::now();
    system.configure(3, &["third"]).await;
    let took = all_take(&system, "third").await - began;
    assert!(took < BOUND, "{took:?}");
}
