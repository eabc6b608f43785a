//! Listeners that wait for their address.
//!
//! An address may be unavailable for a while: the previous process of the host has not ended yet,
//! another connection of the host uses the port, or the address is not configured yet.

use std::net::SocketAddr;
use std::sync::LazyLock;
use std::time::{Duration, Instant};

use loftcove_line::field;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use tokio::net::{TcpListener, TcpSocket};

/// Intervals between two attempts: at first, if the previous process is likely to end soon, and
/// otherwise.
const RETRY_INTERVAL: (Duration, Duration) =
    (Duration::from_millis(20), Duration::from_millis(250));
/// Time after which attempts are made at the longer interval. A planned stop takes less.
const FREQUENT_RETRY_TIME: Duration = Duration::from_secs(15);
/// Interval between two log lines about the same address.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Label with the purpose of a listener.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Purpose {
    listener: &'static str,
}

static WAITING: LazyLock<Family<Purpose, Gauge>> = LazyLock::new(Family::default);

/// Registers the number of listeners that wait for their address, by purpose.
pub fn register(registry: &mut Registry) {
    let help = "Listeners that wait for their address";
    registry.register("listeners_waiting", help, WAITING.clone());
}

/// A listener that may have to wait for its address.
#[derive(Debug)]
pub struct Listener {
    purpose: &'static str,
    address: SocketAddr,
    backlog: u32,
    state: Result<TcpListener, std::io::Error>,
}

impl Listener {
    /// Listens on an address, or prepares to wait for it. `purpose` names the listener in the log and
    /// the metrics, and `backlog` is the maximum number of connections that wait to be accepted.
    pub fn open(purpose: &'static str, address: SocketAddr, backlog: u32) -> Listener {
        Listener { purpose, address, backlog, state: bind(address, backlog) }
    }

    /// Returns the listener if it does not have to wait for its address.
    pub fn bound(&self) -> Option<&TcpListener> {
        self.state.as_ref().ok()
    }

    /// Waits until the address is available, and returns a listener on it.
    pub async fn wait(self) -> TcpListener {
        let mut error = match self.state {
            Ok(listener) => return listener,
            Err(error) => error,
        };
        let waiting = Waiting::new(self.purpose);
        let (purpose, address) = (self.purpose, self.address);
        let started = Instant::now();
        let mut logged = None;
        loop {
            if logged.is_none_or(|at: Instant| at.elapsed() >= LOG_INTERVAL) {
                let ms = started.elapsed().as_millis();
                log::warn!(
                    "address not available listener={purpose} address={address} waited_ms={ms} \
                     error={error} next=retry",
                    error = field::Quoted(&error)
                );
                logged = Some(Instant::now());
            }
            let frequent = is_temporary(&error) && started.elapsed() < FREQUENT_RETRY_TIME;
            let (short, long) = RETRY_INTERVAL;
            tokio::time::sleep(if frequent { short } else { long }).await;
            match bind(address, self.backlog) {
                Ok(listener) => {
                    let ms = started.elapsed().as_millis();
                    log::info!("listening listener={purpose} address={address} waited_ms={ms}");
                    drop(waiting);
                    return listener;
                }
                Err(next) => error = next,
            }
        }
    }
}

/// Interval at which the settings are read while a process waits for an address of them.
const SETTINGS_INTERVAL: Duration = Duration::from_secs(1);

/// Waits until the settings name another address than `address`, which the process waits for: the
/// settings may have been wrong when it was started, or have changed since. `read` returns the
/// address in the settings, or `None` if they cannot be read.
pub async fn moved(address: SocketAddr, read: impl Fn() -> Option<SocketAddr>) {
    loop {
        tokio::time::sleep(SETTINGS_INTERVAL).await;
        if let Some(next) = read().filter(|next| *next != address) {
            log::warn!("address changed in the settings before={address} now={next} next=restart");
            return;
        }
    }
}

/// Counts a listener as waiting until it is dropped.
struct Waiting(Gauge);

impl Waiting {
    fn new(purpose: &'static str) -> Waiting {
        let gauge = WAITING.get_or_create(&Purpose { listener: purpose }).clone();
        gauge.inc();
        Waiting(gauge)
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        self.0.dec();
    }
}

fn bind(address: SocketAddr, backlog: u32) -> std::io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    // Connections of the previous process that are in TIME-WAIT do not block the address.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(backlog)
}

/// Returns whether an address that failed with this error is likely to become available without a
/// change of the host. Others are waited for as well: a process that exits meets the same state when
/// it is started again.
fn is_temporary(error: &std::io::Error) -> bool {
    let code = error.raw_os_error().unwrap_or_default();
    matches!(
        code,
        libc::EADDRINUSE
            | libc::EADDRNOTAVAIL
            | libc::EMFILE
            | libc::ENFILE
            | libc::ENOBUFS
            | libc::ENOMEM
    )
}
