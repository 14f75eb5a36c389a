//! What the two threads of a host share.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use arc_swap::ArcSwap;
use crossbeam::queue::SegQueue;
use pistachiochute_core::choice::load;
use pistachiochute_core::membership::load_reports;
use pistachiochute_core::{catalog, directory, time};
use pistachiochute_messages::peer;
use tokio::sync::watch;

/// What the host believes, at one moment.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Grows with each change.
    pub generation: u64,
    /// Catalog in force, or `None` before the first one.
    pub catalog: Option<Arc<catalog::Catalog>>,
    /// Endpoints that new requests may be sent to.
    pub endpoints: Vec<Arc<directory::Endpoint>>,
    /// Endpoints that finish what they have before they leave.
    pub leaving: Vec<Arc<directory::Endpoint>>,
    /// Hosts of the fleet, this one included.
    pub hosts: u32,
}

impl View {
    /// Whether requests can be served.
    #[must_use]
    pub fn can_serve(&self) -> bool {
        self.catalog.is_some() && !self.endpoints.is_empty()
    }
}

/// Steps of a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// The host serves.
    Serving,
    /// The host is not ready and asks callers to leave; it still serves whoever comes.
    Leaving,
    /// Idle connections are closed, and the last requests are finished.
    Closing,
    /// No request is left.
    Stopped,
}

/// State that the threads share.
#[derive(Debug)]
pub struct Shared {
    view: ArcSwap<View>,
    remote_loads: ArcSwap<load_reports::WorkByEndpoint>,
    local_loads: ArcSwap<Vec<load::EndpointLoad>>,
    /// Parts of prompts that endpoints read for this host, for the others.
    pub local_cached_parts: SegQueue<peer::CachedPart>,
    /// Parts of prompts that endpoints read for other hosts.
    pub remote_cached_parts: SegQueue<peer::CachedPart>,
    /// When the catalog was last known to be the newest one, in microseconds of the host's clock.
    catalog_confirmed_micros: AtomicU64,
    phase: watch::Sender<Phase>,
}

impl Default for Shared {
    fn default() -> Self {
        Self {
            view: ArcSwap::default(),
            remote_loads: ArcSwap::default(),
            local_loads: ArcSwap::default(),
            local_cached_parts: SegQueue::new(),
            remote_cached_parts: SegQueue::new(),
            catalog_confirmed_micros: AtomicU64::new(0),
            phase: watch::Sender::new(Phase::Serving),
        }
    }
}

impl Shared {
    /// What the host believes now.
    #[must_use]
    pub fn view(&self) -> arc_swap::Guard<Arc<View>> {
        self.view.load()
    }

    /// Publishes what the host believes.
    pub fn publish(&self, view: View) {
        self.view.store(Arc::new(view));
    }

    /// Work of the other hosts.
    #[must_use]
    pub fn remote_loads(&self) -> arc_swap::Guard<Arc<load_reports::WorkByEndpoint>> {
        self.remote_loads.load()
    }

    /// Publishes the work of the other hosts.
    pub fn publish_remote_loads(&self, loads: load_reports::WorkByEndpoint) {
        self.remote_loads.store(Arc::new(loads));
    }

    /// Work of this host.
    #[must_use]
    pub fn local_loads(&self) -> Arc<Vec<load::EndpointLoad>> {
        self.local_loads.load_full()
    }

    /// Publishes the work of this host.
    pub fn publish_local_loads(&self, loads: Vec<load::EndpointLoad>) {
        self.local_loads.store(Arc::new(loads));
    }

    /// Notes that the catalog was the newest one at a time.
    pub fn confirm_catalog(&self, at: time::Time) {
        self.catalog_confirmed_micros
            .fetch_max(at.as_micros(), Ordering::Relaxed);
    }

    /// Time since the catalog was known to be the newest one.
    #[must_use]
    pub fn catalog_age(&self, now: time::Time) -> Duration {
        let at = time::Time::from_micros(self.catalog_confirmed_micros.load(Ordering::Relaxed));
        now.since(at)
    }

    /// Step of the planned stop.
    #[must_use]
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Goes on to a step of the planned stop.
    pub fn enter_phase(&self, phase: Phase) {
        self.phase.send_replace(phase);
    }

    /// Follows the steps of the planned stop.
    #[must_use]
    pub fn subscribe_phase(&self) -> watch::Receiver<Phase> {
        self.phase.subscribe()
    }
}
