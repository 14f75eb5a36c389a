//! HTTP server that the stand-ins outside [`crate::platform`] share.
//!
//! One thread accepts requests from `tiny_http` and starts a thread for each, up to
//! [`MAX_ACTIVE`]. The listening socket can be closed and reopened on the same address, so that a
//! stand-in refuses connections without losing its state. The port stays reserved meanwhile: another
//! listener that was given it would answer in place of the refusing one.

mod exchange;
mod switch;

use std::fmt;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use eyre::WrapErr as _;

use crate::{port, sync};

pub(crate) use exchange::{Body, Exchange};
pub(crate) use switch::{FaultSwitch, take_fault};

/// Implements the common functions of a stand-in that has the fields `server` and `shared`.
macro_rules! impl_stand_in {
    ($name:ident, $faults:ty) => {
        impl $name {
            /// Address that the stand-in is bound to.
            #[must_use]
            pub fn addr(&self) -> std::net::SocketAddr {
                self.server.addr()
            }

            /// Replaces the faults, and waits up to 2 s until connections are refused or accepted
            /// accordingly.
            pub fn set_faults(&self, faults: $faults) {
                self.shared.faults.set(self.server.control(), faults);
            }

            /// Stops the server, and waits up to 5 s for the requests in progress.
            pub fn close(self) {
                self.server.close();
            }
        }
    };
}

pub(crate) use impl_stand_in;

/// Maximum number of concurrent requests of a server. Further requests are answered 503 without
/// being run.
const MAX_ACTIVE: usize = 512;

/// Longest wait of `close` for the requests in progress.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(5);

/// Longest wait for the listening socket to open or close.
const LISTEN_TIMEOUT: Duration = Duration::from_secs(2);

/// Interval at which the listening socket is polled.
const LISTEN_POLL_INTERVAL: Duration = Duration::from_millis(5);

#[derive(Debug, Default)]
struct State {
    closing: bool,
    refusing: bool,
    active: usize,
}

/// State shared by the handlers and the owner of a server.
pub(crate) struct Control {
    addr: SocketAddr,
    state: Mutex<State>,
    changed: Condvar,
    http: Mutex<Option<Arc<tiny_http::Server>>>,
}

impl fmt::Debug for Control {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Control")
            .field("addr", &self.addr)
            .finish_non_exhaustive()
    }
}

impl Control {
    /// Sleeps for `span`. Returns false as soon as the server closes.
    pub(crate) fn sleep(&self, span: Duration) -> bool {
        let state = sync::lock(&self.state);
        let (state, _) = self
            .changed
            .wait_timeout_while(state, span, |state| !state.closing)
            .unwrap_or_else(PoisonError::into_inner);
        !state.closing
    }

    /// Whether the server is closing.
    pub(crate) fn is_closing(&self) -> bool {
        sync::lock(&self.state).closing
    }

    /// Closes or reopens the listening socket, and waits up to [`LISTEN_TIMEOUT`] until connections
    /// are refused or accepted.
    pub(crate) fn set_refusing(&self, refusing: bool) {
        sync::lock(&self.state).refusing = refusing;
        self.wake();
        let deadline = Instant::now() + LISTEN_TIMEOUT;
        while TcpStream::connect(self.addr).is_ok() == refusing && Instant::now() < deadline {
            thread::sleep(LISTEN_POLL_INTERVAL);
        }
    }

    fn wake(&self) {
        self.changed.notify_all();
        if let Some(http) = &*sync::lock(&self.http) {
            http.unblock();
        }
    }

    /// Waits until connections are to be accepted. Returns false if the server closes.
    fn wait_open(&self) -> bool {
        let state = sync::lock(&self.state);
        let state = self
            .changed
            .wait_while(state, |state| state.refusing && !state.closing)
            .unwrap_or_else(PoisonError::into_inner);
        !state.closing
    }

    fn is_serving(&self) -> bool {
        let state = sync::lock(&self.state);
        !state.closing && !state.refusing
    }

    /// Registers a request. Returns `None` if [`MAX_ACTIVE`] requests are in progress.
    fn begin_request(self: &Arc<Self>) -> Option<ActiveRequest> {
        let mut state = sync::lock(&self.state);
        if state.active >= MAX_ACTIVE {
            return None;
        }
        state.active += 1;
        Some(ActiveRequest(Arc::clone(self)))
    }

    fn wait_idle(&self) {
        let state = sync::lock(&self.state);
        let waited = self
            .changed
            .wait_timeout_while(state, CLOSE_TIMEOUT, |state| state.active > 0);
        drop(waited);
    }
}

/// Guard of a request in progress; dropping it ends the request.
struct ActiveRequest(Arc<Control>);

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        sync::lock(&self.0.state).active -= 1;
        self.0.changed.notify_all();
    }
}

/// An HTTP server with its threads.
#[derive(Debug)]
pub(crate) struct Server {
    control: Arc<Control>,
    /// Holds the address while nothing listens on it.
    port: port::ReservedPort,
    thread: thread::JoinHandle<()>,
}

impl Server {
    /// Binds `addr` and serves requests with `handle`, which gets the state that `make` builds.
    pub(crate) fn start<S, M>(
        addr: SocketAddr,
        make: M,
        handle: fn(&S, Exchange),
    ) -> eyre::Result<(Arc<S>, Self)>
    where
        S: Send + Sync + 'static,
        M: FnOnce(Arc<Control>) -> S,
    {
        let port = port::ReservedPort::reserve_at(addr)?;
        let listener =
            TcpListener::bind(port.addr()).wrap_err_with(|| format!("cannot bind {addr}"))?;
        let control = Arc::new(Control {
            addr: port.addr(),
            state: Mutex::default(),
            changed: Condvar::new(),
            http: Mutex::default(),
        });
        let shared = Arc::new(make(Arc::clone(&control)));
        let http = listen(listener)?;
        *sync::lock(&control.http) = Some(Arc::clone(&http));
        let handler = {
            let shared = Arc::clone(&shared);
            Arc::new(move |exchange| handle(&shared, exchange))
        };
        let thread = {
            let control = Arc::clone(&control);
            thread::Builder::new()
                .name("standin".to_owned())
                .spawn(move || run(&control, http, &handler))?
        };
        let server = Self {
            control,
            port,
            thread,
        };
        Ok((shared, server))
    }

    /// Address that the server is bound to.
    pub(crate) fn addr(&self) -> SocketAddr {
        self.control.addr
    }

    /// State shared with the handlers.
    pub(crate) fn control(&self) -> &Control {
        &self.control
    }

    /// Stops the server, and waits up to [`CLOSE_TIMEOUT`] for the requests in progress.
    pub(crate) fn close(self) {
        sync::lock(&self.control.state).closing = true;
        self.control.wake();
        let joined = self.thread.join();
        drop(joined);
        self.port.close();
        self.control.wait_idle();
    }
}

fn listen(listener: TcpListener) -> eyre::Result<Arc<tiny_http::Server>> {
    let http = tiny_http::Server::from_listener(listener, None);
    http.map(Arc::new)
        .map_err(|err| eyre::eyre!("cannot start the HTTP server: {err}"))
}

fn run<H>(control: &Arc<Control>, first: Arc<tiny_http::Server>, handler: &Arc<H>)
where
    H: Fn(Exchange) + Send + Sync + 'static,
{
    let mut http = Some(first);
    while let Some(server) = http.take() {
        while control.is_serving() {
            if let Ok(req) = server.recv() {
                dispatch(control, req, handler);
            }
        }
        *sync::lock(&control.http) = None;
        drop(server);
        http = reopen(control);
    }
}

/// Waits until connections are to be accepted and binds the address again. Returns `None` if the
/// server closes.
fn reopen(control: &Control) -> Option<Arc<tiny_http::Server>> {
    while control.wait_open() {
        if let Ok(http) = TcpListener::bind(control.addr)
            .map_err(Into::into)
            .and_then(listen)
        {
            *sync::lock(&control.http) = Some(Arc::clone(&http));
            return Some(http);
        }
        control.sleep(LISTEN_POLL_INTERVAL);
    }
    None
}

fn dispatch<H>(control: &Arc<Control>, req: tiny_http::Request, handler: &Arc<H>)
where
    H: Fn(Exchange) + Send + Sync + 'static,
{
    let Some(active) = control.begin_request() else {
        return exchange::refuse_unread(req);
    };
    let handler = Arc::clone(handler);
    let spawned = thread::Builder::new()
        .name("standin-request".to_owned())
        .spawn(move || {
            if let Some(exchange) = Exchange::read(req) {
                handler(exchange);
            }
            drop(active);
        });
    drop(spawned);
}
