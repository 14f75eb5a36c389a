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
use crate::traffic::answer_end::{AnswerEnd, NoProofOfLife, ProofOfLife};
use crate::traffic::{answer_end, beginnings, event_stream, forwarding, in_flight, pool, proofs};

/// A stream that an endpoint sends.
pub(super) struct EndpointStream<D>
where
    D: adapter::Dialect,
{
    pub body: Incoming,
    pub in_flight: in_flight::InFlightRequest<D>,
    /// Its connection, until it is closed because it delimits the body.
    pub connection: Option<pool::Connection>,
    pub idle_limit: Option<Duration>,
    pub framing: outcome::Framing,
    /// When its connection was made.
    pub connected_at: time::Time,
    /// Software version of the process that sends it.
    pub version: proofs::ProcessVersion,
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

/// What comes next of a stream.
pub(super) enum Piece {
    /// Bytes.
    Data(Bytes),
    /// Its end.
    End(AnswerEnd),
}

/// Finds out whether an endpoint lives on.
pub(super) type LifeCheck = Pin<Box<dyn Future<Output = Result<ProofOfLife, NoProofOfLife>>>>;

/// A stream that has been started.
pub(super) struct OpenedStream<D>
where
    D: adapter::Dialect,
{
    source: StreamSource<D>,
    /// When the first event came that the caller did not have.
    pub first_event_at: Option<time::Time>,
    /// Whether it has brought an event that is more than a comment.
    pub has_event: bool,
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
            has_event: false,
            has_gone_on: false,
        }
    }

    /// Polls for the next bytes, or the end.
    pub(super) fn poll_piece(&mut self, cx: &mut Context<'_>) -> Poll<Piece> {
        let data = match &mut self.source {
            StreamSource::Endpoint(endpoint) => ready!(poll_endpoint(&mut endpoint.body, cx)),
            StreamSource::Host(host) => ready!(host.poll_data(cx)),
        };
        Poll::Ready(match data {
            Some(Ok(data)) => Piece::Data(data),
            Some(Err(cause)) => Piece::End(AnswerEnd::Broken(cause)),
            None => Piece::End(AnswerEnd::of(self.framing())),
        })
    }

    /// Begins to find out whether the endpoint lives on that has closed the connection of the stream.
    /// Another host has done so itself.
    pub(super) fn check_life(
        &mut self,
        state: &event_stream::RequestState<D>,
    ) -> Option<LifeCheck> {
        let StreamSource::Endpoint(endpoint) = &mut self.source else {
            return None;
        };
        // Makes room for the connection of the check.
        let end = endpoint.connection.take()?.end_of_reading();
        let cx = state.cx.clone();
        let endpoint = endpoint.in_flight.endpoint().clone();
        let max_connections = state.plan.service().max_connections;
        Some(Box::pin(async move {
            answer_end::check_life(&cx, &endpoint, max_connections, end).await
        }))
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

    /// How the stream began, unless it comes through another host, which records it.
    pub(super) fn began(&self) -> Option<beginnings::Began<'_>> {
        match &self.source {
            StreamSource::Endpoint(endpoint) => Some(beginnings::Began {
                endpoint: endpoint.in_flight.endpoint(),
                connected_at: endpoint.connected_at,
                version: endpoint.version,
            }),
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
        if let StreamSource::Endpoint(endpoint) = self.source
            && let Some(connection) = endpoint.connection
        {
            connection.release(endpoint.idle_limit);
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
