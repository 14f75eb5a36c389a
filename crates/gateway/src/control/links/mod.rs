//! Links to other hosts. Each host sends its messages on an HTTP/2 stream that it opens itself.
//!
//! [`outgoing`] decides what to send, [`outbox`] queues messages of other tasks, [`incoming`] handles
//! received messages, [`catalogs`] sends the catalog to some hosts at a time, [`flood`] sends messages to all hosts, and [`cached_parts`] distributes the prompt parts in the caches of engines.

mod cached_parts;
mod catalogs;
mod flood;
mod incoming;
mod outbox;
mod outgoing;

use std::cell::Cell;
use std::collections::HashMap;
use std::net;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use eyre::WrapErr as _;
use pistachiochute_core::revision;
use pistachiochute_messages::{frames, peer};
use pistachiochute_runtime::{clock, metrics};

use crate::control::Context;
use crate::{adapter, sockets};

use catalogs::CatalogSender;
use outbox::Features;
use outgoing::{CatchUp, KnowledgeQueries, SentState};

pub(super) use cached_parts::{apply_cached_parts, broadcast_cached_parts};
pub(super) use catalogs::{CatalogFrame, turns as catalog_turns};
pub(super) use flood::{flood, resend_to_behind};
pub(super) use incoming::accept;
pub use outbox::Outbox;
#[cfg(test)]
pub use outbox::Queued;

/// Time in which a connection must be established.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Interval at which due messages are sent and the set of links is updated.
pub(super) const SEND_INTERVAL: Duration = Duration::from_millis(150);

/// Delay before a lost link is opened again, before jitter.
const RECONNECT_DELAY: Duration = Duration::from_millis(500);

/// Cached prompt parts that a new link is sent at an interval, about 80 kB.
const PARTS_AT_ONCE: usize = 4_096;

/// Maintains a link to every host that the overlay assigns to this one.
pub(super) async fn maintain_links<D, S>(cx: Rc<Context<D, S>>)
where
    D: adapter::Dialect,
    S: adapter::Store,
{
    let mut links: HashMap<Arc<str>, (net::SocketAddr, tokio::task::JoinHandle<()>)> =
        HashMap::new();
    loop {
        let targets = link_targets(&cx);
        links.retain(|name, (address, task)| {
            let keep = targets.get(name) == Some(address);
            if !keep {
                task.abort();
            }
            keep
        });
        for (name, address) in targets {
            links.entry(name.clone()).or_insert_with(|| {
                let task = tokio::task::spawn_local(maintain_link(cx.clone(), name, address));
                (address, task)
            });
        }
        tokio::time::sleep(SEND_INTERVAL).await;
    }
}

/// Hosts to maintain links to, with the addresses that they accept links on.
fn link_targets<D, S>(cx: &Context<D, S>) -> HashMap<Arc<str>, net::SocketAddr> {
    let state = cx.state.borrow();
    let links = state.overlay.links.iter();
    links
        .filter_map(|name| Some((name.clone(), state.hosts.get(name)?.links)))
        .collect()
}

/// Maintains one link, and opens it again when it is lost, until the task is aborted.
async fn maintain_link<D, S>(cx: Rc<Context<D, S>>, name: Arc<str>, address: net::SocketAddr)
where
    D: adapter::Dialect,
    S: adapter::Store,
{
    let was_up = Cell::new(false);
    loop {
        if let Err(e) = run_link(&cx, &name, address, &was_up).await
            && was_up.replace(false)
        {
            cx.events.link_lost(&name, &e);
        }
        let jitter = rand::random_range(0.8..1.6);
        tokio::time::sleep(RECONNECT_DELAY.mul_f64(jitter)).await;
    }
}

async fn run_link<D, S>(
    cx: &Rc<Context<D, S>>,
    name: &Arc<str>,
    address: net::SocketAddr,
    was_up: &Cell<bool>,
) -> eyre::Result<()>
where
    D: adapter::Dialect,
    S: adapter::Store,
{
    let stream = sockets::connect(address, CONNECT_TIMEOUT)
        .await
        .wrap_err("connect")?;
    let (mut requests, connection) = h2::client::handshake(stream).await.wrap_err("handshake")?;
    let driver = tokio::task::spawn_local(async { drop(connection.await) });
    let req = http::Request::post("http://fleet/link").body(())?;
    let (answer, mut tx) = requests.send_request(req, false).wrap_err("stream")?;
    let uptime = clock::now().since(cx.started).as_millis();
    let hello = peer::Message::Hello {
        host: cx.state.borrow().name.clone(),
        links: cx.settings.listen.links,
        domain: cx.settings.host.domain.as_str().into(),
        up_ms: u32::try_from(uptime).unwrap_or(u32::MAX),
    };
    send(cx, (name, &mut tx), &hello)?;
    let answer = answer.await.wrap_err("answer")?;
    let features = announced_features(answer.headers());
    if !was_up.replace(true) {
        cx.events.link_up(name);
    }
    let result = send_messages(cx, name, features, &mut tx).await;
    driver.abort();
    result
}

/// Features that the header of the peer's answer announces.
fn announced_features(headers: &http::HeaderMap) -> Features {
    let values = headers.get_all(peer::FEATURES_HEADER);
    let texts: Vec<&str> = values.iter().filter_map(|v| v.to_str().ok()).collect();
    let is_announced = |feature: &peer::Feature| texts.iter().any(|text| feature.is_in(text));
    let features = peer::Feature::ALL.into_iter();
    features.filter(is_announced).collect()
}

/// Sends a message to a host. One that is too large for any frame is left out: the link carries all others,
/// also those by which hosts are safe.
fn send<D, S>(
    cx: &Context<D, S>,
    (host, tx): (&str, &mut h2::SendStream<Bytes>),
    message: &peer::Message,
) -> eyre::Result<()> {
    let frames = match frames::encode(message) {
        Ok(frames) => frames,
        Err(e) => {
            cx.metrics.decided(metrics::Decision::LinkMessageDropped);
            cx.events.message_dropped(host, message.name(), &e);
            return Ok(());
        }
    };
    for frame in frames {
        tx.send_data(frame, false).wrap_err("link")?;
    }
    Ok(())
}

/// Sending end of an open link.
struct LinkSender<'a, D, S> {
    cx: &'a Context<D, S>,
    name: &'a str,
    tx: &'a mut h2::SendStream<Bytes>,
    /// Whether the peer reads epochs.
    tells_epochs: bool,
    /// Epoch that the peer was last told.
    told: Option<revision::Epoch>,
}

impl<D, S> LinkSender<'_, D, S> {
    /// Sends a message that was made now.
    fn send(&mut self, message: &peer::Message) -> eyre::Result<()> {
        let epoch = self.cx.state.borrow().epochs.named();
        self.send_of_epoch(epoch, message)
    }

    /// Sends a message whose revisions are of an epoch.
    fn send_of_epoch(
        &mut self,
        epoch: Option<revision::Epoch>,
        message: &peer::Message,
    ) -> eyre::Result<()> {
        if let Some(epoch) = epoch.filter(|epoch| self.tells_epochs && self.told != Some(*epoch)) {
            self.told = Some(epoch);
            let message = peer::Message::StoreEpoch(epoch);
            send(self.cx, (self.name, self.tx), &message)?;
        }
        send(self.cx, (self.name, self.tx), message)
    }
}

/// Sends status, requests and queued messages on a link until it is lost.
async fn send_messages<D, S>(
    cx: &Rc<Context<D, S>>,
    name: &Arc<str>,
    features: Features,
    tx: &mut h2::SendStream<Bytes>,
) -> eyre::Result<()>
where
    D: adapter::Dialect,
    S: adapter::Store,
{
    let named_epoch = cx.state.borrow().named_epoch.clone();
    let (sender, mut outbox) = Outbox::new(features.clone(), named_epoch);
    let wanted = sender.catalog_wanted();
    let mut catalogs = CatalogSender::new(wanted, cx.catalog_turns.clone(), features.clone());
    cx.state.borrow_mut().outboxes.insert(name.clone(), sender);
    let snapshot = flood::snapshot(&cx.state.borrow(), clock::now());
    let is_sent = |message: &&peer::Message| outbox::is_sent(message, &features);
    let mut link = LinkSender {
        cx,
        name,
        tx,
        tells_epochs: features.contains(&peer::Feature::StoreEpochs),
        told: None,
    };
    for message in snapshot.iter().filter(is_sent) {
        link.send(message)?;
    }
    // Useful, but no host is less safe without them: they come bit by bit, behind all else that is due.
    let mut cached_parts = cx.state.borrow().cached_parts(clock::now());
    let mut sent = SentState::default();
    let mut catch_up = CatchUp::default();
    let mut queries = KnowledgeQueries::default();
    let mut ticks = tokio::time::interval(SEND_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            queued = outbox.recv() => {
                let Some(queued) = queued else { return Ok(()) };
                link.send_of_epoch(queued.epoch, &queued.message)?;
                continue;
            }
            due = catalogs.due() => {
                catalogs.send(cx, (name, link.tx), due).await?;
                continue;
            }
            _ = ticks.tick() => {}
        }
        if let Some(status) = sent.due_status(cx) {
            link.send(&status)?;
        }
        if let Some(loads) = sent.due_relayed_loads(cx, name) {
            link.send(&loads)?;
        }
        if let Some(want) = catch_up.due_request(cx, name) {
            link.send(&peer::Message::Want(want))?;
        }
        if features.contains(&peer::Feature::EndpointKnowledge)
            && let Some(query) = queries.due(cx, name)
        {
            link.send(&query)?;
        }
        if !cached_parts.is_empty() {
            let left = cached_parts.len().saturating_sub(PARTS_AT_ONCE);
            let parts = cached_parts.split_off(left);
            link.send(&peer::Message::Holdings(parts))?;
        }
        // Detects a reset stream even if there was nothing to send.
        if is_reset(link.tx) {
            eyre::bail!("stream was reset");
        }
    }
}

/// Whether the peer has reset the stream.
fn is_reset(tx: &mut h2::SendStream<Bytes>) -> bool {
    let mut cx = std::task::Context::from_waker(std::task::Waker::noop());
    tx.poll_reset(&mut cx).is_ready()
}
