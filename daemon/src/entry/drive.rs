//! Drives the expert maps of the groups in this availability zone.
//!
//! The *driver* of a group is the entry host that changes the group's expert map. It decides on a
//! new map by the load of the experts, and brings the ranks to the map in force. One entry host in
//! the zone is elected for each group. Each change is fenced by the revision of the group's record,
//! so two drivers at a time are safe.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use bytes::Bytes;
use loftcove_bundle::content;
use loftcove_clock as boot;
use loftcove_decision::entity;
use loftcove_decision::map::{change, gate, record};
use loftcove_decision::placement::policy::Policy as _;
use loftcove_decision::placement::{cost, layout, load, policy};
use loftcove_line::field;
use loftcove_platform::key;
use loftcove_platform::store::{self, Store as _};
use loftcove_startup::threads;
use loftcove_wire as wire;

use crate::entry::{Entry, dispatcher};
use crate::{clock, leader, status};

/// Mean interval between two checks of the groups.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout of a rank's preparation. The rank's agent times out slightly earlier.
const PREPARE_TIMEOUT: Duration = Duration::from_secs(22);
/// Timeout of a call for a rank's counts, or of the activation, which rank 0 carries out.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// Groups that this process drives.
#[derive(Default)]
pub struct Groups {
    inner: Mutex<BTreeMap<Arc<str>, Group>>,
}

/// State of a group that is kept between two checks.
struct Group {
    policy: policy::Incremental,
    /// Time of the last decision about the map.
    last_decision: Option<boot::Instant>,
    /// Record and its revision, as last read or written.
    record: Option<(store::Revision, record::Record)>,
    /// Skew of the map at the last decision; 1 is perfect balance.
    skew: Option<f64>,
}

impl Default for Group {
    fn default() -> Group {
        let policy = policy::Incremental::new(policy::Rules::default());
        Group { policy, last_decision: None, record: None, skew: None }
    }
}

impl Groups {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<Arc<str>, Group>> {
        self.inner.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Returns the groups for the status.
    pub fn status(&self) -> Vec<status::Group> {
        let groups = self.lock();
        let epoch = |group: &Group| group.record.as_ref().map_or(0, |r| r.1.active_epoch().0);
        groups
            .iter()
            .map(|(name, group)| status::Group {
                name: name.to_string(),
                epoch: epoch(group),
                skew: group.skew,
            })
            .collect()
    }
}

/// Checks all groups periodically until the process exits.
pub async fn run(entry: Arc<Entry>) {
    loop {
        tokio::time::sleep(clock::jitter(CHECK_INTERVAL, 0.9..1.1)).await;
        let Some(bundle) = entry.process.gossip.force.bundle() else { continue };
        for model in &bundle.content.models {
            for name in &model.groups {
                check_group(&entry, &bundle.content, model, name).await;
            }
        }
    }
}

/// One group during one check.
struct Context<'a> {
    entry: &'a Arc<Entry>,
    rules: &'a content::Placement,
    name: &'a Arc<str>,
    shape: layout::Shape,
    /// Agents by rank.
    ranks: Vec<dispatcher::Target>,
}

/// Updates the group if its ranks are complete and this process is elected as its driver.
async fn check_group(
    entry: &Arc<Entry>,
    content: &content::Content,
    model: &content::Model,
    name: &Arc<str>,
) {
    let mut members = entry.dispatcher.ranks(name);
    members.sort_by_key(|(target, _)| target.rank);
    let complete =
        members.iter().map(|(target, _)| target.rank).eq((0..members.len() as u32).map(Some));
    let Some((first, _)) = members.first().filter(|_| complete) else { return };
    let zone = first.zone.clone();
    if zone != entry.process.settings.process.zone {
        return;
    }
    let task = format!("map/{name}");
    if !leader::is_self(&entry.process, &task, |host| host.zone == zone).await {
        entry.groups.lock().remove(name);
        return;
    }
    let ranks = members.len() as u32;
    let slots = model.experts.div_ceil(ranks) + content.placement.spare_slots;
    let shape = layout::Shape { layers: model.layers, experts: model.experts, ranks, slots };
    let epochs: Vec<u64> = members.iter().map(|(_, epoch)| *epoch).collect();
    let ranks = members.into_iter().map(|(target, _)| target).collect();
    let context = Context { entry, rules: &content.placement, name, shape, ranks };
    context.update(&epochs).await;
}

impl Context<'_> {
    /// Reconciles the ranks with the map in force, and decides on a new map when one is due.
    async fn update(&self, epochs: &[u64]) {
        let (due, known) = {
            let mut groups = self.entry.groups.lock();
            let group = groups.entry(self.name.clone()).or_default();
            let due = group.last_decision.is_none_or(|at| at.elapsed() >= self.interval());
            (due, group.record.clone())
        };
        let active = known.as_ref().map_or(0, |(_, record)| record.active_epoch().0);
        // A read costs a call to the platform, so it is skipped unless it is needed.
        if !due && known.is_some() && epochs.iter().all(|epoch| *epoch == active) {
            return;
        }
        let Some((revision, record)) = self.read_record().await else { return };
        self.with_group(|group| group.record = Some((revision, record.clone())));
        self.reconcile(&record, revision, epochs).await;
        // An engine keeps only the active map and the newest one. So the next map is proposed only
        // when no rank needs a map between these.
        let settled = epochs.iter().all(|epoch| *epoch == record.active_epoch().0);
        if due && settled {
            self.with_group(|group| group.last_decision = Some(boot::Instant::now()));
            self.decide(record, revision).await;
        }
    }

    /// Returns the interval between two decisions: that of the bundle, which this host's settings
    /// can only shorten.
    fn interval(&self) -> Duration {
        let own = self.entry.process.settings.entry.as_ref().map_or(0, |own| own.rebalance_s);
        let bundle = u64::from(self.rules.interval_s);
        Duration::from_secs(if own == 0 { bundle } else { own.min(bundle) })
    }

    fn with_group<R>(&self, change: impl FnOnce(&mut Group) -> R) -> R {
        let mut groups = self.entry.groups.lock();
        change(groups.entry(self.name.clone()).or_default())
    }

    fn key(&self) -> String {
        key::map(&self.entry.process.settings.process.deployment, self.name)
    }

    /// Reads the group's record from the platform; an empty one if it does not exist. A record must
    /// be whole: a map with a part left out would route tokens to experts that no rank holds.
    async fn read_record(&self) -> Option<(store::Revision, record::Record)> {
        let entry = self.entry.process.platform.get(&self.key()).await.ok()?;
        let Some(entry) = entry else { return Some((0, record::Record::default())) };
        match serde_json::from_slice(&entry.value) {
            Ok(record) => Some((entry.revision, record)),
            Err(error) => {
                log::error!(
                    "invalid map record key={} error={} next=wait",
                    field::Text(&self.key()),
                    field::Quoted(&error)
                );
                None
            }
        }
    }

    /// Switches ranks that use another map, for example after a restart, to the map in force. A
    /// change that is in progress is aborted first, even another driver's: preparing the map in
    /// force again could displace the map that the change has prepared.
    async fn reconcile(
        &self,
        record: &record::Record,
        mut revision: store::Revision,
        epochs: &[u64],
    ) {
        let Some(map) = &record.active else { return };
        let lagging = epochs.iter().any(|epoch| *epoch != map.epoch.0);
        if map.layout.shape != self.shape || !lagging {
            return;
        }
        if record.next.is_some() {
            let aborted = self.write_record(record.abandon(nonce()), &mut revision).await;
            if !matches!(aborted, change::Event::Written(_)) {
                return;
            }
        }
        let fence = gate::Fence(revision);
        for (rank, epoch) in epochs.iter().enumerate() {
            if *epoch != map.epoch.0 {
                self.send_order(rank, wire::Action::Prepare, map, fence).await;
            }
        }
        self.send_order(0, wire::Action::Activate, map, fence).await;
    }

    /// Decides on a new map by the load of the experts, and changes the map if that pays.
    async fn decide(&self, record: record::Record, revision: store::Revision) {
        let usable = record.active.as_ref().filter(|map| map.layout.shape == self.shape);
        let Some(current) = usable.map(|map| map.layout.clone()) else {
            self.record_decision("reason=first-map");
            self.change_map(record, revision, layout::Layout::round_robin(self.shape)).await;
            return;
        };
        let Some(load) = self.collect_load().await else {
            self.record_decision("choice=stay reason=counts-missing");
            return;
        };
        let health = cost::Health::healthy(self.shape.ranks);
        let skew = cost::skew(&current, &load, &health);
        let rules = policy::Rules {
            skew_weight: self.rules.skew_weight,
            cost_weight: self.rules.cost_weight,
            moves: self.rules.moves,
            replicas: self.rules.replicas,
            ..policy::Rules::default()
        };
        let next = self.choose(rules, load.clone(), current.clone(), skew).await;
        let Some(next) = next else {
            self.record_decision(&format!("skew={skew:.3} choice=stay reason=nothing-pays"));
            return;
        };
        let after = cost::skew(&next, &load, &health);
        let loads = next.loads_from(&current);
        self.record_decision(&format!(
            "skew={skew:.3} predicted={after:.3} loads={loads} choice=move"
        ));
        self.change_map(record, revision, next).await;
    }

    /// Runs the policy on a blocking thread. At the target size it takes longer than a token may be
    /// delayed.
    async fn choose(
        &self,
        rules: policy::Rules,
        load: load::Load,
        current: layout::Layout,
        skew: f64,
    ) -> Option<layout::Layout> {
        let (entry, name) = (self.entry.clone(), self.name.clone());
        let decision = threads::run(move || {
            let health = cost::Health::healthy(current.shape.ranks);
            let mut groups = entry.groups.lock();
            let group = groups.entry(name).or_default();
            group.skew = Some(skew);
            group.policy.set_rules(rules);
            let observation = policy::Observation { load: &load, health: &health };
            group.policy.decide(observation, &current)
        });
        // If the policy panics, or its thread is refused, the map stays.
        decision.await.unwrap_or(None)
    }

    fn record_decision(&self, text: &str) {
        self.entry.process.history.record(self.name, text.to_owned());
    }

    /// Collects the token counts of all experts from all ranks. Returns `None` unless all ranks
    /// answered.
    async fn collect_load(&self) -> Option<load::Load> {
        let calls = self.ranks.iter().map(|target| async {
            let mut agent = self.entry.process.links.get(target.address).agent.clone();
            let call = tokio::time::timeout(CALL_TIMEOUT, agent.popularity(wire::Ask {})).await;
            Some(call.ok()?.ok()?.into_inner())
        });
        let answers = futures_util::future::join_all(calls).await;
        let mut load = load::Load::new(self.shape.layers as usize, self.shape.experts as usize);
        for counts in answers {
            add_counts(&mut load, &counts?, self.shape);
        }
        Some(load)
    }

    /// Changes the group's map.
    async fn change_map(
        &self,
        record: record::Record,
        revision: store::Revision,
        next: layout::Layout,
    ) {
        let (mut driver, first) = change::Driver::begin(&record, next, [nonce(), nonce()]);
        let mut commands = vec![first];
        let mut revision = revision;
        while let Some(command) = commands.pop() {
            let events = self.execute(command, &mut revision).await;
            for event in events {
                commands.extend(driver.step(&event));
            }
        }
        let end = driver.ended();
        if matches!(end, Some(change::End::Done | change::End::Unconfirmed)) {
            self.entry.process.metrics.map_changes.inc();
        }
        self.record_decision(&format!("change={end:?} revision={revision}"));
    }

    /// Executes a command of the driver's state machine, and returns the resulting events.
    async fn execute(
        &self,
        command: change::Command,
        revision: &mut store::Revision,
    ) -> Vec<change::Event> {
        match command {
            change::Command::Write(record) => vec![self.write_record(record, revision).await],
            change::Command::Prepare(map, fence) => {
                let orders =
                    (0..self.ranks.len()).map(|rank| {
                        let map = &map;
                        async move {
                            (rank, self.send_order(rank, wire::Action::Prepare, map, fence).await)
                        }
                    });
                let done = futures_util::future::join_all(orders).await;
                let event = |(rank, done): (usize, bool)| match done {
                    true => change::Event::Prepared(rank as u32),
                    false => change::Event::Failed(rank as u32),
                };
                done.into_iter().map(event).collect()
            }
            change::Command::Activate(map, fence) => {
                match self.send_order(0, wire::Action::Activate, &map, fence).await {
                    true => vec![change::Event::Activated],
                    false => vec![change::Event::Failed(0)],
                }
            }
        }
    }

    /// Writes the group's record if its revision is still `revision`, which is updated.
    async fn write_record(
        &self,
        record: record::Record,
        revision: &mut store::Revision,
    ) -> change::Event {
        let value: Bytes = serde_json::to_vec(&record).unwrap_or_default().into();
        let platform = &self.entry.process.platform;
        match store::swap_confirmed(platform, &self.key(), *revision, value).await {
            Ok(store::Outcome::Won(won)) => {
                *revision = won;
                self.with_group(|group| group.record = Some((won, record)));
                change::Event::Written(gate::Fence(won))
            }
            Ok(store::Outcome::Overtaken(_) | store::Outcome::Conflict(_)) | Err(_) => {
                change::Event::NotWritten
            }
        }
    }

    /// Sends an order to a rank. Returns whether the rank confirmed that it was carried out.
    async fn send_order(
        &self,
        rank: usize,
        action: wire::Action,
        map: &record::Map,
        fence: gate::Fence,
    ) -> bool {
        let carries_map = action == wire::Action::Prepare;
        let text =
            if carries_map { serde_json::to_vec(map).unwrap_or_default() } else { Vec::new() };
        let order = wire::Order {
            group: self.name.to_string(),
            action: action.into(),
            epoch: map.epoch.0,
            fence: fence.0,
            digest: map.layout.digest(),
            map: text.into(),
        };
        let limit = if carries_map { PREPARE_TIMEOUT } else { CALL_TIMEOUT };
        let mut agent = self.entry.process.links.get(self.ranks[rank].address).agent.clone();
        let answer = tokio::time::timeout(limit, agent.command(order)).await;
        let verdict = answer.ok().and_then(Result::ok).map(|answer| answer.into_inner().ruling());
        verdict == Some(wire::Ruling::Done)
    }
}

/// Returns a value that identifies one write, so that the write is recognized if its answer is
/// lost.
fn nonce() -> String {
    format!("{:032x}", rand::random::<u128>())
}

/// Adds one rank's counts. Counts of unknown layers or experts are ignored.
fn add_counts(load: &mut load::Load, counts: &wire::Counts, shape: layout::Shape) {
    for (layer, row) in counts.layers.iter().enumerate().take(shape.layers as usize) {
        let tokens = load.layer_mut(entity::Layer::from_u32(layer as u32));
        for (expert, count) in row.experts.iter().zip(&row.tokens) {
            if let Some(sum) = tokens.get_mut(*expert as usize) {
                *sum += f64::from(*count);
            }
        }
    }
}
