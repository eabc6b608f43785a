//! A backend server that says that it leaves gets nothing more, whatever the order
//! in which its word, its next start and its entries are heard.
//!
//! Seen: a server got a request long after its gateway had passed on that it leaves.
//! Cause: the word was kept for the run that the entry named at the time, and was
//! lost where another run had said it.

#![allow(clippy::unwrap_used, reason = "a test that fails may panic")]

mod common;

use std::sync::Arc;
use std::time::Duration;

use common::{arrival, listing};
use futures_util::FutureExt as _;
use loftcove_decision::routing::notice;
use loftcove_decision::{balancer, fleet};
use loftcove_dispatch as dispatch;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const SLOTS: u32 = 4;
/// Longer than any case takes.
const TIME: Duration = Duration::from_secs(60);

/// What happens, as far as the gateway is concerned or not.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// The server begins to say in its answers that it leaves.
    Leave,
    /// The server starts again.
    Restart,
    /// The gateway hears the server's entry as it now is.
    Tell,
    /// It hears an entry of the run before, late.
    TellEarlier,
    /// It hears that the entry is gone, or one that cannot be read.
    Hide,
    /// A request arrives, and is chosen for a server or waits.
    Arrive,
    /// One that was chosen is sent: its connection has come about.
    Send(usize),
    /// One that was sent is answered, where its run still lives.
    Answer(usize),
    /// The connection of one that was sent breaks: it goes on elsewhere.
    Break(usize),
    /// A health check.
    Check,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        2 => Just(Step::Leave),
        2 => Just(Step::Restart),
        3 => Just(Step::Tell),
        1 => Just(Step::TellEarlier),
        1 => Just(Step::Hide),
        4 => Just(Step::Arrive),
        4 => (0..8_usize).prop_map(Step::Send),
        3 => (0..8_usize).prop_map(Step::Answer),
        2 => (0..8_usize).prop_map(Step::Break),
        1 => Just(Step::Check),
    ]
}

type Dispatcher = dispatch::Dispatcher<fleet::Run>;

/// A request between its arrival and its answer.
struct Pending {
    permit: dispatch::Permit<fleet::Run>,
    /// The attempt, once it was chosen.
    attempt: Option<dispatch::Attempt<fleet::Run>>,
    /// The run that it reached, once it was sent.
    reached: Option<u64>,
}

/// One server, another one that never changes, and a gateway before them.
struct World {
    dispatcher: Arc<Dispatcher>,
    /// Start of the server's present run.
    born: u64,
    leaving: bool,
    /// Whether the gateway had an answer of this run that said that it leaves.
    heard: bool,
    listed: Option<u64>,
    pending: Vec<Pending>,
}

const SERVER: &str = "a";
const OTHER: &str = "b";

impl World {
    fn new() -> World {
        let dispatcher =
            Arc::new(Dispatcher::new(&balancer::Options::default().retry_reserve(1e6)));
        let (born, listed, pending) = (1, Some(1), Vec::new());
        let world = World { dispatcher, born, leaving: false, heard: false, listed, pending };
        world.list();
        world
    }

    fn run(id: &str, born: u64) -> fleet::Run {
        fleet::Run { id: id.into(), born: Some(born) }
    }

    /// Hands the gateway the list, as it is known there.
    fn list(&self) {
        let own = self.listed.map(|born| listing(&World::run(SERVER, born), SLOTS));
        let other = listing(&World::run(OTHER, 1), SLOTS);
        self.dispatcher.list(own.into_iter().chain([other]).collect());
    }

    fn tell(&mut self, listed: Option<u64>) {
        self.listed = listed;
        self.list();
    }

    /// Takes what the dispatcher has decided meanwhile.
    fn follow(&mut self) {
        self.pending.retain_mut(|pending| {
            while let Some(next) = pending.permit.next().now_or_never() {
                match next {
                    Some(dispatch::Next::Send(attempt)) => pending.attempt = Some(attempt),
                    Some(dispatch::Next::Refuse(_)) | None => return false,
                }
            }
            true
        });
    }

    fn send(&mut self, index: usize) {
        let Some(pending) = self.pending.get_mut(index) else { return };
        let Some(attempt) = pending.attempt.as_ref().filter(|_| pending.reached.is_none()) else {
            return;
        };
        if !self.dispatcher.wants(attempt.server, attempt.at) {
            pending.attempt = None;
            return pending.permit.end(balancer::End::Withheld);
        }
        let own = *attempt.target.id == *SERVER;
        assert!(!(own && self.heard), "the server had said that it leaves");
        pending.reached = Some(if own { self.born } else { 0 });
    }

    fn answer(&mut self, index: usize) {
        let lives = |pending: &Pending| {
            matches!(pending.reached, Some(0)) || pending.reached == Some(self.born)
        };
        if !self.pending.get(index).is_some_and(lives) {
            return;
        }
        let mut pending = self.pending.remove(index);
        if pending.reached == Some(self.born) && self.leaving {
            let notice = notice::Notice { leaving: true, ..Default::default() };
            self.dispatcher.notice(pending.attempt.as_ref().unwrap().server, &notice);
            self.heard = true;
        }
        pending.permit.end(balancer::End::Answered);
    }

    fn break_off(&mut self, index: usize) {
        let Some(pending) = self.pending.get_mut(index) else { return };
        if pending.reached.take().is_some() {
            pending.attempt = None;
            pending.permit.end(balancer::End::MayHaveRun { answer_begun: false });
        }
    }

    /// The server answers a health check for itself.
    fn check(&self) {
        while let Some(unsettled) = self.dispatcher.unsettled().now_or_never() {
            for (server, target) in unsettled {
                assert_eq!(&*target.id, SERVER);
                self.dispatcher.settle(server, self.leaving);
            }
        }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Leave => self.leaving = true,
            Step::Restart => {
                self.born += 1;
                (self.leaving, self.heard) = (false, false);
            }
            Step::Tell => self.tell(Some(self.born)),
            Step::TellEarlier => self.tell(Some(self.born.saturating_sub(1).max(1))),
            Step::Hide => self.tell(None),
            Step::Arrive => {
                let permit = self.dispatcher.arrive(&arrival(TIME));
                self.pending.push(Pending { permit, attempt: None, reached: None });
            }
            Step::Send(index) => self.send(index),
            Step::Answer(index) => self.answer(index),
            Step::Break(index) => self.break_off(index),
            Step::Check => self.check(),
        }
        self.follow();
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(17), cases: 2_000, ..ProptestConfig::default()
    })]

    #[test]
    fn a_run_that_said_that_it_leaves_gets_nothing_more(
        steps in proptest::collection::vec(step(), 1..60)
    ) {
        let mut world = World::new();
        for step in steps {
            world.step(step);
        }
        // Once it has started again and all of that is heard, it is used again.
        world.step(Step::Restart);
        world.step(Step::Tell);
        world.step(Step::Check);
        prop_assert_eq!(world.dispatcher.noticed().1, 0);
    }
}

/// An answer to what was chosen for the run before comes after the entry of the
/// next one, which gave it.
#[test]
fn a_word_that_comes_after_the_entry_holds_at_once() {
    let mut world = World::new();
    world.tell(Some(1));
    while !world.pending.last().is_some_and(|last| {
        last.attempt.as_ref().is_some_and(|attempt| *attempt.target.id == *SERVER)
    }) {
        world.step(Step::Arrive);
    }
    let index = world.pending.len() - 1;
    world.step(Step::Restart);
    world.step(Step::Leave);
    world.step(Step::Send(index));
    world.step(Step::Tell);
    world.step(Step::Answer(index));
    for _ in 0..8 {
        world.step(Step::Arrive);
        world.step(Step::Send(world.pending.len() - 1));
    }
}
