//! What is promised of streams while several software versions serve.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use pistachiochute_standins::platform::stream_caller::{Event, Try};

use crate::versions::callers::{Sent, StreamRecord};
use crate::versions::releases::{EVENTS, ReplicaSpan};

/// Fewest take-ups whose share is compared.
const MIN_TAKE_UPS: usize = 12;

/// Endpoints of a stream's version that must serve for its take-up to count.
const MIN_REPLICAS: usize = 2;

/// Lowest ratio of the share of take-ups that go on to the share of new streams that begin.
const MIN_SHARE_RATIO: f64 = 0.5;

/// What the streams showed.
#[derive(Clone, Debug)]
pub(crate) struct Findings {
    /// Broken promises.
    pub broken: Vec<String>,
    /// Counts for the reader.
    pub summary: String,
}

impl Findings {
    /// The findings with the name of their service.
    pub(crate) fn named(self, name: &str) -> Self {
        let prefixed = |text: String| format!("{name}, {text}");
        Self {
            broken: self.broken.into_iter().map(prefixed).collect(),
            summary: prefixed(self.summary),
        }
    }
}

/// Tries, and those of them that brought an event or the end of the stream.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Share {
    tries: usize,
    served: usize,
}

impl Share {
    fn add(&mut self, tried: &Try) {
        self.tries += 1;
        self.served += usize::from(tried.is_end() || !tried.events.is_empty());
    }

    fn ratio(self) -> f64 {
        self.served as f64 / self.tries.max(1) as f64
    }
}

impl std::fmt::Display for Share {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} of {}", self.served, self.tries)
    }
}

/// Holds the streams against the promises.
pub(crate) fn check(streams: &[StreamRecord], replicas: &[ReplicaSpan]) -> Findings {
    let mut broken: Vec<_> = streams.iter().filter_map(check_version).collect();
    let mixed = broken.len();
    broken.extend(streams.iter().filter_map(check_events));
    broken.extend(streams.iter().filter_map(check_end));
    broken.extend(streams.iter().filter_map(check_bytes));
    let (new, taken_up) = shares(streams, replicas);
    broken.extend(check_shares(new, taken_up));
    let summary = format!(
        "{} versioned streams: {new} began, {taken_up} take-ups went on, {mixed} of two versions",
        streams.len(),
    );
    Findings { broken, summary }
}

/// A stream goes on only at the version that began it.
pub(crate) fn check_version(stream: &StreamRecord) -> Option<String> {
    let versions = stream.caller.versions();
    if versions.len() <= 1 {
        return None;
    }
    let is_in_one_answer = stream
        .caller
        .tries()
        .iter()
        .any(|t| versions_of(t).len() > 1);
    let place = match is_in_one_answer {
        true => "in one answer",
        false => "over its tries",
    };
    let described = describe(stream);
    Some(format!(
        "a stream holds events of {versions:?} {place}: {described}"
    ))
}

/// The events of a stream are in order, none twice and none missing, and each answer is that to its
/// own request.
pub(crate) fn check_events(stream: &StreamRecord) -> Option<String> {
    let is_in_order = stream
        .caller
        .events()
        .zip(0..)
        .all(|(event, id)| event.id == id);
    let is_own = |t: &Try| t.events.iter().all(|event| event.request == t.request);
    let is_right = is_in_order && stream.caller.tries().iter().all(is_own);
    (!is_right).then(|| format!("a stream got wrong events: {}", describe(stream)))
}

/// A stream that looks complete to its caller has its last event.
pub(crate) fn check_end(stream: &StreamRecord) -> Option<String> {
    let has_end = stream.caller.tries().last().is_some_and(Try::is_end);
    let last = stream.caller.events().last().map(|event| event.id);
    (has_end && last != Some(EVENTS - 1)).then(|| {
        format!(
            "a stream ends as complete before its last event: {}",
            describe(stream)
        )
    })
}

/// A stream holds nothing but events.
pub(crate) fn check_bytes(stream: &StreamRecord) -> Option<String> {
    let bytes = stream.foreign.as_ref()?;
    let described = describe(stream);
    Some(format!(
        "a stream holds what is no event: {bytes:?}, after {described}"
    ))
}

/// Take-ups go on nearly as often as new streams begin.
pub(crate) fn check_shares(new: Share, taken_up: Share) -> Option<String> {
    let is_counted = taken_up.tries >= MIN_TAKE_UPS;
    let is_low = taken_up.ratio() < MIN_SHARE_RATIO * new.ratio();
    (is_counted && is_low)
        .then(|| format!("streams go on too seldom: {taken_up} take-ups, while {new} began"))
}

/// Shares of new streams that begin, and of take-ups that go on while enough endpoints of their
/// version serve.
pub(crate) fn shares(streams: &[StreamRecord], replicas: &[ReplicaSpan]) -> (Share, Share) {
    let (mut new, mut taken_up) = (Share::default(), Share::default());
    for stream in streams {
        let mut version: Option<String> = None;
        for (tried, sent) in stream.caller.tries().iter().zip(&stream.sent) {
            match &version {
                None => new.add(tried),
                Some(version) if serving(replicas, version, sent.at) >= MIN_REPLICAS => {
                    taken_up.add(tried);
                }
                Some(_) => {}
            }
            version = version.or_else(|| versions_of(tried).into_iter().next());
        }
    }
    (new, taken_up)
}

/// Number of endpoints of a version that serve at a time.
fn serving(replicas: &[ReplicaSpan], version: &str, at: Instant) -> usize {
    let serves = |span: &&ReplicaSpan| {
        let is_before_end = span.until.is_none_or(|until| at < until);
        span.version == version && span.from <= at && is_before_end
    };
    replicas.iter().filter(serves).count()
}

/// Versions in an answer, each once for each run of its events, in order.
fn versions_of(tried: &Try) -> Vec<String> {
    let mut versions: Vec<_> = tried
        .events
        .iter()
        .filter_map(|e| e.version.clone())
        .collect();
    versions.dedup();
    versions
}

/// Lists the tries of a stream, with what is needed to find them in the logs.
pub(crate) fn describe(stream: &StreamRecord) -> String {
    let tries = stream.caller.tries().iter().zip(&stream.sent);
    let described: Vec<_> = tries.map(describe_try).collect();
    described.join("; ")
}

fn describe_try((tried, sent): (&Try, &Sent)) -> String {
    let parts: Vec<_> = tried
        .events
        .chunk_by(|a, b| a.version == b.version && a.run == b.run)
        .map(describe_part)
        .collect();
    let parts = match parts.is_empty() {
        true => "no event".to_owned(),
        false => parts.join(" then "),
    };
    let end = match tried.is_end() {
        true => ", which looks complete",
        false => "",
    };
    format!(
        "{} at host-{}, from {} for {} ms: status {}, {parts}{end}",
        tried.request,
        sent.host,
        time_of_day(sent.time),
        sent.lasted.as_millis(),
        tried.answer.status,
    )
}

/// Events that one run made. The id of a run names its endpoint and the start of its process.
fn describe_part(events: &[Event]) -> String {
    let (first, last) = (&events[0], &events[events.len() - 1]);
    let version = first.version.as_deref().unwrap_or("an unknown version");
    let run = match &first.run {
        Some(run) => format!(", run {}", run.id),
        None => String::new(),
    };
    format!("events {} to {} of {version}{run}", first.id, last.id)
}

/// Time of day in UTC, as in the logs of the hosts.
fn time_of_day(time: SystemTime) -> String {
    let since_epoch = time.duration_since(UNIX_EPOCH).unwrap_or_default();
    let seconds = since_epoch.as_secs() % (24 * 60 * 60);
    let (hours, minutes) = (seconds / 3_600, seconds / 60 % 60);
    let millis = since_epoch.subsec_millis();
    format!("{hours:02}:{minutes:02}:{:02}.{millis:03}", seconds % 60)
}
