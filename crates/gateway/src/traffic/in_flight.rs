//! Requests in flight at endpoints.

use std::rc::Rc;
use std::sync::Arc;

use pistachiochute_core::choice::prompt;
use pistachiochute_core::{directory, entity, health, outcome, quarantine, time};
use pistachiochute_runtime::clock;

use crate::traffic::{Context, attempt, cached_parts, crash_watch, endpoints};
use crate::{adapter, events};

/// How an endpoint broke an answer off.
#[derive(Clone, Copy, Debug)]
pub(super) struct BrokenAnswer<'a> {
    /// How far the answer was.
    pub progress: outcome::AnswerProgress,
    /// Whether it had gone on long enough to clear its prompt.
    pub has_gone_on: bool,
    /// Error text.
    pub cause: &'a str,
}

/// A request in flight at an endpoint. It counts toward the load until it is dropped, which also
/// happens when the caller disconnects.
pub(super) struct InFlightRequest<D>
where
    D: adapter::Dialect,
{
    cx: Rc<Context<D>>,
    id: entity::EndpointId,
    endpoint: Arc<directory::Endpoint>,
    started: time::Time,
    /// Prompt tokens that count toward the unread tokens of the endpoint.
    unread_tokens: u32,
}

impl<D> InFlightRequest<D>
where
    D: adapter::Dialect,
{
    /// Counts a request that is about to be sent to an endpoint.
    pub(super) fn start(
        cx: &Rc<Context<D>>,
        selected: &endpoints::SelectedEndpoint,
        prompt: Option<&prompt::Prompt>,
        now: time::Time,
    ) -> Self {
        let choice = &selected.choice;
        let mut endpoints = cx.endpoints.borrow_mut();
        let parts = endpoints.start_request(choice, prompt, selected.permit, now);
        drop(endpoints);
        let last = prompt.and_then(prompt::Prompt::home_key);
        for part in parts {
            if Some(part.part) == last {
                cached_parts::report(cx, part);
            }
            cx.shared.local_cached_parts.push(part);
        }
        Self {
            cx: cx.clone(),
            id: choice.endpoint,
            endpoint: selected.endpoint.clone(),
            started: now,
            unread_tokens: choice.read_tokens,
        }
    }

    /// When the request was sent.
    pub(super) const fn started(&self) -> time::Time {
        self.started
    }

    /// The endpoint.
    pub(super) const fn endpoint(&self) -> &Arc<directory::Endpoint> {
        &self.endpoint
    }

    /// Records that the connection to the endpoint was lost.
    pub(super) fn record_lost_connection(&self, now: time::Time) {
        let mut endpoints = self.cx.endpoints.borrow_mut();
        endpoints.record_lost_connection(self.id, now);
    }

    /// Records that the endpoint sent bytes that are no answer.
    pub(super) fn record_invalid_answer(&self, now: time::Time) {
        let mut endpoints = self.cx.endpoints.borrow_mut();
        endpoints.observe_health(self.id, health::Observation::Stalled, now);
    }

    /// Logs and counts that the endpoint broke the answer off. If the answer had not gone on, its
    /// prompt may have crashed the endpoint.
    pub(super) fn report_broken_answer(
        &self,
        outgoing: &attempt::OutgoingRequest,
        keys: &quarantine::Parts,
        broken: &BrokenAnswer<'_>,
    ) {
        let cx = &self.cx;
        cx.metrics.answer_broken(broken.progress);
        cx.events.answer_broken(&events::BrokenAnswerLogEntry {
            request: &String::from_utf8_lossy(&outgoing.id),
            endpoint: &self.endpoint.identity,
            keys,
            progress: broken.progress,
            after: clock::now().since(self.started),
            cause: broken.cause,
        });
        if !broken.has_gone_on {
            let request = quarantine::LostRequest {
                keys: keys.clone(),
                sent_at: Some(self.started),
            };
            crash_watch::record_loss(cx, &self.endpoint, request);
        }
    }

    /// Records that the endpoint has read the prompt.
    pub(super) fn mark_prompt_read(&mut self) {
        let tokens = std::mem::take(&mut self.unread_tokens);
        self.cx.endpoints.borrow_mut().mark_read(self.id, tokens);
    }
}

impl<D> Drop for InFlightRequest<D>
where
    D: adapter::Dialect,
{
    fn drop(&mut self) {
        self.mark_prompt_read();
        self.cx.endpoints.borrow_mut().end_request(self.id);
    }
}
