//! A planned stop of a gateway cuts off nothing that it has taken.
//!
//! Seen: a request that was passed on was cut off as its gateway ended. Cause: it
//! was taken between the look that nothing is in flight and the end of the
//! process.

#![allow(clippy::unwrap_used, reason = "a test that fails may panic")]

use std::time::Duration;

use loftcove_tests::client;
use loftcove_tests::request::Request;
use loftcove_tests::system::{Plan, System};
use loftcove_tests::until;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};

const PLAN: Plan =
    Plan { gateways: 2, ranks: 4, groups: 1, plain: 2, sidecars: false, proxied: false };

/// Longest time that a gateway takes to stop.
const GRACE: Duration = Duration::from_secs(8);
/// Time between two requests: a look falls between them, and the next one comes
/// before the process has ended.
const PAUSE: Duration = Duration::from_millis(25);

#[tokio::test(flavor = "multi_thread")]
async fn a_stop_cuts_nothing_off_that_comes_as_it_ends() {
    let mut system = System::start(PLAN).await;
    system.gateways[0].signal(libc::SIGTERM);
    let began = std::time::Instant::now();
    let mut served = 0;
    while began.elapsed() < GRACE {
        let request = Request::new("/alert/").with("x-standin-delay-ms", "100");
        let answer = system.request(0, &request).await;
        match answer.status {
            200 => served += 1,
            503 => {}
            _ => {
                let reached = system.arrivals(&request.id).await.len();
                assert_eq!(reached, 0, "cut off {:?} after the signal", began.elapsed());
            }
        }
        tokio::time::sleep(PAUSE).await;
    }
    assert!(served > 10, "{served} served while it stopped");
    assert!(system.gateways[0].wait().await);
}

/// Events of an answer of some 200 KB: it fits no window, and is held whole.
const EVENTS: &str = "6000";
/// Time after the signal at which the answer is asked for: the gateway still serves.
const ASKED: Duration = Duration::from_millis(1_800);
/// Time after which its client reads on: the gateway has found itself idle.
const READ_ON: Duration = Duration::from_millis(1_500);

/// Seen: the end of an answer was cut off as its gateway stopped. Cause: a request
/// counted as done once its answer was handed to the connection, and what was not
/// yet written was lost with the process.
#[tokio::test(flavor = "multi_thread")]
async fn a_stop_writes_answers_out_to_clients_behind_a_small_window() {
    let mut system = System::start(PLAN).await;
    let mut stream = client::connect_with_small_window(system.client_address(0)).await;
    system.gateways[0].signal(libc::SIGTERM);
    tokio::time::sleep(ASKED).await;
    let request = Request::new("/alert/").with("x-standin-events", EVENTS);
    stream.write_all(request.text().as_bytes()).await.unwrap();
    until("it was passed on", || async { system.arrivals(&request.id).await.len() == 1 }).await;
    tokio::time::sleep(READ_ON).await;
    let mut answer = Vec::new();
    // A reset is an answer that is not whole, as an early end is.
    stream.read_to_end(&mut answer).await.ok();
    let answer = String::from_utf8(answer).unwrap();
    assert!(answer.starts_with("HTTP/1.1 200 "), "{}", &answer[..answer.len().min(80)]);
    let last = format!("data: piece {EVENTS}");
    assert!(answer.contains(&last), "cut off after {} bytes", answer.len());
    assert!(system.gateways[0].wait().await);
}

/// Sends a part of a request while its gateway serves, and the rest as it closes;
/// returns what came back.
async fn ask_in_two_parts(system: &System, gateway: u8, text: &str, at: usize) -> String {
    let address = system.client_address(gateway);
    let mut stream = tokio::net::TcpStream::connect(address).await.unwrap();
    tokio::time::sleep(ASKED).await;
    stream.write_all(&text.as_bytes()[..at]).await.unwrap();
    tokio::time::sleep(READ_ON).await;
    let mut answer = String::new();
    // Where the gateway has closed, there is no answer.
    stream.write_all(&text.as_bytes()[at..]).await.ok();
    stream.read_to_string(&mut answer).await.ok();
    answer
}

/// The states in which a request may be as its gateway closes: nothing of it read,
/// a part of its head, and, at a gateway that waits for it, a part of its body.
#[tokio::test(flavor = "multi_thread")]
async fn a_stop_answers_what_it_has_begun_to_read() {
    let mut system = System::start(PLAN).await;
    system.gateways[0].signal(libc::SIGTERM);
    system.gateways[1].signal(libc::SIGTERM);
    let requests = [(); 3].map(|()| Request::new("/alert/"));
    let texts = requests.each_ref().map(Request::text);
    let (unread, head, body) = tokio::join!(
        ask_in_two_parts(&system, 0, &texts[0], 0),
        ask_in_two_parts(&system, 0, &texts[1], texts[1].len() / 2),
        ask_in_two_parts(&system, 1, &texts[2], texts[2].len() - 2),
    );
    assert_eq!(unread, "");
    assert!(head.starts_with("HTTP/1.1 503 "), "{head}");
    assert!(body.starts_with("HTTP/1.1 200 "), "{body}");
    for (request, reached) in requests.iter().zip([0, 0, 1]) {
        assert_eq!(system.arrivals(&request.id).await.len(), reached);
    }
    assert!(system.gateways[0].wait().await && system.gateways[1].wait().await);
}
