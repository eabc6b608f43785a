//! A stand-in for one rank of a model group.
//!
//! The ranks step in lockstep. Rank 0 launches each step and sends its number and the epoch of its
//! expert map. Every other rank runs the step only if it has prepared that epoch; otherwise it
//! rejects the step, and rank 0 retries. Each rank records the epoch of each step that it ran
//! (`GET /standin/steps`), which lets a test compare the ranks. A running request emits one token
//! per step. `/standin/drift` shifts the popularity to other experts.
//!
//! Headers of a request control its stream: `x-standin-break-after: N` aborts it after N tokens,
//! `x-standin-cut-after: N` ends its body in order inside the event after N tokens, and
//! `x-standin-framing: close` sends it without chunks. With `x-standin-framing: length`, the head
//! states the length that the whole stream has.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full};
use hyper::body::Incoming;
use hyper_util::client::legacy;
use serde::Deserialize;
use tokio::sync::watch;

use crate::{server, service};

/// Maximum number of steps recorded for `GET /standin/steps`.
const HISTORY: usize = 100_000;
/// Time that rank 0 waits for a rank to run a step before it sends the step again.
const STEP_TIMEOUT: Duration = Duration::from_millis(500);

/// Configuration of a rank.
#[derive(Debug, Clone)]
pub struct Config {
    /// Number of this rank.
    pub rank: u32,
    /// Addresses of the other ranks. Only rank 0 uses them.
    pub followers: Vec<SocketAddr>,
    /// Interval between steps.
    pub step: Duration,
    /// Number of layers in the synthetic expert counts.
    pub layers: u32,
    /// Number of experts per layer.
    pub experts: u32,
}

struct State {
    epochs: BTreeMap<u64, Map>,
    active: u64,
    steps: VecDeque<(u64, u64)>,
    running: u32,
    tokens: u64,
    drift: u32,
    runs: BTreeMap<String, u64>,
    cancelled: u64,
}

/// For each layer, the experts on this rank, each with its total number of replicas.
type Map = Vec<Vec<(u32, u32)>>;

/// A stand-in for one rank.
#[derive(Clone)]
pub struct Engine {
    config: Arc<Config>,
    state: Arc<Mutex<State>>,
    step: watch::Sender<u64>,
}

/// A guard that counts a running request, and counts it as cancelled if it is dropped unfinished.
struct Running {
    engine: Engine,
    finished: bool,
}

impl Running {
    /// Marks the response as complete.
    fn finish(mut self) {
        self.finished = true;
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        let mut state = self.engine.lock();
        state.running -= 1;
        state.cancelled += u64::from(!self.finished);
    }
}

#[derive(Deserialize)]
struct Prompt {
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    max_tokens: Option<u64>,
}

#[derive(Deserialize)]
struct Step {
    number: u64,
    epoch: u64,
}

#[derive(Deserialize)]
struct Prepare {
    epoch: u64,
    layers: Vec<Vec<Vec<u32>>>,
}

#[derive(Deserialize)]
struct Activate {
    epoch: u64,
}

fn parse<T: serde::de::DeserializeOwned>(body: &[u8]) -> Option<T> {
    serde_json::from_slice(body).ok()
}

impl Engine {
    /// Creates a rank at epoch 0, the even map, which is represented as empty.
    pub fn new(config: Config) -> Engine {
        let state = State {
            epochs: BTreeMap::from([(0, Vec::new())]),
            active: 0,
            steps: VecDeque::new(),
            running: 0,
            tokens: 0,
            drift: 0,
            runs: BTreeMap::new(),
            cancelled: 0,
        };
        let state = Arc::new(Mutex::new(state));
        Engine { config: Arc::new(config), state, step: watch::Sender::new(0) }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the stand-in's lock panics")
    }

    /// Launches steps as rank 0. Never returns.
    pub async fn run_steps(self) {
        let http: legacy::Client<_, Full<Bytes>> =
            legacy::Client::builder(hyper_util::rt::TokioExecutor::new()).build_http();
        let mut number = 0;
        loop {
            tokio::time::sleep(self.config.step).await;
            number += 1;
            let epoch = self.lock().active;
            let body = serde_json::json!({ "number": number, "epoch": epoch }).to_string();
            let sends = self.config.followers.iter().map(|address| {
                let uri = format!("http://{address}/step");
                send_step(http.clone(), uri, body.clone().into())
            });
            futures_util::future::join_all(sends).await;
            self.run_step(number, epoch);
        }
    }

    /// Runs a step if its epoch is prepared, and returns whether it is.
    ///
    /// A step that has already run is not repeated.
    fn run_step(&self, number: u64, epoch: u64) -> bool {
        {
            let mut state = self.lock();
            if !state.epochs.contains_key(&epoch) {
                return false;
            }
            if state.steps.back().is_some_and(|last| last.0 >= number) {
                return true;
            }
            state.active = epoch;
            state.steps.push_back((number, epoch));
            if state.steps.len() > HISTORY {
                state.steps.pop_front();
            }
        }
        self.step.send_replace(number);
        true
    }

    /// Handles one call.
    pub async fn handle(self, request: http::Request<Incoming>) -> http::Response<server::Body> {
        let path = request.uri().path().to_owned();
        let headers = request.headers().clone();
        let body = server::read(request.into_body()).await;
        match path.as_str() {
            "/v1/chat/completions" => self.complete(&headers, &body).await,
            "/load" => server::json(200, &self.load()),
            "/experts" => server::json(200, &self.experts()),
            "/step" => self.step(&body),
            "/control/prepare" => self.prepare(&body),
            "/control/activate" => self.activate(&body),
            "/standin/drift" => {
                self.lock().drift += 3;
                server::text(200, "")
            }
            "/standin/steps" => server::json(200, &serde_json::json!(self.lock().steps)),
            "/standin/runs" => server::json(200, &serde_json::json!(self.lock().runs)),
            "/standin/cancelled" => server::text(200, self.lock().cancelled.to_string()),
            _ => server::text(404, "no such path"),
        }
    }

    fn step(&self, body: &[u8]) -> http::Response<server::Body> {
        let Some(step) = parse::<Step>(body) else { return server::text(400, "not a step") };
        match self.run_step(step.number, step.epoch) {
            true => server::text(200, ""),
            false => server::text(409, "epoch not prepared"),
        }
    }

    fn prepare(&self, body: &[u8]) -> http::Response<server::Body> {
        let Some(order) = parse::<Prepare>(body) else { return server::text(400, "not a map") };
        let replicas =
            |copies: &Vec<u32>| copies.contains(&self.config.rank).then_some(copies.len() as u32);
        let held = |layer: &Vec<Vec<u32>>| {
            let experts = layer.iter().enumerate();
            experts.filter_map(|(e, copies)| Some((e as u32, replicas(copies)?))).collect()
        };
        let map = order.layers.iter().map(held).collect();
        let mut state = self.lock();
        let active = state.active;
        // A rank keeps only the active map and the newest one.
        state.epochs.retain(|epoch, _| *epoch == active);
        state.epochs.insert(order.epoch, map);
        server::text(200, "")
    }

    fn activate(&self, body: &[u8]) -> http::Response<server::Body> {
        let Some(order) = parse::<Activate>(body) else { return server::text(400, "no epoch") };
        let mut state = self.lock();
        if !state.epochs.contains_key(&order.epoch) {
            return server::text(409, "epoch not prepared");
        }
        if self.config.rank == 0 {
            state.active = order.epoch;
        }
        server::text(200, "")
    }

    fn load(&self) -> serde_json::Value {
        let state = self.lock();
        serde_json::json!({
            "running": state.running,
            "queued": 0,
            "step_us": self.config.step.as_micros() as u64,
            "epoch": state.active,
        })
    }

    /// Returns the expert loads since the last call.
    ///
    /// An expert's popularity falls with its number, and the order differs between layers.
    fn experts(&self) -> serde_json::Value {
        let mut state = self.lock();
        let tokens = std::mem::take(&mut state.tokens) + 1_000;
        let drift = state.drift;
        let empty: Map = Vec::new();
        let map = state.epochs.get(&state.active).unwrap_or(&empty);
        let layers: Vec<Vec<(u32, u64)>> = map
            .iter()
            .enumerate()
            .map(|(layer, experts)| {
                let popularity = |expert: u32| {
                    let place = (expert + layer as u32 + drift) % self.config.experts;
                    tokens * 8 / (u64::from(place) + 1)
                };
                let load = |(e, copies): &(u32, u32)| (*e, popularity(*e) / u64::from(*copies));
                experts.iter().map(load).collect()
            })
            .collect();
        serde_json::json!({ "epoch": state.active, "layers": layers })
    }

    async fn complete(
        &self,
        headers: &http::HeaderMap,
        body: &[u8],
    ) -> http::Response<server::Body> {
        let Some(prompt) = parse::<Prompt>(body) else { return server::text(400, "no prompt") };
        let id = service::header(headers, "x-request-id").to_owned();
        let key = service::header(headers, "idempotency-key").to_owned();
        let break_after = service::header(headers, "x-standin-break-after").parse::<u64>().ok();
        let cut_after = service::header(headers, "x-standin-cut-after").parse::<u64>().ok();
        {
            let mut state = self.lock();
            state.running += 1;
            *state.runs.entry(if key.is_empty() { id.clone() } else { key }).or_default() += 1;
        }
        let running = Running { engine: self.clone(), finished: false };
        let tokens = prompt.max_tokens.unwrap_or(16);
        let mut response = match prompt.stream {
            true => self.complete_stream(running, id.clone(), tokens, (break_after, cut_after)),
            false => self.complete_whole(running, &id, tokens).await,
        };
        if let Ok(id) = id.parse() {
            response.headers_mut().insert("x-request-id", id);
        }
        match service::header(headers, "x-standin-framing") {
            // HTTP/1.0 has no chunks.
            "close" => *response.version_mut() = http::Version::HTTP_10,
            "length" if prompt.stream => {
                let events = (0..tokens).map(|number| event(&id, number).len());
                let length = events.sum::<usize>() + LAST_EVENT.len();
                response.headers_mut().insert(http::header::CONTENT_LENGTH, length.into());
            }
            _ => {}
        }
        response
    }

    async fn next_token(&self, steps: &mut watch::Receiver<u64>) {
        steps.changed().await.ok();
        self.lock().tokens += 1;
    }

    async fn complete_whole(
        &self,
        running: Running,
        id: &str,
        tokens: u64,
    ) -> http::Response<server::Body> {
        let mut steps = self.step.subscribe();
        let mut text = String::new();
        for number in 0..tokens {
            self.next_token(&mut steps).await;
            text.push_str(&format!("t{number} "));
        }
        running.finish();
        let message = serde_json::json!({ "role": "assistant", "content": text });
        let choice = serde_json::json!({ "index": 0, "message": message, "finish_reason": "stop" });
        let answer =
            serde_json::json!({ "id": id, "object": "chat.completion", "choices": [choice] });
        server::json(200, &answer)
    }

    fn complete_stream(
        &self,
        running: Running,
        id: String,
        tokens: u64,
        (break_after, cut_after): (Option<u64>, Option<u64>),
    ) -> http::Response<server::Body> {
        let (sender, body) = server::channel();
        let engine = self.clone();
        tokio::spawn(async move {
            let mut steps = engine.step.subscribe();
            for number in 0..tokens {
                tokio::select! {
                    _ = engine.next_token(&mut steps) => {}
                    _ = sender.closed() => return,
                }
                if break_after == Some(number) {
                    let error = std::io::Error::other("the engine aborted the response");
                    sender.send(Err(error)).await.ok();
                    return;
                }
                let event = event(&id, number);
                if cut_after == Some(number) {
                    // The body ends in order after a part of an event.
                    let half = event[..event.len() / 2].to_owned();
                    sender.send(Ok(half.into())).await.ok();
                    return;
                }
                if sender.send(Ok(event.into())).await.is_err() {
                    return;
                }
            }
            running.finish();
            sender.send(Ok(LAST_EVENT.into())).await.ok();
        });
        let mut response = http::Response::new(body);
        let kind = http::HeaderValue::from_static("text/event-stream");
        response.headers_mut().insert(http::header::CONTENT_TYPE, kind);
        response
    }
}

/// Event that ends a stream.
const LAST_EVENT: &str = "data: [DONE]\n\n";

/// Returns the event with a token of the stream of the request `id`.
fn event(id: &str, number: u64) -> String {
    let delta = serde_json::json!({ "content": format!("t{number} ") });
    let choice = serde_json::json!({ "index": 0, "delta": delta });
    let chunk = serde_json::json!({ "id": id, "choices": [choice] });
    format!("data: {chunk}\n\n")
}

/// Sends a step to a rank, and retries until the rank has run it.
async fn send_step(
    http: legacy::Client<legacy::connect::HttpConnector, Full<Bytes>>,
    uri: String,
    body: Bytes,
) {
    loop {
        let request = http::Request::post(&uri)
            .body(Full::new(body.clone()))
            .expect("a socket address forms a valid URI");
        let answer = tokio::time::timeout(STEP_TIMEOUT, http.request(request)).await;
        if let Ok(Ok(response)) = answer {
            let done = response.status().is_success();
            response.into_body().collect().await.ok();
            if done {
                return;
            }
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}
