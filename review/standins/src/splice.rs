//! Some workers break off one answer in twenty. The gateway has another worker resume the stream.
//! The workers' streams have a length.

use std::path::Path;
use std::process::ExitCode;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::client::Client;
use crate::record::Record;
use crate::stream_worker::{self, Mode, Processes, EVENTS};
use crate::system::{self, System};
use crate::{exit, Case};

const WORKERS: u8 = 5;
/// Number of workers that break off answers.
const FAULTY: u8 = 3;
const STREAMS: usize = 300;
const CLIENTS: usize = 30;
const DEADLINE_MS: u32 = 8_000;

pub fn run(case: &Case) -> ExitCode {
    let record = Record::create(&case.folder);
    let (mut workers, mut list) = (Processes(Vec::new()), Vec::new());
    for number in 0..WORKERS {
        let (id, address) = (format!("i-worker{number}"), system::free_address(50 + number));
        let faulty = case.trouble && number < FAULTY;
        let mode = if faulty { Mode::LengthFaulty } else { Mode::Length };
        workers.0.push(stream_worker::start(&id, address, mode, &record));
        list.push((id, address));
    }
    let system = System::start(3, Path::new(&case.program));
    system.configure(&list);
    if !system.wait_ready() {
        record.line("not ready");
        return ExitCode::from(exit::NOT_RUN);
    }
    thread::sleep(Duration::from_secs(4));
    let next = Arc::new(AtomicUsize::new(0));
    let tasks: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let address = system.gateways[number % system.gateways.len()].client;
            let (record, next) = (record.clone(), next.clone());
            thread::spawn(move || {
                let (mut whole, mut cut, mut short) = (0, 0, 0);
                loop {
                    let stream = next.fetch_add(1, Ordering::Relaxed);
                    if stream >= STREAMS {
                        return (whole, cut, short);
                    }
                    let id = format!("stream-{stream}");
                    let Ok(mut client) = Client::connect(address) else { continue };
                    record.line(&format!("sent request={id}"));
                    if client.send("POST", "/draft/1", &id, DEADLINE_MS, b"{}").is_err() {
                        continue;
                    }
                    let answer = client.read();
                    let text = String::from_utf8_lossy(&answer.body).into_owned();
                    let events = text.matches("\n\n").count();
                    record.line(&format!(
                        "answered request={id} status={} whole={} events={events} length={} bytes={}",
                        answer.status,
                        answer.whole,
                        answer.head.get("content-length").unwrap_or("-"),
                        answer.body.len()
                    ));
                    match (answer.status == 200 && answer.whole, events == EVENTS) {
                        (true, true) => whole += 1,
                        (true, false) => {
                            short += 1;
                            let end: String =
                                text.chars().skip(text.len().saturating_sub(24)).collect();
                            record.line(&format!(
                                "ORDER request={id} ended as complete after {events} of {EVENTS} \
                                 events, the last bytes are {end:?}"
                            ));
                        }
                        (false, _) => cut += 1,
                    }
                }
            })
        })
        .collect();
    let (mut whole, mut cut, mut short) = (0, 0, 0);
    for (one, two, three) in tasks.into_iter().filter_map(|task| task.join().ok()) {
        (whole, cut, short) = (whole + one, cut + two, short + three);
    }
    let line = format!("result ended_early_as_complete={short} whole={whole} not_whole={cut}");
    record.line(&line);
    println!("{line}");
    ExitCode::from(if short > 0 {
        exit::BROKEN
    } else if whole == 0 {
        exit::NOT_RUN
    } else {
        exit::HELD
    })
}
