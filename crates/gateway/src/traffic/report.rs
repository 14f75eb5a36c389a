//! Log line and metrics of a request.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use pistachiochute_core::{catalog, choice, directory, outcome, reason, retry, spill, time};
use pistachiochute_runtime::clock;
use smallvec::SmallVec;

use crate::traffic::plan::Plan;
use crate::traffic::{Context, connection, endpoints};
use crate::{adapter, events};

/// Collects the data for the log line and the metrics of a request while it is served.
pub(super) struct Report<D>
where
    D: adapter::Dialect,
{
    cx: Rc<Context<D>>,
    connection: Rc<connection::Connection>,
    arrived: time::Time,
    deadline: time::Time,
    id: String,
    route: Arc<str>,
    account: Option<Arc<str>>,
    catalog: Option<catalog::Version>,
    status: u16,
    reason: Option<reason::Refusal>,
    /// Time until an endpoint takes a request, if the request is refused because none does now.
    wait: Option<Duration>,
    /// What was sent of the request, and so whether it ran.
    sends: retry::Sends,
    /// Whether another host has passed the request on.
    is_from_host: bool,
    attempts: u32,
    endpoint: String,
    choice: Option<choice::Choice>,
    departure: Option<spill::Departure>,
    time_to_first: Option<Duration>,
    events: u64,
    last_event_at: time::Time,
    longest_gap: Duration,
    /// Parts of the stream, if it is one. The last may not have ended.
    parts: SmallVec<[events::StreamPart; 1]>,
    /// Whether the log line was written. If the report is dropped before, the connection of the
    /// caller was closed.
    is_finished: bool,
}

impl<D> Report<D>
where
    D: adapter::Dialect,
{
    /// Creates the report of a request that has arrived, and counts the request as active.
    pub(super) fn new(
        cx: &Rc<Context<D>>,
        connection: Rc<connection::Connection>,
        arrived: time::Time,
    ) -> Self {
        cx.active_requests.set(cx.active_requests.get() + 1);
        connection.request_started();
        cx.metrics.started();
        Self {
            cx: cx.clone(),
            connection,
            arrived,
            deadline: arrived,
            id: String::new(),
            route: Arc::from(""),
            account: None,
            catalog: None,
            status: 0,
            reason: None,
            wait: None,
            sends: retry::Sends::new(),
            is_from_host: false,
            attempts: 0,
            endpoint: String::new(),
            choice: None,
            departure: None,
            time_to_first: None,
            events: 0,
            last_event_at: arrived,
            longest_gap: Duration::ZERO,
            parts: SmallVec::new(),
            is_finished: false,
        }
    }

    /// What was sent of the request.
    pub(super) const fn sends(&self) -> &retry::Sends {
        &self.sends
    }

    /// Connection of the caller.
    pub(super) const fn connection(&self) -> &Rc<connection::Connection> {
        &self.connection
    }

    /// Records the start of an attempt.
    pub(super) fn record_attempt(&mut self, selected: &endpoints::SelectedEndpoint) {
        self.attempts += 1;
        self.endpoint = selected.endpoint.identity.to_string();
        self.choice = Some(selected.choice);
        self.departure = selected.departure;
    }

    /// Records how the request was routed.
    pub(super) fn record_plan(&mut self, plan: &Plan) {
        self.route = plan.route.name.clone();
        self.account.clone_from(&plan.account);
        self.catalog = Some(plan.catalog.version());
        self.deadline = plan.deadline.at();
    }

    /// Records that the request was refused.
    pub(super) fn record_refusal(&mut self, reason: reason::Refusal, status: u16) {
        self.reason = Some(reason);
        self.status = status;
        self.cx.metrics.refused(reason);
    }

    /// Records that another host has passed the request on.
    pub(super) const fn record_from_host(&mut self) {
        self.is_from_host = true;
    }

    /// Records that another host refused the request.
    pub(super) const fn record_refusal_of_host(&mut self, status: u16) {
        self.status = status;
    }

    /// Records after which time an endpoint takes a request.
    pub(super) const fn record_wait(&mut self, wait: Duration) {
        self.wait = Some(wait);
    }

    /// Delay after which the caller of a refused request should retry.
    pub(super) fn retry_after(&self, reason: reason::Refusal) -> Duration {
        let seed = self.arrived.as_micros();
        match (reason, self.wait) {
            (
                reason::Refusal::CallSlots
                | reason::Refusal::Overloaded
                | reason::Refusal::EndpointLimits
                | reason::Refusal::EndpointsCold,
                Some(room),
            ) => retry::retry_after_room(room, seed),
            (reason::Refusal::EndpointPushback, Some(pause)) => {
                retry::retry_after_pause(pause, seed)
            }
            _ => {
                let remaining = self.deadline.since(clock::now());
                retry::retry_after(reason, remaining, seed)
            }
        }
    }

    /// Records that an endpoint answered.
    pub(super) const fn record_answer(&mut self, status: u16) {
        self.status = status;
    }

    /// Records that events were forwarded. `events` is the number forwarded so far.
    pub(super) fn record_events(&mut self, events: u64) {
        let now = clock::now();
        self.events = events;
        if self.time_to_first.is_none() {
            let span = now.since(self.arrived);
            self.time_to_first = Some(span);
            self.cx.metrics.first_token(span);
        } else {
            let gap = now.since(self.last_event_at);
            self.longest_gap = self.longest_gap.max(gap);
            self.cx.metrics.token_gap(gap);
        }
        self.last_event_at = now;
    }

    /// Records that an endpoint, or another host if there is none, sends the next part of the stream.
    pub(super) fn begin_part(
        &mut self,
        endpoint: Option<Arc<directory::Endpoint>>,
        framing: outcome::Framing,
    ) {
        self.parts.push(events::StreamPart {
            endpoint,
            framing,
            first_event: None,
            last_event: None,
            end: outcome::PartEnd::Abandoned,
            cause: String::new(),
        });
    }

    /// Records that so many events of the part were forwarded, and the id of the last one.
    pub(super) fn record_part_events(&mut self, count: u64, last: u64) {
        if let Some(part) = self.parts.last_mut() {
            let is_first = part.last_event.is_none() && count == 1;
            part.first_event = part.first_event.or_else(|| is_first.then_some(last));
            part.last_event = Some(last);
        }
    }

    /// Records how the part ended.
    pub(super) fn end_part(&mut self, end: outcome::PartEnd, cause: &str) {
        if let Some(part) = self.parts.last_mut() {
            part.end = end;
            cause.clone_into(&mut part.cause);
        }
    }

    /// Logs and counts the parts of a stream whose end or order is not plain.
    fn report_parts(&self, end: &str) {
        let is_plain = |part: &events::StreamPart| {
            let ends_plainly = matches!(
                part.end,
                outcome::PartEnd::Framed | outcome::PartEnd::Abandoned
            );
            part.framing == outcome::Framing::Explicit && ends_plainly
        };
        if self.parts.len() <= 1 && self.parts.iter().all(is_plain) {
            return;
        }
        for part in &self.parts {
            self.cx.metrics.stream_part_ended(part.end);
        }
        self.cx.events.stream_parts(&events::StreamPartsLogEntry {
            request: &self.id,
            parts: &self.parts,
            end,
        });
    }

    /// Sets the id of the request, once its head is parsed.
    pub(super) fn set_id(&mut self, id: &[u8]) {
        self.id = String::from_utf8_lossy(id).into_owned();
    }

    /// When the request arrived.
    pub(super) const fn arrived(&self) -> time::Time {
        self.arrived
    }

    /// Writes the log line and updates the metrics, once.
    pub(super) fn finish(&mut self, end: &str) {
        if std::mem::replace(&mut self.is_finished, true) {
            return;
        }
        let now = clock::now();
        self.cx
            .active_requests
            .set(self.cx.active_requests.get() - 1);
        self.connection.request_finished(now);
        self.report_parts(end);
        let outcome = self.sends.outcome();
        self.cx.metrics.finished(outcome);
        self.cx.events.request(&events::RequestLogEntry {
            request: &self.id,
            route: &self.route,
            account: self.account.as_deref().unwrap_or(""),
            catalog: self.catalog,
            catalog_age: self.cx.shared.catalog_age(now),
            status: self.status,
            reason: self.reason,
            outcome,
            is_from_host: self.is_from_host,
            attempts: self.attempts,
            endpoint: &self.endpoint,
            choice: self.choice,
            departure: self.departure,
            time_to_first: self.time_to_first,
            duration: now.since(self.arrived),
            events: self.events,
            longest_gap: self.longest_gap,
            end,
        });
    }
}

impl<D> Drop for Report<D>
where
    D: adapter::Dialect,
{
    /// The future and the answer of a request are dropped when its connection is closed.
    fn drop(&mut self) {
        let end = self.connection.end_of_unfinished();
        self.finish(&end);
    }
}
