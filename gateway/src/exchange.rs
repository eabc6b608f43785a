//! The request that a client's connection is answering.
//!
//! A connection that ends before it has written an answer leaves its client without one.
//! That is logged with the request's id and the reason, whichever way the connection ends.

use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard};

use loftcove_clock as boot;

/// The last exchange of a connection, shared by the connection and its requests.
#[derive(Debug, Clone, Default)]
pub struct Exchange {
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    stage: Stage,
    /// Id of the request, once its head has been understood.
    id: Option<Arc<str>>,
    /// When the stage began.
    since: Option<boot::Instant>,
    requests: u64,
}

/// How far an exchange has come.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum Stage {
    /// Nothing is owed.
    #[default]
    Idle,
    /// A request has come and has no answer yet.
    Handling,
    /// The connection has the head of the answer, and may not have written all of it.
    Answering,
}

impl Exchange {
    fn lock(&self) -> MutexGuard<'_, State> {
        // Each change is a plain assignment: a panic elsewhere leaves nothing half done.
        self.state.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// The head of a request has come.
    pub fn begin(&self) {
        let mut state = self.lock();
        let requests = state.requests + 1;
        *state =
            State { stage: Stage::Handling, id: None, since: Some(boot::Instant::now()), requests };
    }

    /// The request's id is known.
    pub fn set_id(&self, id: &Arc<str>) {
        self.lock().id = Some(id.clone());
    }

    /// The connection has been handed the answer's head.
    pub fn answer(&self) {
        let mut state = self.lock();
        state.stage = Stage::Answering;
        state.since = Some(boot::Instant::now());
    }

    /// The connection has ended and everything was written.
    fn end(&self) {
        self.lock().stage = Stage::Idle;
    }

    /// Logs an answer that is still owed as the connection ends; once.
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
            "connection ended without a whole answer request={} stage={at} ms={ms} requests={} reason=\"{reason}\"",
            state.id.as_deref().unwrap_or("-"),
            state.requests
        );
    }
}

/// Reports what a connection owes when its task ends, also by a panic.
pub struct Guard(pub Exchange);

impl Guard {
    /// The connection ended as the library says.
    pub fn finish(&self, ended: Result<(), hyper::Error>) {
        let exchange = &self.0;
        match ended {
            // A request whose client has left is dropped without an error.
            Ok(()) if exchange.lock().stage == Stage::Handling => exchange.abandon(&"client left"),
            Ok(()) => exchange.end(),
            Err(error) if error.is_timeout() && exchange.lock().stage == Stage::Answering => {
                // It was idle after its last answer.
                exchange.end();
            }
            Err(error) => {
                log::debug!("client's connection ended error=\"{error}\"");
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
