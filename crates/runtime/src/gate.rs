//! Gate between callers and the HTTP server.
//!
//! `tiny_http` reads the lines of a head without a bound, and a head or a small body without a
//! deadline for the whole. The gate takes callers' connections, bounds how many there are, and
//! passes bytes both ways between each and the server's own socket on the loopback interface.
//! It counts what a caller sends before an answer comes: a request that grows beyond its bound, or
//! of which bytes still come after its deadline, ends the connection. The gate reads no HTTP.
//!
//! When the gate closes, it ends the way to the server on each connection. The server ends its own
//! after the last byte of its answer, which is passed on, so closing cuts no answer that the server
//! has finished.

use std::future;
use std::net;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use bytes::Bytes;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::tcp;
use tokio::sync::{Semaphore, watch};
use tokio::time;

/// Bytes passed on at once.
const BUFFER_LEN: usize = 16 * 1024;

/// Time in which the rest of a request is discarded after its answer, so that closing the
/// connection does not discard the answer.
const LINGER: Duration = Duration::from_millis(200);

/// Pause after the listener failed, for instance because no descriptor was left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Longest wait of a close for answers to be passed on.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Bounds on callers.
#[derive(Clone, Debug)]
pub struct Config {
    /// Address of the HTTP server.
    pub server: net::SocketAddr,
    /// Connections at once.
    pub connections: usize,
    /// Answer to a connection beyond them.
    pub busy: Bytes,
    /// Most bytes that a caller sends before an answer comes.
    pub request_bytes: u64,
    /// Time in which they have to come.
    pub request_time: Duration,
    /// Longest wait until a caller takes bytes of its answer.
    pub stall: Duration,
}

/// The gate with its thread.
#[derive(Debug)]
pub struct Gate {
    addr: net::SocketAddr,
    closing: watch::Sender<bool>,
    thread: thread::JoinHandle<()>,
}

impl Gate {
    /// Starts to take connections on `socket`.
    ///
    /// # Errors
    ///
    /// Returns an error if the executor, the socket or the thread cannot be set up.
    pub fn start(socket: net::TcpListener, cfg: Config) -> eyre::Result<Self> {
        let addr = socket.local_addr()?;
        socket.set_nonblocking(true)?;
        let executor = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let (closing, closed) = watch::channel(false);
        let thread = thread::Builder::new()
            .name("gate".to_owned())
            .spawn(move || executor.block_on(run(socket, Arc::new(cfg), closed)))?;
        Ok(Self {
            addr,
            closing,
            thread,
        })
    }

    /// Address on which connections are taken.
    #[must_use]
    pub const fn addr(&self) -> net::SocketAddr {
        self.addr
    }

    /// Passes on the answers that the server has finished, and ends every connection and the
    /// thread.
    pub fn close(self) {
        let _ = self.closing.send(true);
        let _ = self.thread.join();
    }
}

async fn run(socket: net::TcpListener, cfg: Arc<Config>, mut closed: watch::Receiver<bool>) {
    let Ok(listener) = tokio::net::TcpListener::from_std(socket) else {
        return;
    };
    let places = Arc::new(Semaphore::new(cfg.connections));
    loop {
        let accepted = tokio::select! {
            _ = closed.changed() => break,
            accepted = listener.accept() => accepted,
        };
        let Ok((caller, _)) = accepted else {
            time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let cfg = Arc::clone(&cfg);
        let closed = closed.clone();
        match Arc::clone(&places).try_acquire_owned() {
            Ok(place) => tokio::spawn(async move {
                let _ = pass(caller, &cfg, closed).await;
                drop(place);
            }),
            Err(_) => tokio::spawn(refuse(caller, cfg)),
        };
    }
    let all = u32::try_from(cfg.connections).unwrap_or(u32::MAX);
    let _ = time::timeout(CLOSE_TIMEOUT, places.acquire_many(all)).await;
}

/// Answers a connection that is one too many.
async fn refuse(mut caller: tokio::net::TcpStream, cfg: Arc<Config>) {
    let answering = async {
        caller.write_all(&cfg.busy).await?;
        caller.shutdown().await?;
        discard(&mut caller.split().0).await
    };
    let _ = time::timeout(LINGER, answering).await;
}

/// Passes bytes both ways until the server or the caller ends the connection.
async fn pass(
    mut caller: tokio::net::TcpStream,
    cfg: &Config,
    mut closed: watch::Receiver<bool>,
) -> std::io::Result<()> {
    let mut server = tokio::net::TcpStream::connect(cfg.server).await?;
    caller.set_nodelay(true)?;
    server.set_nodelay(true)?;
    let request = Request::new(cfg);
    let (mut from_caller, mut to_caller) = caller.split();
    let (mut from_server, mut to_server) = server.split();
    let up = async {
        let sent = tokio::select! {
            sent = request.send(&mut from_caller, &mut to_server) => sent,
            _ = closed.wait_for(|closed| *closed) => Ok(()),
        };
        // A caller that has ended its side may still wait for its answer.
        if sent.is_ok() {
            // The server may have closed its side already.
            let _ = to_server.shutdown().await;
            future::pending::<()>().await;
        }
    };
    tokio::select! {
        () = up => return Ok(()),
        answered = request.answer(&mut from_server, &mut to_caller) => answered?,
    }
    let _ = time::timeout(LINGER, discard(&mut from_caller)).await;
    Ok(())
}

async fn discard(from: &mut tcp::ReadHalf<'_>) -> std::io::Result<()> {
    let mut buf = [0; 1024];
    while from.read(&mut buf).await? > 0 {}
    Ok(())
}

/// What a caller has sent since the last byte of an answer.
#[derive(Clone, Copy, Debug, Default)]
struct Sent {
    bytes: u64,
    since: Option<Instant>,
}

/// The request that a connection carries.
struct Request<'a> {
    cfg: &'a Config,
    sent: Mutex<Sent>,
}

impl<'a> Request<'a> {
    fn new(cfg: &'a Config) -> Self {
        Self {
            cfg,
            sent: Mutex::default(),
        }
    }

    /// Passes the request on until the caller ends its side. An error ends the connection.
    async fn send(
        &self,
        from: &mut tcp::ReadHalf<'_>,
        to: &mut tcp::WriteHalf<'_>,
    ) -> std::io::Result<()> {
        let mut buf = vec![0; BUFFER_LEN];
        loop {
            let len = from.read(&mut buf).await?;
            if len == 0 {
                return Ok(());
            }
            self.count(len as u64)?;
            if to.write_all(&buf[..len]).await.is_err() {
                // The server refused the rest; its answer is still to be passed on.
                return Ok(());
            }
        }
    }

    fn count(&self, len: u64) -> std::io::Result<()> {
        let mut sent = self.sent.lock().unwrap_or_else(PoisonError::into_inner);
        sent.bytes += len;
        let since = *sent.since.get_or_insert_with(Instant::now);
        if sent.bytes > self.cfg.request_bytes || since.elapsed() > self.cfg.request_time {
            return Err(std::io::ErrorKind::TimedOut.into());
        }
        Ok(())
    }

    /// Passes answers on until the server ends the connection.
    async fn answer(
        &self,
        from: &mut tcp::ReadHalf<'_>,
        to: &mut tcp::WriteHalf<'_>,
    ) -> std::io::Result<()> {
        let mut buf = vec![0; BUFFER_LEN];
        loop {
            let len = from.read(&mut buf).await?;
            if len == 0 {
                return to.shutdown().await;
            }
            *self.sent.lock().unwrap_or_else(PoisonError::into_inner) = Sent::default();
            time::timeout(self.cfg.stall, to.write_all(&buf[..len])).await??;
        }
    }
}
