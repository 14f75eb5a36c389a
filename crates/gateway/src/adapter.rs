//! Interface between the gateway and the platform that it runs on.

use std::fmt;
use std::net;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderName, StatusCode, request, response};
use pistachiochute_core::catalog::verify;
use pistachiochute_core::choice::prompt;
use pistachiochute_core::{admission, directory, rate_limits, reason, revision, sse};
use pistachiochute_runtime::platform::key_value;

/// Metadata that a caller sends with its request in headers.
#[derive(Clone, Debug)]
pub struct RequestMetadata {
    /// Id of the request, set by the caller.
    pub id: Bytes,
    /// Time that the caller waits for the answer.
    pub timeout: Option<Duration>,
    /// API key.
    pub key: Option<Bytes>,
    /// Prompt, if the request is for an inference engine.
    pub prompt: Option<prompt::Prompt>,
    /// Id of the last stream event that the caller has received, if it resumes a stream.
    pub after_event: Option<u64>,
    /// Id of the request that began the stream, if the caller resumes it and states that id.
    pub resumes: Option<Bytes>,
}

impl RequestMetadata {
    /// Whether the caller resumes a stream.
    #[must_use]
    pub const fn resumes_stream(&self) -> bool {
        self.after_event.is_some() || self.resumes.is_some()
    }
}

/// Metadata that the gateway sends to an endpoint with a request.
#[derive(Clone, Copy, Debug)]
pub struct CallMetadata<'a> {
    /// Endpoint that the request is for.
    pub endpoint: &'a directory::Endpoint,
    /// Time until the deadline of the request.
    pub remaining: Duration,
    /// Name of the client account.
    pub account: Option<&'a str>,
    /// Priority of the request; 0 is the most urgent.
    pub priority: Option<u8>,
    /// Id of the last stream event that the caller has received, if the stream is resumed.
    pub after_event: Option<u64>,
    /// Address of the endpoint to copy the cached part of the prompt from before the rest is read.
    pub copy_from: Option<net::SocketAddr>,
}

/// Load that an endpoint reports in its answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Running requests.
    pub running: u32,
    /// Queued requests.
    pub waiting: u32,
}

/// Metadata in the head of an endpoint's answer.
#[derive(Clone, Debug)]
pub struct ResponseMetadata {
    /// Id of the request that this answers.
    pub id: Option<Bytes>,
    /// Whether the answer carries the seal that marks it as an endpoint's.
    pub is_sealed: bool,
    /// Whether the endpoint states that it has not run the request.
    pub is_not_run: bool,
    /// Current load of the endpoint.
    pub load: Option<ReportedLoad>,
    /// Requests a second that the endpoint takes from all hosts together, if it names a limit. An
    /// error if what it names is not a rate.
    pub limit: Option<Result<rate_limits::RequestRate, rate_limits::ParseRateError>>,
    /// Whether the endpoint says that it leaves.
    pub leave_notice: admission::LeaveNotice,
    /// Time for which the endpoint, which refused the request, wants no other one of this host, if it
    /// asks for any. An error if what it says is not a time.
    pub pushback: Result<Option<admission::Pushback>, admission::ParsePushbackError>,
    /// Requests that the endpoint can turn away in a second, if it says that it is brittle. What is not a
    /// number counts as nothing.
    pub brittleness: Option<admission::Brittleness>,
    /// Time after which the endpoint closes an idle connection.
    pub idle_limit: Option<Duration>,
}

/// What an endpoint says of itself when it is asked for its report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointReport {
    /// Start of its process, in milliseconds since the Unix epoch, if it says so.
    pub started_at_ms: Option<u64>,
}

/// Headers and store entries of a platform.
pub trait Dialect: Clone + Send + 'static {
    /// Reads the metadata of a caller's request.
    ///
    /// # Errors
    ///
    /// Returns the refusal if a required header is missing or invalid.
    fn request_metadata(&self, head: &request::Parts) -> Result<RequestMetadata, reason::Refusal>;

    /// Removes headers that callers must not send to endpoints, and sets those of the gateway.
    fn set_call_headers(&self, headers: &mut HeaderMap, call: &CallMetadata<'_>);

    /// Reads the metadata of an endpoint's answer.
    fn response_metadata(&self, head: &response::Parts) -> ResponseMetadata;

    /// Reads from the headers of any answer of an endpoint whether it says that it leaves.
    fn leave_notice(&self, headers: &HeaderMap) -> admission::LeaveNotice;

    /// Reads from the head of any answer of an endpoint the time for which it wants no requests of this
    /// host, if it asks for any.
    ///
    /// # Errors
    ///
    /// Returns an error if what it says is not a time.
    fn pushback(
        &self,
        status: StatusCode,
        headers: &HeaderMap,
    ) -> Result<Option<admission::Pushback>, admission::ParsePushbackError>;

    /// Headers that callers and endpoints need of each other, whatever a `Connection` header says of them.
    fn end_to_end_headers(&self) -> &'static [HeaderName];

    /// Removes headers of an endpoint's answer that callers must not see.
    fn strip_internal_headers(&self, headers: &mut HeaderMap);

    /// Fields with which an event of an endpoint's stream may begin, beside those of all events.
    fn leading_event_fields(&self) -> sse::LeadingFields;

    /// Path at which an engine lists the parts of prompts in its cache.
    fn cache_list_path(&self) -> &'static str;

    /// Decodes an engine's cache list to keys as of [`prompt::part_key`].
    ///
    /// # Errors
    ///
    /// Returns an error if the list is malformed.
    fn decode_cached_parts(&self, body: &[u8]) -> eyre::Result<Vec<u64>>;

    /// Path at which an endpoint reports on itself.
    fn report_path(&self) -> &'static str;

    /// Decodes an endpoint's report.
    ///
    /// # Errors
    ///
    /// Returns an error if it is no report.
    fn decode_report(&self, body: &[u8]) -> eyre::Result<EndpointReport>;

    /// Key of the store entry that holds the catalog.
    fn catalog_key(&self) -> &'static str;

    /// Key prefix of the store entries of endpoints.
    fn endpoints_prefix(&self) -> &'static str;

    /// Key prefix of the store entries in which operators evacuate failure domains. The domain follows.
    fn evacuations_prefix(&self) -> &'static str;

    /// Decodes the catalog entry.
    ///
    /// # Errors
    ///
    /// Returns all findings if the catalog cannot be used.
    fn decode_catalog(&self, value: &[u8]) -> Result<verify::Decoded, Vec<verify::Finding>>;

    /// Decodes the entry of an endpoint.
    ///
    /// # Errors
    ///
    /// Returns an error that names the invalid field.
    fn decode_endpoint(&self, key: &str, value: &[u8]) -> eyre::Result<directory::Endpoint>;
}

/// An item of the store that cannot be read, or whose value cannot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnreadableItem {
    /// Its key, if that can be read.
    pub key: Option<Bytes>,
    /// What is wrong.
    pub cause: String,
}

/// Where a page of a list begins: after the last key of the page before.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PageStart(String);

impl PageStart {
    /// The page that begins after a key.
    #[must_use]
    pub const fn after(key: String) -> Self {
        Self(key)
    }
}

impl fmt::Display for PageStart {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// A page of a list.
#[derive(Clone, Debug)]
pub struct Page {
    /// Epoch of the store, of all revisions of the page.
    pub epoch: revision::Epoch,
    /// Revision of the store at which the page was read.
    pub revision: revision::Revision,
    /// Entries of the page. The value of one that cannot be read is empty.
    pub entries: Vec<key_value::Entry>,
    /// Items that cannot be read.
    pub unreadable: Vec<UnreadableItem>,
    /// The next page, if there is one.
    pub next: Option<PageStart>,
}

/// Answer to a long-polling watch.
#[derive(Clone, Debug)]
pub enum WatchResponse {
    /// All changes after the requested revision, up to and including `revision`.
    Changes {
        /// Epoch of the store, of all revisions of the answer.
        epoch: revision::Epoch,
        /// Revision from which the next watch continues.
        revision: revision::Revision,
        /// Changes in the order of their revisions. The value of an entry that cannot be read is empty.
        changes: Vec<key_value::Change>,
        /// Items that cannot be read.
        unreadable: Vec<UnreadableItem>,
    },
    /// The store no longer has all changes after the requested revision.
    Compacted,
}

/// Consistency of a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Consistency {
    /// The read sees every change that was acknowledged before it.
    Linearizable,
    /// The result may be seconds old, but costs the store less.
    Stale,
}

/// Client of a platform's key-value service.
///
/// Dropping a future cancels the call; whether it took effect is then unknown.
pub trait Store: Clone + 'static {
    /// Newest epoch that the store has named in any answer, if it has named one.
    fn epoch(&self) -> Option<revision::Epoch>;

    /// Reads a page of the entries whose keys start with `prefix`: the first one, or that from `start` on.
    fn read_page(
        &self,
        prefix: &str,
        start: Option<&PageStart>,
        consistency: Consistency,
    ) -> impl Future<Output = Result<Page, key_value::Error>>;

    /// Waits up to `wait` for changes after a revision to keys that start with `prefix`.
    fn watch(
        &self,
        prefix: &str,
        after: revision::Revision,
        wait: Duration,
    ) -> impl Future<Output = Result<WatchResponse, key_value::Error>>;

    /// Writes an entry unconditionally. The store removes it when the lease expires.
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

    /// Renews a lease. Returns its time to live from now on, or `None` if it has ended.
    fn keep_alive(
        &self,
        lease: key_value::LeaseId,
    ) -> impl Future<Output = Result<Option<Duration>, key_value::Error>>;

    /// Ends a lease and removes its entries.
    fn revoke(
        &self,
        lease: key_value::LeaseId,
    ) -> impl Future<Output = Result<(), key_value::Error>>;
}
