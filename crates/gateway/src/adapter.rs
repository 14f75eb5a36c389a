//! What the gateway needs of the platform that it runs on.

use std::net;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, request, response};
use pistachiochute_core::choice::prompt;
use pistachiochute_core::{catalog, directory, reason, revision};
use pistachiochute_runtime::platform::key_value;

/// What a caller says of its request, beside method, path and body.
#[derive(Clone, Debug)]
pub struct RequestMetadata {
    /// Id of the request, as the caller made it.
    pub id: Bytes,
    /// Time that the caller will wait.
    pub timeout: Option<Duration>,
    /// API key.
    pub key: Option<Bytes>,
    /// Prompt, if an engine is asked.
    pub prompt: Option<prompt::Prompt>,
    /// Id of the last event of the stream that the caller has already.
    pub after_event: Option<u64>,
}

/// What an endpoint is told with a request.
#[derive(Clone, Copy, Debug)]
pub struct CallMetadata<'a> {
    /// The endpoint that is meant.
    pub endpoint: &'a directory::Endpoint,
    /// Time until the answer is of no use.
    pub remaining: Duration,
    /// Name of the client account.
    pub account: Option<&'a str>,
    /// Rank of the request; 0 is the most urgent.
    pub priority: Option<u8>,
    /// Id of the last event of the stream that the caller has already.
    pub after_event: Option<u64>,
    /// Endpoint whose cached part of the prompt is to be copied first.
    pub copy_from: Option<net::SocketAddr>,
}

/// Load that an endpoint states of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
}

/// What the head of an endpoint's answer says.
#[derive(Clone, Debug)]
pub struct ResponseMetadata {
    /// Id of the request that is answered.
    pub id: Option<Bytes>,
    /// Whether the endpoint vouches for the answer.
    pub is_sealed: bool,
    /// Whether the endpoint states that it did not run the request.
    pub is_not_run: bool,
    /// Load of the endpoint.
    pub load: Option<ReportedLoad>,
    /// Time for which the endpoint keeps the connection open while it is idle.
    pub idle_limit: Option<Duration>,
}

/// Reads and writes the headers and entries of a platform.
pub trait Dialect: Clone + Send + 'static {
    /// Reads what a caller says.
    ///
    /// # Errors
    ///
    /// Returns a reason if the request cannot be served as it is.
    fn request_metadata(&self, head: &request::Parts) -> Result<RequestMetadata, reason::Refusal>;

    /// Replaces what only concerns callers by what an endpoint is told.
    fn set_call_headers(&self, headers: &mut HeaderMap, call: &CallMetadata<'_>);

    /// Reads the head of an endpoint's answer.
    fn response_metadata(&self, head: &response::Parts) -> ResponseMetadata;

    /// Removes what does not concern callers.
    fn strip_internal_headers(&self, headers: &mut HeaderMap);

    /// Path of the list of cached parts of prompts, at an engine.
    fn cache_list_path(&self) -> &'static str;

    /// Keys of the parts in an engine's list, as [`prompt::part_key`] makes them.
    ///
    /// # Errors
    ///
    /// Returns an error if the list cannot be read.
    fn decode_cached_parts(&self, body: &[u8]) -> eyre::Result<Vec<u64>>;

    /// Key of the entry that holds the catalog.
    fn catalog_key(&self) -> &'static str;

    /// Start of the keys of the entries of endpoints.
    fn endpoints_prefix(&self) -> &'static str;

    /// Reads the entry of the catalog.
    ///
    /// # Errors
    ///
    /// Returns an error that names what cannot be read.
    fn decode_catalog(&self, value: &[u8]) -> eyre::Result<catalog::Content>;

    /// Reads the entry of an endpoint.
    ///
    /// # Errors
    ///
    /// Returns an error that names what cannot be read.
    fn decode_endpoint(&self, key: &str, value: &[u8]) -> eyre::Result<directory::Endpoint>;
}

/// Answer to a watch.
#[derive(Clone, Debug)]
pub enum WatchResponse {
    /// All changes after the asked revision, up to and with `revision`.
    Changes {
        /// Revision to go on from.
        revision: revision::Revision,
        /// Changes in the order of their revisions.
        changes: Vec<key_value::Change>,
    },
    /// The changes after the asked revision are no longer kept.
    Compacted,
}

/// How current a read is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Consistency {
    /// It sees every change that was acknowledged before it.
    Linearizable,
    /// It may be seconds old, and costs the store less.
    Stale,
}

/// The key-value service of a platform.
///
/// Dropping a future gives the call up; its effect is then unknown.
pub trait Store: Clone + 'static {
    /// Reads all entries whose keys start with `prefix`.
    fn range(
        &self,
        prefix: &str,
        consistency: Consistency,
    ) -> impl Future<Output = Result<key_value::Found, key_value::Error>>;

    /// Waits up to `wait` for changes after a revision.
    fn watch(
        &self,
        prefix: &str,
        after: revision::Revision,
        wait: Duration,
    ) -> impl Future<Output = Result<WatchResponse, key_value::Error>>;

    /// Writes an entry, whatever it was before. It is removed when the lease lapses.
    fn put(
        &self,
        key: &str,
        value: &[u8],
        lease: key_value::LeaseId,
    ) -> impl Future<Output = Result<(), key_value::Error>>;

    /// Grants a lease.
    fn grant(
        &self,
        ttl: Duration,
    ) -> impl Future<Output = Result<key_value::LeaseId, key_value::Error>>;

    /// Renews a lease. Returns whether it still holds.
    fn keep_alive(
        &self,
        lease: key_value::LeaseId,
    ) -> impl Future<Output = Result<bool, key_value::Error>>;

    /// Ends a lease and removes its entries.
    fn revoke(
        &self,
        lease: key_value::LeaseId,
    ) -> impl Future<Output = Result<(), key_value::Error>>;
}
