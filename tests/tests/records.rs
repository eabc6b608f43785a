//! A gateway keeps a bounded number of records of runs of backend servers.

#![allow(clippy::unwrap_used, reason = "a test that fails may panic")]

use loftcove_tests::request::Request;
use loftcove_tests::system::{Plan, SMS, System};
use loftcove_tests::until;

const PLAN: Plan =
    Plan { gateways: 1, ranks: 2, groups: 1, plain: 2, sidecars: false, proxied: false };
/// Number of runs that are listed one after the other.
const RUNS: u64 = 40;
/// Number of the plain server whose address the listed runs have. Nothing listens there.
const ABSENT: u8 = 9;

/// Returns the value of a metric of the gateway.
async fn metric(system: &System, name: &str) -> u64 {
    let metrics = system.metrics(0).await;
    let value = metrics.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
    value.unwrap_or_else(|| panic!("no metric {name}")).parse().unwrap()
}

async fn wait_listed(system: &System, count: u64) {
    until("the list is applied", || async {
        metric(system, "loftcove_servers_listed").await == count
    })
    .await;
}

/// Checks that the gateway keeps a bounded number of records of runs that are no longer listed, and
/// that it still serves. For each run that it has listed at a time, it may keep one that was not
/// listed again and one that a newer run has replaced.
async fn check(system: &System, most_listed: u64) {
    let records = metric(system, "loftcove_server_records").await;
    assert!(records <= 3 * most_listed, "{records} records, {most_listed} listed at a time");
    for path in ["/alert/", "/draft/"] {
        assert_eq!(system.request(0, &Request::new(path)).await.status, 200, "{path}");
    }
}

/// Guards against a record that stays for the life of the process because the id of its server is
/// never listed again. A host that replaces another one has a new id.
#[tokio::test(flavor = "multi_thread")]
async fn records_are_bounded_as_servers_are_replaced_by_others() {
    let system = System::start(PLAN).await;
    system.wait_ready(0).await;
    let listed = metric(&system, "loftcove_servers_listed").await;
    for run in 0..RUNS {
        let id = format!("replaced-{run}");
        system.put_entry(&id, SMS, system.plain_address(ABSENT), "draining").await;
        wait_listed(&system, listed + 1).await;
        system.remove(&format!("servers/{id}")).await;
        wait_listed(&system, listed).await;
    }
    check(&system, listed + 1).await;
}

/// Guards against one record more for each restart of a server under its id.
#[tokio::test(flavor = "multi_thread")]
async fn records_are_bounded_as_a_server_restarts() {
    let system = System::start(PLAN).await;
    system.wait_ready(0).await;
    let listed = metric(&system, "loftcove_servers_listed").await;
    let address = system.plain_address(ABSENT);
    for run in 1..=RUNS {
        system.put_entry_of_run("restarts", SMS, address, run).await;
        // Changes arrive in order, so this one shows that the gateway has applied the restart.
        system.put_entry("other", SMS, address, "draining").await;
        wait_listed(&system, listed + 2).await;
        system.remove("servers/other").await;
        wait_listed(&system, listed + 1).await;
    }
    check(&system, listed + 2).await;
}
