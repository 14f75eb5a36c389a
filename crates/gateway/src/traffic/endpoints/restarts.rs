//! What is known of endpoint ids, whichever process has them: whether it may have changed lately, and whether processes
//! there say which they are.
//!
//! A process that has just started may end again before anything shows that a connection was its own. So streams that
//! begin at such an id ask their process first, once for each connection. This is about the cost of questions: it
//! proves nothing.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use pistachiochute_core::{directory, time};

/// Time after a loss or a restart for which an id counts as restless. Longer than the period in which endpoints go
/// down and up by turns.
const RESTLESS_TIME: Duration = Duration::from_secs(5);

/// What is known of an id.
#[derive(Debug)]
struct KnownId {
    /// Start of the last incarnation that was listed.
    started_at_ms: Option<u64>,
    /// When a connection to it was last lost, or another incarnation was listed.
    changed_at: Option<time::Time>,
    /// Whether the last report under the id did not say which process it is, so that writes of its entry alone can show
    /// it. The next process under the id is taken for one like it until it reports.
    is_nameless: bool,
    last_listed: time::Time,
}

impl KnownId {
    fn is_restless(&self, now: time::Time) -> bool {
        let is_recent = |at: time::Time| now.since(at) < RESTLESS_TIME;
        self.changed_at.is_some_and(is_recent)
    }
}

/// Losses and restarts by endpoint id.
#[derive(Debug, Default)]
pub(super) struct Restarts {
    ids: HashMap<Arc<str>, KnownId>,
}

impl Restarts {
    fn id(&mut self, id: &Arc<str>, now: time::Time) -> &mut KnownId {
        self.ids.entry(id.clone()).or_insert(KnownId {
            started_at_ms: None,
            changed_at: None,
            is_nameless: false,
            last_listed: now,
        })
    }

    /// Records that an incarnation is listed.
    pub(super) fn record_listed(&mut self, identity: &directory::Identity, now: time::Time) {
        let known = self.id(&identity.id, now);
        known.last_listed = now;
        let before = known.started_at_ms.replace(identity.started_at_ms);
        if before.is_some_and(|before| before != identity.started_at_ms) {
            known.changed_at = Some(now);
        }
    }

    /// Records that a connection was lost or could not be made.
    pub(super) fn record_loss(&mut self, id: &Arc<str>, now: time::Time) {
        self.id(id, now).changed_at = Some(now);
    }

    /// Records whether a report did not say which process it is.
    pub(super) fn record_report(&mut self, id: &str, is_nameless: bool) {
        if let Some(known) = self.ids.get_mut(id) {
            known.is_nameless = is_nameless;
        }
    }

    /// Whether processes under an id do not say which they are.
    pub(super) fn is_nameless(&self, id: &str) -> bool {
        self.ids.get(id).is_some_and(|known| known.is_nameless)
    }

    /// Whether the process under an id may have changed lately.
    pub(super) fn is_restless(&self, id: &str, now: time::Time) -> bool {
        let known = self.ids.get(id);
        known.is_some_and(|known| known.is_restless(now))
    }

    /// Forgets ids that are not listed any more, and for which nothing is of interest.
    pub(super) fn prune(&mut self, now: time::Time) {
        self.ids.retain(|_, known| {
            known.is_restless(now) || now.since(known.last_listed) < RESTLESS_TIME
        });
    }
}
