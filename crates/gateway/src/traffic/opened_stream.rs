//! A stream of events that has been started, by an endpoint or through another host.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use http_body::Body as _;
use hyper::body::Incoming;
use pistachiochute_core::{directory, outcome, time};
use pistachiochute_runtime::clock;

use crate::adapter;
use crate::traffic::{event_stream, forwarding, in_flight, pool};

/// A stream that an endpoint sends.
pub(super) struct EndpointStream<D>
where
    D: adapter::Dialect,
{
    pub body: Incoming,
    pub in_flight: in_flight::InFlightRequest<D>,
    pub connection: pool::Connection,
    pub idle_limit: Option<Duration>,
    pub framing: outcome::Framing,
}

/// Who sends a stream.
pub(super) enum StreamSource<D>
where
    D: adapter::Dialect,
{
    /// An endpoint.
    Endpoint(EndpointStream<D>),
    /// Another host.
    Host(forwarding::HostStream<D>),
}

/// A stream that has been started.
pub(super) struct OpenedStream<D>
where
    D: adapter::Dialect,
{
    source: StreamSource<D>,
    /// When the first event came that the caller did not have.
    pub first_event_at: Option<time::Time>,
    /// Whether the answer has gone on long enough to clear its prompt.
    pub has_gone_on: bool,
}

impl<D> OpenedStream<D>
where
    D: adapter::Dialect,
{
    pub(super) const fn new(source: StreamSource<D>) -> Self {
        Self {
            source,
            first_event_at: None,
            has_gone_on: false,
        }
    }

    /// Polls for the next bytes. An error says why the stream has broken.
    pub(super) fn poll_data(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, String>>> {
        match &mut self.source {
            StreamSource::Endpoint(endpoint) => poll_endpoint(&mut endpoint.body, cx),
            StreamSource::Host(host) => host.poll_data(cx),
        }
    }

    /// What delimits the body. Another host resets a stream whose end it does not know.
    pub(super) const fn framing(&self) -> outcome::Framing {
        match &self.source {
            StreamSource::Endpoint(endpoint) => endpoint.framing,
            StreamSource::Host(_) => outcome::Framing::Explicit,
        }
    }

    /// Endpoint that sends the stream, unless it comes through another host.
    pub(super) const fn endpoint(&self) -> Option<&Arc<directory::Endpoint>> {
        match &self.source {
            StreamSource::Endpoint(endpoint) => Some(endpoint.in_flight.endpoint()),
            StreamSource::Host(_) => None,
        }
    }

    /// Records that the endpoint has read the prompt.
    pub(super) fn mark_prompt_read(&mut self) {
        if let StreamSource::Endpoint(endpoint) = &mut self.source {
            endpoint.in_flight.mark_prompt_read();
        }
    }

    /// Records that the endpoint sent bytes that are no answer.
    pub(super) fn record_invalid_answer(&self) {
        if let StreamSource::Endpoint(endpoint) = &self.source {
            endpoint.in_flight.record_invalid_answer(clock::now());
        }
    }

    /// Reports that the endpoint broke the stream off.
    pub(super) fn report_broken(&self, state: &event_stream::RequestState<D>, cause: &str) {
        let StreamSource::Endpoint(endpoint) = &self.source else {
            return;
        };
        let in_flight = &endpoint.in_flight;
        in_flight.record_lost_connection(clock::now());
        let broken = in_flight::BrokenAnswer {
            progress: match self.first_event_at {
                Some(_) => outcome::AnswerProgress::Begun,
                None => outcome::AnswerProgress::NotBegun,
            },
            has_gone_on: self.has_gone_on,
            cause,
        };
        in_flight.report_broken_answer(&state.outgoing, state.plan.keys.all(), &broken);
    }

    /// Returns the connection of a stream that has ended to the pool.
    pub(super) fn release(self) {
        if let StreamSource::Endpoint(endpoint) = self.source {
            endpoint.connection.release(endpoint.idle_limit);
        }
    }
}

fn poll_endpoint(body: &mut Incoming, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, String>>> {
    loop {
        let frame = match ready!(Pin::new(&mut *body).poll_frame(cx)) {
            Some(Ok(frame)) => frame,
            Some(Err(e)) => return Poll::Ready(Some(Err(e.to_string()))),
            None => return Poll::Ready(None),
        };
        // Trailers are not part of the stream.
        if let Ok(data) = frame.into_data() {
            return Poll::Ready(Some(Ok(data)));
        }
    }
}
