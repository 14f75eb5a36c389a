use http::{Method, Response, response};
use pistachiochute_core::outcome::Framing;

use super::framing;

fn head(status: u16, fields: &[(&str, &str)]) -> response::Parts {
    let fields = fields.iter();
    let head = fields.fold(Response::builder().status(status), |head, (name, value)| {
        head.header(*name, *value)
    });
    head.body(()).expect("a head").into_parts().0
}

fn framing_of(fields: &[(&str, &str)]) -> Framing {
    framing(&Method::POST, &head(200, fields))
}

#[test]
fn length_or_last_chunk_delimits_a_body() {
    assert_eq!(framing_of(&[("content-length", "2")]), Framing::Explicit);
    let chunked = ("transfer-encoding", "Chunked");
    assert_eq!(framing_of(&[chunked]), Framing::Explicit);
    let coded = ("transfer-encoding", "gzip, chunked");
    assert_eq!(framing_of(&[coded]), Framing::Explicit);
    let apart = [("transfer-encoding", "gzip"), chunked];
    assert_eq!(framing_of(&apart), Framing::Explicit);
}

/// Guards against a cut answer that looks whole: a field that does not say where the body ends.
#[test]
fn connection_delimits_a_body_without_length_and_chunks() {
    assert_eq!(framing_of(&[]), Framing::Connection);
    let coded = ("transfer-encoding", "gzip");
    assert_eq!(framing_of(&[coded]), Framing::Connection);
    // The coding overrides the length.
    let both = [coded, ("content-length", "2")];
    assert_eq!(framing_of(&both), Framing::Connection);
    let order = ("transfer-encoding", "chunked, gzip");
    assert_eq!(framing_of(&[order]), Framing::Connection);
}

#[test]
fn answer_that_has_no_body_ends_with_its_head() {
    assert_eq!(framing(&Method::HEAD, &head(200, &[])), Framing::Explicit);
    for status in [204, 304] {
        let head = head(status, &[]);
        assert_eq!(framing(&Method::GET, &head), Framing::Explicit);
    }
}
