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
use crate::traffic::exchange::{Opened, Outgoing};
use crate::traffic::plan::Plan;
use crate::traffic::{Context, report, serve};

/// A stream that ends before it is whole. The connection of the caller is closed, so that the
/// answer does not look complete.
#[derive(Clone, Debug)]
pub(super) struct Cut {
    cause: String,
}

impl std::fmt::Display for Cut {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "stream cut: {}", self.cause)
    }
}

impl std::error::Error for Cut {}

/// What is needed to send the request of a stream again.
pub(super) struct Origin<D>
where
    D: adapter::Dialect,
{
    pub cx: Rc<Context<D>>,
    pub plan: Plan,
    pub outgoing: Outgoing,
    pub attempts: retry::Attempts,
    /// Endpoints that the request was at.
    pub tried: SmallVec<[entity::EndpointId; 4]>,
}

/// A resumption and what it gives back.
type Resuming<D> = Pin<Box<dyn Future<Output = (Box<Origin<D>>, Result<Opened<D>, Cut>)>>>;

/// Where the events come from.
enum Source<D>
where
    D: adapter::Dialect,
{
    /// An endpoint.
    Endpoint(Box<Opened<D>>),
    /// An endpoint that is being asked to go on.
    Resuming(Resuming<D>),
    /// Nowhere any more.
    Done,
}

/// A stream on its way to a caller.
pub(super) struct Relay<D>
where
    D: adapter::Dialect,
{
    origin: Option<Box<Origin<D>>>,
    source: Source<D>,
    splitter: sse::Splitter,
    deadline: Pin<Box<tokio::time::Sleep>>,
    report: report::Report<D>,
}

impl<D> Relay<D>
where
    D: adapter::Dialect,
{
    /// Makes the relay of a stream that an endpoint has begun.
    pub(super) fn new(
        origin: Box<Origin<D>>,
        opened: Box<Opened<D>>,
        after_event: Option<u64>,
        report: report::Report<D>,
    ) -> Self {
        let left = origin.plan.deadline.since(clock::now());
        Self {
            origin: Some(origin),
            source: Source::Endpoint(opened),
            splitter: sse::Splitter::resume_after(after_event),
            deadline: Box::pin(tokio::time::sleep(left)),
            report,
        }
    }

    /// Next events, as a frame of the body.
    pub(super) fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut TaskContext<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        let this = &mut *self;
        loop {
            match &mut this.source {
                Source::Done => return Poll::Ready(None),
                Source::Endpoint(opened) => {
                    let frame = match Pin::new(&mut opened.body).poll_frame(cx) {
                        Poll::Ready(frame) => frame,
                        Poll::Pending => {
                            ready!(this.deadline.as_mut().poll(cx));
                            return Poll::Ready(Some(Err(this.cut("deadline"))));
                        }
                    };
                    if let Some(result) = this.received(frame) {
                        return Poll::Ready(result);
                    }
                }
                Source::Resuming(resuming) => {
                    let Poll::Ready((origin, result)) = resuming.as_mut().poll(cx) else {
                        ready!(this.deadline.as_mut().poll(cx));
                        return Poll::Ready(Some(Err(this.cut("deadline"))));
                    };
                    this.origin = Some(origin);
                    match result {
                        Ok(opened) => this.source = Source::Endpoint(Box::new(opened)),
                        Err(cut) => return Poll::Ready(Some(Err(this.cut(&cut.cause)))),
                    }
                }
            }
        }
    }

    /// Takes in what came from an endpoint. Returns what the caller gets, if anything.
    fn received(
        &mut self,
        frame: Option<Result<Frame<Bytes>, hyper::Error>>,
    ) -> Option<Option<Result<Frame<Bytes>, Cut>>> {
        match frame {
            Some(Ok(frame)) => {
                let data = frame.into_data().ok()?;
                self.pass_on(&data)
            }
            Some(Err(e)) => self.broken(&e.to_string()),
            None if !self.splitter.at_event_boundary() => self.broken("ended within an event"),
            None => {
                self.finish();
                Some(None)
            }
        }
    }

    fn pass_on(&mut self, data: &[u8]) -> Option<Option<Result<Frame<Bytes>, Cut>>> {
        let events = match self.splitter.push(data) {
            Ok(events) => events,
            Err(fault) => return Some(Some(Err(self.cut(&fault.to_string())))),
        };
        if events.is_empty() {
            return None;
        }
        if let Source::Endpoint(opened) = &mut self.source {
            opened.in_progress.prompt_read();
        }
        self.report.passed(self.splitter.events());
        Some(Some(Ok(Frame::data(events))))
    }

    /// The endpoint has ended the stream as whole.
    fn finish(&mut self) {
        if let Source::Endpoint(opened) = std::mem::replace(&mut self.source, Source::Done) {
            opened.connection.keep(opened.idle_limit);
        }
        self.report.end("whole");
    }

    /// The stream of the endpoint broke: it is resumed elsewhere, or the caller's stream is cut.
    fn broken(&mut self, cause: &str) -> Option<Option<Result<Frame<Bytes>, Cut>>> {
        self.splitter.discard_partial();
        // The connection and the count of the endpoint end here.
        self.source = Source::Done;
        let may_resume = self
            .origin
            .as_ref()
            .is_some_and(|origin| origin.plan.route.kind.is_idempotent());
        match self.origin.take() {
            Some(origin) if may_resume => {
                let after = self.splitter.last_id();
                let cause = cause.to_owned();
                self.source = Source::Resuming(Box::pin(serve::resume(origin, after, cause)));
                None
            }
            _ => Some(Some(Err(self.cut(cause)))),
        }
    }

    fn cut(&mut self, cause: &str) -> Cut {
        self.source = Source::Done;
        self.report.end(cause);
        Cut {
            cause: cause.to_owned(),
        }
    }
}

impl Cut {
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
