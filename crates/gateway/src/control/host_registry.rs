//! Registration of this host in the store, and discovery of the others from their entries.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use pistachiochute_runtime::clock;
use pistachiochute_runtime::platform::key_value;

use crate::adapter;
use crate::control::state::HostEntry;
use crate::control::{Context, HOSTS_PREFIX, sync};

/// Lease renewals per time to live.
const RENEWALS_PER_TTL: u32 = 3;

/// Time that a stopping host waits for the removal of its entry.
const REVOKE_TIMEOUT: Duration = Duration::from_millis(150);

/// Delay between two watches of the hosts: when many start at once, one answer carries them all.
const WATCH_DELAY: Duration = Duration::from_millis(400);

/// Interval at which a host with a live relay reads the list of hosts.
const RELAYED_REFRESH_INTERVAL: Duration = Duration::from_secs(5);

/// Keeps this host registered under a lease, which expires if the host stops renewing it.
pub(super) async fn keep_registered<D, S>(cx: Rc<Context<D, S>>)
where
    D: adapter::Dialect,
    S: adapter::Store,
{
    loop {
        if let Err(e) = register_once(&cx).await {
            sync::handle_store_failure(&cx, "own host entry", &e).await;
        }
    }
}

/// Writes the entry and renews its lease until the lease expires or a call fails.
async fn register_once<D, S>(cx: &Context<D, S>) -> Result<(), key_value::Error>
where
    D: adapter::Dialect,
    S: adapter::Store,
{
    let ttl = cx.settings.store.lease;
    let lease = cx.store.grant(ttl).await?;
    cx.lease.set(Some(lease));
    let entry = HostEntry {
        links: cx.settings.listen.links,
        domain: cx.settings.host.domain.clone(),
    };
    let value = serde_json::to_vec(&entry).expect("an address and a name are valid JSON");
    let key = format!("{HOSTS_PREFIX}{}", cx.settings.host.name);
    cx.store.put(&key, &value, lease).await?;
    loop {
        tokio::time::sleep(ttl / RENEWALS_PER_TTL).await;
        let holds = cx.store.keep_alive(lease).await?;
        cx.record_store_response();
        if !holds {
            cx.events.lease_expired(lease);
            return Ok(());
        }
    }
}

/// Removes the entry of this host when it stops, so that others need not wait for its lease to
/// expire.
pub(super) async fn deregister<D, S>(cx: &Context<D, S>)
where
    D: adapter::Dialect,
    S: adapter::Store,
{
    let Some(lease) = cx.lease.take() else { return };
    // If the call is lost, the lease expires by itself.
    drop(tokio::time::timeout(REVOKE_TIMEOUT, cx.store.revoke(lease)).await);
}

/// Keeps the list of hosts in sync with the store.
pub(super) async fn sync_hosts<D, S>(cx: Rc<Context<D, S>>)
where
    D: adapter::Dialect,
    S: adapter::Store,
{
    loop {
        sync::run_until_store_recovers(&cx, HOSTS_PREFIX, sync_hosts_once(&cx)).await;
    }
}

async fn sync_hosts_once<D, S>(cx: &Context<D, S>) -> Result<(), key_value::Error>
where
    D: adapter::Dialect,
    S: adapter::Store,
{
    loop {
        // A host with a live relay only needs to know its relays, which seldom change.
        let consistency = match cx.has_live_relay() {
            true => adapter::Consistency::Stale,
            false => adapter::Consistency::Linearizable,
        };
        let found = cx.store.range(HOSTS_PREFIX, consistency).await?;
        let mut after = found.revision;
        for entry in &found.entries {
            apply_host_entry(cx, entry);
        }
        let names = found.entries.iter().filter_map(|e| host_name(&e.key));
        let listed: BTreeSet<_> = names.collect();
        cx.state
            .borrow_mut()
            .hosts
            .retain_listed(&listed, clock::now());
        cx.publish();
        if consistency == adapter::Consistency::Stale {
            tokio::time::sleep(RELAYED_REFRESH_INTERVAL).await;
            continue;
        }
        loop {
            let watched = cx
                .store
                .watch(HOSTS_PREFIX, after, sync::WATCH_TIMEOUT)
                .await?;
            let adapter::WatchResponse::Changes { revision, changes } = watched else {
                cx.events.watch_compacted(HOSTS_PREFIX, after);
                break;
            };
            for change in &changes {
                apply_change(cx, change);
            }
            if !changes.is_empty() {
                cx.publish();
            }
            after = after.max(revision);
            if cx.has_live_relay() {
                break;
            }
            tokio::time::sleep(WATCH_DELAY).await;
        }
    }
}

fn apply_change<D, S>(cx: &Context<D, S>, change: &key_value::Change) {
    match change {
        key_value::Change::Put(entry) => apply_host_entry(cx, entry),
        key_value::Change::Deleted { key, .. } => {
            let Some(name) = host_name(key) else { return };
            cx.state.borrow_mut().hosts.remove(&name, clock::now());
            cx.events.host_removed(&name);
        }
    }
}

fn apply_host_entry<D, S>(cx: &Context<D, S>, entry: &key_value::Entry) {
    let Some(name) = host_name(&entry.key) else {
        return;
    };
    match serde_json::from_slice::<HostEntry>(&entry.value) {
        Ok(host) => {
            let links = host.links;
            let is_new = cx.state.borrow_mut().hosts.put(name.clone(), host);
            if is_new {
                cx.events.host_discovered(&name, links);
            }
        }
        Err(e) => cx
            .events
            .entry_invalid(&entry.key, entry.modified, &e.into()),
    }
}

fn host_name(key: &[u8]) -> Option<Arc<str>> {
    let name = key.strip_prefix(HOSTS_PREFIX.as_bytes())?;
    std::str::from_utf8(name).ok().map(Arc::from)
}
