//! Synchronization with the store: one read of all entries, then one watch for all changes after its
//! revision.
//!
//! The store counts and prices calls, whatever they carry. So catalog, endpoints and hosts share them.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use pistachiochute_core::{directory, revision, time};
use pistachiochute_runtime::clock;
use pistachiochute_runtime::platform::key_value;

use crate::control::{
    Context, cold_endpoints, crash_evidence, evacuations, host_registry, listing, stored_origins,
};
use crate::{adapter, events, shared};

/// Key prefix of all entries.
const ALL_ENTRIES: &str = "";

/// Whether the entries must be read again after an epoch was learned of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Reread {
    /// They must.
    Due,
    /// They have just been read, in that epoch.
    Done,
}

/// Name of the sync in the log.
const SYNC_NAME: &str = "all entries";

/// Delay between two watches, so that one answer carries many changes.
pub(super) const WATCH_DELAY: Duration = Duration::from_millis(500);

/// Shortest time that the store is asked to hold a watch.
const MIN_WATCH_WAIT: Duration = Duration::from_millis(20);

/// Time that the link to a relay is given to open before a host watches the store itself. Within the
/// bounds for changes of the catalog and of the endpoints.
const RELAY_LINK_WAIT: Duration = Duration::from_millis(1_000);

/// Backoff after the first failed call.
const INITIAL_BACKOFF: Duration = Duration::from_millis(150);

/// Upper bound of the backoff, before jitter.
const MAX_BACKOFF: Duration = Duration::from_millis(1_200);

/// Most doublings of the initial backoff.
const MAX_DOUBLINGS: u32 = 4;

/// Longest time that other tasks wait for the sync to reach the store again.
const MAX_STORE_WAIT: Duration = Duration::from_secs(4);

/// Interval at which a host that follows a relay checks whether what it knows of the endpoints is old.
pub(super) const KNOWLEDGE_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Interval at which a waiting sync checks whether a relay is still live.
const RELAY_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Sleeps for an exponential backoff with jitter.
async fn back_off(failures: u32) {
    let factor = 2_u32.saturating_pow(failures.min(MAX_DOUBLINGS));
    let delay = (INITIAL_BACKOFF * factor).min(MAX_BACKOFF);
    let jitter = rand::random_range(0.7..1.3);
    tokio::time::sleep(delay.mul_f64(jitter)).await;
}

/// Keeps catalog, endpoints and hosts in sync with the store while no relay supplies their changes.
/// Of all tasks, this one retries the store most often, and it decides whether the store counts as
/// reachable.
pub(super) async fn sync_store<D, S>(cx: Rc<Context<D, S>>)
where
    D: adapter::Dialect,
    S: adapter::Store,
{
    let mut failures = 0;
    loop {
        wait_while_relay_is_live(&cx).await;
        if let Err(e) = sync_store_once(&cx, &mut failures).await {
            cx.record_store_call(false, &e.to_string());
            back_off(failures).await;
            failures += 1;
        }
    }
}

/// Waits until no relay supplies changes of the store.
async fn wait_while_relay_is_live<D, S>(cx: &Context<D, S>)
where
    D: adapter::Dialect,
    S: adapter::Store,
{
    while cx.has_live_relay() {
        tokio::time::sleep(RELAY_POLL_INTERVAL).await;
    }
}

/// Waits until a relay supplies changes of the store.
pub(super) async fn wait_for_live_relay<D, S>(cx: &Context<D, S>)
where
    D: adapter::Dialect,
    S: adapter::Store,
{
    while !cx.has_live_relay() {
        tokio::time::sleep(RELAY_POLL_INTERVAL).await;
    }
}

/// Reads and watches the store until a read fails or a relay supplies its changes.
async fn sync_store_once<D, S>(
    cx: &Context<D, S>,
    failures: &mut u32,
) -> Result<(), key_value::Error>
where
    D: adapter::Dialect,
    S: adapter::Store,
{
    let mut failed_watches = 0;
    loop {
        let read = read_store(cx).await?;
        *failures = 0;
        match watch_store(cx, read).await {
            WatchEnd::RelayLive => return Ok(()),
            WatchEnd::Reread => failed_watches = 0,
            // A watch may be interrupted at any time; only a read shows whether the store is
            // reachable.
            WatchEnd::Failed(e) => {
                cx.events.sync_failed(SYNC_NAME, &e);
                if failed_watches > 0 {
                    back_off(failed_watches).await;
                }
                failed_watches += 1;
            }
        }
    }
}

/// Up to where this host knows the state of the store.
#[derive(Clone, Copy, Debug)]
struct Progress {
    /// Revision after which to watch for changes.
    after: revision::StoredRevision,
    /// When the store had no later changes yet.
    known_at: time::Time,
}

/// Reads all entries together: each kind of its own would be as dear as all of them.
async fn read_store<D, S>(cx: &Context<D, S>) -> Result<Progress, key_value::Error>
where
    D: adapter::Dialect,
    S: adapter::Store,
{
    let requested_at = clock::now();
    let mut listing = listing::Listing::default();
    let visit = |epoch, entry| listing.add(cx, epoch, &entry);
    let consistency = adapter::Consistency::Linearizable;
    let revision = listing::read_all(cx, ALL_ENTRIES, consistency, visit).await?;
    note_epoch_of_list(cx, revision)?;
    cx.record_store_call(true, "");
    if let Some(catalog) = listing.catalog {
        apply_catalog(cx, catalog);
    }
    cx.shared.confirm_catalog(requested_at);
    evacuations::apply_listed(cx, listing.evacuated, revision);
    replace_endpoints(cx, listing.endpoints, revision);
    cx.confirm_endpoints(directory::KnownUpTo::by_store(requested_at));
    host_registry::begin_registration(cx, &listing.hosts);
    host_registry::replace_hosts(cx, listing.hosts);
    if !cx.legacy_adopted.replace(true) {
        crash_evidence::adopt_stored(cx, listing.left.accusations);
        stored_origins::adopt(cx, listing.left.origins);
    }
    Ok(Progress {
        after: revision,
        known_at: requested_at,
    })
}

/// Records the epoch of a list, before what the list says is applied.
///
/// # Errors
///
/// The list is of an earlier epoch.
pub(super) fn note_epoch_of_list<D, S>(
    cx: &Context<D, S>,
    revision: revision::StoredRevision,
) -> Result<(), key_value::Error> {
    // A store without any entry has no revision, and nothing to apply either.
    let epoch = revision.epoch();
    let current = cx.state.borrow().epochs.current();
    if revision != revision::StoredRevision::NONE && epoch < current {
        let reason = format!("a list of {epoch}, it is {current}");
        return Err(key_value::Error::unknown(reason));
    }
    if revision != revision::StoredRevision::NONE {
        cx.note_epoch(epoch, Reread::Done);
    }
    Ok(())
}

/// Why a watch ended.
enum WatchEnd {
    /// A relay supplies the changes.
    RelayLive,
    /// The entries must be read again: the watch history was compacted, or a call of another task
    /// failed.
    Reread,
    /// The watch failed.
    Failed(key_value::Error),
}

/// Watches for changes of all entries.
async fn watch_store<D, S>(cx: &Context<D, S>, mut progress: Progress) -> WatchEnd
where
    D: adapter::Dialect,
    S: adapter::Store,
{
    loop {
        if wait_before_watch(cx).await {
            return WatchEnd::RelayLive;
        }
        let requested_at = clock::now();
        let wait = time_to_next_answer(cx).max(MIN_WATCH_WAIT);
        let watched = tokio::select! {
            watched = watch_once(cx, progress.after, wait) => watched,
            () = cx.store_suspect.notified() => return WatchEnd::Reread,
        };
        let (revision, changes) = match watched {
            // What has happened between the two epochs is in none of them.
            Ok(adapter::WatchResponse::Changes { epoch, .. })
                if epoch != progress.after.epoch() =>
            {
                cx.note_epoch(epoch, Reread::Due);
                return WatchEnd::Reread;
            }
            Ok(adapter::WatchResponse::Changes {
                epoch,
                revision,
                changes,
                unreadable,
            }) => {
                for item in &unreadable {
                    cx.events.item_unreadable(item);
                }
                (epoch.revision(revision), changes)
            }
            Ok(adapter::WatchResponse::Compacted) => {
                cx.record_store_call(true, "");
                cx.events.watch_compacted(SYNC_NAME, progress.after);
                return WatchEnd::Reread;
            }
            Err(e) => return WatchEnd::Failed(e),
        };
        let known = match changes.is_empty() {
            true => directory::KnownUpTo::by_held_watch(requested_at, wait, clock::now()),
            false => directory::KnownUpTo::by_store(requested_at),
        };
        cx.record_store_call(true, "");
        apply_changes(cx, &changes, revision, (progress.known_at, known));
        progress = Progress {
            after: progress.after.max(revision),
            known_at: requested_at,
        };
    }
}

/// One watch. Endpoints write their entries about once a second, and the store answers one without a change
/// too, so that one that hears nothing for longer has lost its connection.
async fn watch_once<D, S>(
    cx: &Context<D, S>,
    after: revision::StoredRevision,
    wait: Duration,
) -> Result<adapter::WatchResponse, key_value::Error>
where
    D: adapter::Dialect,
    S: adapter::Store,
{
    let after = after.within(after.epoch());
    let watch = cx.store.watch(ALL_ENTRIES, after, wait);
    let watched = tokio::time::timeout(cx.settings.drain.watch_silence(), watch).await;
    watched.unwrap_or_else(|_| Err(key_value::Error::unknown("a silent watch".to_owned())))
}

/// Reads the endpoints while what relays say of them is old, or none of them says anything. A relay may be
/// cut off from the store, busy with something else, or not take itself for one.
pub(super) async fn keep_endpoints_known<D, S>(cx: Rc<Context<D, S>>)
where
    D: adapter::Dialect,
    S: adapter::Store,
{
    let mut failures = 0;
    loop {
        tokio::time::sleep(KNOWLEDGE_POLL_INTERVAL).await;
        let age = cx.state.borrow().known_up_to.age(clock::now());
        let is_due = age >= cx.settings.drain.read_after() || cx.is_reread_due.get();
        if !is_due || !cx.has_live_relay() {
            continue;
        }
        cx.events.endpoints_not_known(age);
        match read_endpoints(&cx).await {
            Ok(()) => {
                failures = 0;
                cx.is_reread_due.set(false);
            }
            Err(e) => {
                cx.events.sync_failed(cx.dialect.endpoints_prefix(), &e);
                back_off(failures).await;
                failures += 1;
            }
        }
    }
}

/// Reads the entries of all endpoints.
async fn read_endpoints<D, S>(cx: &Context<D, S>) -> Result<(), key_value::Error>
where
    D: adapter::Dialect,
    S: adapter::Store,
{
    let asked_at = clock::now();
    let consistency = adapter::Consistency::Linearizable;
    let mut endpoints = Vec::new();
    let visit = |epoch: revision::Epoch, entry: key_value::Entry| {
        let endpoint = decode_endpoint(cx, &entry);
        let revision = epoch.revision(entry.modified);
        endpoints.push((key_text(&entry.key), revision, endpoint));
    };
    let read = listing::read_all(cx, cx.dialect.endpoints_prefix(), consistency, visit);
    let read = tokio::time::timeout(cx.settings.drain.read_timeout(), read).await;
    let revision = read.map_err(|_| key_value::Error::unknown("a late answer".to_owned()))??;
    note_epoch_of_list(cx, revision)?;
    cx.record_store_response();
    replace_endpoints(cx, endpoints, revision);
    cx.confirm_endpoints(directory::KnownUpTo::by_store(asked_at));
    Ok(())
}

/// Time until what this host knows of the endpoints is so old that it needs an answer of the store, changes or
/// not.
fn time_to_next_answer<D, S>(cx: &Context<D, S>) -> Duration {
    let age = cx.state.borrow().known_up_to.age(clock::now());
    cx.settings.drain.watch_wait().saturating_sub(age)
}

/// Pauses before a watch, so that one answer carries many changes, while what is known is not old. A host that
/// follows a relay gives its link time to open. Returns whether a relay supplies the changes now.
async fn wait_before_watch<D, S>(cx: &Context<D, S>) -> bool
where
    D: adapter::Dialect,
    S: adapter::Store,
{
    if cx.state.borrow().overlay.follows_relay() {
        let wait = RELAY_LINK_WAIT.min(cx.settings.drain.watch_wait());
        let wait = tokio::time::timeout(wait, wait_for_live_relay(cx));
        return wait.await.is_ok();
    }
    tokio::time::sleep(WATCH_DELAY.min(time_to_next_answer(cx))).await;
    cx.has_live_relay()
}

/// Applies the catalog, if that is what an entry holds.
pub(super) fn apply_catalog_entry<D, S>(cx: &Context<D, S>, entry: &key_value::Entry)
where
    D: adapter::Dialect,
    S: adapter::Store,
{
    if entry.key != cx.dialect.catalog_key().as_bytes() {
        return;
    }
    let catalog = listing::ListedCatalog {
        revision: entry.modified,
        decoded: cx.dialect.decode_catalog(&entry.value),
    };
    apply_catalog(cx, catalog);
}

fn apply_catalog<D, S>(cx: &Context<D, S>, catalog: listing::ListedCatalog)
where
    D: adapter::Dialect,
    S: adapter::Store,
{
    match catalog.decoded {
        Ok(decoded) => cx.apply_catalog(decoded, events::Source::Store),
        Err(findings) => cx.events.catalog_refused(catalog.revision, &findings),
    }
}

/// Logs a failed call, and waits until the store may be retried.
pub(super) async fn handle_store_failure<D, S>(
    cx: &Context<D, S>,
    what: &str,
    e: &key_value::Error,
) {
    cx.events.sync_failed(what, e);
    cx.store_suspect.notify_one();
    wait_for_store(cx).await;
}

/// Waits until the store is reachable again, for at most [`MAX_STORE_WAIT`].
async fn wait_for_store<D, S>(cx: &Context<D, S>) {
    let recovered = cx.store_recovered.notified();
    if cx.store_available.get() {
        // The store is reachable for the sync, or its outage has not been noticed yet.
        let failures = cx.store_failures.get();
        cx.store_failures.set(failures + 1);
        back_off(failures).await;
        return;
    }
    // After a time-out, the next call shows whether the store is reachable.
    drop(tokio::time::timeout(MAX_STORE_WAIT, recovered).await);
}

/// Replaces the endpoints by those of a complete list at a revision.
fn replace_endpoints<D, S>(
    cx: &Context<D, S>,
    entries: Vec<listing::ListedEndpoint>,
    revision: revision::StoredRevision,
) where
    D: adapter::Dialect,
    S: adapter::Store,
{
    let decoded = entries.iter();
    let decoded = decoded.filter_map(|(_, revision, e)| Some((e.as_deref()?, *revision)));
    cold_endpoints::apply_entries(cx, decoded);
    let now = clock::now();
    let listed = entries.len();
    let mut state = cx.state.borrow_mut();
    let changed = state.directory.replace(entries, revision, now);
    drop(state);
    if !changed.is_empty() {
        cx.publish();
    }
    // After the state is published: requests may wait for it.
    log_listed(cx, &changed);
    cx.events.endpoints_listed(listed, revision);
}

/// Logs what a list of the store has changed, and what it has left in doubt.
fn log_listed<D, S>(cx: &Context<D, S>, changed: &[Arc<str>])
where
    D: adapter::Dialect,
    S: adapter::Store,
{
    let state = cx.state.borrow();
    let records = changed.iter();
    let records = records.filter_map(|key| Some((key, state.directory.record(key)?)));
    for (key, record) in records {
        let endpoint = record.endpoint.as_deref();
        cx.log_endpoint(key, record.revision, endpoint, &events::Source::Store);
    }
    for (key, revision) in state.directory.doubted() {
        cx.events.endpoint_in_doubt(key, revision);
    }
}

/// Applies changes of all entries.
fn apply_changes<D, S>(
    cx: &Context<D, S>,
    changes: &[key_value::Change],
    revision: revision::StoredRevision,
    (known_at, known): (time::Time, directory::KnownUpTo),
) where
    D: adapter::Dialect,
    S: adapter::Store,
{
    for change in changes {
        if let key_value::Change::Put(entry) = change {
            apply_catalog_entry(cx, entry);
        }
    }
    cx.shared.confirm_catalog(clock::now());
    evacuations::apply_changes(cx, revision.epoch(), changes);
    apply_endpoint_changes(cx, changes, revision, known_at);
    cx.confirm_endpoints(known);
    host_registry::apply_changes(cx, changes);
}

/// Applies the changes of endpoints among changes of all entries. They were written at `known_at` or
/// later, since this host already knows the state of the store at that time.
fn apply_endpoint_changes<D, S>(
    cx: &Context<D, S>,
    changes: &[key_value::Change],
    revision: revision::StoredRevision,
    known_at: time::Time,
) where
    D: adapter::Dialect,
    S: adapter::Store,
{
    let prefix = cx.dialect.endpoints_prefix().as_bytes();
    let mut any = false;
    for change in changes.iter().filter(|c| c.key().starts_with(prefix)) {
        let changed_at = revision.epoch().revision(change.revision());
        let (key, endpoint) = match change {
            key_value::Change::Put(entry) => (&entry.key, decode_endpoint(cx, entry)),
            key_value::Change::Deleted { key, .. } => (key, None),
        };
        if let Some(endpoint) = &endpoint {
            record_write(cx, &key_text(key), endpoint, known_at);
        }
        if let Some(endpoint) = &endpoint {
            cold_endpoints::apply_entries(cx, [(&**endpoint, changed_at)]);
        }
        let source = events::Source::Store;
        any |= apply_endpoint(cx, &key_text(key), changed_at, endpoint, &source);
    }
    cx.state.borrow_mut().directory.mark_complete(revision);
    if any {
        cx.publish();
    }
}

/// Records that the entry of an endpoint was written at a point in time or later, if it was by the endpoint.
fn record_write<D, S>(
    cx: &Context<D, S>,
    key: &str,
    endpoint: &directory::Endpoint,
    alive_at: time::Time,
) {
    let now = clock::now();
    let state = &mut *cx.state.borrow_mut();
    let may_be_rewritten = state.epochs.may_be_rewritten(now);
    if !state
        .directory
        .is_sign_of_life(key, endpoint, may_be_rewritten)
    {
        return;
    }
    if state.versions.record_write(endpoint, alive_at, now) {
        cx.shared.entry_writes.push(shared::EntryWrite {
            endpoint: endpoint.identity.hash(),
            alive_at,
        });
    }
}

/// Applies the entry of one endpoint. Returns whether the endpoints in use changed.
pub(super) fn apply_endpoint<D, S>(
    cx: &Context<D, S>,
    key: &Arc<str>,
    revision: revision::StoredRevision,
    endpoint: Option<Arc<directory::Endpoint>>,
    source: &events::Source,
) -> bool
where
    D: adapter::Dialect,
    S: adapter::Store,
{
    let changed = cx.state.borrow_mut().directory.apply(
        key,
        revision,
        endpoint.clone(),
        source.kind(),
        clock::now(),
    );
    if changed {
        cx.log_endpoint(key, revision, endpoint.as_deref(), source);
    }
    let state = cx.state.borrow();
    let record = state.directory.record(key);
    if endpoint.is_none() && record.is_some_and(directory::Record::is_removal_unconfirmed) {
        cx.events.endpoint_in_doubt(key, revision);
    }
    changed
}

/// Decodes the entry of an endpoint. One that names none is logged.
pub(super) fn decode_endpoint<D, S>(
    cx: &Context<D, S>,
    entry: &key_value::Entry,
) -> Option<Arc<directory::Endpoint>>
where
    D: adapter::Dialect,
    S: adapter::Store,
{
    if !listing::has_usual_size(cx, entry) {
        return None;
    }
    let key = key_text(&entry.key);
    match cx.dialect.decode_endpoint(&key, &entry.value) {
        Ok(endpoint) => Some(Arc::new(endpoint)),
        Err(e) => {
            cx.events.entry_invalid(&entry.key, entry.modified, &e);
            None
        }
    }
}

/// Converts a key to text. Invalid UTF-8 is replaced; the valid rest still distinguishes the keys.
pub(super) fn key_text(key: &[u8]) -> Arc<str> {
    String::from_utf8_lossy(key).into()
}
