//! Carries faults out.

use std::collections::BTreeMap;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use loftcove_tests::system::{SMS, System};

use crate::client;
use crate::plan::{Event, Fault, Harm, Link, Process, Store};

/// Longest time that a planned stop may take: the time that the settings give,
/// and some for a machine that is busy.
const STOP_TIME: Duration = Duration::from_secs(14);

/// First start that an entry tells, Unix milliseconds; later ones are higher.
const FIRST_START: u64 = 1_764_720_000_000;

/// Time for which the store is away before it comes back from a copy.
const AWAY: Duration = Duration::from_millis(400);

/// Time in which all gateways open their watches again after a change.
const REOPEN_TIME: Duration = Duration::from_millis(500);

/// A span in which something was done to a process.
#[derive(Debug, Clone, Copy)]
pub struct Span {
    /// The process.
    pub process: Process,
    /// From when to when.
    pub time: (Instant, Instant),
    /// Whether it was a planned stop or a reload and nothing worse.
    pub planned: bool,
}

/// What is being done to the processes.
pub struct Injector<'a> {
    system: &'a mut System,
    shared: &'a client::Shared,
    /// Servers whose links are being harmed, since when.
    harmed: BTreeMap<String, Instant>,
    /// Times in which the links of servers were harmed.
    pub harms: Vec<(String, (Instant, Instant))>,
    /// Processes that were told of changed settings, since when.
    reloaded: BTreeMap<Process, Instant>,
    /// Processes that something is being done to, since when, and whether it is planned.
    busy: BTreeMap<Process, (Instant, bool)>,
    /// What was done.
    pub spans: Vec<Span>,
    /// Planned stops that took too long.
    pub overdue: Vec<Process>,
    /// Whether the group is broken.
    broken: bool,
    /// When servers that started again did so, by their ids, Unix milliseconds.
    starts: BTreeMap<String, u64>,
    /// Callers of requests that end their servers.
    callers: tokio::task::JoinSet<()>,
    /// Ends in each group, and of plain servers, whose new start is listed.
    relisted: BTreeMap<Option<u8>, usize>,
}

impl<'a> Injector<'a> {
    /// An injector for a system in which nothing is wrong.
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

    /// Carries the events out, each at its time, and ends what has not ended.
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
            self.revive();
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
        self.calm().await;
    }

    /// Begins a fault; returns whether it is to be ended.
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
                self.harm(server_name(true, rank));
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
                self.harm(server_name(rank, number));
                self.system.link(&server_name(rank, number), &harm.text()).await;
            }
            Fault::StoreLink { gateway, harm } => {
                self.system.link(&format!("store-gateway-{gateway}"), &harm.text()).await;
            }
            Fault::Silence(link) => {
                // What is under way at that time is lost or late, and nothing later.
                self.harm(link.target());
                self.system.link(&link.target(), "silence").await;
                self.unharm(&link.target());
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
                let spoilt = serde_json::json!({ "service": SMS, "state": "ready", "slots": "12" });
                self.system.put(&format!("servers/plain-{number}"), &spoilt).await;
            }
            Fault::Poison { caller, gateway, rank } => {
                self.relist().await;
                let address = self.system.client_address(gateway);
                let key = client::key(self.shared.newest.load(Ordering::Relaxed));
                self.callers.spawn(client::poison(address, caller, rank, key));
                return false;
            }
            Fault::Unlist(number) => {
                self.system.remove(&format!("servers/plain-{number}")).await;
            }
            Fault::Shed { rank, number, each, rest } => {
                self.shed(rank, number, each, rest).await;
            }
            Fault::Limit { rank, number, rate } => self.limit(rank, number, rate).await,
            Fault::Leave(number) => self.say_leaving(number, true).await,
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
            // All gateways reach the store through the proxy, from one address.
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
                self.done(process);
            }
            Fault::Stop(process) => self.await_stop(process).await,
            Fault::Freeze(rank) => {
                let process = Process::Sidecar(rank);
                self.process(process).signal(libc::SIGCONT);
                self.system.link(&server_name(true, rank), "none").await;
                self.unharm(&server_name(true, rank));
                self.done(process);
            }
            Fault::Server { rank, number, .. } => {
                self.system.link(&server_name(rank, number), "none").await;
                self.unharm(&server_name(rank, number));
            }
            Fault::Shed { rank, number, .. } => self.shed(rank, number, 0, "").await,
            Fault::Limit { rank, number, .. } => self.limit(rank, number, "").await,
            Fault::Leave(number) => self.restart_plain(number).await,
            Fault::StoreLink { gateway, .. } | Fault::Store(Store::Deny(gateway)) => {
                self.system.link(&format!("store-gateway-{gateway}"), "none").await;
            }
            Fault::Store(_) => self.system.store_control("fault/none").await,
            Fault::Lose => self.system.restore_store(AWAY).await,
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
            | Fault::Restart(_)
            | Fault::Configure => {}
        }
    }

    /// Has a server shed requests; none where `each` is zero.
    async fn shed(&mut self, rank: bool, number: u8, each: u8, rest: &str) {
        let server = server_name(rank, number);
        let what = format!("/shed?server={server}&each={each}&rest={rest}");
        self.system.servers_control(self.group(rank, number), &what).await;
    }

    /// Has a server name a rate limit; none where it is empty.
    async fn limit(&mut self, rank: bool, number: u8, rate: &str) {
        let what = format!("/limit?server={}&rate={rate}", server_name(rank, number));
        self.system.servers_control(self.group(rank, number), &what).await;
    }

    /// Has a plain server say that it leaves, or begin another run.
    async fn say_leaving(&mut self, number: u8, on: bool) {
        let server = server_name(false, number);
        let what = format!("/leave?server={server}&on={}", u8::from(on));
        self.system.servers_control(None, &what).await;
    }

    /// The lock-step group of a rank; none of a plain server.
    fn group(&self, rank: bool, number: u8) -> Option<u8> {
        let plan = &self.system.plan;
        rank.then(|| number / plan.ranks.div_ceil(plan.groups))
    }

    fn harm(&mut self, server: String) {
        self.harmed.entry(server).or_insert_with(Instant::now);
    }

    fn unharm(&mut self, server: &str) {
        if let Some(since) = self.harmed.remove(server) {
            self.harms.push((server.to_owned(), (since, Instant::now())));
        }
    }

    /// Starts processes again, as the platform does, that a hangup ended: one that
    /// comes before a process has begun to receive signals does so. A process
    /// that ends in any other way stays away, which the checks in the end show.
    fn revive(&mut self) {
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

    /// Lets all gateways lose their watches at once: the store is silent when they open their
    /// watches again after a configuration, and what is open to it falls silent.
    async fn lose_watches(&mut self) {
        self.configure().await;
        self.system.store_control("fault/silent").await;
        tokio::time::sleep(REOPEN_TIME).await;
        for gateway in 0..self.system.plan.gateways {
            self.system.link(&format!("store-gateway-{gateway}"), "silence").await;
        }
    }

    /// Ends whatever was not ended, so that all is well again, with one more fault
    /// before the configuration that is to be in force in time.
    async fn calm(&mut self) {
        while self.callers.join_next().await.is_some() {}
        self.revive();
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
        // The one before is still taken, so that clients are not all refused.
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
        // What its earlier run asked for is over before anybody hears of the new one.
        self.say_leaving(number, false).await;
        self.system.link(&id, "reset").await;
        self.system.put_entry_of_run(&id, SMS, address, born).await;
        self.system.link(&server_name(false, number), "none").await;
    }

    /// Writes the entries of servers that ended under a request and are back.
    async fn relist(&mut self) {
        for group in (0..self.system.plan.groups).map(Some).chain([None]) {
            let ends = self.system.ends(group).await;
            let seen = std::mem::replace(self.relisted.entry(group).or_default(), ends.len());
            for end in &ends[seen..] {
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

    /// Waits for the end of a planned stop, and starts the process again.
    async fn await_stop(&mut self, process: Process) {
        let end = Instant::now() + STOP_TIME;
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
        self.done(process);
    }

    fn done(&mut self, process: Process) {
        if let Some((since, planned)) = self.busy.remove(&process) {
            self.spans.push(Span { process, time: (since, Instant::now()), planned });
        }
    }
}

/// Writes the entries of all plain servers with the times of their starts, so that
/// each later start is another run.
pub async fn tell_starts(system: &System) {
    for number in 0..system.plan.plain {
        let (id, address) = (server_name(false, number), system.plain_address(number));
        system.put_entry_of_run(&id, SMS, address, FIRST_START).await;
    }
}

/// Entries of another writer. Each names the plain service or the group, at an
/// address where nobody listens, and none is whole.
fn foreign() -> Vec<serde_json::Value> {
    use serde_json::json;
    let whole = json!({
        "service": SMS, "address": "127.0.0.1:9", "zone": "norte", "version": "v1",
        "slots": 12, "state": "ready", "cold_left_ms": 0, "seq": 1,
    });
    let with = |field: &str, value: serde_json::Value| {
        let mut entry = whole.clone();
        entry[field] = value;
        entry
    };
    vec![
        json!(null),
        json!([whole.clone()]),
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
    /// The proxy's target.
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
    /// The proxy's word for it.
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
