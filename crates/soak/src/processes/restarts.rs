//! Ends the processes of endpoints and starts them again, under their ids and at their addresses.

use std::fmt;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use pistachiochute_standins::platform::records;
use pistachiochute_standins::platform::store::Store;
use pistachiochute_standins::port::ReservedPort;
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use crate::processes::answers::Point;
use crate::processes::member::{Member, State};
use crate::processes::registration::Registration;
use crate::processes::server::Settings;
use crate::versions::{ReplicaSpan, VERSIONS};

/// Endpoints of each version at the start.
const OF_EACH_VERSION: usize = 6;

/// Among so many endpoints, the reports of one do not name the start of its process.
const WITHOUT_START_OF: usize = 4;

/// Endpoints that go on serving when one of them ends.
const MIN_SERVING: usize = 4;

/// Pause between two ends, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 150..700;

/// Time from the end of a process to the start of the next one, in milliseconds.
const DOWN_MS: std::ops::Range<u64> = 30..1_500;

/// The same time for a process that starts again at once.
const SHORT_DOWN_MS: std::ops::Range<u64> = 30..200;

/// Probability with which a process starts again at once.
const SHORT_DOWN_PROBABILITY: f64 = 0.5;

/// Time from the start of a process to its first entry, in milliseconds. Until then the entry of the
/// process before it stands, if that one did not leave in order and the entry has not lapsed.
const REGISTRATION_MS: std::ops::Range<u64> = 0..300;

/// The same time for a process that does not reach the store at first. With [`DOWN_MS`], it ends both
/// before and after the earlier entry lapses.
const LATE_REGISTRATION_MS: std::ops::Range<u64> = 300..3_400;

/// Probability with which a process does not reach the store at first.
const LATE_PROBABILITY: f64 = 0.6;

/// Time for which an endpoint is cut off from the store, in milliseconds. Its process ends, and the
/// next one starts, within the time.
const CUT_OFF_MS: std::ops::Range<u64> = 2_000..8_000;

/// Time in which a process gets an answer to send at whose place it ends.
const CUT_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Ways in which a process ends, of which some are likelier.
const WAYS: u8 = 7;

/// Interval at which the state of the processes is advanced.
const TICK: Duration = Duration::from_millis(5);

/// Distinguishes the ends of a seed from its faults.
const END_SEED: u64 = 0x656e_6473;

/// How many processes ended, by the way.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Ends {
    pub killed: usize,
    pub within_answer: usize,
    pub in_order: usize,
    /// Killed while the endpoint was cut off from the store.
    pub cut_off: usize,
}

impl fmt::Display for Ends {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            killed,
            within_answer,
            in_order,
            cut_off,
        } = self;
        write!(
            f,
            "{killed} killed, {cut_off} killed while cut off from the store, {within_answer} ended \
             within an answer, {in_order} in order"
        )
    }
}

/// What was played.
pub(crate) struct Played {
    pub ends: Ends,
    /// When processes served, with an entry of their own.
    pub served: Vec<ReplicaSpan>,
    /// Ids of the requests with answers that a living endpoint ended falsely.
    pub falsely_whole: Vec<String>,
}

/// Endpoints, and the processes that are ended and started again.
pub(crate) struct Restarts {
    store: Store,
    is_store_away: Arc<AtomicBool>,
    rng: ChaCha8Rng,
    members: Vec<Member>,
    ends: Ends,
    falsely_whole: PathBuf,
}

impl Restarts {
    /// Starts the endpoints and writes their entries.
    pub(crate) fn start(
        store: Store,
        is_store_away: Arc<AtomicBool>,
        seed: u64,
        dir: &Path,
    ) -> eyre::Result<Self> {
        let mut restarts = Self {
            store,
            is_store_away,
            rng: ChaCha8Rng::seed_from_u64(seed ^ END_SEED),
            members: Vec::new(),
            ends: Ends::default(),
            falsely_whole: dir.join("falsely-whole"),
        };
        for i in 0..OF_EACH_VERSION * VERSIONS.len() {
            restarts.add(i)?;
        }
        Ok(restarts)
    }

    /// Adds an endpoint, whose number gives its version and its kind.
    fn add(&mut self, number: usize) -> eyre::Result<()> {
        let version = VERSIONS[number % VERSIONS.len()];
        let port = ReservedPort::reserve()?;
        let now = Instant::now();
        let mut member = Member {
            settings: Settings {
                id: format!("process-{number}"),
                address: port.addr(),
                version: String::new(),
                born: 0,
                names_start: number % WITHOUT_START_OF != WITHOUT_START_OF - 1,
                falsely_whole: self.falsely_whole.clone(),
            },
            state: State::Starting,
            child: None,
            registration: Registration::new(now),
            served: Vec::new(),
            port,
        };
        member.start_process(version, now)?;
        member.register(&self.store, now, false);
        self.members.push(member);
        Ok(())
    }

    /// Plays ends and starts until the soak is over, and ends the processes.
    pub(crate) fn play(
        mut self,
        is_over: Arc<AtomicBool>,
    ) -> thread::JoinHandle<eyre::Result<Played>> {
        thread::spawn(move || {
            let mut next = Instant::now();
            while !is_over.load(Ordering::Relaxed) {
                for i in 0..self.members.len() {
                    self.advance(i)?;
                }
                if Instant::now() >= next {
                    self.end_one()?;
                    next += Duration::from_millis(self.rng.random_range(PAUSE_MS));
                }
                thread::sleep(TICK);
            }
            self.close()
        })
    }

    fn draw_millis(&mut self, range: std::ops::Range<u64>) -> Instant {
        Instant::now() + Duration::from_millis(self.rng.random_range(range))
    }

    /// Draws a process and how it ends.
    fn end_one(&mut self) -> eyre::Result<()> {
        let is_serving = |i: &usize| self.members[*i].state == State::Serving;
        let serving: Vec<_> = (0..self.members.len()).filter(is_serving).collect();
        let draw = self.rng.random_range(0..serving.len().max(1));
        let way = self.rng.random_range(0..WAYS);
        let cut_ms = self.rng.random_range(CUT_OFF_MS);
        let killed_ms = self.rng.random_range(0..cut_ms / 2);
        let point = Point::ALL[self.rng.random_range(0..Point::ALL.len())];
        if serving.len() <= MIN_SERVING {
            return Ok(());
        }
        let member = &mut self.members[serving[draw]];
        member.end_span();
        match way {
            0 | 1 => {
                self.ends.killed += 1;
                member.kill()?;
                self.go_down(serving[draw])?;
            }
            2..=4 => {
                self.ends.within_answer += 1;
                member.end_within_answer(point)?;
                let until = Instant::now() + CUT_TIMEOUT;
                member.state = State::Ending { until };
            }
            5 => {
                self.ends.cut_off += 1;
                let now = Instant::now();
                let until = now + Duration::from_millis(killed_ms);
                member.registration.cut(now + Duration::from_millis(cut_ms));
                member.state = State::CutOff { until };
            }
            _ => {
                self.ends.in_order += 1;
                member.state = State::Leaving { until: None };
                member.registration.write_now(Instant::now());
            }
        }
        Ok(())
    }

    /// Ends what is left of a process, and sets when the next one starts.
    fn go_down(&mut self, i: usize) -> eyre::Result<()> {
        self.members[i].kill()?;
        let down_ms = match self.rng.random_bool(SHORT_DOWN_PROBABILITY) {
            true => SHORT_DOWN_MS,
            false => DOWN_MS,
        };
        let until = self.draw_millis(down_ms);
        self.members[i].state = State::Down { until };
        Ok(())
    }

    /// Ends and starts the process of an endpoint whose time has come.
    fn advance(&mut self, i: usize) -> eyre::Result<()> {
        let now = Instant::now();
        let is_store_away = self.is_store_away.load(Ordering::Relaxed);
        let member = &mut self.members[i];
        let has_ended = member.has_ended()?;
        if has_ended {
            member.registration.end();
        }
        member.register(&self.store, now, is_store_away);
        match member.state {
            State::Serving | State::CutOff { .. } if has_ended => {
                eyre::bail!("{} ended by itself", member.settings.id);
            }
            State::Ending { until } if until <= now || has_ended => self.go_down(i)?,
            State::CutOff { until } if until <= now => self.go_down(i)?,
            State::Leaving { until: Some(until) } if until <= now && !is_store_away => {
                let key = records::entry_key(&member.settings.id);
                self.store.remove(&key);
                member.registration.leave();
                self.go_down(i)?;
            }
            State::Down { until } if until <= now => {
                let version = VERSIONS[self.rng.random_range(0..VERSIONS.len())];
                let registration_ms = match self.rng.random_bool(LATE_PROBABILITY) {
                    true => LATE_REGISTRATION_MS,
                    false => REGISTRATION_MS,
                };
                let first_write = self.draw_millis(registration_ms);
                self.members[i].start_process(version, first_write)?;
            }
            _ => {}
        }
        Ok(())
    }

    fn close(self) -> eyre::Result<Played> {
        let mut served = Vec::new();
        for mut member in self.members {
            member.kill()?;
            member.port.close();
            served.extend(member.served);
        }
        let text = std::fs::read_to_string(&self.falsely_whole).unwrap_or_default();
        Ok(Played {
            ends: self.ends,
            served,
            falsely_whole: text.lines().map(str::to_owned).collect(),
        })
    }
}
