//! Sends the catalog to other hosts, some at a time. A catalog of many routes that goes to all hosts of a
//! domain at once fills the link of a small machine for seconds, and whatever else it sends waits behind. One that
//! takes more than a frame goes in parts, with other messages between them.

use std::future;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use eyre::WrapErr as _;
use pistachiochute_core::{catalog, time};
use pistachiochute_messages::catalog_parts::EncodedCatalog;
use pistachiochute_messages::{codec, frames, peer};
use pistachiochute_runtime::{clock, metrics};
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore};

use crate::control::Context;
use crate::control::links::outbox::Features;
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

/// A version of the catalog as it goes to other hosts.
#[derive(Clone, Debug)]
pub(in crate::control) struct CatalogFrame {
    version: catalog::Version,
    /// The bytes, or why there are none.
    encoded: Result<Encoded, codec::Error>,
}

/// An encoded catalog.
#[derive(Clone, Debug)]
enum Encoded {
    /// One frame, which every host reads.
    Frame(Bytes),
    /// More than a frame holds.
    Parts(EncodedCatalog),
}

impl Encoded {
    fn new(content: &catalog::Content) -> Result<Self, codec::Error> {
        let message = peer::Message::Catalog(Box::new(content.clone()));
        match frames::encode_whole(&message) {
            Ok(frame) => Ok(Self::Frame(frame)),
            Err(codec::Error::TooLarge(_)) => EncodedCatalog::new(content).map(Self::Parts),
            Err(e) => Err(e),
        }
    }

    /// The same, if a host with these features reads it.
    fn read_by(self, features: &[peer::Feature]) -> Result<Self, codec::Error> {
        match &self {
            Self::Parts(catalog) if !features.contains(&peer::Feature::CatalogParts) => {
                Err(codec::Error::TooLarge(catalog.total_bytes()))
            }
            Self::Frame(_) | Self::Parts(_) => Ok(self),
        }
    }
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

/// What a link has to do for the catalog.
pub(super) enum Due {
    /// To begin with it, in its turn.
    Begin(Option<OwnedSemaphorePermit>),
    /// To go on with the one that is under way.
    GoOn,
}

/// A catalog that is under way on a link.
struct UnderWay {
    version: catalog::Version,
    encoded: Encoded,
    /// Bytes of its parts that were sent.
    sent_bytes: usize,
    /// Turn of the link, until it is over or the catalog is sent.
    turn: Option<OwnedSemaphorePermit>,
    turn_ends: time::Time,
}

impl UnderWay {
    /// The next frame, or `None` after the last one.
    fn next_frame(&mut self) -> Result<Option<Bytes>, codec::Error> {
        let offset = self.sent_bytes;
        match &self.encoded {
            Encoded::Frame(frame) => {
                self.sent_bytes = frame.len();
                Ok((offset == 0).then(|| frame.clone()))
            }
            Encoded::Parts(catalog) => {
                let Some(part) = catalog.part_at(offset) else {
                    return Ok(None);
                };
                self.sent_bytes += part.bytes.len();
                codec::encode(&peer::Message::CatalogPart(part)).map(Some)
            }
        }
    }

    /// Sends a frame as the peer takes it. Gives the turn back when it is over, though the frame is on its way.
    async fn send(&mut self, tx: &mut h2::SendStream<Bytes>, frame: Bytes) -> eyre::Result<()> {
        let sending = send_in_pieces(tx, frame);
        let mut sending = std::pin::pin!(sending);
        let left = self.turn_ends.since(clock::now());
        match tokio::time::timeout(left, &mut sending).await {
            Ok(result) => result,
            Err(_) => {
                self.turn = None;
                sending.await
            }
        }
    }
}

/// What of the catalog a link has sent and has to send.
pub(super) struct CatalogSender {
    wanted: Rc<Notify>,
    turns: Arc<Semaphore>,
    /// What the other host reads.
    features: Features,
    /// Waits for the turn of this link, if it has to send the catalog.
    waiting: Option<Turn>,
    /// The catalog that is being sent. A newer one waits for its end, so that one of them arrives however quickly
    /// they follow each other.
    under_way: Option<UnderWay>,
    /// Version that was last sent on this link, which delivers it unless it is lost.
    sent: Option<catalog::Version>,
    /// Version that could not be sent to this host, which was said.
    left_out: Option<catalog::Version>,
}

impl CatalogSender {
    pub(super) fn new(wanted: Rc<Notify>, turns: Arc<Semaphore>, features: Features) -> Self {
        Self {
            wanted,
            turns,
            features,
            waiting: None,
            under_way: None,
            sent: None,
            left_out: None,
        }
    }

    /// Waits until the catalog, or its next part, is to be sent now. Keeps its place if it is cancelled.
    pub(super) async fn due(&mut self) -> Due {
        if self.under_way.is_some() {
            return Due::GoOn;
        }
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
        Due::Begin(turn)
    }

    /// Sends the current catalog to a host, unless it was sent before or the host has it, or the next part of the one
    /// that is under way.
    pub(super) async fn send<D, S>(
        &mut self,
        cx: &Context<D, S>,
        (host, tx): (&str, &mut h2::SendStream<Bytes>),
        due: Due,
    ) -> eyre::Result<()> {
        if let Due::Begin(turn) = due {
            self.under_way = self.begin(cx, host, turn);
        }
        let Some(under_way) = &mut self.under_way else {
            return Ok(());
        };
        match under_way.next_frame()? {
            Some(frame) => under_way.send(tx, frame).await,
            None => {
                self.sent = Some(under_way.version);
                self.under_way = None;
                Ok(())
            }
        }
    }

    /// Begins to send the current catalog, if the host lacks it and can read it.
    fn begin<D, S>(
        &mut self,
        cx: &Context<D, S>,
        host: &str,
        turn: Option<OwnedSemaphorePermit>,
    ) -> Option<UnderWay> {
        let frame = cx.catalog_frame()?;
        let held = cx.catalog_held_by(host);
        if held.max(self.sent) >= Some(frame.version) {
            return None;
        }
        let encoded = frame.encoded;
        match encoded.and_then(|encoded| encoded.read_by(&self.features)) {
            Ok(encoded) => Some(UnderWay {
                version: frame.version,
                encoded,
                sent_bytes: 0,
                turn,
                turn_ends: clock::now() + TURN_TIME,
            }),
            Err(e) => {
                self.leave_out(cx, (host, frame.version), &e);
                None
            }
        }
    }

    /// Says once for each version that a host does not get it.
    fn leave_out<D, S>(
        &mut self,
        cx: &Context<D, S>,
        (host, version): (&str, catalog::Version),
        e: &codec::Error,
    ) {
        if self.left_out.replace(version) == Some(version) {
            return;
        }
        cx.metrics.decided(metrics::Decision::LinkMessageDropped);
        cx.events.message_dropped(host, "catalog", e);
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

    /// The current catalog, encoded once for all hosts.
    fn catalog_frame(&self) -> Option<CatalogFrame> {
        let state = self.state.borrow();
        let catalog = state.catalog.get()?;
        let mut known = self.catalog_frame.borrow_mut();
        if let Some(frame) = known.as_ref().filter(|f| f.version == catalog.version()) {
            return Some(frame.clone());
        }
        let frame = CatalogFrame {
            version: catalog.version(),
            encoded: Encoded::new(catalog.content()),
        };
        *known = Some(frame.clone());
        Some(frame)
    }
}
