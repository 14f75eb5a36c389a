//! HTTP server on a loopback address, with its own thread.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

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

/// Connections that wait to be accepted after a crash.
const BACKLOG: u32 = 128;

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
    crashes: CrashSwitch,
    thread: thread::JoinHandle<()>,
}

/// Ends the connections of a server and makes it refuse others for a while, as the end of a process
/// and the start of the next one do.
#[derive(Clone, Debug)]
pub(crate) struct CrashSwitch(watch::Sender<Crash>);

/// The last crash of a server.
#[derive(Clone, Copy, Debug, Default)]
struct Crash {
    /// Number of crashes so far.
    number: u64,
    /// Time for which connections are refused.
    down_for: Duration,
}

impl CrashSwitch {
    pub(crate) fn new() -> Self {
        Self(watch::Sender::new(Crash::default()))
    }

    /// Crashes the server.
    pub(crate) fn crash(&self, down_for: Duration) {
        self.0.send_modify(|crash| {
            crash.number += 1;
            crash.down_for = down_for;
        });
    }

    /// Number of crashes so far.
    pub(crate) fn count(&self) -> u64 {
        self.0.borrow().number
    }
}

impl Server {
    pub(crate) fn start<H>(handler: Arc<H>) -> eyre::Result<Self>
    where
        H: Handler,
    {
        Self::start_with_switch(handler, CrashSwitch::new())
    }

    /// Starts a server that the switch crashes.
    pub(crate) fn start_with_switch<H>(handler: Arc<H>, crashes: CrashSwitch) -> eyre::Result<Self>
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
            crashes: crashes.0.subscribe(),
        };
        let thread = thread::Builder::new()
            .name("stand-in".to_owned())
            .spawn(move || run(listener, handler, signals))?;
        Ok(Self {
            addr,
            close_signal,
            cuts,
            crashes,
            thread,
        })
    }

    /// Number of crashes so far.
    pub(crate) fn crashes(&self) -> u64 {
        self.crashes.count()
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
    crashes: watch::Receiver<Crash>,
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
        let mut listener = tokio::net::TcpListener::from_std(listener)
            .expect("the listener can be registered with the runtime");
        loop {
            tokio::select! {
                _ = signals.closed.changed() => return,
                Ok(()) = signals.crashes.changed() => {
                    let down_for = signals.crashes.borrow_and_update().down_for;
                    listener = tokio::select! {
                        _ = signals.closed.changed() => return,
                        listener = restart(listener, down_for) => listener,
                    };
                    signals.crashes.mark_unchanged();
                }
                accepted = listener.accept() => {
                    let Ok((stream, _)) = accepted else { continue };
                    signals.cuts.mark_unchanged();
                    signals.crashes.mark_unchanged();
                    tokio::spawn(serve(stream, handler.clone(), signals.clone()));
                }
            }
        }
    });
}

/// Refuses connections for a while, then listens again at the same address.
async fn restart(listener: tokio::net::TcpListener, down_for: Duration) -> tokio::net::TcpListener {
    let addr = listener.local_addr().expect("a bound listener");
    drop(listener);
    // A bound socket keeps the port and refuses connections until it listens.
    let socket = tokio::net::TcpSocket::new_v4().expect("a socket");
    socket.set_reuseaddr(true).expect("the option exists");
    socket.bind(addr).expect("the port was just freed");
    tokio::time::sleep(down_for).await;
    socket.listen(BACKLOG).expect("the port is still bound")
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
        _ = signals.crashes.changed() => {}
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
