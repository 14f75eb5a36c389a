//! A complete list of the store, read page by page.
//!
//! An entry is decoded when its page arrives, and its value is not kept: what others write into the store,
//! and how much of it, does not decide how much memory a host needs. Nothing is applied before the last page
//! has arrived, so that a list that fails midway changes nothing.

use std::collections::HashSet;
use std::sync::Arc;

use pistachiochute_core::catalog::verify;
use pistachiochute_core::{directory, revision};
use pistachiochute_runtime::platform::key_value;

use crate::adapter;
use crate::control::{Context, crash_evidence, evacuations, host_registry, stored_origins, sync};

/// Largest value of the entry of an endpoint, a host or an accusation, in bytes. Theirs have some hundred.
const MAX_VALUE_BYTES: usize = 64 << 10;

/// Reads all entries under a prefix, one page after the other, and gives each to `visit`. Returns the
/// revision of the first page, so that a watch from there sees all changes made meanwhile.
///
/// # Errors
///
/// A page cannot be read, does not go on, since the next one begins where an earlier one began, or is of
/// another epoch than the first one. What was visited before is then no complete list.
pub(super) async fn read_all<D, S, F>(
    cx: &Context<D, S>,
    prefix: &str,
    consistency: adapter::Consistency,
    mut visit: F,
) -> Result<revision::StoredRevision, key_value::Error>
where
    S: adapter::Store,
    F: FnMut(revision::Epoch, key_value::Entry),
{
    let first = cx.store.read_page(prefix, None, consistency).await?;
    let epoch = first.epoch;
    let revision = epoch.revision(first.revision);
    let mut starts = HashSet::new();
    let mut next = visit_page(cx, first, &mut visit);
    while let Some(start) = next {
        let page = cx
            .store
            .read_page(prefix, Some(&start), consistency)
            .await?;
        if page.epoch != epoch {
            let reason = format!(
                "the epoch changed from {epoch} to {} within a list",
                page.epoch
            );
            return Err(key_value::Error::unknown(reason));
        }
        next = visit_page(cx, page, &mut visit);
        starts.insert(start);
        if let Some(repeated) = next.as_ref().filter(|next| starts.contains(*next)) {
            let reason = format!("the list does not go on after {repeated:?}");
            return Err(key_value::Error::unknown(reason));
        }
    }
    Ok(revision)
}

/// Visits the entries of a page. Returns the start of the next one.
fn visit_page<D, S, F>(
    cx: &Context<D, S>,
    page: adapter::Page,
    visit: &mut F,
) -> Option<adapter::PageStart>
where
    F: FnMut(revision::Epoch, key_value::Entry),
{
    for item in &page.unreadable {
        cx.events.item_unreadable(item);
    }
    for entry in page.entries {
        visit(page.epoch, entry);
    }
    page.next
}

/// Whether the value of an entry is not larger than that of an endpoint, a host or an accusation can be.
/// Larger ones are logged.
pub(super) fn has_usual_size<D, S>(cx: &Context<D, S>, entry: &key_value::Entry) -> bool {
    let bytes = entry.value.len();
    let is_usual = bytes <= MAX_VALUE_BYTES;
    if !is_usual {
        cx.events.entry_too_large(&entry.key, entry.modified, bytes);
    }
    is_usual
}

/// The catalog of a list, or what is wrong with it.
pub(super) struct ListedCatalog {
    /// Revision of its entry.
    pub(super) revision: revision::Revision,
    /// The catalog, if it can be used.
    pub(super) decoded: Result<verify::Decoded, Vec<verify::Finding>>,
}

/// The entry of an endpoint in a list: its key, its revision, and the endpoint if it names one.
pub(super) type ListedEndpoint = (
    Arc<str>,
    revision::StoredRevision,
    Option<Arc<directory::Endpoint>>,
);

/// What the entries of a list say.
#[derive(Default)]
pub(super) struct Listing {
    /// The catalog.
    pub(super) catalog: Option<ListedCatalog>,
    /// Entries of endpoints.
    pub(super) endpoints: Vec<ListedEndpoint>,
    /// Evacuated domains, and the revisions of their entries.
    pub(super) evacuated: Vec<(Arc<str>, revision::StoredRevision)>,
    /// Entries of hosts.
    pub(super) hosts: Vec<host_registry::ListedHost>,
    /// What earlier hosts have left.
    pub(super) left: Left,
}

/// What earlier hosts have left in the store.
#[derive(Default)]
pub(super) struct Left {
    /// Accusations of prompts.
    pub(super) accusations: crash_evidence::StoredAccusations,
    /// Beginnings of streams.
    pub(super) origins: stored_origins::StoredOrigins,
}

impl Listing {
    /// Adds what an entry says, whatever it is.
    pub(super) fn add<D, S>(
        &mut self,
        cx: &Context<D, S>,
        epoch: revision::Epoch,
        entry: &key_value::Entry,
    ) where
        D: adapter::Dialect,
        S: adapter::Store,
    {
        let key = &entry.key;
        if key == cx.dialect.catalog_key().as_bytes() {
            self.catalog = Some(ListedCatalog {
                revision: entry.modified,
                decoded: cx.dialect.decode_catalog(&entry.value),
            });
        } else if key.starts_with(cx.dialect.endpoints_prefix().as_bytes()) {
            let endpoint = sync::decode_endpoint(cx, entry);
            let key = sync::key_text(key);
            let revision = epoch.revision(entry.modified);
            self.endpoints.push((key, revision, endpoint));
        } else if let Some(domain) = evacuations::domain(cx, key) {
            self.evacuated
                .push((domain, epoch.revision(entry.modified)));
        } else if let Some(host) = host_registry::decode(cx, entry) {
            self.hosts.push(host);
        } else if !cx.legacy_adopted.get() {
            self.left.accusations.add(cx, entry);
            self.left.origins.add(cx, entry);
        }
    }
}
