//! A short soak of the seeds that are kept.

#![allow(clippy::unwrap_used, reason = "a test that fails may panic")]

use std::path::Path;
use std::time::Duration;

use loftcove_soak::{client, plan, run};

const SIZE: plan::Size =
    plan::Size { gateways: 3, ranks: 4, plain: 3, clients: 12, time: Duration::from_secs(8) };

/// A seed that is kept, with the size that it is played at, and what else differs from a
/// play of today.
#[derive(Debug, PartialEq)]
struct Kept {
    seed: u64,
    size: (u8, u8, u8, u32, Duration),
    callers: client::Policy,
    without: Vec<String>,
}

impl Kept {
    /// Reads `SEED [NAME=VALUE..] CAUSE`; a name is that of the command line's option.
    fn read(line: &str) -> Kept {
        let mut words = line.split_whitespace();
        let seed = words.next().unwrap().parse().unwrap();
        let mut size = SIZE;
        let (mut callers, mut without) = (client::Policy::default(), Vec::new());
        for (name, value) in words.map_while(|word| word.split_once('=')) {
            match name {
                "gateways" => size.gateways = value.parse().unwrap(),
                "ranks" => size.ranks = value.parse().unwrap(),
                "plain" => size.plain = value.parse().unwrap(),
                "clients" => size.clients = value.parse().unwrap(),
                "seconds" => size.time = Duration::from_secs(value.parse().unwrap()),
                "callers" => callers = value.parse().unwrap(),
                "without" => without = value.split(',').map(str::to_owned).collect(),
                _ => panic!("no setting {name}"),
            }
        }
        let size = (size.gateways, size.ranks, size.plain, size.clients, size.time);
        Kept { seed, size, callers, without }
    }

    fn size(&self) -> plan::Size {
        let (gateways, ranks, plain, clients, time) = self.size;
        plan::Size { gateways, ranks, plain, clients, time }
    }
}

fn kept() -> Vec<Kept> {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/seeds.txt");
    let text = std::fs::read_to_string(path).unwrap();
    text.lines().filter(|line| !line.starts_with('#')).map(Kept::read).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn kept_seeds_break_no_promise() {
    let kept = kept();
    assert!(!kept.is_empty());
    for kept in kept {
        let events = plan::draw_without(kept.seed, &kept.size(), &kept.without);
        let report = run::play(kept.seed, &kept.size(), kept.callers, events).await;
        if !report.breaches.is_empty() {
            let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("seed-{}", kept.seed));
            report.save(&folder).unwrap();
            eprintln!("logs of seed {} are in {}", kept.seed, folder.display());
        }
        assert!(report.requests.1 > 100, "{:?} requests", report.requests);
        assert_eq!(report.breaches, [], "seed {}: {:?}", kept.seed, report.events);
    }
}

#[test]
fn a_kept_seed_may_have_a_size_of_its_own() {
    let kept = Kept::read("7 gateways=16 seconds=20 a cause with x=y in it");
    let size = (16, SIZE.ranks, SIZE.plain, SIZE.clients, Duration::from_secs(20));
    let (callers, without) = (client::Policy::Patient, Vec::new());
    assert_eq!(kept, Kept { seed: 7, size, callers, without });
}

#[test]
fn a_kept_seed_may_be_played_as_it_once_was() {
    let kept = Kept::read("7 callers=immediate without=limit,lose a cause");
    assert_eq!(kept.callers, client::Policy::Immediate);
    let events = plan::draw_without(kept.seed, &kept.size(), &kept.without);
    let newer = ["limit", "lose"];
    assert!(!events.is_empty() && events.iter().all(|event| !newer.contains(&event.fault.name())));
}

#[test]
fn a_seed_draws_the_same_faults_again() {
    assert_eq!(plan::draw(7, &SIZE), plan::draw(7, &SIZE));
    assert_ne!(plan::draw(7, &SIZE), plan::draw(8, &SIZE));
}
