//! What a request is, and whether the catalog allows it.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::request;
use pistachiochute_core::{catalog, choice, reason, time};

use crate::{adapter, shared};

/// Longest time that a request may take if neither its route nor its caller bounds it.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);

/// Age of the catalog from which on this host may be behind: it does not refuse a caller for a
/// route or key that it does not know, but asks it to come back.
const CATALOG_STALE_AFTER: Duration = Duration::from_secs(14);

/// A request that the catalog allows.
#[derive(Clone, Debug)]
pub(super) struct Plan {
    /// Catalog that decided.
    pub catalog: Arc<catalog::Catalog>,
    /// Route.
    pub route: catalog::Route,
    /// Service that serves it.
    pub service: catalog::ServiceIndex,
    /// Name of the client account.
    pub account: Option<Arc<str>>,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Point in time after which the answer is of no use.
    pub deadline: time::Time,
    /// What it needs of an endpoint.
    pub choice_request: choice::Request,
}

impl Plan {
    /// The service.
    pub(super) fn service(&self) -> &catalog::Service {
        self.catalog.service(self.service)
    }
}

/// Decides whether a request is allowed and where it belongs.
pub(super) fn plan(
    view: &shared::View,
    catalog_age: Duration,
    head: &request::Parts,
    metadata: &adapter::RequestMetadata,
    arrived: time::Time,
) -> Result<Plan, reason::Refusal> {
    let catalog = view.catalog.as_ref().ok_or(reason::Refusal::NotReady)?;
    // A host that may be behind must not say that a route or key does not exist.
    let unknown_or_not_ready = |refusal| match catalog_age < CATALOG_STALE_AFTER {
        true => refusal,
        false => reason::Refusal::NotReady,
    };
    let route = catalog
        .route(authority(head), head.uri.path())
        .ok_or_else(|| unknown_or_not_ready(reason::Refusal::NotFound))?;
    let account = authenticate(catalog, route, metadata).map_err(unknown_or_not_ready)?;
    let seed = request_seed(&metadata.id);
    let timeout = route.timeout.unwrap_or(DEFAULT_TIMEOUT);
    let caller_timeout = metadata.timeout.unwrap_or(timeout);
    Ok(Plan {
        service: route.target(seed),
        account: account.map(|a| a.name.clone()),
        priority: account.and_then(|a| a.priority).unwrap_or(route.priority),
        deadline: arrived + timeout.min(caller_timeout),
        choice_request: choice::Request {
            prompt: metadata.prompt.clone(),
            seed,
        },
        route: route.clone(),
        catalog: catalog.clone(),
    })
}

/// Host name that the caller asked for.
fn authority(head: &request::Parts) -> &str {
    if let Some(authority) = head.uri.authority() {
        return authority.as_str();
    }
    let header = head.headers.get(http::header::HOST);
    header.and_then(|v| v.to_str().ok()).unwrap_or("")
}

/// Account that holds the key of a request, if the route needs one.
fn authenticate<'a>(
    catalog: &'a catalog::Catalog,
    route: &catalog::Route,
    metadata: &adapter::RequestMetadata,
) -> Result<Option<&'a catalog::Account>, reason::Refusal> {
    if route.is_public || !catalog.has_accounts() {
        return Ok(None);
    }
    let key: &Bytes = metadata.key.as_ref().ok_or(reason::Refusal::Unauthorized)?;
    let account = catalog.account_of_key(key);
    account.map(Some).ok_or(reason::Refusal::Unauthorized)
}

/// Number that spreads the decisions on a request.
fn request_seed(id: &[u8]) -> u64 {
    xxhash_rust::xxh3::xxh3_64(id)
}
