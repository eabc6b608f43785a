//! A driver goes on if the operating system refuses the thread of a search.
//!
//! Guards against a driver that panics then. Its file has no other test, because the limit applies to
//! the whole process.

#![allow(clippy::unwrap_used, reason = "a test that fails may panic")]

mod plans;

use loftcove_sidecar::plan;

/// Address space that is left to the process, in bytes: less than a thread's stack of 2 MiB.
const LEFT: u64 = 1 << 20;

/// Sets the limit of the address space and returns the one of before.
fn set_limit(bytes: u64) -> u64 {
    let mut limit = libc::rlimit { rlim_cur: 0, rlim_max: 0 };
    #[allow(unsafe_code, reason = "the system call has no safe form in the library")]
    // SAFETY: the pointers are valid during the calls.
    unsafe {
        assert_eq!(libc::getrlimit(libc::RLIMIT_AS, &raw mut limit), 0);
        let before = limit.rlim_cur;
        limit.rlim_cur = bytes;
        assert_eq!(libc::setrlimit(libc::RLIMIT_AS, &raw const limit), 0);
        before
    }
}

fn address_space() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap();
    text.split_whitespace().next().unwrap().parse::<u64>().unwrap() * 4_096
}

#[tokio::test]
async fn a_search_whose_thread_is_refused_keeps_the_map() {
    let (engine, experts) = plans::engine(10_000.0, 8.0);
    let mut state = plans::uneven_state();
    let before = set_limit(address_space() + LEFT);
    let refused = std::thread::Builder::new().spawn(|| {}).is_err();
    let stage = plan::decide(&mut state, &engine, &experts).await;
    set_limit(before);
    assert!(refused, "threads are refused");
    assert!(stage.is_none());
    // The search found nothing, and is repeated after a pause.
    let mut state = plans::uneven_state();
    assert!(plan::decide(&mut state, &engine, &experts).await.is_some());
}
