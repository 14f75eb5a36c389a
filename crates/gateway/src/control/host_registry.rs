//! Registration of this host in the store, and discovery of the others from their entries.

use std::collections::BTreeSet;
use std::net;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use pistachiochute_core::membership::registration;
use pistachiochute_runtime::clock;
use pistachiochute_runtime::platform::key_value;

use crate::adapter;
use crate::control::state::HostEntry;
use crate::control::{Context, HOSTS_PREFIX, listing, sync};

/// Longest time that the registration waits for the first read of the store, which shows whether an
/// entry of this host's last process is still there.
const FIRST_READ_WAIT: Duration = Duration::from_millis(600);

/// Most hosts found together that are logged with a line each.
const MAX_HOST_LINES: usize = 8;

/// Interval at which the registration checks whether it is due.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Time that a stopping host waits for the removal of its entry.
const REVOKE_TIMEOUT: Duration = Duration::from_millis(150);

/// Interval at which a host with a live relay reads the list of hosts. Such a host only needs to know
/// its relays, which seldom change.
const RELAYED_REFRESH_INTERVAL: Duration = Duration::from_secs(5);

/// Keeps this host registered under a lease, which expires if the host stops renewing it.
pub(super) async fn keep_registered<D, S>(cx: Rc<Context<D, S>>)
where
    D: adapter::Dialect,
    S: adapter::Store,
{
    // Without an answer in time, the host registers anew.
    drop(tokio::time::timeout(FIRST_READ_WAIT, cx.first_read.notified()).await);
    loop {
        let visibility = cx.visibility();
        let step = cx.registration.borrow().next_step(visibility, clock::now());
        let Some(step) = step else {
            tokio::time::sleep(POLL_INTERVAL).await;
            continue;
        };
        if let Err(e) = run_step(&cx, step).await {
            sync::handle_store_failure(&cx, "own host entry", &e).await;
        }
    }
}

/// Makes the calls of one step of the registration.
async fn run_step<D, S>(
    cx: &Context<D, S>,
    step: registration::Step,
) -> Result<(), key_value::Error>
where
    D: adapter::Dialect,
    S: adapter::Store,
{
    match step {
        registration::Step::Register { ttl } => register(cx, ttl).await,
        registration::Step::Renew { lease } => renew(cx, lease).await,
    }
}

/// Writes the entry under a new lease.
async fn register<D, S>(cx: &Context<D, S>, ttl: Duration) -> Result<(), key_value::Error>
where
    D: adapter::Dialect,
    S: adapter::Store,
{
    let granted_at = clock::now();
    let lease = cx.store.grant(ttl).await?;
    let value = serde_json::to_vec(&own_entry(cx)).expect("an address and a name are valid JSON");
    let key = format!("{HOSTS_PREFIX}{}", cx.settings.host.name);
    cx.store.put(&key, &value, lease).await?;
    cx.record_store_response();
    let lease = registration::LeaseId(lease.0);
    let mut registration = cx.registration.borrow_mut();
    registration.record_lease(lease, ttl, granted_at);
    Ok(())
}

async fn renew<D, S>(
    cx: &Context<D, S>,
    lease: registration::LeaseId,
) -> Result<(), key_value::Error>
where
    D: adapter::Dialect,
    S: adapter::Store,
{
    let sent_at = clock::now();
    let ttl = cx.store.keep_alive(key_value::LeaseId(lease.0)).await?;
    cx.record_store_response();
    let mut registration = cx.registration.borrow_mut();
    match ttl {
        Some(ttl) => registration.record_lease(lease, ttl, sent_at),
        None => {
            registration.record_end();
            cx.events.lease_expired(key_value::LeaseId(lease.0));
        }
    }
    Ok(())
}

fn own_entry<D, S>(cx: &Context<D, S>) -> HostEntry {
    HostEntry {
        links: cx.settings.listen.links,
        domain: cx.settings.host.domain.clone(),
    }
}

/// Removes the entry of this host when it stops, if others must notice that soon. Other entries stay
/// until their lease expires, and the next process of the host takes them over.
pub(super) async fn deregister<D, S>(cx: &Context<D, S>)
where
    D: adapter::Dialect,
    S: adapter::Store,
{
    let visibility = cx.visibility();
    let lease = cx.registration.borrow_mut().take_lease_to_end(visibility);
    let Some(lease) = lease else { return };
    // If the call is lost, the lease expires by itself.
    let lease = key_value::LeaseId(lease.0);
    drop(tokio::time::timeout(REVOKE_TIMEOUT, cx.store.revoke(lease)).await);
}

/// Reads the list of hosts now and then while a relay supplies all other changes.
pub(super) async fn refresh_hosts<D, S>(cx: Rc<Context<D, S>>)
where
    D: adapter::Dialect,
    S: adapter::Store,
{
    loop {
        sync::wait_for_live_relay(&cx).await;
        let mut hosts = Vec::new();
        let visit = |_, entry| hosts.extend(decode(&cx, &entry));
        let consistency = adapter::Consistency::Stale;
        match listing::read_all(&cx, HOSTS_PREFIX, consistency, visit).await {
            Ok(_) => replace_hosts(&cx, hosts),
            Err(e) => cx.events.sync_failed(HOSTS_PREFIX, &e),
        }
        tokio::time::sleep(RELAYED_REFRESH_INTERVAL).await;
    }
}

/// The entry of a host in a list.
#[derive(Debug)]
pub(super) struct ListedHost {
    /// Name of the host.
    name: Arc<str>,
    /// What it says, if that can be read.
    entry: Option<HostEntry>,
    /// Lease that removes the entry when it expires.
    lease: Option<key_value::LeaseId>,
}

/// Decodes the entry of a host, or returns `None` if it is another entry. One that cannot be read is logged.
pub(super) fn decode<D, S>(cx: &Context<D, S>, entry: &key_value::Entry) -> Option<ListedHost> {
    let name = host_name(&entry.key)?;
    let decoded = listing::has_usual_size(cx, entry).then(|| serde_json::from_slice(&entry.value));
    let decoded = decoded.and_then(|decoded| {
        let log = |e: serde_json::Error| {
            cx.events
                .entry_invalid(&entry.key, entry.modified, &e.into());
        };
        decoded.map_err(log).ok()
    });
    Some(ListedHost {
        name,
        entry: decoded,
        lease: entry.lease,
    })
}

/// Replaces the hosts by those of a complete list.
pub(super) fn replace_hosts<D, S>(cx: &Context<D, S>, hosts: Vec<ListedHost>)
where
    D: adapter::Dialect,
    S: adapter::Store,
{
    let listed: BTreeSet<Arc<str>> = hosts.iter().map(|host| host.name.clone()).collect();
    let discovered = hosts.into_iter().filter_map(|host| apply_host(cx, host));
    let discovered: Vec<_> = discovered.collect();
    log_discovered(cx, &discovered);
    let now = clock::now();
    let mut state = cx.state.borrow_mut();
    state.hosts.retain_listed(&listed, now);
    drop(state);
    cx.update_overlay(now);
    cx.publish();
}

/// Takes over the lease of an entry that an earlier process of this host has left, if this process
/// has had none, and lets the registration begin.
pub(super) fn begin_registration<D, S>(cx: &Context<D, S>, hosts: &[ListedHost]) {
    adopt_own_entry(cx, hosts);
    cx.first_read.notify_one();
}

fn adopt_own_entry<D, S>(cx: &Context<D, S>, hosts: &[ListedHost]) {
    let is_own = |host: &&ListedHost| *host.name == *cx.settings.host.name;
    let Some(host) = hosts.iter().find(is_own) else {
        if cx.state.borrow().epochs.is_restoring(clock::now()) {
            // The copy may have the lease and not the entry.
            cx.registration.borrow_mut().record_end();
        }
        return;
    };
    if let (Some(lease), Some(entry)) = (host.lease, &host.entry)
        && *entry == own_entry(cx)
    {
        let lease = registration::LeaseId(lease.0);
        cx.registration.borrow_mut().adopt(lease);
    }
}

/// Applies the changes of hosts among changes of all entries.
pub(super) fn apply_changes<D, S>(cx: &Context<D, S>, changes: &[key_value::Change])
where
    D: adapter::Dialect,
    S: adapter::Store,
{
    let prefix = HOSTS_PREFIX.as_bytes();
    let of_hosts = |change: &&key_value::Change| change.key().starts_with(prefix);
    let mut any = false;
    let mut discovered = Vec::new();
    for change in changes.iter().filter(of_hosts) {
        any = true;
        match change {
            key_value::Change::Put(entry) => {
                discovered.extend(decode(cx, entry).and_then(|host| apply_host(cx, host)));
            }
            key_value::Change::Deleted { key, .. } => remove_host(cx, key),
        }
    }
    log_discovered(cx, &discovered);
    if any {
        cx.publish();
    }
}

fn remove_host<D, S>(cx: &Context<D, S>, key: &[u8]) {
    let Some(name) = host_name(key) else { return };
    cx.state.borrow_mut().hosts.remove(&name, clock::now());
    cx.events.host_removed(&name);
}

/// A host that was not known or has another entry, and the address of its links.
type Discovered = (Arc<str>, net::SocketAddr);

/// Applies the entry of a host. Returns the host if that is news.
fn apply_host<D, S>(cx: &Context<D, S>, host: ListedHost) -> Option<Discovered> {
    let entry = host.entry?;
    let links = entry.links;
    let is_new = cx.state.borrow_mut().hosts.put(host.name.clone(), entry);
    is_new.then_some((host.name, links))
}

/// Logs hosts that were found together: a line each if they are few. When a large fleet starts, each
/// host finds all others at once, and has requests to serve.
fn log_discovered<D, S>(cx: &Context<D, S>, discovered: &[Discovered]) {
    if discovered.len() > MAX_HOST_LINES {
        return cx.events.hosts_discovered(discovered.len());
    }
    for (name, links) in discovered {
        cx.events.host_discovered(name, *links);
    }
}

fn host_name(key: &[u8]) -> Option<Arc<str>> {
    let name = key.strip_prefix(HOSTS_PREFIX.as_bytes())?;
    std::str::from_utf8(name).ok().map(Arc::from)
}
