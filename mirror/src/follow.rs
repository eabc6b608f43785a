//! Follows peers and fills the copy with what they hand on.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use futures_util::stream::{FuturesUnordered, StreamExt as _};
use loftcove_clock as boot;
use loftcove_decision::mirror::Record;
use loftcove_decision::revision::Revision;
use loftcove_wire as wire;
use rand::seq::IndexedRandom as _;
use tokio::sync::broadcast;
use tonic::codec::CompressionEncoding;

use crate::followers::Peer;
use crate::{Mirror, Source, peer, register};

/// Longest wait for a connection, which takes milliseconds. The opening packet to
/// a host that is down is lost, and would only be sent again after a second: while
/// all hosts start, the next try finds the host up.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// How long a peer that failed is passed over while there are others.
const PENALTY: Duration = Duration::from_secs(2);
/// Time for which a record that another zone's peer offers is awaited from the
/// own zone. It takes milliseconds to pass through a zone; the shortest bound
/// for a configuration is two seconds.
const OFFER_WAIT: Duration = Duration::from_millis(150);
/// Longest time for a record to be fetched, until the next offer of it.
const FETCH_TIMEOUT: Duration = Duration::from_millis(900);
/// Longest time for a peer to take what it is told: what comes after it must still
/// reach another one within the three seconds in which all are to know.
const TELL_TIMEOUT: Duration = Duration::from_millis(900);
/// How long after a failure a peer is not a reason to leave another one.
const RETURN_PENALTY: Duration = Duration::from_secs(10);
/// Pause between two tries.
const PAUSE: Duration = Duration::from_millis(150);

/// Who follows.
#[derive(Debug, Clone)]
pub struct Own {
    /// Name of the host.
    pub name: Arc<str>,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// Its own address for peers, if it has followers itself.
    pub address: Option<SocketAddr>,
}

/// The peers of a host, and which of them it follows.
pub struct Peers {
    own: Own,
    seeds: Mutex<Vec<SocketAddr>>,
    /// Peers that are followed, by the number of the follower.
    used: Mutex<BTreeMap<usize, SocketAddr>>,
    failed: Mutex<BTreeMap<SocketAddr, boot::Instant>>,
    /// What each follower was told as it was last redirected.
    redirected: Mutex<BTreeMap<usize, Redirected>>,
}

/// Followers of ours that hosts had no place for.
#[derive(Debug, Default)]
struct Redirected {
    /// How often in a row.
    times: u32,
    /// Whom it may follow instead.
    others: Vec<Peer>,
}

/// Times in a row after which a redirected follower insists.
const PATIENCE: u32 = 2;

/// How following a peer ended without a failure.
enum End {
    /// A better one is known.
    Better,
    /// It has enough followers, and named others.
    Full(Vec<Peer>),
}

impl Peers {
    /// Peers known from the settings.
    pub fn new(own: Own, seeds: Vec<SocketAddr>) -> Peers {
        Peers {
            own,
            seeds: Mutex::new(seeds),
            used: Mutex::default(),
            failed: Mutex::default(),
            redirected: Mutex::default(),
        }
    }

    /// Takes other seeds.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        *lock(&self.seeds) = seeds;
    }

    /// Whether a follower should leave a peer since one is known in a zone that
    /// fits it better: at the start only the seeds are known, and hosts that
    /// follow one another alone would all miss what one of them misses.
    fn better_known(&self, mirror: &Mirror, follower: usize, peer: SocketAddr) -> bool {
        let entries = register::entries(mirror);
        let fits = |zone: &Arc<str>| (*zone == self.own.zone) == (follower == 0);
        let present = entries.iter().find(|(_, entry)| entry.address == peer);
        if present.is_none_or(|(_, entry)| fits(&entry.zone)) {
            return false;
        }
        let used: Vec<SocketAddr> = lock(&self.used).values().copied().collect();
        let failed = lock(&self.failed);
        entries.iter().any(|(_, entry)| {
            let address = entry.address;
            let taken = Some(address) == self.own.address || used.contains(&address);
            let sound = failed.get(&address).is_none_or(|at| at.elapsed() > RETURN_PENALTY);
            fits(&entry.zone) && sound && !taken
        })
    }

    /// Those that a follower may follow instead of one that redirected it.
    fn named(&self, follower: usize) -> BTreeMap<SocketAddr, Option<Arc<str>>> {
        let used: Vec<SocketAddr> = lock(&self.used).values().copied().collect();
        let redirected = lock(&self.redirected);
        let others = redirected.get(&follower).map_or(&[][..], |away| &away.others);
        let free = others
            .iter()
            .filter(|peer| Some(peer.address) != self.own.address && !used.contains(&peer.address));
        free.map(|peer| (peer.address, Some(peer.zone.clone()))).collect()
    }

    /// A host had no place for a follower.
    fn redirect(&self, follower: usize, others: Vec<Peer>) {
        let mut redirected = lock(&self.redirected);
        let away = redirected.entry(follower).or_default();
        *away = Redirected { times: away.times + 1, others };
    }

    /// One of those that were named failed: others are tried, and the next host that
    /// is full is told so sooner.
    fn forget_named(&self, follower: usize) {
        if let Some(away) = lock(&self.redirected).get_mut(&follower) {
            away.others.clear();
        }
    }

    /// A follower got a place.
    fn placed(&self, follower: usize) {
        lock(&self.redirected).remove(&follower);
    }

    /// Whether a follower takes no more for an answer.
    fn insists(&self, follower: usize) -> bool {
        lock(&self.redirected).get(&follower).is_some_and(|away| away.times >= PATIENCE)
    }

    /// A peer for a follower: the first follower prefers the own zone, the
    /// others prefer other zones, so that neither side of a cut is forgotten.
    fn choose(&self, mirror: &Mirror, follower: usize) -> Option<SocketAddr> {
        let used: Vec<SocketAddr> = lock(&self.used).values().copied().collect();
        let failed = lock(&self.failed).clone();
        let mut candidates: BTreeMap<SocketAddr, Option<Arc<str>>> =
            lock(&self.seeds).iter().map(|seed| (*seed, None)).collect();
        for (_, entry) in register::entries(mirror) {
            candidates.insert(entry.address, Some(entry.zone));
        }
        let named = self.named(follower);
        if !named.is_empty() {
            candidates = named;
        }
        candidates.retain(|peer, _| Some(*peer) != self.own.address && !used.contains(peer));
        let sound = |peer: &SocketAddr| failed.get(peer).is_none_or(|at| at.elapsed() > PENALTY);
        let fits = |zone: &Option<Arc<str>>| {
            zone.as_ref().is_none_or(|zone| (*zone == self.own.zone) == (follower == 0))
        };
        let tiers: [Vec<SocketAddr>; 3] = [
            pick(&candidates, |peer, zone| sound(peer) && fits(zone)),
            pick(&candidates, |peer, _| sound(peer)),
            pick(&candidates, |_, _| true),
        ];
        let tier = tiers.iter().find(|tier| !tier.is_empty())?;
        tier.choose(&mut rand::rng()).copied()
    }
}

fn pick(
    candidates: &BTreeMap<SocketAddr, Option<Arc<str>>>,
    wanted: impl Fn(&SocketAddr, &Option<Arc<str>>) -> bool,
) -> Vec<SocketAddr> {
    candidates.iter().filter(|(peer, zone)| wanted(peer, zone)).map(|(peer, _)| *peer).collect()
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// Follows one peer after the other until the process ends.
pub async fn run(mirror: Arc<Mirror>, peers: Arc<Peers>, follower: usize) {
    loop {
        if let Some(peer) = peers.choose(&mirror, follower) {
            lock(&peers.used).insert(follower, peer);
            let better = || peers.better_known(&mirror, follower, peer);
            let insists = peers.insists(follower);
            let placed = || peers.placed(follower);
            let ended = follow(&mirror, &peers.own, peer, insists, placed, better).await;
            lock(&peers.used).remove(&follower);
            match ended {
                Ok(End::Full(others)) => {
                    log::info!("peer full address={peer} others={}", others.len());
                    peers.redirect(follower, others);
                    continue;
                }
                Ok(End::Better) => {}
                Err(status) => {
                    peers.forget_named(follower);
                    lock(&peers.failed).insert(peer, boot::Instant::now());
                    log::info!("dependency lost name=peer address={peer} error=\"{status}\"");
                }
            }
        }
        tokio::time::sleep(PAUSE).await;
    }
}

/// Follows a peer until the stream fails, or until a better one is known.
async fn follow(
    mirror: &Mirror,
    own: &Own,
    address: SocketAddr,
    insists: bool,
    placed: impl Fn(),
    better: impl Fn() -> bool,
) -> Result<End, tonic::Status> {
    let unreachable = |error: &dyn std::error::Error| tonic::Status::unavailable(error.to_string());
    let endpoint = peer::endpoint(address, CONNECT_TIMEOUT).map_err(|error| unreachable(&error))?;
    let channel = endpoint.connect().await.map_err(|error| unreachable(&error))?;
    let mut client = wire::mirror_client::MirrorClient::new(channel);
    let request = wire::Follower {
        host: own.name.to_string(),
        zone: own.zone.to_string(),
        address: own.address.map_or_else(String::new, |address| address.to_string()),
        insists,
    };
    let fetcher = client.clone().accept_compressed(CompressionEncoding::Gzip);
    let mut batches = client.follow(request).await?.into_inner();
    let first = batches.message().await?;
    if let Some(batch) = first.as_ref().filter(|batch| !batch.others.is_empty()) {
        return Ok(End::Full(batch.others.iter().filter_map(Peer::from_wire).collect()));
    }
    placed();
    let mut first = Some(first);
    log::info!("dependency regained name=peer address={address}");
    let source = address.to_string();
    let _followed = mirror.followed(&source);
    let mut fetches = FuturesUnordered::new();
    // Who has no followers has nothing of its own to tell either.
    let teller = async {
        match own.address {
            Some(_) => tell(mirror, client.clone()).await,
            None => std::future::pending().await,
        }
    };
    tokio::pin!(teller);
    loop {
        let batch = tokio::select! {
            batch = next(&mut first, &mut batches) => batch?,
            status = &mut teller => return Err(status),
            Some(fetched) = fetches.next() => {
                match fetched {
                    Ok(record) => mirror.apply(Vec::from_iter(record), Source::Peer(&source)),
                    // The peer offers it again.
                    Err(status) => log::info!("fetch failed peer={source} error=\"{status}\""),
                }
                continue;
            }
        };
        let Some(batch) = batch else {
            return Err(tonic::Status::unavailable("the peer ended the stream"));
        };
        mirror.peer_at(&source, batch.distance);
        let (offers, items): (Vec<_>, Vec<_>) =
            batch.items.into_iter().partition(|item| item.offered);
        mirror.apply(items.into_iter().map(record).collect(), Source::Peer(&source));
        mirror.ends.receive(batch.marks, &source);
        fetches.extend(offers.into_iter().map(|offer| fetch(mirror, fetcher.clone(), offer)));
        if better() {
            log::info!("peer left address={source} reason=better-zone-known");
            return Ok(End::Better);
        }
    }
}

/// The first batch, which has come already, and then one after the other.
async fn next(
    first: &mut Option<Option<wire::Batch>>,
    batches: &mut tonic::Streaming<wire::Batch>,
) -> Result<Option<wire::Batch>, tonic::Status> {
    match first.take() {
        Some(batch) => Ok(batch),
        None => batches.message().await,
    }
}

/// Tells the peer what is known of servers that ended, and what is found out from
/// then on, until a call fails. Followers draw their peers by lot, and with three
/// of them one host in twenty is followed by nobody: without this, its own
/// finds would stay with it.
async fn tell(
    mirror: &Mirror,
    mut client: wire::mirror_client::MirrorClient<tonic::transport::Channel>,
) -> tonic::Status {
    let (mut items, mut news) = mirror.ends.follow();
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
        match news.recv().await {
            Ok(item) => items.push(item),
            Err(broadcast::error::RecvError::Lagged(_)) => (items, news) = mirror.ends.follow(),
            // The sender lives as long as the process.
            Err(broadcast::error::RecvError::Closed) => std::future::pending().await,
        }
        while let Ok(item) = news.try_recv() {
            items.push(item);
        }
    }
}

/// Fetches a record that was offered, unless it is heard of elsewhere meanwhile.
async fn fetch(
    mirror: &Mirror,
    mut client: wire::mirror_client::MirrorClient<tonic::transport::Channel>,
    offer: wire::Item,
) -> Result<Option<Record>, tonic::Status> {
    // Peers of many followers are not asked by all of them at the same time.
    tokio::time::sleep(OFFER_WAIT.mul_f64(1.0 + rand::random::<f64>())).await;
    let known = mirror.newest_of(&offer.key).map_or(Revision::ZERO, |record| record.revision);
    let offered = Revision::new(offer.era, offer.revision);
    if known >= offered {
        return Ok(None);
    }
    log::info!("fetching key={} revision={offered} known={known}", offer.key);
    let wanted = wire::Wanted { key: offer.key, revision: offer.revision, era: offer.era };
    let call = tokio::time::timeout(FETCH_TIMEOUT, client.fetch(wanted));
    let item = call.await.map_err(|_| tonic::Status::deadline_exceeded("fetch"))??;
    Ok(Some(record(item.into_inner())))
}

fn record(item: wire::Item) -> Record {
    let value = (!item.removed).then_some(item.value);
    Record { key: item.key.into(), revision: Revision::new(item.era, item.revision), value }
}
