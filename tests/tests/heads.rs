//! What clients get of responses whose head is malformed or contradicts itself.

#![allow(clippy::unwrap_used, reason = "a test that fails may panic")]

use std::sync::{Arc, Mutex};

use loftcove_tests::client::{Client, read};
use loftcove_tests::request::{Head, Request};
use loftcove_tests::system::{Plan, System};
use loftcove_tests::{cluster, until};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};

const PLAN: Plan =
    Plan { gateways: 1, ranks: 3, groups: 1, plain: 2, sidecars: false, proxied: false };

/// Events of each response.
const EVENTS: usize = 3;

fn events() -> String {
    (1..=EVENTS).map(|event| format!("id: {event}\ndata: piece {event}\n\n")).collect()
}

/// Heads whose lines do not determine the body. Each is a status line, which may be empty, and lines
/// in place of the fields of the framing; the body has no chunks.
fn undetermined() -> Vec<String> {
    let short = events().len() - 12;
    [
        "|transfer-encoding: gzip",
        "|transfer-encoding: chunkd",
        "|transfer-encoding: identity",
        "|transfer-encoding:",
        "|transfer-encoding: chunked;a=1",
        "|content-length: seven",
        "|content-length: -1",
        "|content-length: +7",
        "|content-length: 7 7",
        "|content-length: 18446744073709551616",
        "|content-length:",
        "|content-length: 7|content-length: 8",
        "|content-length: 7, 8",
        "HTTP/1.0 200 OK|transfer-encoding: chunked",
    ]
    .into_iter()
    .map(str::to_owned)
    .chain(
        ["identity", "", "gzip"]
            .map(|coding| format!("|transfer-encoding: {coding}|content-length: {short}")),
    )
    .collect()
}

/// The same for bodies in chunks.
fn undetermined_in_chunks() -> Vec<String> {
    let length = events().len();
    [length - 12, length, length + 12]
        .map(|length| format!("|transfer-encoding: chunked|content-length: {length}"))
        .into_iter()
        .chain(
            [
                "|transfer-encoding: gzip, chunked",
                "|transfer-encoding: gzip|transfer-encoding: chunked",
                "|transfer-encoding: chunked, gzip",
                "|transfer-encoding: chunked, chunked",
                "|transfer-encoding: chunked|transfer-encoding: chunked",
                "|transfer-encoding: chunked,",
                "|transfer-encoding: xchunked",
                "|transfer-encoding: \"chunked\"",
                "HTTP/1.0 200 OK|transfer-encoding: chunked",
            ]
            .map(str::to_owned),
        )
        .collect()
}

/// Heads with lines that are no fields, or with a status line that is none of a final response.
const INVALID: [&str; 18] = [
    "|no field|connection: close",
    "|: no name|connection: close",
    "|na me: blank|connection: close",
    "|name : blank|connection: close",
    "|na%01me: control|connection: close",
    "|na%00me: control|connection: close",
    "|na%7fme: control|connection: close",
    "|name: val%00ue|connection: close",
    "| continued: line|connection: close",
    "HTTP/1.1 000 Zero|connection: close",
    "HTTP/1.1 099 Low|connection: close",
    "HTTP/1.1 20 Short|connection: close",
    "HTTP/1.1 2000 Long|connection: close",
    "HTTP/1.1 2x0 Letter|connection: close",
    "HTTP/1.1 101 Switching Protocols|connection: close",
    "HTTP/1.1 600 High|connection: close",
    "HTTP/1.1 999 High|connection: close",
    "HTTP/2.0 200 OK|connection: close",
];

/// Heads of which each determines the body.
fn determined() -> Vec<(&'static str, String)> {
    let length = events().len();
    vec![
        ("length", format!("|content-length: {length}")),
        ("length", format!("|Content-Length: {length}, {length}")),
        ("length", format!("|content-length: {length}|content-length: {length}")),
        ("length", format!("HTTP/1.1 299 Unusual|content-length: {length}")),
        ("chunked", "|transfer-encoding: Chunked".to_owned()),
        ("chunked", "|transfer-encoding:  chunked ".to_owned()),
        ("close", "|connection: close".to_owned()),
    ]
}

fn request(path: &str, framing: &str, head: &str) -> Request {
    Request::new(path)
        .with("x-standin-events", &EVENTS.to_string())
        .with("x-standin-framing", framing)
        .with("x-standin-head", head)
}

/// What a client gets.
#[derive(Debug, PartialEq, Eq)]
struct Seen {
    status: u16,
    signed: bool,
    body: String,
    complete: bool,
}

/// Sends requests over one connection for as long as it lasts.
struct Connection<'a> {
    system: &'a System,
    client: Option<Client>,
}

impl Connection<'_> {
    async fn send(&mut self, request: &Request) -> Option<Seen> {
        let mut client = match self.client.take() {
            Some(client) => client,
            None => self.system.client(0).await,
        };
        let response = client.send(request).await?;
        let Head { status, signature, .. } = Head::of(&response);
        let (body, complete) = read(response).await;
        self.client = complete.then_some(client);
        Some(Seen { status, signed: signature.is_some(), body, complete })
    }
}

/// Sends requests of each kind whose first attempt gets the head. No part of that response may reach
/// the client, and the connection must stay in order.
async fn check(framing: &str, heads: &[String]) {
    let system = System::start(PLAN).await;
    system.earn_retries(0).await;
    let mut connection = Connection { system: &system, client: None };
    let whole = || Some(Seen { status: 200, signed: true, body: events(), complete: true });
    let none = || Some(Seen { status: 502, signed: false, body: String::new(), complete: true });
    let mut wrong = Vec::new();
    for head in heads {
        for (path, attempts) in [("/receipt/", 1), ("/reply/", 1), ("/alert/", 2), ("/draft/", 2)] {
            let request = request(path, framing, head);
            let seen = connection.send(&request).await;
            let expected = if attempts == 1 { none() } else { whole() };
            if seen != expected {
                wrong.push(format!("{path} {head}\n  expected {expected:?}\n  got      {seen:?}"));
            }
            let arrivals = system.arrivals(&request.id).await.len();
            if arrivals != attempts {
                wrong.push(format!("{path} {head}\n  {arrivals} attempts"));
            }
            let next = connection.send(&self::request("/receipt/", "length", "")).await;
            if next != whole() {
                wrong.push(format!("after {path} {head}\n  got      {next:?}"));
            }
        }
    }
    assert!(wrong.is_empty(), "{} wrong:\n{}", wrong.len(), wrong.join("\n"));
}

// Guards against a success with a body that the server did not send: raw or coded bytes, a part of
// the body, or one that ends where the server did not say.
#[tokio::test(flavor = "multi_thread")]
async fn a_response_whose_head_does_not_determine_its_body_is_not_relayed() {
    check("close", &undetermined()).await;
}

// Guards against a short response that appears complete and whose rest follows it, where a length
// contradicts the chunks.
#[tokio::test(flavor = "multi_thread")]
async fn a_response_in_chunks_whose_head_contradicts_them_is_not_relayed() {
    check("chunked", &undetermined_in_chunks()).await;
}

// Guards against a status that no response can have, and against lines that are no fields.
#[tokio::test(flavor = "multi_thread")]
async fn a_response_with_an_invalid_status_or_line_is_not_relayed() {
    check("close", &INVALID.map(str::to_owned)).await;
}

// Guards against a rejection of responses whose framing is unusual and valid.
#[tokio::test(flavor = "multi_thread")]
async fn a_response_with_valid_framing_is_relayed_with_its_body() {
    let system = System::start(PLAN).await;
    let mut connection = Connection { system: &system, client: None };
    for (framing, head) in determined() {
        for path in ["/receipt/", "/reply/", "/alert/", "/draft/"] {
            let seen = connection.send(&request(path, framing, &head)).await;
            let status = if head.contains("299") { 299 } else { 200 };
            let whole = Seen { status, signed: true, body: events(), complete: true };
            assert_eq!(seen, Some(whole), "{path} {head}");
        }
    }
}

/// Body of the backend server of an agent.
const BODY: &str = "{\"running\":0,\"queued\":0,\"step_us\":0,\"epoch\":0}";

/// Writes a response with these lines after the status line, or a valid one while there are none.
async fn answer(mut stream: TcpStream, lines: &str) -> std::io::Result<()> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await?);
    }
    let length = BODY.len();
    let valid = format!("content-length: {length}\r\nconnection: close\r\n");
    let lines = if head.starts_with(b"GET /load") || lines.is_empty() { &valid } else { lines };
    let body = match lines.contains("chunked") {
        true => format!("{length:x}\r\n{BODY}\r\n0\r\n\r\n"),
        false => BODY.to_owned(),
    };
    stream.write_all(format!("HTTP/1.1 200 OK\r\n{lines}\r\n{body}").as_bytes()).await
}

/// Guards against the same at an agent, whose entry host would pass it on as a complete answer.
#[tokio::test(flavor = "multi_thread")]
async fn an_agent_relays_no_response_whose_head_does_not_determine_its_body() {
    let zones = vec!["sala-braga"];
    let plan = cluster::Plan { zones, entries: 1, ranks: 0, ..cluster::Plan::default() };
    let mut cluster = cluster::Cluster::start(plan).await;
    let agent = cluster.agents(cluster::SERVICE).remove(0);
    let address = cluster.members[&agent].server.as_ref().unwrap().address;
    let name = agent.strip_suffix("-host").unwrap();
    cluster.servers.get_mut(name).unwrap().kill().await;
    let lines = Arc::new(Mutex::new(String::new()));
    let played = lines.clone();
    let listener = TcpListener::bind(address).await.unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let lines = played.lock().unwrap().clone();
            tokio::spawn(async move { answer(stream, &lines).await });
        }
    });
    cluster.wait_ready().await;
    let caller = cluster.caller(&cluster.entries()[0]);
    let call = || async {
        let key = uuid::Uuid::now_v7().to_string();
        caller.deliver(cluster::SERVICE, &key, &[]).await
    };
    let length = BODY.len();
    let mut wrong = Vec::new();
    for form in [
        format!("transfer-encoding: chunked\r\ncontent-length: {}\r\n", length - 12),
        format!("transfer-encoding: chunked\r\ncontent-length: {length}\r\n"),
        "transfer-encoding: gzip, chunked\r\n".to_owned(),
        "transfer-encoding: chunked, gzip\r\n".to_owned(),
        "transfer-encoding: gzip\r\n".to_owned(),
        format!("transfer-encoding: identity\r\ncontent-length: {}\r\n", length - 12),
    ] {
        lines.lock().unwrap().clear();
        until("the server is used again", || async { call().await.status == 200 }).await;
        lines.lock().unwrap().clone_from(&form);
        let answer = call().await;
        if (answer.status, &*answer.outcome()) != (502, "unknown") {
            wrong.push(format!("{form}  got {answer:?}"));
        }
    }
    assert!(wrong.is_empty(), "{} wrong:\n{}", wrong.len(), wrong.join("\n"));
}
