//! Framing of responses, and whether one that ended in order is complete.

use loftcove_response::ending::{self, Error};
use loftcove_response::event::Position;
use loftcove_response::framing::Framing;

fn framing(method: http::Method, status: u16, headers: &[(&str, &str)]) -> Framing {
    let mut response = http::Response::builder().status(status);
    for (name, value) in headers {
        response = response.header(*name, *value);
    }
    let (head, ()) = response.body(()).expect("a valid response").into_parts();
    Framing::of(&method, &head)
}

#[test]
fn reads_the_framing() {
    let get = |headers| framing(http::Method::GET, 200, headers);
    assert_eq!(get(&[]), Framing::Close);
    assert_eq!(get(&[("connection", "close")]), Framing::Close);
    assert_eq!(get(&[("content-length", "7")]), Framing::Length);
    assert_eq!(get(&[("transfer-encoding", "chunked")]), Framing::Chunked);
    assert_eq!(get(&[("transfer-encoding", "gzip, Chunked")]), Framing::Chunked);
    assert_eq!(get(&[("transfer-encoding", "gzip")]), Framing::Close);
    let both = [("content-length", "7"), ("transfer-encoding", "chunked")];
    assert_eq!(get(&both), Framing::Chunked);
    for (method, status) in
        [(http::Method::HEAD, 200), (http::Method::GET, 204), (http::Method::GET, 304)]
    {
        assert_eq!(framing(method, status, &[]), Framing::Empty);
    }
}

#[test]
fn a_stream_that_ends_inside_an_event_is_not_complete() {
    for framing in [Framing::Length, Framing::Chunked, Framing::Close] {
        assert_eq!(ending::check(framing, Position::Inside), Err(Error::InsideEvent));
        assert_eq!(ending::check(framing, Position::Between), Ok(()));
    }
}

#[test]
fn a_stream_without_framing_that_ends_before_its_first_event_is_not_complete() {
    assert_eq!(ending::check(Framing::Close, Position::Start), Err(Error::NoEvent));
    for framing in [Framing::Empty, Framing::Length, Framing::Chunked] {
        assert_eq!(ending::check(framing, Position::Start), Ok(()));
    }
}
