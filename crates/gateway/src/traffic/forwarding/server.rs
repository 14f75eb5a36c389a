//! Serves requests that other hosts pass on.

use std::convert::Infallible;
use std::future::poll_fn;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use eyre::WrapErr as _;
use http::{HeaderName, HeaderValue, Request, Response, request};
use http_body::Body as _;
use pistachiochute_core::memory::Activity;
use pistachiochute_core::{outcome, reason, retry, streams};
use pistachiochute_messages::{codec, forwarded};
use pistachiochute_runtime::clock;
use tokio::sync::mpsc;

use crate::adapter;
use crate::traffic::forwarding::{Form, IncomingRequest, Origin, Terms};
use crate::traffic::reply::{RefusalNote, ReplyBody};
use crate::traffic::{Context, collect, memory, reply, serve as serving};

/// Time in which a request must arrive.
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(10);

/// Serves the requests of other hosts, until the control thread ends.
pub(in crate::traffic) async fn serve<D>(
    cx: Rc<Context<D>>,
    mut requests: mpsc::Receiver<IncomingRequest>,
) where
    D: adapter::Dialect,
{
    while let Some(request) = requests.recv().await {
        tokio::task::spawn_local(serve_one(cx.clone(), request));
    }
}

async fn serve_one<D>(cx: Rc<Context<D>>, request: IncomingRequest)
where
    D: adapter::Dialect,
{
    let IncomingRequest {
        form,
        body,
        mut respond,
    } = request;
    let answer = tokio::select! {
        answer = answer(&cx, form, body) => answer,
        // The caller has left, or the other host.
        _ = poll_fn(|cx| respond.poll_reset(cx)) => return,
    };
    // The other host sees that the stream ends early, as does the caller.
    drop(send(answer, respond).await);
}

/// Answers a request. One whose head cannot be read is answered as one that cannot be served.
async fn answer<D>(cx: &Rc<Context<D>>, form: Form, body: h2::RecvStream) -> Response<ReplyBody<D>>
where
    D: adapter::Dialect,
{
    let account = cx.memory.open_on_link(clock::now());
    let received = tokio::select! {
        received = tokio::time::timeout(RECEIVE_TIMEOUT, receive(cx, form, body, &account)) => {
            received.unwrap_or_else(|_| Err(eyre::eyre!("it did not arrive in time")))
        }
        cause = account.closing() => Err(eyre::eyre!("{cause}")),
    };
    let (ReceivedHead { head, version }, body) = match received {
        Ok(received) => received,
        Err(e) => {
            cx.events.forwarded_request_invalid(&e);
            let sends = retry::Sends::new();
            return reply::refusal(reason::Refusal::NotReady, &sends, Duration::ZERO);
        }
    };
    account.set_activity(Activity::Waiting, clock::now());
    let terms = Terms {
        deadline: clock::now() + Duration::from_millis(head.remaining_ms.into()),
        attempts: head.attempts,
        catalog: head.catalog,
        after_event: head.after_event,
        version,
    };
    match parts(head) {
        Ok(parts) => {
            serving::serve_forwarded(cx, parts, (body, account), Origin::Host(terms)).await
        }
        Err(e) => {
            cx.events.forwarded_request_invalid(&e);
            let sends = retry::Sends::new();
            reply::refusal(reason::Refusal::BadRequest, &sends, Duration::ZERO)
        }
    }
}

/// Head of a request.
struct ReceivedHead {
    head: forwarded::Head,
    /// Software version at which the stream goes on, if the other host has determined it.
    version: Option<streams::VersionTag>,
}

impl ReceivedHead {
    /// Decodes a head, once all of it is there.
    fn take(decoder: &mut codec::Decoder, form: Form) -> Result<Option<Self>, codec::Error> {
        match form {
            Form::Head => {
                let head = decoder.take()?;
                Ok(head.map(|head| Self {
                    head,
                    version: None,
                }))
            }
            Form::Resumption => {
                let resumption: Option<forwarded::Resumption> = decoder.take()?;
                Ok(resumption.map(|resumption| Self {
                    head: resumption.head,
                    version: Some(resumption.version),
                }))
            }
        }
    }
}

/// Reads the head and the body of a request.
async fn receive<D>(
    cx: &Context<D>,
    form: Form,
    mut body: h2::RecvStream,
    account: &Arc<memory::Account>,
) -> eyre::Result<(ReceivedHead, Bytes)>
where
    D: adapter::Dialect,
{
    let max = serving::max_body_bytes(&cx.shared.view());
    let mut decoder = codec::Decoder::new();
    let mut head: Option<ReceivedHead> = None;
    let mut buffer = collect::Buffer::new(account.clone());
    let mut undecoded = memory::GrowingLease::new(account.clone());
    account.set_activity(Activity::Sending, clock::now());
    while let Some(data) = body.data().await {
        let data = data.wrap_err("body")?;
        body.flow_control().release_capacity(data.len())?;
        let pushed = if head.is_some() {
            buffer.push(&data, max).await
        } else {
            let needed = decoder.len() + data.len();
            let room = undecoded.reserve(needed).await;
            room.map_err(|_| eyre::eyre!("no memory for the head"))?;
            decoder.extend(&data);
            head = ReceivedHead::take(&mut decoder, form).map_err(eyre::Report::from)?;
            match head {
                Some(_) => {
                    let pushed = buffer.push(&decoder.take_rest(), max).await;
                    undecoded.clear();
                    pushed
                }
                None => Ok(()),
            }
        };
        pushed.map_err(|e: collect::CollectError<Infallible>| match e {
            collect::CollectError::NoRoom => eyre::eyre!("no memory for the body"),
            _ => eyre::eyre!("body exceeds {max} bytes"),
        })?;
        account.record_progress(data.len(), clock::now());
    }
    let head = head.ok_or_else(|| eyre::eyre!("no head"))?;
    let body = buffer.close().await;
    let body = body.map_err(|_| eyre::eyre!("no memory for the body"))?;
    Ok((head, body))
}

/// Head of the caller's request.
fn parts(head: forwarded::Head) -> eyre::Result<request::Parts> {
    let mut req = Request::builder()
        .method(head.method.as_str())
        .uri(head.target)
        .body(())
        .wrap_err("head")?;
    for (name, value) in head.headers {
        let name = HeaderName::from_bytes(name.as_bytes()).wrap_err("header name")?;
        let value = HeaderValue::from_maybe_shared(value).wrap_err("header value")?;
        req.headers_mut().append(name, value);
    }
    Ok(req.into_parts().0)
}

/// What an answer tells the other host.
fn verdict<D>(answer: &Response<ReplyBody<D>>) -> forwarded::Verdict
where
    D: adapter::Dialect,
{
    let note = answer.extensions().get::<RefusalNote>();
    match note {
        Some(note) if note.outcome == outcome::Outcome::NotRun => match note.reason {
            reason::Refusal::NoEndpoint
            | reason::Refusal::ConnectFailed
            | reason::Refusal::NotReady
            | reason::Refusal::Draining => forwarded::Verdict::Unable,
            _ => forwarded::Verdict::Refused,
        },
        _ => forwarded::Verdict::Answered,
    }
}

/// Sends an answer. The stream ends early if the body does.
async fn send<D>(
    answer: Response<ReplyBody<D>>,
    mut respond: h2::server::SendResponse<Bytes>,
) -> eyre::Result<()>
where
    D: adapter::Dialect,
{
    let verdict = HeaderValue::from_static(verdict(&answer).as_str());
    let (mut parts, body) = answer.into_parts();
    parts.headers.insert(forwarded::VERDICT_HEADER, verdict);
    let mut head = Response::builder().status(parts.status).body(())?;
    *head.headers_mut() = parts.headers;
    let mut body = pin!(body);
    let mut tx = respond.send_response(head, body.is_end_stream())?;
    if body.is_end_stream() {
        return Ok(());
    }
    loop {
        let frame = tokio::select! {
            frame = poll_fn(|cx| body.as_mut().poll_frame(cx)) => frame,
            _ = poll_fn(|cx| tx.poll_reset(cx)) => return Ok(()),
        };
        match frame {
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    send_data(&mut tx, data).await?;
                }
            }
            Some(Err(e)) => {
                tx.send_reset(h2::Reason::INTERNAL_ERROR);
                return Err(e.into());
            }
            None => {
                tx.send_data(Bytes::new(), true)?;
                return Ok(());
            }
        }
    }
}

/// Sends bytes as the other host takes them.
async fn send_data(tx: &mut h2::SendStream<Bytes>, mut data: Bytes) -> eyre::Result<()> {
    while !data.is_empty() {
        tx.reserve_capacity(data.len());
        let capacity = poll_fn(|cx| tx.poll_capacity(cx)).await;
        let Some(capacity) = capacity else {
            eyre::bail!("the other host has closed the stream");
        };
        let next = data.split_to(capacity?.min(data.len()));
        tx.send_data(next, false)?;
    }
    Ok(())
}
