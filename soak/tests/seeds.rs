//! A short soak of the seeds that are kept.

#![allow(clippy::unwrap_used, reason = "a test that fails may panic")]

use std::time::Duration;

use loftcove_soak::{plan, run};

const SIZE: plan::Size =
    plan::Size { gateways: 3, ranks: 4, plain: 3, clients: 12, time: Duration::from_secs(8) };

/// A seed that is kept, with the size that it is played at.
#[derive(Debug, PartialEq)]
struct Kept {
    seed: u64,
    size: (u8, u8, u8, u32, Duration),
}

impl Kept {
    /// Reads `SEED [NAME=NUMBER..] CAUSE`; a name is that of the command line's option.
    fn read(line: &str) -> Kept {
        let mut words = line.split_whitespace();
        let seed = words.next().unwrap().parse().unwrap();
        let mut size = SIZE;
        for (name, number) in words.map_while(|word| word.split_once('=')) {
            let number: u32 = number.parse().unwrap();
            match name {
                "gateways" => size.gateways = number as u8,
                "ranks" => size.ranks = number as u8,
                "plain" => size.plain = number as u8,
                "clients" => size.clients = number,
                "seconds" => size.time = Duration::from_secs(number.into()),
                _ => panic!("no size {name}"),
            }
        }
        Kept { seed, size: (size.gateways, size.ranks, size.plain, size.clients, size.time) }
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
        let report = run::seed(kept.seed, &kept.size()).await;
        assert!(report.requests.1 > 100, "{:?} requests", report.requests);
        assert_eq!(report.breaches, [], "seed {}: {:?}", kept.seed, report.events);
    }
}

#[test]
fn a_kept_seed_may_have_a_size_of_its_own() {
    let kept = Kept::read("7 gateways=16 seconds=20 a cause with x=y in it");
    let size = (16, SIZE.ranks, SIZE.plain, SIZE.clients, Duration::from_secs(20));
    assert_eq!(kept, Kept { seed: 7, size });
}

#[test]
fn a_seed_draws_the_same_faults_again() {
    assert_eq!(plan::draw(7, &SIZE), plan::draw(7, &SIZE));
    assert_ne!(plan::draw(7, &SIZE), plan::draw(8, &SIZE));
}
