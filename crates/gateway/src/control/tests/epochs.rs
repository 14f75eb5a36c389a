//! What a host takes from another one when the store has come back from a copy.

use std::time::Duration;

use pistachiochute_core::memory::Limits;
use pistachiochute_core::revision::{Epoch, Revision};
use pistachiochute_messages::peer;

use super::linked_host::{ENDPOINTS_PREFIX, Peer, endpoint, run_within};
use crate::shared;

const FEATURES: Option<&str> = Some("store-epochs,stream-versions,endpoint-knowledge");

/// Time in which a host has taken what it is told.
const TAKING_TIME: Duration = Duration::from_millis(300);

/// A record of an endpoint, or of its removal.
fn record(id: &str, revision: u64, is_there: bool) -> peer::Message {
    let key = format!("{ENDPOINTS_PREFIX}{id}");
    peer::Message::Endpoints {
        complete: Revision(revision),
        records: vec![peer::EndpointRecord {
            endpoint: is_there.then(|| endpoint(&key)),
            key: key.into(),
            revision: Revision(revision),
        }],
    }
}

async fn tell(peer: &mut Peer, messages: &[peer::Message]) {
    for message in messages {
        peer.send(message);
    }
    tokio::time::sleep(TAKING_TIME).await;
}

fn uses(shared: &shared::Shared, id: &str) -> bool {
    let key = format!("{ENDPOINTS_PREFIX}{id}");
    let view = shared.view();
    view.endpoints.iter().any(|e| *e.identity.id == *key)
}

/// Guards against DRAIN: a removal of a later epoch was taken for an old one, since the store had given out a
/// lower revision for it; and what an earlier epoch had said came back.
#[test]
fn later_epoch_counts_whatever_the_revision() {
    run_within(Limits::NONE, FEATURES, async |shared, mut peer| {
        let epoch = |n| peer::Message::StoreEpoch(Epoch::new(n));
        tell(&mut peer, &[epoch(1), record("i-9", 900, true)]).await;
        assert!(uses(&shared, "i-9"));
        tell(&mut peer, &[epoch(2), record("i-9", 40, false)]).await;
        assert!(!uses(&shared, "i-9"), "a lower revision of a later epoch");
        tell(&mut peer, &[epoch(1), record("i-9", 901, true)]).await;
        assert!(!uses(&shared, "i-9"), "a late message of an earlier epoch");
        tell(&mut peer, &[epoch(1), record("i-8", 902, true)]).await;
        assert!(
            !uses(&shared, "i-8"),
            "an entry that the later epoch does not have"
        );
        tell(&mut peer, &[epoch(2), record("i-8", 41, true)]).await;
        assert!(uses(&shared, "i-8"));
    });
}

/// A host of an earlier build names no epoch. Its revisions are those that count, until the store has come back
/// from a copy, which such a host does not notice.
#[test]
fn host_that_names_no_epoch_is_believed_until_the_first_change() {
    run_within(Limits::NONE, FEATURES, async |shared, mut peer| {
        tell(&mut peer, &[record("i-9", 900, true)]).await;
        assert!(uses(&shared, "i-9"));
        tell(&mut peer, &[record("i-9", 901, false)]).await;
        assert!(!uses(&shared, "i-9"));
    });
    run_within(Limits::NONE, FEATURES, async |shared, mut peer| {
        let other = peer::Message::StoreEpoch(Epoch::new(7));
        tell(&mut peer, &[other, record("i-9", 40, true)]).await;
        assert!(uses(&shared, "i-9"));
        let mut received = 0;
        // The host tells its epoch before the first revision that belongs to it.
        for message in peer.received.borrow().iter() {
            received += usize::from(matches!(message, peer::Message::StoreEpoch(_)));
        }
        assert_eq!(received, 1);
    });
}
