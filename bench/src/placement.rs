//! Compares the placement policies: skew, and what it costs.

use loftcove_decision::placement::{cost, layout, load, pack, policy};

use crate::drift;

/// Intervals of a run: a day of quarter hours.
pub const INTERVALS: usize = 96;
/// Copies of one expert at the most.
const REPLICAS: u32 = 8;

/// Ranks as today: 16 in one group.
pub const TODAY: layout::Shape = layout::Shape { layers: 8, experts: 64, ranks: 16, slots: 5 };
/// The size that decides (letter 1).
pub const TARGET: layout::Shape = layout::Shape { layers: 60, experts: 256, ranks: 64, slots: 5 };

/// What a policy came to over a run.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Score {
    /// Mean over the intervals of step time relative to perfect balance.
    pub mean: f64,
    /// 95th percentile of it.
    pub p95: f64,
    /// Expert loads, as a part of all experts of all layers, per interval.
    pub moved: f64,
    /// Intervals in which anything moved.
    pub changes: usize,
}

/// Runs a policy over a drift. The decision at the end of an interval takes
/// effect for the next: what it saw is always one interval old.
pub fn run<P: policy::Policy>(
    mut policy: P,
    drift: drift::Drift,
    shape: layout::Shape,
    intervals: usize,
) -> Score {
    let mut source = drift::Source::new(drift, shape, 1);
    let mut layout = layout::Layout::round_robin(shape);
    let mut skews = Vec::with_capacity(intervals);
    let mut loads = 0;
    let mut changes = 0;
    for number in 0..intervals {
        let interval = source.interval(number, intervals);
        let skew = cost::skew(&layout, &interval.load, &interval.health);
        // A group with an expert on a lost rank does not step at all.
        skews.push(if skew.is_finite() { skew } else { STALLED });
        let seen = policy::Observation { load: &interval.load, health: &interval.health };
        if let Some(next) = policy.decide(seen, &layout) {
            assert_eq!(next.verify(), Ok(()));
            loads += next.loads_from(&layout);
            changes += 1;
            layout = next;
        }
    }
    skews.sort_by(f64::total_cmp);
    let all = f64::from(shape.layers * shape.experts) * intervals as f64;
    Score {
        mean: skews.iter().sum::<f64>() / intervals as f64,
        p95: skews[intervals * 95 / 100],
        moved: f64::from(loads) / all,
        changes,
    }
}

/// Skew that stands for a group which does not step.
const STALLED: f64 = 10.0;

/// The best static layout known in hindsight: packed on the mean of all loads.
pub struct Hindsight {
    layout: Option<layout::Layout>,
}

impl Hindsight {
    /// Packs on the mean of the run's loads.
    pub fn new(drift: drift::Drift, shape: layout::Shape, intervals: usize) -> Hindsight {
        let mut source = drift::Source::new(drift, shape, 1);
        let mut mean = load::Load::new(shape.layers as usize, shape.experts as usize);
        let mut health = cost::Health::healthy(shape.ranks);
        for number in 0..intervals {
            let interval = source.interval(number, intervals);
            mean.blend(&interval.load, 1.0 / (number + 1) as f64);
            health = interval.health;
        }
        Hindsight { layout: pack::pack(shape, &mean, &health, REPLICAS) }
    }
}

impl policy::Policy for Hindsight {
    fn decide(&mut self, _: policy::Observation<'_>, _: &layout::Layout) -> Option<layout::Layout> {
        self.layout.take()
    }
}

/// Rules of a deployment.
pub fn rules(skew_weight: f64, cost_weight: f64) -> policy::Rules {
    // The bound on moves grows with the group.
    policy::Rules {
        skew_weight,
        cost_weight,
        moves: 512,
        replicas: REPLICAS,
        ..policy::Rules::default()
    }
}

/// Weights of the two deployments of the brief.
pub const CARTAMAR: (f64, f64) = (4.0, 1.0);
/// See [`CARTAMAR`].
pub const MENSAGEIRA: (f64, f64) = (1.0, 4.0);

/// One policy's row.
pub struct Row {
    /// Name of the policy.
    pub name: &'static str,
    /// What it came to.
    pub score: Score,
}

/// All policies over one drift.
pub fn compare(drift: drift::Drift, shape: layout::Shape, intervals: usize) -> Vec<Row> {
    let incremental = |(skew, cost)| policy::Incremental::new(rules(skew, cost));
    let once = policy::Once { replicas: REPLICAS, done: false };
    let repack = policy::Repack { replicas: REPLICAS };
    let hindsight = Hindsight::new(drift, shape, intervals);
    vec![
        Row { name: "never", score: run(policy::Never, drift, shape, intervals) },
        Row { name: "once", score: run(once, drift, shape, intervals) },
        Row { name: "hindsight", score: run(hindsight, drift, shape, intervals) },
        Row { name: "repack", score: run(repack, drift, shape, intervals) },
        Row {
            name: "incremental-skew",
            score: run(incremental(CARTAMAR), drift, shape, intervals),
        },
        Row {
            name: "incremental-cost",
            score: run(incremental(MENSAGEIRA), drift, shape, intervals),
        },
    ]
}

/// Prints the comparison at both sizes.
pub fn print() {
    for (name, shape, intervals) in [("today", TODAY, INTERVALS), ("target", TARGET, INTERVALS)] {
        println!(
            "size={name} ranks={} experts={} layers={}",
            shape.ranks, shape.experts, shape.layers
        );
        println!(
            "{:<12} {:<17} {:>7} {:>7} {:>9} {:>8}",
            "drift", "policy", "mean", "p95", "moved", "changes"
        );
        for drift in drift::ALL {
            for row in compare(drift, shape, intervals) {
                let score = row.score;
                println!(
                    "{:<12} {:<17} {:>7.3} {:>7.3} {:>8.3}% {:>8}",
                    format!("{drift:?}"),
                    row.name,
                    score.mean,
                    score.p95,
                    score.moved * 100.0,
                    score.changes
                );
            }
        }
    }
}

/// Prints the trade-off between skew and cost over the weights.
pub fn print_curve() {
    println!("{:<12} {:>12} {:>7} {:>9}", "drift", "cost/skew", "mean", "moved");
    for drift in [drift::Drift::Mornings, drift::Drift::Rotation, drift::Drift::Noise] {
        for weight in [0.0, 0.05, 0.25, 1.0, 4.0, 16.0, 64.0, 256.0] {
            let policy = policy::Incremental::new(rules(1.0, weight));
            let score = run(policy, drift, TODAY, INTERVALS);
            println!(
                "{:<12} {weight:>12} {:>7.3} {:>8.3}%",
                format!("{drift:?}"),
                score.mean,
                score.moved * 100.0
            );
        }
    }
}
