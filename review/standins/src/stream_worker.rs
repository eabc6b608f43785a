//! Workers as processes of their own, which answer with streams of events.

use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash as _, Hasher as _};
use std::io::{BufRead as _, BufReader, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, ExitCode, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::child;
use crate::http;
use crate::record::Record;

/// Events of a stream.
pub const EVENTS: usize = 28;
/// Time between two events of a stream without a length, and of one with a length.
const GAP: Duration = Duration::from_millis(100);
const READY_GAP: Duration = Duration::from_millis(20);
/// A faulty worker breaks off one answer in this many.
const BREAKS_EACH: u64 = 20;

/// How a worker sends its streams.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    /// Without a length: the end of the connection is the end of the stream.
    Unframed,
    /// With a length.
    Length,
    /// With a length, and some of them broken off.
    LengthFaulty,
}

impl Mode {
    fn name(self) -> &'static str {
        match self {
            Mode::Unframed => "unframed",
            Mode::Length => "length",
            Mode::LengthFaulty => "length-faulty",
        }
    }

    fn read(name: &str) -> Mode {
        let all = [Mode::Unframed, Mode::Length, Mode::LengthFaulty];
        all.into_iter().find(|mode| mode.name() == name).expect("a known mode")
    }
}

/// Starts a worker as a process of its own, and records what it prints.
pub fn start(id: &str, address: SocketAddr, mode: Mode, record: &Record) -> Child {
    let own = std::env::current_exe().expect("the program has a path");
    let mut command = Command::new(own);
    command
        .args(["worker", id, &address.to_string(), mode.name()])
        .stdin(Stdio::null())
        .stdout(Stdio::piped());
    let mut process = child::start(&mut command).expect("the worker starts");
    let output = process.stdout.take().expect("the output is piped");
    let record = record.clone();
    thread::spawn(move || {
        BufReader::new(output).lines().map_while(Result::ok).for_each(|line| record.line(&line));
    });
    let end = Instant::now() + Duration::from_secs(5);
    while TcpStream::connect(address).is_err() && Instant::now() < end {
        thread::sleep(Duration::from_millis(10));
    }
    process
}

/// Ends the workers that it holds.
pub struct Processes(pub Vec<Child>);

impl Drop for Processes {
    fn drop(&mut self) {
        for process in &mut self.0 {
            process.kill().ok();
            process.wait().ok();
        }
    }
}

/// Runs a worker until it is killed.
pub fn run(id: &str, address: &str, mode: &str) -> ExitCode {
    static ANSWERS: AtomicU64 = AtomicU64::new(0);
    let address: SocketAddr = address.parse().expect("an address");
    let mode = Mode::read(mode);
    let listener = TcpListener::bind(address).expect("the worker's address is free");
    for stream in listener.incoming().flatten() {
        let id = id.to_owned();
        thread::spawn(move || {
            // A connection that ends early needs nothing more.
            serve(&id, stream, mode, &ANSWERS).unwrap_or_default();
        });
    }
    ExitCode::SUCCESS
}

/// Returns the text of an event. Each run of a worker words its answer anew, so that the lengths
/// differ.
fn event(worker: &str, request: &str, number: usize) -> String {
    let mut hasher = DefaultHasher::new();
    (worker, request, number).hash(&mut hasher);
    let words = "words ".repeat(2 + hasher.finish() as usize % 5);
    format!("id: {number}\ndata: {words}\n\n")
}

fn serve(
    worker: &str,
    mut stream: TcpStream,
    mode: Mode,
    answers: &AtomicU64,
) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    while let Some(head) = http::read_head(&mut reader)? {
        http::read_body(&mut reader, &head)?;
        let id = head.get("x-attempt-id").unwrap_or_default().to_owned();
        if head.get("x-expect-instance").is_some_and(|expected| expected != worker) {
            let headers = [("x-attempt-id", &*id), ("x-not-executed", "1")];
            http::answer(&mut stream, 421, &headers, b"")?;
            continue;
        }
        let first = head.get("last-event-id").and_then(|text| text.parse().ok()).unwrap_or(0) + 1;
        println!("run request={id} worker={worker} from_event={first}");
        let events: Vec<String> =
            (first..=EVENTS).map(|number| event(worker, &id, number)).collect();
        let length: usize = events.iter().map(String::len).sum();
        let framing = match mode {
            Mode::Unframed => "connection: close".to_owned(),
            Mode::Length | Mode::LengthFaulty => format!("content-length: {length}"),
        };
        write!(
            stream,
            "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n{framing}\r\n\
             x-attempt-id: {id}\r\nx-server-stamp: {worker}.{id}\r\n\r\n"
        )?;
        let number = answers.fetch_add(1, Ordering::Relaxed) + 1;
        let breaks = mode == Mode::LengthFaulty && number % BREAKS_EACH == 0;
        for (place, text) in events.iter().enumerate() {
            thread::sleep(if mode == Mode::Unframed { GAP } else { READY_GAP });
            if breaks && place == events.len() / 2 {
                println!(
                    "breaks off request={id} worker={worker} after_event={}",
                    first + place - 1
                );
                return Ok(());
            }
            if let Err(error) = stream.write_all(text.as_bytes()) {
                println!("left request={id} worker={worker} event={}", first + place);
                return Err(error);
            }
        }
        println!("ran request={id} worker={worker} whole=true length={length}");
        if mode == Mode::Unframed {
            return Ok(());
        }
    }
    Ok(())
}
