//! Compares the placement policies by skew, and by the expert loads that reach it.
//!
//! The *skew* of an interval is its step time relative to that of a perfectly balanced group.

use loftcove_decision::placement::{cost, layout, load, pack, policy};

use crate::drift;

/// Number of intervals in a run: a day in quarter hours.
pub const INTERVALS: usize = 96;
/// Maximum number of replicas of one expert.
const REPLICAS: u32 = 8;

/// Shape of the current deployments: one group of 16 ranks.
pub const TODAY: layout::Shape = layout::Shape { layers: 8, experts: 64, ranks: 16, slots: 5 };
/// Target shape. The choice between the policies is made at this size.
pub const TARGET: layout::Shape = layout::Shape { layers: 60, experts: 256, ranks: 64, slots: 5 };

/// Result of a policy over a run.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Score {
    /// Mean skew over the intervals.
    pub mean: f64,
    /// 95th percentile of the skew.
    pub p95: f64,
    /// Expert loads per interval, as a fraction of all experts of all layers.
    pub moved: f64,
    /// Number of intervals in which the layout changed.
    pub changes: usize,
}

/// Runs a policy over a drift pattern.
///
/// A decision at the end of an interval takes effect in the next one, so the load that it is based
/// on is always one interval old.
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
        // A group with an expert on a lost rank cannot step.
        skews.push(if skew.is_finite() { skew } else { STALLED_SKEW });
        let observation = policy::Observation { load: &interval.load, health: &interval.health };
        if let Some(next) = policy.decide(observation, &layout) {
            assert_eq!(next.verify(), Ok(()));
            loads += next.loads_from(&layout);
            changes += 1;
            layout = next;
        }
    }
    skews.sort_by(f64::total_cmp);
    let experts = f64::from(shape.layers * shape.experts) * intervals as f64;
    Score {
        mean: skews.iter().sum::<f64>() / intervals as f64,
        p95: skews[intervals * 95 / 100],
        moved: f64::from(loads) / experts,
        changes,
    }
}

/// Skew that is counted for a group that cannot step.
const STALLED_SKEW: f64 = 10.0;

/// A policy that uses one static layout, packed for the mean of all loads of the run.
pub struct Hindsight {
    layout: Option<layout::Layout>,
}

impl Hindsight {
    /// Packs a layout for the mean of the run's loads.
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

/// Returns the rules of a deployment with these weights.
pub fn rules(skew_weight: f64, cost_weight: f64) -> policy::Rules {
    // The limit on moves is raised, because it must grow with the size of the group.
    policy::Rules {
        skew_weight,
        cost_weight,
        moves: 512,
        replicas: REPLICAS,
        ..policy::Rules::default()
    }
}

/// Weights of skew and cost of the deployment Cartamar, which values low skew most.
pub const CARTAMAR: (f64, f64) = (4.0, 1.0);
/// Weights of skew and cost of the deployment Mensageira, which values few expert loads most.
pub const MENSAGEIRA: (f64, f64) = (1.0, 4.0);

/// Row of one policy.
pub struct Row {
    /// Name of the policy.
    pub name: &'static str,
    /// Result of the policy.
    pub score: Score,
}

/// Runs all policies over one drift pattern.
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

/// Prints the comparison for both shapes.
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

/// Prints the trade-off between skew and cost, by the ratio of their weights.
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
