//! Model test of the switch protocol: no pass begins while ranks of a group use different maps.
//!
//! The model loses, delays and repeats orders, loses answers, and lets a second driver take over,
//! also while the engine of the first driver is unreachable.

#![allow(clippy::unwrap_used, reason = "a test that fails may panic")]

use loftcove_decision::map::switch::{Condition, Effect, Order, Outcome, Switch};
use loftcove_decision::map::version;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const RANKS: usize = 4;
/// Rank of the driver's own engine.
const DRIVER: usize = 0;
/// Distance from the current pass to the held one.
const HOLD_DISTANCE: u64 = 2;

/// Engine that follows the rules of its interface.
#[derive(Debug, Clone, Copy, Default)]
struct Engine {
    condition: Condition,
    highest: u64,
}

impl Engine {
    /// Carries out an order if it is valid; returns whether it is accepted.
    fn execute(&mut self, order: Order, pass: u64) -> bool {
        let state = &mut self.condition;
        match order {
            Order::Prepare { version } => {
                if state.prepared == Some(version) {
                    return true;
                }
                let accepted = version > self.highest && state.armed.is_none();
                if accepted {
                    self.highest = version;
                    state.prepared = Some(version);
                }
                accepted
            }
            Order::Hold { pass: held } => {
                let accepted = held > pass && state.held.is_none_or(|other| other == held);
                if accepted {
                    state.held = Some(held);
                }
                accepted
            }
            Order::Arm { version, pass: at } => {
                let accepted = state.prepared == Some(version) && at > pass;
                if accepted {
                    state.armed = Some((version, at));
                }
                accepted
            }
            Order::Disarm { version } => {
                let accepted = state.armed.is_some_and(|(armed, _)| armed == version);
                if accepted {
                    state.armed = None;
                }
                accepted
            }
            Order::Release { pass: held } => {
                if state.held == Some(held) {
                    state.held = None;
                }
                true
            }
        }
    }

    /// Returns whether the state of the engine shows the effect of an order.
    fn shows(&self, order: Order) -> bool {
        let state = &self.condition;
        match order {
            Order::Prepare { version } => state.prepared == Some(version),
            Order::Hold { pass } => state.held == Some(pass),
            Order::Arm { version, pass } => {
                state.armed == Some((version, pass)) || state.map == version
            }
            Order::Disarm { version } => state.armed.is_none_or(|(armed, _)| armed != version),
            Order::Release { pass } => state.held != Some(pass),
        }
    }
}

#[derive(Debug, Clone)]
struct Group {
    engines: [Engine; RANKS],
    pass: u64,
}

impl Group {
    fn new() -> Group {
        Group { engines: [Engine::default(); RANKS], pass: 0 }
    }

    /// Begins the next pass unless it is held, and returns the maps of the ranks.
    fn step(&mut self) -> Vec<u64> {
        let next = self.pass + 1;
        if self.engines.iter().all(|engine| engine.condition.held != Some(next)) {
            self.pass = next;
            for engine in &mut self.engines {
                if let Some((version, _)) = engine.condition.armed.filter(|(_, at)| *at == next) {
                    engine.condition.map = version;
                    engine.condition.armed = None;
                    engine.condition.prepared = None;
                }
            }
        }
        self.engines.iter().map(|engine| engine.condition.map).collect()
    }

    fn conditions(&self) -> Vec<Condition> {
        self.engines.iter().map(|engine| engine.condition).collect()
    }
}

#[derive(Debug, Clone)]
enum Event {
    /// The driver sends one of its orders with a given delivery.
    Send { which: prop::sample::Index, delivery: Delivery },
    /// A delayed order is carried out.
    Late(prop::sample::Index),
    /// The group begins a pass.
    Step,
    /// The driver crashes, and another one takes over.
    TakeOver,
    /// The driver's host freezes with its engine, and another driver takes over that cannot query
    /// the engine.
    TakeOverUnreachable,
}

#[derive(Debug, Clone, Copy)]
enum Delivery {
    /// The engine handles the order and answers.
    Answered,
    /// The order is lost.
    Lost,
    /// The engine handles the order, and its answer is lost.
    Silent,
    /// The order arrives later or never, without an answer.
    Delayed,
}

fn event() -> impl Strategy<Value = Event> {
    let delivery = prop_oneof![
        6 => Just(Delivery::Answered),
        1 => Just(Delivery::Lost),
        1 => Just(Delivery::Silent),
        1 => Just(Delivery::Delayed),
    ];
    prop_oneof![
        12 => (any::<prop::sample::Index>(), delivery).prop_map(|(which, delivery)| Event::Send { which, delivery }),
        2 => any::<prop::sample::Index>().prop_map(Event::Late),
        4 => Just(Event::Step),
        1 => Just(Event::TakeOver),
        1 => Just(Event::TakeOverUnreachable),
    ]
}

/// Driver as in the sidecar: it determines the effect of an order from the state of the engine and
/// repeats the order while the effect is unknown.
struct Driver {
    switch: Option<Switch>,
    versions: u64,
}

impl Driver {
    fn orders(&mut self, group: &Group) -> Vec<(usize, Order)> {
        let versions = &mut self.versions;
        let switch = self.switch.get_or_insert_with(|| {
            *versions += 1;
            Switch::new(RANKS, version::encode(0, *versions, DRIVER, RANKS))
        });
        if switch.prepared() {
            switch.hold(group.pass + HOLD_DISTANCE);
        }
        switch.orders()
    }

    fn effect(&mut self, rank: usize, order: Order, effect: Effect) -> Option<Outcome> {
        let switch = self.switch.as_mut()?;
        switch.effect(rank, order, effect);
        let outcome = switch.outcome()?;
        self.switch = None;
        Some(outcome)
    }
}

/// Runs the events and returns the number of completed changes.
fn run(events: Vec<Event>) -> Result<u32, TestCaseError> {
    let mut group = Group::new();
    let mut driver = Driver { switch: None, versions: 0 };
    let mut delayed: Vec<(usize, Order)> = Vec::new();
    let mut switched = 0;
    for event in events {
        match event {
            Event::Send { which, delivery } => {
                let orders = driver.orders(&group);
                if orders.is_empty() {
                    continue;
                }
                let (rank, order) = orders[which.index(orders.len())];
                let accepted = match delivery {
                    Delivery::Answered | Delivery::Silent => {
                        group.engines[rank].execute(order, group.pass)
                    }
                    Delivery::Lost => false,
                    Delivery::Delayed => {
                        delayed.push((rank, order));
                        false
                    }
                };
                let effect = match delivery {
                    _ if group.engines[rank].shows(order) => Effect::Confirmed,
                    Delivery::Answered if !accepted => Effect::Refused,
                    _ => Effect::Unknown,
                };
                let outcome = driver.effect(rank, order, effect);
                switched += u32::from(outcome == Some(Outcome::Switched));
            }
            Event::Late(which) if !delayed.is_empty() => {
                let (rank, order) = delayed.swap_remove(which.index(delayed.len()));
                group.engines[rank].execute(order, group.pass);
            }
            Event::Late(_) => {}
            Event::Step => {
                let maps = group.step();
                prop_assert!(maps.windows(2).all(|pair| pair[0] == pair[1]), "{maps:?}");
            }
            Event::TakeOverUnreachable => {
                let mut ranks: Vec<_> = group.conditions().into_iter().map(Some).collect();
                ranks[DRIVER] = None;
                let Some(mut switch) = Switch::resume_without(&ranks, group.pass) else {
                    continue;
                };
                // The group has requests, so that the pass begins immediately.
                while switch.outcome().is_none() {
                    for (rank, order) in switch.orders() {
                        prop_assert!(rank != DRIVER, "the rank is unreachable");
                        group.engines[rank].execute(order, group.pass);
                        switch.effect(rank, order, Effect::Confirmed);
                    }
                }
                let maps = group.step();
                prop_assert!(maps.windows(2).all(|pair| pair[0] == pair[1]), "{maps:?}");
                driver.switch = None;
                driver.versions += 100;
            }
            Event::TakeOver => {
                driver.switch = Switch::resume(&group.conditions());
                if driver.switch.as_ref().is_some_and(|switch| switch.outcome().is_some()) {
                    driver.switch = None;
                }
                driver.versions += 100;
            }
        }
    }
    Ok(switched)
}

#[test]
fn all_ranks_use_the_same_map_in_every_pass() {
    let config = ProptestConfig {
        cases: 20_000,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    let mut switched = 0;
    let mut runner = proptest::test_runner::TestRunner::new(config);
    let counted = std::cell::Cell::new(0);
    runner
        .run(&prop::collection::vec(event(), 0..200), |events| {
            counted.set(counted.get() + run(events)?);
            Ok(())
        })
        .unwrap();
    switched += counted.get();
    // The test proves nothing unless the generated orders complete changes.
    assert!(switched > 20_000, "{switched}");
}

fn armed(version: u64, pass: u64) -> Condition {
    Condition { prepared: Some(version), armed: Some((version, pass)), ..Condition::default() }
}

#[test]
fn completes_a_change_whose_ranks_are_all_prepared() {
    let mut ranks = [armed(5, 9); RANKS];
    ranks[0].held = Some(9);
    ranks[2].armed = None;
    let switch = Switch::resume(&ranks).unwrap();
    assert_eq!(switch.orders(), [(2, Order::Arm { version: 5, pass: 9 })]);
}

#[test]
fn undoes_a_change_that_a_rank_has_not_prepared() {
    let mut ranks = [armed(5, 9); RANKS];
    ranks[1].held = Some(9);
    ranks[2] = Condition::default();
    let mut switch = Switch::resume(&ranks).unwrap();
    for rank in 0..RANKS {
        switch.effect(rank, Order::Disarm { version: 5 }, Effect::Confirmed);
    }
    assert_eq!(switch.orders(), [(1, Order::Release { pass: 9 })]);
    switch.effect(1, Order::Release { pass: 9 }, Effect::Confirmed);
    assert_eq!(switch.outcome(), Some(Outcome::Abandoned));
}

#[test]
fn releases_a_hold_without_an_armed_rank() {
    let mut ranks = [Condition::default(); RANKS];
    ranks[3].held = Some(4);
    let switch = Switch::resume(&ranks).unwrap();
    assert_eq!(switch.orders(), [(3, Order::Release { pass: 4 })]);
}

#[test]
fn does_not_resume_a_released_change() {
    assert_eq!(Switch::resume(&[armed(5, 9); RANKS]), None);
}

/// Version made by the driver beside rank 0.
const VERSION: u64 = 5 * RANKS as u64;

/// Returns a new change that is advanced to the phase in which its ranks are armed.
fn arming() -> Switch {
    let mut switch = Switch::new(RANKS, VERSION);
    for (rank, order) in switch.orders() {
        switch.effect(rank, order, Effect::Confirmed);
    }
    switch.hold(9);
    assert_eq!(
        switch.orders(),
        [(1, Order::Hold { pass: 9 })],
        "the holder is not the driver's own rank"
    );
    switch.effect(1, Order::Hold { pass: 9 }, Effect::Confirmed);
    switch
}

#[test]
fn arms_the_rank_of_the_driver_last() {
    let mut switch = arming();
    let arm = Order::Arm { version: VERSION, pass: 9 };
    assert_eq!(switch.orders(), [(1, arm), (2, arm), (3, arm)]);
    switch.effect(0, arm, Effect::Confirmed);
    for rank in [3, 1] {
        switch.effect(rank, arm, Effect::Confirmed);
        assert!(!switch.orders().contains(&(0, arm)), "rank 2 is not armed yet");
    }
    switch.effect(2, arm, Effect::Confirmed);
    assert_eq!(switch.orders(), [(0, arm)]);
    switch.effect(0, arm, Effect::Confirmed);
    assert_eq!(switch.orders(), [(1, Order::Release { pass: 9 })]);
}

#[test]
fn undoes_a_change_without_the_rank_of_its_driver_while_another_is_not_armed() {
    let prepared = Condition { prepared: Some(VERSION), ..Condition::default() };
    let holding = Condition { held: Some(9), ..prepared };
    let mut ranks = [Some(prepared); RANKS];
    ranks[0] = None;
    assert_eq!(Switch::resume_without(&ranks, 8), None, "no pass is held");
    ranks[1] = Some(holding);
    assert_eq!(Switch::resume_without(&ranks, 7), None, "another pass precedes the held one");
    let switch = Switch::resume_without(&ranks, 8).unwrap();
    assert_eq!(switch.orders(), [(1, Order::Release { pass: 9 })], "no rank is armed");

    ranks[2] = Some(armed(VERSION, 9));
    let mut switch = Switch::resume_without(&ranks, 8).unwrap();
    assert_eq!(switch.orders(), [(2, Order::Disarm { version: VERSION })]);
    switch.effect(2, Order::Disarm { version: VERSION }, Effect::Confirmed);
    switch.effect(1, Order::Release { pass: 9 }, Effect::Confirmed);
    assert_eq!(switch.outcome(), Some(Outcome::Abandoned));

    ranks[1] = Some(Condition { held: Some(9), ..armed(VERSION, 9) });
    ranks[3] = ranks[2];
    assert_eq!(Switch::resume_without(&ranks, 8), None, "the driver's rank may be armed");
    ranks[0] = Some(prepared);
    ranks[3] = None;
    assert_eq!(Switch::resume_without(&ranks, 8), None, "a further rank is unknown");
}

#[test]
fn does_not_resume_without_a_held_pass() {
    assert_eq!(Switch::resume(&[Condition::default(); RANKS]), None);
}
