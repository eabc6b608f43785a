//! A stand-in for the platform: the part of Consul's HTTP protocol that
//! loftcove uses, with faults.
//!
//! Besides the protocol, `PUT /standin/hosts` sets the host list (a JSON list
//! of catalogue entries), `PUT /standin/fault/NAME` sets a [`Fault`], and
//! `GET /standin/calls` tells how many calls came.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use base64::Engine as _;
use bytes::Bytes;
use hyper::body::Incoming;
use tokio::sync::watch;

use crate::server;

/// How the stand-in misbehaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Fault {
    /// Not at all.
    #[default]
    None,
    /// Answers every call with an error and does nothing.
    Down,
    /// Waits for 1.5 s before each call.
    Slow,
    /// Does the next write and loses its answer.
    LoseWrite,
}

#[derive(Default)]
struct State {
    index: u64,
    pairs: BTreeMap<String, (u64, Bytes)>,
    hosts: (u64, serde_json::Value),
    fault: Fault,
    calls: u64,
}

/// The stand-in.
#[derive(Clone)]
pub struct Platform {
    state: Arc<Mutex<State>>,
    changed: watch::Sender<u64>,
}

impl Default for Platform {
    fn default() -> Platform {
        let state = State { hosts: (1, serde_json::json!([])), index: 1, ..State::default() };
        Platform { state: Arc::new(Mutex::new(state)), changed: watch::Sender::new(0) }
    }
}

impl Platform {
    /// Answers one call.
    pub async fn handle(self, request: http::Request<Incoming>) -> http::Response<server::Body> {
        let path = request.uri().path().to_owned();
        if let Some(control) = path.strip_prefix("/standin/") {
            let control = control.to_owned();
            let body = server::read(request.into_body()).await;
            return self.control(&control, &body);
        }
        let fault = self.count();
        match fault {
            Fault::Down => return server::text(500, "down"),
            Fault::Slow => tokio::time::sleep(Duration::from_millis(1_500)).await,
            Fault::None | Fault::LoseWrite => {}
        }
        let query = query(request.uri().query().unwrap_or_default());
        if path.starts_with("/v1/health/service/") {
            return self.watch(&query, |state| state.hosts.0, State::host_answer).await;
        }
        let Some(key) = path.strip_prefix("/v1/kv/").map(str::to_owned) else {
            return server::text(404, "no such path");
        };
        if request.method() == http::Method::PUT {
            let value = server::read(request.into_body()).await;
            return self.put(key, &query, value).await;
        }
        if query.contains_key("keys") {
            return self.lock().keys(&key);
        }
        let cursor = key.clone();
        self.watch(&query, move |state| state.cursor(&cursor), move |state| state.pair(&key)).await
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the stand-in's lock panics")
    }

    fn count(&self) -> Fault {
        let mut state = self.lock();
        state.calls += 1;
        state.fault
    }

    fn control(&self, path: &str, body: &Bytes) -> http::Response<server::Body> {
        let mut state = self.lock();
        match path {
            "calls" => return server::text(200, state.calls.to_string()),
            "hosts" => {
                state.index += 1;
                let hosts = serde_json::from_slice(body).expect("the test sends a JSON list");
                state.hosts = (state.index, hosts);
            }
            "fault/none" => state.fault = Fault::None,
            "fault/down" => state.fault = Fault::Down,
            "fault/slow" => state.fault = Fault::Slow,
            "fault/lose-write" => state.fault = Fault::LoseWrite,
            _ => return server::text(404, "no such control"),
        }
        drop(state);
        self.changed.send_modify(|count| *count += 1);
        server::text(200, "")
    }

    async fn put(
        &self,
        key: String,
        query: &BTreeMap<String, String>,
        value: Bytes,
    ) -> http::Response<server::Body> {
        if value.len() > 1_048_576 {
            return server::text(413, "value over a megabyte");
        }
        let lose = {
            let mut state = self.lock();
            let expected: u64 = query.get("cas").and_then(|text| text.parse().ok()).unwrap_or(0);
            if state.cursor(&key) != expected {
                return server::text(200, "false");
            }
            state.index += 1;
            let index = state.index;
            state.pairs.insert(key, (index, value));
            let lose = state.fault == Fault::LoseWrite;
            if lose {
                state.fault = Fault::None;
            }
            lose
        };
        self.changed.send_modify(|count| *count += 1);
        if lose {
            return server::text(500, "answer lost");
        }
        server::text(200, "true")
    }

    async fn watch(
        &self,
        query: &BTreeMap<String, String>,
        cursor: impl Fn(&State) -> u64,
        answer: impl Fn(&State) -> http::Response<server::Body>,
    ) -> http::Response<server::Body> {
        let seen: u64 = query.get("index").and_then(|text| text.parse().ok()).unwrap_or(0);
        let wait = query.get("wait").and_then(|text| text.trim_end_matches("ms").parse().ok());
        let until = tokio::time::Instant::now() + Duration::from_millis(wait.unwrap_or(0));
        let mut changed = self.changed.subscribe();
        loop {
            {
                let state = self.lock();
                if state.fault == Fault::Down {
                    return server::text(500, "down");
                }
                // A key without a value waits on the index of the whole store.
                let at = cursor(&state).max(1);
                if seen == 0 || at != seen {
                    return with_index(answer(&state), at);
                }
            }
            if tokio::time::timeout_at(until, changed.changed()).await.is_err() {
                let state = self.lock();
                return with_index(answer(&state), cursor(&state).max(1));
            }
        }
    }
}

impl State {
    fn cursor(&self, key: &str) -> u64 {
        self.pairs.get(key).map_or(0, |pair| pair.0)
    }

    fn pair(&self, key: &str) -> http::Response<server::Body> {
        let Some((index, value)) = self.pairs.get(key) else { return server::text(404, "") };
        let value = base64::engine::general_purpose::STANDARD.encode(value);
        server::json(200, &serde_json::json!([{ "ModifyIndex": index, "Value": value }]))
    }

    fn keys(&self, prefix: &str) -> http::Response<server::Body> {
        let keys: Vec<&String> = self.pairs.keys().filter(|key| key.starts_with(prefix)).collect();
        server::json(200, &serde_json::json!(keys))
    }

    fn host_answer(&self) -> http::Response<server::Body> {
        server::json(200, &self.hosts.1)
    }
}

fn with_index(
    mut response: http::Response<server::Body>,
    index: u64,
) -> http::Response<server::Body> {
    response.headers_mut().insert("x-consul-index", index.into());
    response
}

fn query(text: &str) -> BTreeMap<String, String> {
    let pairs = text.split('&').filter(|pair| !pair.is_empty());
    pairs
        .map(|pair| pair.split_once('=').unwrap_or((pair, "")))
        .map(|(key, value)| (key.to_owned(), value.to_owned()))
        .collect()
}
