//! Runs one seed.

use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use loftcove_tests::failure;
use loftcove_tests::request::{Arrival, Request};
use loftcove_tests::system::{BOUND, Plan, RETRIES, System};
use loftcove_tests::visits::Allowance;

use crate::check::{self, Breach, Evidence};
use crate::inject::Injector;
use crate::{client, inject, plan, sender};

/// Maximum time until the system has recovered after the faults. By then, the leases of drivers and
/// the deferred entries have expired.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(30);

/// Result of a run.
#[derive(Debug)]
pub struct Report {
    /// Seed of the run.
    pub seed: u64,
    /// Size of the system.
    pub size: plan::Size,
    /// Policy of the callers.
    pub callers: client::Policy,
    /// Faults of the run.
    pub events: Vec<plan::Event>,
    /// Number of requests that were sent, and of those that succeeded.
    pub requests: (usize, usize),
    /// Number of requests that were rejected as not run.
    pub refused: usize,
    /// Number of requests by their end.
    pub ends: BTreeMap<String, usize>,
    /// Number of changes of the map, over all ranks.
    pub switches: u64,
    /// Broken guarantees.
    pub breaches: Vec<Breach>,
    /// Logs of the processes.
    pub logs: Vec<(String, Vec<String>)>,
}

/// Returns the number of lock-step groups of a seed's system: two for odd seeds, if each has two
/// ranks or more.
fn groups(seed: u64, size: &plan::Size) -> u8 {
    if seed % 2 == 1 && size.ranks >= 4 { 2 } else { 1 }
}

/// Retries beyond a part of the requests that each service allows, for each gateway.
const SLACK_PER_GATEWAY: f64 = 5.0;

/// Runs a seed: starts a system, sends requests by callers with a policy, and injects the events.
pub async fn play(
    seed: u64,
    size: &plan::Size,
    callers: client::Policy,
    events: Vec<plan::Event>,
) -> Report {
    // Few enough that the faults use them up.
    let slack = SLACK_PER_GATEWAY * f64::from(size.gateways);
    let plan = Plan {
        gateways: size.gateways,
        ranks: size.ranks,
        groups: groups(seed, size),
        plain: size.plain,
        sidecars: true,
        proxied: true,
    };
    let mut system = System::start_with(plan, Allowance { slack, ..RETRIES }).await;
    inject::write_starts(&system).await;
    let shared: Arc<client::Shared> = Arc::default();
    shared.newest.store(2, Ordering::Relaxed);
    system.configure(2, &[&client::key(2), &client::key(1)]).await;
    let gateways: Vec<_> = (0..size.gateways).map(|number| system.client_address(number)).collect();
    let clients: Vec<_> = (0..size.clients)
        .map(|number| {
            tokio::spawn(client::run(shared.clone(), gateways.clone(), callers, seed, number))
        })
        .collect();
    let crowds = tokio::spawn(sender::run_crowds(shared.clone(), gateways.clone(), seed));
    let sender = sender::run(shared.clone(), gateways, system.peer_addresses(), seed);
    let sender = tokio::spawn(sender);
    let mut injector = Injector::new(&mut system, &shared);
    injector.run(&events).await;
    let (spans, harms, overdue) = (injector.spans, injector.harms, injector.overdue);
    let (mut ended, unhandled) = (injector.ended, injector.unhandled);
    let not_applied = await_configuration(&system, &shared).await;
    let failing = await_recovery(&system, &shared).await;
    shared.stop.store(true, Ordering::Relaxed);
    for client in clients {
        client.await.expect("no client panics");
    }
    sender.await.expect("no sender panics");
    crowds.await.expect("no crowd panics");
    // No process was asked to exit since the end of the faults.
    ended.extend(inject::restart_ended(&mut system, &BTreeSet::new()));
    let records =
        std::mem::take(&mut *shared.records.lock().expect("no holder of the records panics"));
    let answered = |record: &&client::Record| matches!(&record.end, client::End::Answer { head, whole: true, .. } if head.status == 200);
    let requests = (records.len(), records.iter().filter(answered).count());
    let refused = records.iter().filter(|record| record.is_rejected()).count();
    let mut ends: BTreeMap<String, usize> = BTreeMap::new();
    records.iter().for_each(|record| *ends.entry(record.end.to_string()).or_default() += 1);
    let (arrivals, visits) = (arrivals(&system).await, system.visits().await);
    let evidence = Evidence { records, arrivals, spans, visits, harms };
    let poisoned = poisoned(&system).await;
    let mut states = Vec::new();
    for group in 0..system.plan.groups {
        states.push(system.group_state_of(group).await);
    }
    let number =
        |name: &str| -> u64 { states.iter().map(|state| state[name].as_u64().unwrap_or(0)).sum() };
    let mut breaches = evidence.breaches();
    breaches.extend(evidence.overspent(system.retries));
    breaches.extend(overdue.into_iter().map(Breach::Overdue));
    breaches.extend(unhandled);
    breaches.extend(ended.iter().map(inject::Ended::breach));
    breaches.extend(not_applied);
    breaches.extend(oversized(&system));
    breaches.extend(poisoned);
    breaches.extend(failing.map(Breach::NotRecovered));
    if number("violations") > 0 {
        breaches.push(Breach::MixedMaps(number("violations")));
    }
    let logs = system.logs();
    breaches.extend(check::blamed(&evidence.records, &logs));
    breaches.extend(evidence.cut_answers(&logs));
    let switches = number("switches");
    Report { seed, size: *size, callers, events, requests, refused, ends, switches, breaches, logs }
}

impl Report {
    /// Writes everything that is needed to analyze or repeat the run to a folder.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    pub fn save(&self, folder: &Path) -> std::io::Result<()> {
        let lines = |lines: Vec<String>| lines.join("\n");
        let run = format!(
            "version={}\nseed={}\n{:?}\ncallers={}\nends={:?}",
            version(),
            self.seed,
            self.size,
            self.callers,
            self.ends
        );
        let files = [
            ("run.txt", run),
            ("events.txt", lines(self.events.iter().map(|event| format!("{event:?}")).collect())),
            ("breaches.txt", lines(self.breaches.iter().map(ToString::to_string).collect())),
        ];
        failure::write(folder, &self.logs, &files)
    }
}

/// Returns the commit under test if the soak test runs in a clone, or the version of the package.
fn version() -> String {
    let mut command = std::process::Command::new("git");
    command.args(["describe", "--always", "--dirty"]);
    let output = command.output().ok().filter(|output| output.status.success());
    let text = output.map(|output| String::from_utf8_lossy(&output.stdout).trim().to_owned());
    text.unwrap_or_else(|| env!("CARGO_PKG_VERSION").to_owned())
}

/// Waits until every gateway has applied the newest configuration, which is written after the
/// faults. Returns a breach for the first gateway that does not apply it in time.
async fn await_configuration(system: &System, shared: &client::Shared) -> Option<Breach> {
    let newest = shared.newest.load(Ordering::Relaxed);
    let request = || Request::new("/alert/").key(&client::key(newest));
    let began = Instant::now();
    for gateway in 0..system.plan.gateways {
        while !system.is_ready(gateway).await
            || system.request(gateway, &request()).await.status == 401
        {
            if began.elapsed() > BOUND {
                return Some(Breach::ConfigurationNotApplied(gateway, newest, began.elapsed()));
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
    None
}

/// Waits until every gateway serves every kind of request with the newest key. A gateway cannot
/// serve all of them while the group is held. Returns what still fails if that takes too long.
async fn await_recovery(system: &System, shared: &client::Shared) -> Option<String> {
    let end = Instant::now() + RECOVERY_TIMEOUT;
    loop {
        let failing = failing_check(system, shared).await?;
        if Instant::now() > end {
            return Some(failing);
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

/// Returns the first check that fails, or `None` if all gateways serve all kinds of requests.
async fn failing_check(system: &System, shared: &client::Shared) -> Option<String> {
    let key = client::key(shared.newest.load(Ordering::Relaxed));
    for gateway in 0..system.plan.gateways {
        if !system.is_ready(gateway).await {
            return Some(format!("gateway {gateway} is not ready"));
        }
        for path in ["/receipt/", "/alert/", "/draft/"] {
            let request = Request::new(path).key(&key).with("x-standin-events", "3");
            let status = system.request(gateway, &request).await.status;
            if status != 200 {
                return Some(format!("gateway {gateway} answers {status} to {path}"));
            }
        }
    }
    None
}

/// Returns the requests that reached backend servers, by their id.
async fn arrivals(system: &System) -> BTreeMap<String, Vec<Arrival>> {
    let mut by_id: BTreeMap<String, Vec<Arrival>> = BTreeMap::new();
    for arrival in system.all_arrivals().await {
        let arrival = Arrival(arrival);
        by_id.entry(arrival.id().to_owned()).or_default().push(arrival);
    }
    by_id
}

/// Memory that a gateway may use by default, in bytes.
const MEMORY: u64 = 256 << 20;

/// Returns a breach for each gateway that has used more memory than it may.
fn oversized(system: &System) -> Vec<Breach> {
    let peaks = system.gateways.iter().map(|gateway| gateway.usage().peak_memory).enumerate();
    let over = peaks.filter(|(_, peak)| *peak > MEMORY);
    over.map(|(gateway, peak)| Breach::Memory(gateway, peak)).collect()
}

/// Returns a breach for each request that ended servers and then reached too many.
async fn poisoned(system: &System) -> Vec<Breach> {
    let mut breaches = Vec::new();
    for group in (0..system.plan.groups).map(Some).chain([None]) {
        let (ends, arrivals) = (system.ends(group).await, system.received(group).await);
        breaches.extend(check::poisoned(&ends, &arrivals));
    }
    breaches
}
