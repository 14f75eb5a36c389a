//! Encoding of the messages between hosts. Hosts of the build before stream versions read the first
//! seven variants, so their encoding is fixed.

use std::collections::HashSet;

use bytes::Bytes;
use pistachiochute_core::choice::load;
use pistachiochute_core::{catalog, directory, quarantine, rate_limits, revision, streams};
use pistachiochute_messages::catalog_parts::CatalogPart;
use pistachiochute_messages::codec;
use pistachiochute_messages::peer::{self, Message};
use proptest::collection;
use proptest::prelude::{any, proptest};
use proptest::test_runner::{Config, RngSeed};

fn identity() -> directory::Identity {
    directory::Identity {
        id: "i".into(),
        started_at_ms: 200,
    }
}

fn endpoint(version: Option<&str>) -> directory::Endpoint {
    directory::Endpoint {
        identity: identity(),
        service: "s".into(),
        address: ([127, 0, 0, 1], 7).into(),
        domain: "d".into(),
        slots: 4,
        state: directory::State::Leaving,
        version: version.map(directory::SoftwareVersion::from),
        heartbeat: 6,
        cold_time: std::time::Duration::ZERO,
    }
}

fn endpoints(version: Option<&str>) -> Message {
    let record = |key: &str, revision, endpoint| peer::EndpointRecord {
        key: key.into(),
        revision: revision::Revision(revision),
        endpoint,
    };
    Message::Endpoints {
        complete: revision::Revision(9),
        records: vec![
            record("k", 8, Some(endpoint(version))),
            record("g", 7, None),
        ],
    }
}

fn load() -> load::EndpointLoad {
    load::EndpointLoad {
        endpoint: 1,
        work: load::Work {
            requests: 2,
            unread_tokens: 3,
        },
    }
}

/// Messages that every host reads, with their encodings without the length prefix.
fn fixed() -> Vec<(Message, Vec<u8>)> {
    let known = peer::StateVersion {
        catalog: Some(catalog::Version(5)),
        endpoints: revision::Revision(9),
    };
    let hello = Message::Hello {
        host: "a".into(),
        links: ([127, 0, 0, 1], 7).into(),
        domain: "d".into(),
        up_ms: 300,
    };
    let status = Message::Status {
        known,
        store: peer::StoreHealth {
            catalog_age_ms: 1,
            steady_ms: 2,
            answered_ms: 3,
        },
        loads: Some(vec![load()]),
    };
    let part = peer::CachedPart {
        part: 4,
        endpoint: 5,
    };
    let endpoints_encoding = vec![
        6, 9, 2, // variant, complete, records
        1, b'k', 8, 1, // key, revision, has an endpoint
        1, b'i', 200, 1, b's', 0, 127, 0, 0, 1, 7, 1, b'd', 4, 1, 6, // endpoint
        1, b'g', 7, 0, // key, revision, has no endpoint
    ];
    vec![
        (
            hello,
            vec![0, 1, b'a', 0, 127, 0, 0, 1, 7, 1, b'd', 251, 44, 1],
        ),
        (status, vec![1, 1, 5, 9, 1, 2, 3, 1, 1, 1, 2, 3]),
        (Message::Carried(vec![load()]), vec![2, 1, 1, 2, 3]),
        (Message::Holdings(vec![part]), vec![3, 1, 4, 5]),
        (Message::Want(known), vec![4, 1, 5, 9]),
        (endpoints(None), endpoints_encoding),
    ]
}

fn limit_record(limit: Option<rate_limits::RequestRate>) -> peer::LimitRecord {
    peer::LimitRecord {
        endpoint: 5,
        limit,
        age_ms: 30,
    }
}

fn quarantine_update() -> peer::QuarantineUpdate {
    let part = quarantine::PartKey::new;
    peer::QuarantineUpdate {
        proofs: vec![peer::ProofRecord {
            part: part(7),
            age_ms: 30,
        }],
        crashes: vec![peer::CrashRecord {
            incarnation: quarantine::IncarnationKey::new(9),
            age_ms: 20,
            prompts: vec![[part(7), part(8)].into_iter().collect()],
        }],
        accusations: vec![peer::AccusationRecord {
            parts: [part(8)].into_iter().collect(),
            age_ms: 40,
            remaining_ms: 50,
        }],
    }
}

/// Messages for hosts that announced the feature, with the start of their encodings.
fn optional() -> Vec<(Message, Vec<u8>)> {
    let version = directory::SoftwareVersion::from("v2");
    let tag = streams::VersionTag::new("s", &version);
    let stream = streams::StreamKey::of_request(b"r1");
    let origin = streams::StreamOrigin {
        stream,
        origin: streams::Origin {
            version: tag,
            endpoint: streams::EndpointKey::of_id("i"),
        },
    };
    let beginning = peer::BeginningRecord {
        stream: origin,
        incarnation: streams::IncarnationTag::of(&identity()),
        connected_ms: 40,
        is_shown: false,
    };
    let query = |stream| Message::OriginQuery {
        id: 1,
        stream,
        service: "s".into(),
        span_ms: 300,
    };
    let answer = |version| Message::OriginAnswer { id: 1, version };
    let endpoint_version = peer::EndpointVersion {
        identity: identity(),
        version,
    };
    vec![
        (Message::StreamOrigins(vec![origin]), vec![7, 1]),
        (query(Some(stream)), vec![8, 1, 1]),
        (query(None), vec![8, 1, 0, 1, b's', 251, 44, 1]),
        (answer(Some(tag)), vec![9, 1, 1]),
        (answer(None), vec![9, 1, 0]),
        (
            Message::EndpointVersions(vec![endpoint_version]),
            vec![10, 1, 1, b'i', 200, 2, b'v', b'2'],
        ),
        (
            Message::Quarantine(quarantine_update()),
            vec![
                11, 1, 7, 30, // variant, proofs: part, age
                1, 9, 20, 1, 2, 7, 8, // crashes: incarnation, age, prompts
                1, 1, 8, 40, 50, // accusations: parts, age, remaining time
            ],
        ),
        (
            Message::EndpointLimits(vec![
                limit_record(Some(rate_limits::RequestRate::per_second(0.2))),
                limit_record(None),
            ]),
            vec![12, 2, 5, 1, 200, 30, 5, 0, 30],
        ),
        (
            Message::EndpointDepartures(vec![peer::DepartureRecord {
                endpoint: directory::IncarnationKey::new(9),
                age_ms: 30,
            }]),
            vec![13, 1, 9, 30],
        ),
        (
            Message::TimedQuarantine {
                update: quarantine_update(),
                sent_ages_ms: vec![vec![Some(25), None]],
            },
            vec![
                14, 1, 7, 30, // variant, proofs: part, age
                1, 9, 20, 1, 2, 7, 8, // crashes: incarnation, age, requests
                1, 1, 8, 40, 50, // accusations: parts, age, remaining time
                1, 2, 1, 25, 0, // ages of the requests
            ],
        ),
        (Message::StreamBeginnings(vec![beginning]), vec![17, 1]),
        (Message::OriginClaim { id: 1, beginning }, vec![18, 1]),
    ]
}

/// The messages about what hosts know of the endpoints, and parts of catalogs, likewise.
fn knowledge() -> Vec<(Message, Vec<u8>)> {
    let last_change = revision::Revision(9);
    let query = Message::KnowledgeQuery {
        asked_at_us: 5,
        after: last_change,
    };
    let answer = Message::KnowledgeAnswer {
        asked_at_us: 5,
        age_ms: 6,
        last_change,
    };
    let part = Message::CatalogPart(CatalogPart {
        version: catalog::Version(5),
        total: 9,
        offset: 8,
        bytes: Bytes::from_static(&[6]),
    });
    vec![
        (query, vec![19, 5, 9]),
        (answer, vec![20, 5, 6, 9]),
        (part, vec![22, 5, 9, 8, 1, 6]),
    ]
}

fn encode(message: &Message) -> Vec<u8> {
    let frame = codec::encode(message).expect("a small message");
    frame[4..].to_vec()
}

#[test]
fn encoding_of_old_messages_is_fixed() {
    for (message, encoding) in fixed() {
        assert_eq!(encode(&message), encoding, "{message:?}");
        assert_eq!(codec::decode::<Message>(&encoding), Ok(message));
    }
}

#[test]
fn endpoint_records_do_not_carry_versions() {
    assert_eq!(encode(&endpoints(Some("v2"))), encode(&endpoints(None)));
}

#[test]
fn new_messages_follow_the_old_ones() {
    for (message, start) in optional().into_iter().chain(knowledge()) {
        let encoding = encode(&message);
        assert!(encoding.starts_with(&start), "{message:?}: {encoding:?}");
        assert_eq!(codec::decode::<Message>(&encoding), Ok(message));
    }
}

#[test]
fn only_new_messages_need_a_feature() {
    assert!(fixed().iter().all(|(m, _)| m.feature().is_none()));
    for (message, start) in optional().into_iter().chain(knowledge()) {
        let feature = match start[0] {
            7..=10 => peer::Feature::StreamVersions,
            11 => peer::Feature::Quarantine,
            12 => peer::Feature::EndpointLimits,
            13 => peer::Feature::EndpointDepartures,
            14 => peer::Feature::CrashTimes,
            19 | 20 => peer::Feature::EndpointKnowledge,
            22 => peer::Feature::CatalogParts,
            _ => peer::Feature::StreamBeginnings,
        };
        assert_eq!(message.feature(), Some(feature), "{message:?}");
    }
    let messages = optional().into_iter().chain(knowledge());
    let variants: HashSet<_> = messages.map(|(_, start)| start[0]).collect();
    assert_eq!(
        variants,
        HashSet::from([7, 8, 9, 10, 11, 12, 13, 14, 17, 18, 19, 20, 22])
    );
}

#[test]
fn feature_is_found_in_a_list() {
    let feature = peer::Feature::StreamVersions;
    for header in [
        "stream-versions",
        "other, stream-versions",
        "stream-versions,x",
    ] {
        assert!(feature.is_in(header), "{header}");
    }
    for header in ["", "other", "stream-versions-2", "stream versions"] {
        assert!(!feature.is_in(header), "{header}");
    }
}

proptest! {
    #![proptest_config(Config {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(0x5eed),
        cases: 2_000,
        ..Config::default()
    })]

    #[test]
    fn any_bytes_decode_or_fail(bytes in collection::vec(any::<u8>(), 0..300)) {
        let _ = codec::decode::<Message>(&bytes);
    }
}
