//! Deadlines that hold while what is awaited is always ready.
//!
//! A timeout polls its timer only where nothing is ready, so that a peer which sends many small
//! pieces defers it.

use std::time::Duration;

use loftcove_clock as boot;

/// Time for which pieces that are ready are taken after the deadline was noticed. A gateway that was
/// suspended or short of processor time may have received the end of a response in time.
const LATE_READS: Duration = Duration::from_millis(50);

/// The deadline passed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("deadline")]
pub struct Passed;

/// A deadline for a sequence of pieces.
#[derive(Debug, Clone)]
pub struct Deadline {
    due: boot::Instant,
    /// When a piece was first awaited after the deadline.
    noticed: Option<boot::Instant>,
}

impl Deadline {
    /// Creates a deadline.
    pub fn new(due: boot::Instant) -> Deadline {
        Deadline { due, noticed: None }
    }

    /// Waits for the next piece.
    ///
    /// # Errors
    ///
    /// Returns [`Passed`] if the deadline passes first, or if pieces are still ready some time after
    /// it.
    pub async fn wait<F: Future>(&mut self, piece: F) -> Result<F::Output, Passed> {
        let now = boot::Instant::now();
        if now >= self.due {
            let noticed = *self.noticed.get_or_insert(now);
            if now.saturating_duration_since(noticed) > LATE_READS {
                return Err(Passed);
            }
        }
        tokio::time::timeout_at(self.due.timer(), piece).await.map_err(|_| Passed)
    }
}
