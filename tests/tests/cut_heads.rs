//! What clients get of responses whose head is cut: nothing, at any byte.

#![allow(clippy::unwrap_used, reason = "a test that fails may panic")]

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use loftcove_tests::client::{Client, read, send_http_1_0};
use loftcove_tests::request::Request;
use loftcove_tests::system::{Plan, SMS, System};
use loftcove_tests::{cluster, until, visits};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};

const PLAN: Plan =
    Plan { gateways: 1, ranks: 3, groups: 1, plain: 1, sidecars: false, proxied: false };

/// Retries that the services allow: one for each request, so that the budget bounds no play.
const RETRIES: visits::Allowance = visits::Allowance { ratio: 1.0, slack: 90.0 };

/// Body of each whole response of a [`Server`].
const BODY: &str = "{\"running\":0,\"queued\":0,\"step_us\":0,\"epoch\":0,\"padding\":\"xxxx\"}";

/// What follows the bytes of a play.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    Close,
    Reset,
    /// The connection stays open.
    Open,
}

/// Bytes that are sent instead of a response.
#[derive(Debug, Clone)]
struct Play {
    bytes: Vec<u8>,
    end: End,
}

/// Connection that a play went to, and the number of requests that it had carried with it.
type Place = ((SocketAddr, usize), usize);

#[derive(Default)]
struct State {
    play: Option<Play>,
    played: Option<Place>,
    /// Number of requests to whose response no play was set.
    answered: usize,
    /// Whether a request arrived on a connection after a play.
    reused: bool,
}

/// A server that sends the play that is set once, and whole responses otherwise.
#[derive(Clone, Default)]
struct Server {
    state: Arc<Mutex<State>>,
}

impl Server {
    /// Serves at a listener, under the id of a backend server.
    fn serve(&self, listener: TcpListener, id: &'static str) {
        let server = self.clone();
        tokio::spawn(async move {
            let address = listener.local_addr().unwrap();
            let mut number = 0;
            while let Ok((stream, _)) = listener.accept().await {
                number += 1;
                tokio::spawn(server.clone().serve_connection(stream, id, (address, number)));
            }
        });
    }

    async fn serve_connection(
        self,
        mut stream: TcpStream,
        id: &'static str,
        connection: (SocketAddr, usize),
    ) -> std::io::Result<()> {
        let (mut requests, mut spoilt) = (0, false);
        loop {
            let head = read_request(&mut stream).await?;
            requests += 1;
            let reported = ["GET /load", "GET /healthz"].iter().any(|path| head.starts_with(path));
            let play = {
                let mut state = self.state.lock().unwrap();
                state.reused |= spoilt;
                let play = if reported { None } else { state.play.take() };
                match &play {
                    Some(_) => state.played = Some((connection, requests)),
                    None => state.answered += usize::from(!reported),
                }
                play
            };
            let request = field(&head, "x-attempt-id");
            let Some(Play { bytes, end }) = play else {
                let empty = head.starts_with("HEAD");
                let text = whole("content-length", "HTTP/1.1 200 OK", request, id);
                let text = if empty { text.strip_suffix(BODY).unwrap() } else { &text };
                stream.write_all(text.as_bytes()).await?;
                continue;
            };
            let text = String::from_utf8_lossy(&bytes).replace("{id}", request);
            stream.write_all(text.as_bytes()).await?;
            spoilt = true;
            match end {
                End::Open => {}
                End::Close => return stream.shutdown().await,
                End::Reset => return stream.set_zero_linger(),
            }
        }
    }

    fn set(&self, bytes: &[u8], end: End) {
        let mut state = self.state.lock().unwrap();
        (state.play, state.played) = (Some(Play { bytes: bytes.to_vec(), end }), None);
    }

    /// Returns whether the play was sent, and whether the connection was used before.
    fn played(&self) -> Option<bool> {
        self.state.lock().unwrap().played.map(|(_, requests)| requests > 1)
    }
}

/// Reads a request with its body, and returns its head.
async fn read_request(stream: &mut TcpStream) -> std::io::Result<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await?);
    }
    let head = String::from_utf8_lossy(&head).into_owned();
    let mut body = vec![0; field(&head, "content-length").parse().unwrap_or(0)];
    stream.read_exact(&mut body).await?;
    Ok(head)
}

/// Returns the value of a field of a head, or an empty text.
fn field<'a>(head: &'a str, name: &str) -> &'a str {
    let mut fields = head.lines().filter_map(|line| line.split_once(": "));
    fields.find(|(known, _)| known.eq_ignore_ascii_case(name)).map_or("", |(_, value)| value)
}

/// Returns a whole response with this framing and status line.
fn whole(framing: &str, status: &str, request: &str, server: &str) -> String {
    let length = BODY.len();
    let (framing, body) = match framing {
        "content-length" => (format!("content-length: {length}\r\n"), BODY.to_owned()),
        "chunked" => (
            "transfer-encoding: chunked\r\n".to_owned(),
            format!("{length:x}\r\n{BODY}\r\n0\r\n\r\n"),
        ),
        _ => (String::new(), BODY.to_owned()),
    };
    format!(
        "{status}\r\nx-attempt-id: {request}\r\nx-instance-id: {server}\r\n\
         x-server-stamp: {server}.{request}\r\ncontent-type: application/json\r\n{framing}\r\n{body}"
    )
}

/// A response of which some first bytes are sent.
struct Response {
    name: &'static str,
    text: String,
    /// Length of the head, with what precedes it.
    head: usize,
}

impl Response {
    fn new(name: &'static str, text: String) -> Response {
        let line = if text.contains('\r') { "\r\n" } else { "\n" };
        let last = text.rfind(&line.repeat(2)).unwrap() + 2 * line.len();
        // The last chunk of a body ends like a head.
        let head = text.find(&format!("{line}{line}3f{line}")).map_or(last, |place| place + 4);
        Response { name, text, head }
    }

    /// Returns what a client would get if the head were not cut.
    fn all() -> Vec<Response> {
        let (ok, id) = ("HTTP/1.1 200 OK", "{id}");
        let plain = whole("content-length", ok, id, "raw-0");
        let interim = "HTTP/1.1 100 Continue\r\n\r\n";
        let hints = "HTTP/1.1 103 Early Hints\r\nlink: </a>; rel=preload\r\n\r\n";
        let rejected = "HTTP/1.1 503 Service Unavailable\r\nx-attempt-id: {id}\r\n\
                        x-instance-id: raw-0\r\nx-not-executed: 1\r\nserver-leaving: 1\r\n\
                        retry-after: 600\r\ncontent-length: 0\r\n\r\n";
        vec![
            Response::new("length", plain.clone()),
            Response::new("chunked", whole("chunked", ok, id, "raw-0")),
            Response::new("unframed", whole("", ok, id, "raw-0")),
            Response::new("HTTP/1.0", whole("content-length", "HTTP/1.0 200 OK", id, "raw-0")),
            Response::new("HTTP/1.0 unframed", whole("", "HTTP/1.0 200 OK", id, "raw-0")),
            Response::new("after 100", format!("{interim}{plain}")),
            Response::new("after 103", format!("{hints}{plain}")),
            Response::new("after 100 and 103", format!("{interim}{hints}{plain}")),
            Response::new("line feeds", plain.replace("\r\n", "\n")),
            Response::new("rejection", rejected.to_owned()),
        ]
    }
}

/// Sends requests over one connection for as long as it lasts.
struct Connection<'a> {
    system: &'a System,
    client: Option<Client>,
}

impl Connection<'_> {
    /// Returns the status, the body, and whether it was complete.
    async fn send(&mut self, request: &Request) -> Option<(u16, String, bool)> {
        let mut client = match self.client.take() {
            Some(client) => client,
            None => self.system.client(0).await,
        };
        let response = client.send(request).await?;
        let status = response.status().as_u16();
        let (body, complete) = read(response).await;
        self.client = complete.then_some(client);
        Some((status, body, complete))
    }
}

/// Plays at a gateway, and what is wrong.
struct Round<'a> {
    connection: Connection<'a>,
    server: Server,
    plays: usize,
    on_kept: usize,
    wrong: Vec<String>,
}

impl<'a> Round<'a> {
    /// Replaces the plain servers of a system by two of which one sends the plays.
    async fn start(system: &'a System) -> Round<'a> {
        let server = Server::default();
        for id in ["raw-0", "raw-1"] {
            let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
            let address = listener.local_addr().unwrap();
            server.serve(listener, id);
            system.put_entry(id, SMS, address, "ready").await;
        }
        system.remove("servers/plain-0").await;
        until("the other servers answer", || async {
            let answered = || server.state.lock().unwrap().answered;
            let before = answered();
            for _ in 0..10 {
                system.request(0, &Request::new("/alert/")).await;
            }
            answered() - before == 10
        })
        .await;
        system.earn_retries(0).await;
        let connection = Connection { system, client: None };
        Round { connection, server, plays: 0, on_kept: 0, wrong: Vec::new() }
    }

    /// Sends a request to whose first attempt the bytes are sent.
    async fn play(&mut self, name: &str, (method, path): (&'static str, &str), play: Play) {
        let repeats = path == "/alert/";
        let body = if method == "HEAD" { "" } else { BODY };
        let expected = match repeats {
            true => Some((200, body.to_owned(), true)),
            false => Some((502, String::new(), true)),
        };
        let text = String::from_utf8_lossy(&play.bytes).into_owned();
        let label = format!("{name} {method} {path} {:?} after {text:?}", play.end);
        self.server.set(&play.bytes, play.end);
        let seen = self.connection.send(&Request::new(path).method(method)).await;
        self.plays += 1;
        if seen != expected {
            self.wrong.push(format!("{label}\n  expected {expected:?}\n  got      {seen:?}"));
        }
        match self.server.played() {
            Some(kept) => self.on_kept += usize::from(kept),
            None => self.wrong.push(format!("{label}\n  not played")),
        }
        // Both servers have a kept connection again.
        for _ in 0..if repeats { 3 } else { 1 } {
            let next = self.connection.send(&Request::new("/alert/")).await;
            if next != Some((200, BODY.to_owned(), true)) {
                self.wrong.push(format!("next of {label}\n  got      {next:?}"));
            }
        }
        let reused = std::mem::take(&mut self.server.state.lock().unwrap().reused);
        if reused {
            self.wrong.push(format!("{label}\n  the connection is used again"));
        }
    }

    fn finish(&self, name: &str) {
        let (plays, on_kept, wrong) = (self.plays, self.on_kept, self.wrong.len());
        println!("{name}: {plays} plays, {on_kept} on connections used before, {wrong} wrong");
        let shown = self.wrong.iter().take(20).cloned().collect::<Vec<_>>().join("\n");
        assert!(self.wrong.is_empty(), "{wrong} wrong of {plays}:\n{shown}");
    }
}

/// Returns the end of a play at this byte.
fn end(cut: usize) -> End {
    if cut.is_multiple_of(2) { End::Close } else { End::Reset }
}

// Guards against a head that is cut and taken for a whole one, with an empty or short body: after
// interim responses, from servers of both versions and for clients of both, with each framing, and as
// a response to HEAD.
#[tokio::test(flavor = "multi_thread")]
async fn a_response_whose_head_is_cut_at_any_byte_is_not_relayed() {
    let system = System::start_with(PLAN, RETRIES).await;
    let mut round = Round::start(&system).await;
    for method in ["POST", "HEAD"] {
        for response in Response::all() {
            for cut in 0..response.head {
                let play = || Play { bytes: response.text[..cut].into(), end: end(cut) };
                round.play(response.name, (method, "/receipt/"), play()).await;
            }
        }
    }
    let address = system.client_address(0);
    for response in Response::all() {
        for cut in (0..response.head).step_by(11) {
            round.server.set(&response.text.as_bytes()[..cut], end(cut));
            let (text, in_order) = send_http_1_0(address, &Request::new("/receipt/")).await;
            round.plays += 1;
            let refused = text.starts_with("HTTP/1.0 502") || text.starts_with("HTTP/1.1 502");
            let played = round.server.played().is_some();
            if !refused || !in_order || !text.ends_with("\r\n\r\n") || !played {
                let name = response.name;
                round
                    .wrong
                    .push(format!("{name} to HTTP/1.0, {cut}: {played} {in_order} {text:?}"));
            }
        }
    }
    round.finish("cut heads, not repeated");
}

// Guards against the same where another attempt is made, on connections that were used before.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_is_repeated_after_a_head_that_is_cut_on_a_kept_connection() {
    let system = System::start_with(PLAN, RETRIES).await;
    let mut round = Round::start(&system).await;
    for method in ["POST", "HEAD"] {
        for response in Response::all() {
            for cut in (0..response.head).step_by(7).chain(response.head - 6..response.head) {
                let play = || Play { bytes: response.text[..cut].into(), end: end(cut) };
                round.play(response.name, (method, "/alert/"), play()).await;
            }
        }
    }
    round.finish("cut heads, repeated");
    assert!(round.on_kept > round.plays / 2, "{} on connections used before", round.on_kept);
}

/// Other responses on the same connection.
const OTHERS: [&str; 3] = [
    "HTTP/1.1 500 Internal Server Error\r\nx-attempt-id: {id}\r\ncontent-length: 0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nx-attempt-id: {id}\r\ncontent-type: application/json\r\n\
     content-length: 7\r\n\r\n{\"a\":1}",
    "HTTP/1.0 503 Service Unavailable\r\nretry-after: 600\r\nx-not-executed: 1\r\n\
     x-attempt-id: {id}\r\ncontent-length: 0\r\n\r\n",
];

// Guards against a head that is cut inside a line, and completed by the head of another response on
// the same connection: clients got the status of one and the body of the other.
#[tokio::test(flavor = "multi_thread")]
async fn a_response_whose_head_is_cut_and_followed_by_another_is_not_relayed() {
    let system = System::start_with(PLAN, RETRIES).await;
    let mut round = Round::start(&system).await;
    let response = &Response::all()[0];
    for (number, other) in OTHERS.iter().enumerate() {
        for cut in 1..response.head {
            let bytes = format!("{}{other}", &response.text[..cut]).into_bytes();
            let end = if (cut + number) % 2 == 0 { End::Open } else { End::Close };
            round.play("followed", ("POST", "/receipt/"), Play { bytes, end }).await;
        }
        for cut in (1..response.head).step_by(9) {
            let bytes = format!("{}{other}", &response.text[..cut]).into_bytes();
            round.play("followed", ("POST", "/alert/"), Play { bytes, end: End::Open }).await;
        }
    }
    // What follows an interim head that is cut completes that head, and no response is left.
    let interim = &Response::all()[6];
    let length = interim.text.find("HTTP/1.1 200").unwrap();
    for (number, cut) in (1..length - 1).enumerate() {
        let bytes = format!("{}{}", &interim.text[..cut], OTHERS[number % 3]).into_bytes();
        let play = Play { bytes, end: End::Close };
        round.play("interim, followed", ("POST", "/receipt/"), play).await;
    }
    round.finish("cut heads with another response behind");
}

/// Events of each response of a rank.
const EVENTS: usize = 3;

// Guards against the same at the ranks of a lock-step group, whose streams may be resumed.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_of_a_rank_whose_head_is_cut_is_not_relayed() {
    let system = System::start_with(PLAN, RETRIES).await;
    system.earn_retries(0).await;
    let events: String =
        (1..=EVENTS).map(|event| format!("id: {event}\ndata: piece {event}\n\n")).collect();
    let other = OTHERS.map(|text| text.replace("\r\n", "%0d%0a").replace("{id}", "other"));
    let interim =
        "HTTP/1.1 100 Continue%0d%0a%0d%0aHTTP/1.1 103 Early Hints%0d%0alink: </a>%0d%0a%0d%0a";
    let mut connection = Connection { system: &system, client: None };
    let (mut plays, mut wrong) = (0, Vec::new());
    let places: Vec<isize> = (0..60).step_by(6).chain((-60..0).step_by(5)).chain(-4..0).collect();
    for framing in ["length", "chunked", "close", "http-1.0"] {
        for (number, place) in places.iter().enumerate() {
            for (then, before, lines) in
                [("", "", ""), ("", interim, ""), ("", "", "lf"), (&*other[number % 3], "", "")]
            {
                // What follows nothing is a response of its own.
                if *place == 0 && !then.is_empty() {
                    continue;
                }
                for (path, repeats) in [("/reply/", false), ("/draft/", true)] {
                    if repeats && number % 4 != 0 {
                        continue;
                    }
                    let request = Request::new(path)
                        .with("x-standin-events", &EVENTS.to_string())
                        .with("x-standin-framing", framing)
                        .with("x-standin-head-cut", &place.to_string())
                        .with("x-standin-head-lines", lines)
                        .with("x-standin-before", before)
                        .with("x-standin-then", then)
                        .with("x-standin-end", ["close", "reset"][number % 2]);
                    let expected = match repeats {
                        true => Some((200, events.clone(), true)),
                        false => Some((502, String::new(), true)),
                    };
                    let seen = connection.send(&request).await;
                    plays += 1;
                    if seen != expected {
                        let label = format!("{path} {framing} {place} {lines} {before} {then}");
                        wrong.push(format!("{label}\n  {expected:?}\n  {seen:?}"));
                    }
                    let next = connection.send(&Request::new("/draft/")).await;
                    if next.as_ref().is_none_or(|(status, ..)| *status != 200) {
                        wrong.push(format!("next of {path} {framing} {place}\n  {next:?}"));
                    }
                }
            }
        }
    }
    println!("cut heads of ranks: {plays} plays, {} wrong", wrong.len());
    let shown = wrong.iter().take(20).cloned().collect::<Vec<_>>().join("\n");
    assert!(wrong.is_empty(), "{} wrong of {plays}:\n{shown}", wrong.len());
}

/// Returns the body of a stream in chunks with a trailer as it is on the connection, with the place
/// behind each event, and whether another response may follow at each byte: outside of data, which
/// it would fill up, and of the trailer's value, behind which the body is whole.
fn chunks() -> (Vec<u8>, Vec<usize>, Vec<bool>) {
    let (mut bytes, mut ends, mut follows) = (Vec::new(), Vec::new(), Vec::new());
    for event in 1..=EVENTS {
        let text = format!("id: {event}\ndata: piece {event}\n\n");
        let size = format!("{:x}\r\n", text.len());
        follows.extend((0..size.len()).map(|place| place > 0));
        follows.extend(text.bytes().map(|_| false));
        bytes.extend_from_slice(format!("{size}{text}").as_bytes());
        ends.push(bytes.len());
        follows.extend([true, true]);
        bytes.extend_from_slice(b"\r\n");
    }
    let mark = format!("0\r\n{TRAILER}\r\n\r\n");
    let value = mark.find(':').unwrap();
    follows.extend((0..mark.len()).map(|place| place > 0 && place <= value));
    bytes.extend_from_slice(mark.as_bytes());
    (bytes, ends, follows)
}

const TRAILER: &str = "x-end: mark";

// Guards against a stream that is cut inside a chunk's size, the end of a chunk or a trailer, and
// looks complete: at any byte, with another response behind it, and on routes of each kind.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_in_chunks_that_is_cut_at_any_byte_never_looks_complete() {
    let system = System::start_with(Plan { plain: 2, ..PLAN }, RETRIES).await;
    system.earn_retries(0).await;
    let (bytes, ends, follows) = chunks();
    let events = |count: usize| -> String {
        (1..=count).map(|event| format!("id: {event}\ndata: piece {event}\n\n")).collect()
    };
    let other = OTHERS.map(|text| text.replace("\r\n", "%0d%0a").replace("{id}", "other"));
    let mut connection = Connection { system: &system, client: None };
    let (mut plays, mut wrong) = (0, Vec::new());
    for cut in 0..bytes.len() {
        let other = &*other[cut % 3];
        for (end, then) in [("close", ""), ("reset", ""), ("close", other)] {
            if !then.is_empty() && !follows[cut] {
                continue;
            }
            let whole = ends.iter().filter(|end| **end <= cut).count();
            for path in ["/receipt/", "/reply/", "/alert/", "/draft/"] {
                let request = Request::new(path)
                    .with("x-standin-events", &EVENTS.to_string())
                    .with("x-standin-framing", "chunked")
                    .with("x-standin-trailer", TRAILER)
                    .with("x-standin-body-cut", &cut.to_string())
                    .with("x-standin-then", then)
                    .with("x-standin-end", end);
                let seen = connection.send(&request).await;
                plays += 1;
                let seen_as = seen.as_ref().map(|(status, body, whole)| (*status, &**body, *whole));
                let right = match (path, seen_as) {
                    ("/receipt/", seen) => seen == Some((502, "", true)),
                    // A reset may discard what has not been read.
                    ("/reply/", Some((200, body, false))) => {
                        let least = if end == "reset" { 0 } else { whole };
                        (least..=whole).any(|count| body == events(count))
                    }
                    ("/reply/", seen) => end == "reset" && seen == Some((502, "", true)),
                    (_, seen) => seen == Some((200, &*events(EVENTS), true)),
                };
                if !right {
                    wrong.push(format!("{path} {cut} {end} {then}\n  {whole} events\n  {seen:?}"));
                }
                let next = connection.send(&Request::new("/draft/")).await;
                if next.as_ref().is_none_or(|(status, ..)| *status != 200) {
                    wrong.push(format!("next of {path} {cut} {end} {then}\n  {next:?}"));
                }
            }
        }
    }
    println!("streams in chunks that are cut: {plays} plays, {} wrong", wrong.len());
    let shown = wrong.iter().take(20).cloned().collect::<Vec<_>>().join("\n");
    assert!(wrong.is_empty(), "{} wrong of {plays}:\n{shown}", wrong.len());
}

/// Starts an entry host and an agent whose backend server sends the plays.
async fn start_agent() -> (cluster::Cluster, Server) {
    let zones = vec!["sala-braga"];
    let plan = cluster::Plan { zones, entries: 1, ranks: 0, ..cluster::Plan::default() };
    let mut cluster = cluster::Cluster::start(plan).await;
    let agent = cluster.agents(cluster::SERVICE).remove(0);
    let address = cluster.members[&agent].server.as_ref().unwrap().address;
    let name = agent.strip_suffix("-host").unwrap();
    cluster.servers.get_mut(name).unwrap().kill().await;
    let server = Server::default();
    server.serve(TcpListener::bind(address).await.unwrap(), "raw-0");
    cluster.wait_ready().await;
    (cluster, server)
}

/// Makes a call through an entry host and an agent with each play as its answer.
async fn check_agent(name: &str, plays: &[Play]) {
    let (cluster, server) = start_agent().await;
    let caller = cluster.caller(&cluster.entries()[0]);
    let call = || async {
        let key = uuid::Uuid::now_v7().to_string();
        caller.deliver(cluster::SERVICE, &key, &[]).await
    };
    let (mut on_kept, mut wrong) = (0, Vec::new());
    for Play { bytes, end } in plays {
        until("the server is used again", || async { call().await.status == 200 }).await;
        server.set(bytes, *end);
        let answer = call().await;
        let label = format!("{end:?} after {:?}", String::from_utf8_lossy(bytes));
        if (answer.status, &*answer.outcome()) != (502, "unknown") {
            wrong.push(format!("{label}\n  got {answer:?}"));
        }
        match server.played() {
            Some(kept) => on_kept += usize::from(kept),
            None => wrong.push(format!("{label}\n  not played")),
        }
        until("the server is used again", || async { call().await.status == 200 }).await;
        if std::mem::take(&mut server.state.lock().unwrap().reused) {
            wrong.push(format!("{label}\n  the connection is used again"));
        }
    }
    let (plays, count) = (plays.len(), wrong.len());
    println!("{name}: {plays} plays, {on_kept} on connections used before, {count} wrong");
    let shown = wrong.iter().take(20).cloned().collect::<Vec<_>>().join("\n");
    assert!(wrong.is_empty(), "{count} wrong of {plays}:\n{shown}");
}

// Guards against the same at an agent, whose entry host would pass it on as a complete answer.
#[tokio::test(flavor = "multi_thread")]
async fn an_agent_relays_no_response_whose_head_is_cut() {
    let mut plays = Vec::new();
    for response in Response::all() {
        let cuts = (0..response.head).step_by(17).chain(response.head - 4..response.head);
        plays.extend(cuts.map(|cut| Play { bytes: response.text[..cut].into(), end: end(cut) }));
    }
    let response = &Response::all()[0];
    for (number, cut) in (1..response.head).step_by(4).enumerate() {
        let bytes = format!("{}{}", &response.text[..cut], OTHERS[number % 3]).into_bytes();
        plays.push(Play { bytes, end: if number % 2 == 0 { End::Open } else { End::Close } });
    }
    check_agent("cut heads at agents", &plays).await;
}

// Guards against a request on a connection whose last response had an invalid head and no body, so
// that it counted as complete: what the server sends behind such a head is not known.
#[tokio::test(flavor = "multi_thread")]
async fn an_agent_sends_no_request_after_an_invalid_head() {
    let plays = [
        "HTTP/1.1 204 No Content\r\ncontent-length: 7\r\n\r\n",
        "HTTP/1.1 600 High\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\ncontent-type: HTTP/1.1 500 Failed\r\ncontent-length: 0\r\n\r\n",
    ]
    .map(|head| Play { bytes: head.into(), end: End::Open });
    check_agent("invalid heads without a body at agents", &plays).await;
}
