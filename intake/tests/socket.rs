//! The bound on bytes that carry nothing, and the turns of other tasks.

#![allow(clippy::unwrap_used, reason = "a test that fails may panic")]

use std::time::Duration;

use loftcove_clock as clock;
use loftcove_intake::count::{self, Peer};
use loftcove_intake::{BURST, Bound, Excess, Socket, excess};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};

const BUFFER: usize = 1_000;

#[tokio::test]
async fn a_connection_fails_once_too_many_bytes_carry_nothing() {
    let closed = count::closed(Peer::STORE);
    let bound = Bound::new(BUFFER, Peer::STORE);
    let (mut sender, receiver) = tokio::io::duplex(1 << 20);
    let meter = bound.meter("a");
    let mut socket = Socket::new(receiver, meter.clone());
    let bytes = bound.bytes() as usize;
    sender.write_all(&vec![0; 3 * bytes]).await.unwrap();
    let mut buffer = vec![0; bytes];
    socket.read_exact(&mut buffer).await.unwrap();
    meter.record_use();
    socket.read_exact(&mut buffer).await.unwrap();
    assert!(!meter.exceeded());
    for _ in 0..2 {
        let error = socket.read(&mut buffer).await.unwrap_err();
        assert!(matches!(excess(&error), Some(Excess(read)) if read > bytes as u64), "{error}");
    }
    assert_eq!((meter.exceeded(), closed.get()), (true, 1));
}

#[tokio::test(flavor = "current_thread")]
async fn other_tasks_run_while_bytes_are_available() {
    let (mut sender, receiver) = tokio::io::duplex(8 * BURST);
    let mut socket = Socket::new(receiver, Bound::new(8 * BURST, Peer::CLIENT).meter("a"));
    sender.write_all(&vec![0; 8 * BURST]).await.unwrap();
    let turns = std::sync::Arc::new(std::sync::atomic::AtomicUsize::new(0));
    let counted = turns.clone();
    let other = tokio::spawn(async move {
        loop {
            counted.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
            tokio::task::yield_now().await;
        }
    });
    let mut buffer = vec![0; BURST / 8];
    for _ in 0..64 {
        socket.read_exact(&mut buffer).await.unwrap();
    }
    assert!(turns.load(std::sync::atomic::Ordering::Relaxed) >= 7);
    other.abort();
}

/// Guards against an idle HTTP/2 connection that its probes use up, and against a sender whose peer's
/// windows do.
#[tokio::test]
async fn control_frames_are_allowed_for_by_time_and_by_what_was_sent() {
    let strict = Bound::new(20 * BUFFER, Peer::PROCESS);
    let bound = strict.with_control_frames();
    let meters = [strict.meter("a"), bound.meter("a")];
    for _ in 0..100 {
        clock::simulate_suspension(Duration::from_secs(800));
        for meter in &meters {
            // Each side sends a probe each 0.8 s.
            meter.record_bytes(2 * 17 * 1_000).ok();
        }
    }
    assert_eq!(meters.map(|meter| meter.exceeded()), [true, false]);

    let (_peer, end) = tokio::io::duplex(1 << 30);
    let mut socket = Socket::new(end, bound.meter("a"));
    for _ in 0..1_000 {
        socket.write_all(&[0; 64 * 1024]).await.unwrap();
        socket.meter().record_bytes(2 * 26).unwrap();
    }
    let rest = socket.meter().record_bytes(2 * bound.bytes() as usize);
    assert!(rest.is_err());
}
