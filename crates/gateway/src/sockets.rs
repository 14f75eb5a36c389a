//! TCP sockets with the options that the gateway needs.

use std::time::Duration;
use std::{io, net};

use socket2::SockRef;
use tokio::net as tokio_net;

/// Established connections that may wait to be accepted.
const ACCEPT_BACKLOG: i32 = 1_024;

/// Time for which bytes sent to an endpoint, a host or the store may stay unacknowledged before the
/// kernel drops the connection.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(2_500);

/// The same for a caller, also while it reads nothing and its buffers are full. A phone may be out of
/// reach for seconds; the deadline of its request ends the work for one that is gone.
const CALLER_UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(15);

/// Who is at the other end of an accepted connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Peer {
    /// A caller, over any network.
    Caller,
    /// Another host, or the platform.
    Host,
}

impl Peer {
    const fn unacknowledged_timeout(self) -> Duration {
        match self {
            Self::Caller => CALLER_UNACKNOWLEDGED_TIMEOUT,
            Self::Host => UNACKNOWLEDGED_TIMEOUT,
        }
    }
}

/// Idle time before the first TCP keepalive probe, and time between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Unanswered keepalive probes after which the kernel drops the connection.
const KEEPALIVE_PROBES: u32 = 2;

/// Binds a listening socket.
///
/// # Errors
///
/// Returns the I/O error of the system.
pub fn listen(address: net::SocketAddr) -> io::Result<net::TcpListener> {
    let domain = socket2::Domain::for_address(address);
    let socket = socket2::Socket::new(domain, socket2::Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(ACCEPT_BACKLOG)?;
    socket.set_nonblocking(true)?;
    Ok(socket.into())
}

/// Opens a connection with keepalive, which detects that the peer is gone without closing it.
///
/// # Errors
///
/// Returns the I/O error of the system, or [`io::ErrorKind::TimedOut`].
pub async fn connect(
    address: net::SocketAddr,
    timeout: Duration,
) -> io::Result<tokio_net::TcpStream> {
    let connecting = tokio_net::TcpStream::connect(address);
    let stream = tokio::time::timeout(timeout, connecting)
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    set_options(&stream, Peer::Host)?;
    Ok(stream)
}

/// Delay after a failed accept: the connection was reset before it was accepted, or the process
/// has no free file descriptors.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(5);

/// Accepts the next connection and sets its options. An error affects only that connection, so the
/// next one is accepted.
pub async fn accept(listener: &tokio_net::TcpListener, peer: Peer) -> tokio_net::TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) if set_options(&stream, peer).is_ok() => return stream,
            Ok(_) => {}
            Err(_) => tokio::time::sleep(ACCEPT_BACKOFF).await,
        }
    }
}

/// Disables Nagle's algorithm and enables keepalive on a new connection.
fn set_options(stream: &tokio_net::TcpStream, peer: Peer) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = socket2::TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(peer.unacknowledged_timeout()))
}

#[cfg(test)]
mod tests;
