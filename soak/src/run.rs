//! One run of a seed.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

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

/// Plays a seed.
pub async fn seed(seed: u64, size: &plan::Size) -> Report {
    play(seed, size, plan::draw(seed, size)).await
}

/// Plays the requests of a seed under the given faults.
pub async fn play(seed: u64, size: &plan::Size, events: Vec<plan::Event>) -> Report {
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
        .map(|number| tokio::spawn(client::run(shared.clone(), gateways.clone(), seed, number)))
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
        states.push(system.state_of(group).await);
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
    let logs = logs(&system);
    breaches.extend(check::blamed(&evidence.seen, &logs));
    breaches.extend(evidence.unwritten(&logs));
    Report { events, requests, refused, ends, switches: number("switches"), breaches, logs }
}

/// Waits until every gateway goes by the newest configuration, which is written
/// when the faults are over; tells of one that does not in time.
async fn unforced(system: &System, shared: &client::Shared) -> Option<Breach> {
    let newest = shared.newest.load(Ordering::Relaxed);
    let request = || Request::new("/alert/").key(&client::key(newest));
    let began = Instant::now();
    for gateway in 0..system.plan.gateways {
        while !system.is_ready(gateway).await || system.ask(gateway, &request()).await.status == 401
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
            let status = system.ask(gateway, &request).await.status;
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
        let (ends, arrivals) = (system.ends(group).await, system.reached(group).await);
        breaches.extend(check::poisoned(&ends, &arrivals));
    }
    breaches
}

fn logs(system: &System) -> Vec<(String, Vec<String>)> {
    let gateways = system.gateways.iter().enumerate();
    let gateways = gateways.map(|(number, process)| (format!("gateway-{number}"), process.log()));
    let sidecars = system.sidecars.iter().enumerate();
    let sidecars = sidecars.map(|(number, process)| (format!("sidecar-{number}"), process.log()));
    let earlier = system.earlier.iter().enumerate();
    let earlier = earlier.map(|(n, (name, log))| (format!("{name}-replaced-{n}"), log.lines()));
    gateways.chain(sidecars).chain(earlier).collect()
}
