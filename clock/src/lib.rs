//! The clock by which leases, deadlines and ages are measured.
//!
//! The steady clock of the standard library and of the runtime stands still
//! while the host is suspended: after ten seconds of that, a lease of five
//! seconds would still count as held. [`Instant`] is read from the clock that
//! counts this time too. Timers of the runtime go by the steady clock and are
//! late after a suspension, so whatever a timer guards is checked against this
//! clock again before anything is sent.

use std::ops::Add;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Microseconds by which a test has moved the clock of its process on.
static MOVED: AtomicU64 = AtomicU64::new(0);

/// Moves the clock on while the steady clock stands still, as a suspension of
/// the host does. For tests; the running programs never call it.
pub fn simulate_suspension(time: Duration) {
    MOVED.fetch_add(time.as_micros() as u64, Ordering::Relaxed);
}

/// A point of the clock, from the start of the host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Instant(Duration);

impl Instant {
    /// The present.
    pub fn now() -> Instant {
        let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
        // The clock begins at zero and its nanoseconds are below a second.
        let since_boot = Duration::new(time.tv_sec as u64, time.tv_nsec as u32);
        Instant(since_boot + Duration::from_micros(MOVED.load(Ordering::Relaxed)))
    }

    /// Time from this point to the present; zero where it lies ahead.
    pub fn elapsed(self) -> Duration {
        Instant::now().saturating_duration_since(self)
    }

    /// Time from `earlier` to this point; zero where `earlier` is later.
    pub fn saturating_duration_since(self, earlier: Instant) -> Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// Time from `earlier` to this point; none where `earlier` is later.
    pub fn checked_duration_since(self, earlier: Instant) -> Option<Duration> {
        self.0.checked_sub(earlier.0)
    }

    /// When a timer of the runtime is due that is set now for this point. A
    /// suspension makes it late by as much.
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

/// The time of day, Unix milliseconds. Hosts differ in it by up to seconds.
pub fn unix_ms() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.unwrap_or_default().as_millis() as u64
}

/// Shortest suspension that is told. Below lie differences of how the system
/// corrects the two clocks, and no bound of ours is as short.
const SHORTEST: Duration = Duration::from_millis(100);
/// Time between two looks whether the host was suspended: timers that were set
/// before are late by the whole suspension, so this bounds how long nothing is
/// done about it. Two readings of a clock each.
const INTERVAL: Duration = Duration::from_millis(100);

/// A moment on both clocks.
#[derive(Debug, Clone, Copy)]
pub struct Mark {
    steady: std::time::Instant,
    boot: Instant,
}

impl Mark {
    /// The present. A pause of the thread between the two readings makes a
    /// later suspension seem shorter, never longer.
    pub fn now() -> Mark {
        let steady = std::time::Instant::now();
        Mark { steady, boot: Instant::now() }
    }

    /// For how long the host has been suspended since; none if it was not.
    pub fn suspended_for(&self) -> Option<Duration> {
        let boot = self.boot.elapsed();
        let suspended = boot.saturating_sub(self.steady.elapsed());
        (suspended >= SHORTEST).then_some(suspended)
    }
}

/// Waits until the host has been suspended; returns for how long.
pub async fn wait_for_suspension() -> Duration {
    let mark = Mark::now();
    loop {
        tokio::time::sleep(INTERVAL).await;
        if let Some(time) = mark.suspended_for() {
            return time;
        }
    }
}
