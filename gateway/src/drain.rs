//! Lifecycle of the gateway, and its planned stop.
//!
//! After the stop signal the gateway reports itself not ready, so that the platform sends no new
//! connections. It continues to serve requests on open connections, and each response tells the
//! client to close. Once the platform has removed the gateway, a request is only passed on if its
//! deadline falls before the end of the stop: another gateway can serve it to its end. Once no
//! request is in flight either, the gateway accepts no more requests and closes idle connections.
//! From then on, and from [`REJECT_DELAY`] in any case, all further requests are rejected as not
//! run. The process exits once all connections are closed, because a complete response may not have
//! been written out yet. Shortly before the grace period is over, requests whose response has not
//! begun get a final one.

use std::collections::BTreeMap;
use std::path::Path;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use loftcove_clock as boot;
use loftcove_decision::lifecycle;
use loftcove_intake::{self as intake, connections, descriptors, memory};
use loftcove_interface::protocol::Protocol;
use loftcove_line::field;
use loftcove_mirror::follow;
use loftcove_settings::gateway as settings;
use loftcove_startup::{End, listen, signals};
use statig::blocking::StateMachine;
use tokio::sync::watch;

use crate::{client, exchange, state};

/// Time after which the platform has removed a gateway that is not ready. It checks every second
/// and removes a gateway after two failed checks.
const UNREADY_DELAY: Duration = Duration::from_millis(2_300);
/// Time from the stop signal until requests are rejected.
const REJECT_DELAY: Duration = Duration::from_millis(3_100);
/// Part of the grace period that is left when the process exits on its own.
const END_MARGIN: Duration = Duration::from_millis(250);
/// Time before the exit at which requests whose response has not begun get a final one, so that it
/// can be written out.
const FINAL_RESPONSE_TIME: Duration = Duration::from_millis(150);
/// Interval between two checks whether the process may exit.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Lifecycle of the process, shared by all connections.
pub struct Lifecycle {
    inner: Mutex<Inner>,
    /// Bound of the open connections from clients.
    pub clients: connections::Connections,
    phase: watch::Sender<lifecycle::Phase>,
    /// Whether the process listens on the address for clients.
    listening: watch::Sender<bool>,
}

struct Inner {
    machine: StateMachine<lifecycle::Lifecycle>,
    in_flight: usize,
    /// Current exchange of each open connection, by connection number.
    connections: BTreeMap<u64, exchange::Exchange>,
    /// Number of connections accepted since the start, which numbers them.
    accepted: u64,
    stop: Option<Stop>,
    /// Whether requests are rejected because the process is about to exit with none in flight.
    closed: bool,
}

/// A planned stop in progress.
#[derive(Debug, Clone, Copy)]
struct Stop {
    begun: boot::Instant,
    /// Time at which requests whose response has not begun get a final one.
    end: boot::Instant,
}

/// How a new request is handled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The request is served.
    Open,
    /// The request is served, and the client is told to close the connection.
    Closing,
    /// The request is rejected because the process is about to exit.
    Rejected,
}

impl Lifecycle {
    /// Creates the lifecycle of a process whose clients' connections use the quota `clients`.
    pub fn new(clients: descriptors::Quota) -> Lifecycle {
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
            clients: connections::Connections::of(clients),
            phase: watch::Sender::new(lifecycle::Phase::Starting),
            listening: watch::Sender::new(false),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Passes an event to the state machine.
    pub fn handle(&self, event: lifecycle::Event) {
        let mut inner = self.lock();
        inner.machine.handle(&event);
        let phase = inner.machine.inner().phase();
        self.phase.send_if_modified(|known| std::mem::replace(known, phase) != phase);
    }

    /// Records that the process listens on the address for clients.
    pub fn set_listening(&self) {
        self.listening.send_replace(true);
    }

    /// Returns whether the gateway accepts new connections.
    pub fn ready(&self) -> bool {
        let serving = *self.phase.borrow() == lifecycle::Phase::Serving;
        serving && *self.listening.borrow() && self.clients.has_room()
    }

    /// Waits until another client's connection can be accepted. Connections without work are closed
    /// for it. If there are none, new connections wait in the accept backlog, and the gateway reports
    /// itself not ready to the platform.
    pub async fn wait_for_capacity(&self) {
        let mut logged = false;
        while !self.clients.make_room() {
            if !logged && !self.clients.has_room() {
                let connections = self.connections();
                log::warn!("no more connections taken connections={connections} next=not-ready");
                logged = true;
            }
            self.clients.wait().await;
        }
        if logged {
            log::info!("connections taken again");
        }
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.lock().in_flight
    }

    /// Returns the number of open connections from clients.
    pub fn connections(&self) -> usize {
        self.lock().connections.len()
    }

    /// Counts a request as in flight until the guard is dropped, and returns how it is handled.
    /// Both happen under one lock, so that the process cannot exit between the two.
    pub fn admit<P>(gateway: &Arc<state::Gateway<P>>) -> (Admission, InFlight<P>) {
        let mut inner = gateway.lifecycle.lock();
        inner.in_flight += 1;
        let admission = match inner.stop {
            None => Admission::Open,
            Some(stop) if !inner.closed && stop.begun.elapsed() < REJECT_DELAY => {
                Admission::Closing
            }
            Some(_) => Admission::Rejected,
        };
        drop(inner);
        (admission, InFlight { gateway: gateway.clone() })
    }

    /// Returns whether a request with the deadline `due` may be passed on now. One that may outlast
    /// the process is left to another gateway as soon as clients reach another one.
    pub fn allows_until(&self, due: boot::Instant) -> bool {
        let stop = self.lock().stop;
        stop.is_none_or(|stop| due <= stop.end || stop.begun.elapsed() < UNREADY_DELAY)
    }

    /// Rejects all further requests if none is in flight. Returns whether requests are rejected.
    fn close_if_idle(&self) -> bool {
        let mut inner = self.lock();
        inner.closed |= inner.in_flight == 0;
        inner.closed
    }

    /// Counts a connection as open until the guard is dropped. `meter` bounds its client's bytes.
    pub fn connect<P>(
        gateway: &Arc<state::Gateway<P>>,
        meter: intake::Meter,
        memory: memory::Hold,
    ) -> Connection<P> {
        let open = gateway.lifecycle.clients.open_connection();
        let progress = client::Progress::new(meter).with_connection(open.state().clone());
        let exchange = exchange::Exchange::new(progress);
        let mut inner = gateway.lifecycle.lock();
        inner.accepted += 1;
        let number = inner.accepted;
        inner.connections.insert(number, exchange.clone());
        drop(inner);
        Connection { gateway: gateway.clone(), number, exchange, _open: open, _memory: memory }
    }

    /// Returns a subscription to the lifecycle's phase.
    pub fn phases(&self) -> Phases {
        Phases { phase: self.phase.subscribe() }
    }

    /// Returns a subscription to whether the process listens on the address for clients.
    pub fn listening(&self) -> watch::Receiver<bool> {
        self.listening.subscribe()
    }
}

/// A subscription to the lifecycle's phase.
pub struct Phases {
    phase: watch::Receiver<lifecycle::Phase>,
}

impl Phases {
    /// Waits until the lifecycle is in the phase `wanted`.
    pub async fn wait(&mut self, wanted: lifecycle::Phase) {
        // The sender lives as long as the process.
        self.phase.wait_for(|phase| *phase == wanted).await.map(drop).unwrap_or_default();
    }
}

/// Guard of a request in flight.
pub struct InFlight<P> {
    gateway: Arc<state::Gateway<P>>,
}

impl<P> Drop for InFlight<P> {
    fn drop(&mut self) {
        self.gateway.lifecycle.lock().in_flight -= 1;
    }
}

/// Guard of an open connection.
pub struct Connection<P> {
    gateway: Arc<state::Gateway<P>>,
    number: u64,
    exchange: exchange::Exchange,
    _open: connections::Connection,
    _memory: memory::Hold,
}

impl<P> Connection<P> {
    /// Returns the connection's current exchange.
    pub fn exchange(&self) -> &exchange::Exchange {
        &self.exchange
    }
}

impl<P> Drop for Connection<P> {
    fn drop(&mut self) {
        self.gateway.lifecycle.lock().connections.remove(&self.number);
    }
}

/// Waits for a signal to stop. Reloads the settings at each signal to reload.
async fn wait_for_stop(signals: &mut signals::Receiver, peers: &follow::Peers, file: &Path) {
    while signals.next().await == signals::Signal::Reload {
        reload(peers, file);
    }
}

/// Reloads the settings. Changes of listening addresses are ignored.
fn reload(peers: &follow::Peers, file: &Path) {
    match settings::Gateway::read(file) {
        Ok(settings) => {
            log::info!("reloaded file={} seeds={}", file.display(), settings.host.seeds.len());
            peers.set_seeds(settings.host.seeds);
        }
        Err(error) => {
            log::error!("reload failed error={error} next=keep", error = field::Quoted(&error))
        }
    }
}

/// Waits until the address for clients in the settings changes before the process listens on the one
/// that it was started with.
async fn moved<P>(gateway: &state::Gateway<P>, file: &Path) {
    let address = gateway.settings.listen.client_address;
    let read = || Some(settings::Gateway::read(file).ok()?.listen.client_address);
    let mut listening = gateway.lifecycle.listening();
    // The sender lives as long as the process.
    let listens = async { listening.wait_for(|listening| *listening).await.map(drop) };
    tokio::select! {
        biased;
        _ = listens => std::future::pending().await,
        () = listen::moved(address, read) => {}
    }
}

/// Waits for a stop signal and returns when the process may exit, or returns if it has to begin again
/// with other settings.
pub async fn wait<P: Protocol>(
    gateway: &Arc<state::Gateway<P>>,
    peers: &follow::Peers,
    file: &Path,
    mut signals: signals::Receiver,
) -> End {
    tokio::select! {
        () = wait_for_stop(&mut signals, peers, file) => {}
        () = moved(gateway, file) => return End::Moved,
    }
    let lifecycle = &gateway.lifecycle;
    let grace = Duration::from_secs_f64(gateway.settings.serving.grace_s);
    if !*lifecycle.listening.borrow() {
        // No client has reached this process, and it must not take over the address any more.
        log::info!("stopping reason=not-listening");
        return End::Stopped;
    }
    log::info!("stopping in_flight={} grace_ms={}", lifecycle.in_flight(), grace.as_millis());
    let started = boot::Instant::now();
    let mut exit = started + grace.saturating_sub(END_MARGIN);
    let end = started + grace.saturating_sub(END_MARGIN + FINAL_RESPONSE_TIME);
    lifecycle.lock().stop = Some(Stop { begun: started, end });
    lifecycle.handle(lifecycle::Event::InFlight(1));
    lifecycle.handle(lifecycle::Event::Stop);
    while boot::Instant::now() < end {
        let taken_out = started.elapsed() >= UNREADY_DELAY;
        if taken_out && lifecycle.close_if_idle() {
            break;
        }
        tokio::select! {
            () = tokio::time::sleep(POLL_INTERVAL) => {}
            () = wait_for_stop(&mut signals, peers, file) => {
                log::warn!("second signal in_flight={}", lifecycle.in_flight());
                exit = boot::Instant::now() + POLL_INTERVAL;
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
    while boot::Instant::now() < exit && lifecycle.connections() > 0 {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    if lifecycle.connections() > 0 {
        let (connections, in_flight) = (lifecycle.connections(), lifecycle.in_flight());
        log::warn!("connections cut off connections={connections} in_flight={in_flight}");
        let open: Vec<exchange::Exchange> =
            lifecycle.lock().connections.values().cloned().collect();
        open.iter().for_each(|exchange| exchange.abandon(&"end of the grace"));
    }
    End::Stopped
}
