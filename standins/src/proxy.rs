//! A fault-injecting TCP proxy between any two processes.
//!
//! Lines on standard input control it; each is confirmed by one line:
//!
//! - `source ZONE IP`: connections from that address come from the zone.
//! - `target LABEL ZONE ADDRESS [LISTEN]`: opens a port before the address, at
//!   the address LISTEN if given; answers `listening PORT-ADDRESS`.
//! - `link FROM TO FAULT`: sets the [`Fault`] of connections from a zone (or
//!   `*`) to a label or a zone (or `*`).
//!
//! A target that has ended takes no connection, and neither does the proxy
//! before it: it closes its port before the connections that the end broke.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::str::FromStr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream, tcp};
use tokio::sync::{Notify, watch};

/// What the proxy does to traffic.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Passes everything on.
    None,
    /// Delays each part by that time.
    Delay(Duration),
    /// Closes every connection and takes no new one.
    Cut,
    /// The same by resets.
    Reset,
    /// Passes requests on and drops answers, those that come later on the same
    /// connection as well.
    LoseAnswers,
    /// Holds everything, both ways, until another fault is set.
    Freeze,
    /// Drops everything, both ways and for good, on the connections that are open
    /// when this is set, and leaves them open. New ones pass.
    Silence,
}

impl FromStr for Fault {
    type Err = String;

    fn from_str(text: &str) -> Result<Fault, String> {
        if let Some(ms) = text.strip_prefix("delay=") {
            let ms = ms.parse().map_err(|_| format!("not a time: {ms}"))?;
            return Ok(Fault::Delay(Duration::from_millis(ms)));
        }
        match text {
            "none" => Ok(Fault::None),
            "cut" => Ok(Fault::Cut),
            "reset" => Ok(Fault::Reset),
            "lose-answers" => Ok(Fault::LoseAnswers),
            "freeze" => Ok(Fault::Freeze),
            "silence" => Ok(Fault::Silence),
            other => Err(format!("not a fault: {other}")),
        }
    }
}

/// Which way a part goes.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Way {
    Request,
    Answer,
}

/// From where, to where, and what is done.
type Rule = (String, String, Fault);
type Rules = Vec<Rule>;

/// The proxy.
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

/// Where a connection goes.
#[derive(Clone)]
struct Target {
    label: String,
    zone: String,
    address: SocketAddr,
}

/// One connection's view of the rules.
#[derive(Clone)]
struct Link {
    from: String,
    target: Target,
    /// Rules that were set before the connection was opened.
    before: usize,
    rules: watch::Receiver<Rules>,
}

impl Link {
    fn matches(&self, (from, to, _): &Rule) -> bool {
        let from_fits = *from == "*" || *from == self.from;
        let to_fits = *to == "*" || *to == self.target.label || *to == self.target.zone;
        from_fits && to_fits
    }

    /// The last rule that matches. One that silences is for the connections of
    /// its time alone; see [`Link::silenced`].
    fn fault(&self, rules: &Rules) -> Fault {
        let matching = rules.iter().rev().filter(|rule| self.matches(rule));
        let lasting = matching.map(|rule| rule.2).find(|fault| *fault != Fault::Silence);
        lasting.unwrap_or(Fault::None)
    }

    /// Whether the connection was silenced since it was opened.
    fn silenced(&self) -> bool {
        let rules = self.rules.borrow();
        let since = rules.iter().skip(self.before);
        since.filter(|rule| self.matches(rule)).any(|rule| rule.2 == Fault::Silence)
    }

    fn present(&self) -> Fault {
        let rules = self.rules.borrow();
        self.fault(&rules)
    }

    async fn until(&mut self, wanted: impl Fn(Fault) -> bool) {
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
            _ => Err(format!("not a line: {line}")),
        }
    }

    async fn run(self, mut listener: TcpListener, target: Target) {
        let address = listener.local_addr().expect("a bound listener has an address");
        let port = Port { asked: Arc::default(), closed: watch::Sender::new(false) };
        loop {
            let accepted = tokio::select! {
                () = port.asked.notified() => None,
                accepted = listener.accept() => Some(accepted),
            };
            let Some(accepted) = accepted else {
                drop(listener);
                port.closed.send_replace(true);
                while TcpStream::connect(target.address).await.is_err() {
                    tokio::time::sleep(REVIVAL_POLL).await;
                }
                listener = TcpListener::bind(address).await.expect("the port is the proxy's own");
                port.closed.send_replace(false);
                continue;
            };
            let Ok((client, peer)) = accepted else { continue };
            let sources = self.sources.lock().expect("no holder of the lock panics");
            let from = sources.get(&peer.ip()).cloned().unwrap_or_default();
            let rules = self.rules.subscribe();
            let before = rules.borrow().len();
            let link = Link { from, target: target.clone(), before, rules };
            match link.present() {
                Fault::Cut => {}
                Fault::Reset => reset(&client),
                _ => {
                    tokio::spawn(pass(client, link, port.clone()));
                }
            }
        }
    }
}

/// Time between two looks whether a target that has ended is back.
const REVIVAL_POLL: Duration = Duration::from_millis(20);

/// The port before a target.
#[derive(Clone)]
struct Port {
    /// Asks for it to be closed.
    asked: Arc<Notify>,
    /// Whether it is, until the target is back.
    closed: watch::Sender<bool>,
}

impl Port {
    /// Closes the port if the target takes no connection.
    async fn follow(&self, target: &Target) {
        if TcpStream::connect(target.address).await.is_ok() {
            return;
        }
        let mut closed = self.closed.subscribe();
        self.asked.notify_one();
        closed.wait_for(|closed| *closed).await.ok();
    }
}

/// Has the connection end with a reset when it is dropped.
fn reset(stream: &TcpStream) {
    // A connection that has ended already needs none.
    socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO)).ok();
}

async fn pass(client: TcpStream, link: Link, port: Port) {
    let Ok(server) = TcpStream::connect(link.target.address).await else {
        // As if the port were dead.
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
            () = cut.until(|fault| matches!(fault, Fault::Cut | Fault::Reset)) => cut.present(),
            () = pump(client_read, server_write, Way::Request, link.clone()) => Fault::None,
            () = pump(server_read, client_write, Way::Answer, link) => Fault::None,
        }
    };
    if ended == Fault::None {
        port.follow(&target).await;
    }
    if ended == Fault::Reset {
        reset(&client);
        reset(&server);
    }
}

async fn pump(mut from: tcp::ReadHalf<'_>, mut to: tcp::WriteHalf<'_>, way: Way, mut link: Link) {
    let mut buffer = vec![0; 64 * 1024];
    // A connection never goes on behind bytes that were lost.
    let mut lost = false;
    loop {
        let Ok(count @ 1..) = from.read(&mut buffer).await else {
            // The end of a silenced connection is not told either.
            if link.silenced() {
                std::future::pending().await
            }
            return;
        };
        link.until(|fault| fault != Fault::Freeze).await;
        lost |= link.silenced();
        match link.present() {
            Fault::LoseAnswers if way == Way::Answer => lost = true,
            Fault::Delay(time) => tokio::time::sleep(time).await,
            _ => {}
        }
        if !lost && to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}
