//! What a backend server says of its own near future in an answer.

use std::fmt;
use std::time::Duration;

/// Longest rest that is kept; a longer one is cut to it. Runs of backend servers last for
/// hours at the most between two releases, so this is as good as "until its
/// end", and keeps sums of times far from overflow.
pub const LONGEST_REST: Duration = Duration::from_secs(24 * 60 * 60);

/// How long a backend server wants no request from whom it answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Rest {
    /// It asks for none.
    #[default]
    None,
    /// It wants none for that time, from the moment of its answer.
    For(Duration),
    /// It asks for some, and for how long cannot be read.
    Unreadable,
}

/// What an answer says besides its request's own matter.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Notice {
    /// Whether it wants a rest.
    pub rest: Rest,
    /// Whether it is about to end: it wants nothing new in this run.
    pub leaving: bool,
}

impl Notice {
    /// Whether it says nothing.
    pub fn is_empty(&self) -> bool {
        *self == Notice::default()
    }
}

impl fmt::Display for Rest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Rest::None => f.write_str("-"),
            Rest::For(time) => write!(f, "{}", time.as_millis()),
            Rest::Unreadable => f.write_str("unreadable"),
        }
    }
}
