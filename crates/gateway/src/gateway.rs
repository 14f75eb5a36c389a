//! Start and stop of the threads of a host.

use std::sync::Arc;
use std::{io, net, thread};

use eyre::WrapErr as _;
use http::StatusCode;
use pistachiochute_runtime::metrics;

use crate::shared::Phase;
use crate::{adapter, admin, control, events, settings, shared, sockets, traffic};

/// Listening sockets of a host.
#[derive(Debug)]
struct Sockets {
    callers: net::TcpListener,
    health: net::TcpListener,
    links: net::TcpListener,
    metrics: net::TcpListener,
    /// At the address of the links, or the error if it could not be bound: a host works without it.
    datagrams: io::Result<net::UdpSocket>,
}

impl Sockets {
    /// Binds the addresses. Replaces port 0 in `listen` by the port that the system assigned.
    fn bind(listen: &mut settings::Listen) -> eyre::Result<Self> {
        Ok(Self {
            callers: bind(&mut listen.callers)?,
            health: bind(&mut listen.health)?,
            links: bind(&mut listen.links)?,
            metrics: bind(&mut listen.metrics)?,
            datagrams: net::UdpSocket::bind(listen.links),
        })
    }
}

fn bind(address: &mut net::SocketAddr) -> eyre::Result<net::TcpListener> {
    let listener = sockets::listen(*address).wrap_err_with(|| format!("listen on {address}"))?;
    *address = listener.local_addr()?;
    Ok(listener)
}

/// A running host.
#[derive(Debug)]
pub struct Gateway {
    shared: Arc<shared::Shared>,
    listen: settings::Listen,
    control: thread::JoinHandle<eyre::Result<()>>,
    traffic: thread::JoinHandle<eyre::Result<usize>>,
}

impl Gateway {
    /// Starts a host. `store` is called on the control thread to create the client of the store.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be bound or a thread cannot be started.
    pub fn start<D, S, F>(
        mut settings: settings::Settings,
        dialect: D,
        store: F,
        log: slog::Logger,
    ) -> eyre::Result<Self>
    where
        D: adapter::Dialect,
        S: adapter::Store,
        F: FnOnce() -> S + Send + 'static,
    {
        let shared = Arc::new(shared::Shared::with_limits(settings.limits()));
        let metrics = metrics::Metrics::new()?;
        let sockets = Sockets::bind(&mut settings.listen)?;
        let listen = settings.listen;
        let control = Control {
            settings: settings.clone(),
            dialect: dialect.clone(),
            shared: shared.clone(),
            metrics: metrics.clone(),
            log: log.clone(),
            sockets: (sockets.links, sockets.health, sockets.metrics),
        };
        let control = thread::Builder::new()
            .name("control".to_owned())
            .spawn(move || control.run(store))
            .wrap_err("start the control thread")?;
        let traffic_shared = shared.clone();
        let listeners = traffic::Listeners {
            callers: sockets.callers,
            datagrams: sockets.datagrams,
        };
        let traffic = thread::Builder::new()
            .name("traffic".to_owned())
            .spawn(move || {
                let events = events::Events::new(log);
                let serving = traffic::run(
                    dialect,
                    settings,
                    traffic_shared,
                    events,
                    metrics,
                    listeners,
                );
                block_on(serving)
            })
            .wrap_err("start the traffic thread")?;
        Ok(Self {
            shared,
            listen,
            control,
            traffic,
        })
    }

    /// Addresses that the host listens on, with the assigned ports.
    #[must_use]
    pub const fn listen(&self) -> settings::Listen {
        self.listen
    }

    /// Begins a graceful stop. [`Gateway::close`] waits for its end.
    pub fn stop(&self) {
        self.shared.enter_phase(Phase::Leaving);
    }

    /// Waits for the end of a graceful stop. Returns the number of requests that were cut off.
    ///
    /// # Errors
    ///
    /// Returns an error if a thread failed or panicked.
    pub fn close(self) -> eyre::Result<usize> {
        let traffic = self.traffic.join();
        self.shared.enter_phase(Phase::Stopped);
        let control = self.control.join();
        let cut = traffic.map_err(|_| eyre::eyre!("the traffic thread panicked"))??;
        control.map_err(|_| eyre::eyre!("the control thread panicked"))??;
        Ok(cut)
    }
}

/// Arguments of the control thread.
struct Control<D> {
    settings: settings::Settings,
    dialect: D,
    shared: Arc<shared::Shared>,
    metrics: metrics::Metrics,
    log: slog::Logger,
    sockets: (net::TcpListener, net::TcpListener, net::TcpListener),
}

impl<D> Control<D>
where
    D: adapter::Dialect,
{
    fn run<S, F>(self, store: F) -> eyre::Result<()>
    where
        S: adapter::Store,
        F: FnOnce() -> S,
    {
        let (links, health, metrics_listener) = self.sockets;
        let shared = self.shared.clone();
        let metrics = self.metrics.clone();
        let telemetry = (events::Events::new(self.log), self.metrics);
        block_on(async move {
            let health = admin::serve(health, metrics.clone(), move || health_reply(&shared));
            tokio::task::spawn_local(health);
            let metrics = admin::serve(metrics_listener, metrics.clone(), move || {
                metrics_reply(&metrics)
            });
            tokio::task::spawn_local(metrics);
            let store = store();
            control::run(
                self.dialect,
                store,
                self.settings,
                self.shared,
                telemetry,
                links,
            )
            .await;
        })
    }
}

/// Answers a health check: 200 while the load balancer should send callers here, else 503.
fn health_reply(shared: &shared::Shared) -> admin::Reply {
    let is_ready = shared.phase() == Phase::Serving && shared.view().can_serve();
    let status = match is_ready {
        true => StatusCode::OK,
        false => StatusCode::SERVICE_UNAVAILABLE,
    };
    admin::Reply {
        status,
        body: String::new(),
    }
}

fn metrics_reply(metrics: &metrics::Metrics) -> admin::Reply {
    match metrics.render() {
        Ok(body) => admin::Reply {
            status: StatusCode::OK,
            body,
        },
        Err(e) => admin::Reply {
            status: StatusCode::INTERNAL_SERVER_ERROR,
            body: format!("{e:#}"),
        },
    }
}

/// Runs a future and the local tasks that it spawns on the current thread.
fn block_on<F>(future: F) -> eyre::Result<F::Output>
where
    F: Future,
{
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .wrap_err("executor")?;
    let tasks = tokio::task::LocalSet::new();
    Ok(tasks.block_on(&runtime, future))
}
