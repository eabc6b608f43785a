//! Clients upload bodies of the largest permitted size at the same time. The platform ends a
//! process whose memory exceeds `memory_mb`.

use std::fs;
use std::io::Write as _;
use std::path::Path;
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::client::Client;
use crate::record::Record;
use crate::system::{self, System};
use crate::worker::{Pace, Workers};
use crate::{exit, Case};

/// Clients that upload at the same time on a usual day, and the factor of a burst.
const UPLOADS: usize = 40;
const BURST: f64 = 1.7;
/// `max_body_bytes` of the configuration, and the time in which a client sends that much.
const BODY_BYTES: usize = 4_194_304;
const UPLOAD_TIME: Duration = Duration::from_secs(3);
const PARTS: usize = 64;
/// `limits.memory_mb` of the settings.
const MEMORY_KB: u64 = 260 * 1_024;
const OTHERS: usize = 12;
const DEADLINE_MS: u32 = 8_000;

/// Returns the resident memory of a process.
fn resident_kb(id: u32) -> u64 {
    let text = fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with("VmRSS:"));
    line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok()).unwrap_or(0)
}

pub fn run(case: &Case) -> ExitCode {
    let record = Record::create(&case.folder);
    let pace =
        Pace { events: 28, gap: Duration::from_millis(100), work: Duration::from_millis(300) };
    let workers = Workers::new(pace, &record);
    let list: Vec<_> =
        (0..8).map(|n| (format!("i-worker{n}"), system::free_address(50 + n))).collect();
    list.iter().for_each(|(id, address)| workers.start(id, *address));
    let mut system = System::start(3, Path::new(&case.program));
    system.configure(&list);
    if !system.wait_ready() {
        return ExitCode::from(exit::NOT_RUN);
    }
    thread::sleep(Duration::from_secs(4));
    let (address, id) = (system.gateways[0].client, system.gateways[0].process.id());
    let over = Arc::new(AtomicBool::new(false));
    let stop = Arc::new(AtomicBool::new(false));
    let peak = Arc::new(AtomicU64::new(0));
    // Small requests of other clients, on kept connections.
    let others: Vec<_> = (0..OTHERS)
        .map(|number| {
            let (record, stop) = (record.clone(), stop.clone());
            thread::spawn(move || {
                let (mut sent, mut lost) = (0, Vec::new());
                let Ok(mut client) = Client::connect(address) else { return (sent, lost) };
                while !stop.load(Ordering::Relaxed) {
                    let id = format!("small-{number}-{sent}");
                    if client.send("POST", "/tile/1", &id, DEADLINE_MS, b"{}").is_err() {
                        break;
                    }
                    record.line(&format!("sent request={id}"));
                    sent += 1;
                    let answer = client.read();
                    if !answer.whole {
                        record.line(&format!("no answer request={id} error={:?}", answer.error));
                        lost.push(id);
                        break;
                    }
                }
                (sent, lost)
            })
        })
        .collect();
    let count = if case.trouble { (UPLOADS as f64 * BURST) as usize } else { UPLOADS };
    record.line(&format!("{count} clients begin to upload {BODY_BYTES} bytes each"));
    let uploads: Vec<_> = (0..count)
        .map(|number| {
            let record = record.clone();
            thread::spawn(move || {
                let id = format!("upload-{number}");
                let mut client = Client::connect(address).ok()?;
                client.begin("POST", "/tile/1", &id, DEADLINE_MS, BODY_BYTES).ok()?;
                let part = vec![b'x'; BODY_BYTES / PARTS];
                record.line(&format!("upload begins request={id}"));
                for _ in 0..PARTS {
                    client.writer().write_all(&part).ok()?;
                    thread::sleep(UPLOAD_TIME / PARTS as u32);
                }
                let answer = client.read();
                record.line(&format!(
                    "answered request={id} status={} whole={}",
                    answer.status, answer.whole
                ));
                Some(answer.status)
            })
        })
        .collect();
    // The platform ends a process that exceeds its memory.
    let begun = Instant::now();
    while begun.elapsed() < UPLOAD_TIME * 3 && !over.load(Ordering::Relaxed) {
        let resident = resident_kb(id);
        if resident > peak.load(Ordering::Relaxed) {
            peak.store(resident, Ordering::Relaxed);
        }
        if resident > MEMORY_KB {
            over.store(true, Ordering::Relaxed);
            record.line(&format!("memory_kb={resident} limit_kb={MEMORY_KB}: the platform kills"));
            system.gateways[0].process.kill().ok();
        }
        thread::sleep(Duration::from_millis(5));
    }
    stop.store(true, Ordering::Relaxed);
    let statuses: Vec<_> = uploads.into_iter().filter_map(|task| task.join().ok()).collect();
    let served = statuses.iter().filter(|status| **status == Some(200)).count();
    let mut lost = Vec::new();
    for task in others {
        lost.extend(task.join().map(|(_, lost)| lost).unwrap_or_default());
    }
    let runs = workers.runs.lock().unwrap().clone();
    let passed_on = lost.iter().filter(|id| runs.iter().any(|run| run.id == **id)).count();
    let over = over.load(Ordering::Relaxed);
    let line = format!(
        "result over_limit={over} peak_mb={} uploads={count} served={served} lost_small={} passed_on={passed_on}",
        peak.load(Ordering::Relaxed) / 1_024,
        lost.len()
    );
    record.line(&line);
    println!("{line}");
    // LOST counts more than three requests that were passed on.
    ExitCode::from(if over && passed_on > 3 { exit::BROKEN } else { exit::HELD })
}
