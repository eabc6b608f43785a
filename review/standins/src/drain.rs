//! A gateway gets SIGTERM. Clients use connections that they opened before for streams which they
//! send a little more than three seconds after the signal.

use std::path::Path;
use std::process::ExitCode;
use std::thread;
use std::time::{Duration, Instant};

use crate::client::Client;
use crate::record::Record;
use crate::system::{self, System};
use crate::worker::{Pace, Workers};
use crate::{exit, Case};

const CLIENTS: u64 = 30;
const EARLY: usize = 4;
/// `grace_s`, and the time after the signal up to which RULES.md excuses a cut.
const GRACE: Duration = Duration::from_secs(8);
const EXCUSED: Duration = Duration::from_secs(3);
const DEADLINE: Duration = Duration::from_secs(8);

pub fn run(case: &Case) -> ExitCode {
    let record = Record::create(&case.folder);
    let pace =
        Pace { events: 60, gap: Duration::from_millis(100), work: Duration::from_millis(20) };
    let workers = Workers::new(pace, &record);
    let list: Vec<_> =
        (0..4).map(|n| (format!("i-worker{n}"), system::free_address(50 + n))).collect();
    list.iter().for_each(|(id, address)| workers.start(id, *address));
    let mut system = System::start(3, Path::new(&case.program));
    system.configure(&list);
    if !system.wait_ready() {
        record.line("not ready");
        return ExitCode::from(exit::NOT_RUN);
    }
    thread::sleep(Duration::from_secs(4));
    let address = system.gateways[0].client;
    let mut clients = Vec::new();
    for number in 0..CLIENTS {
        let Ok(mut client) = Client::connect(address) else {
            return ExitCode::from(exit::NOT_RUN);
        };
        let id = format!("before-{number}");
        if client.send("GET", "/tide/1", &id, 3_000, b"").is_err() || client.read().status != 200 {
            record.line("a request before the signal was not served");
            return ExitCode::from(exit::NOT_RUN);
        }
        clients.push(client);
    }
    record.line("30 connections opened and used once");
    // Streams that are in flight when the signal arrives.
    let early: Vec<_> = (0..EARLY)
        .map(|number| {
            let record = record.clone();
            thread::spawn(move || {
                let id = format!("early-{number}");
                let mut client = Client::connect(address).ok()?;
                client.send("POST", "/draft/1", &id, DEADLINE.as_millis() as u32, b"{}").ok()?;
                record.line(&format!("sent request={id}"));
                let answer = client.read();
                record.line(&format!(
                    "answered request={id} status={} whole={}",
                    answer.status, answer.whole
                ));
                Some(answer)
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(500));
    if case.trouble {
        system::signal(&system.gateways[0].process, "TERM");
    }
    let signalled = Instant::now();
    record.line(&format!("SIGTERM to {} sent={}", system.gateways[0].name, case.trouble));
    let tasks: Vec<_> = clients
        .into_iter()
        .enumerate()
        .map(|(number, mut client)| {
            let record = record.clone();
            thread::spawn(move || {
                let at = EXCUSED + Duration::from_millis(10 * (number as u64 + 1));
                thread::sleep((signalled + at).saturating_duration_since(Instant::now()));
                let id = format!("late-{number}");
                let begun = Instant::now();
                let sent = client.send("POST", "/draft/1", &id, DEADLINE.as_millis() as u32, b"{}");
                let after = begun.duration_since(signalled);
                record.line(&format!(
                    "sent request={id} after_signal_ms={} ok={}",
                    after.as_millis(),
                    sent.is_ok()
                ));
                let answer = client.read();
                let took = begun.elapsed();
                record.line(&format!(
                    "answered request={id} status={} whole={} bytes={} took_ms={} error={:?}",
                    answer.status,
                    answer.whole,
                    answer.body.len(),
                    took.as_millis(),
                    answer.error
                ));
                (id, after, took, answer)
            })
        })
        .collect();
    // The platform ends the process after the grace.
    if case.trouble {
        thread::sleep((signalled + GRACE).saturating_duration_since(Instant::now()));
        let process = &mut system.gateways[0].process;
        let ended = process.try_wait().is_ok_and(|status| status.is_some());
        record.line(&format!("grace over ended_by_itself={ended}"));
        process.kill().ok();
    }
    let answers: Vec<_> = tasks.into_iter().filter_map(|task| task.join().ok()).collect();
    thread::sleep(Duration::from_millis(300));
    let early_whole = early.into_iter().filter_map(|task| task.join().ok().flatten());
    let early_whole = early_whole.filter(|answer| answer.whole).count();
    record.line(&format!("streams in flight at the signal: {EARLY}, whole: {early_whole}"));
    let runs = workers.runs.lock().unwrap().clone();
    let mut lost = 0;
    for (id, after, took, answer) in &answers {
        let run = runs.iter().find(|run| run.id == *id);
        let counted = *after > EXCUSED && *after + *took < GRACE + Duration::from_secs(1);
        if !answer.whole && run.is_some() && counted && *took < DEADLINE {
            lost += 1;
            record.line(&format!(
                "LOST request={id} sent_after_signal_ms={} cut_after_signal_ms={} events={}",
                after.as_millis(),
                (*after + *took).as_millis(),
                run.map_or(0, |run| run.events)
            ));
        }
    }
    let whole = answers.iter().filter(|(.., answer)| answer.whole && answer.status == 200).count();
    let refused = answers.iter().filter(|(.., answer)| answer.status == 503).count();
    record.line(&format!("result lost={lost} whole={whole} refused={refused}"));
    println!("lost={lost} whole={whole} refused={refused}");
    ExitCode::from(if lost > 0 { exit::BROKEN } else { exit::HELD })
}
