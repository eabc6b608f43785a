//! Drives a group: decides where its experts should be, and takes it there.

mod change;
mod learn;

use std::sync::Arc;
use std::time::Duration;

use loftcove_clock as boot;
use loftcove_decision::map::switch::{self, Switch};
use loftcove_decision::map::version;
use loftcove_interface::engine::{Engine, Map};
use loftcove_interface::protocol::Protocol;
use loftcove_interface::store::Store;
use loftcove_mirror::{Mirror, catalog};
use loftcove_settings::gateway as settings;
use tokio::sync::watch;

use crate::election::{self, Term};
use crate::group::Group;
use crate::known::{Known, Stall};
use crate::metrics::Metrics;
use crate::parcel::Source;
use crate::plan;
use crate::rank::Rank;

/// Time between two looks at the counts.
const INTERVAL: Duration = Duration::from_millis(200);
/// Time between two looks whether the group has opened, or has a driver.
const IDLE_INTERVAL: Duration = Duration::from_millis(100);
/// Ranks whose counts are read: requests spread evenly, so that these stand
/// for all.
const SAMPLE: usize = 16;
/// Rounds from one look at the speed of all ranks to the next, where counts are
/// read from a part of them: a second, at the price of a small message a rank.
const SLOWNESS_ROUNDS: u32 = 5;
/// Slowness from which a rank counts as slow; what is below is left to the
/// spread of the load.
const SLOW: f64 = 1.2;
/// Least time between two writes of a group's members.
const PUBLISH_PAUSE: Duration = Duration::from_secs(2);
/// Time that a sidecar stays out after it stood for election in vain.
const ELECTION_PAUSE: Duration = Duration::from_millis(1_500);
/// Longest wait for the renewal after a suspension: it takes milliseconds, and a
/// store that does not answer ends no term.
const RENEWAL_TIME: Duration = Duration::from_secs(1);
/// Times that the pass is chosen anew because it began before it was held.
const MAX_HOLDS: u32 = 8;
/// Longest time for all ranks to prepare, beside twice the time that their copies
/// are expected to take.
const PREPARE_TIME: Duration = Duration::from_secs(4);
/// Time between two looks whether the switch has taken place, and their number.
const SETTLE_POLL: Duration = Duration::from_millis(20);
/// See [`SETTLE_POLL`].
const SETTLE_POLLS: u32 = 25;
/// Time that rank 1 lets rank 0 go first at an election; others wait longer by
/// the root of their rank, so that the last of hundreds waits for a second and
/// not for many, and few more than one stand before all have heard of the first:
/// that takes the store and its watchers some 50 ms.
const ELECTION_STAGGER: Duration = Duration::from_millis(40);

/// What a driver works with.
pub struct Parts<S, E> {
    /// The engine beside it.
    pub rank: Arc<Rank<E>>,
    /// What is known of the store.
    pub mirror: Arc<Mirror>,
    /// The store.
    pub store: Arc<S>,
    /// Settings.
    pub settings: settings::Sidecar,
    /// The group, as this sidecar reaches it.
    pub group: Arc<Group<E>>,
    /// Metrics.
    pub metrics: Arc<Metrics>,
}

/// The map of a change, and how it is told; both are empty where a change of an
/// earlier driver is ended.
#[derive(Debug, Default)]
struct Plan {
    map: Arc<Map>,
    source: Source,
}

/// The driver.
pub struct Driver<P, S, E> {
    rank: Arc<Rank<E>>,
    mirror: Arc<Mirror>,
    store: Arc<S>,
    settings: settings::Sidecar,
    metrics: Arc<Metrics>,
    group: Arc<Group<E>>,
    name: String,
    catalog: catalog::Catalog<P>,
    /// When it stood for election in vain.
    defeated: Option<boot::Instant>,
    /// When it last wrote the members of its group.
    published: Option<boot::Instant>,
}

/// Why a change was left as it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
enum Stopped {
    /// The group has broken, or has formed anew.
    #[error("epoch is over")]
    Epoch,
    /// Another driver has a higher term.
    #[error("superseded")]
    Superseded,
    /// The term has made as many maps as it may.
    #[error("term is used up")]
    Exhausted,
}

impl<P: Protocol, S: Store, E: Engine> Driver<P, S, E> {
    /// A driver that is not elected.
    pub fn new(parts: Parts<S, E>) -> Driver<P, S, E> {
        let settings = parts.settings;
        Driver {
            rank: parts.rank,
            mirror: parts.mirror,
            store: parts.store,
            metrics: parts.metrics,
            group: parts.group,
            name: election::run_name(&settings.host.name),
            settings,
            catalog: catalog::Catalog::default(),
            defeated: None,
            published: None,
        }
    }

    /// Stands for election and drives, again and again, until it is stopped.
    pub async fn run(mut self, mut stop: watch::Receiver<bool>) {
        let mut stall = Stall::default();
        while !*stop.borrow_and_update() {
            let Some((group, term)) = self.elect(&mut stall).await else {
                tokio::select! {
                    () = tokio::time::sleep(IDLE_INTERVAL) => {}
                    _ = stop.changed() => {}
                }
                continue;
            };
            log::info!("driver elected group={group} term={}", term.number);
            self.metrics.elected.inc();
            self.metrics.driving.set(1);
            self.drive(&group, term, &stop).await;
            self.metrics.driving.set(0);
            log::info!("driver resigned group={group} term={}", term.number);
            if let Err(error) = self.store.revoke(term.lease).await {
                log::warn!("lease not ended error=\"{error}\" next=lapse");
            }
        }
    }

    /// Stands for election if the group has no driver, or if its driver left
    /// it standing still within a change of the map.
    async fn elect(&mut self, stall: &mut Stall) -> Option<(Arc<str>, Term)> {
        let report = self.rank.engine.report().await.ok()?;
        let place = report.group.clone().filter(|place| place.open)?;
        let key = election::key(&place.name);
        let known = election::revision(&self.mirror, &key);
        let stalled = stall.look(&report, known.ordinal());
        let defeated = self.defeated.is_some_and(|at| at.elapsed() < ELECTION_PAUSE);
        let own = election::was_own(&self.mirror, &key, &self.name);
        if (!known.is_zero() && !stalled && !own) || defeated {
            return None;
        }
        self.catalog.update(&self.mirror);
        if self.engines().is_empty() {
            return None;
        }
        // The lowest rank goes first, so that few stand at once.
        if !own {
            let part = 1.0 + rand::random::<f64>();
            tokio::time::sleep(ELECTION_STAGGER.mul_f64(f64::from(place.rank).sqrt() * part)).await;
        }
        if election::revision(&self.mirror, &key) != known {
            return None;
        }
        if own {
            log::info!("earlier run drove group={} term={known}", place.name);
        } else if !known.is_zero() {
            log::warn!("driver deposed group={} term={known} pass={}", place.name, report.pass);
            self.metrics.deposed.inc();
        }
        let stand = election::stand(&*self.store, &self.mirror, &place.name, &self.name, known);
        let term = match stand.await {
            Ok(term) => term,
            Err(error) => {
                log::warn!("election failed group={} error=\"{error}\"", place.name);
                None
            }
        };
        self.defeated = term.is_none().then(boot::Instant::now);
        term.map(|term| (place.name, term))
    }

    /// Drives until the term is over or the process is to stop.
    async fn drive(&mut self, group: &str, term: Term, stop: &watch::Receiver<bool>) {
        let (mirror, store) = (self.mirror.clone(), self.store.clone());
        let name: Arc<str> = group.into();
        let renewals = Arc::new(election::Renewals::default());
        let kept = tokio::spawn({
            let renewals = renewals.clone();
            async move {
                election::keep(&*store, &mirror, &name, term, &renewals).await;
            }
        });
        let mut known = Known::default();
        while !kept.is_finished() && !*stop.borrow() {
            let renewed = tokio::time::timeout(RENEWAL_TIME, renewals.check()).await;
            if renewed.is_ok_and(|suspended| suspended) {
                continue;
            }
            let begun = boot::Instant::now();
            if let Err(stopped) = self.round(term.number, &mut known).await {
                log::info!("round stopped term={} reason=\"{stopped}\"", term.number);
                if matches!(stopped, Stopped::Superseded | Stopped::Exhausted) {
                    break;
                }
                known.next_epoch();
            }
            tokio::time::sleep(INTERVAL.saturating_sub(begun.elapsed())).await;
        }
        kept.abort();
    }

    /// One round: learn, decide, change.
    async fn round(&mut self, term: u64, known: &mut Known) -> Result<(), Stopped> {
        let Ok(report) = self.rank.engine.report().await else { return Ok(()) };
        self.catalog.update(&self.mirror);
        known.see_pass(report.pass);
        let Some(place) = report.group.filter(|place| place.open) else {
            known.view.ranks.clear();
            return Ok(());
        };
        let Some((engine, experts)) = self.experts() else { return Ok(()) };
        // A hold between two rounds is one of an earlier driver that came late.
        let stale_hold = report.held.is_some();
        if known.view.epoch != place.epoch || known.view.ranks.is_empty() || stale_hold {
            known.next_epoch();
            if !self.learn(term, &place, known).await? {
                return Ok(());
            }
        }
        // The store may have lost them.
        self.publish(&place, &known.view.ranks);
        self.count(term, engine.slots, known).await;
        plan::notice_shift(known, &experts);
        let stage = plan::decide(known, &engine, &experts).await;
        let Some(stage) = stage else { return Ok(()) };
        known.versions += 1;
        if known.versions >= version::MAPS_PER_TERM {
            return Err(Stopped::Exhausted);
        }
        let ranks = known.view.ranks.len();
        let version = version::encode(term, known.versions, place.rank as usize, ranks);
        let switch = Switch::new(ranks, version);
        known.copying = stage.time.saturating_sub(known.switch_time());
        let map = Arc::new(stage.map);
        let begun = boot::Instant::now();
        let source = Source { base: known.map.clone(), experts: experts.count };
        let plan = Plan { map: map.clone(), source };
        if self.change(term, known, switch, &plan).await? == switch::Outcome::Switched {
            known.map = map;
            self.settle(version).await;
            known.see_switch(begun.elapsed());
        }
        Ok(())
    }

    /// Waits until the switch has taken place: an engine refuses to prepare
    /// another map before. A group without requests begins no pass.
    async fn settle(&self, version: u64) {
        for _ in 0..SETTLE_POLLS {
            match self.rank.engine.report().await {
                Ok(report) if report.map == version => return,
                _ => tokio::time::sleep(SETTLE_POLL).await,
            }
        }
    }
}
