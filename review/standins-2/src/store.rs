//! The platform's key-value store.

use std::collections::BTreeMap;
use std::io::{self, BufReader};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http;

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

struct Event {
    key: String,
    revision: u64,
    item: Option<Item>,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    events: Vec<Event>,
    leases: BTreeMap<u64, (Duration, Instant)>,
    next_lease: u64,
    /// Start of the time in which the store is down.
    down: Option<Instant>,
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let created = self.items.get(key).map_or(self.revision, |item| item.created);
        let item = Item { value, revision: self.revision, created, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.events.push(Event { key: key.to_owned(), revision: self.revision, item: Some(item) });
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.events.push(Event { key: key.to_owned(), revision: self.revision, item: None });
        }
    }

    fn expire(&mut self) {
        // Leases wait while the store is down.
        if self.down.is_some() {
            return;
        }
        let now = Instant::now();
        let over: Vec<u64> =
            self.leases.iter().filter(|(_, (_, until))| *until <= now).map(|(id, _)| *id).collect();
        over.into_iter().for_each(|lease| self.end_lease(lease));
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let held = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = held.map(|(key, _)| key.clone()).collect();
        keys.iter().for_each(|key| self.remove(key));
    }
}

#[derive(Clone, Default)]
pub struct Store(Arc<(Mutex<State>, Condvar)>);

impl Store {
    /// Starts the store on a free port.
    pub fn start() -> io::Result<(Store, SocketAddr)> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let store = Store::default();
        let served = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        let expiring = store.clone();
        std::thread::spawn(move || loop {
            std::thread::sleep(Duration::from_millis(50));
            expiring.0 .0.lock().unwrap().expire();
            expiring.0 .1.notify_all();
        });
        Ok((store, address))
    }

    /// Writes a key as the operator or a worker does, and returns once it is acknowledged.
    pub fn put(&self, key: &str, value: &str) {
        self.0 .0.lock().unwrap().put(key, encode(value.as_bytes()), 0);
        self.0 .1.notify_all();
    }

    /// Removes a key as a worker that leaves does.
    pub fn remove(&self, key: &str) {
        self.0 .0.lock().unwrap().remove(key);
        self.0 .1.notify_all();
    }

    /// Takes the store down, or brings it back. While it is down it answers each call with 503, and
    /// leases wait.
    pub fn set_down(&self, down: bool) {
        let mut state = self.0 .0.lock().unwrap();
        let since = std::mem::replace(&mut state.down, down.then(Instant::now));
        if let Some(time) = since.filter(|_| !down).map(|since| since.elapsed()) {
            state.leases.values_mut().for_each(|(_, until)| *until += time);
        }
        self.0 .1.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        stream.set_nodelay(true).unwrap_or_default();
        let Ok(clone) = stream.try_clone() else { return };
        let (mut reader, mut writer) = (BufReader::new(clone), stream);
        while let Ok(Some(head)) = http::read_head(&mut reader) {
            let Ok(body) = http::read_body(&mut reader, &head) else { return };
            let body = String::from_utf8_lossy(&body).into_owned();
            let (status, answer) = self.answer(&head.first, &body);
            if http::write_json(&mut writer, status, &answer).is_err() {
                return;
            }
        }
    }

    fn answer(&self, first: &str, body: &str) -> (u16, String) {
        let target = first.split(' ').nth(1).unwrap_or_default();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.filter(|(key, _)| *key == name).map(|(_, value)| value.to_owned()).next()
        };
        let (mutex, changed) = &*self.0;
        let mut state = mutex.lock().unwrap();
        if state.down.is_some() {
            return (503, "{}".to_owned());
        }
        match path {
            "/v1/kv-key" => {
                match state.items.get_key_value(&query("private_key").unwrap_or_default()) {
                    Some((key, item)) => (200, item_json(key, item, Some(state.revision))),
                    None => (404, format!("{{\"store_revision\":{}}}", state.revision)),
                }
            }
            "/v1/kv-range" => {
                let prefix = query("path_prefix").unwrap_or_default();
                let items = state.items.iter().filter(|(key, _)| key.starts_with(&prefix));
                let items: Vec<String> =
                    items.map(|(key, item)| item_json(key, item, None)).collect();
                let revision = state.revision;
                let items = items.join(",");
                (
                    200,
                    format!(
                        "{{\"items\":[{items}],\"has_more\":false,\"store_revision\":{revision}}}"
                    ),
                )
            }
            "/v1/kv-watch" => {
                let prefix = query("path_prefix").unwrap_or_default();
                let number =
                    |name| query(name).and_then(|text| text.parse::<u64>().ok()).unwrap_or(0);
                let (after, wait) = (number("after_rev"), Duration::from_millis(number("wait_ms")));
                let end = Instant::now() + wait;
                loop {
                    let events: Vec<String> = state
                        .events
                        .iter()
                        .filter(|event| event.revision > after && event.key.starts_with(&prefix))
                        .map(event_json)
                        .collect();
                    let now = Instant::now();
                    if state.down.is_some() {
                        return (503, "{}".to_owned());
                    }
                    if !events.is_empty() || now >= end {
                        let (events, revision) = (events.join(","), state.revision);
                        return (
                            200,
                            format!("{{\"events\":[{events}],\"store_revision\":{revision}}}"),
                        );
                    }
                    state = changed.wait_timeout(state, end - now).unwrap().0;
                }
            }
            "/v1/kv-lease" => {
                let ttl = number_of(body, "ttl_ms").unwrap_or(1_000);
                state.next_lease += 1;
                let (id, time) = (state.next_lease, Duration::from_millis(ttl));
                state.leases.insert(id, (time, Instant::now() + time));
                (200, format!("{{\"lease\":{id},\"ttl_ms\":{ttl}}}"))
            }
            "/v1/kv-txn" => {
                let answer = transact(&mut state, body);
                changed.notify_all();
                answer
            }
            _ => {
                let lease = path.rsplit('/').next().and_then(|text| text.parse().ok()).unwrap_or(0);
                if path.starts_with("/v1/kv-keep/") {
                    return match state.leases.get_mut(&lease) {
                        Some((time, until)) => {
                            *until = Instant::now() + *time;
                            (200, format!("{{\"lease\":{lease},\"ttl_ms\":{}}}", time.as_millis()))
                        }
                        None => (404, "{}".to_owned()),
                    };
                }
                if path.starts_with("/v1/kv-lease-end/") {
                    state.end_lease(lease);
                    changed.notify_all();
                    return (200, "{}".to_owned());
                }
                (404, "{}".to_owned())
            }
        }
    }
}

/// Carries out a transaction. The bodies are those of the project, which has one entry in each.
fn transact(state: &mut State, body: &str) -> (u16, String) {
    let section = |name: &str| {
        let start = body.find(&format!("\"{name}\":[")).map(|at| at + name.len() + 4)?;
        let end = body[start..].find(']')? + start;
        Some(&body[start..end]).filter(|text| !text.is_empty())
    };
    if let Some(condition) = section("expected_rev") {
        let key = text_of(condition, "private_key").unwrap_or_default();
        let expected = number_of(condition, "revision").unwrap_or(0);
        let found = state.items.get(&key).map_or(0, |item| item.revision);
        if found != expected {
            let items = state.items.get(&key).map(|item| item_json(&key, item, None));
            return (412, format!("{{\"items\":[{}]}}", items.unwrap_or_default()));
        }
    }
    if let Some(put) = section("puts") {
        let lease = number_of(put, "lease").unwrap_or(0);
        if lease != 0 && !state.leases.contains_key(&lease) {
            return (404, "{}".to_owned());
        }
        let key = text_of(put, "private_key").unwrap_or_default();
        state.put(&key, text_of(put, "value").unwrap_or_default(), lease);
    }
    if let Some(removed) = section("remove") {
        state.remove(removed.trim_matches('"'));
    }
    (200, format!("{{\"revision\":{}}}", state.revision))
}

fn text_of(json: &str, name: &str) -> Option<String> {
    let start = json.find(&format!("\"{name}\":\""))? + name.len() + 4;
    let end = json[start..].find('"')? + start;
    Some(json[start..end].to_owned())
}

fn number_of(json: &str, name: &str) -> Option<u64> {
    let start = json.find(&format!("\"{name}\":"))? + name.len() + 3;
    let digits: String = json[start..].chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}

fn item_json(key: &str, item: &Item, store: Option<u64>) -> String {
    let store = store.map(|revision| format!(",\"store_revision\":{revision}")).unwrap_or_default();
    format!(
        "{{\"private_key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":{}{store}}}",
        item.value, item.revision, item.created, item.lease
    )
}

fn event_json(event: &Event) -> String {
    match &event.item {
        Some(item) => item_json(&event.key, item, None),
        None => format!(
            "{{\"private_key\":\"{}\",\"revision\":{},\"removed\":true}}",
            event.key, event.revision
        ),
    }
}

fn encode(bytes: &[u8]) -> String {
    const SIGNS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let number = part.iter().fold(0u32, |sum, byte| sum << 8 | u32::from(*byte))
            << (8 * (3 - part.len()));
        for place in 0..4 {
            let sign = SIGNS[(number >> (18 - 6 * place) & 63) as usize];
            text.push(if place > part.len() { '=' } else { sign as char });
        }
    }
    text
}
