//! Metrics of one host, exported in the Prometheus text format.
//!
//! The counter of every reason of a refusal, retry or closed connection starts at zero instead of
//! appearing with the first event, so that a rate can be computed from the first event on. Durations
//! are in seconds.

mod decisions;
mod departures;

use std::fmt;
use std::time::Duration;

use eyre::WrapErr as _;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{self, MeterProvider as _};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use pistachiochute_core::{outcome, reason, spill};

pub use decisions::Decision;

/// Name of the meter, exported as the scope of the metrics.
const METER: &str = "pistachiochute";

/// Histogram buckets of the time to the first token: upper bounds in seconds.
const FIRST_TOKEN_BUCKETS: [f64; 12] = [
    0.01, 0.025, 0.05, 0.1, 0.2, 0.35, 0.48, 0.75, 1.0, 2.5, 5.0, 10.0,
];

/// Histogram buckets of the time between two tokens: upper bounds in seconds.
const TOKEN_GAP_BUCKETS: [f64; 10] = [0.002, 0.005, 0.01, 0.018, 0.026, 0.04, 0.08, 0.2, 1.0, 5.0];

/// Direction of bytes on the links between hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// From this host to another.
    Sent,
    /// From another host to this one.
    Received,
}

impl Direction {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Sent => "sent",
            Self::Received => "received",
        }
    }
}

/// Kind of traffic on the links between hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Traffic {
    /// Forwarded requests of callers, and their answers.
    Forwarded,
    /// All other messages.
    Control,
}

impl Traffic {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Forwarded => "forwarded",
            Self::Control => "control",
        }
    }
}

/// Kind of a call to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreCall {
    /// A read that sees every acknowledged change.
    Read,
    /// A read whose result may be seconds old.
    StaleRead,
    /// A wait for changes.
    Watch,
    /// A write of an entry.
    Write,
    /// The grant of a lease.
    Grant,
    /// The renewal of a lease.
    Renewal,
    /// The end of a lease.
    End,
}

impl StoreCall {
    /// All kinds.
    pub const ALL: [Self; 7] = [
        Self::Read,
        Self::StaleRead,
        Self::Watch,
        Self::Write,
        Self::Grant,
        Self::Renewal,
        Self::End,
    ];

    const fn as_str(self) -> &'static str {
        match self {
            Self::Read => "read",
            Self::StaleRead => "stale_read",
            Self::Watch => "watch",
            Self::Write => "write",
            Self::Grant => "grant",
            Self::Renewal => "renewal",
            Self::End => "end",
        }
    }
}

/// Result of a query for the version that began a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OriginResult {
    /// The host knew it.
    Local,
    /// Another host knew it.
    Peer,
    /// A host had a record of the stream that was not proven yet.
    Claim,
    /// It is not known for certain.
    Unknown,
}

impl OriginResult {
    /// All results.
    pub const ALL: [Self; 4] = [Self::Local, Self::Peer, Self::Claim, Self::Unknown];

    const fn as_str(self) -> &'static str {
        match self {
            Self::Local => "local",
            Self::Peer => "peer",
            Self::Claim => "claim",
            Self::Unknown => "unknown",
        }
    }
}

/// State of a host as it sees itself and the fleet, exported as the metric `beliefs`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HostState {
    /// Version of the catalog in force, or 0 if there is none.
    pub catalog_version: u64,
    /// Endpoints that accept new requests.
    pub endpoints: u64,
    /// Live hosts of the fleet, exported as `hosts_serving`.
    pub live_hosts: u64,
    /// Other hosts from which messages arrived recently, exported as `hosts_heard`.
    pub live_peers: u64,
    /// Whether the store answered the last call.
    pub store_answers: bool,
    /// Time since up to when all changes of the endpoints are known, in milliseconds.
    pub endpoints_age_ms: u64,
}

/// Instruments of one host. Clones share the instruments and may be used from any thread.
#[derive(Clone)]
pub struct Metrics {
    registry: prometheus::Registry,
    /// Keeps the instruments connected to the registry.
    provider: SdkMeterProvider,
    refusals: metrics::Counter<u64>,
    retries: metrics::Counter<u64>,
    requests: metrics::Counter<u64>,
    connections_closed: metrics::Counter<u64>,
    answers_broken: metrics::Counter<u64>,
    stream_parts: metrics::Counter<u64>,
    endpoint_news: EndpointNews,
    requests_forwarded: metrics::Counter<u64>,
    decisions: metrics::Counter<u64>,
    departures: departures::Departures,
    in_flight: metrics::UpDownCounter<i64>,
    queued: metrics::UpDownCounter<i64>,
    first_token: metrics::Histogram<f64>,
    token_gap: metrics::Histogram<f64>,
    link_bytes: metrics::Counter<u64>,
    store_losses: metrics::Counter<u64>,
    store_calls: metrics::Counter<u64>,
    origin_queries: metrics::Counter<u64>,
    host_state: metrics::Gauge<u64>,
}

/// What this host learns of endpoints.
#[derive(Clone)]
struct EndpointNews {
    leave_notices: metrics::Counter<u64>,
    pushbacks: metrics::Counter<u64>,
    crashes: metrics::Counter<u64>,
    accusations: metrics::Counter<u64>,
}

impl EndpointNews {
    fn new(meter: &metrics::Meter) -> Self {
        Self {
            leave_notices: counter(
                meter,
                "endpoint_leave_notices",
                "Endpoints that said in an answer to this host that they leave",
            ),
            pushbacks: counter(
                meter,
                "endpoint_pushbacks",
                "Answers in which an endpoint asked this host to send it nothing for a while",
            ),
            crashes: counter(
                meter,
                "endpoint_crashes",
                "Crashes of endpoints that this host has verified",
            ),
            accusations: counter(
                meter,
                "prompt_parts_accused",
                "Accusations of prompt parts that crash endpoints",
            ),
        }
    }

    /// Exports every counter, also one that has counted nothing.
    fn init_to_zero(&self) {
        let all = [
            &self.leave_notices,
            &self.pushbacks,
            &self.crashes,
            &self.accusations,
        ];
        all.iter().for_each(|counter| counter.add(0, &[]));
    }
}

impl Metrics {
    /// Creates the instruments of one host.
    ///
    /// # Errors
    ///
    /// Returns an error if the exporter cannot be set up.
    pub fn new() -> eyre::Result<Self> {
        let registry = prometheus::Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .wrap_err("metrics exporter")?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter(METER);
        let made = Self {
            registry,
            refusals: counter(&meter, "refusals", "Refused requests by reason"),
            retries: counter(&meter, "retries", "Repeated attempts by reason"),
            requests: counter(&meter, "requests", "Finished requests by outcome"),
            connections_closed: counter(
                &meter,
                "connections_closed",
                "Connections of callers that the host closed before their last answer, by cause",
            ),
            answers_broken: counter(
                &meter,
                "answers_broken",
                "Answers that an endpoint broke off, by their progress",
            ),
            stream_parts: counter(
                &meter,
                "stream_parts",
                "Parts of streams that were broken off, resumed or delimited by their connection, by their end",
            ),
            endpoint_news: EndpointNews::new(&meter),
            requests_forwarded: counter(
                &meter,
                "requests_forwarded",
                "Requests that this host passed to another one, since it reached no endpoint",
            ),
            decisions: counter(&meter, "decisions", "Decisions under load, by kind"),
            departures: departures::Departures::new(&meter),
            in_flight: up_down_counter(
                &meter,
                "requests_in_flight",
                "Requests of callers in progress",
            ),
            queued: up_down_counter(
                &meter,
                "requests_queued",
                "Requests in the queues of endpoints",
            ),
            first_token: histogram(
                &meter,
                "first_token",
                "Time from the request to the first token",
                &FIRST_TOKEN_BUCKETS,
            ),
            token_gap: histogram(
                &meter,
                "token_gap",
                "Time between two tokens of an answer",
                &TOKEN_GAP_BUCKETS,
            ),
            link_bytes: counter(&meter, "link_bytes", "Bytes on the links between hosts"),
            store_losses: counter(&meter, "store_losses", "Times that the store was lost"),
            store_calls: counter(&meter, "store_calls", "Calls to the store, by kind"),
            origin_queries: counter(
                &meter,
                "stream_origin_queries",
                "Queries for the version that began a stream, by result",
            ),
            host_state: meter
                .u64_gauge("beliefs")
                .with_description("What the host believes, by subject")
                .build(),
            provider,
        };
        made.init_to_zero();
        Ok(made)
    }

    /// Counts a refused request.
    pub fn refused(&self, reason: reason::Refusal) {
        self.refusals.add(1, &[label("reason", reason.as_str())]);
    }

    /// Counts a retry, by the reason for it.
    pub fn retried(&self, reason: reason::Retry) {
        self.retries.add(1, &[label("reason", reason.as_str())]);
    }

    /// Counts the start of a request.
    pub fn started(&self) {
        self.in_flight.add(1, &[]);
    }

    /// Counts the end of a request that [`Metrics::started`] counted.
    pub fn finished(&self, outcome: outcome::Outcome) {
        self.in_flight.add(-1, &[]);
        self.requests.add(1, &[label("outcome", outcome.as_str())]);
    }

    /// Counts a caller's connection that the host closed although it had unfinished requests.
    pub fn connection_closed(&self, cause: reason::Close) {
        self.connections_closed
            .add(1, &[label("cause", cause.as_str())]);
    }

    /// Counts an answer that its endpoint broke off.
    pub fn answer_broken(&self, progress: outcome::AnswerProgress) {
        self.answers_broken
            .add(1, &[label("progress", progress.as_str())]);
    }

    /// Counts a part of a stream that was broken off, resumed or delimited by its connection.
    pub fn stream_part_ended(&self, end: outcome::PartEnd) {
        self.stream_parts.add(1, &[label("end", end.as_str())]);
    }

    /// Counts an endpoint that said in an answer that it leaves.
    pub fn leave_notice(&self) {
        self.endpoint_news.leave_notices.add(1, &[]);
    }

    /// Counts an answer in which an endpoint asked this host to send it nothing for a while.
    pub fn pushback(&self) {
        self.endpoint_news.pushbacks.add(1, &[]);
    }

    /// Counts a request that is passed to another host.
    pub fn request_forwarded(&self) {
        self.requests_forwarded.add(1, &[]);
    }

    /// Counts a decision.
    pub fn decided(&self, decision: Decision) {
        self.decisions.add(1, &[label("kind", decision.as_str())]);
    }

    /// Counts a request with so many prompt tokens that is sent to another failure domain.
    pub fn departed(&self, reason: spill::Departure, prompt_tokens: u32) {
        self.departures.record(reason, 1, u64::from(prompt_tokens));
    }

    /// Counts a crash of an endpoint.
    pub fn endpoint_crashed(&self) {
        self.endpoint_news.crashes.add(1, &[]);
    }

    /// Counts an accusation of prompt parts that crash endpoints.
    pub fn parts_accused(&self) {
        self.endpoint_news.accusations.add(1, &[]);
    }

    /// Counts a request that enters the queue of an endpoint.
    pub fn enqueued(&self) {
        self.queued.add(1, &[]);
    }

    /// Counts a request that leaves the queue of an endpoint.
    pub fn dequeued(&self) {
        self.queued.add(-1, &[]);
    }

    /// Records the time from a request to its first token.
    pub fn first_token(&self, span: Duration) {
        self.first_token.record(span.as_secs_f64(), &[]);
    }

    /// Records the time between two tokens of an answer.
    pub fn token_gap(&self, span: Duration) {
        self.token_gap.record(span.as_secs_f64(), &[]);
    }

    /// Counts bytes on the links between hosts.
    pub fn link_bytes(&self, direction: Direction, traffic: Traffic, bytes: u64) {
        let labels = [
            label("direction", direction.as_str()),
            label("traffic", traffic.as_str()),
        ];
        self.link_bytes.add(bytes, &labels);
    }

    /// Counts a transition of the store from answering to not answering.
    pub fn store_lost(&self) {
        self.store_losses.add(1, &[]);
    }

    /// Counts a call to the store.
    pub fn store_called(&self, call: StoreCall) {
        self.store_calls.add(1, &[label("kind", call.as_str())]);
    }

    /// Counts a query for the version that began a stream.
    pub fn origin_queried(&self, result: OriginResult) {
        self.origin_queries
            .add(1, &[label("result", result.as_str())]);
    }

    /// Sets the gauges of the host's state.
    pub fn record_host_state(&self, state: &HostState) {
        let rows = [
            ("catalog_version", state.catalog_version),
            ("endpoints", state.endpoints),
            ("hosts_serving", state.live_hosts),
            ("hosts_heard", state.live_peers),
            ("store_answers", u64::from(state.store_answers)),
            ("endpoints_age_ms", state.endpoints_age_ms),
        ];
        for (subject, value) in rows {
            self.host_state.record(value, &[label("subject", subject)]);
        }
    }

    /// Renders the metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Returns an error if a metric cannot be written as text.
    pub fn render(&self) -> eyre::Result<String> {
        prometheus::TextEncoder::new()
            .encode_to_string(&self.registry.gather())
            .wrap_err("metrics")
    }

    /// Disconnects the instruments from the registry. Clones can still be used, but their values
    /// are no longer exported.
    ///
    /// # Errors
    ///
    /// Returns an error if the instruments were disconnected before.
    pub fn close(self) -> eyre::Result<()> {
        self.provider.shutdown().wrap_err("metrics")
    }

    fn init_to_zero(&self) {
        for reason in reason::Refusal::ALL {
            self.refusals.add(0, &[label("reason", reason.as_str())]);
        }
        for reason in reason::Retry::ALL {
            self.retries.add(0, &[label("reason", reason.as_str())]);
        }
        for cause in reason::Close::ALL {
            self.connections_closed
                .add(0, &[label("cause", cause.as_str())]);
        }
        for progress in outcome::AnswerProgress::ALL {
            self.answers_broken
                .add(0, &[label("progress", progress.as_str())]);
        }
        for end in outcome::PartEnd::ALL {
            self.stream_parts.add(0, &[label("end", end.as_str())]);
        }
        for outcome in [
            outcome::Outcome::NotRun,
            outcome::Outcome::Unknown,
            outcome::Outcome::Run,
        ] {
            self.requests.add(0, &[label("outcome", outcome.as_str())]);
        }
        self.in_flight.add(0, &[]);
        self.queued.add(0, &[]);
        self.store_losses.add(0, &[]);
        for call in StoreCall::ALL {
            self.store_calls.add(0, &[label("kind", call.as_str())]);
        }
        self.endpoint_news.init_to_zero();
        self.requests_forwarded.add(0, &[]);
        self.departures.init_to_zero();
        for decision in Decision::ALL {
            self.decisions.add(0, &[label("kind", decision.as_str())]);
        }
        for result in OriginResult::ALL {
            self.origin_queries
                .add(0, &[label("result", result.as_str())]);
        }
    }
}

impl fmt::Debug for Metrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Metrics").finish_non_exhaustive()
    }
}

fn label(name: &'static str, value: &'static str) -> KeyValue {
    KeyValue::new(name, value)
}

fn counter(
    meter: &metrics::Meter,
    name: &'static str,
    description: &'static str,
) -> metrics::Counter<u64> {
    meter
        .u64_counter(name)
        .with_description(description)
        .build()
}

fn up_down_counter(
    meter: &metrics::Meter,
    name: &'static str,
    description: &'static str,
) -> metrics::UpDownCounter<i64> {
    meter
        .i64_up_down_counter(name)
        .with_description(description)
        .build()
}

fn histogram(
    meter: &metrics::Meter,
    name: &'static str,
    description: &'static str,
    buckets: &[f64],
) -> metrics::Histogram<f64> {
    meter
        .f64_histogram(name)
        .with_description(description)
        .with_unit("s")
        .with_boundaries(buckets.to_vec())
        .build()
}
