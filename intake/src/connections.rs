//! Bounds the open connections of a listener.
//!
//! If as many are open as may be, one that does no work is closed before another one waits:
//! connections without a request first, then those that are idle between two requests, then those
//! whose request arrives too slowly. Connections with a complete request in progress stay open.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use loftcove_clock as boot;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::registry::Registry;
use tokio::sync::Notify;
use tokio::sync::futures::OwnedNotified;

use crate::{descriptors, memory};

/// Time that a connection without a request is left alone.
const MIN_IDLE: Duration = Duration::from_millis(200);
/// Time that a request may take to arrive before its connection is closed for others.
const MIN_ARRIVAL: Duration = Duration::from_secs(1);
/// Interval between two searches for a connection that can be closed.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Minimum time between two log lines about closed connections.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// What a connection does, in the order in which connections are closed for others.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Stage {
    /// No request has arrived yet.
    New,
    /// Idle between two requests, or the head of the next one is arriving.
    Idle,
    /// The bodies of all requests in progress are arriving.
    Arriving,
}

#[derive(Debug)]
struct Work {
    /// Requests in progress, and how many of them are arriving.
    requests: usize,
    arriving: usize,
    stage: Stage,
    /// Time since when the connection is in its stage.
    since: boot::Instant,
    /// Time at which the first bytes of the next head arrived.
    head: Option<boot::Instant>,
    closing: bool,
}

/// What one connection does, shared by the connection and its requests.
#[derive(Debug)]
pub struct State {
    work: Mutex<Work>,
    closing: Arc<Notify>,
}

impl Default for State {
    fn default() -> State {
        State {
            work: Mutex::new(Work {
                requests: 0,
                arriving: 0,
                stage: Stage::New,
                since: boot::Instant::now(),
                head: None,
                closing: false,
            }),
            closing: Arc::default(),
        }
    }
}

impl State {
    fn lock(&self) -> MutexGuard<'_, Work> {
        // Each update is a plain assignment, so a panic elsewhere leaves no inconsistent state.
        self.work.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that the head of a request arrived. The guard is kept until its response is written.
    pub fn begin(self: &Arc<State>) -> Request {
        let mut work = self.lock();
        work.requests += 1;
        work.arriving += 1;
        work.stage = Stage::Arriving;
        work.since = boot::Instant::now();
        work.head = None;
        drop(work);
        Request { state: self.clone(), arriving: true }
    }

    /// Records that bytes arrived.
    pub fn receive(&self) {
        let mut work = self.lock();
        if work.requests == 0 {
            work.head.get_or_insert_with(boot::Instant::now);
        }
    }

    /// Returns since when a head has been arriving that is not complete.
    pub fn head_since(&self) -> Option<boot::Instant> {
        self.lock().head
    }

    /// Returns whether no request is in progress.
    pub fn is_idle(&self) -> bool {
        self.lock().requests == 0
    }

    /// Waits until the connection is to be closed for others.
    pub async fn closing(&self) {
        self.closing.notified().await;
    }

    /// Returns the same wait without a borrow.
    pub fn closing_owned(&self) -> OwnedNotified {
        self.closing.clone().notified_owned()
    }
}

impl Work {
    /// Returns the stage and the time in it if the connection can be closed for others.
    fn closable(&self, now: boot::Instant) -> Option<(Stage, boot::Instant)> {
        let working = self.requests > self.arriving;
        let min = if self.stage == Stage::Arriving { MIN_ARRIVAL } else { MIN_IDLE };
        let closable = !working && now.saturating_duration_since(self.since) >= min;
        (closable && !self.closing).then_some((self.stage, self.since))
    }
}

/// Guard of a request in progress.
#[derive(Debug)]
pub struct Request {
    state: Arc<State>,
    arriving: bool,
}

impl Request {
    /// Records that the request is complete.
    pub fn complete(&mut self) {
        if std::mem::take(&mut self.arriving) {
            self.state.lock().arriving -= 1;
        }
    }
}

impl Drop for Request {
    fn drop(&mut self) {
        self.complete();
        let mut work = self.state.lock();
        work.requests -= 1;
        if work.requests == 0 {
            work.stage = Stage::Idle;
            work.since = boot::Instant::now();
        }
    }
}

#[derive(Debug, Default)]
struct Inner {
    open: BTreeMap<u64, Arc<State>>,
    accepted: u64,
    logged: Option<boot::Instant>,
}

/// The open connections of a listener.
#[derive(Debug, Clone)]
pub struct Connections(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    quota: descriptors::Quota,
    inner: Mutex<Inner>,
    released: Notify,
    closed: Counter,
}

impl Connections {
    /// Creates a bound of `max` connections, whatever else the process has open.
    pub fn new(max: usize) -> Connections {
        Connections::of(descriptors::Quota::alone(max))
    }

    /// Creates the bound of the connections that `quota` lets in.
    pub fn of(quota: descriptors::Quota) -> Connections {
        Connections(Arc::new(Shared {
            quota,
            inner: Mutex::default(),
            released: Notify::new(),
            closed: Counter::default(),
        }))
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        // An update is one insertion or removal, so a panic elsewhere leaves no inconsistent state.
        self.0.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the number of open connections.
    pub fn open(&self) -> usize {
        self.lock().open.len()
    }

    /// Returns whether another connection is accepted now or once one is closed for it.
    pub fn has_room(&self) -> bool {
        let inner = self.lock();
        if self.0.quota.has_room() {
            return true;
        }
        inner.open.values().any(|state| {
            let work = state.lock();
            work.requests == 0 || work.closable(boot::Instant::now()).is_some()
        })
    }

    /// Waits until another connection may be open, and closes one for it if necessary.
    pub async fn wait_for_room(&self) {
        while !self.make_room() {
            self.wait().await;
        }
    }

    /// Returns whether all connections have work, so that none can be closed for another one soon.
    pub fn all_work(&self) -> bool {
        let inner = self.lock();
        let working = |state: &Arc<State>| {
            let work = state.lock();
            work.requests > work.arriving
        };
        inner.open.values().all(working)
    }

    /// Returns whether another connection may be open. If not, one without work is closed.
    pub fn make_room(&self) -> bool {
        let room = self.0.quota.has_room();
        if !room {
            self.close_one();
        }
        room
    }

    /// Takes the memory of a connection, and closes connections without work for it.
    pub async fn hold(&self, account: &memory::Account, bytes: usize) -> memory::Hold {
        loop {
            if let Some(hold) = account.try_hold_connection(bytes) {
                return hold;
            }
            self.close_one();
            account.give_up(bytes);
            account.wait().await;
        }
    }

    /// Counts a connection as open until the guard is dropped.
    pub fn open_connection(&self) -> Connection {
        let mut inner = self.lock();
        inner.accepted += 1;
        let number = inner.accepted;
        let state = Arc::<State>::default();
        inner.open.insert(number, state.clone());
        let descriptor = self.0.quota.take();
        Connection { connections: self.clone(), number, state, descriptor: Some(descriptor) }
    }

    /// Waits until a connection has ended, or until more can be closed.
    pub async fn wait(&self) {
        tokio::time::timeout(POLL_INTERVAL, self.0.released.notified()).await.unwrap_or_default();
    }

    /// Closes a connection that does no work, unless one is about to be closed.
    pub fn close_one(&self) {
        let now = boot::Instant::now();
        let mut inner = self.lock();
        if inner.open.values().any(|state| state.lock().closing) {
            return;
        }
        let candidates = inner.open.values().filter_map(|state| {
            let rank = state.lock().closable(now)?;
            Some((rank, state))
        });
        let Some((_, state)) = candidates.min_by_key(|(rank, _)| *rank) else { return };
        state.lock().closing = true;
        state.closing.notify_one();
        self.0.closed.inc();
        if inner.logged.is_none_or(|at| now.saturating_duration_since(at) >= LOG_INTERVAL) {
            inner.logged = Some(now);
            let (open, closed) = (inner.open.len(), self.0.closed.get());
            log::warn!("connections closed for others open={open} closed={closed}");
        }
    }

    /// Registers the metrics of the connections under this name.
    pub fn register(&self, registry: &mut Registry, name: &str) {
        let help = "Connections without work that were closed for others";
        registry.register(name, help, self.0.closed.clone());
    }
}

/// Guard of an open connection.
#[derive(Debug)]
pub struct Connection {
    connections: Connections,
    number: u64,
    state: Arc<State>,
    descriptor: Option<descriptors::Descriptor>,
}

impl Connection {
    /// Returns what the connection does.
    pub fn state(&self) -> &Arc<State> {
        &self.state
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.connections.lock().open.remove(&self.number);
        // Whoever is notified finds it free.
        self.descriptor = None;
        self.connections.0.released.notify_one();
    }
}
