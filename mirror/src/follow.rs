//! Follows peers and applies the updates that they send to the mirror.
//!
//! A *follower* is a task that follows one peer at a time; the followers of a host are numbered
//! from 0.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use futures_util::stream::{FuturesUnordered, StreamExt as _};
use loftcove_clock as boot;
use loftcove_decision::mirror::Record;
use loftcove_decision::revision::Revision;
use loftcove_intake::{grpc, memory};
use loftcove_line::field;
use loftcove_wire as wire;
use rand::seq::IndexedRandom as _;
use tokio::sync::broadcast;
use tonic::codec::CompressionEncoding;

use crate::followers::Peer;
use crate::{Mirror, Source, peer, register};

/// Timeout for a connection, which takes milliseconds. The SYN packet to a host that is down is
/// lost, and would only be sent again after a second. While all hosts start, the next attempt finds
/// the host up.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time for which a peer that failed is not selected while there are others.
const FAILURE_BACKOFF: Duration = Duration::from_secs(2);
/// Minimum time to wait for an offered record to arrive from the own zone, before it is fetched
/// from the peer in another zone that offers it. A record passes through a zone within
/// milliseconds; the shortest bound for a configuration is two seconds.
const OFFER_WAIT: Duration = Duration::from_millis(150);
/// Timeout for fetching a record. The peer offers the record again later.
const FETCH_TIMEOUT: Duration = Duration::from_millis(900);
/// Timeout for a `Tell` call. Later marks must still reach another peer within the three seconds in
/// which all hosts are to receive them.
const TELL_TIMEOUT: Duration = Duration::from_millis(900);
/// Time after a failure of a peer in which no follower switches to it from another peer.
const SWITCH_BACKOFF: Duration = Duration::from_secs(10);
/// Delay between two attempts.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// The local host, which follows its peers.
#[derive(Debug, Clone)]
pub struct LocalHost {
    /// Name of the host.
    pub name: Arc<str>,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// Address for its peers, if it can have followers itself.
    pub address: Option<SocketAddr>,
}

/// The known peers of a host, and those that it follows.
pub struct Peers {
    local: LocalHost,
    memory: memory::Account,
    seeds: Mutex<Vec<SocketAddr>>,
    /// Peers that are followed, by number of the follower.
    in_use: Mutex<BTreeMap<usize, SocketAddr>>,
    failed: Mutex<BTreeMap<SocketAddr, boot::Instant>>,
    /// Last redirect of each follower that no peer has accepted since.
    redirected: Mutex<BTreeMap<usize, Redirected>>,
}

/// Redirect of a follower by peers that had no slot for it.
#[derive(Debug, Default)]
struct Redirected {
    /// Number of consecutive redirects.
    times: u32,
    /// Peers that it may follow instead.
    alternatives: Vec<Peer>,
}

/// Number of consecutive redirects after which a follower *insists*: the next peer accepts it above
/// its limit.
const MAX_REDIRECTS: u32 = 2;

/// Reason for which a follower left a peer, other than a failure.
enum End {
    /// A peer in a preferred zone is known.
    Better,
    /// The peer has no free slot and returned alternatives.
    Full(Vec<Peer>),
}

impl Peers {
    /// Creates the peers of a host from the seeds of its settings.
    pub fn new(local: LocalHost, seeds: Vec<SocketAddr>) -> Peers {
        Peers {
            local,
            memory: memory::Account::default(),
            seeds: Mutex::new(seeds),
            in_use: Mutex::default(),
            failed: Mutex::default(),
            redirected: Mutex::default(),
        }
    }

    /// Sets the account from which messages of peers take their memory.
    pub fn with_memory(mut self, memory: memory::Account) -> Peers {
        self.memory = memory;
        self
    }

    /// Replaces the seeds.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        *lock(&self.seeds) = seeds;
    }

    /// Returns whether a follower should leave a peer because a peer in a preferred zone is known.
    /// At the start only the seeds are known, and hosts that only follow each other would all miss
    /// an update that one of them misses.
    fn has_better_peer(&self, mirror: &Mirror, follower: usize, peer: SocketAddr) -> bool {
        let entries = register::entries(mirror);
        let preferred = |zone: &Arc<str>| (*zone == self.local.zone) == (follower == 0);
        let current = entries.iter().find(|(_, entry)| entry.address == peer);
        if current.is_none_or(|(_, entry)| preferred(&entry.zone)) {
            return false;
        }
        let in_use: Vec<SocketAddr> = lock(&self.in_use).values().copied().collect();
        let failed = lock(&self.failed);
        entries.iter().any(|(_, entry)| {
            let address = entry.address;
            let excluded = Some(address) == self.local.address || in_use.contains(&address);
            let healthy = failed.get(&address).is_none_or(|at| at.elapsed() > SWITCH_BACKOFF);
            preferred(&entry.zone) && healthy && !excluded
        })
    }

    /// Returns the peers that a follower may follow instead of the one that redirected it.
    fn alternatives(&self, follower: usize) -> BTreeMap<SocketAddr, Option<Arc<str>>> {
        let in_use: Vec<SocketAddr> = lock(&self.in_use).values().copied().collect();
        let redirected = lock(&self.redirected);
        let alternatives =
            redirected.get(&follower).map_or(&[][..], |redirect| &redirect.alternatives);
        let free = alternatives.iter().filter(|peer| {
            Some(peer.address) != self.local.address && !in_use.contains(&peer.address)
        });
        free.map(|peer| (peer.address, Some(peer.zone.clone()))).collect()
    }

    /// Records that a peer had no slot for a follower.
    fn record_redirect(&self, follower: usize, alternatives: Vec<Peer>) {
        let mut redirected = lock(&self.redirected);
        let redirect = redirected.entry(follower).or_default();
        *redirect = Redirected { times: redirect.times + 1, alternatives };
    }

    /// Discards the alternatives of a follower after one of them failed. Other peers are tried
    /// instead; the count of redirects stays, so that the follower insists sooner.
    fn forget_alternatives(&self, follower: usize) {
        if let Some(redirect) = lock(&self.redirected).get_mut(&follower) {
            redirect.alternatives.clear();
        }
    }

    /// Records that a peer accepted a follower.
    fn record_accepted(&self, follower: usize) {
        lock(&self.redirected).remove(&follower);
    }

    /// Returns whether a follower insists on being accepted.
    fn insists(&self, follower: usize) -> bool {
        lock(&self.redirected)
            .get(&follower)
            .is_some_and(|redirect| redirect.times >= MAX_REDIRECTS)
    }

    /// Selects a peer for a follower. The first follower prefers the own zone and the others prefer
    /// other zones, so that the host has peers on both sides of a network partition.
    fn select(&self, mirror: &Mirror, follower: usize) -> Option<SocketAddr> {
        let in_use: Vec<SocketAddr> = lock(&self.in_use).values().copied().collect();
        let failed = lock(&self.failed).clone();
        let mut candidates: BTreeMap<SocketAddr, Option<Arc<str>>> =
            lock(&self.seeds).iter().map(|seed| (*seed, None)).collect();
        for (_, entry) in register::entries(mirror) {
            candidates.insert(entry.address, Some(entry.zone));
        }
        let alternatives = self.alternatives(follower);
        if !alternatives.is_empty() {
            candidates = alternatives;
        }
        candidates.retain(|peer, _| Some(*peer) != self.local.address && !in_use.contains(peer));
        let healthy =
            |peer: &SocketAddr| failed.get(peer).is_none_or(|at| at.elapsed() > FAILURE_BACKOFF);
        let preferred = |zone: &Option<Arc<str>>| {
            zone.as_ref().is_none_or(|zone| (*zone == self.local.zone) == (follower == 0))
        };
        let tiers: [Vec<SocketAddr>; 3] = [
            addresses_where(&candidates, |peer, zone| healthy(peer) && preferred(zone)),
            addresses_where(&candidates, |peer, _| healthy(peer)),
            addresses_where(&candidates, |_, _| true),
        ];
        let tier = tiers.iter().find(|tier| !tier.is_empty())?;
        tier.choose(&mut rand::rng()).copied()
    }
}

fn addresses_where(
    candidates: &BTreeMap<SocketAddr, Option<Arc<str>>>,
    wanted: impl Fn(&SocketAddr, &Option<Arc<str>>) -> bool,
) -> Vec<SocketAddr> {
    candidates.iter().filter(|(peer, zone)| wanted(peer, zone)).map(|(peer, _)| *peer).collect()
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// Runs a follower, which follows one peer after the other; runs until the process exits.
pub async fn run(mirror: Arc<Mirror>, peers: Arc<Peers>, follower: usize) {
    loop {
        if let Some(peer) = peers.select(&mirror, follower) {
            lock(&peers.in_use).insert(follower, peer);
            let better = || peers.has_better_peer(&mirror, follower, peer);
            let insists = peers.insists(follower);
            let on_accepted = || peers.record_accepted(follower);
            let ended = follow(
                &mirror,
                (&peers.local, peers.memory.clone()),
                peer,
                insists,
                on_accepted,
                better,
            )
            .await;
            lock(&peers.in_use).remove(&follower);
            match ended {
                Ok(End::Full(alternatives)) => {
                    log::info!(
                        "peer has no free slot address={peer} others={}",
                        alternatives.len()
                    );
                    peers.record_redirect(follower, alternatives);
                    continue;
                }
                Ok(End::Better) => {}
                Err(status) => {
                    peers.forget_alternatives(follower);
                    lock(&peers.failed).insert(peer, boot::Instant::now());
                    log::info!(
                        "dependency lost name=peer address={peer} error={status}",
                        status = field::Quoted(&status)
                    );
                }
            }
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

/// Follows a peer until the stream fails, or until `better` returns true.
async fn follow(
    mirror: &Mirror,
    (local, memory): (&LocalHost, memory::Account),
    address: SocketAddr,
    insists: bool,
    on_accepted: impl Fn(),
    better: impl Fn() -> bool,
) -> Result<End, tonic::Status> {
    let unreachable = |error: &dyn std::error::Error| tonic::Status::unavailable(error.to_string());
    let endpoint =
        peer::endpoint(address, CONNECT_TIMEOUT, memory).map_err(|error| unreachable(&error))?;
    let channel = endpoint.connect().await.map_err(|error| unreachable(&error))?;
    let mut client = wire::mirror_client::MirrorClient::new(channel);
    let request = wire::Follower {
        host: local.name.to_string(),
        zone: local.zone.to_string(),
        address: local.address.map_or_else(String::new, |address| address.to_string()),
        insists,
    };
    let fetcher = client.clone().accept_compressed(CompressionEncoding::Gzip);
    let mut batches = client.follow(request).await?.into_inner();
    let first = batches.message().await?;
    if let Some(batch) = first.as_ref().filter(|batch| !batch.others.is_empty()) {
        return Ok(End::Full(Peer::all_from_wire(&batch.others, address)));
    }
    on_accepted();
    let mut first = Some(first);
    log::info!("dependency regained name=peer address={address}");
    let source = address.to_string();
    let _followed = mirror.count_followed(&source);
    let mut fetches = FuturesUnordered::new();
    // A host without an address for peers has no marks of its own to send either.
    let sender = async {
        match local.address {
            Some(_) => send_marks(mirror, client.clone()).await,
            None => std::future::pending().await,
        }
    };
    tokio::pin!(sender);
    loop {
        let batch = tokio::select! {
            batch = next_batch(&mut first, &mut batches) => batch?,
            status = &mut sender => return Err(status),
            Some(fetched) = fetches.next() => {
                match fetched {
                    Ok(record) => mirror.apply(Vec::from_iter(record), Source::Peer(&source)),
                    // The peer offers it again.
                    Err(status) => log::info!(
                        "fetch failed peer={source} error={status}",
                        status = field::Quoted(&status)
                    ),
                }
                continue;
            }
        };
        let Some(batch) = batch else {
            return Err(tonic::Status::unavailable("peer closed the stream"));
        };
        mirror.set_peer_distance(&source, batch.distance);
        let (offers, items): (Vec<_>, Vec<_>) =
            batch.items.into_iter().partition(|item| item.offered);
        mirror.apply(items.into_iter().map(from_item).collect(), Source::Peer(&source));
        mirror.ends.receive(batch.marks, &source);
        fetches.extend(offers.into_iter().map(|offer| fetch(mirror, fetcher.clone(), offer)));
        if better() {
            log::info!("leaving peer address={source} reason=better-zone-known");
            return Ok(End::Better);
        }
    }
}

/// Returns the first batch, which was received already, and then the next ones of the stream.
async fn next_batch(
    first: &mut Option<Option<wire::Batch>>,
    batches: &mut tonic::Streaming<wire::Batch>,
) -> Result<Option<wire::Batch>, tonic::Status> {
    match first.take() {
        Some(batch) => Ok(batch),
        None => batches.message().await,
    }
}

/// Sends the marks of servers that ended to the peer, first all known ones and then each new one,
/// until a call fails. Followers select their peers at random, and with three followers for each
/// host, one host in twenty has no follower: without these calls, no other host would receive its
/// marks.
async fn send_marks(
    mirror: &Mirror,
    mut client: wire::mirror_client::MirrorClient<grpc::Channel>,
) -> tonic::Status {
    let (mut items, mut updates) = mirror.ends.follow();
    loop {
        let marks = items.drain(..).map(|item| mirror.ends.to_wire(&item)).collect::<Vec<_>>();
        if !marks.is_empty() {
            let call = tokio::time::timeout(TELL_TIMEOUT, client.tell(wire::Marks { marks }));
            match call.await {
                Ok(Ok(_)) => {}
                Ok(Err(status)) => return status,
                Err(_) => return tonic::Status::deadline_exceeded("tell"),
            }
        }
        match updates.recv().await {
            Ok(item) => items.push(item),
            Err(broadcast::error::RecvError::Lagged(_)) => (items, updates) = mirror.ends.follow(),
            // Not reached: the sender lives as long as the process.
            Err(broadcast::error::RecvError::Closed) => std::future::pending().await,
        }
        while let Ok(item) = updates.try_recv() {
            items.push(item);
        }
    }
}

/// Fetches an offered record, unless it is received from elsewhere meanwhile.
async fn fetch(
    mirror: &Mirror,
    mut client: wire::mirror_client::MirrorClient<grpc::Channel>,
    offer: wire::Item,
) -> Result<Option<Record>, tonic::Status> {
    // The random delay keeps many followers of one peer from fetching at the same time.
    tokio::time::sleep(OFFER_WAIT.mul_f64(1.0 + rand::random::<f64>())).await;
    let known = mirror.newest_of(&offer.key).map_or(Revision::ZERO, |record| record.revision);
    let offered = Revision::new(offer.era, offer.revision);
    if known >= offered {
        return Ok(None);
    }
    log::info!("fetching record key={} revision={offered} known={known}", field::Text(&offer.key));
    let wanted = wire::Wanted { key: offer.key, revision: offer.revision, era: offer.era };
    let call = tokio::time::timeout(FETCH_TIMEOUT, client.fetch(wanted));
    let item = call.await.map_err(|_| tonic::Status::deadline_exceeded("fetch"))??;
    Ok(Some(from_item(item.into_inner())))
}

fn from_item(item: wire::Item) -> Record {
    let value = (!item.removed).then_some(item.value);
    Record { key: item.key.into(), revision: Revision::new(item.era, item.revision), value }
}
