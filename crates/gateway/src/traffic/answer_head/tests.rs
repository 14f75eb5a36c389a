//! What of a head does not go on.

use http::{Response, StatusCode, Version, header, response};

use crate::traffic::answer_head::{AnswerHead, NotFinal};

/// The head of an endpoint's answer in a version, with extensions of the library.
fn head(version: Version, status: StatusCode) -> response::Parts {
    let response = Response::builder()
        .version(version)
        .status(status)
        .extension("what the library knows of the connection")
        .header(header::CONTENT_TYPE, "text/plain")
        .header(header::CONTENT_LENGTH, "3")
        .header(header::TRANSFER_ENCODING, "chunked")
        .header(header::TRAILER, "x-sum")
        .header(header::UPGRADE, "other")
        .header(header::CONNECTION, "close, x-hop")
        .header("proxy-connection", "close")
        .header("keep-alive", "timeout=5")
        .header("x-hop", "1")
        .header("x-end", "2");
    let (parts, ()) = response.body(()).expect("a head").into_parts();
    parts
}

/// Guards against MIXED: version, phrase or framing of an endpoint's connection on that of a caller.
#[test]
fn only_status_and_end_to_end_headers_go_on() {
    for version in [
        Version::HTTP_09,
        Version::HTTP_10,
        Version::HTTP_11,
        Version::HTTP_2,
    ] {
        let status = StatusCode::NOT_FOUND;
        let kept = AnswerHead::of(head(version, status), &[]).expect("a final status");
        let response = kept.into_response(());
        assert_eq!(response.version(), Version::HTTP_11);
        assert_eq!(response.status(), status);
        assert!(response.extensions().is_empty());
        let names: Vec<_> = response
            .headers()
            .keys()
            .map(|name| name.as_str())
            .collect();
        assert_eq!(names, ["content-type", "x-end"]);
    }
}

/// Guards against MIXED: an answer without what its ends need, since its connection is said to need it.
#[test]
fn end_to_end_headers_go_on_though_a_connection_names_them() {
    let mut parts = head(Version::HTTP_11, StatusCode::OK);
    let named = "X-End, Content-Type, X-Hop".parse().expect("a value");
    parts.headers.insert(header::CONNECTION, named);
    let end_to_end = [header::HeaderName::from_static("x-end")];
    let kept = AnswerHead::of(parts, &end_to_end).expect("a final status");
    let names: Vec<_> = kept.headers().keys().map(|name| name.as_str()).collect();
    assert_eq!(names, ["content-type", "x-end"]);
}

/// Guards against a change of protocol that reaches a caller.
#[test]
fn statuses_of_one_connection_do_not_go_on() {
    for status in [100, 101, 102, 103, 199] {
        let status = StatusCode::from_u16(status).expect("a status");
        let result = AnswerHead::of(head(Version::HTTP_11, status), &[]);
        assert_eq!(result.map(|head| head.status()), Err(NotFinal(status)));
    }
}
