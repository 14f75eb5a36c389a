//! Passes requests to other hosts.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context as TaskContext, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use eyre::WrapErr as _;
use http::{Request, Response};
use pistachiochute_core::forwarding::{self, Candidate, Hosts};
use pistachiochute_core::{retry, time};
use pistachiochute_messages::{codec, forwarded};
use pistachiochute_runtime::clock;
use tokio::sync::Mutex;

use crate::traffic::answer_head::AnswerHead;
use crate::traffic::attempt::{AttemptResult, CompleteAnswer, MAX_ANSWER_BYTES};
use crate::traffic::collect::CollectError;
use crate::traffic::event_stream::RequestState;
use crate::traffic::opened_stream::{OpenedStream, StreamSource};
use crate::traffic::{Context, attempt, collect, memory};
use crate::{adapter, shared, sockets};

/// Time in which a connection must be established.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Time beyond the deadline of a request in which the answer of the other host is still accepted.
const DEADLINE_GRACE: Duration = Duration::from_millis(30);

type Sender = h2::client::SendRequest<Bytes>;

/// Connections to other hosts, and what is known of them.
#[derive(Debug, Default)]
pub(in crate::traffic) struct Forwarder {
    /// By service.
    hosts: RefCell<HashMap<Arc<str>, Hosts>>,
    connections: RefCell<HashMap<net::SocketAddr, Rc<Mutex<Option<Sender>>>>>,
}

/// A request under way at another host, until it is dropped.
struct Permit<D> {
    cx: Rc<Context<D>>,
    service: Arc<str>,
    host: Arc<str>,
}

impl<D> Permit<D> {
    fn record(&self, outcome: forwarding::Outcome) {
        let mut services = self.cx.forwarder.hosts.borrow_mut();
        if let Some(hosts) = services.get_mut(&self.service) {
            hosts.record(&self.host, outcome, clock::now());
        }
    }
}

impl<D> Drop for Permit<D> {
    fn drop(&mut self) {
        let mut services = self.cx.forwarder.hosts.borrow_mut();
        if let Some(hosts) = services.get_mut(&self.service) {
            hosts.end(&self.host);
        }
    }
}

/// Stream of events that comes from another host.
pub(in crate::traffic) struct HostStream<D> {
    body: h2::RecvStream,
    _permit: Permit<D>,
}

impl<D> HostStream<D> {
    /// Polls for the next bytes. An error says why the stream has broken.
    pub(in crate::traffic) fn poll_data(
        &mut self,
        cx: &mut TaskContext<'_>,
    ) -> Poll<Option<Result<Bytes, String>>> {
        let data = match ready!(self.body.poll_data(cx)) {
            Some(Ok(data)) => data,
            Some(Err(e)) => return Poll::Ready(Some(Err(format!("other host: {e}")))),
            None => return Poll::Ready(None),
        };
        // Fails only if the stream has ended.
        drop(self.body.flow_control().release_capacity(data.len()));
        Poll::Ready(Some(Ok(data)))
    }
}

impl Forwarder {
    /// Chooses the host for a request that has been passed to the hosts in `asked`.
    fn choose(
        &self,
        service: &Arc<str>,
        view: &shared::View,
        asked: &[Arc<str>],
        seed: u64,
        now: time::Time,
    ) -> Option<Arc<shared::Peer>> {
        if asked.len() >= forwarding::MAX_HOSTS_PER_REQUEST {
            return None;
        }
        let others = view.peers.iter().filter(|p| !asked.contains(&p.name));
        let candidates: Vec<_> = others
            .map(|peer| Candidate {
                name: &peer.name,
                hash: peer.hash,
            })
            .collect();
        let mut services = self.hosts.borrow_mut();
        let hosts = services.entry(service.clone()).or_default();
        hosts.retain(|name| view.peers.iter().any(|peer| *peer.name == *name));
        let name = hosts.choose(&candidates, seed, asked.len(), now)?;
        view.peers.iter().find(|peer| peer.name == name).cloned()
    }

    /// Returns a connection to a host, open or new.
    async fn connect(&self, address: net::SocketAddr) -> eyre::Result<Sender> {
        let slot = self
            .connections
            .borrow_mut()
            .entry(address)
            .or_default()
            .clone();
        let mut slot = slot.lock().await;
        if let Some(sender) = slot.take()
            && let Ok(sender) = sender.ready().await
        {
            *slot = Some(sender.clone());
            return Ok(sender);
        }
        let stream = sockets::connect(address, CONNECT_TIMEOUT)
            .await
            .wrap_err("connect")?;
        let (sender, connection) = h2::client::handshake(stream).await.wrap_err("handshake")?;
        // A connection error is reported by the request that it interrupts.
        tokio::task::spawn_local(async { drop(connection.await) });
        let sender = sender.ready().await.wrap_err("handshake")?;
        *slot = Some(sender.clone());
        Ok(sender)
    }
}

/// Passes a request to another host, if one may serve it.
pub(in crate::traffic) async fn execute<D>(
    state: &mut RequestState<D>,
    after_event: Option<u64>,
) -> Option<AttemptResult<D>>
where
    D: adapter::Dialect,
{
    let cx = state.cx.clone();
    let service = state.plan.service().name.clone();
    let now = clock::now();
    let seed = state.plan.choice_request.seed;
    let view = cx.shared.view().clone();
    let peer = cx
        .forwarder
        .choose(&service, &view, &state.asked, seed, now)?;
    state.asked.push(peer.name.clone());
    let permit = Permit {
        cx: cx.clone(),
        service,
        host: peer.name.clone(),
    };
    let remaining = state.plan.deadline.remaining(now).unwrap_or_default();
    let passing = pass_on(&cx, state, &peer, permit, after_event);
    let result = tokio::time::timeout(remaining + DEADLINE_GRACE, passing).await;
    let result = result.unwrap_or_else(|_| {
        attempt::failed(
            retry::AttemptFailure::Stalled,
            "no answer of the other host",
        )
    });
    cx.events
        .forwarded(&state.outgoing.id, &peer.name, &result.summary());
    Some(result)
}

async fn pass_on<D>(
    cx: &Rc<Context<D>>,
    state: &RequestState<D>,
    peer: &shared::Peer,
    permit: Permit<D>,
    after_event: Option<u64>,
) -> AttemptResult<D>
where
    D: adapter::Dialect,
{
    let not_sent = |e: &eyre::Report| {
        permit.record(forwarding::Outcome::Unable);
        attempt::failed(retry::AttemptFailure::NotSent, format!("{e:#}"))
    };
    let sender = match cx.forwarder.connect(peer.links).await {
        Ok(sender) => sender,
        Err(e) => return not_sent(&e),
    };
    // Looked at here, after the last wait: the process may have been paused meanwhile.
    let Some(remaining) = state.plan.deadline.remaining(clock::now()) else {
        return attempt::failed(
            retry::AttemptFailure::Expired,
            "the deadline passed before the request was passed on",
        );
    };
    let answer = match send(sender, state, remaining, after_event) {
        Ok(answer) => answer,
        Err(e) => return not_sent(&e),
    };
    cx.metrics.request_forwarded();
    match answer.await {
        Ok(answer) => evaluate(answer, &state.outgoing.account, permit).await,
        Err(e) if e.reason() == Some(h2::Reason::REFUSED_STREAM) => not_sent(&e.into()),
        Err(e) => {
            permit.record(forwarding::Outcome::Unable);
            attempt::failed(retry::AttemptFailure::ConnectionLost, e.to_string())
        }
    }
}

/// Sends the head and the body of a request.
fn send<D>(
    mut sender: Sender,
    state: &RequestState<D>,
    remaining: Duration,
    after_event: Option<u64>,
) -> eyre::Result<h2::client::ResponseFuture>
where
    D: adapter::Dialect,
{
    let outgoing = &state.outgoing;
    let headers = outgoing
        .headers
        .iter()
        .map(|(name, value)| {
            let value = Bytes::copy_from_slice(value.as_bytes());
            (name.as_str().to_owned(), value)
        })
        .collect();
    let head = forwarded::Head {
        method: outgoing.method.as_str().to_owned(),
        target: outgoing.target.to_string(),
        headers,
        remaining_ms: u32::try_from(remaining.as_millis()).unwrap_or(u32::MAX),
        attempts: state.attempts.left(),
        catalog: state.plan.catalog.version(),
        after_event,
    };
    let (path, frame) = match state.version {
        Some(version) => {
            let resumption = forwarded::Resumption { head, version };
            (forwarded::RESUMPTION_PATH, codec::encode(&resumption))
        }
        None => (forwarded::PATH, codec::encode(&head)),
    };
    let frame = frame.wrap_err("head")?;
    let uri = format!("http://fleet{path}");
    let req = Request::post(uri).body(())?;
    state.attempts.sends().hand_over();
    let (answer, mut tx) = sender.send_request(req, false).wrap_err("stream")?;
    let has_body = !outgoing.body.is_empty();
    // After the head of the stream, the request counts as sent.
    drop(tx.send_data(frame, !has_body));
    if has_body {
        drop(tx.send_data(outgoing.body.clone(), true));
    }
    Ok(answer)
}

/// Evaluates the answer of another host.
async fn evaluate<D>(
    answer: Response<h2::RecvStream>,
    account: &Arc<memory::Account>,
    permit: Permit<D>,
) -> AttemptResult<D>
where
    D: adapter::Dialect,
{
    let (mut parts, body) = answer.into_parts();
    let verdict = parts.headers.remove(forwarded::VERDICT_HEADER);
    let verdict = match verdict.map(|value| value.to_str().unwrap_or_default().parse()) {
        Some(Ok(verdict)) => verdict,
        // A host of an earlier build gives no verdict and runs nothing.
        None => forwarded::Verdict::Unable,
        Some(Err(forwarded::ParseVerdictError)) => return lost("a verdict that is not known"),
    };
    if verdict == forwarded::Verdict::Unable {
        permit.record(forwarding::Outcome::Unable);
        return attempt::failed(
            retry::AttemptFailure::NotSent,
            "the other host cannot serve either",
        );
    }
    permit.record(forwarding::Outcome::Served);
    let head = match AnswerHead::of(parts, permit.cx.dialect.end_to_end_headers()) {
        Ok(head) => head,
        Err(e) => return lost(e.to_string()),
    };
    if head.status().is_success() && attempt::is_event_stream(head.headers()) {
        let source = StreamSource::Host(HostStream {
            body,
            _permit: permit,
        });
        return AttemptResult::Stream(head, Box::new(OpenedStream::new(source)));
    }
    read_answer(head, body, account, verdict).await
}

/// Reads the body of a complete answer.
async fn read_answer<D>(
    head: AnswerHead,
    mut body: h2::RecvStream,
    account: &Arc<memory::Account>,
    verdict: forwarded::Verdict,
) -> AttemptResult<D>
where
    D: adapter::Dialect,
{
    let mut buffer = collect::Buffer::new(account.clone());
    while let Some(data) = body.data().await {
        let pushed = match &data {
            Ok(data) => buffer.push(data, MAX_ANSWER_BYTES).await,
            Err(e) => Err(CollectError::Body(e)),
        };
        match pushed {
            Ok(()) => {}
            Err(CollectError::Body(e)) => return lost(format!("body: {e}")),
            // The other host may have run the request, and is not to blame.
            Err(CollectError::NoRoom) => {
                return attempt::failed(retry::AttemptFailure::Failed, "body: no memory");
            }
            Err(CollectError::TooLarge | CollectError::Stalled) => return lost("body: too long"),
        }
        // Fails only if the stream has ended.
        let length = data.map_or(0, |data| data.len());
        drop(body.flow_control().release_capacity(length));
    }
    let Ok(body) = buffer.close().await else {
        return attempt::failed(retry::AttemptFailure::Failed, "body: no memory");
    };
    let answer = CompleteAnswer { head, body };
    match verdict {
        forwarded::Verdict::Refused => AttemptResult::RefusedByHost(answer),
        forwarded::Verdict::Answered | forwarded::Verdict::Unable => {
            AttemptResult::Complete(answer)
        }
    }
}

fn lost<D, C>(cause: C) -> AttemptResult<D>
where
    D: adapter::Dialect,
    C: Into<String>,
{
    attempt::failed(retry::AttemptFailure::ConnectionLost, cause)
}
