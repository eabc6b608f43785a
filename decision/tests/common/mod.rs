//! One gateway's balancer before a few backend servers.

#![allow(dead_code, reason = "each test uses a part of it")]

use std::time::Duration;

use loftcove_decision::routing::notice::{Change, Notice};
use loftcove_decision::routing::{policy, rate, server};
use loftcove_decision::{balancer, clock, entity};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng as _;

/// Requests that a server takes at a time.
pub const SLOTS: u32 = 4;
/// Time that a caller waits.
pub const DEADLINE: Duration = Duration::from_secs(8);

/// The one pool.
pub fn pool() -> entity::Pool {
    entity::Pool::from_u32(0)
}

/// The balancer, and what it was asked.
pub struct Setup {
    /// The balancer.
    pub balancer: balancer::Balancer<policy::Blend>,
    /// The present.
    pub now: clock::Instant,
    /// Requests under way, each with its server and when it was sent.
    pub sent: Vec<(entity::Ticket, entity::Server, clock::Instant)>,
    /// When each request was sent.
    pub times: Vec<clock::Instant>,
    /// Requests that were refused.
    pub refused: Vec<balancer::Refusal>,
    sequence: u64,
}

impl Setup {
    /// A balancer before servers by number and start.
    pub fn new(servers: &[(u32, Option<u64>)]) -> Setup {
        let rng = ChaCha8Rng::seed_from_u64(3);
        let policy = policy::Blend { rng, sample: 2, affinity_slack: 0.0 };
        let options = balancer::Options::default().retry_reserve(10.0).charge_full(true);
        let mut setup = Setup {
            balancer: balancer::Balancer::new(policy, &options),
            now: clock::Instant::from_millis(1_000),
            sent: Vec::new(),
            times: Vec::new(),
            refused: Vec::new(),
            sequence: 0,
        };
        setup.list(servers);
        setup
    }

    /// Lists servers by number and start.
    pub fn list(&mut self, servers: &[(u32, Option<u64>)]) {
        let listing = |(number, born): &(u32, Option<u64>)| server::Listing {
            host: format!("server-{number}").into(),
            born: *born,
            pool: pool(),
            group: None,
            status: None,
            zone: "norte".into(),
            local: true,
            leaving: false,
            drained: false,
            cold: None,
        };
        let actions = self.balancer.list(servers.iter().map(listing).collect(), self.now);
        self.take(actions);
        for (number, _) in servers {
            let id = self.find(*number);
            if self.balancer.servers()[id].connected {
                continue;
            }
            self.sequence += 1;
            let report = server::Report {
                incarnation: 1,
                sequence: self.sequence,
                slots: SLOTS,
                alive: true,
                ..Default::default()
            };
            let mut actions = self.balancer.set_connected(id, true, self.now);
            actions.extend(self.balancer.report(id, report, self.now));
            self.take(actions);
        }
    }

    /// The newest run of a server.
    pub fn find(&self, number: u32) -> entity::Server {
        self.balancer.servers().find(&format!("server-{number}")).unwrap()
    }

    /// Takes what the balancer wants done.
    pub fn take(&mut self, actions: Vec<balancer::Action>) {
        for action in actions {
            match action {
                balancer::Action::Send(dispatch) => {
                    assert!(self.balancer.still_accepts(
                        dispatch.choice.server,
                        self.now,
                        self.now
                    ));
                    self.times.push(self.now);
                    self.sent.push((dispatch.ticket, dispatch.choice.server, self.now));
                }
                balancer::Action::Refuse(refusal) => self.refused.push(refusal),
            }
        }
    }

    /// Lets time pass.
    pub fn pass(&mut self, ms: u64) {
        self.now = self.now + Duration::from_millis(ms);
        let actions = self.balancer.tick(self.now);
        self.take(actions);
    }

    /// A request arrives whose answer should begin within that time.
    pub fn arrive(&mut self, begin: Duration) -> entity::Ticket {
        let due = self.now + DEADLINE.max(begin);
        let arrival = balancer::Arrival {
            pool: pool(),
            team: entity::Team::from_u32(0),
            precedence: 1,
            repeatable: true,
            resumable: false,
            max_attempts: 3,
            deadline: due,
            expires: due,
            begin_by: Some(self.now + begin),
            prefix: 0,
            suspect: None,
        };
        let (ticket, actions) = self.balancer.arrive(arrival, self.now);
        self.take(actions);
        ticket
    }

    /// An answer says something of its server.
    pub fn notice(&mut self, server: entity::Server, notice: &Notice) -> Option<Change> {
        let (change, actions) = self.balancer.apply_notice(server, notice, self.now);
        self.take(actions);
        change
    }

    /// The answer to a request says something of its server's rate limit.
    pub fn limit(&mut self, ticket: entity::Ticket, notice: rate::Notice) -> Option<rate::Change> {
        let (_, server, sent) = *self.sent.iter().find(|(other, ..)| *other == ticket).unwrap();
        let (change, actions) = self.balancer.apply_rate_notice(server, notice, sent, self.now);
        self.take(actions);
        change
    }

    /// A request ends.
    pub fn end(&mut self, ticket: entity::Ticket, end: balancer::End) {
        self.sent.retain(|(other, ..)| *other != ticket);
        let actions = self.balancer.end(ticket, end, self.now);
        self.take(actions);
        assert_eq!(self.balancer.verify(), Ok(()));
    }

    /// Server that the request is at.
    pub fn at(&self, ticket: entity::Ticket) -> Option<entity::Server> {
        self.sent.iter().find(|(other, ..)| *other == ticket).map(|(_, server, _)| *server)
    }

    /// A refusal with a notice, as the adapter tells it.
    pub fn turn_away(&mut self, ticket: entity::Ticket, notice: &Notice) {
        let server = self.at(ticket).unwrap();
        self.notice(server, notice);
        self.end(ticket, balancer::End::Full);
    }
}
