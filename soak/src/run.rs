//! One run of a seed.

use std::collections::BTreeMap;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use loftcove_tests::failure;
use loftcove_tests::request::{Arrival, Request};
use loftcove_tests::system::{BOUND, Plan, System};

use crate::check::{self, Breach, Evidence};
use crate::inject::Injector;
use crate::{client, inject, plan};

/// Longest time until all is well again after the faults. Leases of drivers and
/// entries that were held back have run out by then.
const RECOVERY: Duration = Duration::from_secs(30);

/// What came of a run.
#[derive(Debug)]
pub struct Report {
    /// The seed.
    pub seed: u64,
    /// What ran.
    pub size: plan::Size,
    /// What the callers kept to.
    pub callers: client::Rules,
    /// Faults that were drawn.
    pub events: Vec<plan::Event>,
    /// Requests that were sent, and how many of them were answered with success.
    pub requests: (usize, usize),
    /// Requests that were refused as not run.
    pub refused: usize,
    /// All requests by how they ended.
    pub ends: BTreeMap<String, usize>,
    /// Changes of the map, over all ranks.
    pub switches: u64,
    /// Promises that were broken.
    pub breaches: Vec<Breach>,
    /// What the processes logged.
    pub logs: Vec<(String, Vec<String>)>,
}

/// Lock-step groups of a seed's system: with odd seeds, two of two ranks or more.
fn groups(seed: u64, size: &plan::Size) -> u8 {
    if seed % 2 == 1 && size.ranks >= 4 { 2 } else { 1 }
}

/// Plays the requests of a seed, by callers that keep to the given rules, under the given
/// faults.
pub async fn play(
    seed: u64,
    size: &plan::Size,
    callers: client::Rules,
    events: Vec<plan::Event>,
) -> Report {
    let mut system = System::start(Plan {
        gateways: size.gateways,
        ranks: size.ranks,
        groups: groups(seed, size),
        plain: size.plain,
        sidecars: true,
        proxied: true,
    })
    .await;
    inject::tell_starts(&system).await;
    let shared: Arc<client::Shared> = Arc::default();
    shared.newest.store(2, Ordering::Relaxed);
    system.configure(2, &[&client::key(2), &client::key(1)]).await;
    let gateways: Vec<_> = (0..size.gateways).map(|number| system.client_address(number)).collect();
    let clients: Vec<_> = (0..size.clients)
        .map(|number| {
            tokio::spawn(client::run(shared.clone(), gateways.clone(), callers, seed, number))
        })
        .collect();
    let mut injector = Injector::new(&mut system, &shared);
    injector.run(&events).await;
    let (spans, harms, overdue) = (injector.spans, injector.harms, injector.overdue);
    let unforced = unforced(&system, &shared).await;
    let unwell = recover(&system, &shared).await;
    shared.stop.store(true, Ordering::Relaxed);
    for client in clients {
        client.await.expect("no client panics");
    }
    let seen = std::mem::take(&mut *shared.seen.lock().expect("no holder of the records panics"));
    let answered = |seen: &&client::Seen| matches!(&seen.end, client::End::Answer { head, whole: true, .. } if head.status == 200);
    let requests = (seen.len(), seen.iter().filter(answered).count());
    let refused = seen.iter().filter(|seen| seen.refused()).count();
    let mut ends: BTreeMap<String, usize> = BTreeMap::new();
    seen.iter().for_each(|seen| *ends.entry(seen.end.to_string()).or_default() += 1);
    let (arrivals, visits) = (arrivals(&system).await, system.visits().await);
    let evidence = Evidence { seen, arrivals, spans, visits, harms };
    let poisoned = poisoned(&system).await;
    let mut states = Vec::new();
    for group in 0..system.plan.groups {
        states.push(system.group_state_of(group).await);
    }
    let number =
        |name: &str| -> u64 { states.iter().map(|state| state[name].as_u64().unwrap_or(0)).sum() };
    let mut breaches = evidence.breaches();
    breaches.extend(overdue.into_iter().map(Breach::Overdue));
    breaches.extend(unforced);
    breaches.extend(poisoned);
    breaches.extend(unwell.map(Breach::Unwell));
    if number("violations") > 0 {
        breaches.push(Breach::Maps(number("violations")));
    }
    let logs = system.logs();
    breaches.extend(check::blamed(&evidence.seen, &logs));
    breaches.extend(evidence.unwritten(&logs));
    let switches = number("switches");
    Report { seed, size: *size, callers, events, requests, refused, ends, switches, breaches, logs }
}

impl Report {
    /// Writes all that is needed to trace the run, or to play it again, to a folder.
    ///
    /// # Errors
    ///
    /// What the system said.
    pub fn keep(&self, folder: &Path) -> std::io::Result<()> {
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

/// The commit that is played, where the soak runs in a clone.
fn version() -> String {
    let mut command = std::process::Command::new("git");
    command.args(["describe", "--always", "--dirty"]);
    let output = command.output().ok().filter(|output| output.status.success());
    let text = output.map(|output| String::from_utf8_lossy(&output.stdout).trim().to_owned());
    text.unwrap_or_else(|| env!("CARGO_PKG_VERSION").to_owned())
}

/// Waits until every gateway goes by the newest configuration, which is written
/// when the faults are over; tells of one that does not in time.
async fn unforced(system: &System, shared: &client::Shared) -> Option<Breach> {
    let newest = shared.newest.load(Ordering::Relaxed);
    let request = || Request::new("/alert/").key(&client::key(newest));
    let began = Instant::now();
    for gateway in 0..system.plan.gateways {
        while !system.is_ready(gateway).await
            || system.request(gateway, &request()).await.status == 401
        {
            if began.elapsed() > BOUND {
                return Some(Breach::Unforced(gateway, newest, began.elapsed()));
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
    None
}

/// Waits until every gateway serves every kind of request with the newest key
/// and the group is not held; says what does not work if that takes too long.
async fn recover(system: &System, shared: &client::Shared) -> Option<String> {
    let end = Instant::now() + RECOVERY;
    loop {
        let lacking = unwell(system, shared).await?;
        if Instant::now() > end {
            return Some(lacking);
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

async fn unwell(system: &System, shared: &client::Shared) -> Option<String> {
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

async fn arrivals(system: &System) -> BTreeMap<String, Vec<Arrival>> {
    let mut by_id: BTreeMap<String, Vec<Arrival>> = BTreeMap::new();
    for arrival in system.all_arrivals().await {
        let arrival = Arrival(arrival);
        by_id.entry(arrival.id().to_owned()).or_default().push(arrival);
    }
    by_id
}

/// Requests that ended servers and reached too many after it.
async fn poisoned(system: &System) -> Vec<Breach> {
    let mut breaches = Vec::new();
    for group in (0..system.plan.groups).map(Some).chain([None]) {
        let (ends, arrivals) = (system.ends(group).await, system.received(group).await);
        breaches.extend(check::poisoned(&ends, &arrivals));
    }
    breaches
}
