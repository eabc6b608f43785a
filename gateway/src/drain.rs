//! A gateway's lifecycle, and its planned stop.
//!
//! After the signal the gateway calls itself not ready, so that the platform
//! sends no new connections, and goes on serving what comes over kept ones,
//! each answer telling the client to close. Once the platform has taken_out and
//! nothing is in flight, nothing more is taken and idle connections are closed.
//! From then on, and from [`REJECT_DELAY`] on in any case, a request that still
//! comes is refused as not run, so that all answers are out before the process
//! is killed. The process ends once all connections are closed: an answer that
//! has come to its end may not be written out yet.

use std::collections::BTreeMap;
use std::path::Path;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use loftcove_clock as boot;
use loftcove_decision::lifecycle;
use loftcove_interface::protocol::Protocol;
use loftcove_mirror::follow;
use loftcove_settings::gateway as settings;
use statig::blocking::StateMachine;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;

use crate::{exchange, state};

/// The platform asks each second and takes a gateway out after two misses.
const UNREADY_DELAY: Duration = Duration::from_millis(2_300);
/// Time after the signal from which requests are refused.
const REJECT_DELAY: Duration = Duration::from_millis(3_100);
/// What is left of the grace when the process ends by itself.
const END_MARGIN: Duration = Duration::from_millis(250);
/// Pause between two checks whether the process may end.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Descriptors that clients' connections leave free: the platform keeps 200 for
/// files, and hosts that follow this one, the store and the metrics take some.
const RESERVED_DESCRIPTORS: usize = 300;
/// Pause between two looks whether clients have left.
const CAPACITY_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The lifecycle, shared by all connections.
pub struct Lifecycle {
    inner: Mutex<Inner>,
    /// Clients' connections that may be open.
    max_connections: usize,
    phase: watch::Sender<lifecycle::Phase>,
}

struct Inner {
    machine: StateMachine<lifecycle::Lifecycle>,
    in_flight: usize,
    /// What each open connection answers, by its number.
    connections: BTreeMap<u64, exchange::Exchange>,
    /// Connections so far.
    accepted: u64,
    stop: Option<boot::Instant>,
    /// Whether the process is about to end with nothing in flight.
    closed: bool,
}

/// How a request is to be taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// As always.
    Open,
    /// Served, and the client is told to close.
    Closing,
    /// Refused: the process is about to end.
    Rejected,
}

impl Lifecycle {
    /// A lifecycle that begins, of a process that may use so many descriptors. Each
    /// client's connection may need another one to a backend server.
    pub fn new(max_descriptors: usize) -> Lifecycle {
        let machine = lifecycle::Lifecycle::machine();
        let inner = Inner {
            machine,
            in_flight: 0,
            connections: BTreeMap::new(),
            accepted: 0,
            stop: None,
            closed: false,
        };
        Lifecycle {
            inner: Mutex::new(inner),
            max_connections: (max_descriptors.saturating_sub(RESERVED_DESCRIPTORS) / 2).max(1),
            phase: watch::Sender::new(lifecycle::Phase::Starting),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Hands the machine an event.
    pub fn handle(&self, event: lifecycle::Event) {
        let mut inner = self.lock();
        inner.machine.handle(&event);
        let phase = inner.machine.inner().phase();
        self.phase.send_if_modified(|known| std::mem::replace(known, phase) != phase);
    }

    /// Whether new connections are wanted.
    pub fn ready(&self) -> bool {
        *self.phase.borrow() == lifecycle::Phase::Serving && self.has_capacity()
    }

    /// Whether a client's connection can be taken.
    fn has_capacity(&self) -> bool {
        self.connections() < self.max_connections
    }

    /// Waits until a client's connection can be taken. Those that come meanwhile
    /// are kept by the system, and the platform finds the gateway not ready.
    pub async fn wait_for_capacity(&self) {
        if self.has_capacity() {
            return;
        }
        let connections = self.connections();
        log::warn!("no more connections taken connections={connections} next=not-ready");
        while !self.has_capacity() {
            tokio::time::sleep(CAPACITY_POLL_INTERVAL).await;
        }
        log::info!("connections taken again");
    }

    /// Requests in flight.
    pub fn in_flight(&self) -> usize {
        self.lock().in_flight
    }

    /// Clients' connections that are open.
    pub fn connections(&self) -> usize {
        self.lock().connections.len()
    }

    /// Counts a request until the guard is dropped, and says how it is to be
    /// taken: in one step, so that the process does not end between the two.
    pub fn admit<P>(gateway: &Arc<state::Gateway<P>>) -> (Admission, InFlight<P>) {
        let mut inner = gateway.lifecycle.lock();
        inner.in_flight += 1;
        let admission = match inner.stop {
            None => Admission::Open,
            Some(stop) if !inner.closed && stop.elapsed() < REJECT_DELAY => Admission::Closing,
            Some(_) => Admission::Rejected,
        };
        drop(inner);
        (admission, InFlight { gateway: gateway.clone() })
    }

    /// Takes nothing more, if nothing is in flight.
    fn close_if_idle(&self) -> bool {
        let mut inner = self.lock();
        inner.closed |= inner.in_flight == 0;
        inner.closed
    }

    /// Counts a connection until the guard is dropped.
    pub fn connect<P>(gateway: &Arc<state::Gateway<P>>) -> Connection<P> {
        let exchange = exchange::Exchange::default();
        let mut inner = gateway.lifecycle.lock();
        inner.accepted += 1;
        let number = inner.accepted;
        inner.connections.insert(number, exchange.clone());
        drop(inner);
        Connection { gateway: gateway.clone(), number, exchange }
    }

    /// Follows the phase.
    pub fn phases(&self) -> Phases {
        Phases { phase: self.phase.subscribe() }
    }
}

/// Waits for a phase.
pub struct Phases {
    phase: watch::Receiver<lifecycle::Phase>,
}

impl Phases {
    /// Waits until the lifecycle has reached a phase.
    pub async fn wait(&mut self, wanted: lifecycle::Phase) {
        // The sender lives as long as the process.
        self.phase.wait_for(|phase| *phase == wanted).await.map(drop).unwrap_or_default();
    }
}

/// A request in flight.
pub struct InFlight<P> {
    gateway: Arc<state::Gateway<P>>,
}

impl<P> Drop for InFlight<P> {
    fn drop(&mut self) {
        self.gateway.lifecycle.lock().in_flight -= 1;
    }
}

/// An open connection.
pub struct Connection<P> {
    gateway: Arc<state::Gateway<P>>,
    number: u64,
    exchange: exchange::Exchange,
}

impl<P> Connection<P> {
    /// What it answers.
    pub fn exchange(&self) -> &exchange::Exchange {
        &self.exchange
    }
}

impl<P> Drop for Connection<P> {
    fn drop(&mut self) {
        self.gateway.lifecycle.lock().connections.remove(&self.number);
    }
}

/// The signals that a gateway takes.
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    /// Begins to receive them.
    ///
    /// # Errors
    ///
    /// What the system said.
    pub fn new() -> std::io::Result<Signals> {
        Ok(Signals {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }

    /// Waits for a signal to stop, reading the settings anew at each hangup.
    async fn wait_for_stop(&mut self, peers: &follow::Peers, file: &Path) {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => return,
                _ = self.interrupt.recv() => return,
                _ = self.hangup.recv() => reload(peers, file),
            }
        }
    }
}

/// Reads the settings anew. Addresses that are listened on stay as they are.
fn reload(peers: &follow::Peers, file: &Path) {
    match settings::Gateway::read(file) {
        Ok(settings) => {
            log::info!("reloaded file={} seeds={}", file.display(), settings.host.seeds.len());
            peers.set_seeds(settings.host.seeds);
        }
        Err(error) => log::error!("reload failed error=\"{error}\" next=keep"),
    }
}

/// Waits for a stop and returns when the process may end.
pub async fn wait<P: Protocol>(
    gateway: &Arc<state::Gateway<P>>,
    peers: &follow::Peers,
    file: &Path,
    mut signals: Signals,
) {
    signals.wait_for_stop(peers, file).await;
    let lifecycle = &gateway.lifecycle;
    let grace = Duration::from_secs_f64(gateway.settings.serving.grace_s);
    log::info!("stopping in_flight={} grace_ms={}", lifecycle.in_flight(), grace.as_millis());
    let started = boot::Instant::now();
    lifecycle.lock().stop = Some(started);
    lifecycle.handle(lifecycle::Event::InFlight(1));
    lifecycle.handle(lifecycle::Event::Stop);
    let mut end = started + grace.saturating_sub(END_MARGIN);
    while boot::Instant::now() < end {
        let taken_out = started.elapsed() >= UNREADY_DELAY;
        if taken_out && lifecycle.close_if_idle() {
            break;
        }
        tokio::select! {
            () = tokio::time::sleep(POLL_INTERVAL) => {}
            () = signals.wait_for_stop(peers, file) => {
                log::warn!("second signal in_flight={}", lifecycle.in_flight());
                end = boot::Instant::now() + POLL_INTERVAL;
                break;
            }
        }
    }
    log::info!(
        "closing in_flight={} connections={}",
        lifecycle.in_flight(),
        lifecycle.connections()
    );
    lifecycle.handle(lifecycle::Event::Expired);
    while boot::Instant::now() < end && lifecycle.connections() > 0 {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    if lifecycle.connections() > 0 {
        let (connections, in_flight) = (lifecycle.connections(), lifecycle.in_flight());
        log::warn!("connections cut off connections={connections} in_flight={in_flight}");
        let open: Vec<exchange::Exchange> =
            lifecycle.lock().connections.values().cloned().collect();
        open.iter().for_each(|exchange| exchange.abandon(&"end of the grace"));
    }
}
