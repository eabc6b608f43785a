//! Messages between processes and the account of descriptors.

#![allow(clippy::unwrap_used, reason = "a test that fails may panic")]

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::{FutureExt as _, StreamExt as _, stream};
use http_body::Frame;
use http_body_util::{BodyExt as _, Empty, StreamBody};
use loftcove_intake::connections;
use loftcove_intake::descriptors::{self, Share};
use loftcove_intake::memory::{Account, SMALL, STALL};
use loftcove_intake::message::{Body, Held, Reply};
use prometheus_client::encoding::text::encode;
use prometheus_client::registry::Registry;
use tonic::{Code, Status};

const MB: usize = 1 << 20;
/// Size of a message of which an account of [`CAPACITY`] holds one at a time.
const LARGE: usize = 3 * MB;
const CAPACITY: usize = 8 * MB;
/// Number of times that a process holds a message.
const COPIES: usize = 2;
/// Time within which a decision is made, also on a busy machine.
const SOON: Duration = Duration::from_secs(10);

type Frames = stream::BoxStream<'static, Result<Frame<Bytes>, Status>>;
type Inner = StreamBody<Frames>;

/// Returns the bytes of a message that announces `size` bytes and has the first `sent` of them.
fn message(size: usize, sent: usize) -> Vec<u8> {
    let length = u32::try_from(size).unwrap().to_be_bytes();
    [&[0], &length[..], &vec![1; sent]].concat()
}

/// Returns frames of this data.
fn frames(data: &[u8]) -> Frames {
    let pieces: Vec<_> = data.chunks(16 * 1024).map(Bytes::copy_from_slice).collect();
    stream::iter(pieces).map(|piece| Ok(Frame::data(piece))).boxed()
}

/// Returns a body of this data that ends.
fn whole(data: &[u8]) -> Inner {
    StreamBody::new(frames(data))
}

/// Returns a body of this data that does not end.
fn stalled(data: &[u8]) -> Inner {
    StreamBody::new(frames(data).chain(stream::pending()).boxed())
}

/// Returns what a request on a connection holds.
fn held(account: &Account) -> Arc<Held> {
    let state = Arc::<connections::State>::default();
    Held::new(account, Some(state.begin()))
}

/// Reads a body to its end. Returns its number of bytes.
async fn read(body: &mut Body<Inner>) -> Result<usize, Status> {
    let mut bytes = 0;
    while let Some(frame) = body.frame().await {
        bytes += frame?.data_ref().map_or(0, Bytes::len);
    }
    Ok(bytes)
}

/// Starts to read a request, which is dropped when it fails.
fn spawn(account: &Account, inner: Inner) -> tokio::task::JoinHandle<Result<usize, Status>> {
    let mut body = Body::request(inner, held(account));
    tokio::spawn(async move { read(&mut body).await })
}

async fn until_held(account: &Account, bytes: usize) {
    let reached = async {
        while account.held() != bytes {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let reached = tokio::time::timeout(SOON, reached).await;
    assert!(reached.is_ok(), "{} of {bytes} bytes", account.held());
}

/// Checks that a request without progress is given up for a whole one of the same size.
async fn check_given_up(inner: Inner) {
    let account = Account::new(CAPACITY);
    let first = spawn(&account, inner);
    until_held(&account, LARGE * COPIES).await;
    tokio::time::sleep(STALL + Duration::from_millis(100)).await;
    assert!(!first.is_finished());
    let second = spawn(&account, whole(&message(LARGE, LARGE)));
    let first = tokio::time::timeout(SOON, first).await.expect("it is given up").unwrap();
    assert_eq!(first.unwrap_err().code(), Code::ResourceExhausted);
    assert_eq!(second.await.unwrap().unwrap(), LARGE + 5);
    assert_eq!(account.held(), 0);
}

// Guards against messages that are read without memory for them, or that wait for it without end.
#[tokio::test]
async fn a_message_is_refused_after_a_bounded_time_when_the_account_is_full() {
    let account = Account::new(CAPACITY);
    let others = account.try_hold(LARGE * COPIES).unwrap();
    let start = Instant::now();
    let mut body = Body::request(whole(&message(LARGE, LARGE)), held(&account));
    let error = tokio::time::timeout(SOON, read(&mut body)).await.unwrap().unwrap_err();
    assert_eq!(error.code(), Code::ResourceExhausted);
    assert!(start.elapsed() >= Duration::from_millis(200), "{:?}", start.elapsed());
    drop(body);
    assert_eq!(account.held(), others.bytes());
}

// Guards against a message that is refused although there is memory for it in time.
#[tokio::test]
async fn a_message_waits_for_memory() {
    let account = Account::new(CAPACITY);
    let others = account.try_hold(LARGE * COPIES).unwrap();
    let body = spawn(&account, whole(&message(LARGE, LARGE)));
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert!(!body.is_finished());
    drop(others);
    assert_eq!(body.await.unwrap().unwrap(), LARGE + 5);
}

// Guards against messages that stall and keep the memory from all others.
#[tokio::test]
async fn a_message_without_progress_is_given_up_for_another() {
    check_given_up(stalled(&message(LARGE, LARGE - 1))).await;
}

// Guards against the same by a complete message whose request does not end: a handler is called at
// the end of the request.
#[tokio::test]
async fn a_request_that_does_not_end_after_its_message_is_given_up_for_another() {
    check_given_up(stalled(&message(LARGE, LARGE))).await;
}

// Guards against the same by a second message of a request.
#[tokio::test]
async fn a_second_message_without_progress_is_given_up_for_another() {
    let data = [message(0, 0), message(LARGE, LARGE / 2)].concat();
    // The pieces of a body may also end where a message does.
    let pieces = frames(&message(0, 0)).chain(frames(&message(LARGE, LARGE / 2)));
    check_given_up(StreamBody::new(pieces.chain(stream::pending()).boxed())).await;
    check_given_up(stalled(&data)).await;
}

// Guards against a request that is refused while it is served.
#[tokio::test]
async fn a_request_that_has_ended_is_not_given_up() {
    let data = message(LARGE, LARGE);
    let trailers = stream::iter([Ok(Frame::trailers(http::HeaderMap::new()))]);
    for inner in [whole(&data), StreamBody::new(frames(&data).chain(trailers).boxed())] {
        let account = Account::new(CAPACITY);
        let held = held(&account);
        let mut body = Body::request(inner, held.clone());
        while let Some(frame) = body.frame().await {
            if frame.unwrap().is_trailers() {
                break;
            }
        }
        drop(body);
        tokio::time::sleep(STALL + Duration::from_millis(100)).await;
        let error = spawn(&account, whole(&data)).await.unwrap().unwrap_err();
        assert_eq!(error.code(), Code::ResourceExhausted);
        assert_eq!(account.held(), LARGE * COPIES);
        let mut registry = Registry::default();
        account.register(&mut registry);
        let mut text = String::new();
        encode(&mut text, &registry).unwrap();
        assert!(text.contains("bodies_given_up_total 0\n"), "{text}");
    }
}

// Guards against a message over the limit that takes memory, or that waits for it.
#[tokio::test]
async fn a_message_over_the_limit_is_refused_at_once() {
    let account = Account::new(CAPACITY);
    let _others = account.try_hold(LARGE * COPIES).unwrap();
    for size in [4 * MB + 1, u32::MAX as usize] {
        let mut body = Body::request(stalled(&message(size, 1)), held(&account));
        let error = read(&mut body).now_or_never().expect("no wait").unwrap_err();
        assert_eq!(error.code(), Code::OutOfRange);
        drop(body);
        assert_eq!(account.held(), LARGE * COPIES);
    }
}

// Guards against memory that is given back before the response is sent, or never.
#[tokio::test]
async fn the_memory_of_a_request_is_given_back_when_its_call_ends() {
    let account = Account::new(CAPACITY);
    let held = held(&account);
    let reply = Reply::new(Empty::<Bytes>::new(), held.clone());
    let mut body = Body::request(whole(&message(LARGE, LARGE)), held);
    assert_eq!(read(&mut body).await.unwrap(), LARGE + 5);
    drop(body);
    assert_eq!(account.held(), LARGE * COPIES);
    drop(reply);
    assert_eq!(account.held(), 0);
    // The peer resets the call in the middle of its message.
    let mut body = Body::request(stalled(&message(LARGE, MB)), self::held(&account));
    assert!(read(&mut body).now_or_never().is_none());
    assert_eq!(account.held(), LARGE * COPIES);
    drop(body);
    assert_eq!(account.held(), 0);
}

// Guards against a stream of responses that holds the memory of all its messages.
#[tokio::test]
async fn a_stream_of_responses_holds_one_message_at_a_time() {
    let account = Account::new(CAPACITY);
    let data = message(LARGE, LARGE).repeat(4);
    let mut body = Body::response(whole(&data), Held::new(&account, None));
    let mut bytes = 0;
    while let Some(frame) = body.frame().await {
        bytes += frame.unwrap().data_ref().unwrap().len();
        assert!(account.held() <= LARGE * COPIES, "{}", account.held());
    }
    assert_eq!(bytes, data.len());
    drop(body);
    assert_eq!(account.held(), 0);
}

// Guards against large messages that keep small ones out, such as the orders of a driver.
#[tokio::test]
async fn a_small_message_fits_when_large_ones_fill_the_account() {
    let account = Account::new(CAPACITY);
    let mut large = Vec::new();
    while large.len() < 100 {
        let mut body = Body::request(stalled(&message(MB, 1)), held(&account));
        let refused = read(&mut body).now_or_never().is_some();
        // One that waits holds no more than a frame.
        if refused || account.held() < COPIES * MB * (large.len() + 1) {
            break;
        }
        large.push(body);
    }
    assert_eq!(large.len(), 3);
    let mut body = Body::request(whole(&message(SMALL, SMALL)), held(&account));
    let read = read(&mut body).now_or_never().expect("no wait");
    assert_eq!(read.unwrap(), SMALL + 5);
    assert!(account.held() <= account.capacity());
}

// Guards against clients that keep the messages of other processes out.
#[tokio::test]
async fn a_small_message_fits_when_clients_fill_the_account() {
    let account = Account::of_process(64 * MB, 0);
    let mut clients = Vec::new();
    clients.extend(std::iter::from_fn(|| account.try_hold(SMALL)));
    clients.extend(std::iter::from_fn(|| account.try_hold(1)).take(SMALL));
    assert!(account.try_hold(SMALL).is_none());
    let mut request = Body::request(whole(&message(SMALL, SMALL)), held(&account));
    let mut response = Body::response(whole(&message(SMALL, SMALL)), Held::new(&account, None));
    for body in [&mut request, &mut response] {
        let read = read(body).now_or_never().expect("no wait");
        assert_eq!(read.unwrap(), SMALL + 5);
    }
}

// Guards against messages that take the part for messages without end.
#[tokio::test]
async fn messages_do_not_exceed_the_account_and_the_part_for_messages() {
    let memory = 64 * MB;
    let account = Account::of_process(memory, 0);
    let mut bodies = Vec::new();
    for number in 0..2_000 {
        let size = if number % 3 == 0 { MB } else { SMALL };
        let mut body = Body::request(stalled(&message(size, 1)), held(&account));
        let refused = read(&mut body).now_or_never();
        assert!(refused.is_none(), "{refused:?}");
        bodies.push(body);
    }
    // A 32nd part is for messages.
    assert!(account.held() <= account.capacity() + memory / 32, "{}", account.held());
    assert!(account.held() > account.capacity() - MB, "{}", account.held());
    drop(bodies);
    assert_eq!(account.held(), 0);
}

// Guards against connections of one kind that take the descriptors that another kind needs.
#[test]
fn no_quota_takes_what_is_reserved_for_another() {
    let account = descriptors::Account::new(20);
    let reserved = [2, 5, 3];
    let quotas = reserved.map(|reserved| account.quota(Share { reserved, max: 20 }));
    for (greedy, quota) in quotas.iter().enumerate() {
        let mut open: Vec<_> = std::iter::from_fn(|| quota.try_take()).collect();
        assert_eq!(open.len(), 10 + reserved[greedy]);
        for (other, quota) in quotas.iter().enumerate().filter(|(other, _)| *other != greedy) {
            let taken: Vec<_> = std::iter::from_fn(|| quota.try_take()).collect();
            assert_eq!(taken.len(), reserved[other]);
            assert!(!quota.has_room());
            open.extend(taken);
        }
        assert_eq!((open.len(), account.open()), (20, 20));
        drop(open);
        assert_eq!(account.open(), 0);
    }
}

// Guards against quotas that open more descriptors together than there are, or more than their own
// maximum, in whatever order they open and close them.
#[test]
fn the_descriptors_of_all_quotas_stay_within_the_capacity() {
    const CAPACITY: usize = 20;
    let shares = [(2, 4), (5, 20), (3, 9)].map(|(reserved, max)| Share { reserved, max });
    let account = descriptors::Account::new(CAPACITY);
    let quotas = shares.map(|share| account.quota(share));
    let mut open: [Vec<_>; 3] = Default::default();
    let (mut state, mut full) = (1_u32, 0);
    for _ in 0..20_000 {
        state = state.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
        let (number, takes) = ((state >> 16) as usize % 3, (state >> 24) % 5 < 3);
        if takes {
            let has_room = quotas[number].has_room();
            let taken = quotas[number].try_take();
            assert_eq!(taken.is_some(), has_room);
            // What is reserved is there whatever the others do.
            assert!(has_room || open[number].len() >= shares[number].reserved);
            open[number].extend(taken);
        } else {
            open[number].pop();
        }
        let sum: usize = open.iter().map(Vec::len).sum();
        assert!(sum <= CAPACITY && sum == account.open());
        assert!(open[number].len() <= shares[number].max);
        full += usize::from(sum == CAPACITY);
    }
    assert!(full > 0, "the capacity is reached");
}
