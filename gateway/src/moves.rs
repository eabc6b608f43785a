//! Moves of requests in flight from slow ranks to others. The dispatcher decides them.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use loftcove_clock as boot;
use loftcove_dispatch as dispatch;
use loftcove_interface::protocol::Protocol;
use loftcove_line::field;

use crate::flow::Outcome;
use crate::request::Request;
use crate::state::{Gateway, Target};

/// Maximum number of lines about moves that are logged in [`INTERVAL`]. All streams of a rank are
/// moved together, and a gateway has few on one rank.
const MAX_LINES: u32 = 20;
/// Interval for which lines are counted.
const INTERVAL: Duration = Duration::from_secs(1);

/// Bounds the number of log lines about moves.
#[derive(Debug, Default)]
pub struct Log {
    window: Mutex<Window>,
}

#[derive(Debug, Default)]
struct Window {
    since: Option<boot::Instant>,
    lines: u32,
    left_out: u32,
}

impl Log {
    /// Returns whether a line may be logged, and the number of lines that were left out since the
    /// last logged one.
    fn admit(&self, now: boot::Instant) -> Option<u32> {
        // Each update is a plain assignment, so a panic elsewhere leaves no inconsistent state.
        let mut window = self.window.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        if window.since.is_none_or(|since| now.saturating_duration_since(since) >= INTERVAL) {
            window.since = Some(now);
            window.lines = 0;
        }
        if window.lines >= MAX_LINES {
            window.left_out += 1;
            return None;
        }
        window.lines += 1;
        Some(std::mem::take(&mut window.left_out))
    }
}

impl<P: Protocol> Gateway<P> {
    /// Logs and counts a move.
    pub(crate) fn record_move(&self, request: &Request, moved: &dispatch::Move<Target>) {
        self.metrics.moved.inc();
        let Some(left_out) = self.moves.admit(boot::Instant::now()) else { return };
        log::info!(
            "stream moved request={} from={} to={} slowness={:.2} ms={} left_out={left_out}",
            field::Text(&request.meta.id),
            field::Text(&moved.from),
            field::Text(&moved.attempt.target.run.id),
            moved.slowness,
            request.received.elapsed().as_millis()
        );
    }

    /// Sends an attempt as [`Gateway::send`] does. If the request is moved before the response's
    /// head has arrived, the attempt is dropped, which closes its connection, and the one that
    /// replaces it is sent. `attempt` is the last one then.
    pub(crate) async fn send_movable(
        &self,
        request: &Request,
        attempt: &mut dispatch::Attempt<Target>,
        resume_after: Option<Arc<str>>,
        permit: &mut dispatch::Permit<Target>,
    ) -> Outcome {
        loop {
            let moved = tokio::select! {
                biased;
                sent = self.send(request, attempt, resume_after.clone()) => return sent,
                Some(dispatch::Next::Move(moved)) = permit.next() => moved,
            };
            self.record_move(request, &moved);
            *attempt = moved.attempt;
        }
    }
}
