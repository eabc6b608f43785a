//! A partial copy of the store is merged from listings, changes and peers, while the store loses
//! parts of its history and assigns revision numbers again.

#![allow(clippy::unwrap_used, reason = "a test that fails may panic")]

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use loftcove_decision::clock;
use loftcove_decision::mirror::{Mirror, Record};
use loftcove_decision::revision::Revision;
use proptest::prelude::*;

const NOW: clock::Instant = clock::Instant::from_millis(1_000);
const GRACE: Duration = Duration::from_secs(2);
const KEYS: [&str; 4] = ["servers/a", "servers/b", "servers/c", "servers/d"];

fn put(key: &str, era: u32, number: u64, value: &'static str) -> Record {
    let value = Some(Bytes::from_static(value.as_bytes()));
    Record { key: key.into(), revision: Revision::new(era, number), value }
}

fn value(mirror: &Mirror, key: &str) -> Option<String> {
    mirror.get(key).map(|value| String::from_utf8(value.to_vec()).unwrap())
}

/// Guards against an observed failure: four configurations that were written after a loss were
/// dropped, because their revision numbers had been assigned before it.
#[test]
fn a_lower_number_of_a_later_era_is_newer() {
    let mut mirror = Mirror::default();
    assert!(mirror.apply(&put("op/config", 0, 53, "17"), NOW));
    assert!(mirror.apply(&put("op/config", 1, 49, "21"), NOW));
    assert!(!mirror.apply(&put("op/config", 0, 60, "late"), NOW));
    assert!(mirror.apply(&put("op/config", 1, 50, "23"), NOW));
    assert_eq!(value(&mirror, "op/config").unwrap(), "23");
}

#[test]
fn an_older_value_takes_effect_unless_its_owner_writes_again() {
    let mut mirror = Mirror::default();
    mirror.apply(&put("servers/a", 0, 30, "draining"), NOW);
    mirror.apply(&put("servers/b", 0, 31, "draining"), NOW);
    mirror.apply(&put("servers/c", 0, 32, "ready"), NOW);
    // The store returns without the last three writes.
    assert!(mirror.defer(&put("servers/a", 1, 10, "ready"), NOW + GRACE, true));
    assert!(mirror.defer(&put("servers/b", 1, 11, "ready"), NOW + GRACE, true));
    assert!(
        !mirror.defer(&put("servers/c", 1, 12, "ready"), NOW + GRACE, true),
        "an unchanged value was deferred"
    );
    assert!(
        !mirror.defer(&put("servers/d", 1, 13, "ready"), NOW + GRACE, true),
        "the value of an unknown key was deferred"
    );
    assert!(mirror.apply(&put("servers/a", 1, 21, "draining"), NOW));
    assert_eq!(mirror.next_expiry(), Some(NOW + GRACE));
    let due = mirror.expire(NOW + GRACE);
    assert_eq!(due, [put("servers/b", 1, 11, "ready")]);
    assert_eq!(value(&mirror, "servers/a").unwrap(), "draining");
    assert_eq!(value(&mirror, "servers/b").unwrap(), "ready");
}

/// Guards against a drain that returns after an operator removed it: a store that lost the removal
/// still has its mark. A configuration has a version and is not deferred.
#[test]
fn a_removed_key_that_returns_is_deferred_and_a_configuration_is_not() {
    let mut mirror = Mirror::default();
    mirror.apply(&put("op/evacuate/norte", 0, 30, "x"), NOW);
    mirror.apply(&Record { value: None, ..put("op/evacuate/norte", 0, 40, "") }, NOW);
    mirror.apply(&put("op/config", 0, 41, "17"), NOW);
    assert!(mirror.defer(&put("op/evacuate/norte", 1, 30, "x"), NOW + GRACE, false));
    assert!(!mirror.defer(&put("op/config", 1, 38, "21"), NOW + GRACE, false));
}

/// Guards against a grace that is too short after two losses within a second. Values that were
/// written again after the first loss are lost in the second.
#[test]
fn the_deferral_starts_again_in_each_era() {
    let mut mirror = Mirror::default();
    mirror.apply(&put("servers/a", 0, 30, "draining"), NOW);
    let later = NOW + Duration::from_secs(1);
    assert!(mirror.defer(&put("servers/a", 1, 10, "ready"), NOW + GRACE, true));
    assert!(mirror.defer(&put("servers/a", 1, 10, "ready"), later + GRACE, true));
    assert_eq!(mirror.next_expiry(), Some(NOW + GRACE));
    assert!(mirror.defer(&put("servers/a", 2, 10, "ready"), later + GRACE, true));
    assert_eq!(mirror.next_expiry(), Some(later + GRACE));
}

#[test]
fn ordinals_have_the_order_of_revisions() {
    let places = [(0, 1), (0, 53), (1, 2), (1, 52), (7, 0), (7, (1 << 36) - 1), (8, 1)];
    let ordinals = places.map(|(era, number)| Revision::new(era, number).ordinal());
    assert!(ordinals.is_sorted_by(|one, next| one < next));
    for (ordinal, (era, number)) in ordinals.into_iter().zip(places) {
        assert_eq!(Revision::from_ordinal(ordinal), Revision::new(era, number));
    }
    assert_eq!(Revision::new(0, 53).ordinal(), 53);
}

/// An event at the store or at one of the two hosts.
#[derive(Debug, Clone)]
enum Event {
    /// An owner writes a key, or removes it.
    Write(usize, bool),
    /// The store returns without its last few writes.
    Lose(usize),
    /// A host lists the store.
    List(usize),
    /// A host receives the changes since its listing, or lists the store if they were lost.
    Watch(usize),
    /// A host receives all records that the other one had at some earlier time.
    Send(usize, prop::sample::Index),
    /// Time passes.
    Pass(u64),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        4 => (0..KEYS.len(), prop::bool::weighted(0.8)).prop_map(|(key, put)| Event::Write(key, put)),
        1 => (0_usize..6).prop_map(Event::Lose),
        2 => (0_usize..2).prop_map(Event::List),
        4 => (0_usize..2).prop_map(Event::Watch),
        2 => (0_usize..2, any::<prop::sample::Index>()).prop_map(|(to, when)| Event::Send(to, when)),
        2 => (0_u64..1_500).prop_map(Event::Pass),
    ]
}

/// A simple model of the store: all changes of the present history.
#[derive(Default)]
struct Store {
    era: u32,
    changes: Vec<Record>,
    written: u64,
}

impl Store {
    fn write(&mut self, key: &str, put: bool) {
        self.written += 1;
        let value = put.then(|| Bytes::from(format!("value {}", self.written)));
        let revision = Revision::new(self.era, self.changes.len() as u64 + 1);
        self.changes.push(Record { key: key.into(), revision, value });
    }

    fn lose(&mut self, count: usize) {
        self.changes.truncate(self.changes.len().saturating_sub(count));
        self.era += 1;
    }

    fn revision(&self) -> Revision {
        Revision::new(self.era, self.changes.len() as u64)
    }

    /// Returns the items, with the revisions that a listing in the present era has.
    fn items(&self) -> BTreeMap<Arc<str>, Record> {
        let mut items = BTreeMap::new();
        for change in &self.changes {
            let revision = Revision::new(self.era, change.revision.number);
            items.insert(change.key.clone(), Record { revision, ..change.clone() });
        }
        items.retain(|_, item| item.value.is_some());
        items
    }
}

/// A host that watches the store.
#[derive(Default)]
struct Host {
    mirror: Mirror,
    after: Option<Revision>,
    sent: Vec<Vec<Record>>,
}

impl Host {
    fn list(&mut self, store: &Store, now: clock::Instant) {
        let items = store.items();
        let keys: Vec<Arc<str>> = items.keys().cloned().collect();
        let gone = self.mirror.missing("servers/", &keys, store.revision());
        for item in items.into_values() {
            if !self.mirror.defer(&item, now + GRACE, true) {
                self.mirror.apply(&item, now);
            }
        }
        gone.iter().for_each(|key| self.mirror.suspect_removal(key, store.revision(), now + GRACE));
        self.mirror.set_listed("servers/", store.revision());
        self.after = Some(store.revision());
    }

    fn watch(&mut self, store: &Store, now: clock::Instant) {
        let Some(after) = self.after.filter(|after| after.era == store.era) else {
            return self.list(store, now);
        };
        for change in &store.changes[after.number as usize..] {
            let revision = Revision::new(store.era, change.revision.number);
            self.mirror.apply(&Record { revision, ..change.clone() }, now);
        }
        self.after = Some(store.revision());
    }
}

proptest! {
    /// Whatever the order of writes, losses, listings, changes and records from peers, both hosts
    /// converge to the items of the store.
    #[test]
    fn hosts_converge_to_the_items_of_the_store(events in prop::collection::vec(event(), 1..120)) {
        let (mut store, mut now) = (Store::default(), NOW);
        let mut hosts = [Host::default(), Host::default()];
        for event in events {
            match event {
                Event::Write(key, put) => store.write(KEYS[key], put),
                Event::Lose(count) => store.lose(count),
                Event::List(host) => hosts[host].list(&store, now),
                Event::Watch(host) => hosts[host].watch(&store, now),
                Event::Send(to, when) => {
                    let sent = &hosts[1 - to].sent;
                    let records = if sent.is_empty() { Vec::new() } else { sent[when.index(sent.len())].clone() };
                    records.iter().for_each(|record| { hosts[to].mirror.apply(record, now); });
                }
                Event::Pass(ms) => now = now + Duration::from_millis(ms),
            }
            for host in &mut hosts {
                host.mirror.expire(now);
                host.sent.push(host.mirror.records().collect());
            }
        }
        for host in &mut hosts {
            host.watch(&store, now);
            host.mirror.expire(now + GRACE);
        }
        let expected: BTreeMap<Arc<str>, Option<Bytes>> =
            store.items().into_iter().map(|(key, item)| (key, item.value)).collect();
        for host in &hosts {
            let known: BTreeMap<Arc<str>, Option<Bytes>> =
                host.mirror.below("servers/").map(|record| (record.key, record.value)).collect();
            prop_assert_eq!(&known, &expected);
        }
    }
}
