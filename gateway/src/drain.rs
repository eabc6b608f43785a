//! A gateway's life, and its planned stop.
//!
//! After the signal the gateway calls itself not ready, so that the platform
//! sends no new connections, and goes on serving what comes over kept ones,
//! each answer telling the client to close. Once the platform has noticed and
//! nothing is in flight, nothing more is taken and idle connections are closed.
//! From then on, and from [`LAST_REQUEST`] on in any case, a request that still
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
const NOTICE_TIME: Duration = Duration::from_millis(2_300);
/// Time after the signal from which requests are refused.
const LAST_REQUEST: Duration = Duration::from_millis(3_100);
/// What is left of the grace when the process ends by itself.
const END_MARGIN: Duration = Duration::from_millis(250);
/// Pause between two checks whether the process may end.
const LOOK_PAUSE: Duration = Duration::from_millis(50);

/// Descriptors that clients' connections leave free: the platform keeps 200 for
/// files, and hosts that follow this one, the store and the metrics take some.
const KEPT_DESCRIPTORS: usize = 300;
/// Pause between two looks whether clients have left.
const ROOM_PAUSE: Duration = Duration::from_millis(20);

/// The life, shared by all connections.
pub struct Life {
    inner: Mutex<Inner>,
    /// Clients' connections that may be open.
    most_connections: usize,
    phase: watch::Sender<lifecycle::Phase>,
}

struct Inner {
    machine: StateMachine<lifecycle::Lifecycle>,
    in_flight: usize,
    /// What each open connection answers, by its number.
    connections: BTreeMap<u64, exchange::Exchange>,
    /// Connections so far.
    connected: u64,
    stop: Option<boot::Instant>,
    /// Whether the process is about to end with nothing in flight.
    shut: bool,
}

/// How a request is to be taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Entry {
    /// As always.
    Open,
    /// Served, and the client is told to close.
    Closing,
    /// Refused: the process is about to end.
    Shut,
}

impl Life {
    /// A life that begins, of a process that may use so many descriptors. Each
    /// client's connection may need another one to a backend server.
    pub fn new(max_descriptors: usize) -> Life {
        let machine = lifecycle::Lifecycle::machine();
        let inner = Inner {
            machine,
            in_flight: 0,
            connections: BTreeMap::new(),
            connected: 0,
            stop: None,
            shut: false,
        };
        Life {
            inner: Mutex::new(inner),
            most_connections: (max_descriptors.saturating_sub(KEPT_DESCRIPTORS) / 2).max(1),
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
        *self.phase.borrow() == lifecycle::Phase::Serving && self.has_room()
    }

    /// Whether a client's connection can be taken.
    fn has_room(&self) -> bool {
        self.connections() < self.most_connections
    }

    /// Waits until a client's connection can be taken. Those that come meanwhile
    /// are kept by the system, and the platform finds the gateway not ready.
    pub async fn room(&self) {
        if self.has_room() {
            return;
        }
        let connections = self.connections();
        log::warn!("no more connections taken connections={connections} next=not-ready");
        while !self.has_room() {
            tokio::time::sleep(ROOM_PAUSE).await;
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
    pub fn enter<P>(gateway: &Arc<state::Gateway<P>>) -> (Entry, InFlight<P>) {
        let mut inner = gateway.life.lock();
        inner.in_flight += 1;
        let entry = match inner.stop {
            None => Entry::Open,
            Some(stop) if !inner.shut && stop.elapsed() < LAST_REQUEST => Entry::Closing,
            Some(_) => Entry::Shut,
        };
        drop(inner);
        (entry, InFlight { gateway: gateway.clone() })
    }

    /// Takes nothing more, if nothing is in flight.
    fn shut_if_idle(&self) -> bool {
        let mut inner = self.lock();
        inner.shut |= inner.in_flight == 0;
        inner.shut
    }

    /// Counts a connection until the guard is dropped.
    pub fn connected<P>(gateway: &Arc<state::Gateway<P>>) -> Open<P> {
        let exchange = exchange::Exchange::default();
        let mut inner = gateway.life.lock();
        inner.connected += 1;
        let number = inner.connected;
        inner.connections.insert(number, exchange.clone());
        drop(inner);
        Open { gateway: gateway.clone(), number, exchange }
    }

    /// Follows the phase.
    pub fn closing(&self) -> Closing {
        Closing { phase: self.phase.subscribe() }
    }
}

/// Waits for a phase.
pub struct Closing {
    phase: watch::Receiver<lifecycle::Phase>,
}

impl Closing {
    /// Waits until the life has reached a phase.
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
        self.gateway.life.lock().in_flight -= 1;
    }
}

/// An open connection.
pub struct Open<P> {
    gateway: Arc<state::Gateway<P>>,
    number: u64,
    exchange: exchange::Exchange,
}

impl<P> Open<P> {
    /// What it answers.
    pub fn exchange(&self) -> &exchange::Exchange {
        &self.exchange
    }
}

impl<P> Drop for Open<P> {
    fn drop(&mut self) {
        self.gateway.life.lock().connections.remove(&self.number);
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
    async fn stop(&mut self, peers: &follow::Peers, file: &Path) {
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
    signals.stop(peers, file).await;
    let life = &gateway.life;
    let grace = Duration::from_secs_f64(gateway.settings.serving.grace_s);
    log::info!("stopping in_flight={} grace_ms={}", life.in_flight(), grace.as_millis());
    let begun = boot::Instant::now();
    life.lock().stop = Some(begun);
    life.handle(lifecycle::Event::InFlight(1));
    life.handle(lifecycle::Event::Stop);
    let mut end = begun + grace.saturating_sub(END_MARGIN);
    while boot::Instant::now() < end {
        let noticed = begun.elapsed() >= NOTICE_TIME;
        if noticed && life.shut_if_idle() {
            break;
        }
        tokio::select! {
            () = tokio::time::sleep(LOOK_PAUSE) => {}
            () = signals.stop(peers, file) => {
                log::warn!("second signal in_flight={}", life.in_flight());
                end = boot::Instant::now() + LOOK_PAUSE;
                break;
            }
        }
    }
    log::info!("closing in_flight={} connections={}", life.in_flight(), life.connections());
    life.handle(lifecycle::Event::Expired);
    while boot::Instant::now() < end && life.connections() > 0 {
        tokio::time::sleep(LOOK_PAUSE).await;
    }
    if life.connections() > 0 {
        let (connections, in_flight) = (life.connections(), life.in_flight());
        log::warn!("connections cut off connections={connections} in_flight={in_flight}");
        let open: Vec<exchange::Exchange> = life.lock().connections.values().cloned().collect();
        open.iter().for_each(|exchange| exchange.abandon(&"end of the grace"));
    }
}
