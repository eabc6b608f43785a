//! A worker that answers as PROTOCOL.md describes: whole answers, and streams of events in chunks.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::http::{self, Head};
use crate::record::Record;

/// What a worker saw of one request.
#[derive(Debug, Clone)]
pub struct Run {
    /// `X-Attempt-Id` of the request.
    pub id: String,
    /// Number of events written, and whether the whole answer was written.
    pub events: usize,
    pub whole: bool,
}

/// How a worker answers.
#[derive(Debug, Clone, Copy)]
pub struct Pace {
    /// Events of a stream, and the time between two of them.
    pub events: usize,
    pub gap: Duration,
    /// Time that a whole answer takes.
    pub work: Duration,
}

#[derive(Clone)]
pub struct Workers {
    pub runs: Arc<Mutex<Vec<Run>>>,
    pace: Pace,
    record: Record,
}

impl Workers {
    pub fn new(pace: Pace, record: &Record) -> Workers {
        Workers { runs: Arc::default(), pace, record: record.clone() }
    }

    /// Starts a worker.
    pub fn start(&self, id: &str, address: SocketAddr) {
        let listener = TcpListener::bind(address).expect("the worker's address is free");
        let (workers, id) = (self.clone(), id.to_owned());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (workers, id) = (workers.clone(), id.clone());
                std::thread::spawn(move || workers.serve(&id, stream));
            }
        });
    }

    fn serve(&self, id: &str, stream: TcpStream) {
        stream.set_nodelay(true).ok();
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(head)) = http::read_head(&mut reader) {
            if http::read_body(&mut reader, &head).is_err() {
                return;
            }
            if self.answer(id, &head, &mut writer).is_err() {
                return;
            }
        }
    }

    fn answer(&self, worker: &str, head: &Head, writer: &mut TcpStream) -> std::io::Result<()> {
        let path = head.line.get(1).cloned().unwrap_or_default();
        if path == "/healthz" {
            return http::answer(writer, 200, &[("x-instance-id", worker)], b"");
        }
        let id = head.get("x-attempt-id").unwrap_or_default().to_owned();
        let stamp = format!("{worker}.{id}");
        if head.get("x-expect-instance").is_some_and(|expected| expected != worker) {
            let headers = [("x-attempt-id", &*id), ("x-not-executed", "1")];
            return http::answer(writer, 421, &headers, b"");
        }
        let place = {
            let mut runs = self.runs.lock().unwrap();
            runs.push(Run { id: id.clone(), events: 0, whole: false });
            runs.len() - 1
        };
        self.record.line(&format!("run request={id} worker={worker} path={path}"));
        let result = if path.starts_with("/draft/") {
            self.stream(&id, &stamp, writer, place)
        } else {
            std::thread::sleep(self.pace.work);
            let headers = [("x-attempt-id", &*id), ("x-server-stamp", &*stamp)];
            http::answer(writer, 200, &headers, format!("answer to {id}").as_bytes())
        };
        let mut runs = self.runs.lock().unwrap();
        runs[place].whole = result.is_ok();
        let (whole, events) = (runs[place].whole, runs[place].events);
        drop(runs);
        self.record
            .line(&format!("ran request={id} worker={worker} whole={whole} events={events}"));
        result
    }

    fn stream(
        &self,
        id: &str,
        stamp: &str,
        writer: &mut TcpStream,
        place: usize,
    ) -> std::io::Result<()> {
        write!(
            writer,
            "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\
             x-attempt-id: {id}\r\nx-server-stamp: {stamp}\r\n\r\n"
        )?;
        for event in 1..=self.pace.events {
            std::thread::sleep(self.pace.gap);
            let text = format!("id: {event}\ndata: event {event} of {id}\n\n");
            write!(writer, "{:x}\r\n{text}\r\n", text.len())?;
            self.runs.lock().unwrap()[place].events = event;
        }
        writer.write_all(b"0\r\n\r\n")
    }
}
