//! The account of the memory that peers make a process hold.
//!
//! Memory is taken from an [`Account`] before the bytes that fill it are read, and a [`Hold`] gives
//! it back when it is dropped. If the account is full:
//!
//! - A part of it is only for what is [`SMALL`], so that large bodies do not keep small requests
//!   out.
//! - Bodies that arrive without progress are given up, the one that has made none for the longest
//!   time first.
//! - Otherwise the request waits, and its body is not read, for a bounded time.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use loftcove_clock as boot;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use tokio::sync::Notify;

/// Maximum size of what may use all of an account, in bytes.
pub const SMALL: usize = 64 * 1024;
/// Time without progress after which a body is given up if others need its memory.
pub const STALL: Duration = Duration::from_secs(1);

/// Part of an account that only small holds may use, as a divisor.
const RESERVE: usize = 8;
/// Minimum capacity of an account of a process, in bytes.
const MIN_CAPACITY: usize = 8 << 20;
/// Memory that a process uses without peers, in bytes.
const BASE: usize = 32 << 20;
/// Part of a process's memory that is left to the allocator, as a divisor.
const SLACK: usize = 32;
/// Part of a process's memory that only messages of other processes may hold, as a divisor: a group
/// must not lose its driver, or a gateway its updates, because clients hold the rest.
const CONTROL: usize = 32;
/// Interval between two searches for bodies without progress.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Minimum time between two log lines about bodies that were given up or refused.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// The account has no room.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("no memory for it")]
pub struct Full;

/// What a body needs of an account.
#[derive(Debug, Clone, Copy)]
pub struct Demand {
    /// Size, in bytes.
    pub bytes: usize,
    /// Time within which all of the body must arrive. A body makes progress if it is fast enough
    /// for that.
    pub time: Duration,
    /// Maximum time to wait for memory.
    pub wait: Duration,
}

/// Memory that peers make a process hold, with a bound.
#[derive(Debug, Clone)]
pub struct Account(Arc<Inner>);

#[derive(Debug)]
struct Inner {
    capacity: usize,
    /// Bytes beyond the capacity that only messages of other processes may hold.
    control: usize,
    state: Mutex<State>,
    released: Notify,
    given_up: Counter,
    refused: Counter,
}

#[derive(Debug, Default)]
struct State {
    small: usize,
    large: usize,
    /// Bodies that are arriving, by number.
    arriving: BTreeMap<u64, Arrival>,
    /// Number of bodies so far, which numbers them.
    bodies: u64,
    logged: Option<boot::Instant>,
}

/// A body that is arriving.
#[derive(Debug)]
struct Arrival {
    /// Memory that the body holds.
    bytes: usize,
    received: usize,
    /// Bytes received at the last progress, and its time.
    mark: (usize, boot::Instant),
    time: Duration,
    given_up: bool,
    notify: Arc<Notify>,
}

impl Arrival {
    /// Returns the number of bytes that count as progress if they arrive within [`STALL`].
    fn step(&self) -> usize {
        let part = STALL.as_secs_f64() / self.time.max(STALL).as_secs_f64();
        ((self.bytes as f64 * part) as usize).max(1)
    }

    fn record(&mut self, bytes: usize) {
        self.received += bytes;
        if self.received - self.mark.0 >= self.step() {
            self.mark = (self.received, boot::Instant::now());
        }
    }
}

impl Default for Account {
    /// Creates an account without a bound.
    fn default() -> Account {
        // Sums of what is held do not overflow.
        Account::new(usize::MAX / 4)
    }
}

impl Account {
    /// Creates an account of this many bytes.
    pub fn new(capacity: usize) -> Account {
        Account::with_control(capacity, 0)
    }

    fn with_control(capacity: usize, control: usize) -> Account {
        Account(Arc::new(Inner {
            capacity,
            control,
            state: Mutex::default(),
            released: Notify::new(),
            given_up: Counter::default(),
            refused: Counter::default(),
        }))
    }

    /// Creates the account of a process that may use `memory` bytes, of which `other` are bounded
    /// elsewhere.
    pub fn of_process(memory: usize, other: usize) -> Account {
        let control = memory / CONTROL;
        let capacity = memory.saturating_sub(other + BASE + memory / SLACK + control);
        Account::with_control(capacity.max(MIN_CAPACITY), control)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        // No update panics halfway.
        self.0.state.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Returns the number of bytes that are held.
    pub fn held(&self) -> usize {
        let state = self.lock();
        state.small + state.large
    }

    /// Returns the number of bytes that may be held.
    pub fn capacity(&self) -> usize {
        self.0.capacity
    }

    /// Returns the number of bytes that may be held by what is not [`SMALL`].
    fn large_capacity(&self) -> usize {
        self.0.capacity - self.0.capacity / RESERVE
    }

    /// Returns a hold of no bytes that can grow.
    pub fn hold_nothing(&self) -> Hold {
        Hold { account: self.clone(), bytes: 0, class: Class::BySize, body: None }
    }

    /// Takes memory for a connection if there is some at once. It counts as small.
    pub fn try_hold_connection(&self, bytes: usize) -> Option<Hold> {
        let mut hold = self.hold_nothing();
        hold.class = Class::Small;
        hold.try_grow(bytes).then_some(hold)
    }

    /// Returns a hold of no bytes for messages that must arrive within `time`: those of a response
    /// that the process has asked for, or of a request of another process.
    pub fn hold_messages(&self, time: Duration, asked: bool) -> Hold {
        let mut hold = self.hold_arriving(time);
        hold.class = if asked { Class::Response } else { Class::Message };
        hold
    }

    /// Takes memory if there is some at once.
    pub fn try_hold(&self, bytes: usize) -> Option<Hold> {
        let mut hold = self.hold_nothing();
        hold.try_grow(bytes).then_some(hold)
    }

    /// Takes memory for a body. Waits for it, and gives up others that make no progress.
    ///
    /// # Errors
    ///
    /// Returns [`Full`] if there is none in time.
    pub async fn hold_body(&self, demand: Demand) -> Result<Hold, Full> {
        let mut hold = self.hold_arriving(demand.time);
        hold.grow(demand.bytes, demand.wait).await?;
        Ok(hold)
    }

    /// Returns a hold of no bytes for what must arrive within `time`. It is given up for others while
    /// it makes no progress.
    fn hold_arriving(&self, time: Duration) -> Hold {
        let notify = Arc::new(Notify::new());
        let mut state = self.lock();
        state.bodies += 1;
        let number = state.bodies;
        let arrival = Arrival {
            bytes: 0,
            received: 0,
            mark: (0, boot::Instant::now()),
            time,
            given_up: false,
            notify: notify.clone(),
        };
        state.arriving.insert(number, arrival);
        drop(state);
        let mut hold = self.hold_nothing();
        hold.body = Some((number, notify));
        hold
    }

    /// Gives up bodies without progress until `bytes` will be free. Those that were given up before
    /// and have not given back their memory count too.
    pub fn give_up(&self, bytes: usize) {
        let now = boot::Instant::now();
        let mut state = self.lock();
        let leaving = state.arriving.values().filter(|arrival| arrival.given_up);
        let mut free: usize = leaving.map(|arrival| arrival.bytes).sum();
        let mut stalled: Vec<(Duration, u64)> = Vec::new();
        for (number, arrival) in &state.arriving {
            let time = now.saturating_duration_since(arrival.mark.1);
            if time >= STALL && arrival.bytes > 0 && !arrival.given_up {
                stalled.push((time, *number));
            }
        }
        stalled.sort_unstable();
        while free < bytes {
            let Some((_, number)) = stalled.pop() else { break };
            let Some(arrival) = state.arriving.get_mut(&number) else { continue };
            free += arrival.bytes;
            arrival.given_up = true;
            arrival.notify.notify_one();
            self.0.given_up.inc();
        }
    }

    /// Waits until memory is given back, or until more bodies may have stopped making progress.
    pub async fn wait(&self) {
        tokio::time::timeout(POLL_INTERVAL, self.0.released.notified()).await.unwrap_or_default();
    }

    /// Counts a body that was refused, and logs it if the last line is not too recent.
    fn refuse(&self) {
        self.0.refused.inc();
        let (now, mut state) = (boot::Instant::now(), self.lock());
        if state.logged.is_some_and(|at| now.saturating_duration_since(at) < LOG_INTERVAL) {
            return;
        }
        state.logged = Some(now);
        let (held, arriving) = (state.small + state.large, state.arriving.len());
        drop(state);
        log::warn!(
            "body refused reason=memory held={held} capacity={} arriving={arriving} refused={} \
             given_up={}",
            self.0.capacity,
            self.0.refused.get(),
            self.0.given_up.get()
        );
    }

    /// Registers the metrics of the account.
    pub fn register(&self, registry: &mut Registry) {
        let (held, capacity): (Gauge, Gauge) = Default::default();
        held.set(self.held() as i64);
        capacity.set(self.0.capacity as i64);
        registry.register("memory_held_bytes", "Memory held for peers", held);
        registry.register("memory_capacity_bytes", "Maximum memory held for peers", capacity);
        let given_up = "Bodies without progress that were given up for memory";
        registry.register("bodies_given_up", given_up, self.0.given_up.clone());
        let refused = "Bodies that were refused for lack of memory";
        registry.register("bodies_refused", refused, self.0.refused.clone());
    }
}

/// Which part of an account a hold may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Class {
    /// All of the account if it is [`SMALL`].
    BySize,
    /// All of the account.
    Small,
    /// All of the account and the part for messages, if it is at most two copies of what is [`SMALL`].
    Message,
    /// All of the account and the part for messages. The process has asked for it.
    Response,
}

/// Memory taken from an account. Dropping it gives the memory back.
#[derive(Debug)]
pub struct Hold {
    account: Account,
    bytes: usize,
    class: Class,
    /// Number of the body that is arriving, and the signal that it is given up.
    body: Option<(u64, Arc<Notify>)>,
}

impl Hold {
    /// Returns the number of bytes held.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    fn is_large(&self, bytes: usize) -> bool {
        match self.class {
            Class::BySize => bytes > SMALL,
            Class::Message => bytes > 2 * SMALL,
            Class::Small | Class::Response => false,
        }
    }

    /// Returns the sum of small or large holds that this one belongs to with `bytes`.
    fn part<'a>(&self, sums: &'a mut (usize, usize), bytes: usize) -> &'a mut usize {
        if self.is_large(bytes) { &mut sums.1 } else { &mut sums.0 }
    }

    /// Grows to `bytes` if there is memory at once. Returns whether it has that many.
    pub fn try_grow(&mut self, bytes: usize) -> bool {
        if bytes <= self.bytes {
            return true;
        }
        let (capacity, large_capacity) = (self.account.capacity(), self.account.large_capacity());
        let mut state = self.account.lock();
        let mut others = (state.small, state.large);
        *self.part(&mut others, self.bytes) -= self.bytes;
        let fits = if self.is_large(bytes) {
            let fits =
                others.1 + bytes <= large_capacity && others.0 + others.1 + bytes <= capacity;
            // A body that is larger than the account is admitted alone.
            fits || others.1 == 0 && bytes > large_capacity
        } else {
            let control = match self.class {
                Class::Message | Class::Response => self.account.0.control,
                Class::BySize | Class::Small => 0,
            };
            others.0 + others.1.min(large_capacity) + bytes <= capacity + control
        };
        if !fits {
            return false;
        }
        *self.part(&mut others, bytes) += bytes;
        (state.small, state.large) = others;
        if let Some((number, _)) = &self.body
            && let Some(arrival) = state.arriving.get_mut(number)
        {
            arrival.bytes = bytes;
            // Until now the body was not read.
            arrival.mark = (arrival.received, boot::Instant::now());
        }
        self.bytes = bytes;
        true
    }

    /// Grows to `bytes`, and waits for the memory up to the time `wait`.
    ///
    /// # Errors
    ///
    /// Returns [`Full`] if there is none in time, or if the body is given up meanwhile.
    pub async fn grow(&mut self, bytes: usize, wait: Duration) -> Result<(), Full> {
        let due = boot::Instant::now() + wait;
        while !self.try_grow(bytes) {
            if boot::Instant::now() >= due {
                self.account.refuse();
                return Err(Full);
            }
            self.account.give_up(bytes);
            let account = self.account.clone();
            tokio::select! {
                () = account.wait() => {}
                () = self.given_up() => return Err(Full),
            }
        }
        Ok(())
    }

    /// Records bytes of the body that arrived.
    pub fn record(&self, bytes: usize) {
        let Some((number, _)) = &self.body else { return };
        if let Some(arrival) = self.account.lock().arriving.get_mut(number) {
            arrival.record(bytes);
        }
    }

    /// Gives back all but `bytes`. The hold can grow again, and is not given up before that.
    pub fn shrink(&mut self, bytes: usize) {
        let bytes = bytes.min(self.bytes);
        let mut state = self.account.lock();
        let mut sums = (state.small, state.large);
        *self.part(&mut sums, self.bytes) -= self.bytes;
        *self.part(&mut sums, bytes) += bytes;
        (state.small, state.large) = sums;
        if let Some((number, _)) = &self.body
            && let Some(arrival) = state.arriving.get_mut(number)
        {
            arrival.bytes = 0;
            arrival.given_up = false;
        }
        drop(state);
        let released = bytes < self.bytes;
        self.bytes = bytes;
        if released {
            self.account.0.released.notify_waiters();
        }
    }

    /// Records that nothing is expected until the hold grows again. It is not given up before that.
    pub fn pause(&self) {
        if let Some((number, _)) = &self.body
            && let Some(arrival) = self.account.lock().arriving.get_mut(number)
        {
            arrival.bytes = 0;
        }
    }

    /// Returns whether the body is given up for others.
    pub fn is_given_up(&self) -> bool {
        let Some((number, _)) = &self.body else { return false };
        self.account.lock().arriving.get(number).is_some_and(|arrival| arrival.given_up)
    }

    /// Gives up others without progress until there will be room for `bytes`.
    pub fn make_room(&self, bytes: usize) {
        self.account.give_up(bytes);
    }

    /// Counts that there was no memory.
    pub fn refuse(&self) {
        self.account.refuse();
    }

    /// Waits until the body is given up.
    pub async fn given_up(&self) {
        match &self.body {
            Some((_, notify)) => notify.notified().await,
            None => std::future::pending().await,
        }
    }

    /// Records that the body is complete. It is not given up any more.
    pub fn complete(&mut self) {
        if let Some((number, _)) = self.body.take() {
            self.account.lock().arriving.remove(&number);
        }
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        self.complete();
        self.shrink(0);
    }
}
