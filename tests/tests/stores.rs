//! Gateways tolerate a store that denies one host, is unavailable to all, has compacted its history
//! or lost entries.

#![allow(clippy::unwrap_used, reason = "a test that fails may panic")]

use loftcove_tests::request::Request;
use loftcove_tests::system::{BOUND, KEY, Plan, System};
use loftcove_tests::until;

const PLAN: Plan =
    Plan { gateways: 3, ranks: 2, groups: 1, plain: 2, sidecars: false, proxied: false };

async fn refused(system: &System, gateway: u8, key: &str) -> bool {
    system.request(gateway, &Request::new("/alert/").with("x-api-key", key)).await.status == 401
}

#[tokio::test(flavor = "multi_thread")]
async fn receives_updates_from_peers_when_the_store_denies_a_host() {
    let mut system = System::start(PLAN).await;
    let ip = system.gateway_ip(1);
    system.store_control(&format!("deny?from={ip}")).await;
    system.store_control("compact").await;
    let began = std::time::Instant::now();
    system.configure(2, &["new-key"]).await;
    system.remove("servers/plain-0").await;
    until("the old key is refused", || refused(&system, 1, KEY)).await;
    until("the new key is accepted", || async { !refused(&system, 1, "new-key").await }).await;
    let learnt =
        |line: &String| line.contains("learnt key=op/config") && line.contains("from=peer");
    until("the gateway logs the update from a peer", || async {
        system.gateways[1].log().iter().any(learnt)
    })
    .await;
    assert!(began.elapsed() < BOUND, "{:?}", began.elapsed());
}

#[tokio::test(flavor = "multi_thread")]
async fn serves_during_a_store_outage_and_applies_updates_afterwards() {
    let mut system = System::start(PLAN).await;
    system.store_control("fault/down").await;
    until("all gateways have detected the outage", || async {
        let lost = |line: &String| line.contains("dependency lost name=store");
        system.gateways.iter().all(|gateway| gateway.log().iter().any(lost))
    })
    .await;
    for gateway in 0..PLAN.gateways {
        assert_eq!(system.request(gateway, &Request::new("/alert/")).await.status, 200);
    }
    system.configure(2, &["new-key"]).await;
    system.store_control("fault/none").await;
    for gateway in 0..PLAN.gateways {
        until("the new key is accepted", || async { !refused(&system, gateway, "new-key").await })
            .await;
    }
    let back = |line: &String| line.contains("dependency regained name=store");
    until("the gateway logs the end of the outage", || async {
        system.gateways[0].log().iter().any(back)
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn lists_keys_again_after_the_history_was_compacted() {
    let mut system = System::start(PLAN).await;
    for version in 2..8 {
        system.store_control("compact").await;
        let key = format!("key-{version}");
        system.configure(version, &[&key]).await;
        for gateway in 0..PLAN.gateways {
            until("the key is accepted", || async { !refused(&system, gateway, &key).await }).await;
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn defers_removals_of_entries_that_lapsed_during_an_outage() {
    let system = System::start(PLAN).await;
    let entry = |index: u8| (format!("plain-{index}"), system.plain_address(index));
    system.store_control("fault/down").await;
    let lost = |line: &String| line.contains("dependency lost name=store");
    let mut since = None;
    until("all gateways have detected the outage for longer than a short one", || {
        let all = system.gateways.iter().all(|gateway| gateway.log().iter().any(lost));
        let now = std::time::Instant::now();
        let since = if all { *since.get_or_insert(now) } else { now };
        async move { now - since > std::time::Duration::from_millis(500) }
    })
    .await;
    for index in 0..PLAN.plain {
        system.remove(&format!("servers/{}", entry(index).0)).await;
    }
    system.store_control("fault/none").await;
    until("the removals are received and deferred", || async {
        let held = |line: &String| line.contains("removal held back key=servers/plain-1");
        system.gateways[0].log().iter().any(held)
    })
    .await;
    // The gateways still have their backend servers.
    assert_eq!(system.request(0, &Request::new("/alert/")).await.status, 200);
    let (id, address) = entry(1);
    system.put_entry(&id, loftcove_tests::system::SMS, address, "ready").await;
    until("the entry that was not rewritten is removed", || async {
        // Either this gateway's deferral has ended or a peer's ended first.
        let over = |line: &String| {
            line.contains("removal held back is over key=servers/plain-0")
                || (line.contains("learnt key=servers/plain-0") && line.contains("removed=true"))
        };
        system.gateways[0].log().iter().any(over)
    })
    .await;
    for _ in 0..10 {
        let request = Request::new("/alert/");
        assert_eq!(system.request(0, &request).await.status, 200);
        assert_eq!(system.arrivals(&request.id).await[0]["server"], "plain-1");
    }
}
