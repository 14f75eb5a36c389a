//! Reads the catalog from the store on a host that follows a relay, if other hosts have a newer one and none of them
//! has delivered it. Whatever keeps a catalog from arriving, the host knows that it lacks one.

use std::rc::Rc;
use std::time::Duration;

use pistachiochute_core::catalog;
use pistachiochute_runtime::clock;
use pistachiochute_runtime::platform::key_value;

use crate::adapter;
use crate::control::{Context, listing, sync};

/// Interval at which a host compares its catalog with those of others.
pub(super) const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Time for which others may have a newer catalog before this host reads it from the store. Usually it has come by
/// then.
pub(super) const READ_AFTER: Duration = Duration::from_millis(600);

/// Longest additional delay, which differs between hosts, so that they do not all read at once.
pub(super) const MAX_SPREAD: Duration = Duration::from_millis(400);

/// Time in which a read must have been answered.
const READ_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Delay after a read that has not brought the catalog.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Keeps the catalog of a host that follows a relay as new as those of other hosts.
pub(super) async fn keep_catalog_current<D, S>(cx: Rc<Context<D, S>>)
where
    D: adapter::Dialect,
    S: adapter::Store,
{
    let read_after = READ_AFTER + MAX_SPREAD.mul_f64(rand::random());
    let mut lag = catalog::Lag::new();
    loop {
        tokio::time::sleep(POLL_INTERVAL).await;
        let (own, newest) = versions(&cx);
        let behind = lag.observe(own, newest, clock::now());
        let Some(behind) = behind.filter(|behind| *behind >= read_after) else {
            continue;
        };
        // Without a relay the sync reads the store.
        if !cx.has_live_relay() {
            continue;
        }
        cx.events.catalog_behind(own, newest, behind);
        if let Err(e) = read_catalog(&cx).await {
            cx.events.sync_failed(cx.dialect.catalog_key(), &e);
        }
        let (own, newest) = versions(&cx);
        if lag.observe(own, newest, clock::now()).is_some() {
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }
}

/// Version of this host's catalog, and the newest that another host has said to have.
fn versions<D, S>(cx: &Context<D, S>) -> (Option<catalog::Version>, Option<catalog::Version>) {
    let state = cx.state.borrow();
    (state.catalog.version(), state.newest_catalog(clock::now()))
}

/// Reads the entry of the catalog.
async fn read_catalog<D, S>(cx: &Context<D, S>) -> Result<(), key_value::Error>
where
    D: adapter::Dialect,
    S: adapter::Store,
{
    let asked_at = clock::now();
    let consistency = adapter::Consistency::Linearizable;
    let mut entries = Vec::new();
    let visit = |_, entry: key_value::Entry| entries.push(entry);
    let read = listing::read_all(cx, cx.dialect.catalog_key(), consistency, visit);
    let read = tokio::time::timeout(READ_TIMEOUT, read).await;
    let revision = read.map_err(|_| key_value::Error::unknown("a late answer".to_owned()))??;
    sync::note_epoch_of_list(cx, revision)?;
    cx.record_store_response();
    for entry in &entries {
        sync::apply_catalog_entry(cx, entry);
    }
    cx.shared.confirm_catalog(asked_at);
    Ok(())
}
