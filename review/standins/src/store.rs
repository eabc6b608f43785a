//! The platform's store, as PROTOCOL.md describes it, without faults.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http;
use crate::json::{self, Value};

#[derive(Clone)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Changes by revision: the key and the event.
    history: BTreeMap<u64, (String, String)>,
    leases: BTreeMap<u64, (Duration, Instant)>,
}

#[derive(Clone, Default)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl State {
    fn row(&self, key: &str) -> String {
        let item = &self.items[key];
        let value = json::to_base64(&item.value);
        format!(
            "{{\"private_key\":\"{key}\",\"value\":\"{value}\",\"revision\":{0},\"created\":{0},\"lease\":{1}}}",
            item.revision, item.lease
        )
    }

    fn put(&mut self, key: &str, value: Vec<u8>, lease: u64) {
        self.revision += 1;
        self.items.insert(key.to_owned(), Item { value, revision: self.revision, lease });
        let row = self.row(key);
        self.history.insert(self.revision, (key.to_owned(), row));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            let revision = self.revision;
            let row =
                format!("{{\"private_key\":\"{key}\",\"revision\":{revision},\"removed\":true}}");
            self.history.insert(revision, (key.to_owned(), row));
        }
    }

    fn end_lease(&mut self, id: u64) -> bool {
        let known = self.leases.remove(&id).is_some();
        let bound: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == id)
            .map(|(key, _)| key.clone())
            .collect();
        bound.iter().for_each(|key| self.remove(key));
        known
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let over: Vec<u64> =
            self.leases.iter().filter(|(_, (_, end))| *end <= now).map(|(id, _)| *id).collect();
        for id in over {
            self.end_lease(id);
        }
    }

    fn transact(&mut self, call: &Value) -> (u16, String) {
        for row in call.get("expected_rev").list() {
            let known = self.items.get(row.get("private_key").text());
            if known.map_or(0, |item| item.revision) != row.get("revision").number() {
                return (412, "{\"items\":[]}".to_owned());
            }
        }
        let puts = call.get("puts").list();
        let unknown = |put: &Value| {
            let lease = put.get("lease").number();
            lease != 0 && !self.leases.contains_key(&lease)
        };
        if puts.iter().any(unknown) {
            return (404, "{}".to_owned());
        }
        for put in puts {
            let value = json::from_base64(put.get("value").text());
            self.put(put.get("private_key").text(), value, put.get("lease").number());
        }
        for key in call.get("remove").list() {
            self.remove(key.text());
        }
        (200, format!("{{\"revision\":{}}}", self.revision))
    }
}

fn query<'a>(text: &'a str, name: &str) -> &'a str {
    let pairs = text.split('&').filter_map(|pair| pair.split_once('='));
    pairs.filter(|(key, _)| *key == name).map(|(_, value)| value).next().unwrap_or("")
}

impl Store {
    /// Listens at an address and serves until the process ends.
    pub fn start(address: SocketAddr) -> Store {
        let store = Store::default();
        let listener = TcpListener::bind(address).expect("the store's address is free");
        let served = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes a key as the operator or a worker does.
    pub fn put(&self, key: &str, value: &str) {
        self.shared.0.lock().unwrap().put(key, value.as_bytes().to_vec(), 0);
        self.shared.1.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        stream.set_nodelay(true).ok();
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(head)) = http::read_head(&mut reader) {
            let Ok(body) = http::read_body(&mut reader, &head) else { return };
            let (status, text) = self.call(&head, &body);
            let json = [("content-type", "application/json")];
            if http::answer(&mut writer, status, &json, text.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn call(&self, head: &http::Head, body: &[u8]) -> (u16, String) {
        let target = head.line.get(1).cloned().unwrap_or_default();
        let (path, query_text) = target.split_once('?').unwrap_or((&target, ""));
        if path == "/v1/kv-watch" {
            return self.watch(query_text);
        }
        let id = path.rsplit('/').next().and_then(|text| text.parse().ok()).unwrap_or(0);
        let mut state = self.shared.0.lock().unwrap();
        state.expire();
        let answer = match path {
            "/v1/kv-key" => {
                let key = query(query_text, "private_key");
                if !state.items.contains_key(key) {
                    return (404, "{}".to_owned());
                }
                let row = state.row(key);
                let row = row.trim_end_matches('}');
                (200, format!("{row},\"store_revision\":{}}}", state.revision))
            }
            "/v1/kv-range" => {
                let prefix = query(query_text, "path_prefix");
                let after = query(query_text, "after_rev");
                let keys = state.items.keys().filter(|key| key.starts_with(prefix));
                let rows: Vec<String> =
                    keys.filter(|key| key.as_str() > after).map(|key| state.row(key)).collect();
                let rows = rows.join(",");
                let revision = state.revision;
                (
                    200,
                    format!(
                        "{{\"items\":[{rows}],\"has_more\":false,\"store_revision\":{revision}}}"
                    ),
                )
            }
            "/v1/kv-txn" => state.transact(&json::parse(body)),
            "/v1/kv-lease" => {
                let ttl = json::parse(body).get("ttl_ms").number().clamp(1_000, 600_000);
                state.revision += 1;
                let id = state.revision;
                let time = Duration::from_millis(ttl);
                state.leases.insert(id, (time, Instant::now() + time));
                (200, format!("{{\"lease\":{id},\"ttl_ms\":{ttl}}}"))
            }
            _ if path.starts_with("/v1/kv-keep/") => match state.leases.get_mut(&id) {
                Some((ttl, end)) => {
                    *end = Instant::now() + *ttl;
                    (200, format!("{{\"ttl_ms\":{}}}", ttl.as_millis()))
                }
                None => (404, "{}".to_owned()),
            },
            _ if path.starts_with("/v1/kv-lease-end/") => {
                (if state.end_lease(id) { 200 } else { 404 }, "{}".to_owned())
            }
            _ => (404, "{}".to_owned()),
        };
        drop(state);
        self.shared.1.notify_all();
        answer
    }

    fn watch(&self, query_text: &str) -> (u16, String) {
        let prefix = query(query_text, "path_prefix");
        let after: u64 = query(query_text, "after_rev").parse().unwrap_or(0);
        let wait: u64 = query(query_text, "wait_ms").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait);
        let mut state = self.shared.0.lock().unwrap();
        loop {
            state.expire();
            let later = state.history.range(after + 1..);
            let rows: Vec<&str> = later
                .filter(|(_, (key, _))| key.starts_with(prefix))
                .map(|(_, (_, row))| row.as_str())
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                let rows = rows.join(",");
                let revision = state.revision;
                return (200, format!("{{\"events\":[{rows}],\"store_revision\":{revision}}}"));
            }
            let pause = left.min(Duration::from_millis(100));
            state = self.shared.1.wait_timeout(state, pause).unwrap().0;
        }
    }
}
