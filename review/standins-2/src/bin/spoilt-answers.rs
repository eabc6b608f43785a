//! Clients send short requests on kept connections while one of three workers spoils one answer in
//! twenty.
//!
//! usage: spoilt-answers lengths|unsigned RECORD, with TROUBLE=0 with sound workers.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use review_standins_2::client::{Answer, Client};
use review_standins_2::record::Record;
use review_standins_2::site::{headers, Site, SHORT_MS};
use review_standins_2::worker::{body_of, Fault};

/// Requests of each client, one after the other. Every second client sends requests that may not
/// be repeated.
const REQUESTS: usize = 150;
const CLIENTS: usize = 4;
/// Time for which a client looks for bytes after an answer that was not the worker's.
const STRAY_TIME: Duration = Duration::from_millis(50);

/// Returns what of an answer breaks the rule, if anything does.
fn fault_of(answer: &Answer, id: &str) -> Option<String> {
    // A failure says nothing that is judged here, and an answer that visibly ends early does not
    // appear complete.
    if !(200..300).contains(&answer.status) || !answer.complete {
        return None;
    }
    if answer.stamp.is_none() {
        return Some("a success without a signature".to_owned());
    }
    let whole = answer.body == body_of(id);
    (!whole).then(|| format!("a success that appears complete, with the body {:?}", answer.body))
}

/// Sends the requests of one client and returns how many answers broke the rule.
fn talk(front: SocketAddr, client: usize, record: &Record) -> std::io::Result<usize> {
    let (method, path) = if client % 2 == 0 { ("GET", "/tabua/1") } else { ("POST", "/tile/1") };
    let mut connection = Client::connect(front)?;
    let mut broken = 0;
    for number in 0..REQUESTS {
        let id = format!("c{client}n{number}");
        record.line(&format!("client {client} sends {method} {path} as {id}"));
        connection.send(method, path, &headers(&id, SHORT_MS), "")?;
        let answer = connection.read();
        record.line(&format!("client {client} has for {id}: {answer:?}"));
        let sound = match &answer {
            Ok(answer) => match fault_of(answer, &id) {
                Some(fault) => {
                    broken += 1;
                    record.line(&format!("MIXED: client {client} asked {id} and got {fault}"));
                    if connection.has_stray_bytes(STRAY_TIME)? {
                        record.line(&format!("MIXED: bytes after {id}, where no request waits"));
                    }
                    false
                }
                None => (200..300).contains(&answer.status) && answer.complete,
            },
            Err(_) => false,
        };
        if !sound {
            connection = Client::connect(front)?;
        }
    }
    Ok(broken)
}

fn run(record: &Record, fault: Fault) -> std::io::Result<bool> {
    let site = Site::start("spoilt-answers", record, (1, Duration::ZERO), fault)?;
    let threads: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (front, record) = (site.gateways[client % 2].ports.front, record.clone());
            std::thread::spawn(move || talk(front, client, &record))
        })
        .collect();
    let mut broken = 0;
    for thread in threads {
        broken += thread.join().map_err(|_| std::io::Error::other("a client failed"))??;
    }
    record.line(&format!("{} requests, the rule was broken {broken} times", REQUESTS * CLIENTS));
    Ok(broken == 0)
}

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let fault = match arguments.next().as_deref() {
        Some("lengths") => Fault::LengthBesideChunks(-12),
        Some("unsigned") => Fault::Unsigned,
        _ => return ExitCode::from(2),
    };
    let fault = if std::env::var("TROUBLE").as_deref() == Ok("0") { Fault::Sound } else { fault };
    let path = arguments.next().unwrap_or_else(|| "record.txt".to_owned());
    let Ok(record) = Record::create(&path) else { return ExitCode::from(2) };
    match run(&record, fault) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            record.line(&format!("the case could not run: {error}"));
            ExitCode::from(2)
        }
    }
}
