//! Short soak test of the stored seeds. Each seed that ever failed is stored with its cause.

#![allow(clippy::unwrap_used, reason = "a test that fails may panic")]

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use loftcove_soak::{client, plan, run};
use tokio::sync::Semaphore;

const SIZE: plan::Size =
    plan::Size { gateways: 3, ranks: 4, plain: 3, clients: 12, time: Duration::from_secs(8) };

/// A stored seed, with the size of its system and the options that differ from the defaults.
#[derive(Debug, PartialEq)]
struct Stored {
    seed: u64,
    size: (u8, u8, u8, u32, Duration),
    callers: client::Policy,
    without: Vec<String>,
}

impl Stored {
    /// Parses `SEED [NAME=VALUE..] CAUSE`, where the names are those of the command line's options.
    fn parse(line: &str) -> Stored {
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
        Stored { seed, size, callers, without }
    }

    fn size(&self) -> plan::Size {
        let (gateways, ranks, plain, clients, time) = self.size;
        plan::Size { gateways, ranks, plain, clients, time }
    }
}

fn stored_seeds() -> Vec<Stored> {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/seeds.txt");
    let text = std::fs::read_to_string(path).unwrap();
    text.lines().filter(|line| !line.starts_with('#')).map(Stored::parse).collect()
}

/// Maximum number of seeds that are played at the same time. Each has a system of its own.
const CONCURRENT_PLAYS: usize = 3;

/// Plays a stored seed. `position` counts the stored seeds from 1.
async fn play(position: usize, stored: Stored) {
    let events = plan::draw_without(stored.seed, &stored.size(), &stored.without);
    let report = run::play(stored.seed, &stored.size(), stored.callers, events).await;
    if !report.breaches.is_empty() {
        // A seed may be stored more than once, with other settings.
        let name = format!("seed-{}-position-{position}", stored.seed);
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        report.save(&folder).unwrap();
        eprintln!("logs of seed {} are in {}", stored.seed, folder.display());
    }
    assert!(report.requests.1 > 100, "seed {}: {:?} requests", stored.seed, report.requests);
    assert_eq!(report.breaches, [], "seed {}: {:?}", stored.seed, report.events);
}

#[tokio::test(flavor = "multi_thread")]
async fn stored_seeds_have_no_breaches() {
    let seeds = stored_seeds();
    assert!(!seeds.is_empty());
    let permits = Arc::new(Semaphore::new(CONCURRENT_PLAYS));
    // A task for each, so that the panic of one play neither ends the others nor saves their logs.
    let plays = (1..).zip(seeds).map(|(position, stored)| {
        let (seed, permits) = (stored.seed, permits.clone());
        let task = tokio::spawn(async move {
            let _permit = permits.acquire_owned().await.unwrap();
            play(position, stored).await;
        });
        (position, seed, task)
    });
    let plays: Vec<_> = plays.collect();
    let mut failed = Vec::new();
    for (position, seed, task) in plays {
        if task.await.is_err() {
            failed.push(format!("seed {seed} at position {position}"));
        }
    }
    assert!(failed.is_empty(), "failed: {failed:?}");
}

#[test]
fn parses_the_size_of_a_stored_seed() {
    let stored = Stored::parse("7 gateways=16 seconds=20 a cause with x=y in it");
    let size = (16, SIZE.ranks, SIZE.plain, SIZE.clients, Duration::from_secs(20));
    let (callers, without) = (client::Policy::Patient, Vec::new());
    assert_eq!(stored, Stored { seed: 7, size, callers, without });
}

#[test]
fn excludes_the_kinds_of_faults_that_a_stored_seed_lists() {
    let stored = Stored::parse("7 callers=immediate without=limit,lose a cause");
    assert_eq!(stored.callers, client::Policy::Immediate);
    let events = plan::draw_without(stored.seed, &stored.size(), &stored.without);
    let newer = ["limit", "lose"];
    assert!(!events.is_empty() && events.iter().all(|event| !newer.contains(&event.fault.name())));
}

#[test]
fn draws_the_same_faults_for_the_same_seed() {
    assert_eq!(plan::draw(7, &SIZE), plan::draw(7, &SIZE));
    assert_ne!(plan::draw(7, &SIZE), plan::draw(8, &SIZE));
}
