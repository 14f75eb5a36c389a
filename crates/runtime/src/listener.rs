//! Takes HTTP connections.
//!
//! `tiny_http` sets no timeouts, so they are set on the listening socket, from which Linux hands
//! them down to each connection. The same timeout ends `tiny_http`'s accept loop when no
//! connection comes for that long. The listener therefore starts a new server on the same socket
//! whenever a loop has ended, and goes on serving the connections of the former one until they
//! have ended too.

use std::net;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use eyre::WrapErr as _;
use rustix::net::sockopt;

use crate::pool;

/// Time between two looks at whether the listener is closed.
const POLL: Duration = Duration::from_millis(50);

/// Pause before a failed server is replaced.
const RESTART_PAUSE: Duration = Duration::from_millis(10);

/// What is done with the requests of a listener.
pub trait Service: Send + Sync + 'static {
    /// Serves one request to its end, on a thread of the pool.
    fn serve(&self, req: tiny_http::Request);

    /// Refuses one request because the host serves as many as it may.
    fn refuse_busy(&self, req: tiny_http::Request);
}

/// Settings of a listener.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Longest silence of a connection while a request is read.
    pub read: Duration,
    /// Longest time that a connection takes no bytes of an answer.
    pub write: Duration,
    /// Longest time that a request takes, after which its connection may bring another.
    pub request: Duration,
}

/// A listener.
#[derive(Debug)]
pub struct Listener {
    addr: net::SocketAddr,
    closed: Arc<AtomicBool>,
    thread: thread::JoinHandle<()>,
}

impl Listener {
    /// Starts to take connections on `socket` and serves their requests on the threads of `pool`.
    ///
    /// # Errors
    ///
    /// Returns an error if the socket cannot be set up.
    pub fn start<S>(
        socket: net::TcpListener,
        cfg: Config,
        pool: pool::Pool,
        service: Arc<S>,
    ) -> eyre::Result<Self>
    where
        S: Service,
    {
        let addr = socket.local_addr()?;
        sockopt::set_socket_timeout(&socket, sockopt::Timeout::Recv, Some(cfg.read))?;
        sockopt::set_socket_timeout(&socket, sockopt::Timeout::Send, Some(cfg.write))?;
        let closed = Arc::new(AtomicBool::new(false));
        let accepting = Accepting {
            socket,
            cfg,
            pool,
            service,
            closed: Arc::clone(&closed),
        };
        let first = accepting
            .serve_on()
            .wrap_err_with(|| format!("cannot serve {addr}"))?;
        let thread = thread::Builder::new()
            .name("listener".to_owned())
            .spawn(move || accepting.run(first))?;
        Ok(Self {
            addr,
            closed,
            thread,
        })
    }

    /// Address that is served.
    #[must_use]
    pub fn addr(&self) -> net::SocketAddr {
        self.addr
    }

    /// Ends the listener. Requests in progress go on.
    pub fn close(self) {
        self.closed.store(true, Ordering::Release);
        let _ = self.thread.join();
    }
}

struct Accepting<S> {
    socket: net::TcpListener,
    cfg: Config,
    pool: pool::Pool,
    service: Arc<S>,
    closed: Arc<AtomicBool>,
}

/// A server whose accept loop has ended, kept until its last connection has timed out.
struct Former {
    server: tiny_http::Server,
    until: Instant,
}

impl<S> Accepting<S>
where
    S: Service,
{
    fn serve_on(&self) -> eyre::Result<tiny_http::Server> {
        let socket = self.socket.try_clone()?;
        tiny_http::Server::from_listener(socket, None).map_err(|e| eyre::eyre!("{e}"))
    }

    fn run(self, first: tiny_http::Server) {
        let mut current = first;
        let mut former: Vec<Former> = Vec::new();
        while !self.closed.load(Ordering::Acquire) {
            for old in &mut former {
                self.take_waiting(old);
            }
            former.retain(|old| Instant::now() < old.until);
            match current.recv_timeout(POLL) {
                Ok(Some(req)) => self.dispatch(req),
                Ok(None) => {}
                Err(_) => match self.serve_on() {
                    Ok(server) => {
                        let server = std::mem::replace(&mut current, server);
                        former.push(Former {
                            server,
                            until: self.last_use(),
                        });
                    }
                    Err(_) => thread::sleep(RESTART_PAUSE),
                },
            }
        }
    }

    /// Time by which a connection without requests has timed out.
    fn last_use(&self) -> Instant {
        Instant::now() + 2 * self.cfg.read
    }

    fn take_waiting(&self, old: &mut Former) {
        while let Ok(Some(req)) = old.server.try_recv() {
            // The connection may bring further requests.
            old.until = self.last_use() + self.cfg.request;
            self.dispatch(req);
        }
    }

    fn dispatch(&self, req: tiny_http::Request) {
        let service = Arc::clone(&self.service);
        // The request is taken back out if no thread is free.
        let slot = Arc::new(std::sync::Mutex::new(Some(req)));
        let taken = Arc::clone(&slot);
        let job = move || {
            if let Some(req) = take(&taken) {
                service.serve(req);
            }
        };
        if self.pool.run(job).is_err()
            && let Some(req) = take(&slot)
        {
            self.service.refuse_busy(req);
        }
    }
}

fn take(slot: &std::sync::Mutex<Option<tiny_http::Request>>) -> Option<tiny_http::Request> {
    slot.lock().ok()?.take()
}
