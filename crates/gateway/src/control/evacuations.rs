//! Failure domains that operators evacuate: read from the store, and told to other hosts.

use std::sync::Arc;

use pistachiochute_core::directory::Evacuation;
use pistachiochute_core::revision;
use pistachiochute_messages::peer;
use pistachiochute_runtime::platform::key_value;
use pistachiochute_runtime::{clock, metrics};

use crate::control::state::State;
use crate::control::{Context, links};
use crate::{adapter, events};

/// Applies the complete list of the evacuated domains, with the revisions of their entries, at a revision of
/// the store.
pub(super) fn apply_listed<D, S>(
    cx: &Context<D, S>,
    listed: Vec<(Arc<str>, revision::StoredRevision)>,
    revision: revision::StoredRevision,
) where
    D: adapter::Dialect,
    S: adapter::Store,
{
    let state = cx.state.borrow();
    let changes = state.directory.evacuations();
    let mut changes = changes.changes_to(listed, revision);
    if state.epochs.is_restoring(clock::now()) {
        // The operator may not have written again yet. The list is read once more after that time.
        changes.retain(|change| change.is_evacuated);
    }
    drop(state);
    apply(cx, changes, None);
}

/// Applies changes of entries of the store.
pub(super) fn apply_changes<D, S>(
    cx: &Context<D, S>,
    epoch: revision::Epoch,
    changes: &[key_value::Change],
) where
    D: adapter::Dialect,
    S: adapter::Store,
{
    let evacuation = |change: &key_value::Change| {
        Some(Evacuation {
            domain: domain(cx, change.key())?,
            revision: epoch.revision(change.revision()),
            is_evacuated: matches!(change, key_value::Change::Put(_)),
        })
    };
    let evacuations: Vec<_> = changes.iter().filter_map(evacuation).collect();
    if !evacuations.is_empty() {
        apply(cx, evacuations, None);
    }
}

/// Applies what another host knows.
pub(super) fn apply_records<D, S>(
    cx: &Context<D, S>,
    (host, epoch): (&Arc<str>, revision::Epoch),
    records: Vec<peer::EvacuationRecord>,
) where
    D: adapter::Dialect,
    S: adapter::Store,
{
    let evacuation = |record: peer::EvacuationRecord| Evacuation {
        domain: record.domain,
        revision: epoch.revision(record.revision),
        is_evacuated: record.is_evacuated,
    };
    let evacuations = records.into_iter().map(evacuation).collect();
    apply(cx, evacuations, Some(host));
}

/// Messages with all that is known, for a host that may know nothing.
pub(super) fn state_messages(state: &State) -> Vec<peer::Message> {
    let evacuations: Vec<_> = state.directory.evacuations().iter().collect();
    to_messages(&evacuations, state.epochs.current())
}

/// Domain that the key of an entry evacuates, if it is the key of such an entry.
pub(super) fn domain<D, S>(cx: &Context<D, S>, key: &[u8]) -> Option<Arc<str>>
where
    D: adapter::Dialect,
{
    let name = key.strip_prefix(cx.dialect.evacuations_prefix().as_bytes())?;
    std::str::from_utf8(name).ok().map(Arc::from)
}

/// Records and forwards what is new, and publishes it.
fn apply<D, S>(cx: &Context<D, S>, mut evacuations: Vec<Evacuation>, host: Option<&Arc<str>>)
where
    D: adapter::Dialect,
    S: adapter::Store,
{
    let now = clock::now();
    let mut state = cx.state.borrow_mut();
    evacuations.retain(|evacuation| state.directory.record_evacuation(evacuation, now));
    let messages = to_messages(&evacuations, state.epochs.current());
    links::flood(&mut state, &messages, host);
    drop(state);
    if evacuations.is_empty() {
        return;
    }
    cx.publish();
    let source = match host {
        Some(host) => events::Source::Host(host.clone()),
        None => events::Source::Store,
    };
    for evacuation in &evacuations {
        cx.events.evacuation(evacuation, &source);
        cx.metrics.decided(match evacuation.is_evacuated {
            true => metrics::Decision::DomainEvacuated,
            false => metrics::Decision::DomainReturned,
        });
    }
}

fn to_messages(evacuations: &[Evacuation], epoch: revision::Epoch) -> Vec<peer::Message> {
    if evacuations.is_empty() {
        return Vec::new();
    }
    let record = |evacuation: &Evacuation| peer::EvacuationRecord {
        domain: evacuation.domain.clone(),
        revision: evacuation.revision.within(epoch),
        is_evacuated: evacuation.is_evacuated,
    };
    let records = evacuations.iter().map(record).collect();
    vec![peer::Message::Evacuations(records)]
}
