//! Stand-in for an endpoint that uses the platform's protocol.

mod event_source;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt as _, StreamBody};
use hyper::body::Incoming;
use hyper::{HeaderMap, Request, Response, StatusCode};
use tokio::sync::watch;

use crate::platform::endpoint::event_source::Receiver;
use crate::platform::{caller, http, records};

/// How an endpoint handles a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behaviour {
    /// It runs the request and answers with a complete body.
    Answer {
        /// HTTP status.
        status: u16,
    },
    /// It answers 503 and states that it did not run the request.
    Refuse,
    /// It does the same for requests that are not meant for it, and for those of a host's own.
    RefuseAll,
    /// It runs the request and closes the connection without an answer.
    CloseWithoutAnswer,
    /// It runs the request and never answers.
    Hang,
    /// It runs the request and answers with the id of another request.
    WrongRequestId,
    /// It runs the request and answers without a seal.
    Unsealed,
    /// It runs the request and answers with a stream of events.
    Stream {
        /// Number of events in the complete stream.
        events: u64,
        /// Pause before each event, unless the request asks for another one.
        pause: Duration,
        /// Event half-way through which the connection is cut, if any.
        cut_at: Option<u64>,
    },
}

/// A request that an endpoint ran.
#[derive(Clone, Debug)]
pub struct Run {
    /// Id of the request.
    pub id: String,
    /// Path and query.
    pub target: String,
    /// Headers as received.
    pub headers: HeaderMap,
    /// Software version that ran it, if the endpoint has one.
    pub version: Option<String>,
    /// Body of the request.
    pub body: Bytes,
    /// Time at which the run began.
    pub started_at: Instant,
}

/// A request that an endpoint refused.
#[derive(Clone, Debug)]
pub struct Refusal {
    /// Id of the request.
    pub id: String,
    /// Seconds that the answer named, after which the endpoint wants requests again, if it named any.
    pub retry_after: Option<String>,
    /// When the request was refused.
    pub at: Instant,
}

/// A part of prompts that ends the process of an endpoint which begins to answer on it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashingPart {
    /// Id of the part. The last part of a prompt has no effect.
    pub id: String,
    /// Time from the head of the answer to the crash.
    pub after: Duration,
    /// Time until the process is back, under the same id and at the same address.
    pub down_for: Duration,
}

impl CrashingPart {
    /// Whether a prompt has the part where it is shared.
    fn is_in(&self, prompt: &str) -> bool {
        let ids = prompt.split(',').filter_map(|part| part.split_once(':'));
        let mut shared: Vec<_> = ids.map(|(id, _)| id.trim()).collect();
        shared.pop();
        shared.contains(&&*self.id)
    }
}

/// A request that ends the process of an endpoint which runs it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashingCall {
    /// Path of the request.
    pub path: String,
    /// Time from the arrival of the request to the crash.
    pub after: Duration,
    /// Time until the process is back, under the same id and at the same address.
    pub down_for: Duration,
}

/// Software of an endpoint's process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Software {
    /// Version, which marks the events of the endpoint's streams.
    pub version: String,
    /// Start of the process, in milliseconds since the Unix epoch.
    pub started_at_ms: u64,
}

impl Software {
    /// Software of a version whose process started at a time.
    #[must_use]
    pub fn new(version: &str, started_at_ms: u64) -> Self {
        Self {
            version: version.to_owned(),
            started_at_ms,
        }
    }
}

/// Which process answers at an address.
#[derive(Clone, Debug)]
struct Incarnation {
    id: String,
    /// `None` if the events of the endpoint bear no version.
    software: Option<Software>,
}

impl Incarnation {
    /// An event of a stream.
    fn event(&self, request: &str, id: u64) -> String {
        match &self.software {
            Some(software) => caller::event_of_version(request, id, &software.version),
            None => caller::event(request, id),
        }
    }
}

#[derive(Debug)]
struct Handler {
    incarnation: Mutex<Arc<Incarnation>>,
    behaviour: Mutex<Behaviour>,
    crashing_parts: Mutex<Vec<CrashingPart>>,
    crashing_call: Mutex<Option<CrashingCall>>,
    crashes: http::CrashSwitch,
    /// Whether the endpoint answers requests for its report.
    is_reporting: Mutex<bool>,
    /// Number of requests for its report.
    report_requests: Mutex<u64>,
    /// Value of the header in which the endpoint names its limit, if it does.
    limit: Mutex<Option<String>>,
    /// Value of the header in which the endpoint says that it leaves, if it does.
    leave_notice: Mutex<Option<String>>,
    /// Value of the header in which the endpoint says how many requests it can turn away in a second, if
    /// it does.
    brittle: Mutex<Option<String>>,
    /// Value of the header in which the endpoint names the seconds after which it wants requests
    /// again, if it does.
    retry_after: Mutex<Option<String>>,
    /// When requests came, run or not.
    arrivals: Mutex<Vec<Instant>>,
    /// When the endpoint may send again.
    silent_until: Mutex<Instant>,
    runs: Mutex<Vec<Run>>,
    refusals: Mutex<Vec<Refusal>>,
    /// Number of streams and hanging requests whose connection closed before their end.
    cancelled: watch::Sender<u64>,
}

/// An endpoint.
#[derive(Debug)]
pub struct Endpoint {
    server: http::Server,
    handler: Arc<Handler>,
    incarnation: Arc<Incarnation>,
}

impl Endpoint {
    /// Starts an endpoint whose events bear no version.
    ///
    /// # Errors
    ///
    /// No address can be bound or the thread cannot be started.
    pub fn start(id: &str, behaviour: Behaviour) -> eyre::Result<Self> {
        Self::start_incarnation(id, None, behaviour)
    }

    /// Starts an endpoint whose events bear its software version.
    ///
    /// # Errors
    ///
    /// No address can be bound or the thread cannot be started.
    pub fn start_software(
        id: &str,
        software: Software,
        behaviour: Behaviour,
    ) -> eyre::Result<Self> {
        Self::start_incarnation(id, Some(software), behaviour)
    }

    fn start_incarnation(
        id: &str,
        software: Option<Software>,
        behaviour: Behaviour,
    ) -> eyre::Result<Self> {
        let incarnation = Arc::new(Incarnation {
            id: id.to_owned(),
            software,
        });
        let crashes = http::CrashSwitch::new();
        let handler = Arc::new(Handler {
            incarnation: Mutex::new(incarnation.clone()),
            behaviour: Mutex::new(behaviour),
            crashing_parts: Mutex::default(),
            crashing_call: Mutex::default(),
            crashes: crashes.clone(),
            is_reporting: Mutex::new(true),
            report_requests: Mutex::default(),
            limit: Mutex::default(),
            leave_notice: Mutex::default(),
            brittle: Mutex::default(),
            retry_after: Mutex::default(),
            arrivals: Mutex::default(),
            silent_until: Mutex::new(Instant::now()),
            runs: Mutex::default(),
            refusals: Mutex::default(),
            cancelled: watch::Sender::new(0),
        });
        let server = http::Server::start_with_switch(handler.clone(), crashes)?;
        Ok(Self {
            server,
            handler,
            incarnation,
        })
    }

    /// Address that the endpoint is bound to.
    #[must_use]
    pub const fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Id of the endpoint.
    #[must_use]
    pub fn id(&self) -> &str {
        &self.incarnation.id
    }

    /// Software of the endpoint, if its events bear its version.
    #[must_use]
    pub fn software(&self) -> Option<&Software> {
        self.incarnation.software.as_ref()
    }

    /// Ends the process with its connections and starts another at the same address: under the same
    /// id, or under that of another endpoint. What ran before stays in [`Endpoint::runs`].
    pub fn restart(&mut self, id: &str, software: Software) {
        self.incarnation = Arc::new(Incarnation {
            id: id.to_owned(),
            software: Some(software),
        });
        *lock(&self.handler.incarnation) = self.incarnation.clone();
        self.server.cut_connections();
    }

    /// Cuts the open connections. Later ones are not affected.
    pub fn cut_connections(&self) {
        self.server.cut_connections();
    }

    /// Changes how new requests are handled.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        *lock(&self.handler.behaviour) = behaviour;
    }

    /// Sets the parts of prompts that crash the endpoint.
    pub fn set_crashing_parts(&self, parts: Vec<CrashingPart>) {
        *lock(&self.handler.crashing_parts) = parts;
    }

    /// Sets the request that crashes the endpoint, or none.
    pub fn set_crashing_call(&self, call: Option<CrashingCall>) {
        *lock(&self.handler.crashing_call) = call;
    }

    /// Sets whether the endpoint answers requests for its report. It has no such path otherwise.
    pub fn set_reporting(&self, is_reporting: bool) {
        *lock(&self.handler.is_reporting) = is_reporting;
    }

    /// Number of requests for its report.
    #[must_use]
    pub fn report_requests(&self) -> u64 {
        *lock(&self.handler.report_requests)
    }

    /// Names a limit in all later answers, or none.
    pub fn set_limit(&self, limit: Option<&str>) {
        *lock(&self.handler.limit) = limit.map(str::to_owned);
    }

    /// Says in all later answers that it leaves, with this value, or no longer.
    pub fn set_leave_notice(&self, notice: Option<&str>) {
        *lock(&self.handler.leave_notice) = notice.map(str::to_owned);
    }

    /// Says in all later answers how many requests it can turn away in a second, or no longer.
    pub fn set_brittle(&self, requests: Option<&str>) {
        *lock(&self.handler.brittle) = requests.map(str::to_owned);
    }

    /// Names in all later answers, whatever their status, the seconds after which it wants requests
    /// again, or names none.
    pub fn set_retry_after(&self, seconds: Option<&str>) {
        *lock(&self.handler.retry_after) = seconds.map(str::to_owned);
    }

    /// Times at which requests came, run or not.
    #[must_use]
    pub fn arrivals(&self) -> Vec<Instant> {
        lock(&self.handler.arrivals).clone()
    }

    /// Crashes the endpoint, whatever it is running.
    pub fn crash(&self, down_for: Duration) {
        self.handler.crashes.crash(down_for);
    }

    /// Number of crashes so far.
    #[must_use]
    pub fn crashes(&self) -> u64 {
        self.server.crashes()
    }

    /// Sends nothing for a while. Requests are still run; answers that become due are sent after it,
    /// and streams under way catch up.
    pub fn fall_silent(&self, span: Duration) {
        *lock(&self.handler.silent_until) = Instant::now() + span;
    }

    /// Requests that the endpoint ran.
    #[must_use]
    pub fn runs(&self) -> Vec<Run> {
        lock(&self.handler.runs).clone()
    }

    /// Requests that the endpoint refused.
    #[must_use]
    pub fn refusals(&self) -> Vec<Refusal> {
        lock(&self.handler.refusals).clone()
    }

    /// Number of requests whose connection closed while they ran.
    #[must_use]
    pub fn cancelled(&self) -> u64 {
        *self.handler.cancelled.borrow()
    }

    /// Closes the endpoint and its connections, and ends its thread.
    pub fn close(self) {
        self.server.close();
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Counts a request as cancelled if it is dropped before it is done.
struct CancellationGuard {
    handler: Arc<Handler>,
    is_done: bool,
}

impl Drop for CancellationGuard {
    fn drop(&mut self) {
        if !self.is_done {
            self.handler.cancelled.send_modify(|n| *n += 1);
        }
    }
}

impl Handler {
    /// A stream that ends with the process before its first event.
    fn crash_while_answering(
        &self,
        incarnation: &Incarnation,
        id: &str,
        part: &CrashingPart,
    ) -> Response<http::Body> {
        let (crashes, part) = (self.crashes.clone(), part.clone());
        let (tx, rx) = tokio::sync::mpsc::channel(1);
        tokio::spawn(async move {
            tokio::time::sleep(part.after).await;
            crashes.crash(part.down_for);
            // The crash closes the connection, which drops the receiver.
            tx.closed().await;
        });
        incarnation
            .stream_head(id, 0)
            .map(|_| StreamBody::new(Receiver(rx)).boxed())
    }

    /// Part of a prompt that crashes the endpoint, if it has one.
    fn crashing_part_of(&self, prompt: &str) -> Option<CrashingPart> {
        let parts = lock(&self.crashing_parts);
        parts.iter().find(|part| part.is_in(prompt)).cloned()
    }

    async fn wait_while_silent(&self) {
        let until = *lock(&self.silent_until);
        tokio::time::sleep_until(until.into()).await;
    }
}

impl http::Handler for Handler {
    async fn handle(self: Arc<Self>, req: Request<Incoming>) -> Option<Response<http::Body>> {
        if req.uri().path() == records::REPORT_PATH {
            return Some(self.report().await);
        }
        lock(&self.arrivals).push(Instant::now());
        let id = req.headers().get("x-request-id").cloned();
        let id = id.and_then(|id| id.to_str().ok().map(str::to_owned));
        let id = id.unwrap_or_default();
        let mut reply = self.clone().answer(req).await?;
        if let Some(limit) = &*lock(&self.limit) {
            reply.headers_mut().insert("server-limit", value(limit));
        }
        if let Some(notice) = &*lock(&self.leave_notice) {
            reply.headers_mut().insert("server-leaving", value(notice));
        }
        if let Some(requests) = &*lock(&self.brittle) {
            reply
                .headers_mut()
                .insert("server-brittle", value(requests));
        }
        let retry_after = lock(&self.retry_after).clone();
        if let Some(seconds) = &retry_after {
            reply.headers_mut().insert("retry-after", value(seconds));
        }
        if reply.headers().contains_key("x-not-executed") {
            lock(&self.refusals).push(Refusal {
                id,
                retry_after,
                at: Instant::now(),
            });
        }
        Some(reply)
    }
}

impl Handler {
    /// What the endpoint says of itself.
    async fn report(&self) -> Response<http::Body> {
        *lock(&self.report_requests) += 1;
        let is_reporting = *lock(&self.is_reporting);
        let incarnation = lock(&self.incarnation).clone();
        self.wait_while_silent().await;
        match is_reporting {
            true => http::answer(StatusCode::OK, incarnation.report().to_string()),
            false => http::answer(StatusCode::NOT_FOUND, ""),
        }
    }

    async fn answer(self: Arc<Self>, req: Request<Incoming>) -> Option<Response<http::Body>> {
        let (head, body) = req.into_parts();
        let body = body.collect().await.ok()?.to_bytes();
        let text = |name: &str| {
            let value = head.headers.get(name).and_then(|v| v.to_str().ok());
            value.unwrap_or("").to_owned()
        };
        let id = text("x-request-id");
        let incarnation = lock(&self.incarnation).clone();
        let behaviour = *lock(&self.behaviour);
        let is_meant = text("x-expect-instance") == incarnation.id;
        if let Some(reply) = incarnation.refusal(behaviour, is_meant, &id) {
            return Some(reply);
        }
        let crashing_part = self.crashing_part_of(&text("x-prompt-prefix"));
        let crashing_call = lock(&self.crashing_call).clone();
        let crashing_call = crashing_call.filter(|call| call.path == head.uri.path());
        let after: Option<u64> = text("last-event-id").parse().ok();
        let requested_pause = requested_pause(&head.uri);
        lock(&self.runs).push(Run {
            id: id.clone(),
            target: head.uri.to_string(),
            headers: head.headers,
            version: incarnation.software.as_ref().map(|s| s.version.clone()),
            body,
            started_at: Instant::now(),
        });
        self.wait_while_silent().await;
        if let Some(call) = crashing_call {
            tokio::time::sleep(call.after).await;
            self.crashes.crash(call.down_for);
            return std::future::pending().await;
        }
        if let Some(part) = crashing_part {
            return Some(self.crash_while_answering(&incarnation, &id, &part));
        }
        match behaviour {
            Behaviour::Answer { status } => {
                let status = StatusCode::from_u16(status).ok()?;
                Some(incarnation.sealed(incarnation.reply(status, &id, caller::answer_body(&id))))
            }
            Behaviour::Refuse | Behaviour::RefuseAll | Behaviour::CloseWithoutAnswer => None,
            Behaviour::Hang => {
                let _guard = CancellationGuard {
                    handler: self.clone(),
                    is_done: false,
                };
                std::future::pending().await
            }
            Behaviour::WrongRequestId => Some(incarnation.sealed(incarnation.reply(
                StatusCode::OK,
                "another",
                caller::answer_body("another"),
            ))),
            Behaviour::Unsealed => {
                Some(incarnation.reply(StatusCode::OK, &id, caller::answer_body(&id)))
            }
            Behaviour::Stream {
                events,
                pause,
                cut_at,
            } => {
                let first = after.map_or(0, |after| after + 1);
                let stream = event_source::EventSource {
                    incarnation: incarnation.clone(),
                    request: id.clone(),
                    ids: first..events,
                    pause: requested_pause.unwrap_or(pause),
                    cut_at,
                };
                let stream = self.clone().events(stream);
                let head = incarnation.stream_head(&id, first);
                Some(head.map(|_| StreamBody::new(stream).boxed()))
            }
        }
    }
}

/// Seal with which an endpoint vouches for its answers.
#[must_use]
pub fn seal_of(id: &str) -> String {
    format!("seal-of-{id}")
}

fn value(text: &str) -> hyper::header::HeaderValue {
    hyper::header::HeaderValue::from_str(text).expect("header of a stand-in is ASCII")
}

/// Pause before each event that a request asks for.
fn requested_pause(uri: &hyper::Uri) -> Option<Duration> {
    let millis = uri.query()?.strip_prefix(caller::PAUSE_PARAMETER)?;
    millis.parse().ok().map(Duration::from_millis)
}

impl Incarnation {
    fn report(&self) -> serde_json::Value {
        let software = self.software.as_ref();
        let started_at_ms = software.map_or(records::STARTED_AT_MS, |s| s.started_at_ms);
        serde_json::json!({
            "stage": "both", "models": [], "busy": false, "sequence": 1, "queued": 0, "running": 1,
            "kvUsed": 0, "kvTotal": 1, "handles": 0, "born": started_at_ms,
        })
    }

    fn reply<B>(&self, status: StatusCode, id: &str, body: B) -> Response<http::Body>
    where
        B: Into<Bytes>,
    {
        let mut reply = http::answer(status, body);
        let headers = reply.headers_mut();
        headers.insert("x-request-id", value(id));
        headers.insert("x-instance-id", value(&self.id));
        headers.insert("x-server-load", value("1,0,8"));
        reply
    }

    /// Refusal of a request that is not run, if it is refused.
    fn refusal(
        &self,
        behaviour: Behaviour,
        is_meant: bool,
        id: &str,
    ) -> Option<Response<http::Body>> {
        let status = match behaviour {
            Behaviour::RefuseAll => StatusCode::SERVICE_UNAVAILABLE,
            _ if !is_meant => StatusCode::MISDIRECTED_REQUEST,
            Behaviour::Refuse => StatusCode::SERVICE_UNAVAILABLE,
            _ => return None,
        };
        let mut reply = self.reply(status, id, "");
        if status == StatusCode::SERVICE_UNAVAILABLE {
            reply.headers_mut().insert("x-not-executed", value("1"));
        }
        Some(reply)
    }

    /// Answer that begins a stream with the event `first`.
    fn stream_head(&self, id: &str, first: u64) -> Response<http::Body> {
        let mut reply = self.sealed(self.reply(StatusCode::OK, id, ""));
        let headers = reply.headers_mut();
        let weights = caller::weights_at(first).to_string();
        headers.insert(caller::WEIGHTS_LINE, value(&weights));
        headers.insert("content-type", value("text/event-stream"));
        reply
    }

    fn sealed(&self, mut reply: Response<http::Body>) -> Response<http::Body> {
        let seal = seal_of(&self.id);
        reply.headers_mut().insert("x-response-seal", value(&seal));
        reply
    }
}
