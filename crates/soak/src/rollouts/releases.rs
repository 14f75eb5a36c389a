//! Endpoints of one software version after the other.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use pistachiochute_standins::platform::endpoint::{Behaviour, Endpoint, Software};
use pistachiochute_standins::platform::records;
use pistachiochute_standins::platform::store::Store;
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use crate::asked::Asker;
use crate::processes::registration::{Registration, Step};
use crate::rollouts::SERVICE;
use crate::schedule::{self, Fault};
use crate::versions::{EVENTS, ReplicaSpan};

/// Endpoints of a version.
const REPLICAS: u64 = 4;

/// Every stream, which takes about 1 s.
const STREAM: Behaviour = Behaviour::Stream {
    events: EVENTS,
    pause: Duration::from_millis(40),
    cut_at: None,
};

/// Time for which the service has one version, in milliseconds.
const ONE_VERSION_MS: std::ops::Range<u64> = 800..3_000;

/// Time for which endpoints of two versions are ready, in milliseconds.
const TWO_VERSIONS_MS: std::ops::Range<u64> = 200..1_500;

/// Time for which endpoints that drain go on serving, in milliseconds.
const DRAIN_MS: std::ops::Range<u64> = 600..2_500;

/// Probability with which a host hears of a release late.
const LATE_PROBABILITY: f64 = 0.25;

/// Time by which such a host hears of it late, in milliseconds.
const LATE_MS: std::ops::Range<u64> = 200..schedule::LONGEST.as_millis() as u64;

/// Probability with which the host that may be cut off is so when a release begins.
const CUT_OFF_PROBABILITY: f64 = 0.9;

/// Time for which it is cut off, in milliseconds.
const CUT_OFF_MS: std::ops::Range<u64> = 1_500..schedule::LONGEST.as_millis() as u64;

/// Time from such a fault to the release.
const HOLD_BACK_LEAD: Duration = Duration::from_millis(60);

/// Interval at which the state of the endpoints is advanced.
const TICK: Duration = Duration::from_millis(10);

/// Distinguishes the releases of a seed from its faults.
const ROLLOUT_SEED: u64 = 0x726f_6c6c;

/// What the next step of a release is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// All endpoints have one version, and those of the next one join.
    Joining,
    /// The earlier endpoints announce that they leave.
    Draining,
    /// The earlier endpoints end.
    Leaving,
}

impl Phase {
    pub(super) const fn next(self) -> Self {
        match self {
            Self::Joining => Self::Draining,
            Self::Draining => Self::Leaving,
            Self::Leaving => Self::Joining,
        }
    }

    /// Time that passes before the step, in milliseconds.
    const fn wait_ms(self) -> std::ops::Range<u64> {
        match self {
            Self::Joining => ONE_VERSION_MS,
            Self::Draining => TWO_VERSIONS_MS,
            Self::Leaving => DRAIN_MS,
        }
    }
}

struct Replica {
    id: String,
    endpoint: Endpoint,
    software: Software,
    registration: Registration,
    is_leaving: bool,
    span: ReplicaSpan,
}

impl Replica {
    fn start(release: u64, number: u64, now: Instant) -> eyre::Result<Self> {
        let id = format!("rollout-{release}-{number}");
        let software = Software::new(
            &format!("release-{release}"),
            release * REPLICAS + number + 1,
        );
        let mut registration = Registration::new(now);
        registration.start(now);
        Ok(Self {
            endpoint: Endpoint::start_software(&id, software.clone(), STREAM)?,
            span: ReplicaSpan {
                version: software.version.clone(),
                from: now,
                until: None,
            },
            id,
            software,
            registration,
            is_leaving: false,
        })
    }

    /// Does what is due to the entry.
    fn register(&mut self, store: &Store, now: Instant, is_store_away: bool) {
        let key = records::entry_key(&self.id);
        match self.registration.advance(now, is_store_away) {
            Some(Step::Write { sequence }) => store.put(&key, &self.entry(sequence)),
            Some(Step::Remove) => store.remove(&key),
            None => {}
        }
    }

    fn entry(&self, sequence: u64) -> serde_json::Value {
        let entry = records::Entry {
            service: SERVICE,
            address: self.endpoint.addr(),
            state: match self.is_leaving {
                true => "draining",
                false => "ready",
            },
            version: &self.software.version,
            started_at_ms: self.software.started_at_ms,
            sequence,
        };
        entry.record()
    }

    fn leave(&mut self, now: Instant) {
        self.is_leaving = true;
        self.span.until = Some(now);
        self.registration.write_now(now);
    }
}

/// What releases are played beside.
pub(super) struct Surroundings {
    pub faulty_hosts: usize,
    pub asker: Asker,
    /// Set while a release is under way.
    pub is_released: Arc<AtomicBool>,
    pub is_over: Arc<AtomicBool>,
}

/// The endpoints and their releases.
pub(super) struct Releases {
    store: Store,
    is_store_away: Arc<AtomicBool>,
    rng: ChaCha8Rng,
    replicas: Vec<Replica>,
    /// Times of service of endpoints that have ended.
    served: Vec<ReplicaSpan>,
    release: u64,
}

impl Releases {
    /// Starts the endpoints of the first version and writes their entries.
    pub(super) fn start(
        store: Store,
        is_store_away: Arc<AtomicBool>,
        seed: u64,
    ) -> eyre::Result<Self> {
        let mut releases = Self {
            store,
            is_store_away,
            rng: ChaCha8Rng::seed_from_u64(seed ^ ROLLOUT_SEED),
            replicas: Vec::new(),
            served: Vec::new(),
            release: 0,
        };
        releases.join()?;
        releases.register();
        Ok(releases)
    }

    /// Plays releases until the soak is over, and closes the endpoints. Returns when they served.
    pub(super) fn play(
        mut self,
        around: Surroundings,
    ) -> thread::JoinHandle<eyre::Result<Vec<ReplicaSpan>>> {
        thread::spawn(move || {
            let mut phase = Phase::Joining;
            let mut next = self.draw_wait(phase);
            while !around.is_over.load(Ordering::Relaxed) {
                // A step waits for the store to accept it.
                if Instant::now() >= next && !self.is_store_away.load(Ordering::Relaxed) {
                    if phase == Phase::Joining {
                        self.hold_back(&around);
                    }
                    self.step(phase)?;
                    phase = phase.next();
                    let has_two_versions = phase != Phase::Joining;
                    around
                        .is_released
                        .store(has_two_versions, Ordering::Relaxed);
                    next = self.draw_wait(phase);
                }
                self.register();
                thread::sleep(TICK);
            }
            Ok(self.close())
        })
    }

    fn draw_wait(&mut self, phase: Phase) -> Instant {
        Instant::now() + Duration::from_millis(self.rng.random_range(phase.wait_ms()))
    }

    /// Lets some hosts hear late of what follows.
    fn hold_back(&mut self, around: &Surroundings) {
        let now = Instant::now();
        for host in 0..around.faulty_hosts {
            let span = Duration::from_millis(self.rng.random_range(LATE_MS));
            if self.rng.random_bool(LATE_PROBABILITY) {
                around.asker.ask(now, Fault::StoreSilent { host, span });
            }
        }
        let span = Duration::from_millis(self.rng.random_range(CUT_OFF_MS));
        if self.rng.random_bool(CUT_OFF_PROBABILITY) {
            around.asker.ask(now, Fault::HostCutOff { span });
        }
        thread::sleep(HOLD_BACK_LEAD);
    }

    pub(super) fn step(&mut self, phase: Phase) -> eyre::Result<()> {
        match phase {
            Phase::Joining => self.join()?,
            Phase::Draining => {
                let now = Instant::now();
                let release = format!("release-{}", self.release);
                let earlier = |replica: &&mut Replica| replica.software.version != release;
                let leaving = self.replicas.iter_mut().filter(earlier);
                leaving.for_each(|replica| replica.leave(now));
            }
            Phase::Leaving => self.end_leaving(),
        }
        Ok(())
    }

    /// Number of software versions of the endpoints.
    #[cfg(test)]
    pub(super) fn versions(&self) -> usize {
        let versions = self
            .replicas
            .iter()
            .map(|replica| &replica.software.version);
        versions.collect::<std::collections::BTreeSet<_>>().len()
    }

    /// Adds the endpoints of the next version.
    fn join(&mut self) -> eyre::Result<()> {
        self.release += 1;
        let now = Instant::now();
        for number in 0..REPLICAS {
            self.replicas
                .push(Replica::start(self.release, number, now)?);
        }
        Ok(())
    }

    fn end_leaving(&mut self) {
        let replicas = std::mem::take(&mut self.replicas);
        let (leaving, staying) = replicas.into_iter().partition(|r: &Replica| r.is_leaving);
        self.replicas = staying;
        for replica in leaving {
            self.store.remove(&records::entry_key(&replica.id));
            self.served.push(replica.span);
            replica.endpoint.close();
        }
    }

    /// Does what is due to the entries.
    pub(super) fn register(&mut self) {
        let is_store_away = self.is_store_away.load(Ordering::Relaxed);
        let now = Instant::now();
        for replica in &mut self.replicas {
            replica.register(&self.store, now, is_store_away);
        }
    }

    pub(super) fn close(mut self) -> Vec<ReplicaSpan> {
        for replica in self.replicas {
            self.served.push(replica.span);
            replica.endpoint.close();
        }
        self.served
    }
}
