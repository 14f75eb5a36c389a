//! HTTP server on a loopback address, with its own thread.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;

use bytes::Bytes;
use eyre::WrapErr as _;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt as _, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::sync::watch;

/// Body of an answer; an error cuts the connection.
pub(crate) type Body = BoxBody<Bytes, std::io::Error>;

/// Handles the requests of a server.
pub(crate) trait Handler: Send + Sync + 'static {
    /// Answers a request. `None` closes the connection without an answer.
    fn handle(
        self: Arc<Self>,
        req: Request<Incoming>,
    ) -> impl Future<Output = Option<Response<Body>>> + Send;
}

/// A server that runs until it is closed.
#[derive(Debug)]
pub(crate) struct Server {
    addr: SocketAddr,
    close_signal: watch::Sender<bool>,
    /// Number of times that the open connections were cut.
    cuts: watch::Sender<u64>,
    thread: thread::JoinHandle<()>,
}

impl Server {
    pub(crate) fn start<H>(handler: Arc<H>) -> eyre::Result<Self>
    where
        H: Handler,
    {
        let listener = std::net::TcpListener::bind("127.0.0.1:0")
            .wrap_err("cannot bind a listener on a loopback port")?;
        listener.set_nonblocking(true)?;
        let addr = listener.local_addr()?;
        let close_signal = watch::Sender::new(false);
        let cuts = watch::Sender::new(0);
        let signals = Signals {
            closed: close_signal.subscribe(),
            cuts: cuts.subscribe(),
        };
        let thread = thread::Builder::new()
            .name("stand-in".to_owned())
            .spawn(move || run(listener, handler, signals))?;
        Ok(Self {
            addr,
            close_signal,
            cuts,
            thread,
        })
    }

    pub(crate) const fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Cuts the open connections. Later ones are not affected.
    pub(crate) fn cut_connections(&self) {
        self.cuts.send_modify(|cuts| *cuts += 1);
    }

    pub(crate) fn close(self) {
        self.close_signal.send_replace(true);
        // A panic of the thread has already been printed.
        drop(self.thread.join());
    }
}

/// What ends the connections of a server.
#[derive(Clone, Debug)]
struct Signals {
    closed: watch::Receiver<bool>,
    cuts: watch::Receiver<u64>,
}

fn run<H>(listener: std::net::TcpListener, handler: Arc<H>, mut signals: Signals)
where
    H: Handler,
{
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("the Tokio runtime starts");
    runtime.block_on(async move {
        let listener = tokio::net::TcpListener::from_std(listener)
            .expect("the listener can be registered with the runtime");
        loop {
            tokio::select! {
                _ = signals.closed.changed() => return,
                accepted = listener.accept() => {
                    let Ok((stream, _)) = accepted else { continue };
                    signals.cuts.mark_unchanged();
                    tokio::spawn(serve(stream, handler.clone(), signals.clone()));
                }
            }
        }
    });
}

async fn serve<H>(stream: tokio::net::TcpStream, handler: Arc<H>, mut signals: Signals)
where
    H: Handler,
{
    let service = service_fn(move |req| {
        let handler = handler.clone();
        async move { handler.handle(req).await.ok_or(Closed) }
    });
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        // A failure of the connection is visible to its caller.
        _ = connection => {}
        _ = signals.closed.changed() => {}
        _ = signals.cuts.changed() => {}
    }
}

/// Error that makes `hyper` close a connection without an answer.
#[derive(Debug)]
struct Closed;

impl std::fmt::Display for Closed {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("closed without an answer")
    }
}

impl std::error::Error for Closed {}

/// A complete body.
pub(crate) fn full_body<B>(bytes: B) -> Body
where
    B: Into<Bytes>,
{
    let full = Full::new(bytes.into());
    full.map_err(|never: Infallible| match never {}).boxed()
}

/// An answer with a status and a complete body.
pub(crate) fn answer<B>(status: StatusCode, bytes: B) -> Response<Body>
where
    B: Into<Bytes>,
{
    let mut response = Response::new(full_body(bytes));
    *response.status_mut() = status;
    response
}
