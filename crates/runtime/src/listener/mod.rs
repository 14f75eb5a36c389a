//! HTTP/1.1 server for callers and operators.
//!
//! One thread drives all connections and reads each request completely, within limits on size and
//! time. The request is then served on a thread of a pool, which answers through an [`Answer`]. An
//! incomplete answer closes its connection, so that no client takes it for complete.

mod answer;
mod request;

pub use answer::{Answer, Disconnected, Stream};
pub use request::{BodyError, Request};

use std::net;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use eyre::WrapErr as _;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use rustix::net::sockopt;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::sync::{Semaphore, watch};
use tokio::time;

use crate::{delimited, thread_pool};

/// Smallest read buffer that the HTTP library accepts, in bytes. The buffer limits the head of a
/// request; the library itself refuses a larger one, without a reason code.
const MIN_HEAD_BYTES: usize = 8 << 10;

/// Timeout of refusing a connection beyond the limit.
const REFUSE_TIMEOUT: Duration = Duration::from_millis(200);

/// Delay before accepting again after an error, for instance when no file descriptor is left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Longest time that closing waits for answers in progress.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Content type of a stream of events.
pub const EVENT_STREAM: &[u8] = b"text/event-stream";

/// Serves the requests of a listener.
pub trait Service: Send + Sync + 'static {
    /// Serves one request to its end. Runs on a thread of the pool.
    fn serve(&self, req: Request, answer: Answer);

    /// Refuses one request because no thread of the pool is free. Runs on the listener thread.
    fn refuse_busy(&self, req: Request, answer: Answer);
}

/// Configuration of a listener.
#[derive(Clone, Debug)]
pub struct Config {
    /// Maximum number of concurrent connections.
    pub max_connections: usize,
    /// Raw HTTP response sent on a connection beyond `max_connections`.
    pub busy_answer: Bytes,
    /// Largest head of a request that reaches the service, in bytes.
    pub max_head_bytes: usize,
    /// Timeout of reading the head of a request. It also limits the time between two requests.
    pub head_timeout: Duration,
    /// Largest body, in bytes.
    pub max_body_bytes: u64,
    /// Timeout of reading a body.
    pub body_timeout: Duration,
    /// Longest time that sent data may stay unacknowledged by the caller (`TCP_USER_TIMEOUT`).
    pub stall_timeout: Duration,
}

/// A listener and the thread that drives its connections.
#[derive(Debug)]
pub struct Listener {
    addr: net::SocketAddr,
    closing: watch::Sender<bool>,
    thread: thread::JoinHandle<()>,
}

impl Listener {
    /// Starts accepting connections on `socket`. Requests are served on the threads of `pool`.
    ///
    /// # Errors
    ///
    /// Returns an error if the executor, the socket or the thread cannot be set up.
    pub fn start<S>(
        socket: net::TcpListener,
        cfg: Config,
        pool: thread_pool::Pool,
        service: Arc<S>,
    ) -> eyre::Result<Self>
    where
        S: Service,
    {
        let addr = socket.local_addr()?;
        socket.set_nonblocking(true)?;
        let executor = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .wrap_err_with(|| format!("cannot serve {addr}"))?;
        let (closing, closed) = watch::channel(false);
        let shared = Arc::new(Shared { cfg, pool, service });
        let thread = thread::Builder::new()
            .name("listener".to_owned())
            .spawn(move || executor.block_on(accept(socket, shared, closed)))?;
        Ok(Self {
            addr,
            closing,
            thread,
        })
    }

    /// Local address of the listener.
    #[must_use]
    pub const fn addr(&self) -> net::SocketAddr {
        self.addr
    }

    /// Stops accepting connections, and closes the open ones when their answers in progress have
    /// ended, or after a bounded time.
    pub fn close(self) {
        self.closing.send_replace(true);
        // If the thread has panicked, its connections are closed already.
        let _ = self.thread.join();
    }
}

/// State that all connections of a listener share.
struct Shared<S> {
    cfg: Config,
    pool: thread_pool::Pool,
    service: Arc<S>,
}

async fn accept<S>(
    socket: net::TcpListener,
    shared: Arc<Shared<S>>,
    mut closed: watch::Receiver<bool>,
) where
    S: Service,
{
    let Ok(listener) = tokio::net::TcpListener::from_std(socket) else {
        return;
    };
    let max_connections = shared.cfg.max_connections;
    let permits = Arc::new(Semaphore::new(max_connections));
    loop {
        let accepted = tokio::select! {
            _ = closed.changed() => break,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, _)) = accepted else {
            time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        match Arc::clone(&permits).try_acquire_owned() {
            Ok(permit) => {
                let shared = Arc::clone(&shared);
                let closed = closed.clone();
                tokio::spawn(async move {
                    shared.connection(stream, closed).await;
                    drop(permit);
                });
            }
            Err(_) => drop(tokio::spawn(refuse(stream, shared.cfg.busy_answer.clone()))),
        }
    }
    drop(listener);
    let all = u32::try_from(max_connections).unwrap_or(u32::MAX);
    let _ = time::timeout(CLOSE_TIMEOUT, permits.acquire_many(all)).await;
}

/// Refuses a connection beyond the limit.
async fn refuse(mut stream: tokio::net::TcpStream, busy_answer: Bytes) {
    let answering = async {
        stream.write_all(&busy_answer).await?;
        stream.shutdown().await?;
        let mut buf = [0; 1024];
        while stream.read(&mut buf).await? > 0 {}
        std::io::Result::Ok(())
    };
    // Errors are ignored: the caller may have disconnected.
    let _ = time::timeout(REFUSE_TIMEOUT, answering).await;
}

impl<S> Shared<S>
where
    S: Service,
{
    /// Serves one connection until it ends.
    async fn connection(
        self: Arc<Self>,
        stream: tokio::net::TcpStream,
        mut closed: watch::Receiver<bool>,
    ) {
        if self.set_options(&stream).is_err() {
            // Setting an option fails only on a connection that has ended.
            return;
        }
        let delimiter = delimited::Delimiter::default();
        let service = service_fn(|req: http::Request<Incoming>| {
            let shared = Arc::clone(&self);
            let delimiter = delimiter.clone();
            async move {
                let version = req.version();
                let response = shared.answer(req).await?;
                Ok::<_, Disconnected>(delimiter.answer(version, response))
            }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(self.cfg.head_timeout)
            .max_buf_size(self.cfg.max_head_bytes.max(MIN_HEAD_BYTES))
            // A caller that has shut down its sending side may still wait for its answer.
            .half_close(true)
            .serve_connection(
                TokioIo::new(delimited::Socket::new(stream, delimiter.clone())),
                service,
            );
        let mut connection = std::pin::pin!(connection);
        // Errors of the connection are not logged, since the caller sees them.
        tokio::select! {
            _ = connection.as_mut() => {}
            () = wait_closed(&mut closed) => {
                connection.as_mut().graceful_shutdown();
                let _ = connection.await;
            }
        }
    }

    fn set_options(&self, stream: &tokio::net::TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let stall = u32::try_from(self.cfg.stall_timeout.as_millis()).unwrap_or(u32::MAX);
        Ok(sockopt::set_tcp_user_timeout(stream, stall)?)
    }

    /// Reads a request, passes it to the service and waits for the answer.
    async fn answer(
        &self,
        req: http::Request<Incoming>,
    ) -> Result<http::Response<answer::Body>, Disconnected> {
        let limits = request::BodyLimits {
            max_bytes: self.cfg.max_body_bytes,
            timeout: self.cfg.body_timeout,
        };
        let version = req.version();
        let req = Request::read(req, limits).await;
        let (answer, answered) = Answer::new();
        self.dispatch(req, answer);
        let response = answered.await.map_err(|_| Disconnected)?;
        match version {
            http::Version::HTTP_10 => hold_unless_events(response).await,
            _ => Ok(response),
        }
    }

    fn dispatch(&self, req: Request, answer: Answer) {
        let service = Arc::clone(&self.service);
        // The slot allows taking the request back if no thread is free.
        let slot = Arc::new(Mutex::new(Some((req, answer))));
        let taken = Arc::clone(&slot);
        let job = move || {
            if let Some((req, answer)) = take(&taken) {
                service.serve(req, answer);
            }
        };
        if self.pool.run(job).is_err()
            && let Some((req, answer)) = take(&slot)
        {
            self.service.refuse_busy(req, answer);
        }
    }
}

/// Holds an answer of HTTP/1.0 until it is complete, so that it has a length. A stream of events goes on as it
/// comes; its connection is reset if it is broken off.
async fn hold_unless_events(
    response: http::Response<answer::Body>,
) -> Result<http::Response<answer::Body>, Disconnected> {
    let content_type = response.headers().get(http::header::CONTENT_TYPE);
    if content_type.is_some_and(|value| value.as_bytes().starts_with(EVENT_STREAM)) {
        return Ok(response);
    }
    let (head, body) = response.into_parts();
    let body = body.hold().await.map_err(|_| Disconnected)?;
    let mut held = http::Response::new(body);
    *held.status_mut() = head.status;
    *held.headers_mut() = head.headers;
    Ok(held)
}

/// Waits until the listener is closed.
async fn wait_closed(closed: &mut watch::Receiver<bool>) {
    // An error means that the listener was dropped, which also closes it.
    drop(closed.wait_for(|closed| *closed).await);
}

fn take(slot: &Mutex<Option<(Request, Answer)>>) -> Option<(Request, Answer)> {
    slot.lock().unwrap_or_else(PoisonError::into_inner).take()
}
