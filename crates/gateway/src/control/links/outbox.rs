//! Queue of messages for the host at the other end of a link.

use std::cell::Cell;
use std::rc::Rc;

use pistachiochute_core::revision;
use pistachiochute_messages::peer;
use smallvec::SmallVec;
use tokio::sync::{Notify, mpsc};

/// Queued messages per link.
const CAPACITY: usize = 16;

/// Optional features that a host announced.
pub type Features = SmallVec<[peer::Feature; 2]>;

/// Whether a host with these features is sent a message.
pub(super) fn is_sent(message: &peer::Message, features: &[peer::Feature]) -> bool {
    let is_announced = |feature| features.contains(&feature);
    let can_read = message.feature().is_none_or(is_announced);
    can_read && !message.replaced_by().is_some_and(is_announced)
}

/// A message, and the epoch of the store that its revisions belong to.
#[derive(Clone, Debug)]
pub struct Queued {
    /// The epoch, if one was known when the message was made.
    pub epoch: Option<revision::Epoch>,
    /// The message.
    pub message: peer::Message,
}

/// Sending end of the queue. Takes only messages that the other host can read.
#[derive(Clone, Debug)]
pub struct Outbox {
    tx: mpsc::Sender<Queued>,
    /// The present epoch.
    epoch: Rc<Cell<Option<revision::Epoch>>>,
    features: Features,
    /// Wakes the task of the link when the other host has asked for the catalog.
    catalog_wanted: Rc<Notify>,
}

impl Outbox {
    /// Creates the queue of a link whose peer announced these features.
    #[must_use]
    pub fn new(
        features: Features,
        epoch: Rc<Cell<Option<revision::Epoch>>>,
    ) -> (Self, mpsc::Receiver<Queued>) {
        let (tx, rx) = mpsc::channel(CAPACITY);
        let outbox = Self {
            tx,
            epoch,
            features,
            catalog_wanted: Rc::default(),
        };
        (outbox, rx)
    }

    /// Lets the link send the catalog when its turn comes. What is asked for again before then is sent once.
    pub fn request_catalog(&self) {
        self.catalog_wanted.notify_one();
    }

    /// Wakes when the catalog is to be sent.
    #[must_use]
    pub fn catalog_wanted(&self) -> Rc<Notify> {
        self.catalog_wanted.clone()
    }

    /// Whether the other host is sent a message.
    #[must_use]
    pub fn takes(&self, message: &peer::Message) -> bool {
        is_sent(message, &self.features)
    }

    /// Whether the link is open, as far as this host knows.
    #[must_use]
    pub fn is_open(&self) -> bool {
        !self.tx.is_closed()
    }

    /// Whether the other host announced a feature.
    #[must_use]
    pub fn has_feature(&self, feature: peer::Feature) -> bool {
        self.features.contains(&feature)
    }

    /// Queues a message. Returns false if the other host cannot read it, the link is lost, or the
    /// queue is full.
    pub fn try_send(&self, message: peer::Message) -> bool {
        let epoch = self.epoch.get();
        self.takes(&message) && self.tx.try_send(Queued { epoch, message }).is_ok()
    }
}
