//! Log lines: one for each decision that touches a request or changes what the host believes.
//!
//! Every line has a fixed message and fixed fields, which `docs/OPERATIONS.md` lists. Lines are
//! written by a thread of their own; when it cannot keep up, lines are dropped and counted.

use std::cell::Cell;
use std::fmt;
use std::net;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use pistachiochute_core::{catalog, choice, directory, outcome, reason, revision, time};
use pistachiochute_runtime::clock;
use pistachiochute_runtime::platform::key_value;

/// Lines about requests that one host writes in a second at most.
const REQUEST_LINES_PER_S: u32 = 150;

/// Where news came from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Source {
    /// From the store.
    Store,
    /// From another host.
    Host(Arc<str>),
}

impl fmt::Display for Source {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Store => f.write_str("store"),
            Self::Host(name) => write!(f, "host {name}"),
        }
    }
}

/// One attempt of a request, as it is logged.
#[derive(Clone, Copy, Debug)]
pub struct AttemptLogEntry<'a> {
    /// Id of the request.
    pub request: &'a str,
    /// Endpoint that was chosen.
    pub endpoint: &'a directory::Identity,
    /// Figures that decided the choice.
    pub choice: &'a choice::Choice,
    /// How the attempt ended.
    pub failure: &'a str,
    /// Why, in words.
    pub cause: &'a str,
    /// What follows.
    pub next: &'a str,
}

/// The end of a request, as it is logged.
#[derive(Clone, Debug)]
pub struct RequestLogEntry<'a> {
    /// Id of the request.
    pub request: &'a str,
    /// Route, if one was found.
    pub route: &'a str,
    /// Client account.
    pub account: &'a str,
    /// Version of the catalog that decided.
    pub catalog: Option<catalog::Version>,
    /// Time since that catalog was known to be the newest.
    pub catalog_age: Duration,
    /// Status that the caller got.
    pub status: u16,
    /// Reason of a refusal.
    pub reason: Option<reason::Refusal>,
    /// Whether the request ran.
    pub outcome: outcome::Outcome,
    /// Attempts.
    pub attempts: u32,
    /// Endpoint that answered.
    pub endpoint: &'a str,
    /// Figures that decided the choice of that endpoint.
    pub choice: Option<choice::Choice>,
    /// Time to the head of the answer.
    pub time_to_first: Option<Duration>,
    /// Time to the end of the answer.
    pub duration: Duration,
    /// Events of a stream that were passed on.
    pub events: u64,
    /// Longest time between two of them.
    pub longest_gap: Duration,
    /// How the answer ended.
    pub end: &'a str,
}

/// Log of one thread.
#[derive(Clone)]
pub struct Events {
    log: slog::Logger,
    quota: Rc<LineQuota>,
}

/// Lines about requests in the current second.
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
    /// Makes the log of a thread.
    #[must_use]
    pub fn new(log: slog::Logger) -> Self {
        Self {
            log,
            quota: Rc::default(),
        }
    }

    /// A catalog is in force.
    pub fn catalog_applied(&self, version: catalog::Version, source: Source) {
        slog::info!(self.log, "catalog taken over"; "version" => %version, "source" => %source);
    }

    /// The store began or ceased to answer.
    pub fn store_availability(&self, answers: bool, cause: &str) {
        match answers {
            true => slog::info!(self.log, "store regained"),
            false => slog::warn!(self.log, "store lost"; "cause" => cause),
        }
    }

    /// The store no longer holds the changes after a revision; everything is read again.
    pub fn watch_compacted(&self, prefix: &str, after: revision::Revision) {
        slog::info!(self.log, "history gone"; "prefix" => prefix, "after" => %after);
    }

    /// A follower of the store has to start anew.
    pub fn sync_failed(&self, what: &str, e: &key_value::Error) {
        slog::info!(self.log, "follower stopped"; "what" => what, "cause" => %e);
    }

    /// An entry of the store cannot be used.
    pub fn entry_invalid(&self, key: &[u8], revision: revision::Revision, e: &eyre::Report) {
        let key = String::from_utf8_lossy(key).into_owned();
        slog::warn!(
            self.log, "entry unusable";
            "key" => key, "revision" => %revision, "cause" => format!("{e:#}"),
        );
    }

    /// All endpoints were read.
    pub fn endpoints_listed(&self, entries: usize, revision: revision::Revision) {
        slog::info!(self.log, "endpoints listed"; "entries" => entries, "revision" => %revision);
    }

    /// The use of an endpoint changed.
    pub fn endpoint_changed(
        &self,
        key: &str,
        revision: revision::Revision,
        endpoint: Option<&directory::Endpoint>,
    ) {
        let state = match endpoint.map(|e| e.state) {
            Some(directory::State::Ready) => "ready",
            Some(directory::State::Leaving) => "leaving",
            None => "gone",
        };
        slog::info!(
            self.log, "endpoint changed";
            "key" => key, "revision" => %revision, "state" => state,
            "at" => endpoint.map(|e| e.address.to_string()),
            "endpoint_domain" => endpoint.map(|e| &*e.domain),
        );
    }

    /// An engine told what it holds.
    pub fn cache_listed(&self, endpoint: &directory::Identity, parts: usize) {
        slog::info!(self.log, "cache learned"; "endpoint" => %endpoint, "parts" => parts);
    }

    /// An engine did not tell what it holds.
    pub fn cache_list_failed(&self, endpoint: &directory::Identity, cause: &str) {
        slog::info!(self.log, "cache unknown"; "endpoint" => %endpoint, "cause" => cause);
    }

    /// A host is known.
    pub fn host_discovered(&self, name: &str, links: net::SocketAddr) {
        slog::info!(self.log, "host known"; "peer" => name, "links" => %links);
    }

    /// The entry of a host is gone.
    pub fn host_removed(&self, name: &str) {
        slog::info!(self.log, "host gone"; "peer" => name);
    }

    /// The lease of this host's entry ended.
    pub fn lease_expired(&self, lease: key_value::LeaseId) {
        slog::warn!(self.log, "lease ended"; "lease" => %lease);
    }

    /// A link works.
    pub fn link_up(&self, name: &str) {
        slog::info!(self.log, "link up"; "peer" => name);
    }

    /// A link was lost.
    pub fn link_lost(&self, name: &str, e: &eyre::Report) {
        slog::info!(self.log, "link lost"; "peer" => name, "cause" => format!("{e:#}"));
    }

    /// A listener cannot be used.
    pub fn listener_failed(&self, what: &str, e: &dyn fmt::Display) {
        slog::error!(self.log, "listener failed"; "what" => what, "cause" => %e);
    }

    /// An attempt ended without an answer for the caller.
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

    /// A request ended.
    pub fn request(&self, entry: &RequestLogEntry<'_>) {
        if !self.allow_line(clock::now()) {
            return;
        }
        let millis = |span: Duration| span.as_micros() as f64 / 1_000.0;
        slog::info!(
            self.log, "request ended";
            "request" => entry.request, "route" => entry.route, "account" => entry.account,
            "catalog" => entry.catalog.map(|v| v.0), "catalog_age_ms" => millis(entry.catalog_age),
            "status" => entry.status, "reason" => entry.reason.map(reason::Refusal::as_str),
            "outcome" => entry.outcome.as_str(), "tries" => entry.attempts,
            "endpoint" => entry.endpoint, "cost_ms" => entry.choice.map(|c| c.cost_ms),
            "read_tokens" => entry.choice.map(|c| c.read_tokens),
            "copy_tokens" => entry.choice.map(|c| c.copy_tokens),
            "first_ms" => entry.time_to_first.map(millis), "total_ms" => millis(entry.duration), "events" => entry.events,
            "longest_gap_ms" => millis(entry.longest_gap), "end" => entry.end,
        );
    }

    /// A step of a planned stop.
    pub fn stop_step(&self, step: &str, requests: usize) {
        slog::info!(self.log, "stop"; "step" => step, "requests" => requests);
    }

    /// Whether another line about a request may be written in this second.
    fn allow_line(&self, now: time::Time) -> bool {
        let second = now.as_micros() / 1_000_000;
        if self.quota.second.replace(second) != second {
            self.quota.lines.set(0);
            let dropped = self.quota.dropped.take();
            if dropped > 0 {
                slog::warn!(self.log, "lines dropped"; "lines" => dropped);
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
