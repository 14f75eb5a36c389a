//! Ports that stay reserved while no process listens on them.

use std::net::{Ipv4Addr, SocketAddr};

use eyre::WrapErr as _;
use tokio::net::TcpSocket;

/// A port that is reserved until the value is closed.
///
/// The port is held by a socket that is bound and does not listen. A listener that sets
/// `SO_REUSEADDR`, as those of the standard library do, can still bind the port. Neither a bind to
/// a free port nor an outgoing connection is given it, so that a process can be stopped and started
/// again on its port.
#[derive(Debug)]
pub struct ReservedPort {
    socket: TcpSocket,
    addr: SocketAddr,
}

impl ReservedPort {
    /// Reserves a free port.
    ///
    /// # Errors
    ///
    /// No port can be bound.
    pub fn reserve() -> eyre::Result<Self> {
        Self::reserve_at((Ipv4Addr::LOCALHOST, 0).into())
    }

    /// Reserves the port of `addr`, or a free one if it is 0.
    ///
    /// # Errors
    ///
    /// The address cannot be bound, for instance because another socket listens on it.
    pub fn reserve_at(addr: SocketAddr) -> eyre::Result<Self> {
        let socket = match addr {
            SocketAddr::V4(_) => TcpSocket::new_v4(),
            SocketAddr::V6(_) => TcpSocket::new_v6(),
        };
        let socket = socket.wrap_err("cannot open a socket")?;
        socket.set_reuseaddr(true)?;
        socket
            .bind(addr)
            .wrap_err_with(|| format!("cannot reserve {addr}"))?;
        let addr = socket.local_addr()?;
        Ok(Self { socket, addr })
    }

    /// Address with the reserved port.
    #[must_use]
    pub const fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Gives the port back.
    pub fn close(self) {
        drop(self.socket);
    }
}
