//! One backend server of the stand-in group.
//!
//! Headers of a request control how it is handled:
//!
//! - `x-standin-events: N`: answers with a stream of N events.
//! - `x-standin-event-bytes: N`: pads the data of each event by N bytes.
//! - `x-standin-break: N`: aborts the stream within the Nth event, unless the stream is resumed.
//! - `x-standin-lose`: closes the connection without a response.
//! - `x-standin-status: N`: answers with status N.
//! - `x-standin-foreign`: answers with the id of another request.
//! - `x-standin-delay-ms: N`: delays the response by N ms.
//! - `x-standin-end-ms: N`: the server ends N ms after it has begun the request, and restarts under
//!   its id after [`RESTART_DELAY`].
//! - `x-standin-linger-ms: N`: with `x-standin-end-ms`, the port stays open for N ms after the
//!   connections were closed.
//!
//! The headers of [`raw`] select the framing and the end of the response, and those of [`flood`] a
//! response without end.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full, combinators};
use hyper::body::Incoming;
use hyper_util::rt::TokioIo;
use serde_json::json;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::group::Group;
use crate::{flood, raw, server};

/// Time between the end of a server and its restart.
pub const RESTART_DELAY: Duration = Duration::from_millis(700);

/// Media type of streams of events.
const EVENTS: &str = "text/event-stream";

/// One backend server.
#[derive(Clone)]
pub struct Worker {
    /// Group of the server.
    pub group: Group,
    /// Rank within the group.
    pub rank: usize,
    /// Id of the server, which is the same in all its runs.
    pub id: Arc<str>,
    /// Address of the server.
    pub address: Arc<str>,
    /// Whether the server is a rank of a lock-step group.
    pub lockstep: bool,
    /// Number of times that the server has ended, and time that its port stays open after the last
    /// end.
    pub ends: watch::Sender<(u64, Duration)>,
}

type Body = combinators::BoxBody<Bytes, std::io::Error>;
/// Error that closes the connection without a response.
type NoResponse = std::io::Error;

/// A response that is not left to the HTTP library.
enum Takeover {
    /// A scripted response.
    Raw(Raw),
    /// A response without end to the request with this id.
    Flood(flood::Flood, String),
}

/// A scripted response.
struct Raw {
    script: raw::Script,
    head: http::response::Parts,
    /// Number of the first piece.
    first: usize,
    /// Pieces of the body.
    pieces: Vec<Bytes>,
    /// Whether each piece takes a pass.
    paced: bool,
}

/// A guard that counts an active request of a rank until it is dropped.
struct Active<'a> {
    group: &'a Group,
    rank: usize,
}

impl<'a> Active<'a> {
    fn begin(group: &'a Group, rank: usize) -> Active<'a> {
        group.adjust_active(rank, 1);
        Active { group, rank }
    }
}

impl Drop for Active<'_> {
    fn drop(&mut self) {
        self.group.adjust_active(self.rank, -1);
    }
}

fn text<'a>(headers: &'a http::HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn number(headers: &http::HeaderMap, name: &str) -> Option<u64> {
    text(headers, name)?.parse().ok()
}

fn no_response() -> NoResponse {
    std::io::Error::other("the stand-in closes the connection without a response")
}

impl Worker {
    /// Serves at the server's address, one run after the other. Never returns.
    pub async fn run(self, mut listener: TcpListener) {
        loop {
            self.serve_run(listener).await;
            tokio::time::sleep(RESTART_DELAY).await;
            listener = TcpListener::bind(&*self.address)
                .await
                .expect("no other process uses the server's address");
            self.group.restart(&self.id, self.lockstep);
        }
    }

    /// Serves until the server ends, and then closes all its connections.
    async fn serve_run(&self, listener: TcpListener) {
        let mut ended = self.ends.subscribe();
        let cut = watch::Sender::new(());
        loop {
            let accepted = tokio::select! {
                _ = ended.changed() => None,
                accepted = listener.accept() => Some(accepted),
            };
            let Some(accepted) = accepted else { break };
            let Ok((stream, _)) = accepted else { continue };
            stream.set_nodelay(true).ok();
            let (worker, mut ended) = (self.clone(), cut.subscribe());
            tokio::spawn(async move {
                tokio::select! {
                    _ = ended.changed() => {}
                    () = worker.serve_connection(stream) => {}
                }
            });
        }
        let linger = ended.borrow().1;
        if linger.is_zero() {
            drop(listener);
            cut.send_replace(());
        } else {
            cut.send_replace(());
            tokio::time::sleep(linger).await;
        }
    }

    /// Serves a connection until it ends.
    async fn serve_connection(self, stream: TcpStream) {
        let taken = Arc::new(Mutex::new(None));
        let service = {
            let (worker, taken) = (self.clone(), taken.clone());
            hyper::service::service_fn(move |request| worker.clone().handle(request, taken.clone()))
        };
        let http = hyper::server::conn::http1::Builder::new();
        let mut connection = http.serve_connection(TokioIo::new(stream), service);
        // Also ends if the handler closes the connection without a response.
        (&mut connection).await.ok();
        let taken = taken.lock().expect("no holder of the response panics").take();
        if let Some(response) = taken {
            let stream = connection.into_parts().io.into_inner();
            match response {
                Takeover::Raw(response) => self.write_raw(stream, response).await,
                Takeover::Flood(flood, id) => {
                    let sent = flood.play(stream).await;
                    self.group.record_flood(json!({ "id": id, "sent": sent }));
                }
            }
        }
    }

    /// Writes a response that is not left to the HTTP library.
    async fn write_raw(&self, stream: TcpStream, response: Raw) {
        let Raw { script, head, first, pieces, paced } = response;
        let _active = Active::begin(&self.group, self.rank);
        // Only a rank of a lock-step group waits for passes.
        let passes = (paced && self.lockstep).then(|| self.group.passes());
        // A peer that disconnects needs no more of the response.
        script.play(stream, &head, (first, pieces), passes).await.ok();
    }

    /// Ends the server after `time`, as the effect of the request with that body.
    fn end_after(&self, time: Duration, linger: Duration, body: &[u8]) {
        let (worker, body) = (self.clone(), String::from_utf8_lossy(body).into_owned());
        tokio::spawn(async move {
            tokio::time::sleep(time).await;
            worker.group.record_end(&worker.id, &body);
            worker.ends.send_modify(|(count, last)| (*count, *last) = (*count + 1, linger));
        });
    }

    /// Handles one request. A response that is not left to the HTTP library is stored in `taken`.
    ///
    /// # Errors
    ///
    /// Returns an error if the request is to get no response from the HTTP library.
    async fn handle(
        self,
        request: http::Request<Incoming>,
        taken: Arc<Mutex<Option<Takeover>>>,
    ) -> Result<http::Response<Body>, NoResponse> {
        let (head, body) = request.into_parts();
        let body = server::read(body).await;
        match head.uri.path() {
            "/v1/report" => Ok(server::json(200, &self.group.report(self.rank))),
            "/v1/picked" => {
                let lists = head.uri.query().is_some_and(|query| query.contains("lists"));
                Ok(server::json(200, &self.group.picked(self.rank, lists)))
            }
            "/v1/order" => {
                let Ok(order) = serde_json::from_slice(&body) else {
                    return Ok(server::text(400, "no such order"));
                };
                let status = self.group.order(self.rank, order).await.ok_or_else(no_response)?;
                Ok(server::text(status, ""))
            }
            "/healthz" => self.health(),
            _ => self.execute(&head, body, &taken).await,
        }
    }

    /// Begins a response that has the request's id and the server's signature.
    fn signed(&self, head: &http::request::Parts, status: u16) -> http::response::Builder {
        let id = text(&head.headers, "x-attempt-id").unwrap_or_default();
        let foreign = head.headers.contains_key("x-standin-foreign");
        // A request that is answered with success is not counted as active yet.
        let running = self.group.active(self.rank) + u32::from((200..300).contains(&status));
        let echo = if foreign { "another-request" } else { id };
        http::Response::builder()
            .status(status)
            .header("x-attempt-id", echo)
            .header("x-server-stamp", format!("{}.{id}", self.id))
            .header("x-server-load", format!("{running},0,12"))
    }

    /// Begins such a response with what the server announces.
    fn answer(&self, head: &http::request::Parts, status: u16) -> http::response::Builder {
        let id = text(&head.headers, "x-attempt-id").unwrap_or_default();
        let answer = self.signed(head, status);
        let notice = self.group.notice(&self.id, id);
        let answer = if notice.leaving { answer.header("server-leaving", "1") } else { answer };
        match notice.limit {
            Some(limit) => answer.header("server-limit", limit),
            None => answer,
        }
    }

    /// Handles a health check.
    fn health(&self) -> Result<http::Response<Body>, NoResponse> {
        let answer = http::Response::builder().header("x-instance-id", &*self.id);
        let answer = match self.group.is_leaving(&self.id) {
            true => answer.status(503).header("server-leaving", "1"),
            false => answer.status(200),
        };
        answer.body(empty()).map_err(std::io::Error::other)
    }

    /// Rejects a request with `Retry-After`, or without it if `rest` is empty.
    fn shed(
        &self,
        head: &http::request::Parts,
        rest: &str,
    ) -> Result<http::Response<Body>, NoResponse> {
        let answer = self.answer(head, 503).header("x-not-executed", "1");
        let answer = if rest.is_empty() { answer } else { answer.header("retry-after", rest) };
        answer.body(empty()).map_err(std::io::Error::other)
    }

    /// Rejects a request as not executed.
    fn not_run(
        &self,
        head: &http::request::Parts,
        status: u16,
    ) -> Result<http::Response<Body>, NoResponse> {
        let answer = self.answer(head, status).header("x-not-executed", "1");
        let answer = if self.lockstep && status == 503 {
            answer.header("at-server", &*self.address)
        } else {
            answer.header("x-instance-id", &*self.id)
        };
        answer.body(empty()).map_err(std::io::Error::other)
    }

    async fn execute(
        &self,
        head: &http::request::Parts,
        body: Bytes,
        taken: &Mutex<Option<Takeover>>,
    ) -> Result<http::Response<Body>, NoResponse> {
        let headers = &head.headers;
        let expected = text(headers, "x-expect-instance");
        if expected.is_some_and(|id| *id != *self.id) {
            return self.not_run(head, 421);
        }
        let id = text(headers, "x-attempt-id").unwrap_or_default();
        if let Some(rest) = self.group.record_arrival(&self.id, id) {
            return self.shed(head, &rest);
        }
        if self.lockstep && !self.group.is_open() {
            return self.not_run(head, 503);
        }
        let recorded: BTreeMap<&str, &str> = headers
            .iter()
            .filter_map(|(name, value)| Some((name.as_str(), value.to_str().ok()?)))
            .collect();
        self.group.record_request(json!({
            "server": &*self.id,
            "path": head.uri.path(),
            "headers": recorded,
            "body": String::from_utf8_lossy(&body),
        }));
        if text(headers, "x-prompt-prefix").is_some_and(|parts| self.group.is_harmful(parts)) {
            self.end_after(Duration::ZERO, Duration::ZERO, &body);
            // The server ends before it begins to answer.
            return std::future::pending().await;
        }
        if let Some(ms) = number(headers, "x-standin-end-ms") {
            let linger = number(headers, "x-standin-linger-ms").unwrap_or(0);
            self.end_after(Duration::from_millis(ms), Duration::from_millis(linger), &body);
        }
        if let Some(delay) = number(headers, "x-standin-delay-ms") {
            let _active = Active::begin(&self.group, self.rank);
            tokio::time::sleep(Duration::from_millis(delay)).await;
        }
        if headers.contains_key("x-standin-lose") {
            return Err(no_response());
        }
        if let Some(flood) = flood::Flood::read(headers, &self.id) {
            let response = Takeover::Flood(flood, id.to_owned());
            *taken.lock().expect("no holder of the response panics") = Some(response);
            return Err(no_response());
        }
        let first = self.group.attempts(id) == 1;
        if let Some(script) = raw::Script::read(headers, first) {
            if head.method == http::Method::HEAD {
                let answer = self.answer(head, 200).header("content-type", EVENTS);
                let answer = raw::fields(headers)
                    .fold(answer, |answer, (name, value)| answer.header(name, value));
                return answer.body(empty()).map_err(std::io::Error::other);
            }
            let response = Takeover::Raw(self.raw(head, script, first)?);
            *taken.lock().expect("no holder of the response panics") = Some(response);
            return Err(no_response());
        }
        if let Some(events) = number(headers, "x-standin-events") {
            return self.stream(head, events);
        }
        let status = number(headers, "x-standin-status").unwrap_or(200) as u16;
        let answer = self.answer(head, status).body(whole(format!("answer of {}", self.id)));
        answer.map_err(std::io::Error::other)
    }

    fn raw(
        &self,
        head: &http::request::Parts,
        script: raw::Script,
        first_attempt: bool,
    ) -> Result<Raw, NoResponse> {
        let contradiction = raw::Contradiction::read(&head.headers).filter(|_| !first_attempt);
        let status = match contradiction {
            Some(raw::Contradiction::NoContent) => 204,
            Some(raw::Contradiction::PartialContent) => 206,
            _ => 200,
        };
        let answer = match script.delivers_head() {
            // The gateway uses no notice in a head that is invalid.
            true if script.has_given_head() => self.signed(head, status),
            true => self.answer(head, status),
            // The gateway never receives a notice in a head that is cut.
            false => http::Response::builder().status(status),
        };
        let answer = raw::fields(&head.headers)
            .fold(answer, |answer, (name, value)| answer.header(name, value));
        let Some(events) = number(&head.headers, "x-standin-events") else {
            let answer = answer.body(()).map_err(std::io::Error::other)?;
            let (pieces, parts) = (vec![format!("answer of {}", self.id).into()], answer);
            let head = parts.into_parts().0;
            return Ok(Raw { script, head, first: 1, pieces, paced: false });
        };
        let first = first_event(&head.headers);
        let padding = raw::padding(&head.headers, first_attempt)
            .map_or_else(|| padding(&head.headers), |length| "x".repeat(length));
        let event = |event| Bytes::from(event_text(event, &padding));
        let numbers = raw::Contradiction::events(contradiction, first, events);
        let pieces = numbers.into_iter().map(event).collect();
        let answer = match contradiction {
            Some(raw::Contradiction::Media) => answer.header("content-type", "text/plain"),
            Some(raw::Contradiction::Coding) => {
                answer.header("content-type", EVENTS).header("content-encoding", "gzip")
            }
            _ => answer.header("content-type", EVENTS),
        };
        let head = answer.body(()).map_err(std::io::Error::other)?.into_parts().0;
        Ok(Raw { script, head, first: first as usize, pieces, paced: true })
    }

    fn stream(
        &self,
        head: &http::request::Parts,
        events: u64,
    ) -> Result<http::Response<Body>, NoResponse> {
        let first = first_event(&head.headers);
        let resumed = head.headers.contains_key("last-event-id");
        let end = number(&head.headers, "x-standin-break").filter(|_| !resumed);
        let padding = padding(&head.headers);
        let (sender, body) = server::channel();
        let worker = self.clone();
        tokio::spawn(async move {
            worker.group.adjust_active(worker.rank, 1);
            let mut passes = worker.group.passes();
            for event in first..=events {
                // Only a rank of a lock-step group waits for passes.
                if worker.lockstep {
                    passes.changed().await.ok();
                }
                worker.group.count_choices(worker.rank);
                let broken = end == Some(event);
                let text = if broken {
                    format!("id: {event}\ndata: half an ev")
                } else {
                    event_text(event, &padding)
                };
                let mut closed = sender.send(Ok(text.into())).await.is_err();
                if broken {
                    sender
                        .send(Err(std::io::Error::other("the stand-in aborted the response")))
                        .await
                        .ok();
                    closed = true;
                }
                if closed {
                    break;
                }
            }
            worker.group.adjust_active(worker.rank, -1);
        });
        let answer = self.answer(head, 200).header("content-type", EVENTS);
        answer.body(body).map_err(std::io::Error::other)
    }
}

/// Returns the number of the first event of a stream.
fn first_event(headers: &http::HeaderMap) -> u64 {
    number(headers, "last-event-id").map_or(1, |last| last + 1)
}

fn padding(headers: &http::HeaderMap) -> String {
    "x".repeat(number(headers, "x-standin-event-bytes").unwrap_or(0) as usize)
}

fn event_text(event: u64, padding: &str) -> String {
    format!("id: {event}\ndata: piece {event}{padding}\n\n")
}

fn whole(text: String) -> Body {
    Full::new(Bytes::from(text)).map_err(|never| match never {}).boxed()
}

fn empty() -> Body {
    whole(String::new())
}
