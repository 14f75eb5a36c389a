//! Links between hosts: HTTP/2 connections that carry forwarded requests and control messages.
//!
//! One thread runs all links of the host on a single-threaded executor. Other threads send it calls
//! and receive replies through bounded channels, so a slow caller delays only its own stream.
//!
//! A connection with open streams that receives nothing is checked by pings with a timeout, because
//! an established connection can stop working while new ones still succeed. An idle connection is
//! not pinged.

mod client;
mod ping;
mod server;

use std::net;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use pistachiochute_core::answer;
use pistachiochute_messages::forward;
use tokio::sync::{mpsc, oneshot};

pub use client::CallError;

/// Request path of a forwarded request.
const FORWARD_PATH: &str = "/forward";

/// Request path of a control message.
const CONTROL_PATH: &str = "/control";

/// Header that carries the shared secret of the fleet.
const SECRET_HEADER: &str = "x-link-secret";

/// Capacity of the channel that buffers the replies of one call.
pub const REPLY_BUFFER: usize = 32;

/// Receive window of a stream, in bytes.
const STREAM_WINDOW: u32 = 256 * 1024;

/// Receive window of a connection, in bytes.
const CONNECTION_WINDOW: u32 = 4 * 1024 * 1024;

/// Configuration of the links.
#[derive(Clone)]
pub struct Config {
    /// Secret that every host of the fleet shares.
    pub secret: Bytes,
    /// Timeout of connecting, including the HTTP/2 handshake.
    pub connect: Duration,
    /// Time without received data after which a connection with open streams is pinged, and timeout
    /// of the ping.
    pub ping: Duration,
    /// Timeout of a control message, from the call to the complete answer.
    pub control: Duration,
    /// Time without received data after which a forwarded request has stalled.
    pub stall: Duration,
    /// Largest body of a forwarded request, in bytes.
    pub max_body_bytes: usize,
}

impl std::fmt::Debug for Config {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Config")
            .field("connect", &self.connect)
            .field("ping", &self.ping)
            .field("stall", &self.stall)
            .finish_non_exhaustive()
    }
}

/// Handles the messages that other hosts send to this one.
pub trait Handler: Send + Sync + 'static {
    /// Serves a forwarded request and sends the replies to `tx`, which is closed when the calling
    /// host resets the stream or its connection is lost.
    fn forward(&self, head: forward::Forward, body: Bytes, tx: mpsc::Sender<answer::Frame>);

    /// Answers a control message through `done`. A malformed message is refused by dropping `done`.
    fn control(&self, message: Bytes, done: oneshot::Sender<Bytes>);
}

/// One item that a call receives: a reply, or the error that ended the call.
pub type Received = Result<answer::Frame, CallError>;

/// Callback for the answer to a control message. It runs on the link thread, so it must not block.
pub type AnswerCallback = Box<dyn FnOnce(Result<Bytes, CallError>) + Send>;

enum Command {
    Forward {
        addr: net::SocketAddr,
        head: Bytes,
        body: Bytes,
        tx: mpsc::Sender<Received>,
    },
    Control {
        addr: net::SocketAddr,
        message: Bytes,
        on_answer: AnswerCallback,
    },
    Close,
}

/// Links of one host to all others.
#[derive(Debug)]
pub struct Links {
    sender: Sender,
    addr: net::SocketAddr,
    thread: thread::JoinHandle<()>,
}

/// Handle for making calls from other threads.
#[derive(Clone, Debug)]
pub struct Sender {
    tx: mpsc::UnboundedSender<Command>,
}

impl Sender {
    /// Sends an encoded [`forward::Forward`] and its body to a host, and returns the channel that
    /// receives the replies.
    #[must_use]
    pub fn forward(
        &self,
        addr: net::SocketAddr,
        head: Bytes,
        body: Bytes,
    ) -> mpsc::Receiver<Received> {
        let (tx, rx) = mpsc::channel(REPLY_BUFFER);
        // If the link thread has ended, `tx` is dropped and the receiver sees the end of the
        // replies.
        let _ = self.tx.send(Command::Forward {
            addr,
            head,
            body,
            tx,
        });
        rx
    }

    /// Sends a control message to a host and calls `on_answer` with the answer.
    pub fn control<F>(&self, addr: net::SocketAddr, message: Bytes, on_answer: F)
    where
        F: FnOnce(Result<Bytes, CallError>) + Send + 'static,
    {
        let on_answer = Box::new(on_answer);
        let _ = self.tx.send(Command::Control {
            addr,
            message,
            on_answer,
        });
    }
}

impl Links {
    /// Starts the link thread, which also serves the connections of `listener`.
    ///
    /// # Errors
    ///
    /// Returns an error if the executor or the listener cannot be set up.
    pub fn start<H>(cfg: Config, listener: net::TcpListener, handler: Arc<H>) -> eyre::Result<Self>
    where
        H: Handler,
    {
        let addr = listener.local_addr()?;
        listener.set_nonblocking(true)?;
        let executor = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let (tx, rx) = mpsc::unbounded_channel();
        let thread = thread::Builder::new()
            .name("link".to_owned())
            .spawn(move || {
                executor.block_on(run(cfg, listener, handler, rx));
            })?;
        Ok(Self {
            sender: Sender { tx },
            addr,
            thread,
        })
    }

    /// Address on which connections of other hosts are accepted.
    #[must_use]
    pub fn addr(&self) -> net::SocketAddr {
        self.addr
    }

    /// Returns a handle for making calls.
    #[must_use]
    pub fn sender(&self) -> Sender {
        self.sender.clone()
    }

    /// Closes every connection and waits for the thread to end.
    pub fn close(self) {
        let _ = self.sender.tx.send(Command::Close);
        let _ = self.thread.join();
    }
}

async fn run<H>(
    cfg: Config,
    listener: net::TcpListener,
    handler: Arc<H>,
    mut rx: mpsc::UnboundedReceiver<Command>,
) where
    H: Handler,
{
    let Ok(listener) = tokio::net::TcpListener::from_std(listener) else {
        return;
    };
    let cfg = Arc::new(cfg);
    tokio::spawn(server::listen(Arc::clone(&cfg), listener, handler));
    let mut connections = client::ConnectionPool::new(cfg);
    while let Some(command) = rx.recv().await {
        match command {
            Command::Forward {
                addr,
                head,
                body,
                tx,
            } => connections.forward(addr, head, body, tx),
            Command::Control {
                addr,
                message,
                on_answer,
            } => connections.control(addr, message, on_answer),
            Command::Close => return,
        }
    }
}
