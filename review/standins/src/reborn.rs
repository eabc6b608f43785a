//! A worker is cut off from the gateways for a second and a half. It crashes behind the cut and
//! starts again. Its streams have no length, so that only their connections mark their ends.

use std::io::{Read as _, Write as _};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::ExitCode;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::Client;
use crate::record::Record;
use crate::stream_worker::{self, Mode, Processes, EVENTS};
use crate::system::{self, System};
use crate::{exit, Case};

const STREAMS: usize = 16;
const WORKERS: u8 = 4;
/// When the cut begins after the streams, and how long it lasts.
const CUT_AT: Duration = Duration::from_millis(900);
const CUT: Duration = Duration::from_millis(1_500);
/// When the worker crashes after the cut began, and how long it is down.
const CRASH_AT: Duration = Duration::from_millis(250);
const DOWN: Duration = Duration::from_millis(500);
/// When the new incarnation's first heartbeat reaches the store after the cut. Heartbeats are
/// `beat_ms` = 1,200 ms apart.
const FIRST_BEAT: Duration = Duration::from_millis(600);
const DEADLINE_MS: u32 = 8_000;

/// A link that can be cut: what arrives meanwhile is delivered after the cut, as TCP does.
#[derive(Clone, Default)]
struct Link {
    cut: Arc<(Mutex<bool>, Condvar)>,
}

impl Link {
    fn set_cut(&self, cut: bool) {
        *self.cut.0.lock().unwrap() = cut;
        self.cut.1.notify_all();
    }

    fn wait(&self) {
        let mut cut = self.cut.0.lock().unwrap();
        while *cut {
            cut = self.cut.1.wait(cut).unwrap();
        }
    }

    /// Forwards connections from one address to another.
    fn start(&self, from: SocketAddr, to: SocketAddr) {
        let listener = TcpListener::bind(from).expect("the link's address is free");
        let link = self.clone();
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let link = link.clone();
                thread::spawn(move || {
                    link.wait();
                    let Ok(far) = TcpStream::connect(to) else { return };
                    let (Ok(near_half), Ok(far_half)) = (near.try_clone(), far.try_clone()) else {
                        return;
                    };
                    let back = link.clone();
                    thread::spawn(move || back.forward(far_half, near_half));
                    link.forward(near, far);
                });
            }
        });
    }

    /// Forwards one direction, with its end.
    fn forward(&self, mut from: TcpStream, mut to: TcpStream) {
        to.set_nodelay(true).ok();
        let mut buffer = [0; 16 * 1_024];
        loop {
            let count = from.read(&mut buffer);
            self.wait();
            match count {
                Ok(count) if count > 0 => {
                    if to.write_all(&buffer[..count]).is_err() {
                        from.shutdown(Shutdown::Both).ok();
                        return;
                    }
                }
                // An orderly end is passed on as one.
                Ok(_) => {
                    to.shutdown(Shutdown::Write).ok();
                    return;
                }
                Err(_) => {
                    to.shutdown(Shutdown::Both).ok();
                    return;
                }
            }
        }
    }
}

pub fn run(case: &Case) -> ExitCode {
    let record = Record::create(&case.folder);
    let (link, mut workers, mut list) = (Link::default(), Processes(Vec::new()), Vec::new());
    let mut first = None;
    for number in 0..WORKERS {
        let id = format!("i-worker{number}");
        let address = system::free_address(50 + number);
        if number == 0 {
            let listed = system::free_address(70);
            link.start(listed, address);
            first = Some((address, listed));
            list.push((id.clone(), listed));
        } else {
            list.push((id.clone(), address));
        }
        workers.0.push(stream_worker::start(&id, address, Mode::Unframed, &record));
    }
    let (address, listed) = first.expect("there is a first worker");
    let system = System::start(3, Path::new(&case.program));
    system.configure(&list);
    if !system.wait_ready() {
        record.line("not ready");
        return ExitCode::from(exit::NOT_RUN);
    }
    thread::sleep(Duration::from_secs(4));
    let begun = Instant::now();
    let tasks: Vec<_> = (0..STREAMS)
        .map(|number| {
            let gateway = &system.gateways[number % system.gateways.len()];
            let (address, name, record) = (gateway.client, gateway.name.clone(), record.clone());
            thread::spawn(move || {
                let id = format!("stream-{number}");
                let mut client = Client::connect(address).ok()?;
                record.line(&format!("sent request={id} gateway={name}"));
                client.send("POST", "/draft/1", &id, DEADLINE_MS, b"{}").ok()?;
                let answer = client.read();
                let text = String::from_utf8_lossy(&answer.body).into_owned();
                let events = text.matches("\n\n").count();
                let stamp = answer.head.get("x-server-stamp").unwrap_or("-").to_owned();
                record.line(&format!(
                    "answered request={id} status={} whole={} events={events} stamp={stamp}",
                    answer.status, answer.whole
                ));
                Some((id, answer, events, stamp))
            })
        })
        .collect();
    let at = |time: Duration| {
        thread::sleep((begun + time).saturating_duration_since(Instant::now()));
    };
    if case.trouble {
        at(CUT_AT);
        link.set_cut(true);
        record.line("i-worker0 is cut off from the gateways and the store");
        at(CUT_AT + CRASH_AT);
        workers.0[0].kill().ok();
        workers.0[0].wait().ok();
        record.line("i-worker0 crashed behind the cut (SIGKILL)");
        at(CUT_AT + CRASH_AT + DOWN);
        workers.0[0] = stream_worker::start("i-worker0b", address, Mode::Unframed, &record);
        record.line("it started again as i-worker0b");
        at(CUT_AT + CUT);
        link.set_cut(false);
        record.line("the cut is over");
        at(CUT_AT + CUT + FIRST_BEAT);
        system.put_worker("i-worker0b", listed, 0);
        record.line("the first heartbeat of i-worker0b is in the store");
    }
    let answers: Vec<_> = tasks.into_iter().filter_map(|task| task.join().ok().flatten()).collect();
    let mut short = 0;
    let mut whole = 0;
    for (id, answer, events, stamp) in &answers {
        if !answer.whole || answer.status != 200 {
            continue;
        }
        if *events == EVENTS {
            whole += 1;
        } else {
            short += 1;
            record.line(&format!(
                "ORDER request={id} ended as complete after {events} of {EVENTS} events, stamp={stamp}"
            ));
        }
    }
    let line = format!("result ended_early_as_complete={short} whole={whole} of={STREAMS}");
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
