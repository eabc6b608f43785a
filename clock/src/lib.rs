//! A clock for leases, deadlines and ages that includes the time during which the host is
//! suspended.
//!
//! The monotonic clock of the standard library and of the runtime stops while the host is
//! suspended. After a suspension of ten seconds, a lease of five seconds would still appear valid.
//! [`Instant`] reads the boot-time clock, which includes suspensions. Timers of the runtime use the
//! monotonic clock and fire late after a suspension, so callers check a deadline against this clock
//! again before they send anything.

use std::ops::Add;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Total time of the suspensions that a test has simulated in this process, in microseconds.
static SIMULATED_SUSPENSION: AtomicU64 = AtomicU64::new(0);

/// Advances this clock but not the monotonic clock, as a suspension of the host does.
///
/// Only tests call this.
pub fn simulate_suspension(time: Duration) {
    SIMULATED_SUSPENSION.fetch_add(time.as_micros() as u64, Ordering::Relaxed);
}

/// A point in time of the boot-time clock, measured from the start of the host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Instant(Duration);

impl Instant {
    /// Returns the present time.
    pub fn now() -> Instant {
        let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
        // The clock starts at zero, and its nanoseconds are less than a second.
        let since_boot = Duration::new(time.tv_sec as u64, time.tv_nsec as u32);
        Instant(since_boot + Duration::from_micros(SIMULATED_SUSPENSION.load(Ordering::Relaxed)))
    }

    /// Returns the time from this point to the present, or zero if it is in the future.
    pub fn elapsed(self) -> Duration {
        Instant::now().saturating_duration_since(self)
    }

    /// Returns the time from `earlier` to this point, or zero if `earlier` is later.
    pub fn saturating_duration_since(self, earlier: Instant) -> Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// Returns the time from `earlier` to this point, or none if `earlier` is later.
    pub fn checked_duration_since(self, earlier: Instant) -> Option<Duration> {
        self.0.checked_sub(earlier.0)
    }

    /// Returns the deadline to set now for a timer of the runtime that fires at this point. A
    /// suspension delays the timer by its whole length.
    pub fn timer(self) -> tokio::time::Instant {
        tokio::time::Instant::now() + self.saturating_duration_since(Instant::now())
    }
}

impl Add<Duration> for Instant {
    type Output = Instant;

    fn add(self, time: Duration) -> Instant {
        Instant(self.0.saturating_add(time))
    }
}

/// Returns the wall clock time in Unix milliseconds. Hosts differ in it by up to seconds.
pub fn unix_ms() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.unwrap_or_default().as_millis() as u64
}

/// Shortest suspension that is reported.
///
/// Shorter differences can come from the system's corrections of the two clocks. All bounds of the
/// project are longer.
const MIN_SUSPENSION: Duration = Duration::from_millis(100);
/// Interval between two checks for a suspension.
///
/// Timers that were set before a suspension are late by its whole length, so this interval bounds
/// the delay of the reaction. Each check reads two clocks.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// A point in time on both clocks.
#[derive(Debug, Clone, Copy)]
pub struct Mark {
    monotonic: std::time::Instant,
    boot: Instant,
}

impl Mark {
    /// Returns the present time. If the thread is paused between the two readings, a later
    /// suspension appears shorter, never longer.
    pub fn now() -> Mark {
        let monotonic = std::time::Instant::now();
        Mark { monotonic, boot: Instant::now() }
    }

    /// Returns how long the host has been suspended since this mark, or none if it has not.
    pub fn suspended_for(&self) -> Option<Duration> {
        let boot = self.boot.elapsed();
        let suspended = boot.saturating_sub(self.monotonic.elapsed());
        (suspended >= MIN_SUSPENSION).then_some(suspended)
    }
}

/// Waits until the host has been suspended, and returns for how long.
pub async fn wait_for_suspension() -> Duration {
    let mark = Mark::now();
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        if let Some(time) = mark.suspended_for() {
            return time;
        }
    }
}
