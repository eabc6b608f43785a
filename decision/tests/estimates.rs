//! Estimates that lead to rejections are corrected.
//!
//! Guards against a gateway that rejects all requests of a pool although its servers are
//! idle. The gateway had stalled for five seconds, so that one answer took five seconds by
//! its clock, longer than any deadline. As rejected requests bring no answers, the estimate
//! was never corrected.

#![allow(clippy::unwrap_used, reason = "a test that fails may panic")]

use std::time::Duration;

use loftcove_decision::routing::{policy, server};
use loftcove_decision::{balancer, clock, entity};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng as _;

const DEADLINE: Duration = Duration::from_secs(3);
/// Duration of the answer that was in flight while the gateway stalled.
const STALL: Duration = Duration::from_secs(5);
const ANSWER: Duration = Duration::from_millis(5);

struct Setup {
    balancer: balancer::Balancer<policy::Blend>,
    now: clock::Instant,
}

impl Setup {
    /// Returns a balancer with one server of four slots.
    fn new() -> Setup {
        let rng = ChaCha8Rng::seed_from_u64(5);
        let policy = policy::Blend { rng, sample: 2, affinity_slack: 0.0 };
        let mut balancer = balancer::Balancer::new(policy, &balancer::Options::default());
        let now = clock::Instant::from_micros(1_000_000);
        let listing = server::Listing {
            host: "a".into(),
            born: None,
            status: None,
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

    /// Lets a request arrive. Returns its ticket if it was dispatched.
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
fn one_answer_slower_than_all_deadlines_does_not_block_an_idle_pool() {
    let mut setup = Setup::new();
    let first = setup.arrive().unwrap();
    setup.answer(first, STALL);
    for _ in 0..20 {
        let ticket = setup.arrive().expect("the server is idle");
        setup.answer(ticket, ANSWER);
    }
}

/// The estimate stays in effect while an answer is in flight that may correct it.
#[test]
fn rejects_requests_at_once_that_would_miss_their_deadline() {
    let mut setup = Setup::new();
    let (first, second) = (setup.arrive().unwrap(), setup.arrive().unwrap());
    setup.answer(first, STALL);
    assert_eq!(setup.arrive(), None);
    setup.answer(second, ANSWER);
}
