//! Deadlines of pieces that are always ready.

#![allow(clippy::unwrap_used, reason = "a test that fails may panic")]

use std::future;
use std::time::Duration;

use loftcove_clock as boot;
use loftcove_gateway::deadline::{Deadline, Passed};

const LIMIT: Duration = Duration::from_millis(100);

/// Guards against pieces that defer the deadline for as long as they are ready.
#[tokio::test]
async fn a_deadline_holds_while_pieces_are_ready() {
    let (begun, started) = (boot::Instant::now(), std::time::Instant::now());
    let mut deadline = Deadline::new(begun + LIMIT);
    while deadline.wait(future::ready(())).await.is_ok() {
        // The other test advances the clock of deadlines.
        assert!(started.elapsed() < 3 * LIMIT);
    }
    assert!(begun.elapsed() >= LIMIT);
    assert_eq!(deadline.wait(future::ready(())).await, Err(Passed));
}

/// Guards against a response that is lost since its reader was held up past the deadline.
#[tokio::test]
async fn pieces_that_were_ready_at_the_deadline_are_taken() {
    let mut deadline = Deadline::new(boot::Instant::now() + LIMIT);
    boot::simulate_suspension(10 * LIMIT);
    for _ in 0..10 {
        deadline.wait(future::ready(())).await.unwrap();
    }
    assert_eq!(deadline.wait(future::pending::<()>()).await, Err(Passed));
}
