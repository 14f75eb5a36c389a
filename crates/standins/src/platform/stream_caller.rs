//! Caller that takes a stream up again after its connection was cut, at any host.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use crate::platform::caller::{self, Answer, CallerRequest, Version};

/// An event of a stream, as an endpoint wrote it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Id of the event.
    pub id: u64,
    /// Id of the request that the endpoint answered.
    pub request: String,
    /// Software version that made the event, if it bears one.
    pub version: Option<String>,
    /// Run that made the event, if it bears one.
    pub run: Option<Run>,
}

/// A run of a request at an endpoint, as its events name it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// Id of the run.
    pub id: String,
    /// Id of the event with which the run began.
    pub first: u64,
}

/// What an answer holds that is neither an event nor, in an incomplete answer, the start of one. Only
/// success is a stream.
#[must_use]
pub fn bytes_of_no_event(answer: &Answer) -> Option<&str> {
    const STARTS: [&str; 2] = ["id: ", caller::WEIGHTS_LINE];
    if answer.status != 200 {
        return None;
    }
    if parse_events(&answer.body).is_none() {
        return Some(&answer.body);
    }
    let tail = answer.body.rsplit_once("\n\n");
    let tail = tail.map_or(&*answer.body, |(_, tail)| tail);
    let mut starts = STARTS.iter();
    let is_start = starts.any(|start| tail.starts_with(start) || start.starts_with(tail));
    let is_right = tail.is_empty() || (is_start && !answer.is_complete);
    (!is_right).then_some(tail)
}

/// Parses the complete events of a body. Returns `None` if one is not of the stand-in's format.
#[must_use]
pub fn parse_events(body: &str) -> Option<Vec<Event>> {
    let complete = body.rsplit_once("\n\n").map_or("", |(events, _)| events);
    let events = complete.split("\n\n").filter(|event| !event.is_empty());
    events.map(parse_event).collect()
}

/// Whether a number of events has arrived.
fn has_events(events: usize) -> impl Fn(&Answer) -> bool {
    move |answer| answer.body.matches("\n\n").count() >= events
}

fn parse_event(text: &str) -> Option<Event> {
    let (first, rest) = text.split_at(text.find("id: ")?);
    let (id, data) = rest.strip_prefix("id: ")?.split_once("\ndata: piece ")?;
    if first != caller::weights_line(id.parse().ok()?) {
        return None;
    }
    let (piece, rest) = data.split_once(" of ")?;
    let (request, maker) = match rest.split_once(" by ") {
        Some((request, maker)) => (request, Some(maker)),
        None => (rest, None),
    };
    let (version, run) = match maker.and_then(|maker| maker.split_once(" run ")) {
        Some((version, run)) => (Some(version), Some(parse_run(run)?)),
        None => (maker, None),
    };
    let event = Event {
        id: id.parse().ok()?,
        request: request.to_owned(),
        version: version.map(str::to_owned),
        run,
    };
    (piece == id).then_some(event)
}

fn parse_run(text: &str) -> Option<Run> {
    let (id, first) = text.split_once(" from ")?;
    Some(Run {
        id: id.to_owned(),
        first: first.parse().ok()?,
    })
}

/// One request of a stream's caller.
#[derive(Clone, Debug)]
pub struct Try {
    /// Id of the request.
    pub request: String,
    /// Whether the request continues a stream of which the caller has events.
    pub is_take_up: bool,
    /// The part of the answer that arrived.
    pub answer: Answer,
    /// Complete events of the answer.
    pub events: Vec<Event>,
}

impl Try {
    /// Whether the answer looks like the rest of the stream up to its end.
    #[must_use]
    pub const fn is_end(&self) -> bool {
        self.answer.status == 200 && self.answer.is_complete
    }
}

/// A stream that its caller takes up until it is complete. Each try is a request with an id of its
/// own. Once a try has brought an event, later ones name the last event and that first try.
#[derive(Clone, Debug)]
pub struct StreamCaller {
    id: String,
    version: Version,
    path: String,
    key: String,
    tries: Vec<Try>,
}

impl StreamCaller {
    /// Creates the caller of a stream. `id` is the id of its first request.
    #[must_use]
    pub fn new(id: &str, path: &str, key: &str) -> Self {
        Self {
            id: id.to_owned(),
            version: Version::default(),
            path: path.to_owned(),
            key: key.to_owned(),
            tries: Vec::new(),
        }
    }

    /// Speaks another version of HTTP.
    #[must_use]
    pub const fn version(mut self, version: Version) -> Self {
        self.version = version;
        self
    }

    /// Replaces the API key of later tries.
    pub fn set_key(&mut self, key: &str) {
        key.clone_into(&mut self.key);
    }

    /// Request of the next try.
    #[must_use]
    pub fn next_request(&self) -> CallerRequest {
        let id = match self.tries.len() {
            0 => self.id.clone(),
            tries => format!("{}-try-{}", self.id, tries + 1),
        };
        let request = CallerRequest::new(&id, &self.path, &self.key).version(self.version);
        match (self.first_request(), self.events().last()) {
            (Some(first), Some(last)) => request
                .header("Last-Event-Id", &last.id.to_string())
                .header("Resumes", first),
            _ => request,
        }
    }

    /// Sends the next try to a host and reads its answer, or the part of it that arrives.
    pub fn attempt(&mut self, addr: SocketAddr) -> &Try {
        self.attempt_until(addr, |_| false)
    }

    /// Sends the next try to a host, and disconnects once `events` events have arrived.
    pub fn attempt_events(&mut self, addr: SocketAddr, events: usize) -> &Try {
        self.attempt_until(addr, has_events(events))
    }

    fn attempt_until<F>(&mut self, addr: SocketAddr, is_enough: F) -> &Try
    where
        F: Fn(&Answer) -> bool,
    {
        let (request, answer) = self.ask_until(addr, is_enough);
        self.record(&request, answer)
    }

    /// Sends the next try to a host, and disconnects once `events` events have arrived. The try is to
    /// be recorded with [`StreamCaller::record`].
    #[must_use]
    pub fn ask_events(&self, addr: SocketAddr, events: usize) -> (CallerRequest, Answer) {
        self.ask_until(addr, has_events(events))
    }

    fn ask_until<F>(&self, addr: SocketAddr, is_enough: F) -> (CallerRequest, Answer)
    where
        F: Fn(&Answer) -> bool,
    {
        let request = self.next_request();
        let answer = match request.open(addr) {
            Ok(mut stream) => caller::read_until(&mut stream, is_enough),
            Err(_) => Answer::default(),
        };
        (request, answer)
    }

    /// Adds a try that was sent as [`StreamCaller::next_request`].
    ///
    /// # Panics
    ///
    /// Panics if an event of a successful answer is not of the stand-in's format.
    pub fn record(&mut self, request: &CallerRequest, answer: Answer) -> &Try {
        let is_take_up = self.first_request().is_some();
        let events = match answer.status {
            200 => parse_events(&answer.body).expect("events of a stand-in"),
            _ => Vec::new(),
        };
        self.tries.push(Try {
            request: request.id.clone(),
            is_take_up,
            answer,
            events,
        });
        &self.tries[self.tries.len() - 1]
    }

    /// Tries so far.
    #[must_use]
    pub fn tries(&self) -> &[Try] {
        &self.tries
    }

    /// Id of the try that brought the first event.
    #[must_use]
    pub fn first_request(&self) -> Option<&str> {
        let first = self.tries.iter().find(|t| !t.events.is_empty());
        first.map(|t| &*t.request)
    }

    /// Events of all tries, in the order in which they arrived.
    pub fn events(&self) -> impl Iterator<Item = &Event> {
        self.tries.iter().flat_map(|t| &t.events)
    }

    /// Software versions that made the events.
    #[must_use]
    pub fn versions(&self) -> BTreeSet<String> {
        let versions = self.events().filter_map(|event| event.version.clone());
        versions.collect()
    }

    /// Whether the last try brought the end of the stream, and all tries together brought each of
    /// its `events` events once and in order.
    #[must_use]
    pub fn is_complete(&self, events: u64) -> bool {
        let last = self.tries.last();
        let has_end = last.is_some_and(Try::is_end);
        has_end && self.events().map(|event| event.id).eq(0..events)
    }
}
