//! Crowds of connections at the addresses for peers whose messages don't end. Each check is
//! independent of the machine's speed: the process lives, its memory with its sockets is bounded, and
//! metrics and ordinary calls are answered beside the crowd and after it.

#![allow(clippy::unwrap_used, reason = "a test that fails may panic")]

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::{StreamExt as _, stream};
use http_body_util::{BodyExt as _, StreamBody};
use hyper::body::Frame;
use hyper_util::rt::{TokioExecutor, TokioIo};
use loftcove_tests::caller::Caller;
use loftcove_tests::process::{self, Process};
use loftcove_tests::request::Request;
use loftcove_tests::system::{Plan, System};
use loftcove_tests::until;
use tokio::net::TcpStream;
use tokio::sync::Mutex;
use tokio::task::JoinSet;

const PLAN: Plan =
    Plan { gateways: 1, ranks: 2, groups: 1, plain: 2, sidecars: true, proxied: false };
/// Connections of a crowd. Their messages together exceed the memory of a process.
const CONNECTIONS: usize = 400;
/// Announced size of a message, in bytes.
const MESSAGE: usize = 2_000_000;
/// Size of the pieces of a message, in bytes.
const PIECE: usize = 16 * 1024;
/// Pause before a connection that was closed, or whose call was refused, is opened again.
const PAUSE: Duration = Duration::from_millis(50);
/// Connections that fit in a sidecar together. The memory is for fewer messages.
const FITTING: usize = 50;
/// Minimum time for which a crowd stays. Messages without progress are given up sooner.
const MIN_STAY: Duration = Duration::from_secs(10);
/// Memory that a sidecar and a gateway may use, in megabytes.
const SIDECAR_MB: u64 = 128;
const GATEWAY_MB: u64 = 260;
/// Memory that a process without a crowd holds at most for peers, in bytes.
const CALM: u64 = 1 << 20;
/// Time within which a process answers a question beside a crowd.
const ANSWER: Duration = Duration::from_secs(10);
/// Version of the configuration that a system starts with.
const FIRST_VERSION: u64 = 1;

/// Methods of a sidecar: one that answers at once, and one that carries out an order.
const INSPECT: &str = "/loftcove.v1.Rank/Inspect";
const CARRY: &str = "/loftcove.v1.Rank/Carry";

/// Held by each test, as crowds are heavy.
static TURN: Mutex<()> = Mutex::const_new(());

/// How the messages of a crowd stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stop {
    /// One byte before their end.
    Short,
    /// After their end. The requests do not end.
    Open,
}

/// What the connections of a crowd have done so far.
#[derive(Debug, Default)]
struct Counts {
    connected: AtomicU64,
    sent: AtomicU64,
    refused: AtomicU64,
}

/// Connections with a message each that does not end.
struct Crowd {
    counts: Arc<Counts>,
    /// Connections end when this is dropped.
    tasks: JoinSet<()>,
}

impl Crowd {
    /// Starts a crowd that connects again whenever a connection or a call ends.
    fn start(address: SocketAddr, method: &'static str, stop: Stop) -> Crowd {
        let counts = Arc::<Counts>::default();
        let mut tasks = JoinSet::new();
        for _ in 0..CONNECTIONS {
            let counts = counts.clone();
            tasks.spawn(async move {
                loop {
                    call(address, request(address, method, stop, &counts), &counts).await;
                    tokio::time::sleep(PAUSE).await;
                }
            });
        }
        Crowd { counts, tasks }
    }

    /// Starts a small crowd that calls once.
    fn start_once(address: SocketAddr, method: &'static str, stop: Stop) -> Crowd {
        let counts = Arc::<Counts>::default();
        let mut tasks = JoinSet::new();
        for _ in 0..FITTING {
            let counts = counts.clone();
            tasks.spawn(async move {
                call(address, request(address, method, stop, &counts), &counts).await;
            });
        }
        Crowd { counts, tasks }
    }

    async fn leave(mut self) {
        self.tasks.shutdown().await;
    }
}

type Body = StreamBody<stream::BoxStream<'static, Result<Frame<Bytes>, Infallible>>>;

/// Returns a request with these frames.
fn request_of(
    address: SocketAddr,
    method: &str,
    frames: impl futures_util::Stream<Item = Bytes> + Send + 'static,
) -> http::Request<Body> {
    http::Request::post(format!("http://{address}{method}"))
        .header("content-type", "application/grpc")
        .header("te", "trailers")
        .body(StreamBody::new(frames.map(|piece| Ok(Frame::data(piece))).boxed()))
        .unwrap()
}

/// Returns the prefix of a message.
fn prefix() -> Bytes {
    Bytes::from([&[0], &(MESSAGE as u32).to_be_bytes()[..]].concat())
}

/// Returns a request whose message, or whose end, never arrives. Adds what is sent to the counts.
fn request(
    address: SocketAddr,
    method: &str,
    stop: Stop,
    counts: &Arc<Counts>,
) -> http::Request<Body> {
    let sent = if stop == Stop::Short { MESSAGE - 1 } else { MESSAGE };
    let block = Bytes::from(vec![b'x'; PIECE]);
    let pieces = (0..sent).step_by(PIECE).map(move |at| block.slice(..PIECE.min(sent - at)));
    let counts = counts.clone();
    let pieces = std::iter::once(prefix()).chain(pieces).inspect(move |piece| {
        counts.sent.fetch_add(piece.len() as u64, Ordering::Relaxed);
    });
    request_of(address, method, stream::iter(pieces).chain(stream::pending()))
}

/// Returns a request with a whole message of one field that no method knows.
fn large_request(address: SocketAddr, method: &str) -> http::Request<Body> {
    /// Number of the field with its type, bytes, and a length that takes three bytes.
    const HEAD: usize = 4;
    let length = MESSAGE - HEAD;
    let part = |shift: usize| (length >> shift & 0x7f) as u8;
    let head = [15 << 3 | 2, part(0) | 0x80, part(7) | 0x80, part(14)];
    let field = [&head[..], &vec![b'x'; length]].concat();
    request_of(address, method, stream::iter([prefix(), Bytes::from(field)]))
}

/// Opens a connection and calls a method until the call or the connection ends. Returns the gRPC
/// status, if there is one.
async fn call(
    address: SocketAddr,
    request: http::Request<Body>,
    counts: &Counts,
) -> Option<String> {
    let stream = TcpStream::connect(address).await.ok()?;
    counts.connected.fetch_add(1, Ordering::Relaxed);
    let builder = hyper::client::conn::http2::Builder::new(TokioExecutor::new());
    let (mut sender, connection) = builder.handshake(TokioIo::new(stream)).await.ok()?;
    let answer = async {
        let response = sender.send_request(request).await.ok()?;
        let status = response.headers().get("grpc-status").cloned();
        counts.refused.fetch_add(u64::from(status.is_some()), Ordering::Relaxed);
        let body = response.into_body().collect().await.ok()?;
        let status =
            body.trailers().and_then(|trailers| trailers.get("grpc-status")).or(status.as_ref())?;
        Some(status.to_str().unwrap().to_owned())
    };
    // A connection or a call that is refused is an expected outcome.
    tokio::select! {
        _ = connection => None,
        status = answer => status,
    }
}

/// Returns the memory that a process holds for peers by its metrics, if they are answered in time.
async fn held(metrics: SocketAddr) -> Option<u64> {
    let metrics = Caller::new(metrics, "");
    let metrics = metrics.request("GET", "/metrics", &[], "");
    let metrics = tokio::time::timeout(ANSWER, metrics).await.ok()?.body;
    let value = |line: &str| line.strip_prefix("loftcove_memory_held_bytes ")?.parse().ok();
    metrics.lines().find_map(value)
}

/// Calls a method with an empty message on a new connection. Returns the gRPC status, or `None` if
/// there is no answer in time.
async fn call_empty(address: SocketAddr, method: &str) -> Option<String> {
    let caller = Caller::new(address, "").over_http2();
    let headers = [("content-type", "application/grpc")];
    let answer = caller.request("POST", method, &headers, "\0\0\0\0\0");
    let answer = tokio::time::timeout(ANSWER, answer).await.ok()?;
    let status = answer.trailers.get("grpc-status").or(answer.headers.get("grpc-status"))?;
    Some(status.to_str().unwrap().to_owned())
}

async fn answers(address: SocketAddr, method: &str) -> bool {
    call_empty(address, method).await.as_deref() == Some("0")
}

async fn serves(system: &System) -> bool {
    let request = Request::new("/alert/");
    let answer = tokio::time::timeout(ANSWER, system.request(0, &request)).await;
    answer.is_ok_and(|answer| answer.status == 200)
}

/// What is checked of one process.
struct Subject {
    name: &'static str,
    memory_mb: u64,
    peers: SocketAddr,
    metrics: SocketAddr,
}

impl Subject {
    /// Checks memory once. Returns the peak of the resident memory, and the bytes in sockets.
    fn check_memory(&self, process: &mut Process) -> (u64, u64) {
        assert!(!process.has_exited(), "{}", self.name);
        let (sockets, peak) = (process::socket_bytes(self.peers), process.usage().peak_memory);
        let sum = (peak + sockets) >> 20;
        let (peak_mb, sockets_mb) = (peak >> 20, sockets >> 20);
        let limit = self.memory_mb;
        assert!(sum <= limit, "{}: {peak_mb} + {sockets_mb} MB of {limit}", self.name);
        (peak, sockets)
    }
}

/// Figures of the time for which a crowd stayed.
#[derive(Debug, Default)]
struct Stay {
    peak: u64,
    sockets: u64,
    held: u64,
    slowest_metrics: Duration,
    slowest_call: Duration,
}

impl Stay {
    fn print(&self, subject: &Subject, counts: &Counts) {
        let count = |count: &AtomicU64| count.load(Ordering::Relaxed);
        eprintln!(
            "{}: peak {} MB, sockets {} MB of {} MB; held {} MB; {} connections, {} MB sent, {} \
             refused; slowest metrics {:?}, slowest call {:?}",
            subject.name,
            self.peak >> 20,
            self.sockets >> 20,
            subject.memory_mb,
            self.held >> 20,
            count(&counts.connected),
            count(&counts.sent) >> 20,
            count(&counts.refused),
            self.slowest_metrics,
            self.slowest_call,
        );
    }
}

/// Starts a system whose first sidecar has little memory.
async fn start_sidecar(name: &'static str) -> (System, Subject) {
    let mut system = System::start(PLAN).await;
    system.sidecars[0].kill().await;
    let settings = format!("{}[limits]\nmemory_mb = {SIDECAR_MB}\n", system.sidecar_settings(0));
    let file = system.folder.write("small.toml", &settings);
    system.sidecars[0] = Process::start("loftcoved", &["sidecar".to_owned(), file]);
    system.sidecars[0].log_output();
    let [peers, metrics] = system.sidecar_addresses(0);
    until("a call is answered", || answers(peers, INSPECT)).await;
    (system, Subject { name, memory_mb: SIDECAR_MB, peers, metrics })
}

/// Lets a crowd send its messages to the first sidecar.
async fn check_sidecar(name: &'static str, stop: Stop) {
    let _turn = TURN.lock().await;
    let (mut system, subject) = start_sidecar(name).await;
    let peers = subject.peers;
    let crowd = Crowd::start(peers, CARRY, stop);
    let (start, mut stay) = (Instant::now(), Stay::default());
    while !is_enough(&crowd, &subject, start) {
        check_round(&subject, &mut system.sidecars[0], &mut stay).await;
        let call = Instant::now();
        until("a call is answered", || answers(peers, INSPECT)).await;
        stay.slowest_call = stay.slowest_call.max(call.elapsed());
    }
    stay.print(&subject, &crowd.counts);
    crowd.leave().await;
    check_calm(&subject, &mut system.sidecars[0], &stay).await;
    assert!(answers(peers, INSPECT).await);
}

/// Lets a crowd send its messages to the gateway.
async fn check_gateway(name: &'static str, stop: Stop) {
    const METHOD: &str = "/loftcove.v1.Mirror/Tell";
    let _turn = TURN.lock().await;
    let mut system = System::start(PLAN).await;
    system.gateways[0].kill().await;
    let settings = format!("{}memory_mb = {GATEWAY_MB}\n", system.gateway_settings(0));
    let file = system.folder.write("small.toml", &settings);
    system.gateways[0] = Process::start("loftcoved", &["gateway".to_owned(), file]);
    system.gateways[0].log_output();
    system.wait_ready(0).await;
    let (peers, metrics) = (system.gateway_addresses(0)[2], system.metrics_address(0));
    let subject = Subject { name, memory_mb: GATEWAY_MB, peers, metrics };
    let crowd = Crowd::start(peers, METHOD, stop);
    let (start, mut stay) = (Instant::now(), Stay::default());
    let mut rounds = 0;
    while !is_enough(&crowd, &subject, start) {
        check_round(&subject, &mut system.gateways[0], &mut stay).await;
        let call = Instant::now();
        until("a call is answered", || answers(peers, METHOD)).await;
        stay.slowest_call = stay.slowest_call.max(call.elapsed());
        until("a new client is served", || serves(&system)).await;
        rounds += 1;
        system.set_limits(&[("max_body_bytes", 1_000_000 + rounds)]).await;
        let version = format!("configuration version={} ", FIRST_VERSION + rounds);
        let gateway = &system.gateways[0];
        until("the configuration arrives", || async {
            gateway.log().iter().any(|line| line.contains(&version))
        })
        .await;
    }
    stay.print(&subject, &crowd.counts);
    crowd.leave().await;
    check_calm(&subject, &mut system.gateways[0], &stay).await;
    assert!(serves(&system).await && answers(peers, METHOD).await);
}

/// Returns whether a crowd has stayed for long enough: its messages would have exceeded the memory.
fn is_enough(crowd: &Crowd, subject: &Subject, start: Instant) -> bool {
    let counts = &crowd.counts;
    start.elapsed() >= MIN_STAY
        && counts.connected.load(Ordering::Relaxed) >= CONNECTIONS as u64
        && counts.sent.load(Ordering::Relaxed) >= subject.memory_mb << 20
}

/// Checks memory and metrics beside a crowd.
async fn check_round(subject: &Subject, process: &mut Process, stay: &mut Stay) {
    for _ in 0..5 {
        let (peak, sockets) = subject.check_memory(process);
        stay.peak = stay.peak.max(peak);
        stay.sockets = stay.sockets.max(sockets);
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let start = Instant::now();
    let held = held(subject.metrics).await.expect("metrics are answered in time");
    stay.slowest_metrics = stay.slowest_metrics.max(start.elapsed());
    stay.held = stay.held.max(held);
}

/// Checks that a process has given back the memory of a crowd that has left.
async fn check_calm(subject: &Subject, process: &mut Process, stay: &Stay) {
    assert!(stay.held > CALM, "{}: {} bytes were held", subject.name, stay.held);
    until("the memory of the crowd is given back", || async {
        held(subject.metrics).await.is_some_and(|held| held < CALM)
    })
    .await;
    subject.check_memory(process);
}

// Guards against messages that exceed the memory of a sidecar together, because each one and each
// connection is bounded but not their sum.
#[tokio::test(flavor = "multi_thread")]
async fn unfinished_messages_do_not_exceed_the_memory_of_a_sidecar() {
    check_sidecar("sidecar, messages without their end", Stop::Short).await;
}

// Guards against complete messages whose requests do not end and which hold memory until they do.
#[tokio::test(flavor = "multi_thread")]
async fn unfinished_requests_do_not_exceed_the_memory_of_a_sidecar() {
    check_sidecar("sidecar, requests without their end", Stop::Open).await;
}

/// Lets stalled calls use up the memory for large messages of a sidecar. A large message of another
/// process must be read.
async fn check_large(name: &'static str, stop: Stop) {
    let _turn = TURN.lock().await;
    let (mut system, subject) = start_sidecar(name).await;
    let crowd = Crowd::start_once(subject.peers, CARRY, stop);
    until("the memory is used up", || async { crowd.counts.refused.load(Ordering::Relaxed) > 0 })
        .await;
    let start = Instant::now();
    let counts = Counts::default();
    until("a large message is answered", || async {
        let call = call(subject.peers, large_request(subject.peers, INSPECT), &counts);
        let status = tokio::time::timeout(ANSWER, call).await.ok().flatten();
        status.as_deref() == Some("0")
    })
    .await;
    eprintln!("{name}: a large message is answered after {:?}", start.elapsed());
    subject.check_memory(&mut system.sidecars[0]);
}

// Guards against messages without progress that keep the large messages of all others out for as
// long as their peers like.
#[tokio::test(flavor = "multi_thread")]
async fn a_large_message_is_read_beside_unfinished_messages() {
    check_large("large beside messages without their end", Stop::Short).await;
}

// Guards against the same by complete messages whose requests do not end.
#[tokio::test(flavor = "multi_thread")]
async fn a_large_message_is_read_beside_unfinished_requests() {
    check_large("large beside requests without their end", Stop::Open).await;
}

// Guards against the same at a gateway, which must also go on to serve clients.
#[tokio::test(flavor = "multi_thread")]
async fn unfinished_messages_do_not_exceed_the_memory_of_a_gateway() {
    check_gateway("gateway, messages without their end", Stop::Short).await;
}

// Guards against complete messages at a gateway whose requests do not end.
#[tokio::test(flavor = "multi_thread")]
async fn unfinished_requests_do_not_exceed_the_memory_of_a_gateway() {
    check_gateway("gateway, requests without their end", Stop::Open).await;
}
