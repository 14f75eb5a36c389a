//! An entry host: starts, connects and stops all of its threads.

mod poll;

use std::net;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use eyre::WrapErr as _;
use pistachiochute_core::answer;
use pistachiochute_messages::{codec, forward};
use tokio::sync::{mpsc, oneshot};

use crate::lists::{editor, store, sync};
use crate::platform::etcd;
use crate::{
    admin, clock, control, endpoint, entry, journal, link, listener, metrics, owner, settings,
    thread_pool,
};

/// Maximum number of concurrent calls to endpoints.
const OWNER_THREADS: usize = 512;

/// Maximum number of operators' requests served concurrently.
const ADMIN_THREADS: usize = 16;

/// Maximum number of concurrent operator connections.
const ADMIN_CONNECTIONS: usize = 64;

/// Bytes read beyond the limit on request heads, so that an oversized head gets an error answer
/// rather than a closed connection.
const HEAD_SLACK_BYTES: usize = 16 << 10;

/// Idle time after which a watch of the key-value service reconnects.
const WATCH_IDLE: Duration = Duration::from_secs(30);

/// Interval at which a drain checks for remaining requests.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A running entry host.
#[derive(Debug)]
pub struct Host {
    settings: Arc<settings::Settings>,
    control: control::Control,
    links: link::Links,
    listener: listener::Listener,
    entry_pool: thread_pool::Pool,
    owner_pool: thread_pool::Pool,
    host_list: poll::HostListPoller,
    lists: sync::StoreSync,
    admin: listener::Listener,
    journal: journal::Journal,
}

/// Listening sockets of a host.
#[derive(Debug)]
pub struct Sockets {
    /// Socket for callers.
    pub callers: net::TcpListener,
    /// Socket for links from other hosts.
    pub links: net::TcpListener,
    /// Socket for operators and metrics collection.
    pub admin: net::TcpListener,
}

impl Sockets {
    /// Binds the addresses in the settings.
    ///
    /// # Errors
    ///
    /// Returns an error naming the address that cannot be bound.
    pub fn bind(listen: &settings::Listen) -> eyre::Result<Self> {
        let bind = |addr: net::SocketAddr| {
            net::TcpListener::bind(addr).wrap_err_with(|| format!("cannot listen on {addr}"))
        };
        Ok(Self {
            callers: bind(listen.callers)?,
            links: bind(listen.links)?,
            admin: bind(listen.admin)?,
        })
    }
}

/// Result of a drain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainResult {
    /// Every request in progress was answered.
    Complete,
    /// The drain timeout expired with this many requests in progress.
    TimedOut(usize),
}

struct LinkHandler {
    control: control::Handle,
    owner: Arc<owner::Server>,
}

impl link::Handler for LinkHandler {
    fn forward(&self, head: forward::Forward, body: Bytes, tx: mpsc::Sender<answer::Frame>) {
        self.owner.serve(head, body, tx);
    }

    fn control(&self, message: Bytes, done: oneshot::Sender<Bytes>) {
        if let Ok(message) = codec::decode_frame(&message) {
            self.control.handle_message(message, done);
        }
    }
}

impl Host {
    /// Starts all threads of a host.
    ///
    /// # Errors
    ///
    /// Returns an error if a thread or a socket cannot be set up.
    pub fn start(
        settings: settings::Settings,
        sockets: Sockets,
        metrics: metrics::Metrics,
        log: slog::Logger,
    ) -> eyre::Result<Self> {
        let settings = Arc::new(settings);
        let control = control::Control::start(Arc::clone(&settings), metrics.clone(), log.clone())?;
        let timeouts = endpoint::Timeouts {
            connect: settings.timeouts.connect,
            stall: settings.timeouts.stall,
        };
        let owner_pool = thread_pool::Pool::new("owner", OWNER_THREADS);
        let key_value = Arc::new(etcd::Etcd::new(etcd_settings(&settings)));
        let journal = journal::Journal::start(&settings.journal, key_value.clone())?;
        let owner = owner::Server::new(
            control.handle(),
            journal.handle(),
            owner_pool.clone(),
            timeouts,
        );
        let handler = Arc::new(LinkHandler {
            control: control.handle(),
            owner: Arc::clone(&owner),
        });
        let links = link::Links::start(link_config(&settings), sockets.links, handler)?;
        control.handle().set_links(links.sender());
        let store = store::Store::new(key_value);
        let (lists, store_sender) =
            sync::StoreSync::start(store.clone(), control.handle(), log.clone())?;
        control.handle().set_store(store_sender);
        // Started after the store sync, because the first host list starts the replica, which reads
        // the store.
        let host_list =
            poll::HostListPoller::start(&settings.platform, control.handle(), log.clone())?;
        let cx = admin::Context {
            settings: Arc::clone(&settings),
            control: control.handle(),
            editor: editor::Editor::new(store, control.handle()),
            metrics: metrics.clone(),
            log: log.clone(),
        };
        let admin_pool = thread_pool::Pool::new("admin", ADMIN_THREADS);
        let cfg = admin_config(&settings);
        let admin = listener::Listener::start(sockets.admin, cfg, admin_pool, Arc::new(cx))?;
        let entry_pool = thread_pool::Pool::new("entry", settings.bounds.connections as usize);
        let cx = entry::Context {
            settings: Arc::clone(&settings),
            control: control.handle(),
            links: links.sender(),
            owner,
            metrics,
            log,
        };
        let cfg = caller_config(&settings);
        let listener =
            listener::Listener::start(sockets.callers, cfg, entry_pool.clone(), Arc::new(cx))?;
        Ok(Self {
            settings,
            control,
            links,
            listener,
            entry_pool,
            owner_pool,
            host_list,
            lists,
            admin,
            journal,
        })
    }

    /// Address on which callers are served.
    #[must_use]
    pub fn callers(&self) -> net::SocketAddr {
        self.listener.addr()
    }

    /// Address on which links are served.
    #[must_use]
    pub fn links(&self) -> net::SocketAddr {
        self.links.addr()
    }

    /// Address on which operators are served.
    #[must_use]
    pub fn admin(&self) -> net::SocketAddr {
        self.admin.addr()
    }

    /// Returns a handle of the control thread.
    #[must_use]
    pub fn control(&self) -> control::Handle {
        self.control.handle()
    }

    /// Stops admitting requests and waits until those in progress have been answered, or until the
    /// drain timeout of the settings.
    #[must_use]
    pub fn drain(&self) -> DrainResult {
        self.control.handle().drain();
        let until = clock::now() + self.settings.timeouts.drain;
        loop {
            let left = self.entry_pool.busy() + self.owner_pool.busy();
            if left == 0 {
                return DrainResult::Complete;
            }
            if clock::now() >= until {
                return DrainResult::TimedOut(left);
            }
            thread::sleep(DRAIN_POLL_INTERVAL);
        }
    }

    /// Stops the host without waiting for requests in progress. Call [`Host::drain`] first to
    /// finish them.
    pub fn close(self) {
        self.admin.close();
        self.host_list.close();
        self.lists.close();
        self.links.close();
        self.journal.close();
        self.control.close();
        // Closed last, so that callers of aborted requests still receive error answers.
        self.listener.close();
    }
}

fn caller_config(settings: &settings::Settings) -> listener::Config {
    let bounds = &settings.bounds;
    listener::Config {
        max_connections: bounds.connections as usize,
        busy_answer: entry::busy_answer(),
        max_head_bytes: bounds.header.0 as usize + HEAD_SLACK_BYTES,
        head_timeout: bounds.header_read,
        max_body_bytes: bounds.body.0,
        body_timeout: bounds.body_read,
        stall_timeout: settings.timeouts.stall,
    }
}

fn admin_config(settings: &settings::Settings) -> listener::Config {
    listener::Config {
        max_connections: ADMIN_CONNECTIONS,
        max_body_bytes: admin::MAX_BODY_BYTES,
        ..caller_config(settings)
    }
}

fn etcd_settings(settings: &settings::Settings) -> etcd::Settings {
    etcd::Settings {
        addrs: settings.platform.key_value.clone(),
        call_timeout: settings.platform.polls.key_value_call,
        watch_idle: WATCH_IDLE,
        watch_retry: settings.platform.polls.key_value_retry,
    }
}

/// Idle time after which a forwarded request counts as stalled.
///
/// It exceeds the stall timeout of endpoints by the time that the owner needs to resume there.
/// Otherwise the sender could start an attempt that competes with the owner's for the same answer.
fn link_stall(timeouts: &settings::Timeouts) -> Duration {
    2 * timeouts.stall + timeouts.connect
}

fn link_config(settings: &settings::Settings) -> link::Config {
    link::Config {
        secret: Bytes::copy_from_slice(settings.credentials.link.as_bytes()),
        connect: settings.timeouts.connect,
        ping: settings.timeouts.ping,
        stall: link_stall(&settings.timeouts),
        control: settings.timeouts.connect,
        max_body_bytes: settings.bounds.body.0 as usize,
    }
}
