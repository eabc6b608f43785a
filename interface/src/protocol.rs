//! Requests, answers and records of the platform, as loftcove sees them.

use std::sync::Arc;
use std::time::Duration;

use loftcove_decision::routing::{notice, rate, server};
use loftcove_decision::{fleet, route};

/// What loftcove reads from a client's request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// Id of this try of the client's; the answer must bear it too.
    pub id: Arc<str>,
    /// Host that the request is for, without a port.
    pub host: Arc<str>,
    /// Key that tells the team.
    pub key: Option<Arc<str>>,
    /// How long the client will wait, from now.
    pub timeout: Option<Duration>,
    /// Tokens of the prompt and the most tokens of the answer.
    pub tokens: Option<(u32, u32)>,
    /// The client's guess of the answer's tokens.
    pub length_hint: Option<u32>,
}

/// What loftcove adds to a request on its way to a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Forward {
    /// Run of the backend server that the request is meant for; another one
    /// refuses it.
    pub instance: Arc<str>,
    /// Team that the request is from.
    pub team: Option<Arc<str>>,
    /// Time that is left.
    pub left: Option<Duration>,
    /// Urgency among the requests that wait at the backend server, 0 first.
    pub priority: Option<u8>,
    /// Event after which a stream is to go on.
    pub resume_after: Option<Arc<str>>,
}

/// What a backend server's answer says about its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It is the answer of the request.
    Answered,
    /// The request did not run and will not run there.
    NotRun(NotRun),
    /// It is no usable answer of this request: of another one, or encoded.
    Unusable,
}

/// Why a backend server did not run a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotRun {
    /// It has no room, or cannot serve at present.
    Unavailable,
    /// The group that it is a rank of is broken: no rank can serve.
    GroupDown,
    /// It is another run than the one that was meant.
    OtherInstance,
    /// It is asked too often.
    Throttled,
    /// It did not accept the request's form.
    Rejected,
}

/// What loftcove reads from the head of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Answer {
    /// What it says about the request.
    pub verdict: Verdict,
    /// Load of the backend server.
    pub load: Option<server::Load>,
    /// How long the backend server keeps the connection when it is idle.
    pub keep_alive: Option<Duration>,
    /// Whether the backend server closes the connection after this answer.
    pub close: bool,
    /// What the run that was meant says of its own near future.
    pub notice: notice::Notice,
    /// What it says of its rate limit.
    pub rate: rate::Notice,
}

/// What a backend server's answer to a health check says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Health {
    /// It serves, and does not leave.
    Serving,
    /// It leaves.
    Leaving,
    /// Neither is known: it fails or is full, or another one answered.
    Unknown,
}

/// Why a record or a request could not be read.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// A record of the store is not well formed.
    #[error("record {key}: {reason}")]
    Record {
        /// Its key.
        key: String,
        /// What is wrong.
        reason: String,
    },
    /// A header of a request is missing or not well formed.
    #[error("header {0} is missing or not well formed")]
    Header(&'static str),
}

/// What a key of the store holds.
#[derive(Debug, Clone, PartialEq)]
pub enum Record {
    /// The operators' configuration.
    Config(Box<route::Config>),
    /// A backend server's entry.
    Server(fleet::Server),
    /// Something that is of no concern here.
    Other,
}

/// What a key of the store stands for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Key<'a> {
    /// The operators' configuration.
    Config,
    /// The entry of the backend server with this id.
    Server(&'a str),
    /// That this availability zone is drained: its backend servers get nothing
    /// while the key is there, whatever its value.
    DrainedZone(&'a str),
    /// Something else.
    Other,
}

/// Translates between the platform's messages and loftcove's types. All
/// functions are pure.
pub trait Protocol: Send + Sync + 'static {
    /// Prefix of the store that holds the configuration.
    const CONFIG_PREFIX: &'static str;

    /// Prefix of the store that holds the backend servers.
    const SERVERS_PREFIX: &'static str;

    /// Both of them.
    const PREFIXES: [&'static str; 2] = [Self::CONFIG_PREFIX, Self::SERVERS_PREFIX];

    /// Path at which the platform asks whether a gateway is ready.
    const READY_PATH: &'static str;

    /// What a key of the store stands for.
    fn parse_key(key: &str) -> Key<'_>;

    /// Reads a record of the store.
    ///
    /// # Errors
    ///
    /// [`Error::Record`].
    fn record(key: &str, value: &[u8]) -> Result<Record, Error>;

    /// Reads the head of a client's request.
    ///
    /// # Errors
    ///
    /// [`Error::Header`].
    fn request(head: &http::request::Parts) -> Result<Request, Error>;

    /// Headers of the request towards a backend server.
    fn forward(head: &http::request::Parts, forward: &Forward) -> http::HeaderMap;

    /// Reads the head of an answer to the request with that id.
    fn answer(head: &http::response::Parts, id: &str) -> Answer;

    /// Reads the head of an answer to a health check of the backend server with
    /// that id.
    fn health(head: &http::response::Parts, instance: &str) -> Health;

    /// Headers of an answer of a backend server towards the client.
    fn relay(head: &http::response::Parts) -> http::HeaderMap;

    /// Headers of an answer of loftcove's own, with when to come back.
    fn own_answer(id: Option<&str>, retry_after: Option<Duration>) -> http::HeaderMap;
}
