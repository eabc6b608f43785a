//! The reason and the evidence of a refusal, for the log.

use std::fmt;
use std::time::Duration;

use crate::fleet;
use crate::poison::Mark;

/// Ground of a refusal, the strongest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ground {
    /// The request was the only possible cause on a server that ended, and was dispatched
    /// there as the only suspect.
    OnlyRequestOnTrial,
    /// The request was the only possible cause on a server that ended.
    OnlyRequest,
    /// The request was on enough servers that ended, and no other request on more.
    Count,
}

impl fmt::Display for Ground {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Ground::OnlyRequestOnTrial => "only-request-on-trial",
            Ground::OnlyRequest => "only-request",
            Ground::Count => "count",
        })
    }
}

/// Reason of a refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Verdict {
    /// Number of servers that ended under the request.
    pub ends: u32,
    /// Ground of the refusal.
    pub ground: Ground,
}

/// One end that counts against a request, for the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Evidence {
    /// Run of the backend server.
    pub run: fleet::Run,
    /// Time since the server ended.
    pub age: Duration,
    /// Mark of the request itself.
    pub mark: Mark,
    /// Number of other requests on the server with the marks suspect, alone and cleared.
    pub others: [usize; 3],
}

impl fmt::Display for Evidence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let [suspects, alone, cleared] = self.others;
        let (server, age) = (&self.run.id, self.age.as_millis());
        let own = if self.mark == Mark::Alone { "alone" } else { "suspect" };
        write!(f, "{server}@{age}ms:{own}+{suspects}s{alone}a{cleared}c")
    }
}
