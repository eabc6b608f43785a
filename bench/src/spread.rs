//! Measures the time of the search for a better map, by the size of the group.

use std::time::{Duration, Instant};

use loftcove_decision::map::difference;
use loftcove_decision::placement::{spread, stage};
use rand::Rng as _;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng as _;

/// Number of layer sets, and of experts of a set per rank, in the groups.
const SHAPE: (usize, usize) = (10, 2);
/// Maximum number of experts of a set on a rank.
const PLACEMENTS: usize = 3;
/// Number of ranks in each group.
const RANKS: [usize; 4] = [16, 64, 192, 1_024];
/// Number of shifts of the demand.
const SHIFTS: usize = 3;
/// Target peak and minimum gain, for idle and for fully loaded engines.
const GOALS: [(f64, f64); 2] = [(1.50, 0.06), (1.06, 0.02)];

/// Prints the time of each search, the peak that it reaches and the size of the encoded map.
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

/// Returns a random load of an expert, 20 to 402. The largest are about three times the mean.
fn load(rng: &mut ChaCha8Rng) -> f64 {
    20.0 * (rng.random::<f64>() * 3.0).exp()
}

/// Runs and prints one search, and returns the map that it reaches.
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
    let start = Instant::now();
    let stage =
        stage::plan(&map, &demand, bounds, spread::Goal { target_peak: even, min_gain }, times);
    let ms = start.elapsed().as_secs_f64() * 1_000.0;
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
