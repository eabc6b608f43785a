//! Why a request is refused, as it is logged.

use std::fmt;
use std::time::Duration;

use crate::fleet;
use crate::poison::Mark;

/// On what a refusal is based, the surest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ground {
    /// The only request on a server that ended, and sent there as a suspect.
    OnlyRequestOnTrial,
    /// The only request there.
    OnlyRequest,
    /// No other request was on as many servers that ended.
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

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Verdict {
    /// Servers that ended under it.
    pub ends: u32,
    /// What the refusal is based on.
    pub ground: Ground,
}

/// One end that is held against a request, for the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Evidence {
    /// Run of the backend server.
    pub run: fleet::Run,
    /// Time since its end.
    pub age: Duration,
    /// What is held of the request itself.
    pub mark: Mark,
    /// Others that were there, by what is held of them: suspect, alone, cleared.
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
