//! Measures the limits, which use no shared counter, under overload, with failing servers and with
//! one team that asks for far more than the others.

use crate::fleet::Plan;
use crate::{fleet, routing};

/// Runs a plan and prints its row.
fn row(name: &str, plan: &Plan) {
    let result = fleet::run(plan, routing::daemon_policy);
    println!(
        "{name:<24} {:>8} {:>8.0} {:>6.2} {:>9.1} {:>9.1} {:>8} {:>8} {:>6.0}%",
        result.offered,
        result.goodput(plan),
        result.sent as f64 / result.offered as f64,
        result.wait_ms(0, 0.95),
        result.wait_ms(1, 0.95),
        result.full,
        result.refused,
        others(&result) * 100.0
    );
}

/// Returns the fraction of the requests of all teams but team 0 that was answered in time.
fn others(result: &fleet::Result) -> f64 {
    let (asked, good) = result.by_team[1];
    good as f64 / asked.max(1) as f64
}

/// Returns that fraction at a load, while team 0 sends `team_0_weight` times as many requests as
/// any other team.
pub fn share_of_others(team_0_weight: f64, load: f64) -> f64 {
    let plan = Plan { team_0_weight, ..Plan::default() }.at_load(load);
    others(&fleet::run(&plan, routing::daemon_policy))
}

/// Prints goodput and wait times at growing load, for 7, 13 and 400 entry hosts, and special cases.
pub fn print() {
    println!(
        "{:<24} {:>8} {:>8} {:>6} {:>9} {:>9} {:>8} {:>8} {:>7}",
        "case", "offered", "good/s", "sent", "urgent95", "other95", "full", "refused", "others"
    );
    for (entries, servers) in [(7, 16), (13, 135), (400, 16)] {
        let base = Plan { entries, servers, ..Plan::default() };
        for load in [0.8, 1.0, 2.0, 10.0] {
            let plan = base.clone().at_load(load);
            row(&format!("{entries}x{servers} load={load}"), &plan);
        }
    }
    let base = Plan::default();
    for (entries, servers) in [(7, 16), (13, 135)] {
        let plan = Plan { entries, servers, piggyback: false, ..Plan::default() };
        row(&format!("{entries}x{servers} no piggyback, 0.8"), &plan.at_load(0.8));
    }
    row("greedy team, load=2", &Plan { team_0_weight: 50.0, ..base }.at_load(2.0));
    row("slow server, load=0.7", &Plan { slow: 1, ..base }.at_load(0.7));
    row("half fail, load=0.4", &Plan { failing: 8, ..base }.at_load(0.4));
    row("half fail, load=1", &Plan { failing: 8, ..base }.at_load(1.0));
    row("half fail, no budget", &Plan { failing: 8, retry_ratio: 10.0, ..base }.at_load(1.0));
}
