//! What clients get of responses that end in any way, with any framing.

#![allow(clippy::unwrap_used, reason = "a test that fails may panic")]

use std::time::Duration;

use http_body_util::BodyExt as _;
use loftcove_tests::client::{Client, read, send_http_1_0};
use loftcove_tests::request::Request;
use loftcove_tests::system::{Plan, SMS, System};
use loftcove_tests::until;

const PLAN: Plan =
    Plan { gateways: 1, ranks: 3, groups: 1, plain: 2, sidecars: false, proxied: false };
/// Events of each stream, and the one within which the stream is cut.
const EVENTS: usize = 6;
const CUT_EVENT: usize = 3;
/// Deadline of requests whose server falls silent.
const SHORT_DEADLINE: Duration = Duration::from_millis(700);
/// More than the gateway reassembles of one event.
const LONG_EVENT: usize = 80_000;

const ENDS: [&str; 4] = ["mark", "close", "reset", "silence"];
const PLACES: [&str; 7] =
    ["before-head", "in-head", "first", "before", "in-line", "after-line", "after"];

/// A response that ends early.
#[derive(Debug, Clone, Copy)]
struct Case {
    framing: &'static str,
    place: &'static str,
    end: &'static str,
    resumable: bool,
}

/// What a client gets.
#[derive(Debug, PartialEq, Eq)]
struct Seen {
    status: u16,
    body: String,
    complete: bool,
}

fn events(first: usize, last: usize) -> String {
    let text = |event| format!("id: {event}\ndata: piece {event}\n\n");
    (first..=last).map(text).collect()
}

impl Case {
    fn request(self) -> Request {
        let path = if self.resumable { "/draft/" } else { "/reply/" };
        let (place, cut) = match self.place {
            "first" => ("before", 1),
            place => (place, CUT_EVENT),
        };
        let request = Request::new(path)
            .with("x-standin-events", &EVENTS.to_string())
            .with("x-standin-framing", self.framing)
            .with("x-standin-cut", place)
            .with("x-standin-break", &cut.to_string())
            .with("x-standin-end", self.end);
        if self.end == "silence" { request.deadline(SHORT_DEADLINE) } else { request }
    }

    /// Number of complete events before the cut.
    fn before(self) -> usize {
        match self.place {
            "before-head" | "in-head" | "first" => 0,
            "after" => CUT_EVENT,
            _ => CUT_EVENT - 1,
        }
    }

    /// Whether nothing distinguishes the response from a complete one.
    fn looks_complete(self) -> bool {
        let between = matches!(self.place, "before" | "after");
        match (self.framing, self.end) {
            ("chunked", "mark") => between || self.place == "first",
            ("close" | "http-1.0", "mark" | "close") => between,
            _ => false,
        }
    }

    fn expected(self) -> Seen {
        let seen = |status, last, complete| Seen { status, body: events(1, last), complete };
        let headless = matches!(self.place, "before-head" | "in-head");
        match self.end {
            _ if self.looks_complete() => seen(200, self.before(), true),
            "silence" if headless => seen(502, 0, true),
            "silence" => seen(200, self.before(), false),
            _ if self.resumable => seen(200, EVENTS, true),
            _ if headless => seen(502, 0, true),
            _ => seen(200, self.before(), false),
        }
    }
}

/// Sends requests over one connection for as long as it lasts.
struct Connection<'a> {
    system: &'a System,
    client: Option<Client>,
}

impl Connection<'_> {
    async fn send(&mut self, request: &Request) -> Seen {
        let mut client = match self.client.take() {
            Some(client) => client,
            None => self.system.client(0).await,
        };
        let response = client.send(request).await.expect("the gateway answers");
        let status = response.status().as_u16();
        let (body, complete) = read(response).await;
        self.client = complete.then_some(client);
        Seen { status, body, complete }
    }
}

/// Waits until the gateway has logged the outcome that the client saw.
async fn assert_logged(system: &System, id: &str, seen: &Seen) {
    let outcome = match seen {
        Seen { status: 200, complete: true, .. } => "answered",
        Seen { status: 200, .. } => "broken-off",
        _ => "unknown",
    };
    let start = format!("outcome request={id} outcome={outcome} ");
    until("the outcome is in the log", || async {
        system.gateways[0].log().iter().any(|line| line.contains(&start))
    })
    .await;
}

/// Sends a request for each case, and one of a complete response after it over the same connection.
async fn check(framing: &'static str) {
    let label = if framing == "http-1.0" { "close" } else { framing };
    let system = System::start(PLAN).await;
    system.earn_retries(0).await;
    let mut connection = Connection { system: &system, client: None };
    let mut wrong = Vec::new();
    for place in PLACES {
        for (end, resumable) in ENDS.into_iter().flat_map(|end| [(end, true), (end, false)]) {
            let case = Case { framing, place, end, resumable };
            let request = case.request();
            let seen = connection.send(&request).await;
            let expected = case.expected();
            assert_logged(&system, &request.id, &seen).await;
            if seen != expected {
                wrong.push(format!("{case:?}\n  expected {expected:?}\n  got      {seen:?}"));
            }
            // No server gets more of a request than its route allows.
            let arrivals = system.arrivals(&request.id).await.len();
            assert!(arrivals <= if resumable { 2 } else { 1 }, "{case:?} {arrivals}");
            let whole = Request::new("/reply/")
                .with("x-standin-events", "2")
                .with("x-standin-framing", framing);
            let seen = connection.send(&whole).await;
            assert_eq!(seen, Seen { status: 200, body: events(1, 2), complete: true }, "{case:?}");
        }
    }
    let metrics = system.metrics(0).await;
    let ends = |end: &str| {
        let labels = format!("loftcove_response_ends_total{{framing=\"{label}\",end=\"{end}\"}}");
        assert!(metrics.contains(&labels), "{labels} {metrics}");
    };
    ends("complete");
    ends("broken-off");
    ends("deadline");
    if framing != "length" {
        ends("inside-event");
    }
    assert!(wrong.is_empty(), "{} cases:\n{}", wrong.len(), wrong.join("\n"));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_with_a_length_that_breaks_off_never_looks_complete() {
    check("length").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_in_chunks_that_breaks_off_never_looks_complete() {
    check("chunked").await;
}

// Guards against a stream that is cut inside an event and ends at its client as complete.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_without_framing_that_breaks_off_inside_an_event_never_looks_complete() {
    check("close").await;
}

// Guards against the same from a server that speaks HTTP/1.0.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_over_http_1_0_that_breaks_off_inside_an_event_never_looks_complete() {
    check("http-1.0").await;
}

// Guards against a stream that is resumed after a piece of an event.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_is_not_resumed_inside_an_event_that_was_passed_on_in_pieces() {
    let system = System::start(PLAN).await;
    for (framing, end) in [("chunked", "close"), ("close", "close"), ("close", "reset")] {
        let request = Request::new("/draft/")
            .with("x-standin-events", "4")
            .with("x-standin-event-bytes", &LONG_EVENT.to_string())
            .with("x-standin-framing", framing)
            .with("x-standin-cut", "after-line")
            .with("x-standin-break", "2")
            .with("x-standin-end", end);
        let answer = system.request(0, &request).await;
        assert!(!answer.complete, "{framing} {end}");
        assert_eq!(answer.body.matches("id: 2\n").count(), 1, "{framing} {end}");
        assert!(!answer.body.contains("id: 3\n"), "{framing} {end}");
        assert_eq!(system.arrivals(&request.id).await.len(), 1, "{framing} {end}");
    }
}

// Guards against an event stream on a route that is not a streaming one, which is cut inside an
// event and ends at its client as complete.
#[tokio::test(flavor = "multi_thread")]
async fn an_event_stream_on_any_route_that_breaks_off_inside_an_event_never_looks_complete() {
    let system = System::start(PLAN).await;
    system.earn_retries(0).await;
    for framing in ["chunked", "close", "http-1.0"] {
        let cut = |path: &str, last: usize, bytes: usize| {
            Request::new(path)
                .with("x-standin-events", &EVENTS.to_string())
                .with("x-standin-event-bytes", &bytes.to_string())
                .with("x-standin-framing", framing)
                .with("x-standin-cut", "after-line")
                .with("x-standin-break", &last.to_string())
                .with("x-standin-end", "mark")
        };
        let again = system.request(0, &cut("/alert/", CUT_EVENT, 0)).await;
        assert_eq!((again.status, again.body), (200, events(1, EVENTS)), "{framing}");
        let once = system.request(0, &cut("/receipt/", CUT_EVENT, 0)).await;
        assert_eq!((once.status, &*once.body), (502, ""), "{framing}");
        // More than is buffered until it is complete.
        let long = system.request(0, &cut("/alert/", EVENTS, LONG_EVENT)).await;
        assert_eq!((long.status, long.complete), (200, false), "{framing}");
    }
}

// Guards against a response that ends at its client as complete after the server's process ended:
// the operating system closes the connections of a process in order.
#[tokio::test(flavor = "multi_thread")]
async fn a_response_without_framing_whose_server_ends_after_an_event_never_looks_complete() {
    let system = System::start(PLAN).await;
    let cut = |path: &str| {
        Request::new(path)
            .with("x-standin-events", &EVENTS.to_string())
            .with("x-standin-framing", "close")
            .with("x-standin-cut", "after")
            .with("x-standin-break", &CUT_EVENT.to_string())
            .with("x-standin-end", "silence")
            .with("x-standin-end-ms", "300")
    };
    let once = system.request(0, &cut("/receipt/")).await;
    assert_eq!((once.status, &*once.body), (502, ""));
    let long = cut("/receipt/").with("x-standin-event-bytes", &(2 * LONG_EVENT).to_string());
    let long = system.request(0, &long).await;
    assert_eq!((long.status, long.complete), (200, false));
    let stream = system.request(0, &cut("/reply/")).await;
    assert_eq!((stream.status, stream.complete), (200, false));
    assert_eq!(stream.body, events(1, CUT_EVENT));
}

// Guards against the same from a server whose port is still open as its connections are closed.
#[tokio::test(flavor = "multi_thread")]
async fn a_response_without_framing_whose_server_ends_slowly_never_looks_complete() {
    let system = System::start(PLAN).await;
    let cut = |path: &str| {
        Request::new(path)
            .with("x-standin-events", &EVENTS.to_string())
            .with("x-standin-framing", "close")
            .with("x-standin-cut", "after")
            .with("x-standin-break", &CUT_EVENT.to_string())
            .with("x-standin-end", "silence")
            .with("x-standin-end-ms", "300")
            .with("x-standin-linger-ms", "10")
    };
    let once = system.request(0, &cut("/receipt/")).await;
    assert_eq!((once.status, &*once.body), (502, ""));
    let stream = system.request(0, &cut("/reply/")).await;
    assert_eq!((stream.status, stream.complete), (200, false));
    assert_eq!(stream.body, events(1, CUT_EVENT));
}

// Guards against the same from a server that is leaving, which may exit with requests running.
#[tokio::test(flavor = "multi_thread")]
async fn a_response_without_framing_whose_leaving_server_ends_never_looks_complete() {
    let system = System::start(Plan { plain: 1, ..PLAN }).await;
    let request = Request::new("/receipt/")
        .with("x-standin-events", &EVENTS.to_string())
        .with("x-standin-framing", "close")
        .with("x-standin-cut", "after")
        .with("x-standin-end", "silence")
        .with("x-standin-end-ms", "1000");
    let leaves = async {
        until("the server runs the request", || async {
            !system.arrivals(&request.id).await.is_empty()
        })
        .await;
        system.put_entry("plain-0", SMS, system.plain_address(0), "draining").await;
    };
    let (answer, ()) = tokio::join!(system.request(0, &request), leaves);
    assert_eq!((answer.status, &*answer.body), (502, ""));
    let logged = |line: &String| line.contains("connection broke") && line.contains("leaving=true");
    until("the gateway has logged that the server was leaving", || async {
        system.gateways[0].log().iter().any(logged)
    })
    .await;
}

// Guards against the same at a gateway that was stopped while the server ended and restarted, so
// that a process accepts connections there when the gateway notices the end.
#[tokio::test(flavor = "multi_thread")]
async fn a_response_without_framing_whose_end_is_noticed_late_never_looks_complete() {
    let system = System::start(PLAN).await;
    let mut client = system.client(0).await;
    let request = Request::new("/reply/")
        .with("x-standin-events", &EVENTS.to_string())
        .with("x-standin-framing", "close")
        .with("x-standin-cut", "after")
        .with("x-standin-break", &CUT_EVENT.to_string())
        .with("x-standin-end", "silence")
        .with("x-standin-end-ms", "500");
    let response = client.send(&request).await.unwrap();
    let (sender, received) = tokio::sync::oneshot::channel();
    let reading = tokio::spawn(async move {
        let (mut body, mut text) = (response.into_body(), String::new());
        let mut sender = Some(sender);
        let complete = loop {
            match body.frame().await {
                Some(Ok(frame)) => {
                    let data = frame.into_data().unwrap_or_default();
                    text += &String::from_utf8_lossy(&data);
                }
                Some(Err(_)) => break false,
                None => break true,
            }
            if text == events(1, CUT_EVENT)
                && let Some(sender) = sender.take()
            {
                sender.send(()).unwrap();
            }
        };
        (text, complete)
    });
    received.await.unwrap();
    system.gateways[0].signal(libc::SIGSTOP);
    until("the server has restarted", || async {
        system.ends(Some(0)).await.iter().any(|end| end["back"] == true)
    })
    .await;
    system.gateways[0].signal(libc::SIGCONT);
    assert_eq!(reading.await.unwrap(), (events(1, CUT_EVENT), false));
}

// Guards against a broken response that ends in order at a client for which only the end of the
// connection marks the end of the body.
#[tokio::test(flavor = "multi_thread")]
async fn a_response_that_breaks_off_is_reset_for_clients_that_speak_http_1_0() {
    let system = System::start(PLAN).await;
    let stream = |framing| {
        let request = Request::new("/reply/").with("x-standin-events", &EVENTS.to_string());
        request.with("x-standin-framing", framing)
    };
    for framing in ["chunked", "close"] {
        let (text, in_order) = send_http_1_0(system.client_address(0), &stream(framing)).await;
        assert!(in_order && text.ends_with(&events(1, EVENTS)), "{framing}: {text}");
        for end in ["close", "reset"] {
            let cut = stream(framing).with("x-standin-cut", "in-line").with("x-standin-end", end);
            let (text, in_order) =
                send_http_1_0(system.client_address(0), &cut.with("x-standin-break", "3")).await;
            assert!(!in_order, "{framing} {end}: {text}");
            assert!(text.ends_with(&events(1, 2)), "{framing} {end}: {text}");
        }
    }
}
