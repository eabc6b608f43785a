//! Clients that send requests over kept connections, and write down what they saw.

use std::fmt;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use loftcove_tests::client::{self, Client};
use loftcove_tests::request::{Head, Request};
use rand::Rng as _;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng as _;

/// Time for which a client waits for an answer, and what it tells the gateway.
pub const DEADLINE: Duration = Duration::from_millis(3_000);
/// Longest time that a client waits before it takes the gateway to be dead.
const GIVE_UP: Duration = Duration::from_secs(20);

/// Of so many clients one ignores Retry-After, as some callers do.
const HASTY: u32 = 4;

/// Pause of a client whose key its gateway does not know yet.
const UNKNOWN_KEY_PAUSE: Duration = Duration::from_millis(200);

/// What callers keep to.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Policy {
    /// Most of them wait for Retry-After, and after a 401.
    #[default]
    Patient,
    /// They ask again at once, whatever they were told.
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

/// Policy of callers that there are not.
#[derive(Debug, thiserror::Error)]
#[error("callers are patient or immediate, not {0}")]
pub struct UnknownPolicy(String);

/// Kind of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// May run once.
    Receipt,
    /// May run again.
    Alert,
    /// A stream with so many events.
    Draft(u64),
}

/// How a request ended, as its client saw it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum End {
    /// No connection came up: nothing was sent.
    NoConnection,
    /// The connection ended without a head.
    Closed,
    /// Nothing came within [`GIVE_UP`].
    Silent,
    /// A head, and a body as far as it came.
    Answer {
        /// Its head.
        head: Head,
        /// Body, as far as it came.
        body: String,
        /// Whether the body ended as it must.
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
    /// Its id.
    pub id: String,
    /// Its kind.
    pub kind: Kind,
    /// Gateway that it was sent to.
    pub gateway: u8,
    /// Number of the configuration whose key it bore.
    pub key: u64,
    /// When it was sent, and when it ended.
    pub time: (Instant, Instant),
    /// How it ended.
    pub end: End,
}

impl Record {
    /// Whether it was refused as not run.
    pub fn is_rejected(&self) -> bool {
        matches!(&self.end, End::Answer { head, .. } if matches!(head.status, 429 | 503))
    }

    /// How long its caller waits before the next request, if it heeds Retry-After.
    fn pause(&self) -> Duration {
        match &self.end {
            End::Answer { head, .. } if head.status == 401 => UNKNOWN_KEY_PAUSE,
            End::Answer { head, .. } => head.retry_after.unwrap_or_default().min(DEADLINE / 3),
            _ => Duration::ZERO,
        }
    }
}

/// What all clients share.
#[derive(Debug, Default)]
pub struct Shared {
    /// Number of the newest configuration.
    pub newest: AtomicU64,
    /// Whether they are to stop.
    pub stop: AtomicBool,
    /// What they have seen.
    pub records: Mutex<Vec<Record>>,
}

/// Key of the team in the configuration with that number.
pub fn key(number: u64) -> String {
    format!("key-{number}")
}

/// Sends requests until it is told to stop.
pub async fn run(
    shared: Arc<Shared>,
    gateways: Vec<std::net::SocketAddr>,
    policy: Policy,
    seed: u64,
    number: u32,
) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ (u64::from(number) << 32));
    let hasty = policy == Policy::Immediate || number.is_multiple_of(HASTY);
    let mut kept: Option<(u8, Client)> = None;
    while !shared.stop.load(Ordering::Relaxed) {
        let (gateway, client) = match kept.take() {
            Some((gateway, client)) if rng.random_bool(0.9) => (gateway, Some(client)),
            _ => {
                let gateway = rng.random_range(0..gateways.len());
                (gateway as u8, Client::connect(gateways[gateway]).await)
            }
        };
        let (record, client) = one(&shared, &mut rng, gateway, client).await;
        let ended = !matches!(record.end, End::Answer { whole: true, .. });
        kept = client.filter(|_| !ended).map(|client| (gateway, client));
        if record.end == End::NoConnection {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        if !hasty {
            tokio::time::sleep(record.pause()).await;
        }
        shared.records.lock().expect("no holder of the records panics").push(record);
    }
}

/// Sends one request.
async fn one(
    shared: &Shared,
    rng: &mut ChaCha8Rng,
    gateway: u8,
    client: Option<Client>,
) -> (Record, Option<Client>) {
    let newest = shared.newest.load(Ordering::Relaxed);
    // Now and then with the key of an earlier configuration.
    let back = if rng.random_ratio(1, 10) { rng.random_range(0..3) } else { 0 };
    let number = newest.saturating_sub(back).max(1);
    let (kind, request) = draw(rng);
    let request = request.key(&key(number));
    let sent = Instant::now();
    let (end, client) = match client {
        None => (End::NoConnection, None),
        Some(mut client) => {
            let ended = tokio::time::timeout(GIVE_UP, ask(&mut client, &request)).await;
            (ended.unwrap_or(End::Silent), Some(client))
        }
    };
    let time = (sent, Instant::now());
    (Record { id: request.id, kind, gateway, key: number, time, end }, client)
}

async fn ask(client: &mut Client, request: &Request) -> End {
    let Some(response) = client.send(request).await else { return End::Closed };
    let head = Head::of(&response);
    let (body, whole) = client::read(response).await;
    End::Answer { head, body, whole }
}

/// Body of the request under which servers end, of that caller.
pub fn poison_body(caller: u8) -> String {
    format!("poison {caller}")
}

/// Asks a gateway once for what ends the server that runs it.
pub async fn poison(gateway: std::net::SocketAddr, caller: u8, rank: bool, key: String) {
    let request = if rank {
        Request::new("/draft/poison").with("x-standin-events", "200")
    } else {
        Request::new("/alert/poison").with("x-standin-delay-ms", "1000")
    };
    let request = request.with("x-standin-end-ms", "40").body(&poison_body(caller));
    let request = request.key(&key).deadline(DEADLINE);
    // What the caller sees does not matter: servers tell what reached them.
    if let Some(mut client) = Client::connect(gateway).await {
        tokio::time::timeout(GIVE_UP, ask(&mut client, &request)).await.ok();
    }
}

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
    let request = request.deadline(DEADLINE);
    // What backend servers do wrong.
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
