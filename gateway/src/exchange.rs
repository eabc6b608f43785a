//! The request that a client's connection is currently answering.
//!
//! If a connection ends before its response is written completely, the client has no answer. This
//! is logged with the request's id and the reason, however the connection ends.

use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard};

use loftcove_clock as boot;
use loftcove_line::field;

use crate::client;

/// Last exchange of a connection, shared by the connection and its requests.
#[derive(Debug, Clone, Default)]
pub struct Exchange {
    state: Arc<Mutex<State>>,
    /// Whether the client takes the bytes that wait for it.
    pub progress: Arc<client::Progress>,
}

#[derive(Debug, Default)]
struct State {
    stage: Stage,
    /// Id of the request, once its head has been parsed.
    id: Option<Arc<str>>,
    /// Start time of the stage.
    since: Option<boot::Instant>,
    requests: u64,
}

/// Progress of an exchange.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum Stage {
    /// No response is outstanding.
    #[default]
    Idle,
    /// A request has been received, and its response has not begun.
    Handling,
    /// The connection has the head of the response, and may not have written all of the response.
    Answering,
}

impl Exchange {
    /// Creates the state of a connection with the progress of its client.
    pub fn new(progress: client::Progress) -> Exchange {
        Exchange { progress: Arc::new(progress), ..Exchange::default() }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        // Each update is a plain assignment, so a panic elsewhere leaves no inconsistent state.
        self.state.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Records that the head of a request has been received.
    pub fn begin(&self) {
        let mut state = self.lock();
        let requests = state.requests + 1;
        *state =
            State { stage: Stage::Handling, id: None, since: Some(boot::Instant::now()), requests };
    }

    /// Records the request's id.
    pub fn set_id(&self, id: &Arc<str>) {
        self.lock().id = Some(id.clone());
    }

    /// Returns the request's id, if its head has been parsed.
    pub fn id(&self) -> Option<Arc<str>> {
        self.lock().id.clone()
    }

    /// Records that the connection has been given the response's head.
    pub fn answer(&self) {
        let mut state = self.lock();
        state.stage = Stage::Answering;
        state.since = Some(boot::Instant::now());
    }

    /// Records that the connection has ended with everything written.
    fn end(&self) {
        self.lock().stage = Stage::Idle;
    }

    /// Logs the outstanding response, if any, when the connection ends. Further calls do nothing.
    pub fn abandon(&self, reason: &dyn fmt::Display) {
        let mut state = self.lock();
        let stage = std::mem::take(&mut state.stage);
        let at = match stage {
            Stage::Idle => return,
            Stage::Handling => "handling",
            Stage::Answering => "answering",
        };
        let ms = state.since.map_or(0, |since| since.elapsed().as_millis());
        log::info!(
            "connection ended without a whole answer request={} stage={at} ms={ms} \
             requests={} reason={reason}",
            field::Text(state.id.as_deref().unwrap_or("-")),
            state.requests,
            reason = field::Quoted(&reason)
        );
    }
}

/// Logs the outstanding response when the connection's task ends, also by a panic.
pub struct Guard(pub Exchange);

impl Guard {
    /// Records how the connection ended, as reported by the HTTP library.
    pub fn finish(&self, ended: Result<(), hyper::Error>) {
        let exchange = &self.0;
        match ended {
            // The library drops a request without an error if its client has disconnected.
            Ok(()) if exchange.lock().stage == Stage::Handling => exchange.abandon(&"client left"),
            Ok(()) => exchange.end(),
            Err(error) if error.is_timeout() && exchange.lock().stage == Stage::Answering => {
                // The connection timed out while idle after its last response.
                exchange.end();
            }
            Err(error) => {
                log::debug!(
                    "client's connection ended error={error}",
                    error = field::Quoted(&error)
                );
                match std::error::Error::source(&error) {
                    Some(source) => exchange.abandon(&format_args!("{error}: {source}")),
                    None => exchange.abandon(&error),
                }
            }
        }
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        let panicked = std::thread::panicking();
        self.0.abandon(&if panicked { "panic" } else { "process ends" });
    }
}
