//! A planned stop of a gateway cuts off no request that the gateway has accepted.
//!
//! Guards against a request that was passed on to a server and cut off as its gateway exited. The
//! gateway had accepted it after the check that nothing is in flight and before the exit of the
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

/// Maximum time that a gateway takes to stop.
const GRACE: Duration = Duration::from_secs(8);
/// Pause between two requests. The gateway checks for requests in flight during a pause, and the
/// next request arrives before the process has exited.
const PAUSE: Duration = Duration::from_millis(25);

#[tokio::test(flavor = "multi_thread")]
async fn cuts_no_request_off_that_arrives_as_the_gateway_exits() {
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

/// Number of events of an answer of about 200 KB. It exceeds any window, and the gateway buffers
/// all of it.
const EVENTS: &str = "6000";
/// Time between the signal and the request. The gateway still serves.
const REQUEST_DELAY: Duration = Duration::from_millis(1_800);
/// Time after which the client continues to read. The gateway has detected by then that it is
/// idle.
const READ_DELAY: Duration = Duration::from_millis(1_500);

/// Guards against an answer whose end was cut off as its gateway stopped. A request counted as
/// done once its answer was passed to the connection, and unwritten bytes were lost with the
/// process.
#[tokio::test(flavor = "multi_thread")]
async fn completes_answers_to_clients_with_a_small_window() {
    let mut system = System::start(PLAN).await;
    let mut stream = client::connect_with_small_window(system.client_address(0)).await;
    system.gateways[0].signal(libc::SIGTERM);
    tokio::time::sleep(REQUEST_DELAY).await;
    let request = Request::new("/alert/").with("x-standin-events", EVENTS);
    stream.write_all(request.text().as_bytes()).await.unwrap();
    until("the request was passed on", || async { system.arrivals(&request.id).await.len() == 1 })
        .await;
    tokio::time::sleep(READ_DELAY).await;
    let mut answer = Vec::new();
    // The assertions below detect a reset, which leaves the answer incomplete.
    stream.read_to_end(&mut answer).await.ok();
    let answer = String::from_utf8(answer).unwrap();
    assert!(answer.starts_with("HTTP/1.1 200 "), "{}", &answer[..answer.len().min(80)]);
    let last = format!("data: piece {EVENTS}");
    assert!(answer.contains(&last), "cut off after {} bytes", answer.len());
    assert!(system.gateways[0].wait().await);
}

/// Sends a part of a request while its gateway serves and the rest as it closes. Returns the
/// answer.
async fn send_in_two_parts(system: &System, gateway: u8, text: &str, at: usize) -> String {
    let address = system.client_address(gateway);
    let mut stream = tokio::net::TcpStream::connect(address).await.unwrap();
    tokio::time::sleep(REQUEST_DELAY).await;
    stream.write_all(&text.as_bytes()[..at]).await.unwrap();
    tokio::time::sleep(READ_DELAY).await;
    let mut answer = String::new();
    // Errors are ignored: if the gateway has closed the connection, there is no answer.
    stream.write_all(&text.as_bytes()[at..]).await.ok();
    stream.read_to_string(&mut answer).await.ok();
    answer
}

/// Covers the states of a request as its gateway closes: the gateway has read nothing, a part of
/// the head, or a part of the body, for which it waits.
#[tokio::test(flavor = "multi_thread")]
async fn answers_requests_that_it_has_begun_to_read() {
    let mut system = System::start(PLAN).await;
    system.gateways[0].signal(libc::SIGTERM);
    system.gateways[1].signal(libc::SIGTERM);
    let requests = [(); 3].map(|()| Request::new("/alert/"));
    let texts = requests.each_ref().map(Request::text);
    let (unread, head, body) = tokio::join!(
        send_in_two_parts(&system, 0, &texts[0], 0),
        send_in_two_parts(&system, 0, &texts[1], texts[1].len() / 2),
        send_in_two_parts(&system, 1, &texts[2], texts[2].len() - 2),
    );
    assert_eq!(unread, "");
    assert!(head.starts_with("HTTP/1.1 503 "), "{head}");
    assert!(body.starts_with("HTTP/1.1 200 "), "{body}");
    for (request, reached) in requests.iter().zip([0, 0, 1]) {
        assert_eq!(system.arrivals(&request.id).await.len(), reached);
    }
    assert!(system.gateways[0].wait().await && system.gateways[1].wait().await);
}

/// Grace of a gateway whose requests may outlast it, as its setting.
const SHORT_GRACE: &str = "grace_s = 5";
/// The same without the time for which the gateway still serves.
const SHORT_GRACE_END: Duration = Duration::from_millis(4_500);
/// Time after the signal at which the platform has removed the gateway.
const REMOVED: Duration = Duration::from_millis(2_400);

/// Status and `retry-after` of a response that was read as text, or an empty status if there is none.
fn head(answer: &str) -> (&str, Option<&str>) {
    let status = answer.split(' ').nth(1).unwrap_or_default();
    let field = |line: &'_ str| line.to_ascii_lowercase().starts_with("retry-after: ");
    let delay = answer.lines().find(|line| field(line));
    (status, delay.map(|line| &line["retry-after: ".len()..]))
}

/// A connection that has been used once.
async fn keep_connection(address: std::net::SocketAddr) -> tokio::net::TcpStream {
    let mut stream = tokio::net::TcpStream::connect(address).await.unwrap();
    let request = Request::new("/receipt/").method("HEAD");
    stream.write_all(request.text().as_bytes()).await.unwrap();
    let mut answer = Vec::new();
    while !answer.ends_with(b"\r\n\r\n") {
        answer.push(stream.read_u8().await.unwrap());
    }
    assert!(answer.starts_with(b"HTTP/1.1 200 "));
    stream
}

/// Sends the parts of a request at these times after `signal`, and reads to the end of the connection.
async fn send_at(
    mut stream: tokio::net::TcpStream,
    text: String,
    signal: tokio::time::Instant,
    parts: &[(u64, usize)],
) -> (String, Duration) {
    let mut begin = 0_usize;
    for (ms, length) in parts {
        tokio::time::sleep_until(signal + Duration::from_millis(*ms)).await;
        let end = text.len().min(begin.saturating_add(*length));
        // If the gateway has closed the connection, there is no answer.
        stream.write_all(&text.as_bytes()[begin..end]).await.ok();
        begin = end;
    }
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.ok();
    (answer, signal.elapsed())
}

/// Guards against requests that a stopping gateway takes from kept connections and passes on although
/// they may outlast it, and then cuts off: by when they are sent, and by when the last byte of their
/// body is.
#[tokio::test(flavor = "multi_thread")]
async fn rejects_late_requests_that_may_outlast_the_gateway() {
    let system = System::start(Plan { gateways: 1, ..PLAN }).await;
    let gateway = System::start_without_peers(&system, SHORT_GRACE).await;
    let address = system.client_address(5);
    until("the gateway serves", || async {
        system.request(5, &Request::new("/alert/")).await.status == 200
    })
    .await;
    let long = |path: &str| Request::new(path).deadline(GRACE).with("x-standin-delay-ms", "3000");
    let short = |path: &str| {
        let request = Request::new(path).with("x-standin-delay-ms", "50");
        request.deadline(Duration::from_millis(1_000))
    };
    let all = usize::MAX;
    let mut cases = Vec::new();
    for ms in [2_400, 2_700, 2_950, 3_050, 3_090] {
        cases.push((long("/receipt/"), vec![(ms, all)], "503"));
        cases.push((long("/alert/"), vec![(ms, all)], "503"));
    }
    for head_ms in [1_000, 2_000, 2_900] {
        let request = long("/receipt/");
        let but_one = request.text().len() - 1;
        cases.push((request, vec![(head_ms, but_one), (3_050, all)], "503"));
    }
    for ms in [2_400, 2_700] {
        cases.push((short("/receipt/"), vec![(ms, all)], "200"));
    }
    let mut streams = Vec::new();
    for _ in &cases {
        streams.push(keep_connection(address).await);
    }
    // A request in progress keeps the gateway from closing idle connections.
    let begun = long("/receipt/").with("x-standin-delay-ms", "3500");
    let early = keep_connection(address).await;
    let signal = tokio::time::Instant::now();
    let at_once = [(0, all)];
    let early = send_at(early, begun.text(), signal, &at_once);
    let sent = cases
        .iter()
        .zip(streams)
        .map(|((request, parts, _), stream)| send_at(stream, request.text(), signal, parts));
    let stop = async {
        until("the first request is in progress", || async {
            system.arrivals(&begun.id).await.len() == 1
        })
        .await;
        gateway.signal(libc::SIGTERM);
    };
    let ((early, _), answers, ()) = tokio::join!(early, futures_util::future::join_all(sent), stop);
    assert_eq!(head(&early).0, "200", "{early}");
    let mut wrong = Vec::new();
    for ((request, parts, status), (answer, after)) in cases.iter().zip(answers) {
        let reached = system.arrivals(&request.id).await.len();
        let seen = (head(&answer), reached);
        let expected = match *status {
            "503" => (("503", Some("0.000")), 0),
            status => ((status, None), 1),
        };
        if seen != expected {
            wrong.push(format!("{parts:?} expected {expected:?} got {seen:?} after {after:?}"));
        }
    }
    assert!(wrong.is_empty(), "{} wrong:\n{}", wrong.len(), wrong.join("\n"));
}

/// Guards against requests without any answer whose connection is cut as the gateway exits: those
/// that a server still runs, and one whose body has not arrived.
#[tokio::test(flavor = "multi_thread")]
async fn answers_what_is_still_in_progress_at_the_end_of_the_grace() {
    let system = System::start(Plan { gateways: 1, ..PLAN }).await;
    let mut gateway = System::start_without_peers(&system, SHORT_GRACE).await;
    let address = system.client_address(5);
    until("the gateway serves", || async {
        system.request(5, &Request::new("/alert/")).await.status == 200
    })
    .await;
    let slow = |path: &str| Request::new(path).deadline(GRACE).with("x-standin-delay-ms", "3900");
    let [once, again, torn] = [slow("/receipt/"), slow("/alert/"), slow("/receipt/")];
    let but_one = torn.text().len() - 1;
    let cases = [
        (&once, vec![(1_500, usize::MAX)], ("502", Some("0.000")), 1),
        (&again, vec![(1_500, usize::MAX)], ("502", Some("0.000")), 1),
        (&torn, vec![(1_500, but_one)], ("503", Some("0.000")), 0),
    ];
    let mut streams = Vec::new();
    for _ in &cases {
        streams.push(keep_connection(address).await);
    }
    let signal = tokio::time::Instant::now();
    gateway.signal(libc::SIGTERM);
    let sent = cases
        .iter()
        .zip(streams)
        .map(|((request, parts, ..), stream)| send_at(stream, request.text(), signal, parts));
    let answers = futures_util::future::join_all(sent).await;
    for ((request, _, expected, reached), (answer, after)) in cases.iter().zip(answers) {
        assert_eq!(head(&answer), *expected, "{answer} after {after:?}");
        assert_eq!(system.arrivals(&request.id).await.len(), *reached);
        assert!(after > REMOVED && after >= SHORT_GRACE_END, "{after:?}");
    }
    assert!(gateway.wait().await);
}
