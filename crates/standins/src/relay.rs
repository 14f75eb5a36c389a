//! TCP relay that injects network faults between a client and a server.
//!
//! It can partition the two, reset or delay their connections, and blackhole the established
//! connections: their bytes are discarded while both sockets stay open, so that neither end is
//! notified. New connections are not affected by a blackhole. [`Relay::set_new`] says what becomes of
//! these.

use std::io::{Read as _, Write as _};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use eyre::WrapErr as _;

use crate::{port, sync};

/// Interval at which the listening socket is polled.
const ACCEPT_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Time after which a connection that is not answered shows that the queue of a listener is full.
const QUEUE_TIMEOUT: Duration = Duration::from_millis(30);

/// Size of the buffer for one read, in bytes.
const BUFFER_LEN: usize = 16 * 1024;

/// What becomes of new connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NewConnections {
    /// They are accepted.
    Accepted,
    /// They are refused.
    Refused,
    /// Nothing answers them.
    Unanswered,
}

/// A socket that answers no new connection: its queue holds one that is never accepted.
#[derive(Debug)]
struct DeafListener {
    _socket: socket2::Socket,
    _queued: Vec<TcpStream>,
}

impl DeafListener {
    fn bind(addr: SocketAddr) -> std::io::Result<Self> {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.bind(&addr.into())?;
        socket.listen(0)?;
        let mut queued = Vec::new();
        while let Ok(stream) = TcpStream::connect_timeout(&addr, QUEUE_TIMEOUT) {
            queued.push(stream);
        }
        Ok(Self {
            _socket: socket,
            _queued: queued,
        })
    }
}

/// A running relay.
#[derive(Debug)]
pub struct Relay {
    /// Holds the port while the relay is partitioned.
    port: port::ReservedPort,
    shared: Arc<Shared>,
    thread: thread::JoinHandle<()>,
}

#[derive(Debug)]
struct Shared {
    target: SocketAddr,
    closing: AtomicBool,
    /// What becomes of new connections, as the relay is to handle them, and as it does.
    new: Mutex<[NewConnections; 2]>,
    /// Bytes forwarded, in both directions.
    bytes: AtomicU64,
    /// Delay before the bytes of each read are forwarded, in milliseconds.
    delay_ms: AtomicU64,
    connections: Mutex<Vec<Connection>>,
}

/// A relayed connection: its socket to the client and the one to the target.
#[derive(Debug)]
struct Connection {
    sockets: [TcpStream; 2],
    /// Whether bytes are discarded: those to the target, then those from it.
    blackholed: [Arc<AtomicBool>; 2],
    /// Whether at least one direction has ended.
    ended: Arc<AtomicBool>,
}

impl Connection {
    fn close(&self) {
        for socket in &self.sockets {
            // Fails if the peer has already closed the socket.
            let closed = socket.shutdown(Shutdown::Both);
            drop(closed);
        }
    }
}

impl Relay {
    /// Starts a relay to `target` on a free loopback port.
    ///
    /// # Errors
    ///
    /// No address can be bound or a thread cannot be started.
    pub fn start(target: SocketAddr) -> eyre::Result<Self> {
        let port = port::ReservedPort::reserve()?;
        let addr = port.addr();
        let listener = listen(addr).wrap_err("cannot bind the listener of the relay")?;
        let shared = Arc::new(Shared {
            target,
            closing: AtomicBool::new(false),
            new: Mutex::new([NewConnections::Accepted; 2]),
            bytes: AtomicU64::new(0),
            delay_ms: AtomicU64::new(0),
            connections: Mutex::default(),
        });
        let thread = {
            let shared = Arc::clone(&shared);
            thread::Builder::new()
                .name("relay".to_owned())
                .spawn(move || shared.accept(addr, listener))?
        };
        Ok(Self {
            port,
            shared,
            thread,
        })
    }

    /// Address on which clients reach the target through the relay.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.port.addr()
    }

    /// Bytes read in order to be forwarded, in both directions, since the start.
    #[must_use]
    pub fn bytes(&self) -> u64 {
        self.shared.bytes.load(Ordering::Acquire)
    }

    /// Closes all connections and refuses new ones.
    pub fn partition(&self) {
        self.set_new(NewConnections::Refused);
        self.shared.close_connections();
    }

    /// Ends a partition: connections are accepted again.
    pub fn heal(&self) {
        self.set_new(NewConnections::Accepted);
    }

    /// Says what becomes of new connections, and waits until it does. Established ones are not affected.
    pub fn set_new(&self, new: NewConnections) {
        sync::lock(&self.shared.new)[0] = new;
        while sync::lock(&self.shared.new)[1] != new {
            thread::sleep(ACCEPT_POLL_INTERVAL);
        }
    }

    /// Discards all further bytes of the established connections, and keeps them open.
    pub fn blackhole(&self) {
        for connection in sync::lock(&self.shared.connections).iter() {
            for blackholed in &connection.blackholed {
                blackholed.store(true, Ordering::Release);
            }
        }
    }

    /// Discards further bytes from the target on the established connections. Bytes to the target
    /// are still forwarded.
    pub fn blackhole_answers(&self) {
        for connection in sync::lock(&self.shared.connections).iter() {
            connection.blackholed[1].store(true, Ordering::Release);
        }
    }

    /// Closes all connections. New ones are accepted.
    pub fn reset_connections(&self) {
        self.shared.close_connections();
    }

    /// Delays the bytes of each read by `delay` before they are forwarded.
    pub fn delay(&self, delay: std::time::Duration) {
        let millis = delay.as_millis() as u64;
        self.shared.delay_ms.store(millis, Ordering::Relaxed);
    }

    /// Closes all connections and ends the threads.
    pub fn close(self) {
        self.shared.closing.store(true, Ordering::Release);
        let joined = self.thread.join();
        drop(joined);
        self.shared.close_connections();
        self.port.close();
    }
}

/// How a relay listens.
#[derive(Debug)]
enum Listening {
    Open(TcpListener),
    Closed,
    /// Never read: it only holds the port.
    Deaf {
        _listener: DeafListener,
    },
}

impl Listening {
    fn start(new: NewConnections, addr: SocketAddr) -> std::io::Result<Self> {
        Ok(match new {
            NewConnections::Accepted => Self::Open(listen(addr)?),
            NewConnections::Refused => Self::Closed,
            NewConnections::Unanswered => Self::Deaf {
                _listener: DeafListener::bind(addr)?,
            },
        })
    }

    fn accept(&self) -> Option<TcpStream> {
        match self {
            Self::Open(listener) => listener.accept().ok().map(|(socket, _)| socket),
            Self::Closed | Self::Deaf { .. } => None,
        }
    }
}

/// Binds the listener of a relay.
fn listen(addr: SocketAddr) -> std::io::Result<TcpListener> {
    let listener = TcpListener::bind(addr)?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

impl Shared {
    fn accept(self: Arc<Self>, addr: SocketAddr, first: TcpListener) {
        let mut listening = Listening::Open(first);
        while !self.closing.load(Ordering::Acquire) {
            let [wanted, current] = *sync::lock(&self.new);
            if wanted != current {
                // The port is free for the next listener.
                listening = Listening::Closed;
                if let Ok(next) = Listening::start(wanted, addr) {
                    listening = next;
                    sync::lock(&self.new)[1] = wanted;
                }
            }
            match listening.accept() {
                Some(socket) => self.connect(socket),
                None => thread::sleep(ACCEPT_POLL_INTERVAL),
            }
        }
    }

    /// Connects a client to the target. The client is closed if the target refuses.
    fn connect(self: &Arc<Self>, client: TcpStream) {
        let Ok(connection) = self.open_connection(client) else {
            return;
        };
        let mut connections = sync::lock(&self.connections);
        connections.retain(|connection| !connection.ended.load(Ordering::Relaxed));
        connections.push(connection);
    }

    fn open_connection(self: &Arc<Self>, client: TcpStream) -> std::io::Result<Connection> {
        let upstream = TcpStream::connect(self.target)?;
        for socket in [&client, &upstream] {
            socket.set_nonblocking(false)?;
            socket.set_nodelay(true)?;
        }
        let connection = Connection {
            sockets: [client.try_clone()?, upstream.try_clone()?],
            blackholed: Default::default(),
            ended: Arc::default(),
        };
        self.copy(client.try_clone()?, upstream.try_clone()?, &connection, 0)?;
        self.copy(upstream, client, &connection, 1)?;
        Ok(connection)
    }

    /// Forwards one direction on a thread of its own.
    fn copy(
        self: &Arc<Self>,
        mut from: TcpStream,
        mut to: TcpStream,
        connection: &Connection,
        direction: usize,
    ) -> std::io::Result<()> {
        let shared = Arc::clone(self);
        let blackholed = Arc::clone(&connection.blackholed[direction]);
        let ended = Arc::clone(&connection.ended);
        let copying = move || {
            let mut buf = vec![0; BUFFER_LEN];
            while let Ok(len @ 1..) = from.read(&mut buf) {
                if blackholed.load(Ordering::Acquire) {
                    continue;
                }
                let delay = shared.delay_ms.load(Ordering::Relaxed);
                if delay > 0 {
                    thread::sleep(std::time::Duration::from_millis(delay));
                }
                // Counted before the write, so that the count includes all bytes that were
                // received.
                shared.bytes.fetch_add(len as u64, Ordering::Release);
                if to.write_all(&buf[..len]).is_err() {
                    break;
                }
            }
            if !blackholed.load(Ordering::Acquire) {
                // The end of the stream is forwarded only if the direction is not blackholed.
                let shut = to.shutdown(Shutdown::Write);
                drop(shut);
                ended.store(true, Ordering::Relaxed);
            }
        };
        thread::Builder::new()
            .name("relay-copy".to_owned())
            .spawn(copying)?;
        Ok(())
    }

    fn close_connections(&self) {
        for connection in sync::lock(&self.connections).drain(..) {
            connection.close();
        }
    }
}
