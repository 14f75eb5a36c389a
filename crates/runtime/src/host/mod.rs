//! One entry host: all of its threads, put together.

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

use crate::{clock, control, endpoint, entry, link, metrics, owner, pool, settings};

/// Callers' requests served at once.
const ENTRY_THREADS: usize = 512;

/// Calls to endpoints at once.
const OWNER_THREADS: usize = 512;

/// Time between two looks at whether a drain is complete.
const DRAIN_POLL: Duration = Duration::from_millis(20);

/// A running entry host.
#[derive(Debug)]
pub struct Host {
    settings: Arc<settings::Settings>,
    control: control::Control,
    links: link::Links,
    listener: entry::Listener,
    entry_pool: pool::Pool,
    owner_pool: pool::Pool,
    host_list: poll::HostListPoll,
}

/// Sockets that a host serves.
#[derive(Debug)]
pub struct Sockets {
    /// Socket for callers.
    pub callers: net::TcpListener,
    /// Socket for the links from other hosts.
    pub links: net::TcpListener,
}

impl Sockets {
    /// Binds the addresses of the settings.
    ///
    /// # Errors
    ///
    /// Returns an error that names the address that cannot be bound.
    pub fn bind(listen: &settings::Listen) -> eyre::Result<Self> {
        let bind = |addr: net::SocketAddr| {
            net::TcpListener::bind(addr).wrap_err_with(|| format!("cannot listen on {addr}"))
        };
        Ok(Self {
            callers: bind(listen.callers)?,
            links: bind(listen.links)?,
        })
    }
}

/// How a drain ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Drained {
    /// Every request in progress was answered.
    Whole,
    /// The upper bound was reached with this many requests in progress.
    TimedOut(usize),
}

struct Messages {
    control: control::Handle,
    owner: Arc<owner::Server>,
}

impl link::Handler for Messages {
    fn forward(&self, head: forward::Forward, body: Bytes, tx: mpsc::Sender<answer::Frame>) {
        self.owner.serve(head, body, tx);
    }

    fn control(&self, message: Bytes, done: oneshot::Sender<Bytes>) {
        if let Ok(message) = codec::decode_frame(&message) {
            self.control.message(message, done);
        }
    }
}

impl Host {
    /// Starts every thread of a host.
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
        let owner_pool = pool::Pool::new("owner", OWNER_THREADS);
        let owner = owner::Server::new(control.handle(), owner_pool.clone(), timeouts);
        let messages = Arc::new(Messages {
            control: control.handle(),
            owner: Arc::clone(&owner),
        });
        let links = link::Links::start(link_config(&settings), sockets.links, messages)?;
        control.handle().connect(links.sender());
        let host_list =
            poll::HostListPoll::start(&settings.platform, control.handle(), log.clone())?;
        let entry_pool = pool::Pool::new("entry", ENTRY_THREADS);
        let cx = entry::Context {
            settings: Arc::clone(&settings),
            control: control.handle(),
            links: links.sender(),
            owner,
            pool: entry_pool.clone(),
            metrics,
            log,
        };
        let listener = entry::Listener::start(sockets.callers, Arc::new(cx))?;
        Ok(Self {
            settings,
            control,
            links,
            listener,
            entry_pool,
            owner_pool,
            host_list,
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

    /// Handle of the control thread.
    #[must_use]
    pub fn control(&self) -> control::Handle {
        self.control.handle()
    }

    /// Takes no more requests and waits until those in progress have been answered, or until the
    /// upper bound of the settings.
    #[must_use]
    pub fn drain(&self) -> Drained {
        self.control.handle().drain();
        let until = clock::now() + self.settings.timeouts.drain;
        loop {
            let left = self.entry_pool.busy() + self.owner_pool.busy();
            if left == 0 {
                return Drained::Whole;
            }
            if clock::now() >= until {
                return Drained::TimedOut(left);
            }
            thread::sleep(DRAIN_POLL);
        }
    }

    /// Ends the host at once. Requests in progress are cut off; call [`Host::drain`] before.
    pub fn close(self) {
        self.listener.close();
        self.host_list.close();
        self.links.close();
        self.control.close();
    }
}

/// Silence after which a forwarded request has stalled.
///
/// It is longer than that of an endpoint by the time in which the owner resumes there, so that the
/// sender does not start an attempt that competes with the owner's for the same answer.
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
        body_max: settings.bounds.body.0 as usize,
    }
}
