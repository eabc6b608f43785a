//! What heeding a server's wish for rest buys: requests that reach a resting
//! server, requests served, refused and sent, by the number of gateways.

use std::time::Duration;

use crate::fleet::{Plan, shed};
use crate::{fleet, routing};

/// Numbers of gateways that are compared, each with so many servers.
const SIZES: [(usize, usize); 3] = [(8, 16), (100, 100), (300, 300)];
/// Rest that servers ask for.
const REST: Duration = Duration::from_secs(3);
/// When servers shed.
const SPAN: (Duration, Duration) = (Duration::from_secs(5), Duration::from_secs(13));
/// Time that a request is given.
const TIME_LIMIT: Duration = Duration::from_secs(8);

/// A day on which so many of the servers shed a part of their requests.
pub fn plan((entries, servers): (usize, usize), part: f64, load: f64, applied: bool) -> Plan {
    let shedding = (servers as f64 * part).ceil() as usize;
    let shed = shed::Plan { servers: shedding, span: SPAN, rest: REST, applied };
    let plan = Plan {
        entries,
        servers,
        time_limit: TIME_LIMIT,
        duration: Duration::from_secs(20),
        // Retries are counted by what arrives at servers.
        retry_ratio: 0.2,
        shed: Some(shed),
        ..Plan::default()
    };
    plan.at_load(load)
}

/// Most requests that one gateway sends to a server in its rest.
pub fn most_during_rest(result: &fleet::Result) -> usize {
    result.shed_log.most_during_rest(REST)
}

/// Prints a row for each size, part of the servers that sheds, and way.
pub fn print() {
    println!(
        "{:<36} {:>8} {:>8} {:>8} {:>8} {:>8} {:>6}",
        "case", "offered", "in time", "refused", "sent", "shed", "worst"
    );
    for size in SIZES {
        for (part, load) in [(0.3, 0.5), (0.3, 0.9), (1.0, 0.5)] {
            for applied in [false, true] {
                let plan = plan(size, part, load, applied);
                let result = fleet::run(&plan, routing::daemon_policy);
                let way = if applied { "heeded" } else { "own guess" };
                println!(
                    "{:<36} {:>8} {:>8.3} {:>8} {:>8} {:>8} {:>6}",
                    format!("{}x{} {part} shed, load {load}, {way}", size.0, size.1),
                    result.offered,
                    result.good as f64 / result.offered.max(1) as f64,
                    result.refused,
                    result.sent,
                    result.shed,
                    most_during_rest(&result)
                );
            }
        }
    }
}
