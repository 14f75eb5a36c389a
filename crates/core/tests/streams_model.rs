//! Which version began a stream: a model that knows which incarnation answered.

#[path = "streams_support/origins.rs"]
mod origins;
mod streams_support;

use std::sync::Arc;
use std::time::Duration;

use origins::origin;
use pistachiochute_core::directory::{Endpoint, Identity};
use pistachiochute_core::streams::{
    self, Beginning, Connected, IncarnationTag, KnownProcess, MAX_GAP, MAX_REPORT_DELAY, Origin,
    OriginQuery, Origins, StreamKey, StreamOrigin, VersionHistory, VersionTag,
};
use pistachiochute_core::time;
use proptest::prelude::{Strategy, any, proptest};
use proptest::test_runner::{Config, RngSeed, TestCaseError};
use proptest::{collection, option, prop_assert, prop_assert_eq};
use streams_support::{SERVICE, endpoint, tag};

const SEED: u64 = 0x57_2ea5;

/// Longest time until a host learns of a change of an endpoint, unless it has lost the store.
const MAX_LEARNING_MS: u64 = 1_500;
/// Length of the model's run.
const RUN_MS: u64 = 120_000;
const STEP_MS: u64 = 100;
const CONFIRM_MS: u64 = 1_000;
const HEARTBEAT_MS: u64 = 1_000;
/// Time for which a query is repeated: several times the delays of all that shows that an endpoint lives.
const PATIENCE_MS: u64 = 20_000;
/// Shortest life of an incarnation, so that one cannot come and go within [`MAX_GAP`].
const MIN_LIFE_MS: u64 = 7_000;
const VERSIONS: [&str; 3] = ["1", "2", "3"];

/// The host under test and another one.
const HOSTS: usize = 2;
const OWN: usize = 0;

/// What is drawn for one incarnation.
#[derive(Clone, Debug)]
struct DrawnLife {
    version: usize,
    is_version_stated: bool,
    life_ms: u64,
    down_ms: u64,
    learning_ms: [u64; HOSTS],
    heartbeat_delay_ms: u64,
    alive_slack_ms: u64,
}

#[derive(Clone, Debug)]
struct DrawnStream {
    step: u64,
    id: usize,
    host: usize,
    report_delay_ms: Option<u64>,
    query_after_ms: u64,
    span_slack_ms: u64,
}

/// What is drawn for one run.
#[derive(Clone, Debug)]
struct Drawn {
    ids: Vec<Vec<DrawnLife>>,
    streams: Vec<DrawnStream>,
    /// Starts and lengths of the times without the store.
    gaps: Vec<(u64, u64)>,
    host_start_step: u64,
    has_known_starts: bool,
}

fn drawn_life() -> impl Strategy<Value = DrawnLife> {
    let times = (MIN_LIFE_MS..40_000, option::of(1_u64..4_000));
    let learning = [0..MAX_LEARNING_MS, 0..MAX_LEARNING_MS];
    let heartbeat = (0..MAX_LEARNING_MS, 0_u64..1_500);
    let version = (0..VERSIONS.len(), proptest::bool::weighted(0.95));
    (version, times, learning, heartbeat).prop_map(|(version, times, learning_ms, heartbeat)| {
        DrawnLife {
            version: version.0,
            is_version_stated: version.1,
            life_ms: times.0,
            down_ms: times.1.unwrap_or(0),
            learning_ms,
            heartbeat_delay_ms: heartbeat.0,
            alive_slack_ms: heartbeat.1,
        }
    })
}

fn drawn_stream() -> impl Strategy<Value = DrawnStream> {
    let report = option::weighted(0.7, 0..MAX_REPORT_DELAY.as_millis() as u64);
    let place = (0..RUN_MS / STEP_MS, 0_usize..3, 0..HOSTS);
    let query = (0_u64..55_000, 0_u64..4_000);
    (place, report, query).prop_map(|(place, report_delay_ms, query)| DrawnStream {
        step: place.0,
        id: place.1,
        host: place.2,
        report_delay_ms,
        query_after_ms: query.0,
        span_slack_ms: query.1,
    })
}

fn drawn() -> impl Strategy<Value = Drawn> {
    let ids = collection::vec(collection::vec(drawn_life(), 1..8), 3);
    let streams = collection::vec(drawn_stream(), 40);
    let gaps = collection::vec((0..RUN_MS, 0_u64..15_000), 0..3);
    let start = option::weighted(0.3, 0_u64..400);
    let has_known_starts = proptest::bool::weighted(0.9);
    (ids, streams, gaps, start, has_known_starts).prop_map(
        |(ids, streams, gaps, start, has_known_starts)| Drawn {
            ids,
            streams,
            gaps,
            host_start_step: start.unwrap_or(0),
            has_known_starts,
        },
    )
}

/// One incarnation as it really was, and when each host knew it.
#[derive(Debug)]
struct Life {
    entry: Endpoint,
    version: &'static str,
    started_ms: u64,
    ended_ms: u64,
    learned_ms: [u64; HOSTS],
    unlisted_ms: [u64; HOSTS],
    heartbeat_delay_ms: u64,
    alive_slack_ms: u64,
}

impl Life {
    const fn is_listed(&self, host: usize, ms: u64) -> bool {
        self.learned_ms[host] <= ms && ms < self.unlisted_ms[host]
    }
}

/// A stream with the truth about it.
#[derive(Debug)]
struct Stream {
    key: StreamKey,
    began_ms: u64,
    id: usize,
    /// Index of the incarnation that began it.
    life: usize,
    truth: VersionTag,
    /// Incarnation whose entry the host connected by.
    connected_to: Identity,
    record: Option<Origin>,
    recorded_ms: Option<u64>,
    query_ms: u64,
    span: Duration,
}

/// Build of the hosts that record streams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Build {
    /// They record the version in the list.
    Earlier,
    /// They record the connection, too.
    Current,
}

struct Model {
    build: Build,
    ids: Vec<Vec<Life>>,
    streams: Vec<Stream>,
    gaps: Vec<(u64, u64)>,
    host_start_ms: u64,
}

impl Model {
    fn new(drawn: &Drawn, build: Build) -> Self {
        let mut model = Self {
            build,
            ids: Vec::new(),
            streams: Vec::new(),
            gaps: drawn.gaps.clone(),
            host_start_ms: drawn.host_start_step * STEP_MS,
        };
        for (id, lives) in drawn.ids.iter().enumerate() {
            let lives = model.lives(id, lives, drawn.has_known_starts);
            model.ids.push(lives);
        }
        let streams = drawn.streams.iter().enumerate();
        model.streams = streams.filter_map(|(i, s)| model.stream(i, s)).collect();
        model
    }

    fn is_in_gap(&self, ms: u64) -> bool {
        let is_within = |&(start, length): &(u64, u64)| start <= ms && ms < start + length;
        self.gaps.iter().any(is_within)
    }

    /// When a host learns of a change, which is after the gap if it has lost the store.
    fn learned(&self, host: usize, mut ms: u64) -> u64 {
        while host == OWN && self.is_in_gap(ms) {
            ms += 1;
        }
        ms
    }

    fn lives(&self, id: usize, drawn: &[DrawnLife], has_known_starts: bool) -> Vec<Life> {
        let mut lives: Vec<Life> = Vec::new();
        let mut now_ms = 0;
        let mut latest = [0; HOSTS];
        for (i, life) in drawn.iter().enumerate() {
            let learn = |ms: u64, latest: [u64; HOSTS]| {
                [0, 1].map(|h| self.learned(h, ms + life.learning_ms[h]).max(latest[h]))
            };
            let started_ms = now_ms;
            latest = learn(started_ms, latest);
            if let Some(previous) = lives.last_mut() {
                // A restart without a removal replaces the entry.
                let earlier = |h: usize| previous.unlisted_ms[h].min(latest[h]);
                previous.unlisted_ms = [earlier(0), earlier(1)];
            }
            let learned_ms = latest;
            let is_last = i + 1 == drawn.len();
            now_ms = if is_last {
                u64::MAX / 2
            } else {
                started_ms + life.life_ms
            };
            let ended_ms = now_ms;
            let unlisted_ms = if life.down_ms > 0 && !is_last {
                latest = learn(ended_ms, latest);
                now_ms += life.down_ms;
                latest
            } else {
                [u64::MAX; HOSTS]
            };
            let version = VERSIONS[life.version];
            let stated = life.is_version_stated.then_some(version);
            let start = if has_known_starts { started_ms + 1 } else { 0 };
            lives.push(Life {
                entry: endpoint(&id.to_string(), start, stated),
                version,
                started_ms,
                ended_ms,
                learned_ms,
                unlisted_ms,
                heartbeat_delay_ms: life.heartbeat_delay_ms,
                alive_slack_ms: life.alive_slack_ms,
            });
        }
        lives
    }

    /// A stream, if the host knows the endpoint and the endpoint runs.
    fn stream(&self, i: usize, drawn: &DrawnStream) -> Option<Stream> {
        let began_ms = drawn.step * STEP_MS;
        if drawn.host == OWN && began_ms < self.host_start_ms {
            return None;
        }
        let lives = &self.ids[drawn.id];
        let listed = lives.iter().find(|l| l.is_listed(drawn.host, began_ms))?;
        let is_running = |l: &Life| l.started_ms <= began_ms && began_ms < l.ended_ms;
        let life = lives.iter().position(is_running)?;
        // The other host may know a version that this one does not.
        let known = match drawn.host {
            OWN => listed.entry.version.as_ref().map(|_| listed.version),
            _ => Some(listed.version),
        };
        let delay_ms = if drawn.host == OWN {
            Some(0)
        } else {
            drawn.report_delay_ms
        };
        let recorded_ms =
            delay_ms.map(|delay_ms| (began_ms + delay_ms).div_ceil(STEP_MS) * STEP_MS);
        let recorded_ms = recorded_ms.filter(|ms| *ms >= self.host_start_ms && known.is_some());
        let query_ms = (began_ms + drawn.query_after_ms).div_ceil(STEP_MS) * STEP_MS;
        Some(Stream {
            key: StreamKey::of_request(&i.to_le_bytes()),
            began_ms,
            id: drawn.id,
            life,
            truth: tag(lives[life].version),
            connected_to: listed.entry.identity.clone(),
            record: known.map(|version| origin(&drawn.id.to_string(), version)),
            recorded_ms,
            query_ms,
            span: Duration::from_millis(query_ms - began_ms + drawn.span_slack_ms),
        })
    }

    /// Whether the rules assume that the host has learned of the incarnation.
    fn may_ask(&self, stream: &Stream) -> bool {
        let life = &self.ids[stream.id][stream.life];
        let learned_ms = life.learned_ms[OWN].max(self.host_start_ms);
        let was_listed = learned_ms <= stream.query_ms && learned_ms < life.unlisted_ms[OWN];
        let is_recorded = stream.recorded_ms.is_some_and(|ms| ms <= stream.query_ms);
        let is_late =
            stream.query_ms - stream.began_ms > MAX_GAP.as_millis() as u64 + MAX_LEARNING_MS;
        was_listed || (is_late && !is_recorded)
    }

    /// Whether the record is right and no more can be asked of the history: the incarnation wrote its entry
    /// long enough after the stream began.
    fn must_answer(&self, stream: &Stream) -> bool {
        let lives = &self.ids[stream.id];
        let life = &lives[stream.life];
        let Some(recorded_ms) = stream.recorded_ms.filter(|ms| *ms <= stream.query_ms) else {
            return false;
        };
        let listed_ms = life.learned_ms[OWN].max(self.host_start_ms);
        let is_known = life.entry.version.is_some() && listed_ms + 1_100 <= stream.began_ms;
        if !is_known || stream.record.is_none_or(|o| o.version != stream.truth) {
            return false;
        }
        if self.build == Build::Current && stream.connected_to != life.entry.identity {
            return false;
        }
        let margin_ms = 2 * MAX_LEARNING_MS + HEARTBEAT_MS + STEP_MS;
        life.entry.identity.started_at_ms > 0
            && recorded_ms + margin_ms <= stream.query_ms
            && recorded_ms + margin_ms <= life.ended_ms
            && !(recorded_ms..=stream.query_ms).any(|ms| self.is_in_gap(ms))
    }

    /// Writes of which the host learns between the last step and this one.
    fn deliver_writes(&self, history: &mut VersionHistory, now_ms: u64) {
        for life in self.ids.iter().flatten() {
            let first_ms = life.started_ms + life.heartbeat_delay_ms;
            let is_due = now_ms >= first_ms && (now_ms - first_ms) % HEARTBEAT_MS < STEP_MS;
            let wrote_ms = now_ms.saturating_sub(life.heartbeat_delay_ms);
            let wrote_ms =
                wrote_ms - (now_ms.saturating_sub(first_ms) % HEARTBEAT_MS).min(wrote_ms);
            if !is_due || wrote_ms >= life.ended_ms || !life.is_listed(OWN, now_ms) {
                continue;
            }
            let alive_at = time::Time::from_millis(wrote_ms.saturating_sub(life.alive_slack_ms));
            history.record_write(&life.entry, alive_at, time::Time::from_millis(now_ms));
        }
    }

    /// Records a stream as the hosts of a build do.
    fn record(&self, stream: &Stream, origins: &mut Origins, now: time::Time) {
        let Some(origin) = stream.record else {
            return;
        };
        let recorded = StreamOrigin {
            stream: stream.key,
            origin,
        };
        match self.build {
            Build::Earlier => origins.record(recorded, now),
            Build::Current => {
                let beginning = Beginning {
                    stream: recorded,
                    connected: Connected {
                        to: IncarnationTag::of(&stream.connected_to),
                        by: time::Time::from_millis(stream.began_ms),
                    },
                    process: KnownProcess::Claimed,
                };
                origins.record_beginning(&beginning, now);
            }
        }
    }

    /// Runs the host under test and returns its answer to each query that may be asked.
    fn run(&self) -> Vec<(&Stream, Option<VersionTag>)> {
        self.run_with(0)
    }

    /// The same where queries without an answer are repeated for a while.
    fn run_with(&self, patience_ms: u64) -> Vec<(&Stream, Option<VersionTag>)> {
        let start = time::Time::from_millis(self.host_start_ms);
        let mut history = VersionHistory::new(self.host_start_ms == 0, start);
        let mut origins = Origins::new();
        let mut answers = Vec::new();
        let mut waiting: Vec<&Stream> = Vec::new();
        for now_ms in (self.host_start_ms..RUN_MS + 60_000).step_by(STEP_MS as usize) {
            let now = time::Time::from_millis(now_ms);
            let is_in_gap = self.is_in_gap(now_ms);
            let lives = self.ids.iter().flatten();
            let listed = lives.filter(|l| l.is_listed(OWN, now_ms));
            history.observe(listed.map(|l| &l.entry), now);
            if !is_in_gap {
                self.deliver_writes(&mut history, now_ms);
            }
            if !is_in_gap && now_ms % CONFIRM_MS == 0 {
                history.confirm(now);
            }
            for stream in self
                .streams
                .iter()
                .filter(|s| s.recorded_ms == Some(now_ms))
            {
                self.record(stream, &mut origins, now);
            }
            history.tick(now);
            origins.tick(now);
            let is_asked = |s: &&Stream| {
                let is_recorded = s.recorded_ms.is_some_and(|ms| ms <= now_ms);
                let is_claimed = self.build == Build::Current && is_recorded;
                s.query_ms == now_ms && (is_claimed || self.may_ask(s))
            };
            waiting.extend(self.streams.iter().filter(is_asked));
            waiting.retain(|stream| {
                let query = OriginQuery {
                    stream: Some(stream.key),
                    service: Arc::from(SERVICE),
                    span: stream.span,
                };
                let began_by = time::Time::from_millis(stream.query_ms);
                let answer = streams::determine(&origins, &history, &query, began_by, now);
                let is_done = answer.is_some() || now_ms >= stream.query_ms + patience_ms;
                if is_done {
                    answers.push((*stream, answer));
                }
                !is_done
            });
        }
        answers
    }
}

proptest! {
    #![proptest_config(Config {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(SEED),
        cases: 1_000,
        ..Config::default()
    })]

    /// The answer never differs from the version that really began the stream, and there is one
    /// if the record is right and the history shows it.
    #[test]
    fn an_answer_is_the_version_that_began_the_stream(drawn in drawn()) {
        check(&Model::new(&drawn, Build::Earlier))?;
    }

    /// The same for hosts that record connections, whether the host that is asked has learned of the
    /// incarnation that began the stream or not.
    #[test]
    fn an_answer_by_a_connection_is_the_version_that_began_the_stream(drawn in drawn()) {
        check(&Model::new(&drawn, Build::Current))?;
    }

    /// A service with one version throughout gives it, once its endpoints have written their entries.
    #[test]
    fn one_version_throughout_gives_it_once_the_endpoints_have_shown_life(
        drawn in drawn(),
        version in any::<proptest::sample::Index>(),
    ) {
        let mut drawn = drawn;
        drawn.gaps.clear();
        drawn.host_start_step = 0;
        drawn.has_known_starts = true;
        for life in drawn.ids.iter_mut().flatten() {
            life.version = version.index(VERSIONS.len());
            life.is_version_stated = true;
        }
        let model = Model::new(&drawn, Build::Earlier);
        for (stream, answer) in model.run_with(PATIENCE_MS) {
            prop_assert_eq!(answer, Some(stream.truth), "{:?}", stream);
        }
    }
}

/// Checks that no answer differs from the truth, and that none is missing that must be given.
fn check(model: &Model) -> Result<(), TestCaseError> {
    for (stream, answer) in model.run() {
        if let Some(version) = answer {
            prop_assert_eq!(
                version,
                stream.truth,
                "{:?} {:?}",
                stream,
                &model.ids[stream.id]
            );
        }
        let is_missing = answer.is_none() && model.must_answer(stream);
        prop_assert!(!is_missing, "{:?} {:?}", stream, &model.ids[stream.id]);
    }
    Ok(())
}
