//! Retries of all gateways together stay within the allowance of a service: a part of the requests
//! to it within a window, and a fixed number.

#![allow(clippy::unwrap_used, reason = "a test that fails may panic")]

use std::collections::VecDeque;
use std::time::Duration;

use loftcove_decision::routing::{policy, server};
use loftcove_decision::{balancer, clock, entity, retry};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng as _;

/// Retries that a service allows within a window: a part of its requests, and a fixed number.
const RATIO: f64 = 0.2;
const SLACK: f64 = 90.0;
/// Part of the allowance that gateways use.
const MARGIN: f64 = 0.75;
const GATEWAYS: usize = 6;
/// Servers of each pool.
const SERVERS: u32 = 12;
/// Span over which a service counts the retries.
const WINDOW: Duration = Duration::from_secs(10);
/// Time in which a server that had no free slot gets requests again.
const BACK_OFF: Duration = Duration::from_millis(400);

fn pool(number: u32) -> entity::Pool {
    entity::Pool::from_u32(number)
}

/// Returns the number of retries that a service allows in a window with `requests`.
fn allowed(requests: u64) -> f64 {
    RATIO * requests as f64 + SLACK
}

/// Returns the share of one of `gateways` in the fixed part.
fn share(gateways: usize) -> f64 {
    SLACK * MARGIN / gateways as f64
}

/// A gateway with two pools of servers.
struct Gateway {
    balancer: balancer::Balancer<policy::Blend>,
    now: clock::Instant,
}

impl Gateway {
    /// Starts a gateway that does not know any other one yet.
    fn start(now: clock::Instant) -> Gateway {
        let rng = ChaCha8Rng::seed_from_u64(5);
        let policy = policy::Blend { rng, sample: 2, affinity_slack: 0.0 };
        let options = balancer::Options::default()
            .retry_ratio(RATIO * MARGIN)
            .retry_reserve(0.0)
            .charge_full(true);
        let mut gateway = Gateway { balancer: balancer::Balancer::new(policy, &options), now };
        gateway.balancer.set_reserve(share(1), now);
        let listing = |number: u32| server::Listing {
            host: format!("server-{number}").into(),
            born: None,
            pool: pool(number / SERVERS),
            group: None,
            status: None,
            zone: "norte".into(),
            local: true,
            leaving: false,
            drained: false,
            cold: None,
        };
        gateway.balancer.list((0..2 * SERVERS).map(listing).collect(), now);
        gateway.connect();
        gateway
    }

    /// Starts a gateway that then learns of the others.
    fn join(now: clock::Instant) -> Gateway {
        let mut gateway = Gateway::start(now);
        gateway.balancer.set_reserve(share(GATEWAYS), now);
        gateway
    }

    fn server(&self, number: u32) -> entity::Server {
        self.balancer.servers().find(&format!("server-{number}")).unwrap()
    }

    /// Opens all servers.
    fn connect(&mut self) {
        for number in 0..2 * SERVERS {
            let id = self.server(number);
            let report = server::Report {
                incarnation: 1,
                sequence: 1,
                slots: 64,
                alive: true,
                ..Default::default()
            };
            self.balancer.set_connected(id, true, self.now);
            self.balancer.report(id, report, self.now);
        }
    }

    /// Advances the clock. Returns the requests that are sent then.
    fn advance(&mut self, time: Duration) -> Vec<entity::Ticket> {
        self.now = self.now + time;
        tickets(&self.balancer.tick(self.now))
    }

    fn arrive(&mut self, number: u32) -> (entity::Ticket, Vec<balancer::Action>) {
        self.arrive_with(number, 1)
    }

    fn arrive_with(
        &mut self,
        number: u32,
        precedence: u32,
    ) -> (entity::Ticket, Vec<balancer::Action>) {
        let due = self.now + Duration::from_secs(120);
        let arrival = balancer::Arrival {
            pool: pool(number),
            team: entity::Team::from_u32(0),
            precedence,
            repeatable: true,
            resumable: true,
            max_attempts: 2,
            deadline: due,
            expires: due,
            begin_by: None,
            prefix: 0,
            suspect: None,
        };
        self.balancer.arrive(arrival, self.now)
    }

    /// Sends requests that are answered.
    fn answer(&mut self, number: u32, requests: u64) {
        for _ in 0..requests {
            let (ticket, actions) = self.arrive(number);
            assert_eq!(tickets(&actions), [ticket]);
            self.balancer.end(ticket, balancer::End::Answered, self.now);
        }
    }

    /// Sends a request for which no server has a free slot, until it waits or is rejected. Returns
    /// the number of its retries, or none if no server was open.
    fn reject_now(&mut self, number: u32) -> Option<u64> {
        let (ticket, mut actions) = self.arrive(number);
        let mut arrivals: u64 = 0;
        while tickets(&actions) == [ticket] {
            arrivals += 1;
            actions = self.balancer.end(ticket, balancer::End::Full, self.now);
        }
        self.balancer.end(ticket, balancer::End::Abandoned, self.now);
        assert_eq!(self.balancer.verify(), Ok(()));
        arrivals.checked_sub(1)
    }

    /// Sends such a request, and waits until the servers are open again. Returns the number of its
    /// retries.
    fn reject(&mut self, number: u32) -> u64 {
        let retries = self.reject_now(number);
        self.advance(BACK_OFF);
        retries.unwrap_or_default()
    }

    /// Sends requests of the highest precedence until all servers are full and `waiting` of them
    /// wait.
    fn occupy(&mut self, number: u32, waiting: usize) -> VecDeque<entity::Ticket> {
        let (mut occupying, mut left) = (VecDeque::new(), waiting);
        while left > 0 {
            let (ticket, actions) = self.arrive_with(number, 0);
            left -= usize::from(actions.is_empty());
            occupying.push_back(ticket);
        }
        occupying
    }

    /// Ends requests with an answer. No server accepts what else is sent in their places. Returns the
    /// number of retries that were sent.
    fn release(&mut self, occupying: &VecDeque<entity::Ticket>) -> u64 {
        let mut retries = 0;
        for ticket in occupying {
            let mut actions = self.balancer.end(*ticket, balancer::End::Answered, self.now);
            let is_other = |action: &balancer::Action| match action {
                balancer::Action::Send(dispatch) => !occupying.contains(&dispatch.ticket),
                _ => false,
            };
            actions.retain(is_other);
            retries += self.refuse(actions);
        }
        retries
    }

    /// Has no server accept what is sent to it. Returns the number of retries that were sent.
    fn refuse(&mut self, actions: Vec<balancer::Action>) -> u64 {
        let (mut actions, mut retries) = (VecDeque::from(actions), 0);
        while let Some(action) = actions.pop_front() {
            let balancer::Action::Send(dispatch) = action else { continue };
            retries += u64::from(dispatch.attempt > 1);
            actions.extend(self.balancer.end(dispatch.ticket, balancer::End::Full, self.now));
        }
        assert_eq!(self.balancer.verify(), Ok(()));
        retries
    }

    /// Sends requests for which no server has a free slot over a window. Returns the number of
    /// retries in the window.
    fn refuse_window(&mut self, number: u32, requests: u64) -> u64 {
        let steps = WINDOW.as_millis() as u64 / BACK_OFF.as_millis() as u64;
        let mut retries = 0;
        for step in 0..steps {
            for _ in step * requests / steps..(step + 1) * requests / steps {
                let (_, actions) = self.arrive(number);
                retries += self.refuse(actions);
            }
            self.now = self.now + BACK_OFF;
            let actions = self.balancer.tick(self.now);
            retries += self.refuse(actions);
        }
        retries
    }

    /// Sends requests for which no server has a free slot. Returns the number of their retries.
    fn reject_all(&mut self, number: u32, requests: u64) -> u64 {
        (0..requests).map(|_| self.reject(number)).sum()
    }
}

/// Returns the requests that are sent to a server.
fn tickets(actions: &[balancer::Action]) -> Vec<entity::Ticket> {
    let sent = actions.iter().filter_map(|action| match action {
        balancer::Action::Send(dispatch) => Some(dispatch.ticket),
        _ => None,
    });
    sent.collect()
}

fn start_time() -> clock::Instant {
    clock::Instant::from_millis(1_000)
}

/// Guards against retries that a process has when it starts: with each restart in a window, all
/// gateways together send more than a service allows.
#[test]
fn restarted_gateways_add_no_retries_to_those_of_a_window() {
    let mut gateways: Vec<Gateway> = (0..GATEWAYS).map(|_| Gateway::join(start_time())).collect();
    for gateway in &mut gateways {
        gateway.answer(0, 200);
        gateway.advance(Duration::from_secs(60));
    }
    let (mut requests, mut retries) = (0, 0);
    // Each round takes 2 s, and five rounds are one window.
    for _ in 0..5 {
        for gateway in &mut gateways {
            requests += 5;
            retries += gateway.reject_all(0, 5);
            *gateway = Gateway::join(gateway.now);
        }
    }
    assert!(retries as f64 <= allowed(requests), "{retries} retries of {requests} requests");
}

/// Guards against retries at one service that are paid with requests to another one. The service
/// with less traffic receives more than it allows.
#[test]
fn requests_to_a_service_pay_for_no_retries_at_another_one() {
    let mut gateway = Gateway::start(start_time());
    gateway.answer(0, 500);
    gateway.advance(Duration::from_secs(60));
    let (mut requests, mut retries) = (0, 0);
    for _ in 0..25 {
        gateway.answer(0, 50);
        requests += 1;
        retries += gateway.reject(1);
    }
    assert!(retries as f64 <= allowed(requests), "{retries} retries of {requests} requests");
}

/// Guards against shares of gateways that add up to more than the whole while the registrations of
/// gateways have expired that still run.
#[test]
fn expired_registrations_raise_no_retries_of_all_gateways() {
    let mut gateways: Vec<Gateway> = (0..GATEWAYS).map(|_| Gateway::join(start_time())).collect();
    for gateway in &mut gateways {
        gateway.balancer.set_reserve(share(1), gateway.now);
        gateway.answer(0, 500);
        gateway.advance(Duration::from_secs(30));
    }
    let (mut requests, mut retries) = (0, 0);
    for gateway in &mut gateways {
        requests += 20;
        retries += gateway.reject_all(0, 20);
    }
    assert!(retries as f64 <= allowed(requests), "{retries} retries of {requests} requests");
}

/// Returns the retries that gateways send in a window in which all attempts fail, after a long time
/// without failures, as a part of what the service allows. Each gateway receives `load` requests.
fn used(slack: f64, load: &[u64]) -> f64 {
    let mut retries = 0;
    for requests in load {
        let mut budget = retry::Budget::new(RATIO * MARGIN, 0.0);
        budget.set_reserve(slack * MARGIN / load.len() as f64);
        (0..10 * requests).for_each(|_| budget.deposit());
        for _ in 0..*requests {
            budget.deposit();
            while budget.withdraw() {
                budget.release();
                retries += 1;
            }
        }
    }
    f64::from(retries) / (RATIO * load.iter().sum::<u64>() as f64 + slack)
}

/// Guards against shares that are rounded away: a gateway whose share is a few retries can still
/// use most of them.
#[test]
fn most_of_the_allowance_can_be_used_by_any_number_of_gateways() {
    for (gateways, slack) in [(6, 88.0), (42, 234.0), (430, 1_040.0)] {
        let even = vec![100; gateways];
        let uneven: Vec<u64> =
            (0..gateways).map(|number| if number % 6 == 0 { 500 } else { 20 }).collect();
        let (even, uneven) = (used(slack, &even), used(slack, &uneven));
        println!("{gateways} gateways: {even:.3} under even load, {uneven:.3} under uneven load");
        assert!((0.6..=MARGIN).contains(&even), "{gateways} gateways use {even}");
        assert!((0.5..=MARGIN).contains(&uneven), "{gateways} gateways use {uneven}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(17), ..ProptestConfig::default() })]

    /// Guards against a share that grows before the hold time is over, and against one that never
    /// grows again.
    #[test]
    fn a_share_is_the_smallest_one_in_force_within_the_hold_time(
        updates in prop::collection::vec((1..9_u64, 0..400_u64), 1..40),
    ) {
        let mut share = retry::Share::default();
        let mut now = start_time();
        // Each share with the time until which it was in force.
        let mut all: Vec<(f64, clock::Instant)> = Vec::new();
        for (gateways, seconds) in updates {
            now = now + Duration::from_secs(seconds);
            if let Some((_, until)) = all.last_mut() {
                *until = now;
            }
            all.push((SLACK / gateways as f64, now));
            let recent = all.iter().filter(|(_, until)| now.since(*until) <= retry::SHARE_HOLD);
            let smallest = recent.map(|(share, _)| *share).fold(f64::INFINITY, f64::min);
            prop_assert_eq!(share.update(SLACK / gateways as f64, now), smallest);
        }
    }
}

/// Guards against a request that earns retries once for each time that it is withheld from a server
/// that takes no more requests.
#[test]
fn a_request_earns_once_however_often_it_is_withheld() {
    const WITHHELD: u64 = 60;
    let mut gateway = Gateway::start(start_time());
    // Uses up what the gateway has. Less than one retry remains.
    gateway.reject_all(0, 10);
    let waiting: Vec<entity::Ticket> = (0..WITHHELD).map(|_| gateway.arrive(0).0).collect();
    let (mut requests, mut retries) = (WITHHELD, 0);
    for _ in 0..4 {
        while let Some(count) = gateway.reject_now(0) {
            requests += 1;
            retries += count;
        }
        // No server is open, so that the requests wait again.
        for ticket in &waiting {
            gateway.balancer.end(*ticket, balancer::End::Withheld, gateway.now);
        }
        assert_eq!(gateway.advance(BACK_OFF).len(), waiting.len());
    }
    let earned = RATIO * MARGIN * requests as f64 + 1.0;
    assert!(retries as f64 <= earned, "{retries} retries of {requests} requests");
}

/// Returns the retries of all gateways in a window in which no server accepts any of `requests`. As
/// many requests at each gateway, and the retries of `failing` ones, have waited for the servers.
fn retries_after_waiting(requests: u64, failing: u32) -> u64 {
    let mut retries = 0;
    for _ in 0..GATEWAYS {
        let mut gateway = Gateway::join(start_time());
        gateway.answer(0, 200);
        let failing: Vec<Vec<balancer::Action>> =
            (0..failing).map(|_| gateway.arrive(0).1).collect();
        let occupying = gateway.occupy(0, 100);
        for actions in failing {
            gateway.refuse(actions);
        }
        gateway.advance(2 * WINDOW);
        (0..requests).for_each(|_| drop(gateway.arrive(0)));
        gateway.advance(WINDOW);
        retries += gateway.release(&occupying) + gateway.refuse_window(0, requests);
    }
    retries
}

/// Guards against requests that earn retries when they are sent: those that have waited for a server
/// earn them in a later window than the one whose requests they count among.
#[test]
fn requests_that_waited_earn_no_retries_in_a_later_window() {
    let retries = retries_after_waiting(70, 0);
    let requests = 70 * GATEWAYS as u64;
    assert!(retries as f64 <= allowed(requests), "{retries} retries of {requests} requests");
}

/// Guards against retries that were charged earlier and still wait while as many are saved again:
/// once they are sent, a service receives both in one window.
#[test]
fn retries_that_wait_count_as_saved() {
    let retries = retries_after_waiting(75, SERVERS);
    let requests = 75 * GATEWAYS as u64;
    assert!(retries as f64 <= allowed(requests), "{retries} retries of {requests} requests");
}
