//! A backend server that restarts under its id is a new run: nothing that was learned of
//! the earlier run applies to it.

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
    /// Creates a pool with one backend server, listed with the start time 1,000.
    fn new() -> Setup {
        Setup::with_start(Some(1_000))
    }

    /// Creates a pool with one backend server, listed with this start time.
    fn with_start(born: Option<u64>) -> Setup {
        let rng = ChaCha8Rng::seed_from_u64(7);
        let policy = policy::Blend { rng, sample: 2, affinity_slack: 0.0 };
        let options = balancer::Options::default().retry_reserve(10.0);
        let mut setup = Setup {
            balancer: balancer::Balancer::new(policy, &options),
            now: clock::Instant::from_millis(1_000),
        };
        setup.list(born);
        setup
    }

    /// Lists the backend server with this start time.
    fn list(&mut self, born: Option<u64>) -> entity::Server {
        let listing = server::Listing {
            host: "host".into(),
            born,
            status: None,
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
        self.balancer.set_connected(server, true, self.now);
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
fn a_new_run_inherits_no_state_of_the_earlier_one() {
    let mut setup = Setup::new();
    let old = setup.balancer.servers().find("host").unwrap();
    // The server is full and backed off, with requests in flight.
    let (first, _) = setup.arrive();
    let (second, _) = setup.arrive();
    setup.balancer.end(first, balancer::End::Full, setup.now);
    assert!(!setup.balancer.servers()[old].open(setup.now));

    let new = setup.list(Some(2_000));
    assert_ne!(old, new);
    let record = &setup.balancer.servers()[new];
    assert!(record.open(setup.now));
    assert_eq!((record.in_flight, record.health.latency()), (0, None));
    assert!(!setup.balancer.servers()[old].usable(), "the earlier run gets no requests");
    assert_eq!(setup.balancer.servers()[old].in_flight, 1);

    // A late end of an attempt at the earlier run changes nothing at the new one. The
    // request may be retried there, as it has made no attempt at the new run.
    let failed = balancer::End::MayHaveRun { answer_begun: false };
    let actions = setup.balancer.end(second, failed, setup.now);
    assert_eq!(sent_to(&actions), Some(new));
    assert_eq!(setup.balancer.servers()[old].in_flight, 0);
    assert_eq!(setup.balancer.verify(), Ok(()));
}

#[test]
fn relisting_the_same_run_keeps_its_state() {
    let mut setup = Setup::new();
    let before = setup.balancer.servers().find("host").unwrap();
    setup.arrive();
    assert_eq!(setup.list(Some(1_000)), before);
    assert_eq!(setup.balancer.servers()[before].in_flight, 1);
    assert_eq!(setup.balancer.verify(), Ok(()));
}

/// Guards against a new run, without the state of the present one, as its start time becomes known.
#[test]
fn a_start_time_that_becomes_known_later_is_no_new_run() {
    let mut setup = Setup::with_start(None);
    let before = setup.balancer.servers().find("host").unwrap();
    setup.arrive();
    assert_eq!(setup.list(Some(1_000)), before);
    assert_eq!(setup.balancer.servers()[before].in_flight, 1);
    // An entry without a start time does not discard the known one.
    assert_eq!(setup.list(None), before);
    assert_ne!(setup.list(Some(2_000)), before);
    assert_eq!(setup.balancer.verify(), Ok(()));
}

/// Guards against a table that grows by one record with each restart of a server, which
/// every dispatch then walks through.
#[test]
fn records_of_earlier_runs_are_removed_once_their_requests_have_ended() {
    let mut setup = Setup::new();
    let first = setup.balancer.servers().find("host").unwrap();
    let (ticket, _) = setup.arrive();
    for run in 2..=50 {
        setup.now = setup.now + server::EARLIER_RUN_RETENTION / 2;
        setup.list(Some(run * 1_000));
    }
    let records = |setup: &Setup| setup.balancer.servers().iter().count();
    assert!(records(&setup) <= 5, "{} records after 50 runs", records(&setup));
    assert_eq!(setup.balancer.servers()[first].in_flight, 1, "a run with a request is kept");
    assert_eq!(setup.balancer.verify(), Ok(()));

    setup.balancer.end(ticket, balancer::End::Answered, setup.now);
    setup.now = setup.now + server::EARLIER_RUN_RETENTION * 2;
    let newest = setup.list(Some(50_000));
    assert_eq!(records(&setup), 1);
    // What still arrives for a removed run has no effect on the newest one.
    setup.balancer.set_connected(first, true, setup.now);
    let load = server::Report { incarnation: 1, sequence: 9, alive: true, ..Default::default() };
    setup.balancer.report(first, load, setup.now);
    assert!(!setup.balancer.servers()[first].usable());
    let (_, actions) = setup.arrive();
    assert_eq!(sent_to(&actions), Some(newest));
    assert_eq!(setup.balancer.verify(), Ok(()));
}
