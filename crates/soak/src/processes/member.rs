//! An endpoint, its process and its entry.

use std::io::Write as _;
use std::process::Child;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use eyre::WrapErr as _;
use pistachiochute_standins::platform::records;
use pistachiochute_standins::platform::store::Store;
use pistachiochute_standins::port::ReservedPort;

use crate::processes::SERVICE;
use crate::processes::answers::Point;
use crate::processes::registration::{Registration, Step};
use crate::processes::server::Settings;
use crate::versions::ReplicaSpan;

/// Time for which a process serves after its entry says that it leaves.
const DRAIN: Duration = Duration::from_millis(2_500);

/// What an endpoint does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum State {
    /// The process runs and has not written its entry.
    Starting,
    Serving,
    /// The process ends within an answer, or is killed in the end.
    Ending {
        until: Instant,
    },
    /// The process serves without reaching the store, and is killed in the end.
    CutOff {
        until: Instant,
    },
    /// The entry says that the endpoint leaves, once the store has accepted it.
    Leaving {
        until: Option<Instant>,
    },
    Down {
        until: Instant,
    },
}

impl State {
    /// The state once the process has written its entry.
    fn after_write(self, now: Instant) -> Self {
        match self {
            Self::Starting => Self::Serving,
            Self::Leaving { until: None } => Self::Leaving {
                until: Some(now + DRAIN),
            },
            other => other,
        }
    }
}

/// An endpoint and its process.
pub(super) struct Member {
    pub settings: Settings,
    pub state: State,
    /// `None` while no process runs.
    pub child: Option<Child>,
    pub registration: Registration,
    /// When its processes served, with an entry of their own.
    pub served: Vec<ReplicaSpan>,
    /// Holds the port while no process runs.
    pub port: ReservedPort,
}

impl Member {
    /// Starts a process, which writes its first entry at a time.
    pub(super) fn start_process(
        &mut self,
        version: &str,
        first_write: Instant,
    ) -> eyre::Result<()> {
        version.clone_into(&mut self.settings.version);
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH)?;
        self.settings.born = since_epoch.as_millis() as u64;
        self.child = Some(self.settings.spawn()?);
        self.registration.start(first_write);
        self.state = State::Starting;
        Ok(())
    }

    /// Does what is due to the entry.
    pub(super) fn register(&mut self, store: &Store, now: Instant, is_store_away: bool) {
        let key = records::entry_key(&self.settings.id);
        match self.registration.advance(now, is_store_away) {
            Some(Step::Write { sequence }) => {
                store.put(&key, &self.entry(sequence));
                if self.state == State::Starting {
                    self.begin_span(now);
                }
                self.state = self.state.after_write(now);
            }
            Some(Step::Remove) => store.remove(&key),
            None => {}
        }
    }

    fn entry(&self, sequence: u64) -> serde_json::Value {
        let entry = records::Entry {
            service: SERVICE,
            address: self.settings.address,
            state: match self.state {
                State::Leaving { .. } => "draining",
                _ => "ready",
            },
            version: &self.settings.version,
            started_at_ms: self.settings.born,
            sequence,
        };
        entry.record()
    }

    /// The process serves from now on.
    fn begin_span(&mut self, now: Instant) {
        self.served.push(ReplicaSpan {
            version: self.settings.version.clone(),
            from: now,
            until: None,
        });
    }

    /// The process is about to end.
    pub(super) fn end_span(&mut self) {
        if let Some(span) = self.served.last_mut() {
            span.until.get_or_insert_with(Instant::now);
        }
    }

    /// Whether the process has ended.
    pub(super) fn has_ended(&mut self) -> eyre::Result<bool> {
        let Some(child) = &mut self.child else {
            return Ok(true);
        };
        Ok(child.try_wait()?.is_some())
    }

    /// Lets the process end within the next answer that it sends.
    pub(super) fn end_within_answer(&mut self, point: Point) -> eyre::Result<()> {
        let input = self.child.as_mut().and_then(|child| child.stdin.as_mut());
        let input = input.ok_or_else(|| eyre::eyre!("an endpoint without input"))?;
        writeln!(input, "{point}").wrap_err("input of an endpoint")
    }

    /// Kills the process, if one runs. Its entry stands.
    pub(super) fn kill(&mut self) -> eyre::Result<()> {
        self.registration.end();
        if let Some(mut child) = self.child.take() {
            child.kill()?;
            child.wait()?;
        }
        Ok(())
    }
}
