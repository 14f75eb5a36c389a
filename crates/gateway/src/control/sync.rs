//! Follows the entries of the store: a whole read, and then the changes after it.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use pistachiochute_core::{directory, revision};
use pistachiochute_runtime::clock;
use pistachiochute_runtime::platform::key_value;

use crate::control::Context;
use crate::{adapter, events};

/// Longest time that a watch waits for a change. The store counts every call.
pub(super) const WATCH: Duration = Duration::from_secs(10);

/// Pause between two watches of the endpoints, which write their entries about once a second
/// each: one answer then carries many changes.
const ENDPOINTS_PAUSE: Duration = Duration::from_millis(500);

/// First pause after a call that failed.
const FIRST_BACKOFF: Duration = Duration::from_millis(150);

/// Longest pause after calls that failed.
const LONGEST_BACKOFF: Duration = Duration::from_millis(1_200);

/// Most doublings of the first pause.
const MAX_DOUBLINGS: u32 = 4;

/// Longest time that those wait who leave it to the follower of the catalog to try the store.
const WAIT_FOR_STORE: Duration = Duration::from_secs(4);

/// Time between two looks at whether a relay still brings the news.
const FEED_CHECK: Duration = Duration::from_millis(200);

/// Pauses for a time that grows with the failures in a row and differs from host to host.
async fn pause_after(failures: u32) {
    let factor = 2_u32.saturating_pow(failures.min(MAX_DOUBLINGS));
    let pause = (FIRST_BACKOFF * factor).min(LONGEST_BACKOFF);
    let spread = rand::random_range(0.7..1.3);
    tokio::time::sleep(pause.mul_f64(spread)).await;
}

/// Follows the entry of the catalog. Of all followers this one tries the store most often.
pub(super) async fn follow_catalog<D, S>(cx: Rc<Context<D, S>>)
where
    D: adapter::Dialect,
    S: adapter::Store,
{
    let mut failures = 0;
    loop {
        wait_while_fed(&cx).await;
        if let Err(e) = follow_catalog_once(&cx, &mut failures).await {
            cx.note_store(false, &e.to_string());
            pause_after(failures).await;
            failures += 1;
        }
    }
}

/// Waits as long as a relay brings the news of the store.
pub(super) async fn wait_while_fed<D, S>(cx: &Context<D, S>)
where
    D: adapter::Dialect,
    S: adapter::Store,
{
    while cx.is_fed() {
        tokio::time::sleep(FEED_CHECK).await;
    }
}

/// Reads the catalog and follows its changes until a read fails or a relay brings the news.
async fn follow_catalog_once<D, S>(
    cx: &Context<D, S>,
    failures: &mut u32,
) -> Result<(), key_value::Error>
where
    D: adapter::Dialect,
    S: adapter::Store,
{
    let mut cut_watches = 0;
    loop {
        let after = read_catalog(cx).await?;
        *failures = 0;
        match watch_catalog(cx, after).await {
            WatchEnd::Fed => return Ok(()),
            WatchEnd::ReadAnew => cut_watches = 0,
            // A watch may be cut at any time. A read shows whether the store answers.
            WatchEnd::Cut(e) => {
                cx.events.follower_stopped(cx.dialect.catalog_key(), &e);
                if cut_watches > 0 {
                    pause_after(cut_watches).await;
                }
                cut_watches += 1;
            }
        }
    }
}

/// Reads the catalog. Returns the revision after which its changes have to be followed.
async fn read_catalog<D, S>(cx: &Context<D, S>) -> Result<revision::Revision, key_value::Error>
where
    D: adapter::Dialect,
    S: adapter::Store,
{
    let key = cx.dialect.catalog_key();
    let asked = clock::now();
    let found = cx
        .store
        .range(key, adapter::Consistency::Linearizable)
        .await?;
    cx.note_store(true, "");
    for entry in &found.entries {
        take_catalog(cx, entry);
    }
    cx.shared.confirm(asked);
    Ok(found.revision)
}

/// Why the changes of the catalog are not followed any further.
enum WatchEnd {
    /// A relay brings the news.
    Fed,
    /// The catalog has to be read anew: the history is gone, or another call failed.
    ReadAnew,
    /// A watch had no answer.
    Cut(key_value::Error),
}

/// Follows the changes of the catalog after a revision.
async fn watch_catalog<D, S>(cx: &Context<D, S>, mut after: revision::Revision) -> WatchEnd
where
    D: adapter::Dialect,
    S: adapter::Store,
{
    let key = cx.dialect.catalog_key();
    loop {
        let watched = tokio::select! {
            watched = cx.store.watch(key, after, WATCH) => watched,
            () = cx.store_suspect.notified() => return WatchEnd::ReadAnew,
        };
        let (revision, changes) = match watched {
            Ok(adapter::WatchResponse::Changes { revision, changes }) => (revision, changes),
            Ok(adapter::WatchResponse::Compacted) => {
                cx.note_store(true, "");
                cx.events.history_gone(key, after);
                return WatchEnd::ReadAnew;
            }
            Err(e) => return WatchEnd::Cut(e),
        };
        cx.note_store(true, "");
        for change in &changes {
            if let key_value::Change::Put(entry) = change {
                take_catalog(cx, entry);
            }
        }
        cx.shared.confirm(clock::now());
        after = after.max(revision);
        if cx.is_fed() {
            return WatchEnd::Fed;
        }
    }
}

fn take_catalog<D, S>(cx: &Context<D, S>, entry: &key_value::Entry)
where
    D: adapter::Dialect,
    S: adapter::Store,
{
    if entry.key != cx.dialect.catalog_key().as_bytes() {
        return;
    }
    match cx.dialect.decode_catalog(&entry.value) {
        Ok(content) => cx.offer_catalog(content, events::Source::Store),
        Err(e) => cx.events.entry_unusable(&entry.key, entry.modified, &e),
    }
}

/// Follows the entries of the endpoints.
pub(super) async fn follow_endpoints<D, S>(cx: Rc<Context<D, S>>)
where
    D: adapter::Dialect,
    S: adapter::Store,
{
    loop {
        wait_while_fed(&cx).await;
        let prefix = cx.dialect.endpoints_prefix();
        until_store_returns(&cx, prefix, follow_endpoints_once(&cx)).await;
    }
}

/// Runs a follower until it fails and the store may be tried again, or until the store has come
/// back: a watch on another connection may wait in vain then.
pub(super) async fn until_store_returns<D, S, F>(cx: &Context<D, S>, what: &str, follow: F)
where
    F: Future<Output = Result<(), key_value::Error>>,
{
    tokio::select! {
        () = cx.store_back.notified() => {}
        result = follow => {
            if let Err(e) = result {
                failed(cx, what, &e).await;
            }
        }
    }
}

/// Reports a call that failed, and waits until the store may be tried again.
pub(super) async fn failed<D, S>(cx: &Context<D, S>, what: &str, e: &key_value::Error) {
    cx.events.follower_stopped(what, e);
    cx.store_suspect.notify_one();
    wait_for_store(cx).await;
}

/// Waits until the store answers again, or for a bounded time.
async fn wait_for_store<D, S>(cx: &Context<D, S>) {
    let back = cx.store_back.notified();
    if cx.store_answers.get() {
        // The store answers others, or nobody knows yet that it does not.
        let failures = cx.failures.get();
        cx.failures.set(failures + 1);
        pause_after(failures).await;
        return;
    }
    // Whether it came back or not, the next call shows.
    drop(tokio::time::timeout(WAIT_FOR_STORE, back).await);
}

async fn follow_endpoints_once<D, S>(cx: &Context<D, S>) -> Result<(), key_value::Error>
where
    D: adapter::Dialect,
    S: adapter::Store,
{
    let prefix = cx.dialect.endpoints_prefix();
    loop {
        let found = cx
            .store
            .range(prefix, adapter::Consistency::Linearizable)
            .await?;
        let mut after = found.revision;
        replace_endpoints(cx, found);
        loop {
            let watched = cx.store.watch(prefix, after, WATCH).await?;
            let adapter::WatchResponse::Changes { revision, changes } = watched else {
                cx.events.history_gone(prefix, after);
                break;
            };
            cx.note_answer();
            apply_changes(cx, &changes, revision);
            after = after.max(revision);
            if cx.is_fed() {
                return Ok(());
            }
            tokio::time::sleep(ENDPOINTS_PAUSE).await;
        }
    }
}

fn replace_endpoints<D, S>(cx: &Context<D, S>, found: key_value::Found)
where
    D: adapter::Dialect,
    S: adapter::Store,
{
    let entries: Vec<_> = found
        .entries
        .iter()
        .map(|entry| (key_of(&entry.key), entry.modified, read_endpoint(cx, entry)))
        .collect();
    for (key, revision, endpoint) in &entries {
        cx.events
            .endpoint_changed(key, *revision, endpoint.as_deref());
    }
    let now = clock::now();
    let changed = cx
        .state
        .borrow_mut()
        .directory
        .replace(entries, found.revision, now);
    if changed {
        cx.publish();
    }
    cx.events
        .endpoints_listed(found.entries.len(), found.revision);
}

fn apply_changes<D, S>(
    cx: &Context<D, S>,
    changes: &[key_value::Change],
    revision: revision::Revision,
) where
    D: adapter::Dialect,
    S: adapter::Store,
{
    let mut any = false;
    for change in changes {
        let (key, endpoint) = match change {
            key_value::Change::Put(entry) => (&entry.key, read_endpoint(cx, entry)),
            key_value::Change::Deleted { key, .. } => (key, None),
        };
        let source = directory::Source::Store;
        any |= apply_endpoint(cx, &key_of(key), change.revision(), endpoint, source);
    }
    cx.state.borrow_mut().directory.confirm(revision);
    if any {
        cx.publish();
    }
}

/// Applies one entry. Returns whether the endpoints in use changed.
pub(super) fn apply_endpoint<D, S>(
    cx: &Context<D, S>,
    key: &Arc<str>,
    revision: revision::Revision,
    endpoint: Option<Arc<directory::Endpoint>>,
    source: directory::Source,
) -> bool {
    let changed = cx.state.borrow_mut().directory.apply(
        key,
        revision,
        endpoint.clone(),
        source,
        clock::now(),
    );
    if changed {
        cx.events
            .endpoint_changed(key, revision, endpoint.as_deref());
    }
    changed
}

fn read_endpoint<D, S>(
    cx: &Context<D, S>,
    entry: &key_value::Entry,
) -> Option<Arc<directory::Endpoint>>
where
    D: adapter::Dialect,
    S: adapter::Store,
{
    let key = key_of(&entry.key);
    match cx.dialect.decode_endpoint(&key, &entry.value) {
        Ok(endpoint) => Some(Arc::new(endpoint)),
        Err(e) => {
            cx.events.entry_unusable(&entry.key, entry.modified, &e);
            None
        }
    }
}

/// Key as text. Keys that are no text keep their readable part, which still tells them apart.
fn key_of(key: &[u8]) -> Arc<str> {
    String::from_utf8_lossy(key).into()
}
