//! How long the search for a better map takes, by the size of the group.

use std::time::{Duration, Instant};

use loftcove_decision::map::difference;
use loftcove_decision::placement::{spread, stage};
use rand::Rng as _;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng as _;

/// Sets, and experts of a set to a rank, of the groups that are searched.
const SHAPE: (usize, usize) = (10, 2);
/// Experts of a set that a rank may hold.
const PLACEMENTS: usize = 3;
/// Ranks of the groups.
const RANKS: [usize; 4] = [16, 64, 192, 1_024];
/// Times that the demand shifts.
const SHIFTS: usize = 3;
/// Goals while the engines are idle and while they are full.
const GOALS: [(f64, f64); 2] = [(1.50, 0.06), (1.06, 0.02)];

/// Prints the time of each search, what it reaches, and the bytes that tell it.
pub fn print() {
    for ranks in RANKS {
        let experts = SHAPE.1 * ranks;
        let mut rng = ChaCha8Rng::seed_from_u64(1);
        let mut map = difference::round_robin(SHAPE.0, experts, ranks);
        for _ in 0..SHIFTS {
            let loads: Vec<Vec<f64>> =
                (0..SHAPE.0).map(|_| (0..experts).map(|_| load(&mut rng)).collect()).collect();
            for goal in GOALS {
                map = search(map, &loads, goal);
            }
        }
    }
}

/// Load of an expert, of which the largest are some eight times the mean.
fn load(rng: &mut ChaCha8Rng) -> f64 {
    20.0 * (rng.random::<f64>() * 3.0).exp()
}

fn search(
    map: difference::Map,
    loads: &[Vec<f64>],
    (even, min_gain): (f64, f64),
) -> difference::Map {
    let demand = |load| spread::Demand { load, slowness: &[] };
    let demand: Vec<spread::Demand<'_>> = loads.iter().map(|load| demand(load)).collect();
    let bounds = spread::Bounds { placements: PLACEMENTS, spare: PLACEMENTS };
    let times =
        stage::Times { copy: Duration::from_millis(200), switch: Duration::from_millis(300) };
    let begun = Instant::now();
    let stage =
        stage::plan(&map, &demand, bounds, spread::Goal { target_peak: even, min_gain }, times);
    let ms = begun.elapsed().as_secs_f64() * 1_000.0;
    let Some(stage) = stage else { return map };
    let bytes = difference::encode(&map, &stage.map).map_or(0, |bytes| bytes.len());
    println!(
        "spread ranks={} even={even} ms={ms:.1} peak={:.3} reached={:.3} copies={} bytes={bytes}",
        map[0].len(),
        stage.peak.0,
        stage.peak.1,
        stage.copies.0
    );
    stage.map
}
