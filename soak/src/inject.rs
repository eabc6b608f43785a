//! Injects faults into a running system.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr};
use std::os::unix::process::ExitStatusExt as _;
use std::process::ExitStatus;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use loftcove_tests::system::{SMS, System};
use tokio::net::{TcpListener, TcpSocket};

use crate::check::Breach;
use crate::client;
use crate::plan::{Event, Fault, Harm, Link, Process, Store};

/// Maximum duration of a planned stop: the time that the settings allow, and some more because the
/// machine may be busy.
const STOP_TIMEOUT: Duration = Duration::from_secs(14);

/// Time of the first start in the entries of servers, in Unix milliseconds. Later starts have
/// higher values.
const FIRST_START: u64 = 1_764_720_000_000;

/// Downtime of the store before it restarts from a copy.
const STORE_DOWNTIME: Duration = Duration::from_millis(400);

/// Time within which all gateways reopen their watches after a change.
const REOPEN_TIME: Duration = Duration::from_millis(500);

/// Interval at which processes are checked for their end.
const WATCH_INTERVAL: Duration = Duration::from_millis(50);

/// Maximum time until a process handles SIGHUP and SIGTERM. It takes milliseconds on an idle
/// machine.
const HANDLER_TIMEOUT: Duration = Duration::from_secs(5);

/// Number of log lines of a process that ended by itself that are part of the breach.
const LAST_LINES: usize = 3;

/// How a process was asked to exit.
#[derive(Debug, Clone, Copy)]
enum Asked {
    /// By SIGKILL.
    Kill,
    /// By SIGTERM, after which it has to exit with success.
    Stop,
}

impl Asked {
    /// Returns whether a process that was asked in this way may exit with a status.
    fn explains(self, status: ExitStatus) -> bool {
        match self {
            Asked::Kill => status.signal() == Some(libc::SIGKILL),
            Asked::Stop => status.success(),
        }
    }
}

/// A process that ended by itself.
#[derive(Debug, Clone)]
pub struct Ended {
    process: Process,
    status: ExitStatus,
    log: loftcove_tests::process::Log,
}

impl Ended {
    /// Returns the breach, with the last lines of the log. They may be read only some time after
    /// the end of the process.
    pub fn breach(&self) -> Breach {
        let lines = self.log.lines();
        let last = &lines[lines.len().saturating_sub(LAST_LINES)..];
        Breach::Ended(self.process, self.status, last.join(" | "))
    }
}

/// The end of a replaced process.
struct Exit {
    ended: Ended,
    asked: Asked,
    at: Instant,
    /// Whether it did not exit in time and was killed.
    overdue: bool,
}

/// Another user of a port, until it is dropped.
struct Holder {
    /// Accepts connections and closes them, or keeps the outgoing connection.
    task: tokio::task::JoinHandle<()>,
}

impl Holder {
    /// Uses a port by a listener, or as the local port of an outgoing connection.
    async fn new(address: SocketAddr, listens: bool) -> std::io::Result<Holder> {
        let socket = TcpSocket::new_v4()?;
        // Connections of the killed process may be in TIME-WAIT.
        socket.set_reuseaddr(true)?;
        loftcove_tests::until("the port is free", || async { socket.bind(address).is_ok() }).await;
        if listens {
            let listener = socket.listen(LISTEN_BACKLOG)?;
            let task = tokio::spawn(async move {
                while let Ok(connection) = listener.accept().await {
                    tokio::time::sleep(CLOSE_DELAY).await;
                    drop(connection);
                }
            });
            return Ok(Holder { task });
        }
        // A connection with this option would not keep others from the port.
        socket.set_reuseaddr(false)?;
        // Otherwise the port would be in TIME-WAIT after the connection.
        socket.set_zero_linger()?;
        let server = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let stream = socket.connect(server.local_addr()?).await?;
        let task = tokio::spawn(async move {
            let _held = (server, stream);
            std::future::pending::<()>().await;
        });
        Ok(Holder { task })
    }
}

impl Drop for Holder {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Time until a [`Holder`] closes a connection. Clients connect again at once.
const CLOSE_DELAY: Duration = Duration::from_millis(20);

/// Maximum number of connections that wait until a [`Holder`] closes them.
const LISTEN_BACKLOG: u32 = 64;

/// Duration of a fault of a process.
#[derive(Debug, Clone, Copy)]
pub struct Span {
    /// The process.
    pub process: Process,
    /// Start and end.
    pub time: (Instant, Instant),
    /// Whether the fault was only a planned stop.
    pub planned: bool,
}

/// Injects the events of a plan, and records the faults.
pub struct Injector<'a> {
    system: &'a mut System,
    shared: &'a client::Shared,
    /// Servers whose links have a fault, with its start.
    harmed: BTreeMap<String, Instant>,
    /// Past faults of the links of servers, with their start and end.
    pub harms: Vec<(String, (Instant, Instant))>,
    /// Hosts whose current process was asked to exit.
    asked: BTreeMap<Process, Asked>,
    /// Waits for the ends of replaced processes.
    exits: tokio::task::JoinSet<Exit>,
    /// Other users of ports, by the process that needs them.
    holders: BTreeMap<Process, Holder>,
    /// Processes that have a fault, with its start and whether it is a planned stop.
    busy: BTreeMap<Process, (Instant, bool)>,
    /// Past faults of processes.
    pub spans: Vec<Span>,
    /// Processes that did not exit in time after a planned stop.
    pub overdue: Vec<Process>,
    /// Processes that ended by themselves.
    pub ended: Vec<Ended>,
    /// Processes that did not handle signals in time.
    pub unhandled: Vec<Breach>,
    /// Whether the group is broken.
    broken: bool,
    /// Last start of each restarted server by its id, in Unix milliseconds.
    starts: BTreeMap<String, u64>,
    /// Callers whose requests end servers.
    callers: tokio::task::JoinSet<()>,
    /// Number of ends in each group, and of plain servers, after which the new start was written to
    /// the entry.
    relisted: BTreeMap<Option<u8>, usize>,
}

impl<'a> Injector<'a> {
    /// Returns an injector for a system without faults.
    pub fn new(system: &'a mut System, shared: &'a client::Shared) -> Injector<'a> {
        Injector {
            system,
            shared,
            harmed: BTreeMap::new(),
            asked: BTreeMap::new(),
            exits: tokio::task::JoinSet::new(),
            holders: BTreeMap::new(),
            harms: Vec::new(),
            busy: BTreeMap::new(),
            spans: Vec::new(),
            overdue: Vec::new(),
            ended: Vec::new(),
            unhandled: Vec::new(),
            broken: false,
            starts: BTreeMap::new(),
            callers: tokio::task::JoinSet::new(),
            relisted: BTreeMap::new(),
        }
    }

    /// Begins and ends each event at its time, and then ends the faults that are left.
    pub async fn run(&mut self, events: &[Event]) {
        let start = Instant::now();
        let mut ends: Vec<(Duration, Fault)> = Vec::new();
        let mut next = events.iter().peekable();
        loop {
            ends.sort_by_key(|(at, _)| *at);
            let begin = next.peek().map(|event| event.at);
            let end = ends.first().map(|(at, _)| *at);
            let Some(at) = begin.into_iter().chain(end).min() else { break };
            self.watch_until(start + at).await;
            if end == Some(at) {
                let (_, fault) = ends.remove(0);
                self.end(fault).await;
                continue;
            }
            let Some(event) = next.next() else { break };
            if self.begin(event.fault).await {
                ends.push((event.at + event.lasts, event.fault));
            }
        }
        self.end_all().await;
    }

    /// Begins a fault. Returns whether it must be ended later.
    async fn begin(&mut self, fault: Fault) -> bool {
        match fault {
            Fault::Kill(process)
            | Fault::Pause(process)
            | Fault::Replace(process)
            | Fault::Early(process) => {
                if self.busy.contains_key(&process) {
                    return false;
                }
                self.busy.insert(process, (Instant::now(), false));
                match fault {
                    Fault::Kill(_) => self.kill(process).await,
                    Fault::Pause(_) => self.process(process).signal(libc::SIGSTOP),
                    Fault::Replace(_) => {
                        self.watch();
                        self.process(process).signal(libc::SIGKILL);
                        self.replace(process, Asked::Kill);
                        return false;
                    }
                    _ => {
                        self.kill(process).await;
                        self.restart(process);
                        self.reload(process).await;
                    }
                }
            }
            Fault::Stop(process) | Fault::Overlap(process) => return self.stop(process).await,
            Fault::Occupy { process, port, listens } => {
                if self.busy.contains_key(&process) || self.holders.contains_key(&process) {
                    return false;
                }
                self.busy.insert(process, (Instant::now(), false));
                self.occupy(process, port, listens).await;
            }
            Fault::Freeze(rank) => {
                let process = Process::Sidecar(rank);
                if self.busy.contains_key(&process) {
                    return false;
                }
                self.busy.insert(process, (Instant::now(), false));
                self.begin_harm(server_name(true, rank));
                self.process(process).signal(libc::SIGSTOP);
                self.system.link(&server_name(true, rank), "freeze").await;
            }
            Fault::Reload(process) => {
                if !self.busy.contains_key(&process) {
                    self.reload(process).await;
                }
                return false;
            }
            Fault::Server { rank, number, harm } => {
                self.begin_harm(server_name(rank, number));
                self.system.link(&server_name(rank, number), &harm.text()).await;
            }
            Fault::StoreLink { gateway, harm } => {
                self.system.link(&format!("store-gateway-{gateway}"), &harm.text()).await;
            }
            Fault::Silence(link) => {
                // Only requests in flight at this time are lost or delayed.
                self.begin_harm(link.target());
                self.system.link(&link.target(), "silence").await;
                self.end_harm(&link.target());
                return false;
            }
            Fault::Store(store) => return self.harm_store(store).await,
            Fault::Lose => self.system.store_control("copy").await,
            Fault::Orders => self.system.group_control("/orders?lost=5&late=7").await,
            Fault::Break => {
                self.broken = true;
                self.system.group_control("/break").await;
                self.system.put_rank_entries().await;
            }
            Fault::Shift(expert) => {
                self.system.group_control(&format!("/popular?expert={expert}")).await;
                return false;
            }
            Fault::Configure => {
                self.configure().await;
                return false;
            }
            Fault::Drain(number) => self.list_plain(number, "draining").await,
            Fault::Restart(number) => {
                self.restart_plain(number).await;
                return false;
            }
            Fault::Foreign => self.write_foreign().await,
            Fault::Spoil(number) => {
                let invalid =
                    serde_json::json!({ "service": SMS, "state": "ready", "slots": "12" });
                self.system.put(&format!("servers/plain-{number}"), &invalid).await;
            }
            Fault::Poison { caller, gateway, rank } => {
                self.relist().await;
                let address = self.system.client_address(gateway);
                let key = client::key(self.shared.newest.load(Ordering::Relaxed));
                self.callers.spawn(client::poison(address, caller, rank, key));
                return false;
            }
            Fault::Part { caller, number, gateway, rank } => {
                self.relist().await;
                let harmful = format!("/harmful?part={}", client::part(caller));
                for group in (0..self.system.plan.groups).map(Some).chain([None]) {
                    self.system.servers_control(group, &harmful).await;
                }
                let address = self.system.client_address(gateway);
                let key = client::key(self.shared.newest.load(Ordering::Relaxed));
                self.callers.spawn(client::poison_part(address, (caller, number), rank, key));
                return false;
            }
            Fault::Unlist(number) => {
                self.system.remove(&format!("servers/plain-{number}")).await;
            }
            Fault::Shed { rank, number, each, rest } => {
                self.shed(rank, number, each, rest).await;
            }
            Fault::Limit { rank, number, rate } => self.limit(rank, number, rate).await,
            Fault::Leave(number) => self.announce_leaving(number, true).await,
            Fault::Keys(batch) => {
                batch.write(self.system).await;
                if batch.restarts {
                    self.restart_all().await;
                }
            }
            Fault::Endings => {
                self.shared.endings.fetch_add(1, Ordering::Relaxed);
            }
        }
        true
    }

    async fn harm_store(&mut self, store: Store) -> bool {
        match store {
            Store::Silent => self.system.store_control("fault/silent").await,
            Store::Down => self.system.store_control("fault/down").await,
            Store::Slow => self.system.store_control("fault/slow").await,
            Store::LoseWrite => self.system.store_control("fault/lose-write").await,
            Store::Compact => self.system.store_control("compact").await,
            // All gateways connect to the store through the proxy, and so from one address.
            // Therefore the proxy resets the connections of the one gateway.
            Store::Deny(gateway) => {
                self.system.link(&format!("store-gateway-{gateway}"), "reset").await;
            }
        }
        store != Store::Compact
    }

    async fn end(&mut self, fault: Fault) {
        match fault {
            Fault::Kill(process) => self.restart(process),
            Fault::Pause(process) => {
                self.process(process).signal(libc::SIGCONT);
                self.finish(process);
            }
            Fault::Stop(process) => self.await_stop(process).await,
            Fault::Overlap(process) => self.overlap(process).await,
            Fault::Early(process) => {
                if self.stop(process).await {
                    self.overlap(process).await;
                }
            }
            Fault::Occupy { process, .. } => {
                self.holders.remove(&process);
            }
            Fault::Freeze(rank) => {
                let process = Process::Sidecar(rank);
                self.process(process).signal(libc::SIGCONT);
                self.system.link(&server_name(true, rank), "none").await;
                self.end_harm(&server_name(true, rank));
                self.finish(process);
            }
            Fault::Server { rank, number, .. } => {
                self.system.link(&server_name(rank, number), "none").await;
                self.end_harm(&server_name(rank, number));
            }
            Fault::Shed { rank, number, .. } => self.shed(rank, number, 0, "").await,
            Fault::Limit { rank, number, .. } => self.limit(rank, number, "").await,
            Fault::Leave(number) => self.restart_plain(number).await,
            Fault::Endings => {
                self.shared.endings.fetch_sub(1, Ordering::Relaxed);
            }
            Fault::StoreLink { gateway, .. } | Fault::Store(Store::Deny(gateway)) => {
                self.system.link(&format!("store-gateway-{gateway}"), "none").await;
            }
            Fault::Store(_) => self.system.store_control("fault/none").await,
            Fault::Lose => self.system.restore_store(STORE_DOWNTIME).await,
            Fault::Orders => self.system.group_control("/orders").await,
            Fault::Keys(batch) => batch.remove(self.system).await,
            Fault::Break if self.broken => self.mend().await,
            Fault::Drain(number) | Fault::Unlist(number) | Fault::Spoil(number) => {
                self.list_plain(number, "ready").await;
            }
            Fault::Foreign => {
                for number in 0..foreign().len() {
                    self.system.remove(&format!("servers/foreign-{number}")).await;
                }
            }
            Fault::Break
            | Fault::Reload(_)
            | Fault::Replace(_)
            | Fault::Shift(_)
            | Fault::Silence(_)
            | Fault::Poison { .. }
            | Fault::Part { .. }
            | Fault::Restart(_)
            | Fault::Configure => {}
        }
    }

    /// Makes a server shed requests. It sheds none if `each` is zero.
    async fn shed(&mut self, rank: bool, number: u8, each: u8, rest: &str) {
        let server = server_name(rank, number);
        let what = format!("/shed?server={server}&each={each}&rest={rest}");
        self.system.servers_control(self.group(rank, number), &what).await;
    }

    /// Makes a server announce a rate limit. It announces none if `rate` is empty.
    async fn limit(&mut self, rank: bool, number: u8, rate: &str) {
        let what = format!("/limit?server={}&rate={rate}", server_name(rank, number));
        self.system.servers_control(self.group(rank, number), &what).await;
    }

    /// Makes a plain server announce that it is leaving, or begin another run.
    async fn announce_leaving(&mut self, number: u8, on: bool) {
        let server = server_name(false, number);
        let what = format!("/leave?server={server}&on={}", u8::from(on));
        self.system.servers_control(None, &what).await;
    }

    /// Returns the lock-step group of a rank, or `None` for a plain server.
    fn group(&self, rank: bool, number: u8) -> Option<u8> {
        let plan = &self.system.plan;
        rank.then(|| number / plan.ranks.div_ceil(plan.groups))
    }

    fn begin_harm(&mut self, server: String) {
        self.harmed.entry(server).or_insert_with(Instant::now);
    }

    fn end_harm(&mut self, server: &str) {
        if let Some(since) = self.harmed.remove(server) {
            self.harms.push((server.to_owned(), (since, Instant::now())));
        }
    }

    /// Detects processes that ended by themselves and restarts them, as the platform does, and
    /// records the ends of replaced processes.
    fn watch(&mut self) {
        let asked = self.asked.keys().copied().collect();
        self.ended.extend(restart_ended(self.system, &asked));
        while let Some(exit) = self.exits.try_join_next() {
            self.record_exit(exit.expect("no task that waits for a process panics"));
        }
    }

    /// Watches the processes until a time.
    async fn watch_until(&mut self, until: Instant) {
        loop {
            self.watch();
            let now = Instant::now();
            if now >= until {
                return;
            }
            tokio::time::sleep_until(until.min(now + WATCH_INTERVAL).into()).await;
        }
    }

    fn record_exit(&mut self, exit: Exit) {
        let Exit { ended, asked, at, overdue } = exit;
        if overdue {
            self.overdue.push(ended.process);
        } else if !asked.explains(ended.status) {
            self.ended.push(ended.clone());
        }
        self.finish_at(ended.process, at);
    }

    /// Kills a process, which the caller restarts, and waits until it has exited.
    async fn kill(&mut self, process: Process) {
        self.watch();
        self.process(process).kill().await;
        self.asked.insert(process, Asked::Kill);
        self.record_status(process);
    }

    /// Records a process that has exited, unless it was asked to exit in this way.
    fn record_status(&mut self, process: Process) {
        let asked = self.asked.get(&process).copied();
        let child = self.process(process);
        let log = child.log_handle();
        let Some(status) = child.exit_status() else { return };
        if !asked.is_some_and(|asked| asked.explains(status)) {
            self.ended.push(Ended { process, status, log });
        }
    }

    /// Kills all processes without a fault, and then restarts them, so that none takes its state
    /// from a peer that kept it.
    async fn restart_all(&mut self) {
        let gateways = (0..self.system.plan.gateways).map(Process::Gateway);
        let sidecars = (0..self.system.plan.ranks).map(Process::Sidecar);
        let idle = gateways.chain(sidecars).filter(|process| !self.busy.contains_key(process));
        let idle: Vec<Process> = idle.collect();
        for &process in &idle {
            self.busy.insert(process, (Instant::now(), false));
            self.kill(process).await;
        }
        for process in idle {
            self.restart(process);
        }
    }

    /// Starts the next process without waiting for the end of the current one, which was asked to
    /// exit. The fault ends when the current one has exited.
    fn replace(&mut self, process: Process, asked: Asked) {
        let mut replaced = match process {
            Process::Gateway(number) => self.system.replace_gateway(number),
            Process::Sidecar(rank) => self.system.replace_sidecar(rank),
        };
        self.asked.remove(&process);
        self.exits.spawn(async move {
            let exit = tokio::time::timeout(STOP_TIMEOUT, replaced.wait_status()).await;
            let overdue = exit.is_err();
            let status = match exit {
                Ok(status) => status,
                Err(_) => {
                    replaced.signal(libc::SIGKILL);
                    replaced.wait_status().await
                }
            };
            let ended = Ended { process, status, log: replaced.log_handle() };
            Exit { ended, asked, at: Instant::now(), overdue }
        });
    }

    /// Waits until a process handles signals, and returns whether it does. By default they end a
    /// process, and a program cannot prevent that before its own code runs.
    async fn handles_signals(&mut self, process: Process) -> bool {
        let start = Instant::now();
        loop {
            let child = self.process(process);
            if child.handles(libc::SIGHUP) && child.handles(libc::SIGTERM) {
                return true;
            }
            if child.exit_status().is_some() {
                return false;
            }
            if start.elapsed() > HANDLER_TIMEOUT {
                self.unhandled.push(Breach::Unhandled(process, start.elapsed()));
                return false;
            }
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    }

    /// Sends the signal to reload the settings as soon as a process handles it.
    async fn reload(&mut self, process: Process) {
        if self.handles_signals(process).await {
            self.process(process).signal(libc::SIGHUP);
        }
    }

    /// Starts the next process while the current one, which has received SIGTERM, stops. Both
    /// receive the signal to reload their settings.
    async fn overlap(&mut self, process: Process) {
        self.process(process).signal(libc::SIGHUP);
        self.replace(process, Asked::Stop);
        self.reload(process).await;
    }

    /// Begins a planned stop. Returns `false` if the process has a fault.
    async fn stop(&mut self, process: Process) -> bool {
        self.watch();
        if self.busy.contains_key(&process) || !self.handles_signals(process).await {
            return false;
        }
        self.busy.insert(process, (Instant::now(), true));
        self.asked.insert(process, Asked::Stop);
        self.process(process).signal(libc::SIGTERM);
        true
    }

    /// Restarts a killed process while one of its ports is in use, until [`Injector::end`].
    async fn occupy(&mut self, process: Process, port: u8, listens: bool) {
        self.kill(process).await;
        let addresses = match process {
            Process::Gateway(number) => self.system.gateway_addresses(number).to_vec(),
            Process::Sidecar(rank) => self.system.sidecar_addresses(rank).to_vec(),
        };
        let address = addresses[usize::from(port) % addresses.len()];
        let holder =
            Holder::new(address, listens).await.expect("the port of a killed process is free");
        self.holders.insert(process, holder);
        self.restart(process);
    }

    /// Makes all gateways lose their watches at once. The store does not answer when they reopen
    /// their watches after a new configuration, and open connections to it are silenced.
    async fn lose_watches(&mut self) {
        self.configure().await;
        self.system.store_control("fault/silent").await;
        tokio::time::sleep(REOPEN_TIME).await;
        for gateway in 0..self.system.plan.gateways {
            self.system.link(&format!("store-gateway-{gateway}"), "silence").await;
        }
    }

    /// Ends all faults that have not ended. Injects one more fault before the last configuration,
    /// which all gateways must apply in time.
    async fn end_all(&mut self) {
        while self.callers.join_next().await.is_some() {}
        while let Some(exit) = self.exits.join_next().await {
            self.record_exit(exit.expect("no task that waits for a process panics"));
            self.watch();
        }
        self.relist().await;
        self.system.link("*", "none").await;
        self.lose_watches().await;
        self.system.store_control("fault/none").await;
        self.system.group_control("/orders").await;
        if self.broken {
            self.mend().await;
        }
        self.configure().await;
    }

    async fn mend(&mut self) {
        self.broken = false;
        self.system.group_control("/mend").await;
        self.system.put_rank_entries().await;
    }

    async fn configure(&mut self) {
        let number = self.shared.newest.load(Ordering::Relaxed) + 1;
        // The previous key stays valid, so that not all clients are rejected.
        let keys = [client::key(number), client::key(number - 1)];
        let keys: Vec<&str> = keys.iter().map(String::as_str).collect();
        self.system.configure(number, &keys).await;
        self.shared.newest.store(number, Ordering::Relaxed);
    }

    async fn list_plain(&mut self, number: u8, state: &str) {
        let address = self.system.plain_address(number);
        let id = format!("plain-{number}");
        match self.starts.get(&id) {
            Some(born) if state == "ready" => {
                self.system.put_entry_of_run(&id, SMS, address, *born).await;
            }
            _ => self.system.put_entry(&id, SMS, address, state).await,
        }
    }

    async fn restart_plain(&mut self, number: u8) {
        let id = server_name(false, number);
        let born = self.starts.entry(id.clone()).or_insert(FIRST_START);
        *born += 1;
        let born = *born;
        let address = self.system.plain_address(number);
        // The notices of the earlier run end before any process receives the entry of the new run.
        self.announce_leaving(number, false).await;
        self.system.link(&id, "reset").await;
        self.system.put_entry_of_run(&id, SMS, address, born).await;
        self.system.link(&server_name(false, number), "none").await;
    }

    /// Writes the entries of servers that ended under a request and have restarted.
    async fn relist(&mut self) {
        for group in (0..self.system.plan.groups).map(Some).chain([None]) {
            let ends = self.system.ends(group).await;
            let listed = std::mem::replace(self.relisted.entry(group).or_default(), ends.len());
            for end in &ends[listed..] {
                let id = end["server"].as_str().expect("an end names its server");
                let born = self.starts.entry(id.to_owned()).or_insert(FIRST_START);
                *born += 1;
                self.system.wait_restarted(id, *born).await;
            }
        }
    }

    async fn write_foreign(&mut self) {
        for (number, entry) in foreign().into_iter().enumerate() {
            self.system.put(&format!("servers/foreign-{number}"), &entry).await;
        }
    }

    fn process(&mut self, process: Process) -> &mut loftcove_tests::process::Process {
        match process {
            Process::Gateway(number) => &mut self.system.gateways[usize::from(number)],
            Process::Sidecar(rank) => &mut self.system.sidecars[usize::from(rank)],
        }
    }

    /// Waits until a process exits after a planned stop, and restarts it.
    async fn await_stop(&mut self, process: Process) {
        let end = Instant::now() + STOP_TIMEOUT;
        while !self.process(process).has_exited() {
            if Instant::now() > end {
                self.overdue.push(process);
                self.process(process).kill().await;
                self.asked.insert(process, Asked::Kill);
                break;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
            self.watch();
        }
        self.record_status(process);
        self.restart(process);
    }

    fn restart(&mut self, process: Process) {
        start(self.system, process);
        self.asked.remove(&process);
        self.finish(process);
    }

    /// Records the end of the fault of a process.
    fn finish(&mut self, process: Process) {
        self.finish_at(process, Instant::now());
    }

    fn finish_at(&mut self, process: Process, end: Instant) {
        if let Some((since, planned)) = self.busy.remove(&process) {
            self.spans.push(Span { process, time: (since, end), planned });
        }
    }
}

/// Starts the next process of a host.
fn start(system: &mut System, process: Process) {
    match process {
        Process::Gateway(number) => system.start_gateway(number),
        Process::Sidecar(rank) => system.start_sidecar(rank),
    }
}

/// Restarts the processes that have exited, except those that were asked to, and returns them.
pub fn restart_ended(system: &mut System, asked: &BTreeSet<Process>) -> Vec<Ended> {
    let gateways = system.gateways.iter_mut().zip(0..);
    let gateways = gateways.map(|(child, number)| (Process::Gateway(number), child));
    let sidecars = system.sidecars.iter_mut().zip(0..);
    let sidecars = sidecars.map(|(child, rank)| (Process::Sidecar(rank), child));
    let not_asked = gateways.chain(sidecars).filter(|(process, _)| !asked.contains(process));
    let ended = not_asked.filter_map(|(process, child)| {
        let status = child.exit_status()?;
        Some(Ended { process, status, log: child.log_handle() })
    });
    let ended: Vec<Ended> = ended.collect();
    ended.iter().for_each(|ended| start(system, ended.process));
    ended
}

/// Writes the entries of all plain servers with the times of their starts, so that each later start
/// counts as another run.
pub async fn write_starts(system: &System) {
    for number in 0..system.plan.plain {
        let (id, address) = (server_name(false, number), system.plain_address(number));
        system.put_entry_of_run(&id, SMS, address, FIRST_START).await;
    }
}

/// Returns entries of another writer. Each one belongs to the plain service or the group, has an
/// address on which no process listens, and is invalid.
fn foreign() -> Vec<serde_json::Value> {
    use serde_json::json;
    let valid = json!({
        "service": SMS, "address": "127.0.0.1:9", "zone": "norte", "version": "v1",
        "slots": 12, "state": "ready", "cold_left_ms": 0, "seq": 1,
    });
    let with = |field: &str, value: serde_json::Value| {
        let mut entry = valid.clone();
        entry[field] = value;
        entry
    };
    vec![
        json!(null),
        json!([valid.clone()]),
        json!({ "service": SMS, "address": "127.0.0.1:9" }),
        json!("x".repeat(100_000)),
        with("state", json!("cordoned")),
        with("slots", json!(-1)),
        with("born", json!("yesterday")),
        with("zone", json!(7)),
        with("group", json!({ "name": "modelo-0", "epoch": 99, "state": "broken" })),
    ]
}

impl Link {
    /// Returns the proxy's name of the target.
    fn target(self) -> String {
        match self {
            Link::Store(Process::Gateway(number)) => format!("store-gateway-{number}"),
            Link::Store(Process::Sidecar(rank)) => format!("store-sidecar-{rank}"),
            Link::Sidecar(rank) => format!("sidecar-{rank}"),
            Link::Rank(rank) => server_name(true, rank),
            Link::Plain(number) => server_name(false, number),
        }
    }
}

impl Harm {
    /// Returns the proxy's name of the fault.
    fn text(self) -> String {
        match self {
            Harm::Cut => "cut".to_owned(),
            Harm::Reset => "reset".to_owned(),
            Harm::Silence => "freeze".to_owned(),
            Harm::LoseAnswers => "lose-answers".to_owned(),
            Harm::Delay(ms) => format!("delay={ms}"),
        }
    }
}

fn server_name(rank: bool, number: u8) -> String {
    format!("{}-{number}", if rank { "rank" } else { "plain" })
}
