//! A host with one peer, over a link between them.

use std::cell::{Cell, RefCell};
use std::net;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderName, StatusCode, request, response};
use pistachiochute_core::catalog::verify;
use pistachiochute_core::memory::Limits;
use pistachiochute_core::{admission, catalog, directory, reason, retry, revision, sse, streams};
use pistachiochute_messages::{codec, peer};
use pistachiochute_runtime::platform::key_value;
use pistachiochute_runtime::{clock, metrics};

use crate::control::HOSTS_PREFIX;
use crate::control::state::HostEntry;
use crate::{adapter, events, settings, shared, sockets};

pub const ENDPOINTS_PREFIX: &str = "endpoints/";

/// Service of the only endpoint in the store.
pub const SERVICE: &str = "reader";

/// Service of which no host knows an endpoint.
pub const UNKNOWN_SERVICE: &str = "other";

/// Time in which endpoints that leave go out of use.
pub const DRAIN: Duration = Duration::from_secs(3);

/// Catalogs that the link of the host carries at a time.
pub const CATALOG_TURNS: usize = 2;

pub const SPAN: Duration = Duration::from_secs(10);

pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

pub fn version() -> directory::SoftwareVersion {
    "v1".into()
}

pub fn endpoint(id: &str) -> directory::Endpoint {
    directory::Endpoint {
        identity: directory::Identity {
            id: id.into(),
            started_at_ms: 1,
        },
        service: SERVICE.into(),
        address: ([127, 0, 0, 1], 9).into(),
        domain: "dom-a".into(),
        slots: 1,
        state: directory::State::Ready,
        version: Some(version()),
        heartbeat: 1,
        cold_time: std::time::Duration::ZERO,
    }
}

pub fn query(service: &str) -> streams::OriginQuery {
    streams::OriginQuery {
        stream: Some(streams::StreamKey::of_request(b"r1")),
        service: service.into(),
        span: SPAN,
    }
}

/// A platform without callers whose endpoints all have one version.
#[derive(Clone)]
pub struct Dialect;

impl adapter::Dialect for Dialect {
    fn request_metadata(
        &self,
        _: &request::Parts,
    ) -> Result<adapter::RequestMetadata, reason::Refusal> {
        unimplemented!("there are no requests")
    }

    fn set_call_headers(&self, _: &mut HeaderMap, _: &adapter::CallMetadata<'_>) {}

    fn response_metadata(&self, _: &response::Parts) -> adapter::ResponseMetadata {
        unimplemented!("there are no requests")
    }

    fn leave_notice(&self, _: &HeaderMap) -> admission::LeaveNotice {
        admission::LeaveNotice::Absent
    }

    fn pushback(
        &self,
        _: StatusCode,
        _: &HeaderMap,
    ) -> Result<Option<admission::Pushback>, admission::ParsePushbackError> {
        Ok(None)
    }

    fn end_to_end_headers(&self) -> &'static [HeaderName] {
        &[]
    }

    fn strip_internal_headers(&self, _: &mut HeaderMap) {}

    fn leading_event_fields(&self) -> sse::LeadingFields {
        sse::LeadingFields::default()
    }

    fn cache_list_path(&self) -> &'static str {
        "/"
    }

    fn decode_cached_parts(&self, _: &[u8]) -> eyre::Result<Vec<u64>> {
        Ok(Vec::new())
    }

    fn report_path(&self) -> &'static str {
        "/report"
    }

    fn decode_report(&self, _: &[u8]) -> eyre::Result<adapter::EndpointReport> {
        Ok(adapter::EndpointReport {
            started_at_ms: None,
        })
    }

    fn catalog_key(&self) -> &'static str {
        "catalog"
    }

    fn endpoints_prefix(&self) -> &'static str {
        ENDPOINTS_PREFIX
    }

    fn evacuations_prefix(&self) -> &'static str {
        "evacuations/"
    }

    fn decode_catalog(&self, value: &[u8]) -> Result<verify::Decoded, Vec<verify::Finding>> {
        let text = std::str::from_utf8(value).map_err(|_| Vec::new())?;
        let version = text.parse().map_err(|_| Vec::new())?;
        Ok(verify::Decoded {
            content: empty_catalog(version),
            findings: Vec::new(),
        })
    }

    fn decode_endpoint(&self, key: &str, _: &[u8]) -> eyre::Result<directory::Endpoint> {
        Ok(endpoint(key))
    }
}

/// A catalog that has nothing but a version.
pub fn empty_catalog(version: u64) -> catalog::Content {
    catalog::Content {
        version: catalog::Version(version),
        routes: Vec::new(),
        services: Vec::new(),
        accounts: catalog::Accounts::Open,
        limits: catalog::CallerLimits {
            max_head_bytes: 1 << 14,
            max_body_bytes: 1 << 20,
            head_timeout: Duration::from_secs(1),
            idle_timeout: Duration::from_secs(1),
        },
    }
}

/// A store with other hosts, one endpoint, which may leave, and entries of another writer.
#[derive(Clone)]
pub struct Store {
    /// Entries of another writer. Each is a page of its own, before the page with all others.
    pub foreign: Rc<Vec<key_value::Entry>>,
    /// Most values of these entries that were still held when a page was asked for.
    pub held: Rc<Cell<usize>>,
    /// The other hosts, by name.
    pub hosts: Rc<Vec<(String, HostEntry)>>,
    /// Whether the endpoint is there.
    pub has_endpoint: Rc<Cell<bool>>,
    /// Version of the catalog, if there is one.
    pub catalog: Rc<Cell<Option<u64>>>,
}

impl Store {
    /// A store with these hosts and the endpoint.
    pub fn new(hosts: Vec<(String, HostEntry)>) -> Self {
        Self {
            foreign: Rc::default(),
            held: Rc::default(),
            hosts: Rc::new(hosts),
            has_endpoint: Rc::new(Cell::new(true)),
            catalog: Rc::default(),
        }
    }

    /// Revision of the last change: the endpoint's entry, or its removal.
    fn revision(&self) -> revision::Revision {
        match self.has_endpoint.get() {
            true => revision::Revision(1),
            false => revision::Revision(9),
        }
    }
}

/// Entry of a host of the only failure domain.
pub fn host_entry(links: net::SocketAddr) -> HostEntry {
    HostEntry {
        links,
        domain: "dom-a".to_owned(),
    }
}

pub fn entry(key: String, value: Vec<u8>) -> key_value::Entry {
    key_value::Entry {
        key: key.into(),
        value: value.into(),
        created: revision::Revision(1),
        modified: revision::Revision(1),
        version: 1,
        lease: None,
    }
}

impl adapter::Store for Store {
    fn epoch(&self) -> Option<revision::Epoch> {
        None
    }

    async fn read_page(
        &self,
        prefix: &str,
        start: Option<&adapter::PageStart>,
        _: adapter::Consistency,
    ) -> Result<adapter::Page, key_value::Error> {
        let held = self.foreign.iter().filter(|e| !e.value.is_unique()).count();
        self.held.set(self.held.get().max(held));
        let page = start.map_or(0, |start| {
            start.to_string().parse::<usize>().expect("a page") + 1
        });
        if let Some(entry) = self.foreign.get(page) {
            return Ok(adapter::Page {
                epoch: revision::Epoch::default(),
                revision: self.revision(),
                entries: vec![entry.clone()],
                unreadable: Vec::new(),
                next: Some(adapter::PageStart::after(page.to_string())),
            });
        }
        let hosts = self.hosts.iter().map(|(name, host)| {
            let value = serde_json::to_vec(host).expect("valid JSON");
            entry(format!("{HOSTS_PREFIX}{name}"), value)
        });
        let mut entries: Vec<_> = hosts.collect();
        if self.has_endpoint.get() {
            entries.push(entry(format!("{ENDPOINTS_PREFIX}i-1"), Vec::new()));
        }
        if let Some(version) = self.catalog.get() {
            entries.push(entry(
                "catalog".to_owned(),
                version.to_string().into_bytes(),
            ));
        }
        entries.retain(|entry| entry.key.starts_with(prefix.as_bytes()));
        Ok(adapter::Page {
            epoch: revision::Epoch::default(),
            revision: self.revision(),
            entries,
            unreadable: Vec::new(),
            next: None,
        })
    }

    async fn watch(
        &self,
        _: &str,
        _: revision::Revision,
        _: Duration,
    ) -> Result<adapter::WatchResponse, key_value::Error> {
        tokio::time::sleep(Duration::from_millis(50)).await;
        Ok(adapter::WatchResponse::Changes {
            epoch: revision::Epoch::default(),
            revision: self.revision(),
            changes: Vec::new(),
            unreadable: Vec::new(),
        })
    }

    async fn put(&self, _: &str, _: &[u8], _: key_value::LeaseId) -> Result<(), key_value::Error> {
        Ok(())
    }

    async fn grant(&self, _: Duration) -> Result<key_value::LeaseId, key_value::Error> {
        Ok(key_value::LeaseId(1))
    }

    async fn keep_alive(
        &self,
        _: key_value::LeaseId,
    ) -> Result<Option<Duration>, key_value::Error> {
        Ok(Some(Duration::from_secs(6)))
    }

    async fn revoke(&self, _: key_value::LeaseId) -> Result<(), key_value::Error> {
        Ok(())
    }
}

pub fn test_settings(links: net::SocketAddr) -> settings::Settings {
    settings::Settings {
        host: settings::Host {
            name: "host".to_owned(),
            domain: "dom-a".to_owned(),
        },
        machine: Some(settings::Machine {
            memory_mb: 260,
            max_fds: 4_100,
            link_mbps: Some(10),
        }),
        listen: settings::Listen {
            callers: links,
            health: links,
            links,
            metrics: links,
        },
        store: settings::Store {
            address: links,
            lease: Duration::from_secs(6),
        },
        retry: retry::FleetBudget {
            ratio: 1.0,
            extra: 1.0,
        },
        drain: directory::DrainBudget::new(DRAIN),
        stop_timeout: Duration::from_secs(1),
        is_first_start: true,
    }
}

/// Another host, of which only the links exist.
pub struct Peer {
    /// Address of the host's links.
    pub host_links: net::SocketAddr,
    pub received: Rc<RefCell<Vec<peer::Message>>>,
    pub tx: h2::SendStream<Bytes>,
    /// Header of the host's answer to the opening of the link.
    pub features: Option<String>,
}

impl Peer {
    /// Sends a message to the host.
    pub fn send(&mut self, message: &peer::Message) {
        let frame = codec::encode(message).expect("a small message");
        self.tx.send_data(frame, false).expect("an open link");
    }

    /// Waits for a message of the host, and returns its number.
    pub async fn wait_for<F>(&self, what: &str, is_wanted: F) -> usize
    where
        F: Fn(&peer::Message) -> bool,
    {
        let search = async {
            loop {
                let position = self.received.borrow().iter().position(&is_wanted);
                if let Some(position) = position {
                    return position;
                }
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        let found = tokio::time::timeout(WAIT_TIMEOUT, search).await;
        found.unwrap_or_else(|_| panic!("no {what}: {:?}", self.received.borrow()))
    }
}

/// Accepts the link of the host, and collects the messages on it.
pub async fn receive(
    listener: tokio::net::TcpListener,
    features: Option<&'static str>,
    received: Rc<RefCell<Vec<peer::Message>>>,
) {
    let stream = sockets::accept(&listener, sockets::Peer::Host).await;
    let mut connection = h2::server::handshake(stream).await.expect("a handshake");
    while let Some(Ok((req, mut respond))) = connection.accept().await {
        let mut head = http::Response::builder();
        if let Some(features) = features {
            head = head.header("link-features", features);
        }
        let head = head.body(()).expect("a head");
        let answer = respond.send_response(head, false).expect("an answer");
        let received = received.clone();
        tokio::task::spawn_local(async move {
            let mut body = req.into_body();
            let mut decoder = codec::Decoder::new();
            while let Some(Ok(data)) = body.data().await {
                body.flow_control()
                    .release_capacity(data.len())
                    .expect("received");
                decoder.extend(&data);
                while let Some(message) = decoder.take().expect("a message") {
                    received.borrow_mut().push(message);
                }
            }
            drop(answer);
        });
    }
}

/// Accepts the link of the host, and reads nothing that it sends.
pub async fn accept_without_reading(listener: tokio::net::TcpListener) {
    let stream = sockets::accept(&listener, sockets::Peer::Host).await;
    let mut connection = h2::server::handshake(stream).await.expect("a handshake");
    let mut kept = Vec::new();
    while let Some(Ok((req, mut respond))) = connection.accept().await {
        let answer = respond.send_response(http::Response::new(()), false);
        kept.push((req, answer));
    }
}

/// Opens the link of a peer with this name to the host.
pub async fn connect(
    name: &str,
    links: net::SocketAddr,
    own_links: net::SocketAddr,
    received: Rc<RefCell<Vec<peer::Message>>>,
) -> Peer {
    let stream = sockets::connect(links, WAIT_TIMEOUT).await.expect("a link");
    let (mut requests, connection) = h2::client::handshake(stream).await.expect("a handshake");
    tokio::task::spawn_local(async { drop(connection.await) });
    let req = http::Request::post("http://fleet/link").body(());
    let (answer, tx) = requests
        .send_request(req.expect("a request"), false)
        .expect("a stream");
    let answer = answer.await.expect("an answer");
    let header = answer.headers().get("link-features");
    let features = header.map(|value| value.to_str().expect("text").to_owned());
    let mut peer = Peer {
        host_links: links,
        received,
        tx,
        features,
    };
    peer.send(&peer::Message::Hello {
        host: name.into(),
        links: own_links,
        domain: "dom-a".into(),
        up_ms: 0,
    });
    peer
}

/// Starts the control thread of a host.
pub fn start(
    store: Store,
    links: net::TcpListener,
    shared: Arc<shared::Shared>,
) -> tokio::task::JoinHandle<()> {
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let telemetry = (
        events::Events::new(log),
        metrics::Metrics::new().expect("metrics"),
    );
    let address = links.local_addr().expect("an address");
    let settings = test_settings(address);
    let host = crate::control::run(Dialect, store, settings, shared, telemetry, links);
    tokio::task::spawn_local(host)
}

/// Runs a host with one peer, which announces `features`, and gives both to `test`.
pub fn run<F, T>(features: Option<&'static str>, test: F)
where
    F: FnOnce(Arc<shared::Shared>, Peer) -> T,
    T: Future<Output = ()>,
{
    run_within(Limits::NONE, features, test);
}

/// The same with bounds on what the host holds.
pub fn run_within<F, T>(limits: Limits, features: Option<&'static str>, test: F)
where
    F: FnOnce(Arc<shared::Shared>, Peer) -> T,
    T: Future<Output = ()>,
{
    run_from(true, limits, features, test);
}

/// The same with a host that starts when the endpoint is there, or when it has left.
pub fn run_from<F, T>(has_endpoint: bool, limits: Limits, features: Option<&'static str>, test: F)
where
    F: FnOnce(Arc<shared::Shared>, Peer) -> T,
    T: Future<Output = ()>,
{
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let tasks = tokio::task::LocalSet::new();
    tasks.block_on(&runtime, async {
        let any: net::SocketAddr = ([127, 0, 0, 1], 0).into();
        let links = sockets::listen(any).expect("a listener");
        let address = links.local_addr().expect("an address");
        let peer_listener = tokio::net::TcpListener::bind(any)
            .await
            .expect("a listener");
        let peer_links = peer_listener.local_addr().expect("an address");
        let received = Rc::default();
        tokio::task::spawn_local(receive(peer_listener, features, Rc::clone(&received)));
        let shared = Arc::new(shared::Shared::with_limits(limits));
        let store = Store::new(vec![("peer".to_owned(), host_entry(peer_links))]);
        store.has_endpoint.set(has_endpoint);
        let host = start(store, links, shared.clone());
        let peer = connect("peer", address, peer_links, received).await;
        peer.wait_for("status", |m| matches!(m, peer::Message::Status { .. }))
            .await;
        test(shared.clone(), peer).await;
        shared.enter_phase(shared::Phase::Stopped);
        host.await.expect("the host stops");
    });
}

pub fn stream_origin() -> streams::StreamOrigin {
    streams::StreamOrigin {
        stream: streams::StreamKey::of_request(b"r2"),
        origin: streams::Origin {
            version: streams::VersionTag::new(SERVICE, &version()),
            endpoint: streams::EndpointKey::of_id("i-1"),
        },
    }
}

/// Beginning of the stream of [`stream_origin`], proven.
pub fn beginning() -> streams::Beginning {
    let identity = directory::Identity {
        id: "i-1".into(),
        started_at_ms: 1,
    };
    streams::Beginning {
        stream: stream_origin(),
        connected: streams::Connected {
            to: streams::IncarnationTag::of(&identity),
            by: clock::now(),
        },
        process: streams::KnownProcess::Listed,
    }
}

/// Gives the host a cause for each of the new messages.
pub fn provoke(shared: &shared::Shared, peer: &mut Peer) {
    shared.local_beginnings.push(beginning());
    peer.send(&peer::Message::Want(peer::StateVersion::default()));
    let query = query(SERVICE);
    peer.send(&peer::Message::OriginQuery {
        id: 7,
        stream: Some(stream_origin().stream),
        service: query.service,
        span_ms: 1,
    });
}

pub fn is_endpoints(message: &peer::Message) -> bool {
    matches!(message, peer::Message::Endpoints { .. })
}
