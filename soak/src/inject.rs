//! Injects faults into a running system.

use std::collections::BTreeMap;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use loftcove_tests::system::{SMS, System};

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
    /// Processes to which a reload signal was sent, with the time.
    reloaded: BTreeMap<Process, Instant>,
    /// Processes that have a fault, with its start and whether it is a planned stop.
    busy: BTreeMap<Process, (Instant, bool)>,
    /// Past faults of processes.
    pub spans: Vec<Span>,
    /// Processes that did not exit in time after a planned stop.
    pub overdue: Vec<Process>,
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
            reloaded: BTreeMap::new(),
            harms: Vec::new(),
            busy: BTreeMap::new(),
            spans: Vec::new(),
            overdue: Vec::new(),
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
            tokio::time::sleep_until((start + at).into()).await;
            self.restart_hung_up();
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
            Fault::Kill(process) | Fault::Pause(process) | Fault::Stop(process) => {
                if self.busy.contains_key(&process) {
                    return false;
                }
                let planned = matches!(fault, Fault::Stop(_));
                self.busy.insert(process, (Instant::now(), planned));
                match fault {
                    Fault::Kill(_) => self.process(process).kill().await,
                    Fault::Pause(_) => self.process(process).signal(libc::SIGSTOP),
                    _ => self.process(process).signal(libc::SIGTERM),
                }
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
                    self.process(process).signal(libc::SIGHUP);
                    self.reloaded.insert(process, Instant::now());
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

    /// Restarts processes that the reload signal (SIGHUP) ended, as the platform does. The signal
    /// ends a process that has not installed its signal handlers yet. A process that exits for any
    /// other reason is not restarted, and the checks at the end of the run detect it.
    fn restart_hung_up(&mut self) {
        let reloaded: Vec<(Process, Instant)> =
            self.reloaded.iter().map(|(process, since)| (*process, *since)).collect();
        for (process, since) in reloaded {
            let hung_up = self.process(process).exit_signal() == Some(libc::SIGHUP);
            if hung_up && !self.busy.contains_key(&process) {
                self.busy.insert(process, (since, false));
                self.restart(process);
            }
        }
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
        self.restart_hung_up();
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
                break;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        self.restart(process);
    }

    fn restart(&mut self, process: Process) {
        match process {
            Process::Gateway(number) => self.system.start_gateway(number),
            Process::Sidecar(rank) => self.system.start_sidecar(rank),
        }
        self.finish(process);
    }

    /// Records the end of the fault of a process.
    fn finish(&mut self, process: Process) {
        if let Some((since, planned)) = self.busy.remove(&process) {
            self.spans.push(Span { process, time: (since, Instant::now()), planned });
        }
    }
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
