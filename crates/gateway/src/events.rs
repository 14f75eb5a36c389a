//! Structured log: one line for each decision that affects a request or changes the state of the
//! host.
//!
//! Every line has a fixed message and fixed keys, which `docs/OPERATIONS.md` lists. A separate
//! thread writes the lines; if it falls behind, lines are dropped and counted.

mod catalogs;
mod entry;
mod streams;

use std::cell::Cell;
use std::fmt;
use std::net;
use std::rc::Rc;
use std::time::Duration;

use pistachiochute_core::health::isolation;
use pistachiochute_core::membership::overlay;
use pistachiochute_core::{
    admission, directory, overload, quarantine, rate_limits, reason, revision, spill, time,
};
use pistachiochute_runtime::clock;
use pistachiochute_runtime::platform::key_value;

use crate::adapter;

pub use entry::{
    AttemptLogEntry, BrokenAnswerLogEntry, CallSlotLogEntry, CatalogLogEntry, EndpointLogEntry,
    Lender, NoticeSource, OriginLogEntry, PromptAdmissionLogEntry, RequestLogEntry, Source,
    StreamClaimLogEntry, StreamPart, StreamPartsLogEntry, StreamVersionLogEntry,
};

/// Most lines about requests that a host logs per second.
const REQUEST_LINES_PER_S: u32 = 150;

/// Parts of a prompt that one line lists.
const LISTED_PARTS: usize = 32;

/// Event log of one thread.
#[derive(Clone)]
pub struct Events {
    log: slog::Logger,
    quota: Rc<LineQuota>,
}

/// Limits lines about requests per second of the clock.
#[derive(Default)]
struct LineQuota {
    second: Cell<u64>,
    lines: Cell<u32>,
    dropped: Cell<u32>,
}

impl fmt::Debug for Events {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Events").finish_non_exhaustive()
    }
}

impl Events {
    /// Creates the log of a thread.
    #[must_use]
    pub fn new(log: slog::Logger) -> Self {
        Self {
            log,
            quota: Rc::default(),
        }
    }

    /// The store became reachable or unreachable.
    pub fn store_availability(&self, answers: bool, cause: &str) {
        match answers {
            true => slog::info!(self.log, "store regained"),
            false => slog::warn!(self.log, "store lost"; "cause" => cause),
        }
    }

    /// The store has compacted the changes after a revision, so that all entries are read again.
    pub fn watch_compacted(&self, prefix: &str, after: revision::StoredRevision) {
        slog::info!(self.log, "watch history compacted"; "prefix" => prefix, "after" => %after);
    }

    /// Synchronization with the store failed and has to start over.
    pub fn sync_failed(&self, what: &str, e: &key_value::Error) {
        slog::info!(self.log, "store sync failed"; "what" => what, "cause" => %e);
    }

    /// The store has come back from a copy of an earlier time.
    pub fn store_restored(&self, epoch: revision::Epoch) {
        slog::warn!(self.log, "store restored"; "epoch" => %epoch);
    }

    /// A store entry cannot be decoded.
    pub fn entry_invalid(&self, key: &[u8], revision: revision::Revision, e: &eyre::Report) {
        let key = String::from_utf8_lossy(key).into_owned();
        slog::warn!(
            self.log, "store entry invalid";
            "key" => key, "revision" => %revision, "cause" => format!("{e:#}"),
        );
    }

    /// The value of a store entry is larger than any that is meant.
    pub fn entry_too_large(&self, key: &[u8], revision: revision::Revision, bytes: usize) {
        let e = eyre::eyre!("{bytes} bytes are more than such an entry has");
        self.entry_invalid(key, revision, &e);
    }

    /// An item of the store cannot be read, or its value cannot.
    pub fn item_unreadable(&self, item: &adapter::UnreadableItem) {
        let key = item.key.as_deref().map(String::from_utf8_lossy);
        slog::warn!(
            self.log, "store item unreadable";
            "key" => key.as_deref(), "cause" => &item.cause,
        );
    }

    /// The entries of all endpoints were read.
    pub fn endpoints_listed(&self, entries: usize, revision: revision::StoredRevision) {
        slog::info!(self.log, "endpoints listed"; "entries" => entries, "revision" => %revision);
    }

    /// No relay has said for this time what it knows of the endpoints, so that this host reads them.
    pub fn endpoints_not_known(&self, age: Duration) {
        slog::info!(self.log, "endpoints not known"; "known_age_ms" => millis(age));
    }

    /// An endpoint was added, changed, or removed.
    pub fn endpoint_changed(&self, entry: &EndpointLogEntry<'_>) {
        let state = match entry.endpoint.map(|e| e.state) {
            Some(directory::State::Ready) => "ready",
            Some(directory::State::Leaving) => "leaving",
            None => "gone",
        };
        slog::info!(
            self.log, "endpoint changed";
            "key" => entry.key, "revision" => %entry.revision, "state" => state,
            "at" => entry.endpoint.map(|e| e.address.to_string()),
            "endpoint_domain" => entry.endpoint.map(|e| &*e.domain),
            "source" => %entry.source, "known_age_ms" => millis(entry.known_age),
        );
    }

    /// The entry of an endpoint was removed, perhaps by an outage of the store, and the endpoint stays in
    /// use.
    pub fn endpoint_in_doubt(&self, key: &str, revision: revision::StoredRevision) {
        slog::info!(self.log, "endpoint in doubt"; "key" => key, "revision" => %revision);
    }

    /// The doubt about the removal of an entry is over, and its endpoint no longer in use.
    pub fn endpoint_doubt_ended(&self, removal: &directory::ConfirmedRemoval) {
        slog::info!(
            self.log, "endpoint doubt ended";
            "key" => &*removal.key, "revision" => %removal.revision,
            "doubted_ms" => millis(removal.doubted_for),
        );
    }

    /// This host has another role in the overlay, or other relays.
    pub fn role_changed(&self, overlay: &overlay::Overlay) {
        slog::info!(
            self.log, "role changed";
            "role" => overlay.role.as_str(), "relays" => overlay.relays.join(","),
            "links" => overlay.links.len(),
        );
    }

    /// An engine listed its cached prompt parts.
    pub fn cache_listed(&self, endpoint: &directory::Identity, parts: usize) {
        slog::info!(self.log, "engine cache listed"; "endpoint" => %endpoint, "parts" => parts);
    }

    /// An engine's list of cached prompt parts could not be read.
    pub fn cache_list_failed(&self, endpoint: &directory::Identity, cause: &str) {
        slog::info!(
            self.log, "engine cache list failed";
            "endpoint" => %endpoint, "cause" => cause,
        );
    }

    /// Another host was discovered.
    pub fn host_discovered(&self, name: &str, links: net::SocketAddr) {
        slog::info!(self.log, "host discovered"; "peer" => name, "links" => %links);
    }

    /// Many hosts were discovered together.
    pub fn hosts_discovered(&self, count: usize) {
        slog::info!(self.log, "hosts discovered"; "hosts" => count);
    }

    /// The entry of a host was removed.
    pub fn host_removed(&self, name: &str) {
        slog::info!(self.log, "host entry removed"; "peer" => name);
    }

    /// The lease of this host's entry expired.
    pub fn lease_expired(&self, lease: key_value::LeaseId) {
        slog::warn!(self.log, "host lease expired"; "lease" => %lease);
    }

    /// A link to another host was established.
    pub fn link_up(&self, name: &str) {
        slog::info!(self.log, "link up"; "peer" => name);
    }

    /// A link to another host was lost.
    pub fn link_lost(&self, name: &str, e: &eyre::Report) {
        slog::info!(self.log, "link lost"; "peer" => name, "cause" => format!("{e:#}"));
    }

    /// A message to a host is too large, and was left out.
    pub fn message_dropped(&self, peer: &str, message: &str, e: &dyn fmt::Display) {
        slog::warn!(
            self.log, "link message dropped";
            "peer" => peer, "message" => message, "cause" => %e,
        );
    }

    /// A listener cannot be registered with the runtime.
    pub fn listener_failed(&self, what: &str, e: &dyn fmt::Display) {
        slog::error!(self.log, "listener failed"; "what" => what, "cause" => %e);
    }

    /// An attempt failed.
    pub fn attempt(&self, entry: &AttemptLogEntry<'_>) {
        if !self.allow_line(clock::now()) {
            return;
        }
        slog::info!(
            self.log, "attempt ended";
            "request" => entry.request, "endpoint" => %entry.endpoint,
            "cost_ms" => entry.choice.cost_ms, "candidates" => entry.choice.candidates,
            "ending" => entry.failure, "cause" => entry.cause, "next" => entry.next,
        );
    }

    /// The head of an endpoint's answer names another version than HTTP/1.1.
    pub fn answer_version(
        &self,
        request: &[u8],
        endpoint: &directory::Identity,
        (version, status): (http::Version, http::StatusCode),
    ) {
        if !self.allow_line(clock::now()) {
            return;
        }
        slog::info!(
            self.log, "answer of another version";
            "request" => &*String::from_utf8_lossy(request), "endpoint" => %endpoint,
            "version" => ?version, "status" => status.as_u16(),
        );
    }

    /// An endpoint broke an answer off. The keys relate the requests that an endpoint was processing
    /// when it ended.
    pub fn answer_broken(&self, entry: &BrokenAnswerLogEntry<'_>) {
        if !self.allow_line(clock::now()) {
            return;
        }
        slog::info!(
            self.log, "answer broken off";
            "request" => entry.request, "endpoint" => %entry.endpoint,
            "progress" => entry.progress.as_str(), "after_ms" => millis(entry.after),
            "keys" => part_list(entry.keys), "cause" => entry.cause,
        );
    }

    /// Requests of a service leave the failure domain in another way or share than before.
    pub fn departures_changed(&self, change: &spill::Change) {
        slog::info!(
            self.log, "departures changed";
            "service" => &*change.service, "state" => change.state.as_str(),
            "share" => change.share, "own_ms" => change.own_ms, "other_ms" => change.other_ms,
        );
    }

    /// No endpoint of a service can be reached from this host, or one can again.
    pub fn service_reach_changed(&self, service: &str, change: isolation::Change) {
        match change {
            isolation::Change::Isolated => {
                slog::warn!(self.log, "no endpoint reached"; "service" => service);
            }
            isolation::Change::Reached => {
                slog::info!(self.log, "endpoints reached again"; "service" => service);
            }
        }
    }

    /// A request was passed to another host.
    pub fn forwarded(&self, request: &[u8], host: &str, result: &str) {
        if !self.allow_line(clock::now()) {
            return;
        }
        slog::info!(
            self.log, "passed on";
            "request" => %String::from_utf8_lossy(request), "to" => host, "result" => result,
        );
    }

    /// A request that another host passed on cannot be read.
    pub fn forwarded_request_invalid(&self, e: &eyre::Report) {
        if !self.allow_line(clock::now()) {
            return;
        }
        slog::warn!(self.log, "forwarded request invalid"; "cause" => format!("{e:#}"));
    }

    /// A request waited for a slot, or did not get one.
    pub fn call_slot(&self, entry: &CallSlotLogEntry<'_>) {
        if !self.allow_line(clock::now()) {
            return;
        }
        slog::info!(
            self.log, "call slot";
            "request" => entry.request, "service" => entry.service, "account" => entry.account,
            "result" => entry.result, "waited_ms" => millis(entry.waited),
        );
    }

    /// A service with engines is overloaded from now on, or no longer is.
    pub fn service_overload(&self, service: &str, gate: &overload::Gate) {
        let fleet = gate.fleet();
        slog::info!(
            self.log, "service overload";
            "service" => service, "overloaded" => gate.is_overloaded(), "slots" => fleet.slots,
            "in_flight" => fleet.in_flight, "places" => fleet.places() as u64,
            "reading_ms" => millis(fleet.reading), "fair_share" => gate.fair_share() as u64,
        );
    }

    /// A prompt waited for a place at an overloaded service, or was refused.
    pub fn prompt_admission(&self, entry: &PromptAdmissionLogEntry<'_>) {
        if !self.allow_line(clock::now()) {
            return;
        }
        slog::info!(
            self.log, "prompt admission";
            "request" => entry.request, "service" => entry.service, "account" => entry.account,
            "result" => entry.result, "limit" => entry.limit, "waited_ms" => millis(entry.waited),
            "account_in_flight" => entry.account_in_flight, "fair_share" => entry.fair_share as u64,
        );
    }

    /// An endpoint names a limit, another one than before, or no longer any.
    pub fn endpoint_limit(
        &self,
        endpoint: &directory::Identity,
        limit: Option<rate_limits::RequestRate>,
    ) {
        slog::info!(
            self.log, "endpoint limit";
            "endpoint" => %endpoint, "per_s" => limit.map(rate_limits::RequestRate::as_per_second),
        );
    }

    /// Another host than before lends the permits of an endpoint, as far as this host knows.
    pub fn permit_lender(&self, endpoint: &directory::Identity, lender: Lender<'_>) {
        if !self.allow_line(clock::now()) {
            return;
        }
        slog::info!(
            self.log, "permit lender";
            "endpoint" => %endpoint, "lender" => %lender,
        );
    }

    /// What an endpoint names as its limit is not a rate.
    pub fn endpoint_limit_invalid(
        &self,
        endpoint: &directory::Identity,
        e: rate_limits::ParseRateError,
    ) {
        if !self.allow_line(clock::now()) {
            return;
        }
        slog::warn!(
            self.log, "endpoint limit invalid";
            "endpoint" => %endpoint, "cause" => %e,
        );
    }

    /// An endpoint asks this host to send it nothing for a while.
    pub fn endpoint_pushback(&self, endpoint: &directory::Identity, pushback: admission::Pushback) {
        slog::info!(
            self.log, "endpoint pushback";
            "endpoint" => %endpoint, "ms" => millis(pushback.span()),
        );
    }

    /// What an endpoint asks for is not a time.
    pub fn endpoint_pushback_invalid(
        &self,
        endpoint: &directory::Identity,
        e: admission::ParsePushbackError,
    ) {
        if !self.allow_line(clock::now()) {
            return;
        }
        slog::warn!(
            self.log, "endpoint pushback invalid";
            "endpoint" => %endpoint, "cause" => %e,
        );
    }

    /// An endpoint that is brittle has turned a request away, and is tried with one at a time.
    pub fn endpoint_brittle(
        &self,
        endpoint: &directory::Identity,
        brittleness: admission::Brittleness,
    ) {
        if !self.allow_line(clock::now()) {
            return;
        }
        slog::info!(
            self.log, "endpoint brittle";
            "endpoint" => %endpoint, "bears" => %brittleness,
        );
    }

    /// An endpoint says in an answer that it leaves.
    pub fn endpoint_leaves(&self, endpoint: &directory::Identity, source: &NoticeSource) {
        slog::info!(
            self.log, "endpoint leaves";
            "endpoint" => %endpoint, "incarnation" => %directory::IncarnationKey::of(endpoint),
            "source" => %source,
        );
    }

    /// An operator has evacuated a failure domain, or taken it back.
    pub fn evacuation(&self, evacuation: &directory::Evacuation, source: &Source) {
        let text = match evacuation.is_evacuated {
            true => "domain evacuated",
            false => "domain taken back",
        };
        slog::info!(
            self.log, "{}", text;
            "domain" => &*evacuation.domain, "revision" => %evacuation.revision,
            "source" => %source,
        );
    }

    /// An endpoint is cold, or for a time that differs from what was known.
    pub fn endpoint_cold(&self, cold: &directory::ColdEndpoint, now: time::Time) {
        if !self.allow_line(now) {
            return;
        }
        slog::info!(
            self.log, "endpoint cold";
            "incarnation" => %directory::IncarnationKey::new(cold.endpoint),
            "remaining_ms" => cold.until.since(now).as_millis() as u64, "rate" => %cold.rate,
        );
    }

    /// What an endpoint says of whether it leaves is not defined.
    pub fn leave_notice_invalid(&self, endpoint: &directory::Identity) {
        slog::warn!(self.log, "endpoint leave notice invalid"; "endpoint" => %endpoint);
    }

    /// An endpoint has crashed: it lost connections and refuses others.
    pub fn endpoint_crashed(&self, endpoint: &directory::Identity, crash: &quarantine::Crash) {
        let requests = crash.requests.iter();
        let requests: Vec<String> = requests.map(|r| part_list(&r.keys)).collect();
        slog::info!(
            self.log, "endpoint crashed";
            "endpoint" => %endpoint, "incarnation" => %crash.incarnation,
            "keys" => requests.join(" "),
        );
    }

    /// Requests that were in flight at crashes are left out of the evidence.
    pub fn crash_evidence_left_out(&self, requests: usize) {
        slog::warn!(self.log, "crash evidence left out"; "requests" => requests);
    }

    /// Parts of prompts are accused of crashing endpoints.
    pub fn parts_accused(&self, parts: &[quarantine::PartKey], crashes: usize) {
        slog::warn!(
            self.log, "prompt parts accused";
            "parts" => part_list(parts), "crashes" => crashes,
        );
    }

    /// An answer on an accused part has gone on.
    pub fn part_cleared(&self, part: quarantine::PartKey) {
        slog::warn!(self.log, "prompt part cleared"; "part" => %part);
    }

    /// A request ended.
    pub fn request(&self, entry: &RequestLogEntry<'_>) {
        if !self.allow_line(clock::now()) {
            return;
        }
        slog::info!(
            self.log, "request ended";
            "request" => entry.request, "route" => entry.route, "account" => entry.account,
            "catalog" => entry.catalog.map(|v| v.0), "catalog_age_ms" => millis(entry.catalog_age),
            "status" => entry.status, "reason" => entry.reason.map(reason::Refusal::as_str),
            "outcome" => entry.outcome.as_str(), "from_host" => entry.is_from_host,
            "tries" => entry.attempts,
            "endpoint" => entry.endpoint, "cost_ms" => entry.choice.map(|c| c.cost_ms),
            "read_tokens" => entry.choice.map(|c| c.read_tokens),
            "copy_tokens" => entry.choice.map(|c| c.copy_tokens),
            "departure" => entry.departure.map(spill::Departure::as_str),
            "first_ms" => entry.time_to_first.map(millis), "total_ms" => millis(entry.duration),
            "events" => entry.events, "longest_gap_ms" => millis(entry.longest_gap),
            "end" => entry.end,
        );
    }

    /// The host closes a caller's connection that has unfinished requests. `error` is the error of
    /// the connection, if that is the cause.
    pub fn connection_closed(&self, cause: reason::Close, requests: u32, error: Option<&str>) {
        if !self.allow_line(clock::now()) {
            return;
        }
        slog::info!(
            self.log, "connection closed";
            "cause" => cause.as_str(), "requests" => requests, "error" => error,
        );
    }

    /// A graceful stop entered a phase.
    pub fn stop_step(&self, step: &str, requests: usize) {
        slog::info!(self.log, "stop"; "step" => step, "requests" => requests);
    }

    /// Whether another line about a request fits into the limit of this second. Logs the number of
    /// lines dropped in the previous second.
    fn allow_line(&self, now: time::Time) -> bool {
        let second = now.as_micros() / 1_000_000;
        if self.quota.second.replace(second) != second {
            self.quota.lines.set(0);
            let dropped = self.quota.dropped.take();
            if dropped > 0 {
                slog::warn!(self.log, "log lines dropped"; "lines" => dropped);
            }
        }
        let lines = self.quota.lines.get();
        if lines >= REQUEST_LINES_PER_S {
            self.quota.dropped.set(self.quota.dropped.get() + 1);
            return false;
        }
        self.quota.lines.set(lines + 1);
        true
    }
}

/// The first parts, and the number of the others.
fn part_list(parts: &[quarantine::PartKey]) -> String {
    let first = parts.iter().take(LISTED_PARTS);
    let keys: Vec<String> = first.map(ToString::to_string).collect();
    match parts.len().checked_sub(LISTED_PARTS) {
        None | Some(0) => keys.join(","),
        Some(others) => format!("{},and {others} more", keys.join(",")),
    }
}

fn millis(span: Duration) -> f64 {
    span.as_micros() as f64 / 1_000.0
}
