//! Which responses another attempt may continue, and what their heads keep.

use loftcove_response::continuation::{self, Base, Contradiction};
use loftcove_response::event::Media;
use loftcove_response::framing::Framing;

fn head(status: u16, fields: &[(&str, &str)]) -> http::response::Parts {
    let response = http::Response::builder().status(status);
    let response =
        fields.iter().fold(response, |response, (name, value)| response.header(*name, *value));
    response.body(()).expect("a valid response").into_parts().0
}

#[test]
fn removes_the_fields_of_one_attempt_only() {
    for (name, value, kept) in [
        ("content-length", "7", false),
        ("content-md5", "a", false),
        ("digest", "sha-256=a", false),
        ("content-digest", "sha-256=:a:", false),
        ("repr-digest", "sha-256=:a:", false),
        ("etag", "\"a\"", false),
        ("etag", "W/\"a\"", true),
        ("last-modified", "Tue, 15 Nov 1994 12:45:26 GMT", false),
        ("accept-ranges", "bytes", false),
        ("content-type", "text/event-stream", true),
        ("cache-control", "no-store", true),
        ("set-cookie", "a=b", true),
    ] {
        let mut headers = head(200, &[(name, value)]).headers;
        continuation::remove_promises(&mut headers);
        assert_eq!(headers.contains_key(name), kept, "{name}: {value}");
    }
}

#[test]
fn only_a_whole_stream_with_a_body_may_be_continued() {
    let base = |status, fields: &[_], framing, media| {
        Base::new(&head(status, fields), framing, media).is_some()
    };
    for framing in [Framing::Length, Framing::Chunked, Framing::Close] {
        assert!(base(200, &[], framing, Media::Events));
        assert!(base(200, &[], framing, Media::Unknown));
        assert!(!base(200, &[], framing, Media::Other));
        assert!(!base(206, &[], framing, Media::Events));
        assert!(!base(200, &[("content-range", "bytes 0-9/10")], framing, Media::Events));
        assert!(!base(404, &[], framing, Media::Events));
    }
    assert!(!base(200, &[], Framing::Empty, Media::Events));
}

#[test]
fn another_head_contradicts_the_first_one() {
    let base = Base::new(&head(200, &[]), Framing::Length, Media::Events).expect("a base");
    let check = |status, framing, media| base.check(&head(status, &[]), framing, media);
    assert_eq!(check(200, Framing::Chunked, Media::Events), Ok(()));
    let other = |status: u16| {
        Err(Contradiction::Status(http::StatusCode::from_u16(status).expect("a valid status")))
    };
    assert_eq!(check(204, Framing::Empty, Media::Unknown), other(204));
    assert_eq!(check(206, Framing::Length, Media::Events), other(206));
    assert_eq!(check(200, Framing::Length, Media::Other), Err(Contradiction::Media));
    assert_eq!(check(200, Framing::Empty, Media::Events), Err(Contradiction::Empty));
    let range = head(200, &[("content-range", "bytes 4-9/10")]);
    assert_eq!(base.check(&range, Framing::Length, Media::Events), Err(Contradiction::Range));
}
