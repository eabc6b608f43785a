//! No idempotency key is granted twice, whatever the order of events.

#![allow(clippy::unwrap_used, reason = "a test that fails may panic")]

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use loftcove_decision::clock;
use loftcove_decision::home::{keeper, key, table};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const AGENTS: usize = 3;
const SLOTS: usize = 2;
const RULES: keeper::Rules = keeper::Rules {
    lease: Duration::from_millis(60),
    grace: Duration::from_millis(400),
    skew: Duration::from_millis(10),
    window: Duration::from_millis(2_000),
    capacity: 64,
};

/// An event of a generated run. A read or write consists of two events, because messages may be
/// late or lost between them and processes may be suspended.
#[derive(Debug, Clone)]
enum Event {
    Pass(u64),
    BeginRead(usize),
    EndRead(usize),
    Renew {
        home: usize,
        witness: usize,
        late: u64,
    },
    BeginChange(usize, Change),
    EndChange(usize),
    Orphan {
        away: [bool; AGENTS],
    },
    Restart(usize),
    /// An agent makes all changes that are due, as its daemon would, if the platform is reachable.
    Cycle(usize),
    /// The platform becomes unreachable for an agent, or reachable again.
    Online(usize, bool),
    /// A key is claimed at every agent, as by clients whose tables are outdated in different ways.
    Claim {
        first: usize,
        age: u64,
        salt: u8,
    },
    ClaimAgain {
        first: usize,
        which: prop::sample::Index,
    },
}

#[derive(Debug, Clone, Copy)]
enum Change {
    TakeOver,
    Retake,
    Mend,
    Settle,
    Retire,
}

struct Agent {
    keeper: keeper::Keeper,
    incarnation: u64,
    /// Milliseconds by which its wall clock is ahead.
    ahead: u64,
    online: bool,
    /// A read in progress: when it began, and the revision and table that it returns.
    read: Option<(clock::Instant, u64, table::Table)>,
    /// A write in progress: the expected revision, and the new table.
    write: Option<(u64, table::Table)>,
}

struct World {
    now: u64,
    revision: u64,
    table: table::Table,
    agents: Vec<Agent>,
    keys: Vec<key::Key>,
    granted: BTreeMap<key::Key, u32>,
    tokens: u128,
}

fn host(agent: usize) -> Arc<str> {
    format!("agent{agent}").into()
}

fn candidates() -> Vec<table::Candidate> {
    let zone = |agent: usize| format!("zone{agent}").into();
    (0..AGENTS).map(|agent| table::Candidate { host: host(agent), zone: zone(agent) }).collect()
}

const EPOCH_MS: u64 = 1_000_000;

impl World {
    fn new(ahead: [u64; AGENTS]) -> World {
        let agents = ahead.into_iter().enumerate().map(|(index, ahead)| Agent {
            keeper: keeper::Keeper::new(holder(index, 1), RULES),
            incarnation: 1,
            ahead,
            online: true,
            read: None,
            write: None,
        });
        World {
            now: 0,
            revision: 1,
            table: table::Table::found(&candidates(), SLOTS, String::new()),
            agents: agents.collect(),
            keys: Vec::new(),
            granted: BTreeMap::new(),
            tokens: 0,
        }
    }

    fn now(&self) -> clock::Instant {
        clock::Instant::from_millis(self.now)
    }

    fn wall(&self, agent: usize) -> clock::Wall {
        clock::Wall::from_millis(EPOCH_MS + self.now + self.agents[agent].ahead)
    }

    fn apply(&mut self, event: Event) {
        let now = self.now();
        match event {
            Event::Pass(millis) => self.now += millis,
            Event::BeginRead(agent) => {
                let shown = (now, self.revision, self.table.clone());
                self.agents[agent].read = Some(shown);
            }
            Event::EndRead(agent) => {
                let wall = self.wall(agent);
                if let Some((began, revision, table)) = self.agents[agent].read.take() {
                    self.agents[agent].keeper.confirm(revision, table, began, wall);
                }
            }
            Event::Renew { home, witness, late } => {
                let asked = now;
                self.now += late;
                let answered = self.now();
                let holder = holder(home, self.agents[home].incarnation);
                let hold = self.agents[witness].keeper.renew(&holder, answered);
                self.agents[home].keeper.record_promise(&host(witness), hold, asked);
            }
            Event::BeginChange(agent, change) => self.begin_change(agent, change),
            Event::EndChange(agent) => {
                if let Some((expected, next)) = self.agents[agent].write.take() {
                    self.swap(expected, next);
                }
            }
            Event::Orphan { away } => self.orphan(away),
            Event::Restart(agent) => {
                let incarnation = self.agents[agent].incarnation + 1;
                let keeper = keeper::Keeper::new(holder(agent, incarnation), RULES);
                // A write that the old run sent may still arrive.
                let write = self.agents[agent].write.take();
                let Agent { ahead, online, .. } = self.agents[agent];
                self.agents[agent] =
                    Agent { keeper, incarnation, ahead, online, read: None, write };
            }
            Event::Online(agent, online) => self.agents[agent].online = online,
            Event::Cycle(agent) => self.cycle(agent),
            Event::Claim { first, age, salt } => {
                let made = self.wall((first + 1) % AGENTS).millis().saturating_sub(age);
                self.keys.push(key_at(made, salt));
                self.claim_everywhere(first, key_at(made, salt));
            }
            Event::ClaimAgain { first, which } => {
                if !self.keys.is_empty() {
                    self.claim_everywhere(first, *which.get(&self.keys));
                }
            }
        }
    }

    fn read(&mut self, agent: usize) {
        self.apply(Event::BeginRead(agent));
        self.apply(Event::EndRead(agent));
    }

    fn cycle(&mut self, agent: usize) {
        if self.agents[agent].online {
            self.read(agent);
            for change in [Change::Retake, Change::TakeOver, Change::Mend, Change::Settle] {
                self.begin_change(agent, change);
                self.apply(Event::EndChange(agent));
                self.read(agent);
            }
        }
        for witness in 0..AGENTS {
            let link = Event::Renew { home: agent, witness, late: 0 };
            if witness != agent {
                self.apply(link);
            }
        }
    }

    fn claim_everywhere(&mut self, first: usize, key: key::Key) {
        (0..AGENTS).for_each(|next| self.claim((first + next) % AGENTS, key));
    }

    fn begin_change(&mut self, agent: usize, change: Change) {
        let (now, wall) = (self.now(), self.wall(agent));
        let keeper = &mut self.agents[agent].keeper;
        let elected = candidates();
        let revision = keeper.table().0;
        if revision == 0 {
            return;
        }
        let next = match change {
            Change::TakeOver => {
                let silent = keeper.silent_homes(now).into_iter().next();
                silent.map(|home| keeper.take_over(&home, &elected))
            }
            Change::Retake => keeper.retake(&elected),
            Change::Mend => keeper.mend_witnesses(|_| false, &elected, now),
            Change::Settle => keeper.settle_slots(wall),
            Change::Retire => keeper.retire(&elected),
        };
        if let Some(next) = next {
            self.agents[agent].write = Some((revision, next));
        }
    }

    fn swap(&mut self, expected: u64, next: table::Table) {
        if expected == self.revision {
            self.revision += 1;
            self.table = next;
        }
    }

    fn orphan(&mut self, away: [bool; AGENTS]) {
        let gone = |name: &str| (0..AGENTS).any(|agent| away[agent] && *host(agent) == *name);
        let successor = (0..AGENTS).find(|agent| !away[*agent]);
        let mut next = self.table.clone();
        let changed = next.reassign(
            |entry| gone(&entry.home.host) && entry.witness.as_deref().is_none_or(gone),
            |_, _| Some(table::Holder { host: host(successor?), incarnation: table::NO_RUN }),
            &candidates(),
            table::Way::Orphaned,
        );
        if changed {
            self.swap(self.revision, next);
        }
    }

    fn claim(&mut self, agent: usize, key: key::Key) {
        self.tokens += 1;
        let claim = keeper::Claim { key, fingerprint: 1, token: self.tokens };
        let (now, wall) = (self.now(), self.wall(agent));
        let keeper = &mut self.agents[agent].keeper;
        let standing = keeper.claim(claim, now, wall);
        keeper.verify().unwrap();
        if standing == keeper::Standing::Granted {
            *self.granted.entry(key).or_default() += 1;
        }
    }
}

fn holder(agent: usize, incarnation: u64) -> table::Holder {
    table::Holder { host: host(agent), incarnation }
}

fn key_at(millis: u64, salt: u8) -> key::Key {
    let mut bytes = [salt; 16];
    bytes[..6].copy_from_slice(&millis.to_be_bytes()[2..]);
    bytes[6] = 0x70;
    bytes[8] = 0x80;
    key::Key::from_bytes(&bytes).unwrap()
}

fn event() -> impl Strategy<Value = Event> {
    let agent = 0..AGENTS;
    let change = prop_oneof![
        Just(Change::TakeOver),
        Just(Change::Retake),
        Just(Change::Mend),
        Just(Change::Settle),
        Just(Change::Retire),
    ];
    prop_oneof![
        12 => (1..90_u64).prop_map(Event::Pass),
        1 => agent.clone().prop_map(Event::BeginRead),
        1 => agent.clone().prop_map(Event::EndRead),
        4 => (agent.clone(), agent.clone(), 0..30_u64)
            .prop_map(|(home, witness, late)| Event::Renew { home, witness, late }),
        2 => (agent.clone(), change).prop_map(|(agent, change)| Event::BeginChange(agent, change)),
        1 => agent.clone().prop_map(Event::EndChange),
        1 => any::<[bool; AGENTS]>().prop_map(|away| Event::Orphan { away }),
        1 => agent.clone().prop_map(Event::Restart),
        14 => agent.clone().prop_map(Event::Cycle),
        4 => (agent.clone(), any::<bool>()).prop_map(|(agent, online)| Event::Online(agent, online)),
        8 => (agent.clone(), 0..120_u64, 0..4_u8)
            .prop_map(|(first, age, salt)| Event::Claim { first, age, salt }),
        8 => (agent, any::<prop::sample::Index>())
            .prop_map(|(first, which)| Event::ClaimAgain { first, which }),
    ]
}

/// Returns a configuration with the same cases in every run.
fn config(cases: u32) -> ProptestConfig {
    let rng_seed = RngSeed::Fixed(20_261_202);
    ProptestConfig { cases, rng_seed, failure_persistence: None, ..ProptestConfig::default() }
}

proptest! {
    #![proptest_config(config(20_000))]

    #[test]
    fn no_key_is_granted_twice(
        ahead in any::<[u8; AGENTS]>(),
        events in prop::collection::vec(event(), 1..200),
    ) {
        let skew = RULES.skew.as_millis() as u64;
        let mut world = World::new(ahead.map(|ahead| u64::from(ahead) % (skew + 1)));
        for event in events {
            world.apply(event);
        }
        for (key, times) in &world.granted {
            prop_assert!(*times <= 1, "{} was granted {} times", key, times);
        }
    }
}

#[test]
fn a_home_grants_keys_during_a_platform_outage_while_its_witness_promises() {
    let mut world = World::new([0; AGENTS]);
    for event in [Event::BeginRead(0), Event::EndRead(0), Event::BeginRead(1), Event::EndRead(1)] {
        world.apply(event);
    }
    for event in [Event::BeginChange(0, Change::Retake), Event::EndChange(0)] {
        world.apply(event);
    }
    for event in [Event::BeginRead(0), Event::EndRead(0), Event::BeginRead(1), Event::EndRead(1)] {
        world.apply(event);
    }
    let slot = loftcove_decision::entity::Slot::from_u32(0);
    let witness = world.table.slots[0].witness.clone().unwrap();
    assert_eq!(&*witness, "agent1");
    for _ in 0..6 {
        world.apply(Event::Pass(50));
        world.apply(Event::Renew { home: 0, witness: 1, late: 1 });
        assert!(world.agents[0].keeper.holds(slot, world.now()));
    }
    world.apply(Event::Pass(61));
    assert!(!world.agents[0].keeper.holds(slot, world.now()));
}

/// Returns a world in which agent 0 is the home of slot 0 and agent 1 is its witness.
fn settled_world() -> World {
    let mut world = World::new([0; AGENTS]);
    (0..2).for_each(|_| (0..AGENTS).for_each(|agent| world.cycle(agent)));
    assert_eq!(world.table.slots[0].home, holder(0, 1));
    world
}

/// Returns a key of slot 0 whose creation time is `ahead` ms after the present, or before it if
/// negative.
fn key_of_slot_0(world: &World, ahead: i64) -> key::Key {
    let made = (EPOCH_MS + world.now).saturating_add_signed(ahead);
    let fits = |key: &key::Key| key.slot(SLOTS).as_u32() == 0;
    (0..=u8::MAX).map(|salt| key_at(made, salt)).find(fits).unwrap()
}

fn standing(world: &mut World, agent: usize, key: key::Key) -> keeper::Standing {
    world.tokens += 1;
    let claim = keeper::Claim { key, fingerprint: 1, token: world.tokens };
    let (now, wall) = (world.now(), world.wall(agent));
    world.agents[agent].keeper.claim(claim, now, wall)
}

#[test]
fn rejects_a_key_created_in_the_future() {
    let mut world = settled_world();
    let key = key_of_slot_0(&world, 500);
    assert_eq!(standing(&mut world, 0, key), keeper::Standing::Future);
}

#[test]
fn promises_without_the_platform_expire_with_the_grace() {
    let mut world = settled_world();
    world.apply(Event::Online(0, false));
    for _ in 0..12 {
        world.apply(Event::Pass(30));
        world.apply(Event::Renew { home: 0, witness: 1, late: 0 });
    }
    let key = key_of_slot_0(&world, 0);
    assert_eq!(standing(&mut world, 0, key), keeper::Standing::Granted);
    for _ in 0..3 {
        world.apply(Event::Pass(30));
        world.apply(Event::Renew { home: 0, witness: 1, late: 0 });
    }
    let key = key_of_slot_0(&world, 0);
    assert_eq!(standing(&mut world, 0, key), keeper::Standing::NotHome);
}

#[test]
fn the_wait_for_an_earlier_home_continues_after_the_next_change() {
    let mut world = settled_world();
    // Agents 0 and 1 are presumed lost and continue without the platform.
    for agent in [0, 1] {
        world.apply(Event::Online(agent, false));
    }
    world.apply(Event::Orphan { away: [true, true, false] });
    world.cycle(2);
    // The new home restarts at once. This must not shorten the wait for the lease of agent 0.
    world.apply(Event::Restart(2));
    for _ in 0..6 {
        world.cycle(2);
        world.apply(Event::Pass(50));
        world.apply(Event::Renew { home: 0, witness: 1, late: 0 });
    }
    let key = key_of_slot_0(&world, 0);
    assert_eq!(standing(&mut world, 0, key), keeper::Standing::Granted);
    assert_eq!(standing(&mut world, 2, key), keeper::Standing::Unknown);
}

#[test]
fn a_home_that_replaced_its_witness_ignores_promises_of_the_old_one() {
    let mut world = settled_world();
    let (now, successor) = (world.now(), [candidates()[2].clone()]);
    let keeper = &mut world.agents[0].keeper;
    let next = keeper.mend_witnesses(|host| host == "agent1", &successor, now);
    // The change is applied, but its answer is lost and the platform becomes unreachable.
    world.swap(world.revision, next.unwrap());
    world.apply(Event::Online(0, false));
    world.apply(Event::Online(1, false));
    for _ in 0..6 {
        world.apply(Event::Pass(50));
        world.apply(Event::Renew { home: 0, witness: 1, late: 0 });
        world.cycle(2);
    }
    assert_eq!(world.table.slots[0].home.host, host(2));
    let key = key_of_slot_0(&world, 0);
    assert_eq!(standing(&mut world, 0, key), keeper::Standing::NotHome);
}

#[test]
fn a_home_that_cannot_reach_its_witness_replaces_it_and_stays_the_home() {
    let mut world = settled_world();
    // Agent 1 receives no requests for promises, but can reach the platform.
    for _ in 0..20 {
        world.apply(Event::Pass(20));
        for agent in [0, 2] {
            world.read(agent);
            world.begin_change(agent, Change::Mend);
            world.apply(Event::EndChange(agent));
            world.read(agent);
        }
        world.apply(Event::Renew { home: 0, witness: 2, late: 0 });
        world.read(1);
        world.begin_change(1, Change::TakeOver);
        world.apply(Event::EndChange(1));
    }
    let slot = &world.table.slots[0];
    assert_eq!((slot.home.clone(), slot.witness.clone()), (holder(0, 1), Some(host(2))));
}
