//! Measures the effect of applying the *rest* that servers ask for, by the number of gateways.
//!
//! A server that sheds load asks for rest: the time during which it should get no requests
//! (`Retry-After`). Compared are the requests that reach a resting server, and the requests that
//! are served in time, rejected and sent.

use std::time::Duration;

use crate::fleet::{Plan, shed};
use crate::{fleet, routing};

/// Compared numbers of gateways, each with its number of servers.
const SIZES: [(usize, usize); 3] = [(8, 16), (100, 100), (300, 300)];
/// Rest that a server asks for.
const REST: Duration = Duration::from_secs(3);
/// Begin and end of the time in which servers shed requests.
const SPAN: (Duration, Duration) = (Duration::from_secs(5), Duration::from_secs(13));
/// Time limit of a request.
const TIME_LIMIT: Duration = Duration::from_secs(8);

/// Returns a plan in which `part` of the servers shed a part of their requests.
pub fn plan((entries, servers): (usize, usize), part: f64, load: f64, applied: bool) -> Plan {
    let shedding = (servers as f64 * part).ceil() as usize;
    let shed = shed::Plan { servers: shedding, span: SPAN, rest: REST, applied };
    let plan = Plan {
        entries,
        servers,
        time_limit: TIME_LIMIT,
        duration: Duration::from_secs(20),
        // Retries are counted by the requests that reach servers.
        retry_ratio: 0.2,
        shed: Some(shed),
        ..Plan::default()
    };
    plan.at_load(load)
}

/// Returns the largest number of requests that one gateway sends to a server during its rest.
pub fn most_during_rest(result: &fleet::Result) -> usize {
    result.shed_log.most_during_rest(REST)
}

/// Prints a row for each size, part of the servers that shed, and way to handle rest.
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
