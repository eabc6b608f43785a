//! Load shedding by servers of the fleet, which ask for rest.
//!
//! The *rest* of a server is the time during which it asks for no further requests.

use std::collections::BTreeMap;
use std::time::Duration;

use loftcove_decision::clock;
use loftcove_decision::routing::notice;

/// Fraction of its requests that a server rejects while it sheds.
const SHED_FRACTION: f64 = 0.45;
/// Time after a rejection during which further requests are not counted.
const SETTLE_TIME: Duration = Duration::from_millis(500);

/// Which servers shed, when, and whether entry hosts apply the rest that they ask for.
#[derive(Debug, Clone, Copy)]
pub struct Plan {
    /// Number of servers that shed. These are the first ones.
    pub servers: usize,
    /// Begin and end of the time in which they shed.
    pub span: (Duration, Duration),
    /// Rest that each of them asks for.
    pub rest: Duration,
    /// Whether entry hosts receive and apply that rest.
    pub applied: bool,
}

impl Plan {
    /// Returns the notice of a rejection, as the entry host receives it.
    pub fn notice(&self) -> notice::Notice {
        let rest = if self.applied { notice::Rest::For(self.rest) } else { notice::Rest::None };
        notice::Notice { rest, leaving: false }
    }
}

/// When servers asked for rest, and when requests reached them.
#[derive(Debug, Clone, Default)]
pub struct Log {
    /// Times at which a server rejected requests, by server and entry host.
    rejections: BTreeMap<(usize, usize), Vec<clock::Instant>>,
    /// Times at which requests reached a server that sheds, by server and entry host.
    arrivals: BTreeMap<(usize, usize), Vec<clock::Instant>>,
}

impl Log {
    /// Records that a request of an entry host reaches a server. Returns whether it is rejected.
    ///
    /// `draw` is a random number from 0 to 1.
    pub fn record_arrival(
        &mut self,
        plan: &Plan,
        (server, entry): (usize, usize),
        draw: f64,
        now: clock::Instant,
    ) -> bool {
        if server >= plan.servers {
            return false;
        }
        self.arrivals.entry((server, entry)).or_default().push(now);
        let since = now.since(clock::Instant::ZERO);
        let sheds = plan.span.0 <= since && since < plan.span.1 && draw < SHED_FRACTION;
        if sheds {
            self.rejections.entry((server, entry)).or_default().push(now);
        }
        sheds
    }

    /// Returns the largest number of requests of one entry host that reached a server between half
    /// a second after it had asked for rest and the end of that rest.
    pub fn most_during_rest(&self, rest: Duration) -> usize {
        let count = |(pair, rejections): (&(usize, usize), &Vec<clock::Instant>)| {
            let arrivals = self.arrivals.get(pair).map_or(&[][..], Vec::as_slice);
            let within = |from: clock::Instant| {
                let (begin, end) = (from + SETTLE_TIME, from + rest);
                arrivals.partition_point(|at| *at <= end)
                    - arrivals.partition_point(|at| *at < begin)
            };
            rejections.iter().map(|from| within(*from)).max().unwrap_or(0)
        };
        self.rejections.iter().map(count).max().unwrap_or(0)
    }
}
