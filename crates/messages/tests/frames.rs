//! Frames of messages that are larger than a frame.
//!
//! Guards against LOST: a link that ends on a message that is too large, is opened again, and carries nothing.

use pistachiochute_core::{directory, rate_limits, revision, streams};
use pistachiochute_messages::{codec, frames, peer};

/// Entries of a list that takes several frames, whatever its entries are.
const ENTRIES: u64 = 200_000;

fn lists(entries: u64) -> Vec<peer::Message> {
    let rate: rate_limits::RequestRate = "3".parse().expect("a rate");
    let origin = |n: u64| streams::StreamOrigin {
        stream: streams::StreamKey::of_request(&n.to_le_bytes()),
        origin: streams::Origin {
            version: streams::VersionTag::new("reader", &"v1".into()),
            endpoint: streams::EndpointKey::of_id("i-1"),
        },
    };
    let identity = directory::Identity {
        id: "i-1".into(),
        started_at_ms: 1,
    };
    let large = |n: u64| u64::MAX - n;
    vec![
        peer::Message::Holdings(
            (0..entries)
                .map(|n| peer::CachedPart {
                    part: large(n),
                    endpoint: large(n),
                })
                .collect(),
        ),
        peer::Message::StreamOrigins((0..entries).map(origin).collect()),
        peer::Message::StreamBeginnings(
            (0..entries)
                .map(|n| peer::BeginningRecord {
                    stream: origin(n),
                    incarnation: streams::IncarnationTag::of(&identity),
                    connected_ms: u32::MAX,
                    is_shown: true,
                })
                .collect(),
        ),
        peer::Message::EndpointLimits(
            (0..entries)
                .map(|n| peer::LimitRecord {
                    endpoint: large(n),
                    limit: Some(rate),
                    age_ms: 1,
                })
                .collect(),
        ),
        peer::Message::EndpointDepartures(
            (0..entries)
                .map(|n| peer::DepartureRecord {
                    endpoint: directory::IncarnationKey::new(large(n)),
                    age_ms: 1,
                })
                .collect(),
        ),
        peer::Message::Evacuations(
            (0..entries)
                .map(|n| peer::EvacuationRecord {
                    domain: format!("domain-{n}").into(),
                    revision: revision::Revision(n),
                    is_evacuated: true,
                })
                .collect(),
        ),
        peer::Message::ColdEndpoints(
            (0..entries)
                .map(|n| peer::ColdRecord {
                    endpoint: large(n),
                    revision: revision::Revision(n),
                    rate,
                    remaining_ms: 1,
                })
                .collect(),
        ),
    ]
}

fn decoded(message: &peer::Message) -> Vec<peer::Message> {
    let frames = frames::encode(message).expect("a list");
    let decode = |frame| codec::decode_frame(frame).expect("a message within a frame");
    frames.iter().map(|frame| decode(frame)).collect()
}

/// Joins lists of one kind, encoded by position.
fn entries(messages: &[peer::Message]) -> usize {
    let length = |message: &peer::Message| match message {
        peer::Message::Holdings(list) => list.len(),
        peer::Message::StreamOrigins(list) => list.len(),
        peer::Message::StreamBeginnings(list) => list.len(),
        peer::Message::EndpointLimits(list) => list.len(),
        peer::Message::EndpointDepartures(list) => list.len(),
        peer::Message::Evacuations(list) => list.len(),
        peer::Message::ColdEndpoints(list) => list.len(),
        other => panic!("another message: {}", other.name()),
    };
    messages.iter().map(length).sum()
}

#[test]
fn list_of_any_length_is_told_within_frames() {
    for message in lists(ENTRIES) {
        let told = decoded(&message);
        assert!(told.len() > 1, "{} fits into one frame", message.name());
        assert!(told.iter().all(|part| part.name() == message.name()));
        assert_eq!(entries(&told), ENTRIES as usize, "{}", message.name());
    }
}

/// Guards against a link that its receiver closes: a frame within the limit whose value is not, when it is
/// decoded.
#[test]
fn frame_that_no_receiver_can_decode_is_not_sent() {
    let small = peer::CachedPart {
        part: 1,
        endpoint: 1,
    };
    for entries in [100_000, 400_000] {
        let message = peer::Message::Holdings(vec![small; entries]);
        let frame = codec::encode(&message).expect("short enough");
        assert!(codec::decode_frame::<peer::Message>(&frame).is_err());
        assert!(frames::encode_whole(&message).is_err());
        assert_eq!(entries_told(&message), entries);
    }
}

fn entries_told(message: &peer::Message) -> usize {
    entries(&decoded(message))
}

#[test]
fn parts_keep_their_order() {
    let lists = lists(ENTRIES);
    let peer::Message::Holdings(whole) = &lists[0] else {
        panic!("another message");
    };
    let told = decoded(&lists[0]);
    let parts = told.iter().flat_map(|message| match message {
        peer::Message::Holdings(parts) => parts.clone(),
        other => panic!("another message: {}", other.name()),
    });
    assert!(parts.eq(whole.iter().copied()));
}

#[test]
fn message_that_fits_is_one_frame() {
    for message in lists(3) {
        let frames = frames::encode(&message).expect("a message");
        assert_eq!(frames.len(), 1);
        assert_eq!(frames[0], codec::encode(&message).expect("a message"));
    }
}

#[test]
fn message_that_has_no_parts_is_an_error() {
    let service = "s".repeat(2 * codec::MAX_FRAME_LEN);
    let query = peer::Message::OriginQuery {
        id: 1,
        stream: None,
        service: service.into(),
        span_ms: 1,
    };
    let error = frames::encode(&query).expect_err("too large");
    assert!(matches!(error, codec::Error::TooLarge(_)), "{error}");
}
