//! The clock includes the time of a suspension of the host, and the suspension is detected.

use std::time::Duration;

use loftcove_clock as boot;

/// This is the only test of the file, because a simulated suspension affects the whole process.
#[tokio::test]
async fn clock_includes_a_suspension_and_reports_it() {
    let (mark, before) = (boot::Mark::now(), boot::Instant::now());
    let due = before + Duration::from_secs(5);
    assert_eq!(mark.suspended_for(), None);
    let reported = tokio::spawn(boot::wait_for_suspension());
    tokio::task::yield_now().await;
    boot::simulate_suspension(Duration::from_secs(7));
    assert!(before.elapsed() >= Duration::from_secs(7));
    assert!(boot::Instant::now() > due);
    // The timer of an overdue deadline fires at once.
    assert!(due.timer() <= tokio::time::Instant::now());
    assert!(mark.suspended_for() >= Some(Duration::from_secs(6)));
    assert!(reported.await.is_ok_and(|time| time >= Duration::from_secs(6)));
    assert_eq!(boot::Mark::now().suspended_for(), None);
}
