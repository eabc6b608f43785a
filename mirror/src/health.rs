//! Whether the store answers this host, and since when.

use loftcove_clock as boot;
use std::sync::Mutex;
use std::time::Duration;

/// An outage that seems shorter does not make entries lapse: they outlast three
/// missed renewals of more than a second each, and we notice an outage within
/// two seconds and a half.
const SHORT_OUTAGE: Duration = Duration::from_millis(300);
/// How long after an outage entries may take to come back: twice the interval
/// at which backend servers renew theirs, and less than the two seconds after
/// which users take a missing one to be gone.
pub const RETURN_TIME: Duration = Duration::from_millis(1_900);

/// What is known of the store.
#[derive(Debug, Default)]
pub struct Health {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    down_since: Option<boot::Instant>,
    /// End of the last outage that was long enough for entries to lapse.
    returned: Option<boot::Instant>,
}

impl Health {
    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// A call failed.
    pub fn failed(&self, error: &dyn std::fmt::Display) {
        let mut state = self.lock();
        if state.down_since.is_none() {
            state.down_since = Some(boot::Instant::now());
            log::warn!("dependency lost name=store error=\"{error}\"");
        }
    }

    /// A call was answered.
    pub fn answered(&self) {
        let mut state = self.lock();
        let Some(since) = state.down_since.take() else { return };
        let outage = since.elapsed();
        log::info!("dependency regained name=store outage_ms={}", outage.as_millis());
        if outage >= SHORT_OUTAGE {
            state.returned = Some(boot::Instant::now());
        }
    }

    /// Whether the store answered the last call.
    pub fn available(&self) -> bool {
        self.lock().down_since.is_none()
    }

    /// For how much longer a missing entry may still come back.
    pub fn grace(&self) -> Option<Duration> {
        let state = self.lock();
        if state.down_since.is_some_and(|since| since.elapsed() >= SHORT_OUTAGE) {
            return Some(RETURN_TIME);
        }
        let since = state.returned?.elapsed();
        RETURN_TIME.checked_sub(since)
    }
}
