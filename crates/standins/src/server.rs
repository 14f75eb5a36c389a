//! HTTP server loop that all stand-ins share.
//!
//! One thread takes requests from `tiny_http` and hands each to a thread of its own, up to a bound.
//! The listening socket can be closed and opened again on the same address, which makes the
//! platform refuse connections while the stand-in keeps its state.

use std::fmt;
use std::io::{Read as _, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use eyre::WrapErr as _;

use crate::sync;

/// Requests that one server handles at once; those beyond are answered 503 before they run.
const MAX_ACTIVE: usize = 512;

/// Largest body of a request, in bytes.
const MAX_BODY: u64 = 16 << 20;

/// Longest wait of `close` for requests under way.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(5);

/// Longest wait for the listening socket to open or close.
const LISTEN_TIMEOUT: Duration = Duration::from_secs(2);

/// Pause between two looks at the listening socket.
const LISTEN_PAUSE: Duration = Duration::from_millis(5);

/// Header that says whether a refused request ran.
pub const OUTCOME_HEADER: &str = "x-outcome";

/// Value of [`OUTCOME_HEADER`] for a request that was refused before it ran.
pub const NOT_RUN: &str = "not_run";

#[derive(Debug, Default)]
struct State {
    closing: bool,
    refusing: bool,
    active: usize,
}

/// State that the handlers and the owner of a server share.
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
    /// Sleeps for `span`. Returns false at once when the server closes.
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

    /// Closes the listening socket, or opens it again, and waits until that holds.
    pub(crate) fn set_refusing(&self, refusing: bool) {
        sync::lock(&self.state).refusing = refusing;
        self.wake();
        let deadline = Instant::now() + LISTEN_TIMEOUT;
        while TcpStream::connect(self.addr).is_ok() == refusing && Instant::now() < deadline {
            thread::sleep(LISTEN_PAUSE);
        }
    }

    fn wake(&self) {
        self.changed.notify_all();
        if let Some(http) = &*sync::lock(&self.http) {
            http.unblock();
        }
    }

    /// Waits until the socket may be open; returns false when the server closes.
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

    /// Counts a request in, unless the bound is reached.
    fn enter(self: &Arc<Self>) -> Option<Active> {
        let mut state = sync::lock(&self.state);
        if state.active >= MAX_ACTIVE {
            return None;
        }
        state.active += 1;
        Some(Active(Arc::clone(self)))
    }

    fn wait_idle(&self) {
        let state = sync::lock(&self.state);
        let waited = self
            .changed
            .wait_timeout_while(state, CLOSE_TIMEOUT, |state| state.active > 0);
        drop(waited);
    }
}

/// Place of a request that is handled; dropping it counts the request out.
struct Active(Arc<Control>);

impl Drop for Active {
    fn drop(&mut self) {
        sync::lock(&self.0.state).active -= 1;
        self.0.changed.notify_all();
    }
}

/// An HTTP server with its threads.
#[derive(Debug)]
pub(crate) struct Server {
    control: Arc<Control>,
    thread: thread::JoinHandle<()>,
}

impl Server {
    /// Binds `addr` and serves requests with the handler that `make` builds.
    pub(crate) fn start<M, H>(addr: SocketAddr, make: M) -> eyre::Result<Self>
    where
        M: FnOnce(Arc<Control>) -> H,
        H: Fn(Exchange) + Send + Sync + 'static,
    {
        let listener = TcpListener::bind(addr).wrap_err_with(|| format!("cannot bind {addr}"))?;
        let control = Arc::new(Control {
            addr: listener.local_addr()?,
            state: Mutex::default(),
            changed: Condvar::new(),
            http: Mutex::default(),
        });
        let handler = Arc::new(make(Arc::clone(&control)));
        let http = listen(listener)?;
        *sync::lock(&control.http) = Some(Arc::clone(&http));
        let thread = {
            let control = Arc::clone(&control);
            thread::Builder::new()
                .name("standin".to_owned())
                .spawn(move || run(&control, http, &handler))?
        };
        Ok(Self { control, thread })
    }

    /// Address that the server is bound to.
    pub(crate) fn addr(&self) -> SocketAddr {
        self.control.addr
    }

    /// State that the handlers share.
    pub(crate) fn control(&self) -> &Control {
        &self.control
    }

    /// Ends the requests under way and the threads.
    pub(crate) fn close(self) {
        sync::lock(&self.control.state).closing = true;
        self.control.wake();
        let joined = self.thread.join();
        drop(joined);
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

/// Waits until the server may listen again and binds its address; `None` when it closes.
fn reopen(control: &Control) -> Option<Arc<tiny_http::Server>> {
    while control.wait_open() {
        if let Ok(http) = TcpListener::bind(control.addr)
            .map_err(Into::into)
            .and_then(listen)
        {
            *sync::lock(&control.http) = Some(Arc::clone(&http));
            return Some(http);
        }
        control.sleep(LISTEN_PAUSE);
    }
    None
}

fn dispatch<H>(control: &Arc<Control>, req: tiny_http::Request, handler: &Arc<H>)
where
    H: Fn(Exchange) + Send + Sync + 'static,
{
    let Some(active) = control.enter() else {
        let refusal = tiny_http::Response::empty(503).with_header(header(OUTCOME_HEADER, NOT_RUN));
        let sent = req.respond(refusal);
        drop(sent);
        return;
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

fn header(name: &str, value: &str) -> tiny_http::Header {
    tiny_http::Header::from_bytes(name, value).expect("header of a stand-in is ASCII")
}

/// A request whose body has been read and that has not been answered yet.
pub(crate) struct Exchange {
    req: tiny_http::Request,
    body: Vec<u8>,
}

impl Exchange {
    /// Reads the body. Returns `None` if it is too large or was cut short.
    fn read(mut req: tiny_http::Request) -> Option<Self> {
        let expected = req.body_length();
        let mut body = Vec::new();
        let read = req.as_reader().take(MAX_BODY + 1).read_to_end(&mut body);
        let whole = read.is_ok() && expected.is_none_or(|len| len == body.len());
        (whole && body.len() as u64 <= MAX_BODY).then_some(Self { req, body })
    }

    /// Method of the request.
    pub(crate) fn method(&self) -> &str {
        self.req.method().as_str()
    }

    /// Path without the query.
    pub(crate) fn path(&self) -> &str {
        let url = self.req.url();
        url.split_once('?').map_or(url, |(path, _)| path)
    }

    /// Parameter `name` of the query.
    pub(crate) fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.req.url().split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
    }

    /// Header `name`.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.req.headers().iter();
        headers
            .find(|h| h.field.as_str().as_str().eq_ignore_ascii_case(name))
            .map(|h| h.value.as_str())
    }

    /// Parses the body as JSON.
    pub(crate) fn json<T>(&self) -> Result<T, serde_json::Error>
    where
        T: serde::de::DeserializeOwned,
    {
        serde_json::from_slice(&self.body)
    }

    /// Answers with a JSON body.
    pub(crate) fn respond<T>(self, status: u16, value: &T)
    where
        T: serde::Serialize,
    {
        self.respond_with(status, &[], value);
    }

    /// Answers with a JSON body and further headers.
    pub(crate) fn respond_with<T>(self, status: u16, headers: &[(&str, &str)], value: &T)
    where
        T: serde::Serialize,
    {
        let mut response = tiny_http::Response::from_data(encode(value))
            .with_status_code(status)
            .with_header(header("content-type", "application/json"));
        for (name, value) in headers {
            response.add_header(header(name, value));
        }
        // The caller may be gone, which is no fault of the stand-in.
        let sent = self.req.respond(response);
        drop(sent);
    }

    /// Answers with an error body in the form of the OpenAI API.
    pub(crate) fn refuse(self, status: u16, code: &str, message: &str) {
        let value = serde_json::json!({
            "error": { "message": message, "type": "standin_error", "code": code },
        });
        self.respond_with(status, &[(OUTCOME_HEADER, NOT_RUN)], &value);
    }

    /// Sends the head and the first half of a JSON answer, then closes the connection.
    pub(crate) fn respond_cut<T>(self, value: &T)
    where
        T: serde::Serialize,
    {
        let body = encode(value);
        let half = &body[..body.len() / 2];
        let len = body.len();
        let mut w = self.req.into_writer();
        let sent = write!(
            w,
            "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: {len}\r\n\r\n"
        )
        .and_then(|()| w.write_all(half))
        .and_then(|()| w.flush());
        drop(sent);
    }

    /// Closes the connection without an answer.
    pub(crate) fn hang_up(self) {
        drop(self.req.into_writer());
    }

    /// Says nothing while `holds` returns true, then closes the connection.
    pub(crate) fn stall<F>(self, control: &Control, holds: F)
    where
        F: Fn() -> bool,
    {
        while holds() && control.sleep(LISTEN_PAUSE) {}
        self.hang_up();
    }

    /// Sends the head of a chunked answer and returns the writer of its body.
    pub(crate) fn stream(self, content_type: &str) -> std::io::Result<Body> {
        let mut w = self.req.into_writer();
        write!(
            w,
            "HTTP/1.1 200 OK\r\ncontent-type: {content_type}\r\ncache-control: no-store\r\n\
             transfer-encoding: chunked\r\n\r\n"
        )?;
        w.flush()?;
        let sink = Sink {
            inner: w,
            cut: false,
        };
        Ok(Body {
            encoder: chunked_transfer::Encoder::with_flush_after_write(sink),
        })
    }
}

fn encode<T>(value: &T) -> Vec<u8>
where
    T: serde::Serialize,
{
    serde_json::to_vec(value).expect("answer of a stand-in serializes")
}

/// Writer that discards everything once `cut` is set, so that no last chunk is sent.
struct Sink {
    inner: Box<dyn Write + Send>,
    cut: bool,
}

impl Write for Sink {
    fn write(&mut self, buf: &[u8]) -> std::io::Result<usize> {
        if self.cut {
            return Ok(buf.len());
        }
        self.inner.write(buf)
    }

    fn flush(&mut self) -> std::io::Result<()> {
        self.inner.flush()
    }
}

/// Body of a chunked answer. Each write is one chunk that is sent at once.
pub(crate) struct Body {
    encoder: chunked_transfer::Encoder<Sink>,
}

impl Body {
    /// Sends one chunk. An error means that the caller is gone.
    pub(crate) fn send(&mut self, chunk: &[u8]) -> std::io::Result<()> {
        self.encoder.write_all(chunk)?;
        // The encoder hands each chunk on, but does not flush the buffered writer below it.
        self.encoder.get_mut().flush()
    }

    /// Ends the body with its last chunk.
    pub(crate) fn finish(self) {
        drop(self.encoder);
    }

    /// Closes the connection without the last chunk.
    pub(crate) fn cut(mut self) {
        self.encoder.get_mut().cut = true;
        drop(self.encoder);
    }
}
