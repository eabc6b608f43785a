//! Framing of responses, and whether one that ended in order is complete.

use loftcove_response::ending::{self, Error};
use loftcove_response::event::{Media, Position};
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

const FRAMED: [Framing; 3] = [Framing::Empty, Framing::Length, Framing::Chunked];

#[test]
fn a_stream_that_ends_inside_an_event_is_not_complete() {
    for framing in [Framing::Length, Framing::Chunked, Framing::Close] {
        let check = |position| ending::check(framing, Media::Events, position);
        assert_eq!(check(Position::Inside), Err(Error::InsideEvent));
        assert_eq!(check(Position::Between), Ok(()));
    }
}

#[test]
fn a_stream_without_framing_that_ends_before_its_first_event_is_not_complete() {
    let check = |framing| ending::check(framing, Media::Events, Position::Start);
    assert_eq!(check(Framing::Close), Err(Error::NoEvent));
    assert_eq!(FRAMED.map(check), [Ok(()); 3]);
}

#[test]
fn a_body_without_a_media_type_is_complete_by_its_framing_if_it_has_one() {
    let check = |framing| ending::check(framing, Media::Unknown, Position::Inside);
    assert_eq!(check(Framing::Close), Err(Error::InsideEvent));
    assert_eq!(FRAMED.map(check), [Ok(()); 3]);
}

#[test]
fn events_do_not_matter_in_other_bodies() {
    for framing in FRAMED.into_iter().chain([Framing::Close]) {
        for position in [Position::Start, Position::Between, Position::Inside] {
            assert_eq!(ending::check(framing, Media::Other, position), Ok(()));
        }
    }
}
