//! A planned stop of a gateway cuts off nothing that it has taken.
//!
//! Seen: a request that was passed on was cut off as its gateway ended. Cause: it
//! was taken between the look that nothing is in flight and the end of the
//! process.

#![allow(clippy::unwrap_used, reason = "a test that fails may panic")]

use std::time::Duration;

use loftcove_tests::request::Request;
use loftcove_tests::system::{Plan, System};

const PLAN: Plan =
    Plan { gateways: 2, ranks: 4, groups: 1, plain: 2, sidecars: false, proxied: false };

/// Longest time that a gateway takes to stop.
const GRACE: Duration = Duration::from_secs(8);
/// Time between two requests: a look falls between them, and the next one comes
/// before the process has ended.
const PAUSE: Duration = Duration::from_millis(25);

#[tokio::test(flavor = "multi_thread")]
async fn a_stop_cuts_nothing_off_that_comes_as_it_ends() {
    let mut system = System::start(PLAN).await;
    system.gateways[0].signal(libc::SIGTERM);
    let began = std::time::Instant::now();
    let mut served = 0;
    while began.elapsed() < GRACE {
        let request = Request::new("/alert/").with("x-standin-delay-ms", "100");
        let answer = system.ask(0, &request).await;
        match answer.status {
            200 => served += 1,
            503 => {}
            _ => {
                let reached = system.arrivals(&request.id).await.len();
                assert_eq!(reached, 0, "cut off {:?} after the signal", began.elapsed());
            }
        }
        tokio::time::sleep(PAUSE).await;
    }
    assert!(served > 10, "{served} served while it stopped");
    assert!(system.gateways[0].wait().await);
}
