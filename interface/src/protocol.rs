//! The platform's requests, responses and store records, in loftcove's terms.
//!
//! A *run* of a backend server is one start of it to its end. The platform calls the id of a run
//! an instance.

use std::sync::Arc;
use std::time::Duration;

use loftcove_decision::routing::{notice, rate, server};
use loftcove_decision::{fleet, route};

/// The head of a client's request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// Id of this attempt of the client; the response must repeat it.
    pub id: Arc<str>,
    /// Host name that the request is for, without a port.
    pub host: Arc<str>,
    /// API key that identifies the team.
    pub key: Option<Arc<str>>,
    /// Time that the client waits for the response, from now.
    pub timeout: Option<Duration>,
    /// Number of tokens in the prompt, and maximum number of tokens in the response.
    pub tokens: Option<(u32, u32)>,
    /// The client's estimate of the number of tokens in the response.
    pub length_hint: Option<u32>,
    /// Ids of the parts of the prompt that other requests may share, in order.
    pub parts: Vec<Arc<str>>,
}

/// The data that loftcove adds to a request that it forwards to a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Forward {
    /// Run of the backend server that the request is for; another run rejects it.
    pub instance: Arc<str>,
    /// Team that sent the request.
    pub team: Option<Arc<str>>,
    /// Time that is left for the response.
    pub left: Option<Duration>,
    /// Priority among the requests that wait at the backend server; 0 is the most urgent.
    pub priority: Option<u8>,
    /// Id of the event after which a stream resumes.
    pub resume_after: Option<Arc<str>>,
}

/// The classification of a backend server's response to a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The response is the result of the request.
    Answered,
    /// The request did not run on the backend server and will not run there.
    NotRun(NotRun),
    /// The response cannot be used, and the request may have run.
    Unusable(Unusable),
}

/// The reason why a response cannot be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Unusable {
    /// The response repeats the id of another request.
    #[error("answer of another request")]
    OtherRequest,
    /// The content of the response is encoded, and the client may not be able to decode it.
    #[error("answer with a content-encoding")]
    Encoded,
}

/// The reason why a backend server did not run a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotRun {
    /// The backend server has no free slot, or cannot serve at present.
    Unavailable,
    /// The backend server is a rank of a broken group, of which no rank can serve.
    GroupDown,
    /// The response is from another run than the one that the request was sent to.
    OtherInstance,
    /// The request exceeds the backend server's rate limit.
    Throttled,
    /// The backend server rejected the request as malformed.
    Rejected,
}

/// The head of a backend server's response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Answer {
    /// Classification of the response.
    pub verdict: Verdict,
    /// Load of the backend server, if the response reports it.
    pub load: Option<server::Load>,
    /// Time for which the backend server keeps an idle connection open.
    pub keep_alive: Option<Duration>,
    /// Whether the backend server closes the connection after this response.
    pub close: bool,
    /// Announcements of the run that the request was sent to: that it rests or leaves.
    pub notice: notice::Notice,
    /// Report on the backend server's rate limit.
    pub rate: rate::Notice,
}

/// The result of a health check of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Health {
    /// The backend server serves and is not leaving.
    Serving,
    /// The backend server is leaving.
    Leaving,
    /// Neither is known: the backend server fails or is full, or another run responded.
    Unknown,
}

/// The reason why a record or a request cannot be parsed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// A record of the store is malformed.
    #[error("malformed record {key}: {reason}")]
    Record {
        /// Key of the record.
        key: String,
        /// The fault in the record.
        reason: String,
    },
    /// A header of a request is missing or malformed.
    #[error("header {0} is missing or not well formed")]
    Header(&'static str),
}

/// The text because of which a request cannot be sent to a backend server: it cannot be written as the
/// value of a header, or would be read there as another text.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Unsendable {
    /// Id of the backend server's run.
    #[error("id of the backend server cannot be sent in a header")]
    Instance,
    /// Name of the team.
    #[error("name of the team cannot be sent in a header")]
    Team,
    /// Id of the event after which a stream resumes.
    #[error("id of the last event cannot be sent in a header")]
    Event,
}

/// The value of a key of the store.
#[derive(Debug, Clone, PartialEq)]
pub enum Record {
    /// The operators' configuration.
    Config(Box<route::Config>),
    /// The entry of a backend server.
    Server(fleet::Server),
    /// A value that loftcove does not use.
    Other,
}

/// The meaning of a key of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Key<'a> {
    /// The operators' configuration.
    Config,
    /// The entry of the backend server with this id.
    Server(&'a str),
    /// The mark that drains this availability zone. While the key exists, with any value, the
    /// zone's backend servers get no requests.
    DrainedZone(&'a str),
    /// Any other key.
    Other,
}

/// The translation between the platform's messages and loftcove's types. All functions are pure.
pub trait Protocol: Send + Sync + 'static {
    /// Prefix of the keys that hold the configuration.
    const CONFIG_PREFIX: &'static str;

    /// Prefix of the keys that hold the entries of backend servers.
    const SERVERS_PREFIX: &'static str;

    /// Both prefixes.
    const PREFIXES: [&'static str; 2] = [Self::CONFIG_PREFIX, Self::SERVERS_PREFIX];

    /// Path of the request by which the platform checks whether a gateway is ready.
    const READY_PATH: &'static str;

    /// Returns the meaning of a key of the store.
    fn parse_key(key: &str) -> Key<'_>;

    /// Parses a record of the store.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Record`] if the record is malformed.
    fn record(key: &str, value: &[u8]) -> Result<Record, Error>;

    /// Parses the head of a client's request.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Header`] if a required header is missing or malformed.
    fn request(head: &http::request::Parts) -> Result<Request, Error>;

    /// Returns whether backend servers can be sent this text in a header and read the same text.
    fn can_send(text: &str) -> bool;

    /// Returns the headers of a request to a backend server.
    ///
    /// # Errors
    ///
    /// Returns [`Unsendable`] if a text of `forward` cannot be sent. The request must not be sent
    /// without it.
    fn forward(
        head: &http::request::Parts,
        forward: &Forward,
    ) -> Result<http::HeaderMap, Unsendable>;

    /// Parses the head of a response to the request `id`.
    fn answer(head: &http::response::Parts, id: &str) -> Answer;

    /// Parses the head of a response to a health check of the run `instance`.
    fn health(head: &http::response::Parts, instance: &str) -> Health;

    /// Returns the headers of a backend server's response that is relayed to the client.
    fn relay(head: &http::response::Parts) -> http::HeaderMap;

    /// Returns the headers of a response that loftcove itself makes. `retry_after` is the time
    /// after which the client may retry.
    fn own_answer(id: Option<&str>, retry_after: Option<Duration>) -> http::HeaderMap;
}
