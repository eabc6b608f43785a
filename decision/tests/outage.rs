//! What is believed of a group when a zone is cut off: the group across the cut
//! is broken until its ranks tell of a later epoch, and the one beyond it is out
//! of reach until a connection comes about.

#![allow(clippy::unwrap_used, reason = "a test that fails may panic")]

use std::time::Duration;

use loftcove_decision::fleet::State;
use loftcove_decision::outage::{Change, Ground, News, Outage};
use loftcove_decision::routing::{policy, server};
use loftcove_decision::{balancer, clock, entity};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng as _;

fn at(ms: u64) -> clock::Instant {
    clock::Instant::from_millis(1_000_000 + ms)
}

fn rank(number: u32) -> entity::Server {
    entity::Server::from_u32(number)
}

const fn open(epoch: u64) -> News {
    News { epoch, state: State::Open, ranks: (1, 3) }
}

const fn broken(epoch: u64) -> News {
    News { epoch, state: State::Broken, ranks: (1, 3) }
}

/// Gateways that probe the group in these tests.
const GATEWAYS: u32 = 42;

fn outage() -> Outage {
    let mut outage = Outage::default();
    outage.share(GATEWAYS);
    outage
}

#[test]
fn the_newest_epoch_counts_and_its_end_before_its_beginning() {
    assert_eq!(open(1).with(broken(1)), broken(1));
    assert_eq!(broken(1).with(open(1)), broken(1), "an entry that is not yet rewritten");
    assert_eq!(broken(1).with(open(2)), open(2));
    assert_eq!(open(2).with(broken(1)), open(2));
}

#[test]
fn a_group_is_down_from_the_first_rank_that_says_so_to_a_later_epoch() {
    let mut outage = outage();
    assert_eq!(outage.hear(open(1), at(0)), None);
    let down = outage.refused(at(10), at(20));
    assert_eq!(down, Some(Change::Down(Ground::Refused)));
    assert!(!outage.admits(at(1_000)));
    // Entries of the epoch that is over tell nothing new.
    assert_eq!(outage.hear(open(1), at(30)), None);
    assert_eq!(outage.hear(broken(1), at(1_200)), None);
    assert_eq!(outage.hear(open(2), at(6_020)), Some(Change::Up(Duration::from_millis(6_000))));
    assert!(outage.admits(at(6_020)));
    assert_eq!(outage.ground(), None);
}

#[test]
fn entries_tell_of_a_break_that_nobody_here_has_met() {
    let mut outage = outage();
    assert_eq!(outage.hear(broken(0), at(0)), Some(Change::Down(Ground::Told)));
    assert!(!outage.admits(at(500)));
    assert_eq!(outage.hear(open(1), at(600)), Some(Change::Up(Duration::from_millis(600))));
    assert_eq!(outage.hear(broken(1), at(900)), Some(Change::Down(Ground::Told)));
}

#[test]
fn what_was_sent_before_a_change_says_nothing_of_it() {
    let mut outage = outage();
    outage.hear(open(1), at(0));
    outage.refused(at(10), at(20));
    // An answer that was on its way is no probe.
    assert_eq!(outage.answered(at(15), at(25)), None);
    assert!(!outage.admits(at(100)));
    outage.hear(open(2), at(6_000));
    // Nor does a refusal of before tell of the new epoch.
    assert_eq!(outage.refused(at(5_990), at(6_010)), None);
    assert!(outage.admits(at(6_010)));
}

#[test]
fn a_group_of_which_no_rank_is_reached_is_out_of_reach_until_one_is() {
    let mut outage = outage();
    outage.hear(open(1), at(0));
    assert_eq!(outage.unreached(rank(1), at(0)), None);
    assert_eq!(outage.unreached(rank(1), at(1)), None, "the same one");
    assert_eq!(outage.unreached(rank(2), at(2)), None);
    assert_eq!(outage.unreached(rank(3), at(3)), Some(Change::Down(Ground::Unreached)));
    // Beyond the cut the group serves on, which is no help here.
    assert_eq!(outage.hear(open(1), at(100)), None);
    assert!(!outage.admits(at(1_000)));
    assert_eq!(outage.reached(at(5_003)), Some(Change::Up(Duration::from_millis(5_000))));
}

#[test]
fn single_ranks_that_are_gone_stop_no_group() {
    let mut outage = outage();
    for round in 0..10 {
        assert_eq!(outage.unreached(rank(1), at(round * 10)), None);
        assert_eq!(outage.unreached(rank(2), at(round * 10 + 1)), None);
        outage.answered(at(round * 10 + 2), at(round * 10 + 3));
    }
    assert!(outage.admits(at(200)));
}

#[test]
fn a_group_that_is_reached_again_may_yet_be_broken() {
    let mut outage = outage();
    outage.hear(open(1), at(0));
    for number in 0..3 {
        outage.unreached(rank(number), at(10));
    }
    outage.hear(broken(1), at(2_000));
    assert_eq!(outage.reached(at(4_000)), None);
    assert!(!outage.admits(at(4_000)));
    assert!(outage.hear(open(2), at(5_600)).is_some());
}

#[test]
fn all_gateways_together_probe_as_often_as_one_alone() {
    let probes = |gateways: u32| -> usize {
        let mut outage = Outage::default();
        outage.share(gateways);
        outage.refused(at(0), at(0));
        let mut probes = 0;
        for ms in 0..6_000 {
            if outage.admits(at(ms)) {
                outage.sent(at(ms));
                probes += 1;
            }
        }
        probes
    };
    let alone = probes(1);
    assert!((38..=40).contains(&alone), "{alone}");
    // One probe each 1.5 s of ten.
    assert!((30..=40).contains(&(probes(10) * 10)), "{}", probes(10));
    // Also hundreds find out by themselves within seconds.
    assert!((1..=2).contains(&probes(148)), "{}", probes(148));
}

/// Time in which a group of these tests forms.
const FORM: Duration = Duration::from_millis(600);

/// A pool of three ranks of one group, all of which were restarted.
struct Restart {
    balancer: balancer::Balancer<policy::Blend>,
}

impl Restart {
    /// A pool of which so many ranks tell that the group is broken.
    fn new(telling: u32) -> Restart {
        let rng = ChaCha8Rng::seed_from_u64(7);
        let policy = policy::Blend { rng, sample: 2, affinity_slack: 0.0 };
        let mut balancer = balancer::Balancer::new(policy, &balancer::Options::default());
        balancer.set_share_of_servers(balancer::Share { number: 0, of: GATEWAYS });
        balancer.set_form(entity::Pool::from_u32(0), FORM);
        let mut restart = Restart { balancer };
        restart.list(telling, broken(4), at(0));
        for number in 0..3 {
            restart.balancer.connect(rank(number), true, at(0));
            let report = server::Report {
                incarnation: 1,
                sequence: 1,
                slots: 10,
                alive: true,
                ..Default::default()
            };
            restart.balancer.report(rank(number), report, at(0));
        }
        restart
    }

    fn list(&mut self, telling: u32, news: News, now: clock::Instant) -> Vec<balancer::Action> {
        let listing = |number: u32| server::Listing {
            host: format!("host{number}").into(),
            born: None,
            pool: entity::Pool::from_u32(0),
            group: Some(entity::Group::from_u32(0)),
            news: Some(if number < telling { news } else { open(news.epoch - 1) }),
            zone: "norte".into(),
            local: true,
            leaving: false,
            drained: false,
            cold: None,
        };
        self.balancer.list((0..3).map(listing).collect(), now)
    }

    fn arrive(&mut self, patience: Duration, now: clock::Instant) -> Vec<balancer::Action> {
        let arrival = balancer::Arrival {
            pool: entity::Pool::from_u32(0),
            team: entity::Team::from_u32(0),
            precedence: 1,
            repeatable: true,
            resumable: true,
            max_attempts: 2,
            deadline: now + patience,
            expires: now + patience,
            begin_by: Some(now + Duration::from_millis(400)),
            prefix: 0,
            suspect: None,
        };
        self.balancer.arrive(arrival, now).1
    }
}

fn refused(actions: &[balancer::Action]) -> bool {
    matches!(actions, [balancer::Action::Refuse(_)])
}

/// All hosts were restarted: callers whose answers broke off come back at once, for
/// the last time, a moment before the group has formed.
#[test]
fn callers_wait_for_a_group_whose_ranks_are_all_back() {
    let mut restart = Restart::new(3);
    let patience = Duration::from_secs(5);
    assert_eq!(restart.arrive(patience, at(100)), []);
    assert_eq!(restart.arrive(patience, at(800)), [], "also beyond the time for a first event");
    assert_eq!(restart.balancer.tick(at(850)), []);
    let sent = restart.list(3, open(5), at(860));
    assert_eq!(sent.len(), 2);
    assert!(sent.iter().all(|action| matches!(action, balancer::Action::Send(_))), "{sent:?}");
    assert_eq!(restart.balancer.verify(), Ok(()));
}

#[test]
fn nobody_waits_without_a_ground_or_in_vain() {
    // One rank is not back: nothing tells when the group will be.
    assert!(refused(&Restart::new(2).arrive(Duration::from_secs(5), at(100))));
    // The answer would not come before its deadline.
    assert!(refused(&Restart::new(3).arrive(Duration::from_millis(500), at(100))));
    // It is overdue: who waits is refused, and so is whoever comes now.
    let mut overdue = Restart::new(3);
    assert_eq!(overdue.arrive(Duration::from_secs(5), at(100)), []);
    assert_eq!(overdue.balancer.tick(at(1_300)), []);
    assert!(refused(&overdue.balancer.tick(at(1_450))));
    assert!(refused(&overdue.arrive(Duration::from_secs(5), at(1_460))));
    assert_eq!(overdue.balancer.verify(), Ok(()));
}

/// A gateway of a zone with ranks of two groups, of which one is broken: the
/// other one has room for all.
#[test]
fn callers_beside_a_broken_group_are_not_refused_for_want_of_retries() {
    let rng = ChaCha8Rng::seed_from_u64(7);
    let policy = policy::Blend { rng, sample: 2, affinity_slack: 0.0 };
    // What each of 42 gateways has of the users' budget.
    let options = balancer::Options::default().charge_full(true).retry_ratio(0.15);
    let mut balancer = balancer::Balancer::new(policy, &options.retry_reserve(4.2));
    balancer.set_share_of_servers(balancer::Share { number: 0, of: GATEWAYS });
    let listing = |number: u32, news: News| server::Listing {
        host: format!("host{number}").into(),
        born: None,
        pool: entity::Pool::from_u32(0),
        group: Some(entity::Group::from_u32(number % 2)),
        news: Some(news),
        zone: "norte".into(),
        local: true,
        leaving: false,
        drained: false,
        cold: None,
    };
    let list =
        |news: News| (0..20).map(move |n| listing(n, if n % 2 == 0 { open(1) } else { news }));
    balancer.list(list(open(1)).collect(), at(0));
    for number in 0..20 {
        balancer.connect(rank(number), true, at(0));
        let report = server::Report {
            incarnation: 1,
            sequence: 1,
            slots: 10,
            alive: true,
            ..Default::default()
        };
        balancer.report(rank(number), report, at(0));
    }
    let (mut refused, mut into_the_broken) = (0, 0);
    // Five callers a second, for the six seconds of a break.
    for step in 0..30 {
        let now = at(1_000 + step * 200);
        let due = now + Duration::from_secs(8);
        let arrival = balancer::Arrival {
            pool: entity::Pool::from_u32(0),
            team: entity::Team::from_u32(0),
            precedence: 1,
            repeatable: true,
            resumable: true,
            max_attempts: 2,
            deadline: due,
            expires: due,
            begin_by: Some(now + Duration::from_millis(400)),
            prefix: 0,
            suspect: None,
        };
        let (ticket, mut actions) = balancer.arrive(arrival, now);
        while let [balancer::Action::Send(dispatch)] = &actions[..] {
            if dispatch.choice.server.as_u32() % 2 == 0 {
                balancer.begin(ticket, Duration::from_millis(100), now);
                balancer.end(ticket, balancer::End::Answered, now);
                break;
            }
            into_the_broken += 1;
            actions = balancer.end(ticket, balancer::End::GroupDown, now);
        }
        refused += usize::from(matches!(actions[..], [balancer::Action::Refuse(_)]));
    }
    assert_eq!(refused, 0);
    assert!(into_the_broken <= 3, "{into_the_broken}");
    // Its return is heard of, and it gets requests again.
    balancer.list(list(open(2)).collect(), at(8_000));
    let back = balancer.take_notes();
    assert!(back.iter().any(|note| matches!(note, balancer::Note::GroupUp(_, _))), "{back:?}");
}
