//! Estimates by which requests are refused are corrected.
//!
//! Seen: a gateway that had stood still for five seconds refused all requests of a
//! pool from then on, with idle servers. Cause: one answer had taken five seconds by
//! its clock, which no deadline allows, and a refused request brings no other answer.

#![allow(clippy::unwrap_used, reason = "a test that fails may panic")]

use std::time::Duration;

use loftcove_decision::routing::{policy, server};
use loftcove_decision::{balancer, clock, entity};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng as _;

const DEADLINE: Duration = Duration::from_secs(3);
/// Time of the answer that was under way as the gateway stood still.
const STOOD_STILL: Duration = Duration::from_secs(5);
const ANSWER: Duration = Duration::from_millis(5);

struct Setup {
    balancer: balancer::Balancer<policy::Blend>,
    now: clock::Instant,
}

impl Setup {
    /// One server with four slots.
    fn new() -> Setup {
        let rng = ChaCha8Rng::seed_from_u64(5);
        let policy = policy::Blend { rng, sample: 2, affinity_slack: 0.0 };
        let mut balancer = balancer::Balancer::new(policy, &balancer::Options::default());
        let now = clock::Instant::from_micros(1_000_000);
        let listing = server::Listing {
            host: "a".into(),
            born: None,
            news: None,
            pool: entity::Pool::from_u32(0),
            group: None,
            zone: "norte".into(),
            local: true,
            leaving: false,
            drained: false,
            cold: None,
        };
        balancer.list(vec![listing], now);
        let id = entity::Server::from_u32(0);
        let report = server::Report {
            incarnation: 1,
            sequence: 1,
            slots: 4,
            alive: true,
            ..Default::default()
        };
        balancer.report(id, report, now);
        balancer.set_connected(id, true, now);
        Setup { balancer, now }
    }

    /// A request arrives; returns its ticket if it was sent.
    fn arrive(&mut self) -> Option<entity::Ticket> {
        let arrival = balancer::Arrival {
            pool: entity::Pool::from_u32(0),
            team: entity::Team::from_u32(0),
            precedence: 0,
            repeatable: true,
            resumable: false,
            max_attempts: 2,
            deadline: self.now + DEADLINE,
            expires: self.now + DEADLINE,
            begin_by: None,
            prefix: 0,
            suspect: None,
        };
        let (ticket, actions) = self.balancer.arrive(arrival, self.now);
        let sent = |action: &balancer::Action| matches!(action, balancer::Action::Send(sent) if sent.ticket == ticket);
        actions.iter().any(sent).then_some(ticket)
    }

    fn answer(&mut self, ticket: entity::Ticket, after: Duration) {
        self.now = self.now + after;
        self.balancer.end(ticket, balancer::End::Answered, self.now);
    }
}

#[test]
fn one_answer_that_took_longer_than_all_deadlines_refuses_nobody_for_good() {
    let mut setup = Setup::new();
    let first = setup.arrive().unwrap();
    setup.answer(first, STOOD_STILL);
    for _ in 0..20 {
        let ticket = setup.arrive().expect("the server is idle");
        setup.answer(ticket, ANSWER);
    }
}

/// While an answer is under way that may correct it, the estimate holds.
#[test]
fn what_cannot_be_answered_in_time_is_refused_at_once() {
    let mut setup = Setup::new();
    let (first, second) = (setup.arrive().unwrap(), setup.arrive().unwrap());
    setup.answer(first, STOOD_STILL);
    assert_eq!(setup.arrive(), None);
    setup.answer(second, ANSWER);
}
