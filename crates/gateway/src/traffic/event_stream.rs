//! Forwards an event stream to a caller. If the stream breaks and may be resumed, another endpoint
//! continues it.

use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context as TaskContext, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use http_body::Frame;
use pistachiochute_core::forwarding as forwarding_core;
use pistachiochute_core::pacing::{Pace, Share};
use pistachiochute_core::units::WorkUnits;
use pistachiochute_core::{catalog, entity, outcome, quarantine, retry, sse, streams, time};
use pistachiochute_runtime::clock;
use smallvec::SmallVec;

use crate::adapter;
use crate::traffic::answer_end::{AnswerEnd, NoProofOfLife, ProofOfLife};
use crate::traffic::attempt::OutgoingRequest;
use crate::traffic::opened_stream::{LifeCheck, OpenedStream, Piece};
use crate::traffic::plan::Plan;
use crate::traffic::{
    Context, attempts, beginnings, crash_watch, endpoints, forwarding, overload, report,
};

/// Events of a stream that are passed on at once.
const EVENTS_AT_ONCE: usize = 32;

/// Work of passing on a frame, whatever its events: a system call, and turns of two tasks.
const FRAME_WORK: WorkUnits = WorkUnits(10);

/// Work of each stream that is done without waiting for that of others: 32 frames at once, and 100 a second.
const FREE_WORK: Pace = Pace {
    unit_time: Duration::from_millis(1),
    at_once: WorkUnits(320),
};

/// Error of a stream that ended early. The connection of the caller is closed, so that the answer
/// does not look complete.
#[derive(Clone, Debug)]
pub(super) struct TruncatedStream {
    cause: String,
}

impl std::fmt::Display for TruncatedStream {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "event stream truncated: {}", self.cause)
    }
}

impl std::error::Error for TruncatedStream {}

/// State of a request over its attempts, which is needed to send it again.
pub(super) struct RequestState<D>
where
    D: adapter::Dialect,
{
    pub cx: Rc<Context<D>>,
    pub plan: Plan,
    pub outgoing: OutgoingRequest,
    pub attempts: retry::Attempts,
    /// Endpoints that the request was sent to.
    pub tried: SmallVec<[entity::EndpointId; 4]>,
    /// Key of the stream, over all requests of its caller.
    pub stream: streams::StreamKey,
    /// Software version at which the stream goes on, or `None` while it has no event.
    pub version: Option<streams::VersionTag>,
    /// Who sent the request to this host.
    pub origin: forwarding::Origin,
    /// Hosts that the request was passed to.
    pub asked: SmallVec<[Arc<str>; forwarding_core::MAX_HOSTS_PER_REQUEST]>,
    /// Whether no connection to any endpoint could be made for the request.
    pub is_out_of_reach: bool,
    /// Place of its prompt at its service, from when it may run until it ends.
    pub place: Option<overload::Place<D>>,
}

impl<D> RequestState<D>
where
    D: adapter::Dialect,
{
    /// Whether the request may be passed to another host. One that comes from another host may not.
    pub(super) fn may_be_forwarded(&self) -> bool {
        self.origin == forwarding::Origin::Caller
    }

    /// Endpoints that the next attempt may be sent to.
    pub(super) fn eligibility(&self) -> endpoints::Eligibility<'_> {
        endpoints::Eligibility {
            tried: &self.tried,
            version: self.version,
            may_be_resumed: self.plan.route.kind == catalog::RequestKind::ResumableStream,
            may_ask: true,
            only: None,
        }
    }
}

/// Resumption in progress. Returns the state of the request and the new stream.
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

/// Source of the events.
enum Source<D>
where
    D: adapter::Dialect,
{
    /// An endpoint, or another host, that sends events.
    Opened(Box<OpenedStream<D>>),
    /// An endpoint that has closed the connection which delimits the stream, while it is found out
    /// whether it lives on.
    Ending(Box<OpenedStream<D>>, LifeCheck),
    /// No endpoint yet: the stream is being resumed.
    Resuming(ResumeFuture<D>),
    /// The stream has ended.
    Done,
}

/// Body of an event stream that is forwarded to a caller.
pub(super) struct EventStream<D>
where
    D: adapter::Dialect,
{
    state: Option<Box<RequestState<D>>>,
    source: Source<D>,
    splitter: sse::Splitter,
    /// Whether an event is known to follow: the stream broke inside it.
    owes_event: bool,
    /// Where the stream began, if its endpoint may have to be asked for a proof.
    claim: Option<beginnings::Claim>,
    share: Share,
    /// Time for which the stream waits for the work of others, if it does.
    pause: Option<Pin<Box<tokio::time::Sleep>>>,
    deadline: Pin<Box<tokio::time::Sleep>>,
    report: report::Report<D>,
}

impl<D> EventStream<D>
where
    D: adapter::Dialect,
{
    /// Creates the body from a stream that an endpoint has started.
    pub(super) fn new(
        state: Box<RequestState<D>>,
        opened: Box<OpenedStream<D>>,
        after_event: Option<u64>,
        mut report: report::Report<D>,
    ) -> Self {
        report.begin_part(opened.endpoint().cloned(), opened.framing());
        let remaining = state
            .plan
            .deadline
            .remaining(clock::now())
            .unwrap_or_default();
        let leading = state.cx.dialect.leading_event_fields();
        Self {
            state: Some(state),
            source: Source::Opened(opened),
            splitter: sse::Splitter::resume_after(after_event).with_leading_fields(leading),
            owes_event: false,
            claim: None,
            share: Share::new(FREE_WORK),
            pause: None,
            deadline: Box::pin(tokio::time::sleep(remaining)),
            report,
        }
    }

    /// Polls for the next complete events, as a frame of the body.
    pub(super) fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut TaskContext<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedStream>>> {
        let this = &mut *self;
        loop {
            if this.poll_pause(cx).is_pending() {
                ready!(this.deadline.as_mut().poll(cx));
                return Poll::Ready(Some(Err(this.fail("deadline"))));
            }
            match &mut this.source {
                Source::Done => return Poll::Ready(None),
                Source::Opened(_) if this.splitter.has_more() => {
                    if let Some(result) = this.forward() {
                        return Poll::Ready(result);
                    }
                }
                Source::Opened(opened) => {
                    let piece = match opened.poll_piece(cx) {
                        Poll::Ready(piece) => piece,
                        Poll::Pending => {
                            ready!(this.deadline.as_mut().poll(cx));
                            return Poll::Ready(Some(Err(this.fail("deadline"))));
                        }
                    };
                    if let Some(result) = this.handle_piece(piece) {
                        return Poll::Ready(result);
                    }
                }
                Source::Ending(_, check) => {
                    let Poll::Ready(proof) = check.as_mut().poll(cx) else {
                        ready!(this.deadline.as_mut().poll(cx));
                        return Poll::Ready(Some(Err(this.fail("deadline"))));
                    };
                    if let Some(result) = this.handle_proof(proof) {
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
                        Ok(opened) => this.go_on_with(opened),
                        Err(e) => return Poll::Ready(Some(Err(this.fail(&e.cause)))),
                    }
                }
            }
        }
    }

    /// Waits while the stream has had more than its share of the thread.
    fn poll_pause(&mut self, cx: &mut TaskContext<'_>) -> Poll<()> {
        if let Some(pause) = &mut self.pause {
            ready!(pause.as_mut().poll(cx));
            self.pause = None;
        }
        Poll::Ready(())
    }

    /// Counts work, and has the stream wait if that was more than its share.
    fn count_work(&mut self, work: WorkUnits, now: time::Time) {
        let beyond = self.share.take(work, now);
        let wait = self.report.connection().account().take_work(beyond, now);
        self.pause = (!wait.is_zero()).then(|| Box::pin(tokio::time::sleep(wait)));
    }

    /// Goes on with the stream of the endpoint that resumes it.
    fn go_on_with(&mut self, opened: OpenedStream<D>) {
        self.report
            .begin_part(opened.endpoint().cloned(), opened.framing());
        self.source = Source::Opened(Box::new(opened));
    }

    /// Handles bytes of the stream, or its end. Returns the item for the caller, if there is one.
    fn handle_piece(
        &mut self,
        piece: Piece,
    ) -> Option<Option<Result<Frame<Bytes>, TruncatedStream>>> {
        let end = match piece {
            Piece::Data(data) => {
                self.splitter.add(&data);
                return None;
            }
            Piece::End(end) => end,
        };
        match end {
            AnswerEnd::Broken(cause) => self.resume_or_fail(&cause),
            AnswerEnd::Framed | AnswerEnd::ClosedByEndpoint
                if !self.splitter.at_event_boundary() =>
            {
                self.resume_or_fail("ended within an event")
            }
            AnswerEnd::Framed if self.owes_event => {
                self.handle_invalid("ended before the event that was cut")
            }
            AnswerEnd::Framed => {
                self.finish(outcome::PartEnd::Framed, "");
                Some(None)
            }
            AnswerEnd::ClosedByEndpoint if !self.has_event() => {
                self.resume_or_fail("closed before an event")
            }
            AnswerEnd::ClosedByEndpoint => self.check_life(),
        }
    }

    /// Whether the part of the stream that is read has brought an event.
    fn has_event(&self) -> bool {
        matches!(&self.source, Source::Opened(opened) if opened.has_event)
    }

    /// Begins to find out whether the endpoint that has closed its connection lives on.
    fn check_life(&mut self) -> Option<Option<Result<Frame<Bytes>, TruncatedStream>>> {
        let source = std::mem::replace(&mut self.source, Source::Done);
        if let (Source::Opened(mut opened), Some(state)) = (source, &self.state)
            && let Some(check) = opened.check_life(state)
        {
            self.source = Source::Ending(opened, check);
            return None;
        }
        Some(Some(Err(self.fail("closed by another host"))))
    }

    /// Handles what is known of the endpoint that has closed its connection.
    fn handle_proof(
        &mut self,
        proof: Result<ProofOfLife, NoProofOfLife>,
    ) -> Option<Option<Result<Frame<Bytes>, TruncatedStream>>> {
        if let Source::Ending(opened, _) = std::mem::replace(&mut self.source, Source::Done) {
            self.source = Source::Opened(opened);
        }
        match proof {
            Ok(proof) => {
                self.finish(outcome::PartEnd::Closed, &proof.to_string());
                Some(None)
            }
            Err(e) => self.resume_or_fail(&e.to_string()),
        }
    }

    /// Passes on the next complete events, if there are any.
    fn forward(&mut self) -> Option<Option<Result<Frame<Bytes>, TruncatedStream>>> {
        let before = self.splitter.events();
        let last_id = self.splitter.last_id();
        let events = match self.splitter.pass_on(self.events_at_once()) {
            Ok(events) => events,
            Err(e) => return self.handle_invalid(&e.to_string()),
        };
        if events.is_empty() {
            return None;
        }
        let new_id = self.splitter.last_id().filter(|id| Some(*id) != last_id);
        let has_event = new_id.is_some() || !self.splitter.is_resumable();
        if let Some(last) = new_id {
            let count = self.splitter.events() - before;
            self.report.record_part_events(count, last);
            self.owes_event = false;
            if last_id.is_none() {
                self.record_origin();
            }
        }
        let now = clock::now();
        self.count_work(FRAME_WORK + WorkUnits(self.splitter.events() - before), now);
        if let Source::Opened(opened) = &mut self.source {
            opened.mark_prompt_read();
            opened.has_event |= has_event;
            let first = *opened.first_event_at.get_or_insert(now);
            if !opened.has_gone_on && now.since(first) >= quarantine::PROOF_AFTER {
                opened.has_gone_on = true;
                self.clear_prompt();
            }
        }
        self.report.record_events(self.splitter.events());
        Some(Some(Ok(Frame::data(events))))
    }

    /// Records the version at which the stream begins.
    fn record_origin(&mut self) {
        if let (Source::Opened(opened), Some(state)) = (&self.source, &self.state) {
            self.claim = beginnings::record(state, opened);
        }
    }

    /// Events that are passed on at once. The first one of a part is passed on alone, so that its id is
    /// known.
    fn events_at_once(&self) -> usize {
        match &self.source {
            Source::Opened(opened) if opened.first_event_at.is_none() => 1,
            _ => EVENTS_AT_ONCE,
        }
    }

    /// Handles bytes that do not continue the stream: the endpoint has failed, and another one may go
    /// on.
    fn handle_invalid(
        &mut self,
        cause: &str,
    ) -> Option<Option<Result<Frame<Bytes>, TruncatedStream>>> {
        if let Source::Opened(opened) = &self.source {
            opened.record_invalid_answer();
        }
        self.resume_or_fail(cause)
    }

    /// Handles a complete end of the stream.
    fn finish(&mut self, end: outcome::PartEnd, proof: &str) {
        self.report.end_part(end, proof);
        if let Source::Opened(opened) = std::mem::replace(&mut self.source, Source::Done) {
            let is_proof = opened.first_event_at.is_some() && !opened.has_gone_on;
            opened.release();
            if is_proof {
                self.clear_prompt();
            }
        }
        self.report.finish("whole");
    }

    /// Reports that the answer went on, so that the parts of its prompt do not crash endpoints.
    fn clear_prompt(&self) {
        if let Some(state) = &self.state {
            crash_watch::record_proof(&state.cx, state.plan.keys.all());
        }
    }

    /// Handles a broken stream: resumes it at another endpoint if the route allows that, else fails
    /// the caller's stream.
    fn resume_or_fail(
        &mut self,
        cause: &str,
    ) -> Option<Option<Result<Frame<Bytes>, TruncatedStream>>> {
        self.owes_event |= !self.splitter.at_event_boundary();
        self.splitter.discard_partial();
        self.report.end_part(outcome::PartEnd::Broken, cause);
        let broken = self.report_broken(cause);
        // Closes the connection and ends the count of the request at the endpoint.
        self.source = Source::Done;
        let is_idempotent = self
            .state
            .as_ref()
            .is_some_and(|state| state.plan.route.kind.is_idempotent());
        let may_resume = is_idempotent && self.splitter.is_resumable();
        match (self.state.take(), broken) {
            (Some(state), Some(broken)) if may_resume => {
                self.source = Source::Resuming(Box::pin(attempts::resume(state, broken)));
                None
            }
            _ => Some(Some(Err(self.fail(cause)))),
        }
    }

    /// Reports that the stream was broken off. Whoever goes on with it needs to know where it began.
    fn report_broken(&mut self, cause: &str) -> Option<attempts::BrokenStream> {
        let (Source::Opened(opened), Some(state)) = (&self.source, &self.state) else {
            return None;
        };
        if let Some(claim) = self.claim.take() {
            claim.prove(state);
        }
        opened.report_broken(state, cause);
        Some(attempts::BrokenStream {
            after_event: self.splitter.last_id(),
            endpoint: opened.endpoint().cloned(),
            has_gone_on: opened.has_gone_on,
            cause: cause.to_owned(),
        })
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
    /// Creates the error of a stream that could not be resumed.
    pub(super) fn new<C>(cause: C) -> Self
    where
        C: Into<String>,
    {
        Self {
            cause: cause.into(),
        }
    }
}
