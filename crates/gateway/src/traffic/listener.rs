//! Connections of callers, and the graceful stop.

use std::convert::Infallible;
use std::future::poll_fn;
use std::net;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::sync::Arc;
use std::task::{self, Poll, ready};
use std::time::Duration;

use http::Request;
use hyper::body::{Body, Incoming};
use hyper::rt;
use hyper::server::conn::http1;
use hyper::service::{HttpService, service_fn};
use hyper_util::rt::TokioIo;
use pistachiochute_core::liveness::ConnectionStep;
use pistachiochute_core::reason;
use pistachiochute_runtime::{clock, delimited};
use tokio::sync::watch;

use crate::shared::Phase;
use crate::traffic::{Context, connection, memory, metered, serve};
use crate::{adapter, sockets};

type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// Largest request head while there is no catalog, in bytes.
const DEFAULT_MAX_HEAD_BYTES: usize = 64 << 10;

/// Smallest buffer for request heads that hyper accepts, in bytes. Hyper itself answers requests
/// whose heads exceed the buffer.
const MIN_HEAD_BUFFER_BYTES: usize = 8 << 10;

/// Memory that an open connection costs beside its largest head, in bytes: buffers of the library and
/// the state of a request.
const CONNECTION_BYTES: usize = 16 << 10;

/// Head timeout while there is no catalog.
const DEFAULT_HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Idle timeout while there is no catalog.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Extra idle time beyond the timeout of the catalog, so that a caller that respects the timeout
/// never sends a request on a closed connection.
const IDLE_SLACK: Duration = Duration::from_secs(1);

/// Interval at which a connection is checked for idleness.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Time of a graceful stop in which connections are still accepted: the load balancer needs two
/// failed health checks to stop sending callers.
const LEAVING_DURATION: Duration = Duration::from_millis(3_000);

/// Interval at which a graceful stop checks whether all connections are closed.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Part of the stop timeout that is reserved for the process to exit.
const STOP_RESERVE: Duration = Duration::from_millis(300);

/// Connections that are accepted before other work has its turn. Each costs several system calls.
const ACCEPTS_IN_A_ROW: usize = 4;

/// Accepts connections until the future is dropped.
pub(super) async fn accept<D>(cx: Rc<Context<D>>, listener: net::TcpListener)
where
    D: adapter::Dialect,
{
    let listener = match tokio::net::TcpListener::from_std(listener) {
        Ok(listener) => listener,
        Err(e) => return cx.events.listener_failed("callers", &e),
    };
    for accepted in 1_usize.. {
        let stream = sockets::accept(&listener, sockets::Peer::Caller).await;
        tokio::task::spawn_local(track_connection(cx.clone(), stream));
        if accepted.is_multiple_of(ACCEPTS_IN_A_ROW) {
            tokio::task::yield_now().await;
        }
    }
}

async fn track_connection<D>(cx: Rc<Context<D>>, stream: tokio::net::TcpStream)
where
    D: adapter::Dialect,
{
    let now = clock::now();
    let account = cx.memory.open(now);
    match admit_connection(&cx, &account).await {
        Ok(_held) => {
            let (number, connection) = cx.connections.add(account, now);
            serve_connection(&cx, &connection, stream).await;
            cx.connections.remove(number);
        }
        Err(cause) => {
            cx.metrics.connection_closed(cause);
            cx.events.connection_closed(cause, 0, None);
        }
    }
}

/// Leases what a new connection costs, or returns why it is closed at once.
async fn admit_connection<D>(
    cx: &Rc<Context<D>>,
    account: &Arc<memory::Account>,
) -> Result<memory::Held, reason::Close>
where
    D: adapter::Dialect,
{
    if !account.claim_connection() {
        return Err(reason::Close::ConnectionLimit);
    }
    let lease = account.lease(CONNECTION_BYTES + head_limit(cx));
    lease.await.map_err(|_| reason::Close::MemoryShort)
}

async fn serve_connection<D>(
    cx: &Rc<Context<D>>,
    connection: &Rc<connection::Connection>,
    stream: tokio::net::TcpStream,
) where
    D: adapter::Dialect,
{
    let delimiter = delimited::Delimiter::default();
    let service = service_fn(|req: Request<Incoming>| {
        let version = req.version();
        let answer = serve::serve(cx.clone(), connection.clone(), req);
        let delimiter = &delimiter;
        async move {
            let response = answer.await?;
            Ok::<_, Infallible>(delimiter.answer(version, response))
        }
    });
    let stream = delimited::Socket::new(stream, delimiter.clone());
    let serving = http1::Builder::new()
        .max_buf_size(head_limit(cx))
        .serve_connection(
            TokioIo::new(metered::Metered::new(stream, connection.clone())),
            service,
        );
    let phases = cx.shared.subscribe_phase();
    let mut serving = pin!(serving);
    match drive(serving.as_mut(), connection, phases, || timeouts(cx)).await {
        // An error is only logged: the caller sees that its connection failed.
        End::Served(result) => connection.record_result(result, cx.telemetry()),
        End::Closed(cause) => connection.record_forced_close(cause, cx.telemetry()),
        End::Idle => {}
    }
}

/// Limits on the time that a caller may take.
#[derive(Clone, Copy, Debug)]
pub(super) struct Timeouts {
    /// For a head.
    head: Duration,
    /// Between two requests.
    idle: Duration,
}

/// How a connection ended.
#[derive(Debug)]
pub(super) enum End {
    /// By the library.
    Served(hyper::Result<()>),
    /// It was idle for too long.
    Idle,
    /// The caller misbehaved, or others needed the room. Its requests have not been dropped yet.
    Closed(reason::Close),
}

/// Runs a connection until it is closed, has been idle for too long, or the host stops.
pub(super) async fn drive<I, S, B, F>(
    mut serving: Pin<&mut http1::Connection<I, S>>,
    connection: &connection::Connection,
    mut phases: watch::Receiver<Phase>,
    timeouts: F,
) -> End
where
    I: rt::Read + rt::Write + Unpin,
    S: HttpService<Incoming, ResBody = B>,
    S::Error: Into<BoxError>,
    B: Body + 'static,
    B::Error: Into<BoxError>,
    F: Fn() -> Timeouts,
{
    let mut check = tokio::time::interval(IDLE_CHECK_INTERVAL);
    let mut is_stopping = false;
    let mut pause = None;
    loop {
        let turn = poll_fn(|cx| poll_turn(serving.as_mut(), connection, &mut pause, cx));
        let step = tokio::select! {
            result = turn => return End::Served(result),
            cause = connection.account().closing() => return End::Closed(cause),
            _ = check.tick() => {
                let now = clock::now();
                let timeouts = timeouts();
                if let Some(cause) = connection.check_progress(now, timeouts.head) {
                    return End::Closed(cause);
                }
                connection.check_idle(now, timeouts.idle)
            }
            changed = phases.changed(), if !is_stopping => {
                is_stopping = changed.is_err() || *phases.borrow() >= Phase::Closing;
                match is_stopping {
                    true => connection.stop(),
                    false => ConnectionStep::Keep,
                }
            }
        };
        match step {
            ConnectionStep::Keep => {}
            ConnectionStep::ShutDown => {
                // A request that waits in the socket is read before an idle connection is closed.
                tokio::task::yield_now().await;
                if let Some(result) = poll_once(serving.as_mut()).await {
                    return End::Served(result);
                }
                serving.as_mut().graceful_shutdown();
            }
            ConnectionStep::Close => return End::Idle,
        }
    }
}

/// Polls a connection, unless it has had more than its share of the thread and waits for others.
fn poll_turn<F>(
    serving: Pin<&mut F>,
    connection: &connection::Connection,
    pause: &mut Option<Pin<Box<tokio::time::Sleep>>>,
    cx: &mut task::Context<'_>,
) -> Poll<F::Output>
where
    F: Future,
{
    if let Some(waiting) = pause {
        ready!(waiting.as_mut().poll(cx));
        *pause = None;
    }
    let result = serving.poll(cx);
    let wait = connection.turn_taken(clock::now());
    if !wait.is_zero() {
        *pause = Some(Box::pin(tokio::time::sleep(wait)));
    }
    result
}

/// Polls a future once. Returns its output if it is complete.
async fn poll_once<F>(mut future: Pin<&mut F>) -> Option<F::Output>
where
    F: Future,
{
    poll_fn(|cx| match future.as_mut().poll(cx) {
        Poll::Ready(output) => Poll::Ready(Some(output)),
        Poll::Pending => Poll::Ready(None),
    })
    .await
}

fn head_limit<D>(cx: &Rc<Context<D>>) -> usize {
    let view = cx.shared.view();
    let limits = view.catalog.as_ref().map(|c| c.content().limits);
    limits.map_or(DEFAULT_MAX_HEAD_BYTES, |limits| {
        limits.max_head_bytes.max(MIN_HEAD_BUFFER_BYTES)
    })
}

fn timeouts<D>(cx: &Rc<Context<D>>) -> Timeouts {
    let view = cx.shared.view();
    let limits = view.catalog.as_ref().map(|c| c.content().limits);
    limits.map_or(
        Timeouts {
            head: DEFAULT_HEAD_TIMEOUT,
            idle: DEFAULT_IDLE_TIMEOUT,
        },
        |limits| Timeouts {
            head: limits.head_timeout,
            idle: limits.idle_timeout + IDLE_SLACK,
        },
    )
}

/// Waits for the start of a graceful stop and runs it.
pub(super) async fn shut_down<D>(cx: &Rc<Context<D>>, max_duration: Duration)
where
    D: adapter::Dialect,
{
    let mut phases = cx.shared.subscribe_phase();
    while *phases.borrow() < Phase::Leaving {
        if phases.changed().await.is_err() {
            return;
        }
    }
    let deadline = clock::now() + max_duration.saturating_sub(STOP_RESERVE);
    cx.stop_deadline.set(Some(deadline));
    cx.events.stop_step("leaving", cx.active_requests.get());
    tokio::time::sleep(LEAVING_DURATION.min(max_duration / 2)).await;
    cx.shared.enter_phase(Phase::Closing);
    cx.events.stop_step("closing", cx.active_requests.get());
    while cx.connections.count() > 0 && clock::now() < deadline {
        tokio::time::sleep(STOP_POLL_INTERVAL).await;
    }
    for connection in cx.connections.all() {
        connection.record_close(reason::Close::StopDeadline, None, cx.telemetry());
    }
    cx.events.stop_step("stopped", cx.active_requests.get());
}

#[cfg(test)]
mod tests;
