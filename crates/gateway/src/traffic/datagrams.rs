//! Datagrams to and from other hosts.
//!
//! The socket belongs to the traffic thread, so that no decision on a request waits for another thread.
//! A host without the socket works as one whose datagrams are all lost.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::{io, net};

use pistachiochute_messages::datagram::{self, Content, Datagram};
use pistachiochute_runtime::{clock, metrics};
use tokio::net::UdpSocket;

use crate::traffic::{Context, cached_parts, permits, slots};
use crate::{adapter, events, settings, shared};

/// Socket for datagrams.
#[derive(Debug)]
pub(super) struct Datagrams {
    socket: Option<UdpSocket>,
    /// Hash of this host's name, which each datagram names.
    own: u64,
}

impl Datagrams {
    /// Registers the socket with the runtime. A failure is logged, and no datagram is sent then.
    pub(super) fn new(
        host: &settings::Host,
        socket: io::Result<net::UdpSocket>,
        events: &events::Events,
    ) -> Self {
        let register = |socket: net::UdpSocket| {
            socket.set_nonblocking(true)?;
            UdpSocket::from_std(socket)
        };
        let socket = socket.and_then(register);
        if let Err(e) = &socket {
            events.listener_failed("datagrams", e);
        }
        Self {
            socket: socket.ok(),
            own: shared::host_hash(&host.name),
        }
    }

    /// Hash of this host's name.
    pub(super) const fn own(&self) -> u64 {
        self.own
    }

    /// Sends a datagram, if the socket takes it at once. Returns whether it was sent.
    pub(super) fn send(&self, peer: &shared::Peer, content: Content) -> bool {
        let Some(socket) = &self.socket else {
            return false;
        };
        let datagram = Datagram {
            from: self.own,
            content,
        };
        let encoded = datagram::encode(&datagram);
        encoded.is_ok_and(|bytes| socket.try_send_to(&bytes, peer.links).is_ok())
    }
}

/// Another host, by the hash of its name.
pub(super) fn peer<D>(cx: &Context<D>, host: u64) -> Option<Arc<shared::Peer>> {
    let view = cx.shared.view();
    view.peers.iter().find(|peer| peer.hash == host).cloned()
}

/// Sends a datagram to another host. Returns whether it was sent.
pub(super) fn send_to<D>(cx: &Context<D>, host: u64, content: Content) -> bool {
    peer(cx, host).is_some_and(|peer| cx.datagrams.send(&peer, content))
}

/// Receives datagrams until the future is dropped.
pub(super) async fn receive<D>(cx: Rc<Context<D>>)
where
    D: adapter::Dialect,
{
    let Some(socket) = &cx.datagrams.socket else {
        return;
    };
    let mut buf = [0_u8; datagram::MAX_LEN + 1];
    loop {
        // An error is that of an earlier datagram, whose receiver has no such socket.
        let Ok((len, source)) = socket.recv_from(&mut buf).await else {
            tokio::task::yield_now().await;
            continue;
        };
        let Ok(datagram) = datagram::decode(&buf[..len]) else {
            cx.metrics.decided(metrics::Decision::DatagramDropped);
            continue;
        };
        let view = cx.shared.view();
        let is_sender =
            |peer: &&Arc<shared::Peer>| peer.hash == datagram.from && peer.links == source;
        match view.peers.iter().find(is_sender) {
            Some(peer) => handle(&cx, peer, datagram.content),
            None => cx.metrics.decided(metrics::Decision::DatagramDropped),
        }
    }
}

/// Handles what another host says.
fn handle<D>(cx: &Rc<Context<D>>, peer: &shared::Peer, content: Content)
where
    D: adapter::Dialect,
{
    match content {
        Content::Delegate(delegate) => permits::take_delegated(cx, peer, &delegate),
        Content::Delegated { number } => {
            let mut endpoints = cx.endpoints.borrow_mut();
            let permits = endpoints.permits();
            permits.record_delegated(peer.hash, number, clock::now());
        }
        Content::AskPermit { number, endpoint } => permits::lend(cx, peer, number, endpoint),
        Content::Permit { number, valid_ms } => {
            let reply = permits::Reply::Granted(Duration::from_millis(valid_ms.into()));
            cx.permit_questions.answer(peer.hash, number, reply);
        }
        Content::NoPermit { number, retry_ms } => {
            let reply = permits::Reply::Denied(Duration::from_millis(retry_ms.into()));
            cx.permit_questions.answer(peer.hash, number, reply);
        }
        Content::AskSlot { .. }
        | Content::SlotQueued { .. }
        | Content::Slot { .. }
        | Content::NoSlot { .. }
        | Content::ReleaseSlot { .. } => slots::receive(cx, peer.hash, content),
        Content::RecordPart(part) => cached_parts::record(cx, part),
        Content::FindPart { number, part } => cached_parts::answer(cx, peer.hash, number, part),
        Content::PartHolders { number, holders } => {
            cached_parts::take(cx, peer.hash, number, holders);
        }
    }
}
