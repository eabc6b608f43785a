//! A worker: answers requests with streams of events, and keeps itself in the store.

use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use crate::http::{self, Head};
use crate::record::Record;
use crate::store::Store;

/// Slots of a worker; no case fills them.
const SLOTS: u32 = 12;

pub struct Worker {
    pub id: String,
    pub service: String,
    pub zone: String,
    /// Events of a stream, and the time between two of them.
    pub stream: (u32, Duration),
    pub record: Record,
    /// Number of answers other than streams.
    pub answered: AtomicU64,
    /// Fault of some of these answers.
    pub fault: Fault,
}

/// How a faulty worker hands out wrong bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    Sound,
    /// An answer in chunks has a length beside them, by this much other than that of its body.
    LengthBesideChunks(isize),
    /// An answer without a signature.
    Unsigned,
}

/// One answer of so many is faulty.
pub const FAULTY_OF: u64 = 20;

impl Worker {
    pub fn start(self, store: &Store) -> io::Result<Arc<Worker>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let worker = Arc::new(self);
        worker.list(store, address);
        let serving = worker.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let worker = serving.clone();
                std::thread::spawn(move || worker.serve(stream).unwrap_or_default());
            }
        });
        Ok(worker)
    }

    /// Writes the worker's entry. Heartbeats change nothing but `seq`, and the entry changes only
    /// with more than that.
    fn list(&self, store: &Store, address: SocketAddr) {
        let (service, zone) = (&self.service, &self.zone);
        let entry = format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
             \"version\":\"v1\",\"slots\":{SLOTS},\"state\":\"ready\",\"cold_left_ms\":0,\"seq\":0}}"
        );
        store.put(&format!("servers/{}", self.id), &entry);
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut writer = stream;
        while let Some(head) = http::read_head(&mut reader)? {
            http::read_body(&mut reader, &head)?;
            let expected = head.get("x-expect-instance");
            if head.first.starts_with("GET /healthz ") {
                let head = format!(
                    "HTTP/1.1 200 OK\r\nX-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                    self.id
                );
                writer.write_all(head.as_bytes())?;
            } else if expected.is_some_and(|id| id != self.id) {
                writer.write_all(
                    b"HTTP/1.1 421 -\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
                )?;
            } else {
                self.run(&head, &mut writer)?;
            }
        }
        Ok(())
    }

    fn run(&self, head: &Head, writer: &mut TcpStream) -> io::Result<()> {
        let id = head.get("x-attempt-id").unwrap_or("-").to_owned();
        let deadline = head.get("x-deadline-ms").unwrap_or("-").to_owned();
        self.record.line(&format!("worker {} runs {id} deadline_ms={deadline}", self.id));
        let written = self.answer(head, &id, writer);
        let end = match &written {
            Ok(()) => "to its end".to_owned(),
            Err(error) => format!("until the connection failed: {error}"),
        };
        self.record.line(&format!("worker {} ran {id} {end}", self.id));
        written
    }

    fn answer(&self, head: &Head, id: &str, writer: &mut TcpStream) -> io::Result<()> {
        let stamp = format!("X-Server-Stamp: stamp.{}.{id}\r\n", self.id);
        let common = format!("X-Attempt-Id: {id}\r\n{stamp}");
        if !head.first.contains(" /aviso/") {
            let number = self.answered.fetch_add(1, Ordering::SeqCst) + 1;
            let fault = if number % FAULTY_OF == 0 { self.fault } else { Fault::Sound };
            return self.answer_short(id, &stamp, fault, writer);
        }
        let text = format!(
            "HTTP/1.1 200 OK\r\n{common}Content-Type: text/event-stream\r\n\
             Transfer-Encoding: chunked\r\n\r\n"
        );
        writer.write_all(text.as_bytes())?;
        let (events, pause) = self.stream;
        for number in 1..=events {
            std::thread::sleep(pause);
            let event = format!("id: {number}\ndata: part {number} of {events} of {id}\n\n");
            writer.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        }
        writer.write_all(b"0\r\n\r\n")
    }

    fn answer_short(
        &self,
        id: &str,
        stamp: &str,
        fault: Fault,
        writer: &mut TcpStream,
    ) -> io::Result<()> {
        let body = body_of(id);
        let length = body.len();
        let (mut stamp, mut framing) = (stamp, format!("Content-Length: {length}\r\n"));
        let mut bytes = body.clone();
        match fault {
            Fault::Sound => {}
            Fault::LengthBesideChunks(more) => {
                let wrong = length.saturating_add_signed(more);
                framing = format!("Transfer-Encoding: chunked\r\nContent-Length: {wrong}\r\n");
                bytes = format!("{length:x}\r\n{body}\r\n0\r\n\r\n");
            }
            Fault::Unsigned => stamp = "",
        }
        if fault != Fault::Sound {
            self.record.line(&format!("worker {} spoils the answer to {id}: {fault:?}", self.id));
        }
        let text = format!("HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\n{stamp}{framing}\r\n{bytes}");
        writer.write_all(text.as_bytes())
    }
}

/// Returns the whole body that a worker gives for a request.
pub fn body_of(id: &str) -> String {
    format!("tide table for request {id}, whole")
}
