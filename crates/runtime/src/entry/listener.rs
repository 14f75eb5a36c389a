//! Takes callers' connections.
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

use crate::entry;
use crate::entry::respond;

/// Time between two looks at whether the listener is closed.
const POLL: Duration = Duration::from_millis(50);

/// Pause before a failed server is replaced.
const RESTART_PAUSE: Duration = Duration::from_millis(10);

/// The listener for callers.
#[derive(Debug)]
pub struct Listener {
    addr: net::SocketAddr,
    closed: Arc<AtomicBool>,
    thread: thread::JoinHandle<()>,
}

impl Listener {
    /// Starts to take connections on `socket`.
    ///
    /// # Errors
    ///
    /// Returns an error if the socket cannot be set up.
    pub fn start(socket: net::TcpListener, cx: Arc<entry::Context>) -> eyre::Result<Self> {
        let addr = socket.local_addr()?;
        let bounds = &cx.settings.bounds;
        let stall = cx.settings.timeouts.stall;
        sockopt::set_socket_timeout(&socket, sockopt::Timeout::Recv, Some(bounds.header_read))?;
        sockopt::set_socket_timeout(&socket, sockopt::Timeout::Send, Some(stall))?;
        let closed = Arc::new(AtomicBool::new(false));
        let accepting = Accepting {
            socket,
            cx,
            closed: Arc::clone(&closed),
        };
        let first = accepting.serve_on().wrap_err("callers' listener")?;
        let thread = thread::Builder::new()
            .name("listener".to_owned())
            .spawn(move || accepting.run(first))?;
        Ok(Self {
            addr,
            closed,
            thread,
        })
    }

    /// Address on which callers are served.
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

struct Accepting {
    socket: net::TcpListener,
    cx: Arc<entry::Context>,
    closed: Arc<AtomicBool>,
}

/// A server whose accept loop has ended, kept until its last connection has timed out.
struct Former {
    server: tiny_http::Server,
    until: Instant,
}

impl Accepting {
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
        Instant::now() + 2 * self.cx.settings.bounds.header_read
    }

    fn take_waiting(&self, old: &mut Former) {
        while let Ok(Some(req)) = old.server.try_recv() {
            // The connection may bring further requests.
            old.until = self.last_use() + self.cx.settings.timeouts.request;
            self.dispatch(req);
        }
    }

    fn dispatch(&self, req: tiny_http::Request) {
        let cx = Arc::clone(&self.cx);
        // The request is taken back out if no thread is free.
        let slot = Arc::new(std::sync::Mutex::new(Some(req)));
        let taken = Arc::clone(&slot);
        let job = move || {
            if let Some(req) = take(&taken) {
                cx.handle(req);
            }
        };
        if self.cx.pool.run(job).is_err()
            && let Some(req) = take(&slot)
        {
            respond::refuse(
                &self.cx,
                req,
                &respond::Refused::busy(entry::new_request_id()),
            );
        }
    }
}

fn take(slot: &std::sync::Mutex<Option<tiny_http::Request>>) -> Option<tiny_http::Request> {
    slot.lock().ok()?.take()
}
