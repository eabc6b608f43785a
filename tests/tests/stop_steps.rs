//! A planned stop cuts no request off, at whichever of its steps the request arrives.
//!
//! Guards against a fault that a soak run showed once: a connection ended without an answer
//! although its request had reached a backend server. The steps of a stop are that the platform
//! detects it, that the gateway accepts the last request, and that the grace time ends. Requests of
//! all kinds and lengths arrive at random times, on open and on new connections, and each gateway
//! is stopped at another time.

#![allow(clippy::unwrap_used, reason = "a test that fails may panic")]

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use futures_util::future;
use loftcove_tests::client::{self, Client};
use loftcove_tests::request::Request;
use loftcove_tests::system::{Plan, System};
use rand::Rng as _;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng as _;

const PLAN: Plan =
    Plan { gateways: 6, ranks: 4, groups: 1, plain: 3, sidecars: false, proxied: false };

/// Number of callers of each gateway.
const CALLERS: u64 = 12;
/// Time for which callers send requests, from a second before the first stop until the last stop
/// has ended.
const LOAD_TIME: Duration = Duration::from_secs(12);
/// Time between the stops of two gateways. It is no multiple of the duration of a step.
const STOP_INTERVAL: Duration = Duration::from_millis(137);
/// Maximum duration of a request at its server, which is slightly less than its deadline.
const LONGEST_MS: u64 = 2_800;
/// Maximum pause between two requests of a caller.
const PAUSE_MS: u64 = 40;

/// Result of a request at its caller.
struct Seen {
    id: String,
    /// HTTP status, or `None` if the connection ended without an answer.
    status: Option<u16>,
    /// Time from the begin of the load until the request was sent.
    at: Duration,
}

/// Returns a request of a random kind and duration. Half of all requests are short.
fn random_request(rng: &mut ChaCha8Rng) -> Request {
    let longest = if rng.random_bool(0.5) { 60 } else { LONGEST_MS };
    let ms = rng.random_range(1..longest);
    match rng.random_range(0..3) {
        0 => Request::new("/receipt/").with("x-standin-delay-ms", &ms.to_string()),
        1 => Request::new("/alert/").with("x-standin-delay-ms", &ms.to_string()),
        _ => Request::new("/draft/").with("x-standin-events", &(1 + ms / 10).to_string()),
    }
}

/// Sends requests to one gateway, mostly over an open connection.
async fn send_all(address: SocketAddr, begin: Instant, seed: u64) -> Vec<Seen> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut open: Option<Client> = None;
    let mut all = Vec::new();
    while begin.elapsed() < LOAD_TIME {
        tokio::time::sleep(Duration::from_millis(rng.random_range(0..PAUSE_MS))).await;
        let connected = match open.take().filter(|_| rng.random_bool(0.8)) {
            Some(open) => Some(open),
            None => Client::connect(address).await,
        };
        let Some(mut client) = connected else { continue };
        let (request, at) = (random_request(&mut rng), begin.elapsed());
        let response = client.send(&request).await;
        let status = response.as_ref().map(|response| response.status().as_u16());
        if let Some(response) = response
            && client::read(response).await.1
        {
            open = Some(client);
        }
        all.push(Seen { id: request.id, status, at });
    }
    all
}

/// Fails if a request that reached a server has no answer or one that reports that it did not run.
fn check(arrivals: &[serde_json::Value], seen: &[Seen]) {
    let arrived = |id: &str| arrivals.iter().any(|it| it["headers"]["x-attempt-id"] == id);
    for Seen { id, status, at } in seen {
        let refused = matches!(status, None | Some(503));
        assert!(!(refused && arrived(id)), "{id}, sent {at:?} from the begin: {status:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn cuts_no_request_off_at_any_step_of_a_stop() {
    let mut system = System::start(PLAN).await;
    let begin = Instant::now();
    let callers: Vec<_> = (0..u64::from(PLAN.gateways) * CALLERS)
        .map(|caller| {
            let gateway = (caller % u64::from(PLAN.gateways)) as u8;
            tokio::spawn(send_all(system.client_address(gateway), begin, caller))
        })
        .collect();
    tokio::time::sleep(Duration::from_secs(1)).await;
    for gateway in &system.gateways {
        gateway.signal(libc::SIGTERM);
        tokio::time::sleep(STOP_INTERVAL).await;
    }
    let seen: Vec<Seen> =
        future::join_all(callers).await.into_iter().flat_map(Result::unwrap).collect();
    let answered = seen.iter().filter(|seen| seen.status == Some(200)).count();
    assert!(answered > 500, "{answered} answered");
    check(&system.all_arrivals().await, &seen);
    for gateway in &mut system.gateways {
        assert!(gateway.wait().await);
    }
}

/// Minimum time between the signal and the exit of an idle gateway.
const IDLE_END: Duration = Duration::from_millis(2_300);
/// Time between the bursts of two gateways. Together the bursts cover more than the interval at
/// which a gateway checks whether it is idle.
const BURST_INTERVAL: Duration = Duration::from_millis(12);
/// Number of requests of a burst, each on a new connection.
const BURST: usize = 12;

/// Guards against a gateway that had detected that it was idle, had closed, and accepted a new
/// connection 50 ms later, half a millisecond before its process exited.
#[tokio::test(flavor = "multi_thread")]
async fn cuts_no_request_off_that_arrives_as_the_process_exits() {
    let mut system = System::start(PLAN).await;
    system.gateways.iter().for_each(|gateway| gateway.signal(libc::SIGTERM));
    let begin = Instant::now();
    let send = |gateway: u8, at: Duration| {
        let address = system.client_address(gateway);
        async move {
            tokio::time::sleep_until((begin + at).into()).await;
            let mut client = Client::connect(address).await?;
            let request = Request::new("/alert/").with("x-standin-delay-ms", "150");
            let response = client.send(&request).await;
            let status = response.map(|response| response.status().as_u16());
            Some(Seen { id: request.id, status, at })
        }
    };
    let requests = (0..PLAN.gateways).flat_map(|gateway| {
        let at = IDLE_END + BURST_INTERVAL * u32::from(gateway);
        (0..BURST).map(move |number| (gateway, at + Duration::from_micros(500) * number as u32))
    });
    let requests: Vec<_> = requests.map(|(gateway, at)| tokio::spawn(send(gateway, at))).collect();
    let seen = future::join_all(requests).await.into_iter().filter_map(Result::unwrap);
    check(&system.all_arrivals().await, &seen.collect::<Vec<_>>());
    for gateway in &mut system.gateways {
        assert!(gateway.wait().await);
    }
}
