//! Servers of the fleet that shed requests and ask for rest.

use std::collections::BTreeMap;
use std::time::Duration;

use loftcove_decision::clock;
use loftcove_decision::routing::notice;

/// Part of its requests that a server refuses while it sheds.
const PART: f64 = 0.45;
/// Time after a refusal from which on requests count.
const SETTLE: Duration = Duration::from_millis(500);

/// Who sheds, when, and whether gateways heed it.
#[derive(Debug, Clone, Copy)]
pub struct Plan {
    /// Servers that shed: the first ones.
    pub servers: usize,
    /// From when to when.
    pub span: (Duration, Duration),
    /// Rest that they ask for.
    pub rest: Duration,
    /// Whether entry hosts are told it.
    pub applied: bool,
}

impl Plan {
    /// What a refusal says, as the entry host takes it.
    pub fn notice(&self) -> notice::Notice {
        let rest = if self.applied { notice::Rest::For(self.rest) } else { notice::Rest::None };
        notice::Notice { rest, leaving: false }
    }
}

/// What has been asked, and what came all the same.
#[derive(Debug, Clone, Default)]
pub struct Log {
    /// When each server refused a request of each entry host.
    asked: BTreeMap<(usize, usize), Vec<clock::Instant>>,
    /// When requests of each entry host reached each server that asked for rest.
    came: BTreeMap<(usize, usize), Vec<clock::Instant>>,
}

impl Log {
    /// A request of an entry host reaches a server. Returns whether it is refused,
    /// for a lot from 0 to 1.
    pub fn record_arrival(
        &mut self,
        plan: &Plan,
        (server, entry): (usize, usize),
        lot: f64,
        now: clock::Instant,
    ) -> bool {
        if server >= plan.servers {
            return false;
        }
        self.came.entry((server, entry)).or_default().push(now);
        let since = now.since(clock::Instant::ZERO);
        let sheds = plan.span.0 <= since && since < plan.span.1 && lot < PART;
        if sheds {
            self.asked.entry((server, entry)).or_default().push(now);
        }
        sheds
    }

    /// Most requests of one entry host that reached a server between half a second
    /// after it had asked for rest and the end of that.
    pub fn most_during_rest(&self, rest: Duration) -> usize {
        let count = |(pair, asked): (&(usize, usize), &Vec<clock::Instant>)| {
            let came = self.came.get(pair).map_or(&[][..], Vec::as_slice);
            let within = |from: clock::Instant| {
                let (begin, end) = (from + SETTLE, from + rest);
                came.partition_point(|at| *at <= end) - came.partition_point(|at| *at < begin)
            };
            asked.iter().map(|from| within(*from)).max().unwrap_or(0)
        };
        self.asked.iter().map(count).max().unwrap_or(0)
    }
}
