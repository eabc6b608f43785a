//! Clients that send requests over persistent connections and record the results.

use std::fmt;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use loftcove_standins::{flood, raw};
use loftcove_tests::client::{self, Client};
use loftcove_tests::request::{Head, Request};
use rand::Rng as _;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng as _;

/// Deadline of each request, which the client sends to the gateway.
pub const DEADLINE: Duration = Duration::from_millis(3_000);
/// Time without an answer after which a client gives up on a connection.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);

/// One of this many clients ignores Retry-After, as some callers do.
const IMMEDIATE_INTERVAL: u32 = 4;

/// Delay of a client after its gateway rejected a key that is new to the gateway.
const UNKNOWN_KEY_PAUSE: Duration = Duration::from_millis(200);

/// Policy of callers for the delay before the next request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Policy {
    /// Most callers wait for Retry-After, and after a 401.
    #[default]
    Patient,
    /// All callers send the next request at once and ignore Retry-After.
    Immediate,
}

impl std::str::FromStr for Policy {
    type Err = UnknownPolicy;

    fn from_str(text: &str) -> Result<Policy, UnknownPolicy> {
        match text {
            "patient" => Ok(Policy::Patient),
            "immediate" => Ok(Policy::Immediate),
            _ => Err(UnknownPolicy(text.to_owned())),
        }
    }
}

impl fmt::Display for Policy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Policy::Patient => "patient",
            Policy::Immediate => "immediate",
        })
    }
}

/// The policy of callers does not exist.
#[derive(Debug, thiserror::Error)]
#[error("callers are patient or immediate, not {0}")]
pub struct UnknownPolicy(String);

/// Kind of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// A request that may run only once.
    Receipt,
    /// A request that may run again.
    Alert,
    /// A stream with this number of events.
    Draft(u64),
}

/// How a request ended, as its client saw it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum End {
    /// The connection could not be established: nothing was sent.
    NoConnection,
    /// The connection ended without a head.
    Closed,
    /// No answer arrived within [`ANSWER_TIMEOUT`].
    Silent,
    /// A head arrived, and at least a part of the body.
    Answer {
        /// Head of the answer.
        head: Head,
        /// Received part of the body.
        body: String,
        /// Whether the body is complete.
        whole: bool,
    },
}

impl fmt::Display for End {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            End::NoConnection => f.write_str("no-connection"),
            End::Closed => f.write_str("closed"),
            End::Silent => f.write_str("silent"),
            End::Answer { head, whole: true, .. } => write!(f, "{}", head.status),
            End::Answer { head, whole: false, .. } => write!(f, "{}-cut", head.status),
        }
    }
}

/// One request as its client saw it.
#[derive(Debug, Clone)]
pub struct Record {
    /// Id of the request.
    pub id: String,
    /// Kind of the request.
    pub kind: Kind,
    /// Gateway to which it was sent.
    pub gateway: u8,
    /// Number of the configuration whose key it had.
    pub key: u64,
    /// Times at which it was sent and at which it ended.
    pub time: (Instant, Instant),
    /// Whether only the end of the connection marked the end of its backend server's response.
    pub unframed: bool,
    /// Bytes that pad the events of its first attempt, and of all others.
    pub padding: (usize, usize),
    /// Whether the head of its first response is invalid.
    pub invalid_head: bool,
    /// How it ended.
    pub end: End,
}

impl Record {
    /// Returns whether it was rejected as not run.
    pub fn is_rejected(&self) -> bool {
        matches!(&self.end, End::Answer { head, .. } if matches!(head.status, 429 | 503))
    }

    /// Returns the delay before the next request of a caller that waits for Retry-After.
    fn pause(&self) -> Duration {
        match &self.end {
            End::Answer { head, .. } if head.status == 401 => UNKNOWN_KEY_PAUSE,
            End::Answer { head, .. } => head.retry_after.unwrap_or_default().min(DEADLINE / 3),
            _ => Duration::ZERO,
        }
    }
}

/// State that all clients share.
#[derive(Debug, Default)]
pub struct Shared {
    /// Number of the newest configuration.
    pub newest: AtomicU64,
    /// Number of faults under which servers end responses early.
    pub endings: AtomicU32,
    /// Whether the clients stop.
    pub stop: AtomicBool,
    /// Requests that have ended.
    pub records: Mutex<Vec<Record>>,
}

/// Returns the key of the team in the configuration with a number.
pub fn key(number: u64) -> String {
    format!("key-{number}")
}

/// Sends requests until [`Shared::stop`] is set.
pub async fn run(
    shared: Arc<Shared>,
    gateways: Vec<std::net::SocketAddr>,
    policy: Policy,
    seed: u64,
    number: u32,
) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ (u64::from(number) << 32));
    // Each has a generator of its own, so that older seeds still draw the same requests.
    let mut endings = ChaCha8Rng::seed_from_u64(!seed ^ (u64::from(number) << 32));
    let mut paddings = ChaCha8Rng::seed_from_u64(seed.rotate_left(13) ^ (u64::from(number) << 32));
    let mut heads = ChaCha8Rng::seed_from_u64(seed.rotate_left(29) ^ (u64::from(number) << 32));
    let immediate = policy == Policy::Immediate || number.is_multiple_of(IMMEDIATE_INTERVAL);
    let mut reusable: Option<(u8, Client)> = None;
    while !shared.stop.load(Ordering::Relaxed) {
        let (gateway, client) = match reusable.take() {
            Some((gateway, client)) if rng.random_bool(0.9) => (gateway, Some(client)),
            _ => {
                let gateway = rng.random_range(0..gateways.len());
                (gateway as u8, Client::connect(gateways[gateway]).await)
            }
        };
        let generators = (&mut rng, &mut endings, &mut paddings, &mut heads);
        let (record, client) = send_one(&shared, generators, gateway, client).await;
        let ended = !matches!(record.end, End::Answer { whole: true, .. });
        reusable = client.filter(|_| !ended).map(|client| (gateway, client));
        if record.end == End::NoConnection {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        if !immediate {
            tokio::time::sleep(record.pause()).await;
        }
        shared.records.lock().expect("no holder of the records panics").push(record);
    }
}

/// Generators of requests, of the ends of responses, of the padding of events, and of heads.
type Generators<'a> =
    (&'a mut ChaCha8Rng, &'a mut ChaCha8Rng, &'a mut ChaCha8Rng, &'a mut ChaCha8Rng);

/// Sends one request. Returns its record and the connection.
async fn send_one(
    shared: &Shared,
    (rng, endings, paddings, heads): Generators<'_>,
    gateway: u8,
    client: Option<Client>,
) -> (Record, Option<Client>) {
    let newest = shared.newest.load(Ordering::Relaxed);
    // One request in ten may have the key of an earlier configuration.
    let back = if rng.random_ratio(1, 10) { rng.random_range(0..3) } else { 0 };
    let number = newest.saturating_sub(back).max(1);
    let (kind, request) = draw(rng);
    let (request, unframed, padding, invalid_head) = match shared.endings.load(Ordering::Relaxed) {
        0 => (request, false, (0, 0), false),
        _ => {
            let (request, unframed) = draw_ending(endings, kind, request);
            let (request, padding) = draw_padding(paddings, request);
            let (request, invalid_head) = draw_head(heads, draw_flood(paddings, request));
            (request, unframed, padding, invalid_head)
        }
    };
    let request = request.key(&key(number));
    let sent = Instant::now();
    let (end, client) = match client {
        None => (End::NoConnection, None),
        Some(mut client) => {
            let ended = tokio::time::timeout(ANSWER_TIMEOUT, send(&mut client, &request)).await;
            (ended.unwrap_or(End::Silent), Some(client))
        }
    };
    let time = (sent, Instant::now());
    let id = request.id;
    let key = number;
    (Record { id, kind, gateway, key, time, unframed, padding, invalid_head, end }, client)
}

/// Sends a request and reads its answer.
async fn send(client: &mut Client, request: &Request) -> End {
    let Some(response) = client.send(request).await else { return End::Closed };
    let head = Head::of(&response);
    let (body, whole) = client::read(response).await;
    End::Answer { head, body, whole }
}

/// First part of the prompts of all requests that name any.
const SHARED_PART: &str = "aa";

/// Returns the body of a caller's request that ends servers.
pub fn poison_body(caller: u8) -> String {
    format!("poison {caller}")
}

/// Sends a gateway one request that ends the server on which it runs.
pub async fn poison(gateway: std::net::SocketAddr, caller: u8, rank: bool, key: String) {
    let request = poison_request(rank).with("x-standin-end-ms", "40").body(&poison_body(caller));
    send_poison(gateway, request.key(&key)).await;
}

/// Returns the part that ends servers of a caller's requests.
pub fn part(caller: u8) -> String {
    format!("bad{caller}")
}

/// Returns the body of a caller's request with a part that ends servers.
pub fn part_body((caller, number): (u8, u32)) -> String {
    format!("part {caller} {number}")
}

/// Sends a gateway a request with a part of a prompt that ends the server on which it runs. The
/// caller's other requests share the part, and no two are alike.
pub async fn poison_part(
    gateway: std::net::SocketAddr,
    (caller, number): (u8, u32),
    rank: bool,
    key: String,
) {
    let prefix = format!("{SHARED_PART}:800,{}:40,{caller:x}{number:x}:25", part(caller));
    let request =
        poison_request(rank).with("x-prompt-prefix", &prefix).body(&part_body((caller, number)));
    send_poison(gateway, request.key(&key)).await;
}

fn poison_request(rank: bool) -> Request {
    if rank {
        Request::new("/draft/poison").with("x-standin-events", "200")
    } else {
        Request::new("/alert/poison").with("x-standin-delay-ms", "1000")
    }
}

async fn send_poison(gateway: std::net::SocketAddr, request: Request) {
    let request = request.deadline(DEADLINE);
    // The result is ignored: the servers record the requests that reach them.
    if let Some(mut client) = Client::connect(gateway).await {
        tokio::time::timeout(ANSWER_TIMEOUT, send(&mut client, &request)).await.ok();
    }
}

/// Draws a request, with a fault of the backend server for some.
fn draw(rng: &mut ChaCha8Rng) -> (Kind, Request) {
    let (kind, request) = match rng.random_range(0..10) {
        0..4 => (Kind::Receipt, Request::new("/receipt/soak")),
        4..7 => (Kind::Alert, Request::new("/alert/soak")),
        _ => {
            let events = rng.random_range(1..80);
            let request = Request::new("/draft/soak").with("x-standin-events", &events.to_string());
            (Kind::Draft(events), request)
        }
    };
    // Sound requests share the first part with those of callers that end servers.
    let prefix = format!("{SHARED_PART}:800,c0:40,{}:25", request.id);
    let request = request.with("x-prompt-prefix", &prefix).deadline(DEADLINE);
    // Faults of the backend server.
    let request = match (rng.random_range(0..25), kind) {
        (0, Kind::Draft(events)) => {
            request.with("x-standin-break", &rng.random_range(1..=events).to_string())
        }
        (0, _) => request.with("x-standin-lose", "1"),
        (1, _) => request.with("x-standin-foreign", "1"),
        (2, Kind::Receipt | Kind::Alert) => request.with("x-standin-status", "500"),
        (3, Kind::Receipt | Kind::Alert) => {
            let delay: u64 = rng.random_range(1..2_000);
            request.with("x-standin-delay-ms", &delay.to_string())
        }
        _ => request,
    };
    (kind, request)
}

/// Draws the padding of the events of a stream. The first attempt and those that continue it differ
/// in length.
fn draw_padding(rng: &mut ChaCha8Rng, request: Request) -> (Request, (usize, usize)) {
    let (first, next) = (rng.random_range(0..60), rng.random_range(0..60));
    (request.with("x-standin-padding", &format!("{first},{next}")), (first, next))
}

/// Replaces some responses with bytes without end that are neither a head nor a piece of a body.
fn draw_flood(rng: &mut ChaCha8Rng, request: Request) -> Request {
    const INTERVAL: u32 = 20;
    let forms = [&flood::HEAD_FORMS[..], &flood::EMPTY_FORMS].concat();
    let form = forms[rng.random_range(0..forms.len())];
    let rate = ["fast", "slow"][rng.random_range(0..2)];
    if !rng.random_ratio(1, INTERVAL) {
        return request;
    }
    request.with("x-standin-flood", form).with("x-standin-flood-rate", rate)
}

/// Replaces the head of some first responses with an invalid one. Returns whether it did.
fn draw_head(rng: &mut ChaCha8Rng, request: Request) -> (Request, bool) {
    const INTERVAL: u32 = 10;
    let head = raw::INVALID_HEADS[rng.random_range(0..raw::INVALID_HEADS.len())];
    match rng.random_ratio(1, INTERVAL) {
        true => (request.with("x-standin-head", head), true),
        false => (request, false),
    }
}

/// Draws the framing of a response, and an early end for some. Returns whether the response has
/// neither a length nor chunks.
///
/// No end is drawn that is not distinguishable from that of a complete response.
fn draw_ending(rng: &mut ChaCha8Rng, kind: Kind, request: Request) -> (Request, bool) {
    const PLACES: [&str; 6] =
        ["before-head", "in-head", "before", "in-line", "after-line", "after"];
    const ENDS: [&str; 8] =
        ["mark", "mark", "close", "close", "close", "reset", "reset", "silence"];
    let framing = ["length", "chunked", "close", "http-1.0"][rng.random_range(0..4)];
    let unframed = matches!(framing, "close" | "http-1.0");
    let request = request.with("x-standin-framing", framing);
    let place = PLACES[rng.random_range(0..PLACES.len())];
    let end = ENDS[rng.random_range(0..ENDS.len())];
    let events = if let Kind::Draft(events) = kind { events } else { 1 };
    let number = rng.random_range(1..=events);
    if rng.random_bool(0.5) {
        return (request, unframed);
    }
    let inside = matches!(kind, Kind::Draft(_)) && matches!(place, "in-line" | "after-line");
    let headless = matches!(place, "before-head" | "in-head");
    let end = match end {
        "mark" | "close" if unframed && !inside && !headless => "reset",
        "mark" if framing == "chunked" && !inside => "close",
        end => end,
    };
    let request = request
        .with("x-standin-cut", place)
        .with("x-standin-break", &number.to_string())
        .with("x-standin-end", end);
    (request, unframed)
}
