//! Links between hosts: h2 connections that carry forwarded requests and control messages.
//!
//! One thread runs every link of the host on a single-threaded executor. Traffic threads hand it
//! calls and take replies from bounded channels, so a slow caller holds back its own stream alone.
//! Each connection that is in use and silent is checked by pings with a deadline, since a
//! connection can go silent for good while new ones work. An idle connection is not pinged.

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

/// Path of a forwarded request.
const FORWARD_PATH: &str = "/forward";

/// Path of a control message.
const CONTROL_PATH: &str = "/control";

/// Header that carries the shared secret of the fleet.
const SECRET_HEADER: &str = "x-link-secret";

/// Replies of one call that may wait for its receiver.
pub const REPLY_BUFFER: usize = 32;

/// Receive window of a stream, in bytes.
const STREAM_WINDOW: u32 = 256 * 1024;

/// Receive window of a connection, in bytes.
const CONNECTION_WINDOW: u32 = 4 * 1024 * 1024;

/// Settings of the links.
#[derive(Clone)]
pub struct Config {
    /// Secret that every host of the fleet shares.
    pub secret: Bytes,
    /// Time to make a connection.
    pub connect: Duration,
    /// Silence after which a connection in use is pinged, and time in which the ping must be
    /// answered.
    pub ping: Duration,
    /// Time in which a control message must be answered.
    pub control: Duration,
    /// Time without a reply after which a forwarded request has stalled.
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

/// What a host does with the messages that other hosts send it.
pub trait Handler: Send + Sync + 'static {
    /// Serves a forwarded request; replies go to `tx`, which closes when the sender goes away.
    fn forward(&self, head: forward::Forward, body: Bytes, tx: mpsc::Sender<answer::Frame>);

    /// Answers a control message through `done`, which is dropped if the message is malformed.
    fn control(&self, message: Bytes, done: oneshot::Sender<Bytes>);
}

/// One received item of a call: a reply, or the reason why no more will come.
pub type Received = Result<answer::Frame, CallError>;

/// What is done with the answer to a control message. Runs on the link thread, so it only hands
/// the answer on.
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

/// The links of one host.
#[derive(Debug)]
pub struct Links {
    sender: Sender,
    addr: net::SocketAddr,
    thread: thread::JoinHandle<()>,
}

/// Handle with which other threads make calls.
#[derive(Clone, Debug)]
pub struct Sender {
    tx: mpsc::UnboundedSender<Command>,
}

impl Sender {
    /// Sends an encoded [`forward::Forward`] and its body to a host, and returns the replies.
    #[must_use]
    pub fn forward(
        &self,
        addr: net::SocketAddr,
        head: Bytes,
        body: Bytes,
    ) -> mpsc::Receiver<Received> {
        let (tx, rx) = mpsc::channel(REPLY_BUFFER);
        // A closed link thread drops `tx`, which the receiver sees as the end of the replies.
        let _ = self.tx.send(Command::Forward {
            addr,
            head,
            body,
            tx,
        });
        rx
    }

    /// Sends a control message to a host and gives the answer to `on_answer`.
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
    /// Starts the thread of the links, which serves `listener`.
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

    /// Address on which other hosts are served.
    #[must_use]
    pub fn addr(&self) -> net::SocketAddr {
        self.addr
    }

    /// Handle with which calls are made.
    #[must_use]
    pub fn sender(&self) -> Sender {
        self.sender.clone()
    }

    /// Ends every connection and the thread.
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
