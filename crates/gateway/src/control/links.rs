//! Links to other hosts: each host sends what it knows and does on a stream of its own.

use std::cell::Cell;
use std::collections::HashMap;
use std::net;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use eyre::WrapErr as _;
use pistachiochute_core::choice::load;
use pistachiochute_core::membership::spread::Role;
use pistachiochute_core::{directory, time};
use pistachiochute_messages::{codec, fleet};
use pistachiochute_runtime::clock;
use tokio::sync::mpsc;

use crate::control::state::HostEntry;
use crate::control::{Context, sync};
use crate::net as sockets;
use crate::{edge, events};

/// Time to make a connection.
const CONNECT: Duration = Duration::from_millis(1_000);

/// Time between two looks at what has to be sent.
const SEND_INTERVAL: Duration = Duration::from_millis(150);

/// Longest time between two messages on a link.
const HEARTBEAT: Duration = Duration::from_millis(1_000);

/// Pause before a lost link is made again.
const RECONNECT: Duration = Duration::from_millis(500);

/// Time for which a host may know more about endpoints before it is asked: the store usually
/// tells everyone meanwhile.
const ASK_AFTER: Duration = Duration::from_millis(600);

/// Time for which a host may know a newer catalog before it is asked.
const ASK_CATALOG_AFTER: Duration = Duration::from_millis(150);

/// Shortest time between two questions to the same host.
const ASK_PAUSE: Duration = Duration::from_millis(300);

/// Messages that may wait for one host.
const OUTBOX: usize = 16;

/// Keeps a link to every host that this one talks to.
pub(super) async fn keep<D, S>(cx: Rc<Context<D, S>>)
where
    D: edge::Dialect,
    S: edge::Store,
{
    let mut links: HashMap<Arc<str>, (net::SocketAddr, tokio::task::JoinHandle<()>)> =
        HashMap::new();
    loop {
        let wanted = wanted(&cx);
        links.retain(|name, (address, task)| {
            let keep = wanted.get(name) == Some(address);
            if !keep {
                task.abort();
            }
            keep
        });
        for (name, address) in wanted {
            links.entry(name.clone()).or_insert_with(|| {
                let task = tokio::task::spawn_local(link(cx.clone(), name, address));
                (address, task)
            });
        }
        tokio::time::sleep(SEND_INTERVAL).await;
    }
}

/// Hosts that this one talks to, with the addresses of their links.
fn wanted<D, S>(cx: &Context<D, S>) -> HashMap<Arc<str>, net::SocketAddr> {
    let state = cx.state.borrow();
    let links = state.spread.links.iter();
    links
        .filter_map(|name| Some((name.clone(), state.hosts.get(name)?.links)))
        .collect()
}

/// Keeps one link until it is aborted.
async fn link<D, S>(cx: Rc<Context<D, S>>, name: Arc<str>, address: net::SocketAddr)
where
    D: edge::Dialect,
    S: edge::Store,
{
    let was_up = Cell::new(false);
    loop {
        if let Err(e) = link_once(&cx, &name, address, &was_up).await
            && was_up.replace(false)
        {
            cx.events.link_lost(&name, &e);
        }
        let spread = rand::random_range(0.8..1.6);
        tokio::time::sleep(RECONNECT.mul_f64(spread)).await;
    }
}

async fn link_once<D, S>(
    cx: &Rc<Context<D, S>>,
    name: &Arc<str>,
    address: net::SocketAddr,
    was_up: &Cell<bool>,
) -> eyre::Result<()>
where
    D: edge::Dialect,
    S: edge::Store,
{
    let stream = sockets::connect(address, CONNECT)
        .await
        .wrap_err("connect")?;
    let (mut requests, connection) = h2::client::handshake(stream).await.wrap_err("handshake")?;
    let driver = tokio::task::spawn_local(async { drop(connection.await) });
    let req = http::Request::post("http://fleet/link").body(())?;
    let (answer, mut tx) = requests.send_request(req, false).wrap_err("stream")?;
    let up = clock::now().since(cx.started).as_millis();
    let hello = fleet::Message::Hello {
        host: cx.state.borrow().me.clone(),
        links: cx.settings.listen.links,
        domain: cx.settings.host.domain.as_str().into(),
        up_ms: u32::try_from(up).unwrap_or(u32::MAX),
    };
    send(&mut tx, &hello)?;
    answer.await.wrap_err("answer")?;
    if !was_up.replace(true) {
        cx.events.link_up(name);
    }
    let result = send_status(cx, name, &mut tx).await;
    driver.abort();
    result
}

fn send(tx: &mut h2::SendStream<Bytes>, message: &fleet::Message) -> eyre::Result<()> {
    let frame = codec::encode(message).wrap_err("message")?;
    tx.send_data(frame, false).wrap_err("link")
}

/// Sends status and answers on a link until it is lost.
async fn send_status<D, S>(
    cx: &Rc<Context<D, S>>,
    name: &Arc<str>,
    tx: &mut h2::SendStream<Bytes>,
) -> eyre::Result<()>
where
    D: edge::Dialect,
    S: edge::Store,
{
    let (outbox_tx, mut outbox) = mpsc::channel(OUTBOX);
    cx.state
        .borrow_mut()
        .outboxes
        .insert(name.clone(), outbox_tx);
    let holdings = cx.state.borrow().holdings(clock::now());
    if !holdings.is_empty() {
        send(tx, &fleet::Message::Holdings(holdings))?;
    }
    let mut sent = Sent::default();
    let mut asking = Asking::default();
    let mut ticks = tokio::time::interval(SEND_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            message = outbox.recv() => {
                let Some(message) = message else { return Ok(()) };
                send(tx, &message)?;
                continue;
            }
            _ = ticks.tick() => {}
        }
        if let Some(status) = sent.next(cx) {
            send(tx, &status)?;
        }
        if let Some(carried) = sent.next_carried(cx, name) {
            send(tx, &carried)?;
        }
        if let Some(want) = asking.next(cx, name) {
            send(tx, &fleet::Message::Want(want))?;
        }
        // A stream that was reset shows it here, whether or not there was something to send.
        if is_reset(tx) {
            eyre::bail!("stream was reset");
        }
    }
}

/// Whether the other end has reset the stream.
fn is_reset(tx: &mut h2::SendStream<Bytes>) -> bool {
    let mut cx = std::task::Context::from_waker(std::task::Waker::noop());
    tx.poll_reset(&mut cx).is_ready()
}

/// What was last sent on a link.
#[derive(Default)]
struct Sent {
    known: Option<fleet::Known>,
    loads: Arc<Vec<load::EndpointLoad>>,
    at: time::Time,
    carried: Vec<load::EndpointLoad>,
}

impl Sent {
    /// The status, if it is due.
    fn next<D, S>(&mut self, cx: &Context<D, S>) -> Option<fleet::Message>
    where
        D: edge::Dialect,
        S: edge::Store,
    {
        let now = clock::now();
        let known = cx.known();
        let loads = cx.shared.own_loads();
        let same_loads = self.known.is_some() && self.loads == loads;
        let is_due = now.since(self.at) >= HEARTBEAT;
        if self.known == Some(known) && same_loads && !is_due {
            return None;
        }
        let changed = (!same_loads).then(|| Vec::clone(&loads));
        self.known = Some(known);
        self.loads = loads;
        self.at = now;
        Some(fleet::Message::Status {
            known,
            store: cx.store_calls(now),
            loads: changed,
        })
    }
}

impl Sent {
    /// The work of others that this host carries to another one, if it changed.
    fn next_carried<D, S>(&mut self, cx: &Context<D, S>, name: &str) -> Option<fleet::Message>
    where
        D: edge::Dialect,
        S: edge::Store,
    {
        let state = cx.state.borrow();
        let spread = &state.spread;
        if spread.role != Role::Relay || spread.is_own_relay(name) {
            return None;
        }
        let own = cx.shared.own_loads();
        let carried = match spread.is_foreign_relay(name) {
            true => state.digests.domain(spread, &own),
            false => {
                let others = cx.shared.other_loads();
                state.digests.all_but(name, &others, &own)
            }
        };
        if carried == self.carried {
            return None;
        }
        self.carried.clone_from(&carried);
        Some(fleet::Message::Carried(carried))
    }
}

/// Since when another host has known more.
#[derive(Default)]
struct Asking {
    behind_since: Option<time::Time>,
    asked: time::Time,
}

impl Asking {
    /// What to ask the host for, if it has known more for long enough.
    fn next<D, S>(&mut self, cx: &Context<D, S>, name: &Arc<str>) -> Option<fleet::Known> {
        let now = clock::now();
        let state = cx.state.borrow();
        let known = state.peers.get(name)?.known;
        let Some(want) = state.want(known) else {
            self.behind_since = None;
            return None;
        };
        let since = *self.behind_since.get_or_insert(now);
        let patience = match known.catalog > want.catalog {
            _ if state.is_fed(now) => Duration::ZERO,
            true => ASK_CATALOG_AFTER,
            false => ASK_AFTER,
        };
        if now.since(since) < patience || now.since(self.asked) < ASK_PAUSE {
            return None;
        }
        self.asked = now;
        Some(want)
    }
}

/// Accepts the links of other hosts.
pub(super) async fn accept<D, S>(cx: Rc<Context<D, S>>, listener: net::TcpListener)
where
    D: edge::Dialect,
    S: edge::Store,
{
    let listener = match tokio::net::TcpListener::from_std(listener) {
        Ok(listener) => listener,
        Err(e) => return cx.events.listener_failed("links", &e),
    };
    loop {
        // A connection that failed before it was accepted concerns nobody else.
        let Ok((stream, _)) = listener.accept().await else {
            tokio::task::yield_now().await;
            continue;
        };
        if sockets::prepare(&stream).is_ok() {
            let cx = cx.clone();
            // The other host makes a lost link again, and says so in its own log.
            tokio::task::spawn_local(async move { drop(receive(cx, stream).await) });
        }
    }
}

async fn receive<D, S>(cx: Rc<Context<D, S>>, stream: tokio::net::TcpStream) -> eyre::Result<()>
where
    D: edge::Dialect,
    S: edge::Store,
{
    let mut connection = h2::server::handshake(stream).await?;
    while let Some(accepted) = connection.accept().await {
        let (req, mut respond) = accepted?;
        let answer = respond.send_response(http::Response::new(()), false)?;
        let cx = cx.clone();
        tokio::task::spawn_local(async move {
            let result = receive_messages(&cx, req.into_body()).await;
            drop(answer);
            result
        });
    }
    Ok(())
}

async fn receive_messages<D, S>(
    cx: &Rc<Context<D, S>>,
    mut body: h2::RecvStream,
) -> eyre::Result<()>
where
    D: edge::Dialect,
    S: edge::Store,
{
    let mut decoder = codec::Decoder::new();
    let mut sender: Option<Arc<str>> = None;
    while let Some(data) = body.data().await {
        let data = data?;
        body.flow_control().release_capacity(data.len())?;
        decoder.extend(&data);
        while let Some(message) = decoder.take()? {
            match (message, &sender) {
                (
                    fleet::Message::Hello {
                        host,
                        links,
                        domain,
                        up_ms,
                    },
                    _,
                ) => {
                    let domain = domain.to_string();
                    meet(cx, &host, HostEntry { links, domain }, up_ms);
                    sender = Some(host);
                }
                (message, Some(sender)) => handle(cx, sender, message),
                (_, None) => eyre::bail!("message before the name of the sender"),
            }
        }
    }
    Ok(())
}

/// Takes in that a host made a link to this one.
fn meet<D, S>(cx: &Context<D, S>, host: &Arc<str>, entry: HostEntry, up_ms: u32) {
    let up = Duration::from_millis(u64::from(up_ms));
    cx.oldest_peer.set(cx.oldest_peer.get().max(up));
    let links = entry.links;
    let now = clock::now();
    let is_news = cx.state.borrow_mut().hosts.meet(host.clone(), entry, now);
    if is_news {
        cx.events.host_known(host, links);
    }
}

fn handle<D, S>(cx: &Rc<Context<D, S>>, sender: &Arc<str>, message: fleet::Message)
where
    D: edge::Dialect,
    S: edge::Store,
{
    match message {
        fleet::Message::Hello { .. } => {}
        fleet::Message::Status {
            known,
            store,
            loads,
        } => {
            let now = clock::now();
            let before = |ms| now - Duration::from_millis(u64::from(ms));
            let mut state = cx.state.borrow_mut();
            state.hear(sender, known, store, now);
            if let Some(loads) = loads {
                state.digests.own(sender, loads);
            }
            state.directory.hear(directory::Witness {
                steady_since: before(store.steady_ms),
                answered: before(store.answered_ms),
            });
            if known.catalog == state.known().catalog {
                cx.shared.confirm(before(store.catalog_age_ms));
            }
        }
        fleet::Message::Carried(loads) => {
            cx.state.borrow_mut().digests.carried(sender, loads);
        }
        fleet::Message::Holdings(holdings) => {
            take_holdings(cx, &holdings);
        }
        fleet::Message::Want(known) => answer(cx, sender, known),
        fleet::Message::Catalog(content) => {
            cx.offer_catalog(*content, events::Source::Host(sender.clone()));
        }
        fleet::Message::Endpoints { complete, records } => {
            let mut any = false;
            for record in records {
                let endpoint = record.endpoint.map(Arc::new);
                any |= sync::apply_endpoint(
                    cx,
                    &record.key,
                    record.revision,
                    endpoint,
                    directory::Source::Host,
                );
            }
            cx.state.borrow_mut().directory.confirm(complete);
            if any {
                cx.publish();
            }
        }
    }
}

/// Sends a host what it lacks.
fn answer<D, S>(cx: &Rc<Context<D, S>>, host: &Arc<str>, has: fleet::Known) {
    let state = cx.state.borrow();
    let Some(outbox) = state.outboxes.get(host) else {
        return;
    };
    let mut messages: Vec<fleet::Message> = Vec::new();
    if let Some(catalog) = state.catalog.get()
        && Some(catalog.version()) > has.catalog
    {
        messages.push(fleet::Message::Catalog(Box::new(catalog.content().clone())));
    }
    let newer = state.directory.newer_than(has.endpoints);
    let records: Vec<_> = newer
        .map(|(key, record)| fleet::Record {
            key: key.clone(),
            revision: record.revision,
            endpoint: record.endpoint.as_deref().cloned(),
        })
        .collect();
    messages.push(fleet::Message::Endpoints {
        complete: state.directory.complete_for_others(),
        records,
    });
    for message in messages {
        // A full outbox belongs to a link that does not move; the host asks again.
        drop(outbox.try_send(message));
    }
}

/// Tells the other hosts which parts of prompts endpoints read for this one.
pub(super) fn tell_holdings<D, S>(cx: &Context<D, S>) {
    let holdings: Vec<_> = std::iter::from_fn(|| cx.shared.own_holdings.pop()).collect();
    // In a large fleet each host goes by the homes of prompts alone.
    let is_small = cx.state.borrow().spread.role == Role::Mesh;
    if holdings.is_empty() || !is_small {
        return;
    }
    cx.state.borrow_mut().remember(&holdings, clock::now());
    for outbox in cx.state.borrow().outboxes.values() {
        // A host that misses it has a prompt read again at worst.
        drop(outbox.try_send(fleet::Message::Holdings(holdings.clone())));
    }
}

/// Takes in what endpoints hold, for this host.
pub(super) fn take_holdings<D, S>(cx: &Context<D, S>, holdings: &[fleet::Holding]) {
    cx.state.borrow_mut().remember(holdings, clock::now());
    for holding in holdings {
        cx.shared.heard_holdings.push(*holding);
    }
}
