//! A fault-injecting TCP proxy between any two processes.
//!
//! It reads commands from standard input, one per line, and answers each by one line:
//!
//! - `source ZONE IP`: assigns connections from that address to the zone.
//! - `target LABEL ZONE ADDRESS [LISTEN]`: opens a port that forwards to the address, at the
//!   address LISTEN if given; answers `listening PORT-ADDRESS`.
//! - `link FROM TO FAULT`: sets the [`Fault`] of connections from a zone (or `*`) to a label or a
//!   zone (or `*`).
//!
//! A target that has ended accepts no connection, so its port at the proxy accepts none either: the
//! proxy closes the port before it closes the connections that broke when the target ended.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::str::FromStr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream, tcp};
use tokio::sync::{Notify, watch};

/// What the proxy does to connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Forwards everything.
    None,
    /// Delays each chunk by that time.
    Delay(Duration),
    /// Closes every connection, and each new one when it is accepted.
    Cut,
    /// Same as [`Fault::Cut`], by resets.
    Reset,
    /// Forwards requests and drops responses. A connection that has lost a response also drops all
    /// later ones.
    LoseAnswers,
    /// Stops forwarding in both directions until another fault is set.
    Freeze,
    /// Permanently drops everything in both directions on the connections that are open when this
    /// is set, and leaves them open. Later connections are not affected.
    Silence,
}

impl FromStr for Fault {
    type Err = String;

    fn from_str(text: &str) -> Result<Fault, String> {
        if let Some(ms) = text.strip_prefix("delay=") {
            let ms =
                ms.parse().map_err(|_| format!("invalid delay, expected milliseconds: {ms}"))?;
            return Ok(Fault::Delay(Duration::from_millis(ms)));
        }
        match text {
            "none" => Ok(Fault::None),
            "cut" => Ok(Fault::Cut),
            "reset" => Ok(Fault::Reset),
            "lose-answers" => Ok(Fault::LoseAnswers),
            "freeze" => Ok(Fault::Freeze),
            "silence" => Ok(Fault::Silence),
            other => Err(format!("unknown fault: {other}")),
        }
    }
}

/// Direction in which a chunk is forwarded.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Direction {
    Request,
    Response,
}

/// Source zone, target label or zone, and fault.
type Rule = (String, String, Fault);
type Rules = Vec<Rule>;

/// A fault-injecting TCP proxy.
#[derive(Clone)]
pub struct Proxy {
    sources: Arc<Mutex<BTreeMap<IpAddr, String>>>,
    rules: watch::Sender<Rules>,
}

impl Default for Proxy {
    fn default() -> Proxy {
        Proxy { sources: Arc::default(), rules: watch::Sender::new(Vec::new()) }
    }
}

/// Target of a connection.
#[derive(Clone)]
struct Target {
    label: String,
    zone: String,
    address: SocketAddr,
}

/// Rules as they apply to one connection.
#[derive(Clone)]
struct Link {
    from: String,
    target: Target,
    /// Number of rules that were set before the connection was opened.
    rules_at_open: usize,
    rules: watch::Receiver<Rules>,
}

impl Link {
    fn matches(&self, (from, to, _): &Rule) -> bool {
        let from_fits = *from == "*" || *from == self.from;
        let to_fits = *to == "*" || *to == self.target.label || *to == self.target.zone;
        from_fits && to_fits
    }

    /// Returns the fault of the last matching rule other than [`Fault::Silence`].
    ///
    /// [`Fault::Silence`] applies only to the connections that were open when it was set; see
    /// [`Link::silenced`].
    fn fault(&self, rules: &Rules) -> Fault {
        let matching = rules.iter().rev().filter(|rule| self.matches(rule));
        let fault = matching.map(|rule| rule.2).find(|fault| *fault != Fault::Silence);
        fault.unwrap_or(Fault::None)
    }

    /// Returns whether [`Fault::Silence`] was set since the connection was opened.
    fn silenced(&self) -> bool {
        let rules = self.rules.borrow();
        let since = rules.iter().skip(self.rules_at_open);
        since.filter(|rule| self.matches(rule)).any(|rule| rule.2 == Fault::Silence)
    }

    fn current_fault(&self) -> Fault {
        let rules = self.rules.borrow();
        self.fault(&rules)
    }

    async fn wait_for(&mut self, wanted: impl Fn(Fault) -> bool) {
        let link = self.clone();
        self.rules.wait_for(|rules| wanted(link.fault(rules))).await.ok();
    }
}

impl Proxy {
    /// Obeys one line.
    ///
    /// # Errors
    ///
    /// What is wrong with the line.
    pub async fn execute(&self, line: &str) -> Result<String, String> {
        let words: Vec<&str> = line.split_whitespace().collect();
        match words.as_slice() {
            ["source", zone, ip] => {
                let ip = ip.parse().map_err(|_| format!("not an address: {ip}"))?;
                let mut sources = self.sources.lock().expect("no holder of the lock panics");
                sources.insert(ip, (*zone).to_owned());
                Ok("set".to_owned())
            }
            ["target", label, zone, address, listen @ ..] => {
                let address = address.parse().map_err(|_| format!("not an address: {address}"))?;
                let target =
                    Target { label: (*label).to_owned(), zone: (*zone).to_owned(), address };
                let listen = listen.first().copied().unwrap_or("127.0.0.1:0");
                let listener = TcpListener::bind(listen).await;
                let listener = listener.map_err(|error| error.to_string())?;
                let bound = listener.local_addr().map_err(|error| error.to_string())?;
                tokio::spawn(self.clone().run(listener, target));
                Ok(format!("listening {bound}"))
            }
            ["link", from, to, fault] => {
                let fault = fault.parse()?;
                self.rules.send_modify(|rules| {
                    rules.push(((*from).to_owned(), (*to).to_owned(), fault));
                });
                Ok("set".to_owned())
            }
            _ => Err(format!("invalid command: {line}")),
        }
    }

    async fn run(self, mut listener: TcpListener, target: Target) {
        let address = listener.local_addr().expect("a bound listener has an address");
        let port = Port { close_requested: Arc::default(), closed: watch::Sender::new(false) };
        loop {
            let accepted = tokio::select! {
                () = port.close_requested.notified() => None,
                accepted = listener.accept() => Some(accepted),
            };
            let Some(accepted) = accepted else {
                drop(listener);
                port.closed.send_replace(true);
                while TcpStream::connect(target.address).await.is_err() {
                    tokio::time::sleep(REOPEN_POLL_INTERVAL).await;
                }
                listener = TcpListener::bind(address)
                    .await
                    .expect("no other process uses the proxy's port");
                port.closed.send_replace(false);
                continue;
            };
            let Ok((client, peer)) = accepted else { continue };
            let sources = self.sources.lock().expect("no holder of the lock panics");
            let from = sources.get(&peer.ip()).cloned().unwrap_or_default();
            let rules = self.rules.subscribe();
            let rules_at_open = rules.borrow().len();
            let link = Link { from, target: target.clone(), rules_at_open, rules };
            match link.current_fault() {
                Fault::Cut => {}
                Fault::Reset => reset(&client),
                _ => {
                    tokio::spawn(forward(client, link, port.clone()));
                }
            }
        }
    }
}

/// Interval at which the proxy checks whether an ended target accepts connections again.
const REOPEN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Port that forwards to a target.
#[derive(Clone)]
struct Port {
    /// Requests that the port be closed.
    close_requested: Arc<Notify>,
    /// Whether the port is closed. It reopens when the target accepts connections.
    closed: watch::Sender<bool>,
}

impl Port {
    /// Closes the port if the target accepts no connection.
    async fn close_if_target_ended(&self, target: &Target) {
        if TcpStream::connect(target.address).await.is_ok() {
            return;
        }
        let mut closed = self.closed.subscribe();
        self.close_requested.notify_one();
        closed.wait_for(|closed| *closed).await.ok();
    }
}

/// Makes the connection end with a reset when it is dropped.
fn reset(stream: &TcpStream) {
    // An error means that the connection has already ended and needs no reset.
    socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO)).ok();
}

async fn forward(client: TcpStream, link: Link, port: Port) {
    let Ok(server) = TcpStream::connect(link.target.address).await else {
        // The client sees a reset, as if the target's port were closed.
        return reset(&client);
    };
    client.set_nodelay(true).ok();
    server.set_nodelay(true).ok();
    let (mut client, mut server, target) = (client, server, link.target.clone());
    let mut cut = link.clone();
    let ended = {
        let (client_read, client_write) = client.split();
        let (server_read, server_write) = server.split();
        tokio::select! {
            () = cut.wait_for(|fault| matches!(fault, Fault::Cut | Fault::Reset)) => {
                cut.current_fault()
            }
            ended = pump(client_read, server_write, Direction::Request, link.clone()) => {
                fault_of(&ended)
            }
            ended = pump(server_read, client_write, Direction::Response, link) => fault_of(&ended),
        }
    };
    if !matches!(cut.current_fault(), Fault::Cut | Fault::Reset) {
        port.close_if_target_ended(&target).await;
    }
    if ended == Fault::Reset {
        reset(&client);
        reset(&server);
    }
}

/// Returns the fault that passes the end of one side on to the other.
fn fault_of(ended: &std::io::Result<()>) -> Fault {
    if ended.is_ok() { Fault::None } else { Fault::Reset }
}

/// Forwards bytes until the connection ends. Returns an error if it ended by a reset.
async fn pump(
    mut from: tcp::ReadHalf<'_>,
    mut to: tcp::WriteHalf<'_>,
    direction: Direction,
    mut link: Link,
) -> std::io::Result<()> {
    let mut buffer = vec![0; 64 * 1024];
    // Nothing is forwarded behind bytes that were dropped.
    let mut lost = false;
    loop {
        let read = from.read(&mut buffer).await;
        if !matches!(read, Ok(1..)) && link.silenced() {
            // The end of a silenced connection is not forwarded either.
            std::future::pending::<()>().await;
        }
        let count = read?;
        if count == 0 {
            return Ok(());
        }
        link.wait_for(|fault| fault != Fault::Freeze).await;
        lost |= link.silenced();
        match link.current_fault() {
            Fault::LoseAnswers if direction == Direction::Response => lost = true,
            Fault::Delay(time) => tokio::time::sleep(time).await,
            _ => {}
        }
        if !lost {
            to.write_all(&buffer[..count]).await?;
        }
    }
}
