//! The clock goes on while the host is suspended, and that is noticed.

use std::time::Duration;

use loftcove_clock as boot;

/// One test, as the clock of the process is moved on.
#[tokio::test]
async fn a_suspension_counts_and_is_told() {
    let (mark, before) = (boot::Mark::now(), boot::Instant::now());
    let due = before + Duration::from_secs(5);
    assert_eq!(mark.suspended_for(), None);
    let told = tokio::spawn(boot::wait_for_suspension());
    tokio::task::yield_now().await;
    boot::simulate_suspension(Duration::from_secs(7));
    assert!(before.elapsed() >= Duration::from_secs(7));
    assert!(boot::Instant::now() > due);
    // What is overdue is due at once.
    assert!(due.timer() <= tokio::time::Instant::now());
    assert!(mark.suspended_for() >= Some(Duration::from_secs(6)));
    assert!(told.await.is_ok_and(|time| time >= Duration::from_secs(6)));
    assert_eq!(boot::Mark::now().suspended_for(), None);
}
