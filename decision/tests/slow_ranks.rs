//! Many gateways with a few streams each place them by the speed of the ranks.

#![allow(clippy::unwrap_used, reason = "a test that fails may panic")]

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use loftcove_decision::routing::{policy, server};
use loftcove_decision::{balancer, clock, entity, pass};
use rand::Rng as _;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng as _;

const COST: pass::Cost = pass::Cost { step: 0.004_55, per_stream: 0.001_09, steps: 5.0 };
const SLOTS: u32 = 10;
const TICK: Duration = Duration::from_millis(20);
const EVENT: Duration = Duration::from_millis(100);
const EVENTS: u32 = 15;

fn group() -> entity::Group {
    entity::Group::from_u32(0)
}

fn host(rank: usize) -> Arc<str> {
    format!("rank-{rank}").into()
}

struct Stream {
    gateway: usize,
    rank: usize,
    ticket: entity::Ticket,
    events: u32,
    next: clock::Instant,
}

/// Gateways that share one group. Streams last a second and a half.
struct Fleet {
    gateways: Vec<balancer::Balancer<policy::Blend>>,
    running: Vec<u32>,
    streams: VecDeque<Stream>,
    now: clock::Instant,
    rng: ChaCha8Rng,
    sequence: u64,
    /// Streams that each rank was sent.
    sent: Vec<u32>,
    /// Arrivals that are due, as a fraction.
    due: f64,
}

impl Fleet {
    fn new(gateways: usize, ranks: usize) -> Fleet {
        let now = clock::Instant::from_millis(1_000);
        let gateway = |number: usize| {
            let rng = ChaCha8Rng::seed_from_u64(number as u64);
            let policy = policy::Blend { rng, sample: 2, affinity_slack: 0.0 };
            let options = balancer::Options::default().retry_reserve(10.0).charge_full(true);
            let mut balancer = balancer::Balancer::new(policy, &options);
            balancer.set_cost(entity::Pool::from_u32(0), COST);
            let share = balancer::Share { number: number as u32, of: gateways as u32 };
            balancer.set_share_of_servers(share);
            balancer
        };
        let mut fleet = Fleet {
            gateways: (0..gateways).map(gateway).collect(),
            running: vec![0; ranks],
            streams: VecDeque::new(),
            now,
            rng: ChaCha8Rng::seed_from_u64(5),
            sequence: 0,
            sent: vec![0; ranks],
            due: 0.0,
        };
        for gateway in 0..gateways {
            fleet.list(gateway);
        }
        fleet
    }

    /// Gives a gateway the list of all ranks.
    fn list(&mut self, gateway: usize) {
        let listing = |rank: usize| server::Listing {
            host: host(rank),
            born: None,
            pool: entity::Pool::from_u32(0),
            group: Some(group()),
            status: None,
            zone: "norte".into(),
            local: true,
            leaving: false,
            drained: false,
            cold: None,
        };
        let listings = (0..self.running.len()).map(listing).collect();
        self.gateways[gateway].list(listings, self.now);
        for rank in 0..self.running.len() {
            let id = self.gateways[gateway].servers().find(&host(rank)).unwrap();
            self.gateways[gateway].set_connected(id, true, self.now);
            self.report(gateway, rank);
        }
    }

    fn report(&mut self, gateway: usize, rank: usize) {
        let id = self.gateways[gateway].servers().find(&host(rank)).unwrap();
        self.sequence += 1;
        let report = server::Report {
            incarnation: 1,
            sequence: self.sequence,
            running: self.running[rank],
            slots: SLOTS,
            alive: true,
            ..Default::default()
        };
        let actions = self.gateways[gateway].report(id, report, self.now);
        self.apply(gateway, actions);
    }

    fn set_speeds(&mut self, slow: &[(usize, f64)]) {
        let slow: Vec<(Arc<str>, f64)> = slow.iter().map(|(r, s)| (host(*r), *s)).collect();
        for gateway in 0..self.gateways.len() {
            let actions = self.gateways[gateway].set_speeds(group(), &slow, self.now);
            self.apply(gateway, actions);
        }
    }

    fn apply(&mut self, gateway: usize, actions: Vec<balancer::Action>) {
        for action in actions {
            let balancer::Action::Send(dispatch) = action else { continue };
            let server = dispatch.choice.server;
            let name = self.gateways[gateway].servers()[server].listing.host.clone();
            let rank: usize = name.strip_prefix("rank-").unwrap().parse().unwrap();
            self.running[rank] += 1;
            self.sent[rank] += 1;
            let next = self.now + EVENT;
            let ticket = dispatch.ticket;
            self.streams.push_back(Stream { gateway, rank, ticket, events: 0, next });
            let balancer = &mut self.gateways[gateway];
            balancer.begin(ticket, TICK, self.now);
            balancer.report_load(server, self.running[rank], self.now);
            self.report(gateway, rank);
        }
    }

    fn arrive(&mut self) {
        let gateway = self.rng.random_range(0..self.gateways.len());
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
            begin_by: Some(due),
            prefix: 0,
            suspect: None,
        };
        let (_, actions) = self.gateways[gateway].arrive(arrival, self.now);
        self.apply(gateway, actions);
    }

    /// Runs for `seconds` with the given number of streams in flight on average.
    fn run(&mut self, seconds: f64, streams: f64) {
        let rate = streams / (EVENT.as_secs_f64() * f64::from(EVENTS));
        for _ in 0..(seconds / TICK.as_secs_f64()) as u32 {
            self.now = self.now + TICK;
            self.due += rate * TICK.as_secs_f64();
            while self.due >= 1.0 {
                self.due -= 1.0;
                self.arrive();
            }
            for _ in 0..self.streams.len() {
                let Some(mut stream) = self.streams.pop_front() else { break };
                if stream.next > self.now {
                    self.streams.push_back(stream);
                    continue;
                }
                let (gateway, ticket) = (stream.gateway, stream.ticket);
                stream.events += 1;
                stream.next = stream.next + EVENT;
                let balancer = &mut self.gateways[gateway];
                let actions = if stream.events >= EVENTS {
                    self.running[stream.rank] -= 1;
                    balancer.end(ticket, balancer::End::Answered, self.now)
                } else {
                    let pause = Duration::from_millis(60);
                    let wanted = Duration::from_millis(150);
                    let actions = balancer.stream_event(ticket, pause, wanted, self.now);
                    self.streams.push_back(stream);
                    actions
                };
                self.apply(gateway, actions);
            }
        }
    }

    /// Counts from now on.
    fn count(&mut self) {
        self.sent.iter_mut().for_each(|sent| *sent = 0);
    }

    fn mean(&self, ranks: impl Iterator<Item = usize>) -> f64 {
        let sent: Vec<u32> = ranks.map(|rank| self.sent[rank]).collect();
        f64::from(sent.iter().sum::<u32>()) / sent.len().max(1) as f64
    }
}

/// Guards against streams on a rank that holds up its group, and against a share of the other
/// ranks that depends on the number of gateways.
#[test]
fn a_rank_four_times_slower_gets_no_stream_from_any_gateway() {
    for (gateways, ranks) in [(30, 63), (70, 72), (400, 63)] {
        let mut fleet = Fleet::new(gateways, ranks);
        fleet.run(3.0, 3.0 * ranks as f64);
        assert!(fleet.sent[7] > 0);
        fleet.set_speeds(&[(7, 4.33)]);
        fleet.count();
        fleet.run(6.0, 3.0 * ranks as f64);
        assert_eq!(fleet.sent[7], 0, "{gateways} gateways");
        assert_eq!(fleet.running[7], 0, "{gateways} gateways");
        let mean = fleet.mean((0..ranks).filter(|rank| *rank != 7));
        let most = fleet.sent.iter().copied().max().unwrap_or(0);
        assert!(f64::from(most) < mean * 2.0, "{gateways} gateways: {most} {mean}");
    }
}

/// Guards against targets that a few streams of each gateway cannot express: the sum over all
/// gateways has the share of the target.
#[test]
fn slightly_slower_ranks_get_their_share_in_aggregate() {
    for (gateways, ranks) in [(30, 63), (70, 72), (400, 63)] {
        let mut fleet = Fleet::new(gateways, ranks);
        fleet.run(2.0, 5.0 * ranks as f64);
        let slow = [3, 11, 19, 27, 35];
        fleet.set_speeds(&slow.map(|rank| (rank, 1.2)));
        fleet.run(4.0, 5.0 * ranks as f64);
        fleet.count();
        fleet.run(40.0, 5.0 * ranks as f64);
        let own = fleet.mean(slow.into_iter());
        let others = fleet.mean((0..ranks).filter(|rank| !slow.contains(rank)));
        // The level is about that of 5.1 streams: 3.6 streams at a slowness of 1.2.
        let share = own / others;
        assert!((0.6..=0.8).contains(&share), "{gateways} gateways: {share:.2}");
    }
}

/// Guards against a capacity that shrinks without need: if all ranks are slow, or are usual
/// again, all get equal shares at once.
#[test]
fn equal_ranks_get_equal_shares_again() {
    let mut fleet = Fleet::new(30, 20);
    fleet.run(2.0, 60.0);
    fleet.set_speeds(&[(0, 5.0), (1, 3.0)]);
    fleet.run(3.0, 60.0);
    assert_eq!(fleet.running[0] + fleet.running[1], 0);
    for speeds in [Vec::new(), (0..20).map(|rank| (rank, 3.0)).collect()] {
        fleet.set_speeds(&speeds);
        fleet.count();
        fleet.run(60.0, 60.0);
        let share = fleet.mean(0..2) / fleet.mean(2..20);
        assert!((0.85..=1.15).contains(&share), "{share:.2} {speeds:?}");
    }
}

/// Guards against speeds that are lost because they arrive before the list of the ranks, and
/// against a request that is never sent because only ranks with target zero are open.
#[test]
fn speeds_may_arrive_first_and_slow_ranks_serve_if_no_other_is_open() {
    let mut fleet = Fleet::new(1, 0);
    fleet.set_speeds(&[(0, 4.0)]);
    fleet.running = vec![0; 2];
    fleet.sent = vec![0; 2];
    fleet.list(0);
    for _ in 0..3 {
        fleet.arrive();
    }
    assert_eq!(fleet.sent, [0, 3]);
    let id = fleet.gateways[0].servers().find(&host(1)).unwrap();
    fleet.gateways[0].set_connected(id, false, fleet.now);
    fleet.arrive();
    assert_eq!(fleet.sent, [1, 3]);
}

/// Guards against other random draws in a group without slow ranks.
#[test]
fn without_slow_ranks_decisions_are_unchanged() {
    let run = |speeds: bool| {
        let mut fleet = Fleet::new(5, 12);
        if speeds {
            fleet.set_speeds(&[]);
        }
        fleet.run(3.0, 30.0);
        fleet.sent
    };
    assert_eq!(run(true), run(false));
}
