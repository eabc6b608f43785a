//! Framing of responses, and whether one that ended in order is complete.

use loftcove_response::ending::{self, Error};
use loftcove_response::event::{Media, Position};
use loftcove_response::framing::{self, Framing};

fn framing(
    method: http::Method,
    status: u16,
    headers: &[(&str, &str)],
) -> Result<Framing, framing::Error> {
    let mut response = http::Response::builder().status(status);
    for (name, value) in headers {
        response = response.header(*name, *value);
    }
    let (head, ()) = response.body(()).expect("a valid response").into_parts();
    Framing::of(&method, &head)
}

#[test]
fn reads_the_framing() {
    let get = |headers: &[(&str, &str)]| framing(http::Method::GET, 200, headers);
    assert_eq!(get(&[]), Ok(Framing::Close));
    assert_eq!(get(&[("connection", "close")]), Ok(Framing::Close));
    for length in ["7", "007", "7,7", "7 , 7"] {
        assert_eq!(get(&[("content-length", length)]), Ok(Framing::Length));
    }
    assert_eq!(get(&[("content-length", "7"), ("content-length", "7")]), Ok(Framing::Length));
    for coding in ["chunked", "Chunked", "chunked "] {
        assert_eq!(get(&[("transfer-encoding", coding)]), Ok(Framing::Chunked));
    }
    let cases = [(http::Method::HEAD, 200), (http::Method::GET, 204), (http::Method::GET, 304)];
    for (method, status) in cases {
        assert_eq!(framing(method, status, &[]), Ok(Framing::Empty));
    }
    // These fields describe the response to a GET request.
    for field in [("content-length", "7"), ("transfer-encoding", "chunked")] {
        assert_eq!(framing(http::Method::HEAD, 200, &[field]), Ok(Framing::Empty));
        assert_eq!(framing(http::Method::GET, 304, &[field]), Ok(Framing::Empty));
    }
    let none = ("content-length", "0");
    assert_eq!(framing(http::Method::GET, 204, &[none]), Ok(Framing::Empty));
}

/// Guards against a head that consists of parts of two, and against a rejection of values that only
/// resemble a status line.
#[test]
fn reads_no_framing_from_a_head_with_a_status_line_inside_a_line() {
    let read = |method: &http::Method, reason: &'static str, value: &str| {
        let response = http::Response::builder().header("content-length", "0").header("x", value);
        let (mut head, ()) = response.body(()).expect("a valid response").into_parts();
        let reason = hyper::ext::ReasonPhrase::from_static(reason.as_bytes());
        head.extensions.insert(reason);
        Framing::of(method, &head)
    };
    for line in [
        "HTTP/1.1 200 OK",
        "HTTP/1.1 200",
        "HTTP/1.0 503 Service Unavailable",
        "OHTTP/1.1 500 Internal Server Error",
        "text/plain; charset=HTTP/1.1 200 OK",
        "HTTP/1.HTTP/1.1 200 OK",
    ] {
        for method in [http::Method::GET, http::Method::HEAD] {
            assert_eq!(read(&method, line, ""), Err(framing::Error::Merged), "{line}");
            assert_eq!(read(&method, "", line), Err(framing::Error::Merged), "{line}");
        }
    }
    for line in ["HTTP/1.1", "HTTP/1.1 proxy", "1.1 vale", "HTTP/1.1 20", "http/1.1 200 OK", "h2"] {
        assert_eq!(read(&http::Method::GET, line, line), Ok(Framing::Length), "{line}");
    }
}

/// Guards against a body whose end is taken from one field of a head where another one contradicts
/// it, and against one in a coding that is not decoded.
#[test]
fn reads_no_framing_from_a_head_that_does_not_determine_the_body() {
    for (method, status) in
        [(http::Method::GET, 200), (http::Method::HEAD, 200), (http::Method::GET, 304)]
    {
        let read = |headers: &[(&str, &str)]| framing(method.clone(), status, headers);
        let coding = |coding| read(&[("transfer-encoding", coding)]);
        for other in [
            "gzip",
            "identity",
            "",
            ",",
            "chunkd",
            "xchunked",
            "\"chunked\"",
            "chunked;a=1",
            "gzip, chunked",
            "chunked, gzip",
            "chunked, chunked",
            "chunked,",
            ",chunked",
        ] {
            assert_eq!(coding(other), Err(framing::Error::Coding), "{other}");
        }
        let chunked = ("transfer-encoding", "chunked");
        for other in [chunked, ("transfer-encoding", "gzip")] {
            assert_eq!(read(&[chunked, other]), Err(framing::Error::Coding));
            assert_eq!(read(&[other, chunked]), Err(framing::Error::Coding));
        }
        for length in ["", "-1", "+7", "0x7", "7 7", "seven", "7,", "7, 8", "18446744073709551616"]
        {
            let read = read(&[("content-length", length)]);
            assert_eq!(read, Err(framing::Error::Length), "{length}");
        }
        let two = [("content-length", "7"), ("content-length", "8")];
        assert_eq!(read(&two), Err(framing::Error::Length));
        for length in ["0", "7"] {
            let both = [("content-length", length), chunked];
            assert_eq!(read(&both), Err(framing::Error::Ambiguous));
        }
    }
    let empty = |field| framing(http::Method::GET, 204, &[field]);
    assert_eq!(empty(("content-length", "7")), Err(framing::Error::Length));
    assert_eq!(empty(("transfer-encoding", "chunked")), Err(framing::Error::Coding));
}

/// Guards against a status outside of the classes of final responses, which no client understands.
#[test]
fn reads_no_framing_of_a_response_that_is_not_final() {
    let read = |status| framing(http::Method::GET, status, &[("content-length", "7")]);
    for status in [100, 101, 199, 600, 700, 999] {
        assert_eq!(read(status), Err(framing::Error::Status), "{status}");
    }
    for status in [200, 299, 300, 404, 500, 599] {
        assert_eq!(read(status), Ok(Framing::Length), "{status}");
    }
}

/// Guards against chunks of a version that has none.
#[test]
fn reads_no_framing_from_chunks_over_http_1_0() {
    let response = http::Response::builder().version(http::Version::HTTP_10);
    let response = response.header("transfer-encoding", "chunked").body(()).expect("a response");
    let head = response.into_parts().0;
    assert_eq!(Framing::of(&http::Method::GET, &head), Err(framing::Error::Coding));
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
