//! Model test of map changes: all ranks of a group use the same map in every step.
//!
//! It guards against ranks that run a step with different maps. The triggers are concurrent
//! drivers, lost answers, late or repeated orders, and restarts of agents and engines.

#![allow(clippy::unwrap_used, reason = "a test that fails may panic")]

use std::collections::BTreeMap;

use loftcove_decision::map::{change, gate, record};
use loftcove_decision::placement::layout;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const RANKS: usize = 3;
const DRIVERS: usize = 2;

#[derive(Debug, Clone)]
enum Event {
    /// A driver reads the record and begins a change, which replaces the one it was making.
    Begin(usize, u8),
    /// The next command of a driver is carried out; its answer may be lost.
    Work {
        driver: usize,
        lost: bool,
    },
    /// An order that was sent before is delivered again.
    Deliver(prop::sample::Index),
    /// An agent restarts and learns its fence from another agent or from the platform.
    RestartAgent {
        rank: usize,
        platform: bool,
    },
    /// An engine restarts with its initial map.
    RestartEngine(usize),
    /// The driver prepares the active map on a rank and activates it on rank 0.
    Reconcile(usize),
    Step,
}

#[derive(Debug, Clone)]
struct Order {
    rank: usize,
    order: gate::Order,
}

/// Engine that carries out every order that its agent's gate accepts.
#[derive(Debug, Clone, Default)]
struct Engine {
    prepared: BTreeMap<u64, u64>,
    active: u64,
}

impl Engine {
    fn initial() -> Engine {
        Engine { prepared: BTreeMap::from([(0, 0)]), active: 0 }
    }
}

struct Model {
    revision: u64,
    record: record::Record,
    drivers: Vec<Option<(change::Driver, Vec<change::Command>, u64)>>,
    gates: Vec<gate::Gate>,
    engines: Vec<Engine>,
    sent: Vec<Order>,
    nonces: u64,
    /// Epoch of the last step; it decreases only after a restart of an engine.
    last: u64,
    engine_restarted: bool,
}

fn shape() -> layout::Shape {
    layout::Shape { layers: 1, experts: 4, ranks: RANKS as u32, slots: 3 }
}

fn layout_for(salt: u8) -> layout::Layout {
    let mut layout = layout::Layout::round_robin(shape());
    let other = u32::from(salt) % RANKS as u32;
    layout.layers[0][usize::from(salt) % 4] = vec![other];
    layout
}

impl Model {
    fn new() -> Model {
        let mut gate = gate::Gate::default();
        gate.learn(gate::Fence(0));
        Model {
            revision: 0,
            record: record::Record::default(),
            drivers: (0..DRIVERS).map(|_| None).collect(),
            gates: vec![gate; RANKS],
            engines: vec![Engine::initial(); RANKS],
            sent: Vec::new(),
            nonces: 0,
            last: 0,
            engine_restarted: false,
        }
    }

    fn nonce(&mut self) -> String {
        self.nonces += 1;
        self.nonces.to_string()
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::Begin(driver, salt) => {
                // A driver begins a change only if all engines use the active map.
                let active = self.record.active_epoch().0;
                if self.engines.iter().any(|engine| engine.active != active) {
                    return self.apply(Event::Reconcile(0));
                }
                let nonces = [self.nonce(), self.nonce()];
                let (machine, first) =
                    change::Driver::begin(&self.record, layout_for(salt), nonces);
                self.drivers[driver] = Some((machine, vec![first], self.revision));
            }
            Event::Work { driver, lost } => self.work(driver, lost),
            Event::Deliver(which) => {
                if !self.sent.is_empty() {
                    let order = which.get(&self.sent).clone();
                    self.deliver(&order);
                }
            }
            Event::RestartAgent { rank, platform } => {
                let fence = match platform {
                    true => Some(gate::Fence(self.revision)),
                    false => (0..RANKS)
                        .filter(|other| *other != rank && self.gates[*other].ready())
                        .map(|other| self.gates[other].fence())
                        .max(),
                };
                self.gates[rank] = gate::Gate::default();
                if let Some(fence) = fence {
                    self.gates[rank].learn(fence);
                }
            }
            Event::RestartEngine(rank) => {
                self.engines[rank] = Engine::initial();
                self.engine_restarted = true;
            }
            Event::Reconcile(rank) => {
                if self.record.next.is_some() {
                    let nonce = self.nonce();
                    self.record = self.record.abandon(nonce);
                    self.revision += 1;
                }
                if let Some(map) = self.record.active.clone() {
                    let fence = gate::Fence(self.revision);
                    self.send(rank, gate::Action::Prepare, &map, fence);
                    self.send(0, gate::Action::Activate, &map, fence);
                }
            }
            Event::Step => self.step(),
        }
    }

    fn work(&mut self, driver: usize, lost: bool) {
        let Some((mut machine, mut commands, mut revision)) = self.drivers[driver].take() else {
            return;
        };
        let events = match commands.pop() {
            None => return,
            Some(change::Command::Write(record)) => {
                let applied = revision == self.revision;
                if applied {
                    self.revision += 1;
                    self.record = record;
                    revision = self.revision;
                }
                // The driver aborts the change when the answer is lost.
                let confirmed = applied && !lost;
                vec![if confirmed {
                    change::Event::Written(gate::Fence(revision))
                } else {
                    change::Event::NotWritten
                }]
            }
            Some(change::Command::Prepare(map, fence)) => (0..RANKS)
                .map(|rank| match self.send(rank, gate::Action::Prepare, &map, fence) && !lost {
                    true => change::Event::Prepared(rank as u32),
                    false => change::Event::Failed(rank as u32),
                })
                .collect(),
            Some(change::Command::Activate(map, fence)) => {
                vec![match self.send(0, gate::Action::Activate, &map, fence) && !lost {
                    true => change::Event::Activated,
                    false => change::Event::Failed(0),
                }]
            }
        };
        for event in events {
            commands.extend(machine.step(&event));
        }
        self.drivers[driver] = Some((machine, commands, revision));
    }

    fn send(
        &mut self,
        rank: usize,
        action: gate::Action,
        map: &record::Map,
        fence: gate::Fence,
    ) -> bool {
        let order = gate::Order { action, epoch: map.epoch, fence, digest: map.layout.digest() };
        let order = Order { rank, order };
        self.sent.push(order.clone());
        self.deliver(&order)
    }

    fn deliver(&mut self, Order { rank, order }: &Order) -> bool {
        if self.gates[*rank].check(order).is_err() {
            return false;
        }
        let engine = &mut self.engines[*rank];
        match order.action {
            gate::Action::Prepare => {
                let active = engine.active;
                engine.prepared.retain(|epoch, _| *epoch == active);
                engine.prepared.insert(order.epoch.0, order.digest);
                self.gates[*rank].record_prepared(order);
            }
            gate::Action::Activate if !engine.prepared.contains_key(&order.epoch.0) => {
                return false;
            }
            gate::Action::Activate => engine.active = order.epoch.0,
        }
        true
    }

    /// Rank 0 launches a step; an engine that has not prepared its epoch blocks it.
    fn step(&mut self) {
        let epoch = self.engines[0].active;
        let used: Vec<Option<u64>> =
            self.engines.iter().map(|engine| engine.prepared.get(&epoch).copied()).collect();
        if used.iter().any(Option::is_none) {
            assert!(self.engine_restarted, "the group is blocked at epoch {epoch}");
            return;
        }
        assert!(
            self.engine_restarted || epoch >= self.last,
            "epoch decreased from {} to {epoch}",
            self.last
        );
        self.last = epoch;
        assert!(used.iter().all(|digest| *digest == used[0]), "epoch {epoch}: {used:?}");
        self.engines.iter_mut().for_each(|engine| engine.active = epoch);
    }
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        3 => (0..DRIVERS, any::<u8>()).prop_map(|(driver, salt)| Event::Begin(driver, salt)),
        8 => (0..DRIVERS, prop::bool::weighted(0.1)).prop_map(|(driver, lost)| Event::Work { driver, lost }),
        4 => any::<prop::sample::Index>().prop_map(Event::Deliver),
        1 => (0..RANKS, any::<bool>()).prop_map(|(rank, platform)| Event::RestartAgent { rank, platform }),
        1 => (0..RANKS).prop_map(Event::RestartEngine),
        2 => (0..RANKS).prop_map(Event::Reconcile),
        5 => Just(Event::Step),
    ]
}

/// Configuration with a fixed seed: the same cases in every run.
fn config(cases: u32) -> ProptestConfig {
    let rng_seed = RngSeed::Fixed(20_261_202);
    ProptestConfig { cases, rng_seed, failure_persistence: None, ..ProptestConfig::default() }
}

proptest! {
    #![proptest_config(config(10_000))]

    #[test]
    fn all_ranks_use_the_same_map_in_every_step(events in prop::collection::vec(event(), 1..120)) {
        let mut model = Model::new();
        for event in events {
            model.apply(event);
        }
        // After any sequence of events, a driver without interference can activate a new map.
        model.drivers[0] = None;
        for rank in 0..RANKS {
            model.apply(Event::RestartEngine(rank));
        }
        for gate in &mut model.gates {
            gate.learn(gate::Fence(model.revision));
        }
        (0..RANKS).for_each(|rank| model.apply(Event::Reconcile(rank)));
        model.step();
        model.apply(Event::Begin(0, 1));
        for _ in 0..4 {
            model.apply(Event::Work { driver: 0, lost: false });
        }
        let ended = model.drivers[0].as_ref().and_then(|driver| driver.0.ended());
        prop_assert_eq!(ended, Some(change::End::Done));
        model.step();
        prop_assert_eq!(model.engines[1].active, model.record.active_epoch().0);
    }
}
