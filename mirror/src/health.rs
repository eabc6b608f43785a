//! Availability of the store, as this host observes it from the results of its calls.

use loftcove_clock as boot;
use loftcove_line::field;
use std::sync::Mutex;
use std::time::Duration;

/// Shortest observed outage that may make entries expire. A shorter one does not: entries outlast
/// three missed renewals of more than a second each, and an outage is detected within 2.5 seconds.
const MIN_OUTAGE: Duration = Duration::from_millis(300);
/// Time after an outage in which owners may write their entries again: twice the interval at which
/// backend servers renew theirs, and less than the two seconds after which users consider a missing
/// entry removed.
pub const RECOVERY_TIME: Duration = Duration::from_millis(1_900);

/// Availability of the store and the time of the last outage.
#[derive(Debug, Default)]
pub struct Health {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    outage_since: Option<boot::Instant>,
    /// End of the last outage that was long enough for entries to expire.
    recovered_at: Option<boot::Instant>,
}

impl Health {
    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Records that a call failed.
    pub fn failed(&self, error: &dyn std::fmt::Display) {
        let mut state = self.lock();
        if state.outage_since.is_none() {
            state.outage_since = Some(boot::Instant::now());
            log::warn!("dependency lost name=store error={error}", error = field::Quoted(&error));
        }
    }

    /// Records that a call was answered.
    pub fn answered(&self) {
        let mut state = self.lock();
        let Some(since) = state.outage_since.take() else { return };
        let outage = since.elapsed();
        log::info!("dependency regained name=store outage_ms={}", outage.as_millis());
        if outage >= MIN_OUTAGE {
            state.recovered_at = Some(boot::Instant::now());
        }
    }

    /// Returns whether the store answered the last call.
    pub fn available(&self) -> bool {
        self.lock().outage_since.is_none()
    }

    /// Returns for how much longer a missing entry may still be written again, if it may be.
    pub fn grace(&self) -> Option<Duration> {
        let state = self.lock();
        if state.outage_since.is_some_and(|since| since.elapsed() >= MIN_OUTAGE) {
            return Some(RECOVERY_TIME);
        }
        let since = state.recovered_at?.elapsed();
        RECOVERY_TIME.checked_sub(since)
    }
}
