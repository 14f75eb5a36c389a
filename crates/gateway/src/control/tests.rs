//! Messages about the versions that began streams, between a host and a peer that may not know them, and
//! what links may make a host hold.

mod catalogs;
mod epochs;
mod followed_relay;
mod large_messages;
mod linked_host;
mod listing;

use std::net;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use linked_host::{
    SERVICE, UNKNOWN_SERVICE, WAIT_TIMEOUT, endpoint, is_endpoints, provoke, query, run,
    run_within, stream_origin, version,
};
use pistachiochute_core::memory::Limits;
use pistachiochute_core::{directory, quarantine, rate_limits, revision, streams};
use pistachiochute_messages::peer;
use pistachiochute_runtime::clock;

use crate::{shared, sockets};

/// A host of the old build closes the link on a message that it does not know.
#[test]
fn host_that_announces_nothing_gets_no_new_message() {
    for features in [None, Some(""), Some("another-feature")] {
        run(features, async |shared, mut peer| {
            provoke(&shared, &mut peer);
            let version = shared.query_origin(query(UNKNOWN_SERVICE)).await;
            assert_eq!(version, streams::Answer::Unknown);
            let endpoints = peer.wait_for("endpoints", is_endpoints).await;
            // A heartbeat later, every new message would have been sent.
            let statuses = |messages: &[peer::Message]| {
                let is_status = |m: &&peer::Message| matches!(m, peer::Message::Status { .. });
                messages.iter().filter(is_status).count()
            };
            while statuses(&peer.received.borrow()[endpoints..]) < 2 {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
            let received = peer.received.borrow();
            let is_old = |m: &peer::Message| m.feature().is_none();
            assert!(received.iter().all(is_old), "{received:?}");
        });
    }
}

#[test]
fn host_that_announces_the_feature_gets_the_new_messages() {
    run(Some("stream-versions"), async |shared, mut peer| {
        assert_eq!(
            peer.features.as_deref(),
            Some(
                "stream-versions,quarantine,endpoint-limits,endpoint-departures,crash-times,\
                 evacuations,cold-endpoints,stream-beginnings,endpoint-knowledge,\
                 store-epochs,catalog-parts"
            )
        );
        provoke(&shared, &mut peer);
        let endpoints = peer.wait_for("endpoints", is_endpoints).await;
        let identity = directory::Identity {
            id: "endpoints/i-1".into(),
            started_at_ms: 1,
        };
        let versions = peer::Message::EndpointVersions(vec![peer::EndpointVersion {
            identity,
            version: version(),
        }]);
        assert_eq!(peer.received.borrow()[endpoints - 1], versions);
        let origins = peer::Message::StreamOrigins(vec![stream_origin()]);
        peer.wait_for("origins", |m| *m == origins).await;
        let answer = peer::Message::OriginAnswer {
            id: 7,
            version: Some(stream_origin().origin.version),
        };
        peer.wait_for("answer", |m| *m == answer).await;
    });
}

fn crash() -> shared::ObservedCrash {
    let identity = directory::Identity {
        id: "endpoints/i-1".into(),
        started_at_ms: 1,
    };
    let parts: quarantine::Parts = [quarantine::PartKey::new(7)].into_iter().collect();
    shared::ObservedCrash {
        crash: quarantine::Crash {
            incarnation: quarantine::IncarnationKey::of(&identity),
            at: clock::now(),
            requests: [quarantine::LostRequest {
                keys: parts,
                sent_at: Some(clock::now()),
            }]
            .into_iter()
            .collect(),
        },
        endpoint: identity,
    }
}

/// A host of the build before closes the link on a message that it does not know.
#[test]
fn host_of_the_build_before_gets_no_evidence_of_crashes() {
    run(Some("stream-versions"), async |shared, mut peer| {
        assert!(shared.report_crash(crash()));
        provoke(&shared, &mut peer);
        peer.wait_for("endpoints", is_endpoints).await;
        let received = peer.received.borrow();
        let is_evidence = |m: &peer::Message| matches!(m, peer::Message::Quarantine(_));
        assert!(!received.iter().any(is_evidence), "{received:?}");
    });
}

#[test]
fn evidence_of_crashes_is_sent_and_applied() {
    run(
        Some("stream-versions, quarantine"),
        async |shared, mut peer| {
            assert!(shared.report_crash(crash()));
            let is_evidence = |m: &peer::Message| matches!(m, peer::Message::Quarantine(_));
            let position = peer.wait_for("evidence", is_evidence).await;
            let message = peer.received.borrow()[position].clone();
            let peer::Message::Quarantine(mut update) = message else {
                unreachable!("it is evidence");
            };
            assert_eq!(update.crashes.len(), 1);
            // Two more crashes, at other times and of other incarnations.
            for i in 1..=2_u32 {
                let crash = &mut update.crashes[0];
                crash.incarnation = quarantine::IncarnationKey::new(u64::from(i));
                crash.age_ms += 1_000 * i;
                peer.send(&peer::Message::Quarantine(update.clone()));
            }
            let is_refused = || {
                let admission = shared.verdicts().admission(&[quarantine::PartKey::new(7)]);
                matches!(admission, quarantine::Admission::Refused(_))
            };
            let refused = async {
                while !is_refused() {
                    tokio::time::sleep(Duration::from_millis(5)).await;
                }
            };
            let refused = tokio::time::timeout(WAIT_TIMEOUT, refused).await;
            assert!(refused.is_ok(), "the part is refused");
        },
    );
}

#[test]
fn limit_of_an_endpoint_is_sent_and_applied() {
    let statement = |limit: f64| rate_limits::Statement {
        endpoint: 5,
        limit: Some(rate_limits::RequestRate::per_second(limit)),
        at: clock::now(),
    };
    run(Some("endpoint-limits"), async |shared, mut peer| {
        shared.local_limits.push(statement(3.0));
        let is_limit = |m: &peer::Message| matches!(m, peer::Message::EndpointLimits(_));
        let position = peer.wait_for("a limit", is_limit).await;
        let message = peer.received.borrow()[position].clone();
        let peer::Message::EndpointLimits(records) = message else {
            unreachable!("it is a limit");
        };
        assert_eq!(records.len(), 1);
        assert_eq!(records[0].limit, statement(3.0).limit);
        let record = peer::LimitRecord {
            limit: statement(2.0).limit,
            age_ms: 0,
            ..records[0]
        };
        peer.send(&peer::Message::EndpointLimits(vec![record]));
        let arrived = async {
            while shared.remote_limits.is_empty() {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        let arrived = tokio::time::timeout(WAIT_TIMEOUT, arrived).await;
        assert!(arrived.is_ok(), "the limit arrives");
        let found = shared.remote_limits.pop().map(|s| (s.endpoint, s.limit));
        assert_eq!(found, Some((5, statement(2.0).limit)));
    });
}

#[test]
fn endpoint_that_leaves_is_sent_and_leaves_the_view() {
    let departure = |endpoint| directory::Departure {
        endpoint,
        last_seen: clock::now(),
    };
    let other = directory::IncarnationKey::new(5);
    run(Some("endpoint-departures"), async |shared, mut peer| {
        provoke(&shared, &mut peer);
        peer.wait_for("endpoints", is_endpoints).await;
        shared.local_departures.push(departure(other));
        let is_departure = |m: &peer::Message| matches!(m, peer::Message::EndpointDepartures(_));
        let position = peer.wait_for("a departure", is_departure).await;
        let message = peer.received.borrow()[position].clone();
        let peer::Message::EndpointDepartures(records) = message else {
            unreachable!("it is a departure");
        };
        assert_eq!(records.len(), 1);
        assert_eq!(records[0].endpoint, other);
        let known = shared.view().endpoints[0].clone();
        let record = peer::DepartureRecord {
            endpoint: directory::IncarnationKey::of(&known.identity),
            age_ms: 0,
        };
        peer.send(&peer::Message::EndpointDepartures(vec![record]));
        let applied = async {
            while !shared.view().endpoints.is_empty() {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        let applied = tokio::time::timeout(WAIT_TIMEOUT, applied).await;
        assert!(applied.is_ok(), "the endpoint leaves the view");
        assert_eq!(shared.view().leaving, [known]);
    });
}

#[test]
fn host_asks_its_peer_for_a_stream_that_it_does_not_know() {
    run(Some("stream-versions"), async |shared, mut peer| {
        let tag = stream_origin().origin.version;
        let received = Rc::clone(&peer.received);
        let answer_queries = async {
            let mut handled = 0;
            loop {
                let messages = received.borrow().clone();
                for message in &messages[handled..] {
                    if let peer::Message::OriginQuery { id, .. } = *message {
                        let version = Some(tag);
                        peer.send(&peer::Message::OriginAnswer { id, version });
                    }
                }
                handled = messages.len();
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
        };
        // On a busy machine, an answer may come too late for its query.
        let ask = async {
            loop {
                let answer = shared.query_origin(query(UNKNOWN_SERVICE)).await;
                if let streams::Answer::Version(version) = answer {
                    return version;
                }
            }
        };
        let version = tokio::select! {
            () = answer_queries => unreachable!("it does not end"),
            version = tokio::time::timeout(WAIT_TIMEOUT, ask) => version,
        };
        assert_eq!(version, Ok(tag));
    });
}

#[test]
fn versions_of_a_peer_reach_the_endpoints_in_use() {
    run(Some("stream-versions"), async |shared, mut peer| {
        let stated = endpoint("i-2");
        let unstated = endpoint("i-3");
        peer.send(&peer::Message::EndpointVersions(vec![
            peer::EndpointVersion {
                identity: stated.identity.clone(),
                version: "v2".into(),
            },
        ]));
        let record = |endpoint: directory::Endpoint| peer::EndpointRecord {
            key: endpoint.identity.id.clone(),
            revision: revision::Revision(2),
            endpoint: Some(endpoint),
        };
        peer.send(&peer::Message::Endpoints {
            complete: revision::Revision(2),
            records: vec![record(stated), record(unstated)],
        });
        let find = |id: &str| {
            let view = shared.view();
            let mut endpoints = view.endpoints.iter();
            endpoints.find(|e| *e.identity.id == *id).cloned()
        };
        let arrived = async {
            while find("i-3").is_none() {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        let arrived = tokio::time::timeout(WAIT_TIMEOUT, arrived).await;
        assert!(arrived.is_ok(), "the records arrive");
        let version = |id| find(id).expect("an endpoint").version.clone();
        assert_eq!(version("i-2"), Some("v2".into()));
        assert_eq!(version("i-3"), None);
    });
}

/// Another link to the host.
async fn another_link(links: net::SocketAddr) -> h2::client::SendRequest<Bytes> {
    let stream = sockets::connect(links, WAIT_TIMEOUT).await.expect("a link");
    let (requests, connection) = h2::client::handshake(stream).await.expect("a handshake");
    tokio::task::spawn_local(async { drop(connection.await) });
    requests.ready().await.expect("an open link")
}

/// Opens a stream of a link.
async fn open_stream(link: &mut h2::client::SendRequest<Bytes>) -> h2::SendStream<Bytes> {
    let req = http::Request::post("http://fleet/link").body(());
    let (answer, tx) = link
        .send_request(req.expect("a request"), false)
        .expect("a stream");
    answer.await.expect("an answer");
    tx
}

/// The streams of a link are bounded on a host whose memory is, and on no other.
#[test]
fn streams_of_a_link_are_bounded_by_the_machine() {
    let bounded = Limits::of_machine(112 << 20, 2_870);
    for (limits, is_bounded) in [(Limits::NONE, false), (bounded, true)] {
        run_within(limits, None, async |_, peer| {
            let mut link = another_link(peer.host_links).await;
            // The host has stated its settings before it answers.
            drop(open_stream(&mut link).await);
            assert_eq!(link.current_max_send_streams() <= 512, is_bounded);
        });
    }
}

/// Load: 16 streams of a link, each with 300 kB of a message of 1 MB, and nothing more. They stay within the
/// memory of the host, and another host is answered.
#[test]
fn half_messages_stay_within_the_memory() {
    const BYTES: usize = 2 << 20;
    let limits = Limits {
        bytes: BYTES,
        connections: 10,
    };
    let features = Some("stream-versions");
    run_within(limits, features, async |shared, mut peer| {
        let mut link = another_link(peer.host_links).await;
        let mut half = (1_u32 << 20).to_le_bytes().to_vec();
        half.resize(300_000, 0);
        let half = Bytes::from(half);
        let mut streams = Vec::new();
        for _ in 0..16 {
            let mut tx = open_stream(&mut link).await;
            tx.send_data(half.clone(), false).expect("an open link");
            streams.push(tx);
        }
        let is_filled = async {
            while shared.memory().used() < BYTES / 2 {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        let filled = tokio::time::timeout(WAIT_TIMEOUT, is_filled).await;
        assert!(filled.is_ok(), "{} bytes are held", shared.memory().used());
        let query = query(SERVICE);
        peer.send(&peer::Message::OriginQuery {
            id: 7,
            stream: query.stream,
            service: query.service,
            span_ms: 1,
        });
        let is_answer = |m: &peer::Message| matches!(m, peer::Message::OriginAnswer { id: 7, .. });
        peer.wait_for("answer", is_answer).await;
        assert!(shared.memory().used() <= BYTES);
        drop(streams);
        drop(link);
        let is_free = async {
            while shared.memory().used() > BYTES / 8 {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        let freed = tokio::time::timeout(WAIT_TIMEOUT, is_free).await;
        assert!(freed.is_ok(), "{} bytes are held", shared.memory().used());
    });
}
