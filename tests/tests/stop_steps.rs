//! A planned stop against requests that come at any of its steps.
//!
//! Seen once, in a soak: a connection ended without an answer though its request had reached
//! a backend server. The steps of a stop (the platform has noticed, the last request is taken,
//! the grace ends) are met here by requests of every kind and length, on kept connections and
//! on new ones, at drawn times; every stop is begun at another moment of theirs.

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

/// Callers of each gateway.
const CALLERS: u64 = 12;
/// Time for which they ask: a second before the first stop, and until the last one has ended.
const TIME: Duration = Duration::from_secs(12);
/// Time between the stops of two gateways, which is no multiple of a step's.
const APART: Duration = Duration::from_millis(137);
/// Longest time that a request takes at its server: a little less than its deadline.
const LONGEST_MS: u64 = 2_800;
/// Longest pause between two requests of a caller.
const PAUSE_MS: u64 = 40;

/// What a caller saw of a request.
struct Seen {
    id: String,
    /// Status, or none if the connection ended without an answer.
    status: Option<u16>,
    /// Time from the begin of all until it was sent.
    at: Duration,
}

/// A request of a drawn kind and length; half of them are short.
fn draw(rng: &mut ChaCha8Rng) -> Request {
    let longest = if rng.random_bool(0.5) { 60 } else { LONGEST_MS };
    let ms = rng.random_range(1..longest);
    match rng.random_range(0..3) {
        0 => Request::new("/receipt/").with("x-standin-delay-ms", &ms.to_string()),
        1 => Request::new("/alert/").with("x-standin-delay-ms", &ms.to_string()),
        _ => Request::new("/draft/").with("x-standin-events", &(1 + ms / 10).to_string()),
    }
}

/// Asks one gateway again and again, mostly over the connection that it has.
async fn ask(address: SocketAddr, begin: Instant, seed: u64) -> Vec<Seen> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut kept: Option<Client> = None;
    let mut all = Vec::new();
    while begin.elapsed() < TIME {
        tokio::time::sleep(Duration::from_millis(rng.random_range(0..PAUSE_MS))).await;
        let connected = match kept.take().filter(|_| rng.random_bool(0.8)) {
            Some(kept) => Some(kept),
            None => Client::connect(address).await,
        };
        let Some(mut client) = connected else { continue };
        let (request, at) = (draw(&mut rng), begin.elapsed());
        let response = client.send(&request).await;
        let status = response.as_ref().map(|response| response.status().as_u16());
        if let Some(response) = response
            && client::read(response).await.1
        {
            kept = Some(client);
        }
        all.push(Seen { id: request.id, status, at });
    }
    all
}

/// Fails if a request that reached a server has no answer, or one that says that it did not run.
fn check(arrivals: &[serde_json::Value], seen: &[Seen]) {
    let arrived = |id: &str| arrivals.iter().any(|it| it["headers"]["x-attempt-id"] == id);
    for Seen { id, status, at } in seen {
        let refused = matches!(status, None | Some(503));
        assert!(!(refused && arrived(id)), "{id}, sent {at:?} from the begin: {status:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stop_cuts_no_request_off_whenever_it_comes() {
    let mut system = System::start(PLAN).await;
    let begin = Instant::now();
    let callers: Vec<_> = (0..u64::from(PLAN.gateways) * CALLERS)
        .map(|caller| {
            let gateway = (caller % u64::from(PLAN.gateways)) as u8;
            tokio::spawn(ask(system.client_address(gateway), begin, caller))
        })
        .collect();
    tokio::time::sleep(Duration::from_secs(1)).await;
    for gateway in &system.gateways {
        gateway.signal(libc::SIGTERM);
        tokio::time::sleep(APART).await;
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

/// Time after the signal at which an idle gateway ends at the earliest.
const IDLE_END: Duration = Duration::from_millis(2_300);
/// Time between the bursts of two gateways: together they cover more than the time between two
/// looks whether a gateway is idle.
const STEP: Duration = Duration::from_millis(12);
/// Requests of a burst, each on a connection of its own.
const BURST: usize = 12;

/// Seen: a gateway had found itself idle and closed, and took a new connection 50 ms later,
/// half a millisecond before its process ended.
#[tokio::test(flavor = "multi_thread")]
async fn a_stop_cuts_no_request_off_that_comes_as_it_ends() {
    let mut system = System::start(PLAN).await;
    system.gateways.iter().for_each(|gateway| gateway.signal(libc::SIGTERM));
    let begin = Instant::now();
    let ask = |gateway: u8, at: Duration| {
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
    let asks = (0..PLAN.gateways).flat_map(|gateway| {
        let at = IDLE_END + STEP * u32::from(gateway);
        (0..BURST).map(move |number| (gateway, at + Duration::from_micros(500) * number as u32))
    });
    let asks: Vec<_> = asks.map(|(gateway, at)| tokio::spawn(ask(gateway, at))).collect();
    let seen = future::join_all(asks).await.into_iter().filter_map(Result::unwrap);
    check(&system.all_arrivals().await, &seen.collect::<Vec<_>>());
    for gateway in &mut system.gateways {
        assert!(gateway.wait().await);
    }
}
