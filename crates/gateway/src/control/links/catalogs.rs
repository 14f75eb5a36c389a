//! Sends the catalog to other hosts, some at a time. A catalog of many routes that goes to all hosts of a
//! domain at once fills the link of a small machine for seconds, and whatever else it sends waits behind.

use std::future;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use eyre::WrapErr as _;
use pistachiochute_core::catalog;
use pistachiochute_messages::{codec, frames, peer};
use pistachiochute_runtime::metrics;
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore};

use crate::control::Context;
use crate::settings;

/// Bytes of one stream that are on their way at most: the initial window of HTTP/2.
const WINDOW_BYTES: u64 = 65_535;

/// Time that catalogs under way occupy the link of this machine at most.
const QUEUE_TIME: Duration = Duration::from_millis(150);

/// Catalogs under way together, if the speed of the link is not known.
const USUAL_TURNS: usize = 16;

/// Fewest and most catalogs under way together.
const TURNS: std::ops::RangeInclusive<usize> = 2..=64;

/// Time after which a host that reads slowly no longer keeps others waiting.
const TURN_TIME: Duration = Duration::from_secs(1);

/// Encoded message with a version of the catalog.
#[derive(Clone, Debug)]
pub(in crate::control) struct CatalogFrame {
    version: catalog::Version,
    /// The frame, or why there is none.
    bytes: Result<Bytes, codec::Error>,
}

/// Catalogs that may be under way together on a machine.
pub(in crate::control) fn turns(machine: Option<&settings::Machine>) -> usize {
    let mbps = machine.and_then(|machine| machine.link_mbps);
    mbps.map_or(USUAL_TURNS, |mbps| {
        let queue_bytes = u64::from(mbps) * 125 * QUEUE_TIME.as_millis() as u64;
        let turns = (queue_bytes / WINDOW_BYTES) as usize;
        turns.clamp(*TURNS.start(), *TURNS.end())
    })
}

type Turn = Pin<Box<dyn Future<Output = Option<OwnedSemaphorePermit>>>>;

/// What of the catalog a link has sent and has to send.
pub(super) struct CatalogSender {
    wanted: Rc<Notify>,
    turns: Arc<Semaphore>,
    /// Waits for the turn of this link, if it has to send the catalog.
    waiting: Option<Turn>,
    /// Version that was last sent on this link, which delivers it unless it is lost.
    sent: Option<catalog::Version>,
}

impl CatalogSender {
    pub(super) fn new(wanted: Rc<Notify>, turns: Arc<Semaphore>) -> Self {
        Self {
            wanted,
            turns,
            waiting: None,
            sent: None,
        }
    }

    /// Waits until the catalog is to be sent now. Keeps its place if it is cancelled.
    pub(super) async fn turn(&mut self) -> Option<OwnedSemaphorePermit> {
        if self.waiting.is_none() {
            self.wanted.notified().await;
        }
        let turns = &self.turns;
        let waiting = self.waiting.get_or_insert_with(|| {
            let acquired = turns.clone().acquire_owned();
            Box::pin(async { acquired.await.ok() })
        });
        let turn = waiting.await;
        self.waiting = None;
        turn
    }

    /// Sends the current catalog to a host, unless it was sent before or the host has it.
    pub(super) async fn send<D, S>(
        &mut self,
        cx: &Context<D, S>,
        (host, tx): (&str, &mut h2::SendStream<Bytes>),
        turn: Option<OwnedSemaphorePermit>,
    ) -> eyre::Result<()> {
        let Some(frame) = cx.catalog_frame() else {
            return Ok(());
        };
        let held = cx.catalog_held_by(host);
        if held.max(self.sent) >= Some(frame.version) {
            return Ok(());
        }
        let bytes = match frame.bytes {
            Ok(bytes) => bytes,
            Err(e) => {
                // Said once for a version. The host has the catalog from the store, or another one has.
                self.sent = Some(frame.version);
                cx.metrics.decided(metrics::Decision::LinkMessageDropped);
                cx.events.message_dropped(host, "catalog", &e);
                return Ok(());
            }
        };
        let sending = send_in_pieces(tx, bytes);
        let mut sending = std::pin::pin!(sending);
        let in_turn = tokio::time::timeout(TURN_TIME, &mut sending).await;
        drop(turn);
        match in_turn {
            Ok(result) => result?,
            Err(_) => sending.await?,
        }
        self.sent = Some(frame.version);
        Ok(())
    }
}

/// Sends bytes as the peer takes them.
async fn send_in_pieces(tx: &mut h2::SendStream<Bytes>, mut bytes: Bytes) -> eyre::Result<()> {
    while !bytes.is_empty() {
        tx.reserve_capacity(bytes.len());
        let capacity = future::poll_fn(|cx| tx.poll_capacity(cx)).await;
        let Some(capacity) = capacity else {
            eyre::bail!("stream has ended");
        };
        let piece = bytes.split_to(capacity.wrap_err("link")?.min(bytes.len()));
        tx.send_data(piece, false).wrap_err("link")?;
    }
    Ok(())
}

impl<D, S> Context<D, S> {
    /// Version of the catalog that a host last said that it has.
    fn catalog_held_by(&self, host: &str) -> Option<catalog::Version> {
        let state = self.state.borrow();
        state.peers.get(host)?.version.catalog
    }

    /// Message with the current catalog, encoded once for all hosts.
    fn catalog_frame(&self) -> Option<CatalogFrame> {
        let state = self.state.borrow();
        let catalog = state.catalog.get()?;
        let mut known = self.catalog_frame.borrow_mut();
        if let Some(frame) = known.as_ref().filter(|f| f.version == catalog.version()) {
            return Some(frame.clone());
        }
        let message = peer::Message::Catalog(Box::new(catalog.content().clone()));
        let frame = CatalogFrame {
            version: catalog.version(),
            bytes: frames::encode_whole(&message),
        };
        *known = Some(frame.clone());
        Some(frame)
    }
}
