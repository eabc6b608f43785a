//! A stand-in for the platform's key-value store, with fault injection.
//!
//! Besides the platform's protocol, it takes control calls from tests:
//!
//! - `PUT /standin/put?key=K` and `DELETE /standin/put?key=K`: write and remove a key as the
//!   platform itself would.
//! - `PUT /standin/hosts`: sets the host list, a JSON list.
//! - `PUT /standin/fault/NAME`: sets a [`Fault`].
//! - `PUT /standin/deny?from=IP`: rejects all calls from one address. `PUT /standin/allow` accepts
//!   calls from all addresses again.
//! - `PUT /standin/item?key=K`: lists this JSON text in place of the item of a key, and reports it
//!   in place of its later changes. An empty text ends that.
//! - `PUT /standin/page?items=N`: sets the number of items on a page.
//! - `PUT /standin/compact`: drops the history.
//! - `PUT /standin/copy`: saves a copy of the content. `PUT /standin/restore` restores the store
//!   from it, which begins the next era.
//! - `GET /standin/calls` and `GET /standin/listings`: return the numbers of protocol calls and of
//!   listing calls received.
//!
//! An *era* is the number of times that the store was restored from a copy. Revisions of different
//! eras are not comparable.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, SocketAddr};
use std::ops::{Deref, DerefMut};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use base64::Engine as _;
use bytes::Bytes;
use hyper::body::Incoming;
use serde::Serialize;
use serde_json::value::{RawValue, to_raw_value};
use serde_json::{Value, json};
use tokio::sync::watch;
use tokio::time::Instant;

use crate::server;

/// Default number of items on a page. It is small, so that tests cover several pages.
const PAGE_ITEMS: usize = 20;
/// Response header with the era.
const STORE_ERA: &str = "store-era";
/// Maximum size of a value, bytes.
const MAX_VALUE: usize = 1_048_576;

/// An injected fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Fault {
    /// No fault.
    #[default]
    None,
    /// Rejects every call without executing it.
    Down,
    /// Neither executes nor answers the calls that arrive while the fault is set, and leaves their
    /// connections open. Watches that were already waiting are answered.
    Silent,
    /// Delays each call by 1.5 s.
    Slow,
    /// Executes the next write and loses its response.
    LoseWrite,
    /// Answers each watch that its history is gone.
    NoHistory,
}

#[derive(Clone)]
struct Item {
    value: Bytes,
    revision: u64,
    created: u64,
    lease: u64,
}

/// Content of the store, which a copy saves.
#[derive(Clone, Default)]
struct Content {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Changes by revision: the key, and the item as JSON.
    history: BTreeMap<u64, (String, Box<RawValue>)>,
    /// Last revision that was dropped from the history.
    compacted: u64,
    leases: BTreeMap<u64, (Duration, Instant)>,
}

#[derive(Default)]
struct State {
    content: Content,
    copy: Content,
    /// Number of times that the store was restored from a copy.
    era: u64,
    fault: Fault,
    denied: BTreeSet<IpAddr>,
    calls: u64,
    /// Number of listing calls received.
    listings: u64,
    /// Texts that replace the items of keys.
    replaced: BTreeMap<String, Box<RawValue>>,
    /// Number of items on a page, if it is not the default.
    page_items: Option<usize>,
}

/// A stand-in for the platform's store.
#[derive(Clone)]
pub struct Store {
    state: Arc<Mutex<State>>,
    changed: watch::Sender<u64>,
}

impl Default for Store {
    fn default() -> Store {
        Store { state: Arc::default(), changed: watch::Sender::new(0) }
    }
}

/// Names and values of a query string.
pub type Query = BTreeMap<String, String>;
type Response = http::Response<server::Body>;

impl Store {
    /// Handles one call. Each response carries the store's era.
    pub async fn handle(self, request: http::Request<Incoming>) -> Response {
        let store = self.clone();
        let mut answer = self.answer(request).await;
        let era = store.lock().era;
        answer.headers_mut().entry(STORE_ERA).or_insert(era.into());
        answer
    }

    async fn answer(self, request: http::Request<Incoming>) -> Response {
        let path = request.uri().path().to_owned();
        let query = parse_query(request.uri().query().unwrap_or_default());
        let caller = request.extensions().get::<SocketAddr>().map(SocketAddr::ip);
        let method = request.method().clone();
        let body = server::read(request.into_body()).await;
        if let Some(control) = path.strip_prefix("/standin/") {
            let answer = self.lock().control(&method, control, &query, &body);
            self.changed.send_modify(|count| *count += 1);
            return answer;
        }
        match self.count(caller) {
            Fault::Down => return server::text(503, "down"),
            Fault::Silent => return std::future::pending().await,
            Fault::Slow => tokio::time::sleep(Duration::from_millis(1_500)).await,
            Fault::None | Fault::LoseWrite | Fault::NoHistory => {}
        }
        self.lock().expire();
        let tail = path.rsplit('/').next().unwrap_or_default().to_owned();
        match path.as_str() {
            "/v1/kv-key" => self.lock().get(&query),
            "/v1/kv-range" => self.lock().range(&query),
            "/v1/kv-watch" => self.watch(&query).await,
            "/v1/kv-txn" => self.transact(&body),
            "/v1/kv-lease" => self.lock().grant(&body),
            _ if path.starts_with("/v1/kv-keep/") => self.lock().renew(&tail),
            _ if path.starts_with("/v1/kv-lease-end/") => self.revoke(&tail),
            _ => server::text(404, "no such path"),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the stand-in's lock panics")
    }

    /// Counts a call and returns the fault that applies to it.
    fn count(&self, caller: Option<IpAddr>) -> Fault {
        let mut state = self.lock();
        state.calls += 1;
        let denied = caller.is_some_and(|caller| state.denied.contains(&caller));
        if denied { Fault::Down } else { state.fault }
    }

    async fn watch(&self, query: &Query) -> Response {
        let prefix = query.get("path_prefix").cloned().unwrap_or_default();
        let number = |name: &str| query.get(name).and_then(|text| text.parse::<u64>().ok());
        let after = number("after_rev").unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or(0));
        let mut changed = self.changed.subscribe();
        let era = self.lock().era;
        loop {
            let timed_out = Instant::now() >= until;
            {
                let mut state = self.lock();
                state.expire();
                if state.fault == Fault::Down || state.era != era {
                    return server::text(503, "down");
                }
                let gone = state.fault == Fault::NoHistory;
                if gone || after < state.compacted || after > state.revision {
                    return server::text(410, "history is gone");
                }
                let later = state.history.range(after + 1..);
                let matching = later.filter(|(_, (key, _))| key.starts_with(&prefix));
                let events: Vec<&RawValue> = matching.map(|(_, (_, event))| &**event).collect();
                if timed_out || !events.is_empty() {
                    return Changes { events, store_revision: state.revision }.answer();
                }
            }
            // Leases expire without a call, so the store is polled.
            let poll_at = (Instant::now() + Duration::from_millis(50)).min(until);
            tokio::time::timeout_at(poll_at, changed.changed()).await.ok();
        }
    }

    fn transact(&self, body: &Bytes) -> Response {
        let mut state = self.lock();
        let answer = state.transact(body);
        let lose = state.fault == Fault::LoseWrite && answer.status() == 200;
        if lose {
            state.fault = Fault::None;
        }
        drop(state);
        self.changed.send_modify(|count| *count += 1);
        if lose { server::text(500, "answer lost") } else { answer }
    }

    fn revoke(&self, id: &str) -> Response {
        let mut state = self.lock();
        let known = id.parse().ok().and_then(|id: u64| state.leases.remove(&id).map(|_| id));
        if let Some(id) = known {
            state.drop_lease(id);
        }
        drop(state);
        self.changed.send_modify(|count| *count += 1);
        server::text(if known.is_some() { 200 } else { 404 }, "")
    }
}

impl Deref for State {
    type Target = Content;

    fn deref(&self) -> &Content {
        &self.content
    }
}

impl DerefMut for State {
    fn deref_mut(&mut self) -> &mut Content {
        &mut self.content
    }
}

impl State {
    fn control(
        &mut self,
        method: &http::Method,
        path: &str,
        query: &Query,
        body: &Bytes,
    ) -> Response {
        let address = || query.get("from").and_then(|text| text.parse().ok());
        match path {
            "calls" => return server::text(200, self.calls.to_string()),
            "listings" => return server::text(200, self.listings.to_string()),
            "item" => {
                let key = query.get("key").cloned().unwrap_or_default();
                match serde_json::from_slice(body) {
                    Ok(text) => drop(self.replaced.insert(key, text)),
                    Err(_) => drop(self.replaced.remove(&key)),
                }
            }
            "page" => self.page_items = query.get("items").and_then(|text| text.parse().ok()),
            "put" => {
                let key = query.get("key").cloned().unwrap_or_default();
                match *method {
                    http::Method::DELETE => self.remove(&key),
                    _ => self.put(key, body.clone(), 0),
                }
            }
            "hosts" => self.set_hosts(body),
            "compact" => {
                self.compacted = self.revision;
                self.history.clear();
            }
            "copy" => self.copy = self.content.clone(),
            "restore" => {
                self.content = self.copy.clone();
                self.era += 1;
            }
            "deny" => self.denied.extend::<Option<IpAddr>>(address()),
            "allow" => self.denied.clear(),
            "fault/none" => self.fault = Fault::None,
            "fault/down" => self.fault = Fault::Down,
            "fault/silent" => self.fault = Fault::Silent,
            "fault/slow" => self.fault = Fault::Slow,
            "fault/no-history" => self.fault = Fault::NoHistory,
            "fault/lose-write" => self.fault = Fault::LoseWrite,
            _ => return server::text(404, "no such control"),
        }
        server::text(200, "")
    }

    fn set_hosts(&mut self, body: &Bytes) {
        let hosts: Vec<Value> = serde_json::from_slice(body).expect("the test sends a JSON list");
        let key = |host: &Value| format!("hosts/{}", host["id"].as_str().unwrap_or_default());
        let wanted: BTreeSet<String> = hosts.iter().map(key).collect();
        let known = self.items.keys().filter(|key| key.starts_with("hosts/"));
        let removed: Vec<String> = known.filter(|key| !wanted.contains(*key)).cloned().collect();
        removed.iter().for_each(|key| self.remove(key));
        for host in &hosts {
            self.put(key(host), host.to_string().into(), 0);
        }
    }

    fn put(&mut self, key: String, value: Bytes, lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        let created = self.items.get(&key).map_or(revision, |item| item.created);
        self.items.insert(key.clone(), Item { value, revision, created, lease });
        let event = self.raw(&key);
        self.history.insert(revision, (key, event));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_none() {
            return;
        }
        self.revision += 1;
        let revision = self.revision;
        let event = json!({ "private_key": key, "revision": revision, "removed": true });
        self.history.insert(revision, (key.to_owned(), raw(&event)));
    }

    /// Returns the item of a key, or the text that replaces it.
    fn raw(&self, key: &str) -> Box<RawValue> {
        self.replaced.get(key).cloned().unwrap_or_else(|| raw(&self.json(key)))
    }

    fn json(&self, key: &str) -> Value {
        let item = &self.items[key];
        json!({
            "private_key": key,
            "value": base64::engine::general_purpose::STANDARD.encode(&item.value),
            "revision": item.revision,
            "created": item.created,
            "lease": item.lease,
        })
    }

    fn get(&self, query: &Query) -> Response {
        let key = query.get("private_key").map(String::as_str).unwrap_or_default();
        if !self.items.contains_key(key) {
            return server::text(404, "");
        }
        let mut item = self.json(key);
        item["store_revision"] = self.revision.into();
        server::json(200, &item)
    }

    fn range(&mut self, query: &Query) -> Response {
        self.listings += 1;
        let page_items = self.page_items.unwrap_or(PAGE_ITEMS);
        let prefix = query.get("path_prefix").cloned().unwrap_or_default();
        let after = query.get("after_rev").cloned().unwrap_or_default();
        let matching = self.items.keys().filter(|key| key.starts_with(&prefix) && **key > after);
        let mut keys: Vec<&String> = matching.take(page_items + 1).collect();
        let has_more = keys.len() > page_items;
        keys.truncate(page_items);
        let items = keys.into_iter().map(|key| self.raw(key)).collect();
        Page { items, has_more, store_revision: self.revision }.answer()
    }

    fn transact(&mut self, body: &Bytes) -> Response {
        let call: Value = serde_json::from_slice(body).unwrap_or_default();
        let rows = |name: &str| call[name].as_array().cloned().unwrap_or_default();
        let expected = rows("expected_rev").iter().all(|row| {
            let key = row["private_key"].as_str().unwrap_or_default();
            let revision = self.items.get(key).map_or(0, |item| item.revision);
            row["revision"] == revision
        });
        if !expected {
            return server::json(412, &json!({ "items": [] }));
        }
        let leases = rows("puts").iter().map(|put| put["lease"].as_u64().unwrap_or(0)).collect();
        let leases: Vec<u64> = leases;
        if leases.iter().any(|lease| *lease != 0 && !self.leases.contains_key(lease)) {
            return server::text(404, "no such lease");
        }
        for put in rows("puts") {
            let key = put["private_key"].as_str().unwrap_or_default().to_owned();
            let text = put["value"].as_str().unwrap_or_default();
            let value = base64::engine::general_purpose::STANDARD.decode(text).unwrap_or_default();
            if value.len() > MAX_VALUE {
                return server::text(413, "value over a megabyte");
            }
            self.put(key, value.into(), put["lease"].as_u64().unwrap_or(0));
        }
        for key in rows("remove") {
            self.remove(key.as_str().unwrap_or_default());
        }
        server::json(200, &json!({ "revision": self.revision }))
    }

    fn grant(&mut self, body: &Bytes) -> Response {
        let call: Value = serde_json::from_slice(body).unwrap_or_default();
        let ttl = Duration::from_millis(call["ttl_ms"].as_u64().unwrap_or(1_000));
        self.revision += 1;
        let id = self.revision;
        self.leases.insert(id, (ttl, Instant::now() + ttl));
        server::json(200, &json!({ "lease": id, "ttl_ms": ttl.as_millis() as u64 }))
    }

    fn renew(&mut self, id: &str) -> Response {
        let lease = id.parse().ok().and_then(|id: u64| self.leases.get_mut(&id));
        let Some((ttl, expires_at)) = lease else { return server::text(404, "no such lease") };
        *expires_at = Instant::now() + *ttl;
        server::json(200, &json!({ "ttl_ms": ttl.as_millis() as u64 }))
    }

    /// Removes the expired leases and their items.
    fn expire(&mut self) {
        let now = Instant::now();
        let expired: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, (_, expires_at))| *expires_at <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            self.leases.remove(&id);
            self.drop_lease(id);
        }
    }

    /// Removes the items that are bound to a lease.
    fn drop_lease(&mut self, id: u64) {
        let bound = self.items.iter().filter(|(_, item)| item.lease == id);
        let keys: Vec<String> = bound.map(|(key, _)| key.clone()).collect();
        keys.iter().for_each(|key| self.remove(key));
    }
}

/// A page of a listing.
#[derive(Serialize)]
struct Page {
    items: Vec<Box<RawValue>>,
    has_more: bool,
    store_revision: u64,
}

impl Page {
    fn answer(&self) -> Response {
        server::json(200, self)
    }
}

/// The answer to a watch.
#[derive(Serialize)]
struct Changes<'a> {
    events: Vec<&'a RawValue>,
    store_revision: u64,
}

impl Changes<'_> {
    fn answer(&self) -> Response {
        server::json(200, self)
    }
}

fn raw(value: &Value) -> Box<RawValue> {
    to_raw_value(value).expect("a JSON value has a text")
}

/// Parses a query string by the rules of URLs and forms: `+` is a space, and percent-encoded bytes
/// are decoded.
pub fn parse_query(text: &str) -> Query {
    form_urlencoded::parse(text.as_bytes()).into_owned().collect()
}
