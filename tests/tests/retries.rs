//! Retries of all gateways together stay within what a service allows, by the requests that reach
//! its servers.

#![allow(clippy::unwrap_used, reason = "a test that fails may panic")]

use std::time::{SystemTime, UNIX_EPOCH};

use futures_util::future;
use loftcove_tests::request::Request;
use loftcove_tests::system::{Plan, System};
use loftcove_tests::visits::{self, RETRY_WINDOW_MS};

const PLAN: Plan =
    Plan { gateways: 3, ranks: 1, groups: 1, plain: 3, sidecars: false, proxied: false };
/// Number of failing requests that each gateway receives after each start.
const FAILING: usize = 30;

fn now() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

/// Sends requests that fail at every server to a gateway. Returns the times at which they were sent.
async fn fail(system: &System, gateway: u8) -> Vec<u64> {
    let requests = (0..FAILING).map(|_| async {
        let at = now();
        let request = Request::new("/alert/").with("x-standin-status", "500");
        system.request(gateway, &request).await;
        at
    });
    future::join_all(requests).await
}

/// Guards against retries that a gateway has when it starts: with each restart, all gateways
/// together send more of them than the service allows.
#[tokio::test(flavor = "multi_thread")]
async fn gateways_that_are_killed_in_series_stay_within_the_retry_allowance() {
    let mut system = System::start(PLAN).await;
    let (begun, mut sent) = (now(), Vec::new());
    while now() < begun + RETRY_WINDOW_MS {
        let rounds = (0..PLAN.gateways).map(|gateway| fail(&system, gateway));
        sent.extend(future::join_all(rounds).await.into_iter().flatten());
        for gateway in 0..PLAN.gateways {
            system.gateways[usize::from(gateway)].kill().await;
            system.start_gateway(gateway);
        }
        for gateway in 0..PLAN.gateways {
            system.wait_ready(gateway).await;
        }
    }
    let visits = system.visits().await;
    assert!(visits.len() > sent.len() / 2, "{} of {} reached a server", visits.len(), sent.len());
    assert_eq!(visits::overspend(&visits, &sent, system.retries), None);
}
