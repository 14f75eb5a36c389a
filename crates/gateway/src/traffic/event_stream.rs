//! Passes a stream of events on to a caller, and goes on with it at another endpoint if it is cut
//! and may be resumed.

use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context as TaskContext, Poll, ready};

use bytes::Bytes;
use http_body::{Body as _, Frame};
use pistachiochute_core::{entity, retry, sse};
use pistachiochute_runtime::clock;
use smallvec::SmallVec;

use crate::adapter;
use crate::traffic::attempt::{OpenedStream, OutgoingRequest};
use crate::traffic::plan::Plan;
use crate::traffic::{Context, report, serve};

/// A stream that ends before it is whole. The connection of the caller is closed, so that the
/// answer does not look complete.
#[derive(Clone, Debug)]
pub(super) struct TruncatedStream {
    cause: String,
}

impl std::fmt::Display for TruncatedStream {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "stream cut: {}", self.cause)
    }
}

impl std::error::Error for TruncatedStream {}

/// What is needed to send the request of a stream again.
pub(super) struct RequestState<D>
where
    D: adapter::Dialect,
{
    pub cx: Rc<Context<D>>,
    pub plan: Plan,
    pub outgoing: OutgoingRequest,
    pub attempts: retry::Attempts,
    /// Endpoints that the request was at.
    pub tried: SmallVec<[entity::EndpointId; 4]>,
}

/// A resumption and what it gives back.
type ResumeFuture<D> = Pin<
    Box<
        dyn Future<
            Output = (
                Box<RequestState<D>>,
                Result<OpenedStream<D>, TruncatedStream>,
            ),
        >,
    >,
>;

/// Where the events come from.
enum Source<D>
where
    D: adapter::Dialect,
{
    /// An endpoint.
    Endpoint(Box<OpenedStream<D>>),
    /// An endpoint that is being asked to go on.
    Resuming(ResumeFuture<D>),
    /// Nowhere any more.
    Done,
}

/// A stream on its way to a caller.
pub(super) struct EventStream<D>
where
    D: adapter::Dialect,
{
    state: Option<Box<RequestState<D>>>,
    source: Source<D>,
    splitter: sse::Splitter,
    deadline: Pin<Box<tokio::time::Sleep>>,
    report: report::Report<D>,
}

impl<D> EventStream<D>
where
    D: adapter::Dialect,
{
    /// Makes the relay of a stream that an endpoint has begun.
    pub(super) fn new(
        state: Box<RequestState<D>>,
        opened: Box<OpenedStream<D>>,
        after_event: Option<u64>,
        report: report::Report<D>,
    ) -> Self {
        let remaining = state.plan.deadline.since(clock::now());
        Self {
            state: Some(state),
            source: Source::Endpoint(opened),
            splitter: sse::Splitter::resume_after(after_event),
            deadline: Box::pin(tokio::time::sleep(remaining)),
            report,
        }
    }

    /// Next events, as a frame of the body.
    pub(super) fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut TaskContext<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedStream>>> {
        let this = &mut *self;
        loop {
            match &mut this.source {
                Source::Done => return Poll::Ready(None),
                Source::Endpoint(opened) => {
                    let frame = match Pin::new(&mut opened.body).poll_frame(cx) {
                        Poll::Ready(frame) => frame,
                        Poll::Pending => {
                            ready!(this.deadline.as_mut().poll(cx));
                            return Poll::Ready(Some(Err(this.fail("deadline"))));
                        }
                    };
                    if let Some(result) = this.handle_frame(frame) {
                        return Poll::Ready(result);
                    }
                }
                Source::Resuming(resuming) => {
                    let Poll::Ready((state, result)) = resuming.as_mut().poll(cx) else {
                        ready!(this.deadline.as_mut().poll(cx));
                        return Poll::Ready(Some(Err(this.fail("deadline"))));
                    };
                    this.state = Some(state);
                    match result {
                        Ok(opened) => this.source = Source::Endpoint(Box::new(opened)),
                        Err(e) => return Poll::Ready(Some(Err(this.fail(&e.cause)))),
                    }
                }
            }
        }
    }

    /// Takes in what came from an endpoint. Returns what the caller gets, if anything.
    fn handle_frame(
        &mut self,
        frame: Option<Result<Frame<Bytes>, hyper::Error>>,
    ) -> Option<Option<Result<Frame<Bytes>, TruncatedStream>>> {
        match frame {
            Some(Ok(frame)) => {
                let data = frame.into_data().ok()?;
                self.forward(&data)
            }
            Some(Err(e)) => self.resume_or_fail(&e.to_string()),
            None if !self.splitter.at_event_boundary() => {
                self.resume_or_fail("ended within an event")
            }
            None => {
                self.finish();
                Some(None)
            }
        }
    }

    fn forward(&mut self, data: &[u8]) -> Option<Option<Result<Frame<Bytes>, TruncatedStream>>> {
        let events = match self.splitter.push(data) {
            Ok(events) => events,
            Err(e) => return Some(Some(Err(self.fail(&e.to_string())))),
        };
        if events.is_empty() {
            return None;
        }
        if let Source::Endpoint(opened) = &mut self.source {
            opened.in_flight.mark_prompt_read();
        }
        self.report.record_events(self.splitter.events());
        Some(Some(Ok(Frame::data(events))))
    }

    /// The endpoint has ended the stream as whole.
    fn finish(&mut self) {
        if let Source::Endpoint(opened) = std::mem::replace(&mut self.source, Source::Done) {
            opened.connection.release(opened.idle_limit);
        }
        self.report.finish("whole");
    }

    /// The stream of the endpoint broke: it is resumed elsewhere, or the caller's stream is cut.
    fn resume_or_fail(
        &mut self,
        cause: &str,
    ) -> Option<Option<Result<Frame<Bytes>, TruncatedStream>>> {
        self.splitter.discard_partial();
        // The connection and the count of the endpoint end here.
        self.source = Source::Done;
        let may_resume = self
            .state
            .as_ref()
            .is_some_and(|state| state.plan.route.kind.is_idempotent());
        match self.state.take() {
            Some(state) if may_resume => {
                let after = self.splitter.last_id();
                let cause = cause.to_owned();
                self.source = Source::Resuming(Box::pin(serve::resume(state, after, cause)));
                None
            }
            _ => Some(Some(Err(self.fail(cause)))),
        }
    }

    fn fail(&mut self, cause: &str) -> TruncatedStream {
        self.source = Source::Done;
        self.report.finish(cause);
        TruncatedStream {
            cause: cause.to_owned(),
        }
    }
}

impl TruncatedStream {
    /// Makes the end of a stream that could not be resumed.
    pub(super) fn new<C>(cause: C) -> Self
    where
        C: Into<String>,
    {
        Self {
            cause: cause.into(),
        }
    }
}
