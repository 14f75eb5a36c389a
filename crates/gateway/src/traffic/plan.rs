//! Authentication and routing of a request by the catalog.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::request;
use pistachiochute_core::{catalog, choice, liveness, quarantine, reason, time};

use crate::{adapter, shared};

/// Timeout of a request if neither its route nor its caller sets one.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);

/// Age from which on the catalog may be outdated: an unknown route or key is then answered with a
/// retryable refusal, not with one that says that it does not exist.
const CATALOG_STALE_AFTER: Duration = Duration::from_secs(14);

/// Routing of a request that the catalog allows.
#[derive(Clone, Debug)]
pub(super) struct Plan {
    /// Catalog that the request was routed by.
    pub catalog: Arc<catalog::Catalog>,
    /// Route.
    pub route: catalog::Route,
    /// Service that the request goes to.
    pub service: catalog::ServiceIndex,
    /// Name of the client account, or `None` if the route needs no key.
    pub account: Option<Arc<str>>,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Deadline of the request.
    pub deadline: liveness::Deadline,
    /// Input for the selection of an endpoint.
    pub choice_request: choice::Request,
    /// What of the request may crash endpoints.
    pub keys: quarantine::RequestKeys,
}

impl Plan {
    /// Longest time since a stream that this request resumes can have begun.
    pub(super) fn longest_span(&self) -> Duration {
        self.route.timeout.unwrap_or(DEFAULT_TIMEOUT)
    }

    /// Service that the request goes to, from the catalog.
    pub(super) fn service(&self) -> &catalog::Service {
        self.catalog.service(self.service)
    }
}

/// Routes and authenticates a request.
pub(super) fn plan(
    view: &shared::View,
    catalog_age: Duration,
    head: &request::Parts,
    metadata: &adapter::RequestMetadata,
    body: &[u8],
    arrived: time::Time,
) -> Result<Plan, reason::Refusal> {
    let catalog = view.catalog.as_ref().ok_or(reason::Refusal::NotReady)?;
    // With an outdated catalog, the host must not claim that a route or key does not exist.
    let unknown_or_not_ready = |refusal| match catalog_age < CATALOG_STALE_AFTER {
        true => refusal,
        false => reason::Refusal::NotReady,
    };
    let route = catalog
        .route(authority(head), head.uri.path())
        .ok_or_else(|| unknown_or_not_ready(reason::Refusal::NotFound))?;
    let account = authenticate(catalog, route, metadata).map_err(unknown_or_not_ready)?;
    let account_name = account.map(|account| account.name.clone());
    let seed = request_seed(&metadata.id);
    // A route may be split among services. A stream goes on at the one that began it.
    let first_id = metadata.resumes.as_ref().unwrap_or(&metadata.id);
    let service = route.target(request_seed(first_id));
    refuse_oversized(catalog.service(service), metadata)?;
    let timeout = route.timeout.unwrap_or(DEFAULT_TIMEOUT);
    let caller_timeout = metadata.timeout.unwrap_or(timeout);
    Ok(Plan {
        service,
        keys: request_keys(head, account_name.as_deref(), metadata, body),
        account: account_name,
        priority: account.and_then(|a| a.priority).unwrap_or(route.priority),
        deadline: liveness::Deadline::new(arrived, timeout.min(caller_timeout)),
        choice_request: choice::Request {
            prompt: metadata.prompt.clone(),
            seed,
        },
        route: route.clone(),
        catalog: catalog.clone(),
    })
}

/// Refuses a prompt that no engine of the service has room for. Each that tried it would end.
fn refuse_oversized(
    service: &catalog::Service,
    metadata: &adapter::RequestMetadata,
) -> Result<(), reason::Refusal> {
    let prompt = metadata.prompt.as_ref();
    match prompt.zip(service.memory_tokens) {
        Some((prompt, memory)) if !prompt.fits(memory) => Err(reason::Refusal::PromptTooLarge),
        _ => Ok(()),
    }
}

/// What of a request may crash endpoints. The same request of another account has another key, since it
/// may be sound.
fn request_keys(
    head: &request::Parts,
    account: Option<&str>,
    metadata: &adapter::RequestMetadata,
    body: &[u8],
) -> quarantine::RequestKeys {
    let prompt = metadata.prompt.as_ref();
    let shared_parts = prompt.map(quarantine::shared_parts).unwrap_or_default();
    let target = head.uri.path_and_query().map_or("/", |t| t.as_str());
    let request = quarantine::PartKey::of_request(&[
        account.unwrap_or("").as_bytes(),
        head.method.as_str().as_bytes(),
        authority(head).as_bytes(),
        target.as_bytes(),
        body,
    ]);
    quarantine::RequestKeys::new(shared_parts, request)
}

/// Authority of a request, from its target or its `Host` header.
fn authority(head: &request::Parts) -> &str {
    if let Some(authority) = head.uri.authority() {
        return authority.as_str();
    }
    let header = head.headers.get(http::header::HOST);
    header.and_then(|v| v.to_str().ok()).unwrap_or("")
}

/// Client account of the request's API key, or `None` if the route needs no key.
fn authenticate<'a>(
    catalog: &'a catalog::Catalog,
    route: &catalog::Route,
    metadata: &adapter::RequestMetadata,
) -> Result<Option<&'a catalog::Account>, reason::Refusal> {
    if route.is_public || !catalog.needs_keys() {
        return Ok(None);
    }
    let key: &Bytes = metadata.key.as_ref().ok_or(reason::Refusal::Unauthorized)?;
    let account = catalog.account_of_key(key);
    account.map(Some).ok_or(reason::Refusal::Unauthorized)
}

/// Seed of the randomized decisions on a request.
fn request_seed(id: &[u8]) -> u64 {
    xxhash_rust::xxh3::xxh3_64(id)
}
