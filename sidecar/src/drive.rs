//! Driver of a group: decides where the group's experts should be placed and switches the group to
//! the new map.

mod change;
mod discover;

use std::sync::Arc;
use std::time::Duration;

use loftcove_clock as boot;
use loftcove_decision::map::switch::{self, Switch};
use loftcove_decision::map::version;
use loftcove_interface::engine::{Engine, Map};
use loftcove_interface::protocol::Protocol;
use loftcove_interface::store::Store;
use loftcove_line::field;
use loftcove_mirror::{Mirror, catalog};
use loftcove_settings::gateway as settings;
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::broadcast::Source;
use crate::election::{self, Term};
use crate::group::Group;
use crate::metrics::Metrics;
use crate::rank::Rank;
use crate::state::{State, Watchdog};
use crate::{plan, publish};

/// Interval between two reads of the counts.
const INTERVAL: Duration = Duration::from_millis(200);
/// Interval at which a sidecar without a term checks whether the group has opened or lost its
/// driver.
const IDLE_INTERVAL: Duration = Duration::from_millis(100);
/// Number of ranks whose counts are read. Requests are spread evenly, so that the sample represents
/// all ranks.
const SAMPLE_SIZE: usize = 16;
/// Rounds between two reads of the slowness of all ranks if counts are read from a sample only. The
/// interval is one second and costs a small message per rank.
const SLOWNESS_ROUNDS: u32 = 5;
/// Longest wait for the renewal after a suspension. A renewal takes milliseconds, and a store that
/// does not respond does not end the term.
const RENEWAL_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest wait for a later term before a change. The store answers in milliseconds, and within a
/// quarter of a second when it is slow.
const ADVANCE_TIMEOUT: Duration = Duration::from_millis(250);
/// Number of times that a pass is chosen again because the previous choice began before it was
/// held.
const MAX_HOLDS: u32 = 8;
/// Longest time for all ranks to prepare, in addition to twice the expected time of their copies.
const PREPARE_TIMEOUT: Duration = Duration::from_secs(4);
/// Interval at which the driver checks whether the switch has taken place.
const SWITCH_POLL: Duration = Duration::from_millis(20);
/// Number of checks; see [`SWITCH_POLL`].
const SWITCH_POLLS: u32 = 25;
/// Delay with which rank 1 stands for election after rank 0. The delay of a higher rank grows with
/// the square root of the rank, so that the last of hundreds waits one second instead of many. It
/// also keeps more than a few ranks from standing before all have received the result of the first
/// one, which takes the store and its watchers some 50 ms.
const ELECTION_STAGGER: Duration = Duration::from_millis(40);

/// Time until a driver that panicked is replaced.
const RESTART_DELAY: Duration = Duration::from_secs(1);

/// Runs a driver until it is stopped. A driver that panics is replaced: the engine beside it, which
/// the process continues to serve, is not affected.
pub async fn run<P: Protocol, S: Store, E: Engine>(
    dependencies: impl Fn() -> Dependencies<S, E> + Send,
    stop: watch::Receiver<bool>,
) {
    loop {
        let Dependencies { metrics, .. } = dependencies();
        let driver = Driver::<P, S, E>::new(dependencies());
        let mut task = JoinSet::new();
        task.spawn(driver.run(stop.clone()));
        let Some(Err(error)) = task.join_next().await else { return };
        log::error!("driver failed error={error} next=restart", error = field::Quoted(&error));
        metrics.failed.inc();
        metrics.driving.set(0);
        tokio::time::sleep(RESTART_DELAY).await;
    }
}

/// Dependencies of a driver.
pub struct Dependencies<S, E> {
    /// Rank of the engine beside the driver.
    pub rank: Arc<Rank<E>>,
    /// Local copy of the store.
    pub mirror: Arc<Mirror>,
    /// Client of the store.
    pub store: Arc<S>,
    /// Settings.
    pub settings: settings::Sidecar,
    /// Ranks of the group, as this sidecar reaches them.
    pub group: Arc<Group<E>>,
    /// Metrics.
    pub metrics: Arc<Metrics>,
}

/// Map of a change, and what it is encoded against. Both are empty if the change of an earlier
/// driver is completed or undone.
#[derive(Debug, Default)]
struct Plan {
    map: Arc<Map>,
    source: Source,
}

/// Driver of the group that the engine beside it belongs to.
pub struct Driver<P, S, E> {
    rank: Arc<Rank<E>>,
    mirror: Arc<Mirror>,
    store: Arc<S>,
    settings: settings::Sidecar,
    metrics: Arc<Metrics>,
    group: Arc<Group<E>>,
    name: String,
    catalog: catalog::Catalog<P>,
    /// The last election, if it was lost.
    lost_election: Option<election::Loss>,
    /// Record of the group that is to be in the store.
    wanted: watch::Sender<Option<publish::Wanted>>,
}

/// Reasons why a change is dropped unfinished.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
enum Stopped {
    /// The group has broken or has formed again.
    #[error("epoch is over")]
    Epoch,
    /// Another driver has a higher term.
    #[error("superseded")]
    Superseded,
    /// The term has created as many maps as it may.
    #[error("term is used up")]
    Exhausted,
}

impl<P: Protocol, S: Store, E: Engine> Driver<P, S, E> {
    /// Creates a driver that is not elected.
    pub fn new(dependencies: Dependencies<S, E>) -> Driver<P, S, E> {
        let settings = dependencies.settings;
        Driver {
            rank: dependencies.rank,
            mirror: dependencies.mirror,
            store: dependencies.store,
            metrics: dependencies.metrics,
            group: dependencies.group,
            name: election::run_name(&settings.host.name),
            settings,
            catalog: catalog::Catalog::default(),
            lost_election: None,
            wanted: watch::Sender::new(None),
        }
    }

    /// Repeatedly stands for election and drives the group, until it is stopped.
    pub async fn run(mut self, mut stop: watch::Receiver<bool>) {
        let mut watchdog = Watchdog::default();
        while !*stop.borrow_and_update() {
            let Some((group, term)) = self.elect(&mut watchdog).await else {
                tokio::select! {
                    () = tokio::time::sleep(IDLE_INTERVAL) => {}
                    _ = stop.changed() => {}
                }
                continue;
            };
            log::info!(
                "driver elected group={group} term={}",
                term.number,
                group = field::Text(&group)
            );
            self.metrics.elected.inc();
            self.metrics.driving.set(1);
            self.drive(&group, term, &stop).await;
            self.metrics.driving.set(0);
            log::info!(
                "driver resigned group={group} term={}",
                term.number,
                group = field::Text(&group)
            );
            if let Err(error) = self.store.revoke(term.lease).await {
                log::warn!(
                    "cannot end lease error={error} next=lapse",
                    error = field::Quoted(&error)
                );
            }
        }
    }

    /// Stands for election if the group has no driver, or if its driver left it blocked within a
    /// change of the map.
    async fn elect(&mut self, watchdog: &mut Watchdog) -> Option<(Arc<str>, Term)> {
        let report = self.rank.engine.report().await.ok()?;
        let place = report.group.clone().filter(|place| place.open)?;
        let key = election::key(&place.name);
        let held_revision = election::revision(&self.mirror, &key);
        let stalled = watchdog.observe(&report, held_revision.ordinal());
        let lost_election = self.lost_election.is_some_and(|loss| loss.pauses(held_revision));
        let own = election::is_own(&self.mirror, &key, &self.name);
        if (!held_revision.is_zero() && !stalled && !own) || lost_election {
            return None;
        }
        self.catalog.update(&self.mirror);
        if self.engines().is_empty() {
            return None;
        }
        // The lowest rank stands first, so that few ranks stand at the same time. A stall is
        // observed by the rank that holds the group, which stands alone.
        if !own && !stalled {
            let part = 1.0 + rand::random::<f64>();
            tokio::time::sleep(ELECTION_STAGGER.mul_f64(f64::from(place.rank).sqrt() * part)).await;
        }
        if election::revision(&self.mirror, &key) != held_revision {
            return None;
        }
        if own {
            log::info!("earlier run drove group={} term={held_revision}", field::Text(&place.name));
        } else if !held_revision.is_zero() {
            log::warn!(
                "driver deposed group={} term={held_revision} pass={}",
                field::Text(&place.name),
                report.pass
            );
            self.metrics.deposed.inc();
        }
        let campaign =
            election::campaign(&*self.store, &self.mirror, &place.name, &self.name, held_revision);
        let term = match campaign.await {
            Ok(term) => term,
            Err(error) => {
                log::warn!(
                    "election failed group={} error={error}",
                    field::Text(&place.name),
                    error = field::Quoted(&error)
                );
                None
            }
        };
        self.lost_election = term.is_none().then(|| election::Loss::new(held_revision));
        term.map(|term| (place.name, term))
    }

    /// Drives the group until the term ends or the process is to stop.
    async fn drive(&mut self, group: &str, mut term: Term, stop: &watch::Receiver<bool>) {
        let (mirror, store) = (self.mirror.clone(), self.store.clone());
        let name: Arc<str> = group.into();
        let renewals = Arc::new(election::Renewals::default());
        // The tasks end with the driver, also if it panics. A lease that is renewed without a driver
        // would leave the group without one.
        let mut tasks = JoinSet::new();
        let renewal = tasks.spawn({
            let (renewals, run) = (renewals.clone(), self.name.clone());
            async move {
                election::renew(&*store, &mirror, &name, &run, term, &renewals).await;
            }
        });
        self.wanted.send_replace(None);
        tasks.spawn(publish::run(self.mirror.clone(), self.store.clone(), self.wanted.subscribe()));
        let mut state = State::default();
        while !renewal.is_finished() && !*stop.borrow() {
            let renewed = tokio::time::timeout(RENEWAL_TIMEOUT, renewals.check()).await;
            if renewed.is_ok_and(|suspended| suspended) {
                continue;
            }
            let begun = boot::Instant::now();
            if let Err(stopped) = self.round(&mut term, &mut state).await {
                log::info!(
                    "round stopped term={} reason={stopped}",
                    term.number,
                    stopped = field::Quoted(&stopped)
                );
                if matches!(stopped, Stopped::Superseded | Stopped::Exhausted) {
                    break;
                }
                state.next_epoch();
            }
            tokio::time::sleep(INTERVAL.saturating_sub(begun.elapsed())).await;
        }
        tasks.abort_all();
        self.metrics.slow_ranks.set(0);
    }

    /// Runs one round: reads the state of the group, decides about a change and carries it out.
    async fn round(&mut self, term: &mut Term, state: &mut State) -> Result<(), Stopped> {
        let Ok(report) = self.rank.engine.report().await else { return Ok(()) };
        self.catalog.update(&self.mirror);
        state.record_pass(report.pass);
        let Some(place) = report.group.filter(|place| place.open) else {
            state.view.ranks.clear();
            return Ok(());
        };
        let Some((engine, experts)) = self.engine_config() else { return Ok(()) };
        // A hold between two rounds is a delayed order of an earlier driver.
        let stale_hold = report.held.is_some();
        if state.view.epoch != place.epoch || state.view.ranks.is_empty() || stale_hold {
            state.next_epoch();
            if !self.discover(term.number, &place, state).await? {
                return Ok(());
            }
        }
        self.read_counts(term.number, engine.slots, state).await;
        self.publish(term.number, &place, state);
        plan::detect_shift(state, &experts);
        let stage = plan::decide(state, &engine, &experts).await;
        let Some(stage) = stage else { return Ok(()) };
        if state.versions > 0 {
            self.advance_term(&place.name, term, state).await;
        }
        if state.versions >= version::MAPS_PER_TERM {
            return Err(Stopped::Exhausted);
        }
        let ranks = state.view.ranks.len();
        let version = version::encode(term.number, state.versions, place.rank as usize, ranks);
        state.versions += 1;
        let switch = Switch::new(ranks, version);
        state.copy_time = stage.time.saturating_sub(state.switch_time());
        let map = Arc::new(stage.map);
        let begun = boot::Instant::now();
        let source = Source { base: state.map.clone(), experts: experts.count };
        let plan = Plan { map: map.clone(), source };
        match self.run_change(term.number, state, switch, &plan).await? {
            switch::Outcome::Switched => {
                state.map = map;
                self.wait_for_switch(version).await;
                state.record_switch(begun.elapsed());
            }
            // The next round reads the state of all ranks.
            switch::Outcome::Undecided => state.view.ranks.clear(),
            switch::Outcome::Abandoned => {}
        }
        Ok(())
    }

    /// Begins a later term of this driver, because only the first map of a term shows that its ranks
    /// are armed in stages. Without the store, the term continues.
    async fn advance_term(&self, group: &str, term: &mut Term, state: &mut State) {
        let advance = election::advance(&*self.store, &self.mirror, group, &self.name, *term);
        match tokio::time::timeout(ADVANCE_TIMEOUT, advance).await {
            Ok(Ok(Some(next))) => {
                *term = next;
                state.versions = 0;
            }
            Ok(Ok(None)) => log::info!(
                "term continues group={group} reason=key-changed",
                group = field::Text(group)
            ),
            Ok(Err(error)) => log::info!(
                "term continues group={group} reason={error}",
                error = field::Quoted(&error),
                group = field::Text(group)
            ),
            Err(_) => log::info!(
                "term continues group={group} reason=no-answer",
                group = field::Text(group)
            ),
        }
    }

    /// Waits until the switch has taken place, because an engine rejects orders to prepare another
    /// map before. The number of checks is limited because a group without requests begins no pass.
    async fn wait_for_switch(&self, version: u64) {
        for _ in 0..SWITCH_POLLS {
            match self.rank.engine.report().await {
                Ok(report) if report.map == version => return,
                _ => tokio::time::sleep(SWITCH_POLL).await,
            }
        }
    }
}
