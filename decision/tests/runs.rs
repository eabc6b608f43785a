//! A backend server that starts again under its id is another run: nothing
//! that was learnt of the earlier one holds.

#![allow(clippy::unwrap_used, reason = "a test that fails may panic")]

use std::time::Duration;

use loftcove_decision::routing::{policy, server};
use loftcove_decision::{balancer, clock, entity};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng as _;

struct Setup {
    balancer: balancer::Balancer<policy::Blend>,
    now: clock::Instant,
}

impl Setup {
    /// A pool with one backend server, listed without a start.
    fn new() -> Setup {
        let rng = ChaCha8Rng::seed_from_u64(7);
        let policy = policy::Blend { rng, sample: 2, affinity_slack: 0.0 };
        let options = balancer::Options::default().retry_reserve(10.0);
        let mut setup = Setup {
            balancer: balancer::Balancer::new(policy, &options),
            now: clock::Instant::from_millis(1_000),
        };
        setup.list(Some(1_000));
        setup
    }

    /// Lists the backend server as one that started then.
    fn list(&mut self, born: Option<u64>) -> entity::Server {
        let listing = server::Listing {
            host: "host".into(),
            born,
            news: None,
            pool: entity::Pool::from_u32(0),
            group: None,
            zone: "norte".into(),
            local: true,
            leaving: false,
            drained: false,
            cold: None,
        };
        self.balancer.list(vec![listing], self.now);
        let server = self.balancer.servers().find("host").unwrap();
        self.balancer.connect(server, true, self.now);
        let sequence = self.balancer.servers()[server].report.sequence + 1;
        let report = server::Report {
            incarnation: 1,
            sequence,
            slots: 8,
            alive: true,
            ..Default::default()
        };
        self.balancer.report(server, report, self.now);
        server
    }

    fn arrive(&mut self) -> (entity::Ticket, Vec<balancer::Action>) {
        let due = self.now + Duration::from_secs(8);
        let arrival = balancer::Arrival {
            pool: entity::Pool::from_u32(0),
            team: entity::Team::from_u32(0),
            precedence: 1,
            repeatable: true,
            resumable: false,
            max_attempts: 3,
            deadline: due,
            expires: due,
            begin_by: None,
            prefix: 0,
            suspect: None,
        };
        self.balancer.arrive(arrival, self.now)
    }
}

fn sent_to(actions: &[balancer::Action]) -> Option<entity::Server> {
    match actions {
        [balancer::Action::Send(dispatch)] => Some(dispatch.choice.server),
        _ => None,
    }
}

#[test]
fn a_new_run_has_nothing_of_the_earlier_one() {
    let mut setup = Setup::new();
    let old = setup.balancer.servers().find("host").unwrap();
    // It has no room and is shut, with requests in flight.
    let (first, _) = setup.arrive();
    let (second, _) = setup.arrive();
    setup.balancer.end(first, balancer::End::Full, setup.now);
    assert!(!setup.balancer.servers()[old].open(setup.now));

    let new = setup.list(Some(2_000));
    assert_ne!(old, new);
    let record = &setup.balancer.servers()[new];
    assert!(record.open(setup.now));
    assert_eq!((record.in_flight, record.health.latency()), (0, None));
    assert!(!setup.balancer.servers()[old].usable(), "the earlier run gets nothing");
    assert_eq!(setup.balancer.servers()[old].in_flight, 1);

    // What ends at the earlier run, late, changes nothing at the new one; the
    // request may go on there, as it has not tried it.
    let failed = balancer::End::MayHaveRun { answer_begun: false };
    let actions = setup.balancer.end(second, failed, setup.now);
    assert_eq!(sent_to(&actions), Some(new));
    assert_eq!(setup.balancer.servers()[old].in_flight, 0);
    assert_eq!(setup.balancer.verify(), Ok(()));
}

#[test]
fn the_same_run_stays_what_it_was() {
    let mut setup = Setup::new();
    let before = setup.balancer.servers().find("host").unwrap();
    setup.arrive();
    assert_eq!(setup.list(Some(1_000)), before);
    assert_eq!(setup.balancer.servers()[before].in_flight, 1);
    // A start that is told only later is no new one.
    let mut untold = Setup::new();
    let id = untold.list(Some(1_000));
    assert_eq!(untold.list(Some(1_000)), id);
}
