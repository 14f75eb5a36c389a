//! Recovery of the index of cached prompt parts after all hosts were lost.
//!
//! A host that joins a running fleet gets the index from the other hosts. After all hosts were
//! lost, each host queries the engines that are assigned to it and sends the result to the others:
//! a query costs an engine far less than to process a prompt again.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, StatusCode, header};
use http_body_util::Full;
use pistachiochute_core::{admission, directory};
use pistachiochute_messages::peer;
use pistachiochute_runtime::clock;

use crate::control::{Context, links};
use crate::{adapter, events, http_client, shared};

/// Time that other hosts are given to open their links and send their index.
const PEER_WAIT: Duration = Duration::from_millis(200);

/// Uptime from which on another host counts as having an index.
const INFORMED_PEER_UPTIME: Duration = Duration::from_secs(4);

/// Time in which an engine must answer.
const QUERY_TIMEOUT: Duration = Duration::from_millis(800);

/// Interval at which the host checks whether it has a catalog and endpoints.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Queries the engines that are assigned to this host, unless another host has an index.
pub(super) async fn recover<D, S>(cx: Rc<Context<D, S>>)
where
    D: adapter::Dialect,
    S: adapter::Store,
{
    while !cx.shared.view().can_serve() {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    tokio::time::sleep(PEER_WAIT).await;
    if cx.max_peer_uptime.get() >= INFORMED_PEER_UPTIME {
        return;
    }
    let view = cx.shared.view().clone();
    for endpoint in engines(&view) {
        if is_assigned_here(&cx, &endpoint) {
            tokio::task::spawn_local(query_engine(cx.clone(), endpoint));
        }
    }
}

/// Endpoints that cache prompts.
fn engines(view: &shared::View) -> Vec<Arc<directory::Endpoint>> {
    let Some(catalog) = &view.catalog else {
        return Vec::new();
    };
    let services = &catalog.content().services;
    let is_engine = |endpoint: &&Arc<directory::Endpoint>| {
        let mut named = services.iter().filter(|s| s.name == endpoint.service);
        named.any(|service| service.memory_tokens.is_some())
    };
    view.endpoints.iter().filter(is_engine).cloned().collect()
}

/// Whether an endpoint is assigned to this host among all hosts.
fn is_assigned_here<D, S>(cx: &Context<D, S>, endpoint: &directory::Endpoint) -> bool {
    let state = cx.state.borrow();
    state.is_assigned_here(endpoint.identity.hash(), |_| true)
}

async fn query_engine<D, S>(cx: Rc<Context<D, S>>, endpoint: Arc<directory::Endpoint>)
where
    D: adapter::Dialect,
    S: adapter::Store,
{
    let client = http_client::Client::new(endpoint.address);
    let req = Request::get(cx.dialect.cache_list_path())
        .header(header::HOST, endpoint.address.to_string())
        .body(Full::new(Bytes::new()));
    let Ok(req) = req else { return };
    let fail = |cause: &str| cx.events.cache_list_failed(&endpoint.identity, cause);
    let answer = match client.call(req, QUERY_TIMEOUT).await {
        Ok(answer) => answer,
        Err(e) => return fail(&e.to_string()),
    };
    if cx.dialect.leave_notice(&answer.headers) == admission::LeaveNotice::Leaving {
        let source = events::NoticeSource::Answer;
        cx.metrics.leave_notice();
        cx.events.endpoint_leaves(&endpoint.identity, &source);
        cx.shared
            .announce_departure(&endpoint.identity, clock::now());
    }
    record_pushback(&cx, &endpoint, &answer);
    if answer.status != StatusCode::OK {
        return fail(&format!("status {}", answer.status.as_u16()));
    }
    let parts = match cx.dialect.decode_cached_parts(&answer.body) {
        Ok(parts) => parts,
        Err(e) => return fail(&format!("{e:#}")),
    };
    let cached_parts: Vec<_> = parts
        .into_iter()
        .map(|part| peer::CachedPart {
            part,
            endpoint: endpoint.identity.hash(),
        })
        .collect();
    cx.events
        .cache_listed(&endpoint.identity, cached_parts.len());
    links::apply_cached_parts(&cx, &cached_parts);
    for part in cached_parts {
        cx.shared.local_cached_parts.push(part);
    }
}

/// Records that an engine's answer asks this host to send it nothing for a while.
fn record_pushback<D, S>(
    cx: &Context<D, S>,
    endpoint: &directory::Endpoint,
    answer: &http_client::Response,
) where
    D: adapter::Dialect,
{
    let identity = &endpoint.identity;
    match cx.dialect.pushback(answer.status, &answer.headers) {
        Ok(None) => {}
        Ok(Some(pushback)) => {
            cx.metrics.pushback();
            cx.events.endpoint_pushback(identity, pushback);
            cx.shared.local_pushbacks.push(shared::PushbackNotice {
                endpoint: identity.hash(),
                pushback,
                at: clock::now(),
            });
        }
        Err(e) => cx.events.endpoint_pushback_invalid(identity, e),
    }
}
