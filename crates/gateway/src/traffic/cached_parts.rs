//! Asks registrars which endpoints hold a part of a prompt, and answers as one.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use pistachiochute_core::cached_parts::{Registrar, has_registrars, registrar_of};
use pistachiochute_core::call_slots::Asker;
use pistachiochute_core::time;
use pistachiochute_messages::datagram::{Content, Number, PartHolder};
use pistachiochute_messages::peer::CachedPart;
use pistachiochute_runtime::{clock, metrics};

use crate::adapter;
use crate::traffic::event_stream::RequestState;
use crate::traffic::questions::Questions;
use crate::traffic::{Context, datagrams};

/// State of this host as one that asks and as a registrar.
#[derive(Debug, Default)]
pub(super) struct CachedParts {
    questions: Questions<Vec<PartHolder>>,
    /// What is known of each registrar as one that answers, by the hash of its host.
    askers: RefCell<HashMap<u64, Asker>>,
    registrar: RefCell<Registrar>,
}

/// Learns which endpoints hold the prompt of a request, if this host knows of none. Waits for the
/// registrar for a few milliseconds at most.
pub(super) async fn learn<D>(cx: &Rc<Context<D>>, state: &RequestState<D>)
where
    D: adapter::Dialect,
{
    let asked_at = clock::now();
    let view = cx.shared.view();
    let Some(part) = unknown_part(cx, state, asked_at).filter(|_| has_registrars(view.hosts))
    else {
        return;
    };
    let Some(host) = registrar_of(part, &view.host_hashes) else {
        return;
    };
    let holders = match host == cx.datagrams.own() {
        true => Some(holders_here(cx, part, asked_at)),
        false => ask(cx, host, part).await,
    };
    let decision = match &holders {
        Some(holders) if !holders.is_empty() => metrics::Decision::PartFound,
        Some(_) => metrics::Decision::PartNotFound,
        None => metrics::Decision::PartUnanswered,
    };
    cx.metrics.decided(decision);
    let Some(prompt) = &state.plan.choice_request.prompt else {
        return;
    };
    let mut endpoints = cx.endpoints.borrow_mut();
    for holder in holders.into_iter().flatten() {
        endpoints.record_holder(prompt, holder.endpoint, asked_at);
    }
}

/// Last shared part of a prompt, if it is worth a question and no usable endpoint is known to hold it.
fn unknown_part<D>(cx: &Rc<Context<D>>, state: &RequestState<D>, now: time::Time) -> Option<u64>
where
    D: adapter::Dialect,
{
    let prompt = state.plan.choice_request.prompt.as_ref()?;
    if state.attempts.count() > 0 {
        return None;
    }
    let mut endpoints = cx.endpoints.borrow_mut();
    endpoints.update(&cx.shared.view(), now);
    endpoints.unknown_part(&state.plan.service().name, prompt, now)
}

/// Asks a registrar. `None` if it does not answer in time, or did not lately.
async fn ask<D>(cx: &Rc<Context<D>>, host: u64, part: u64) -> Option<Vec<PartHolder>>
where
    D: adapter::Dialect,
{
    let parts = &cx.cached_parts;
    let asked_at = clock::now();
    let asker = parts.askers.borrow().get(&host).copied();
    let asker = asker.unwrap_or_default();
    if !asker.may_ask(asked_at) {
        return None;
    }
    parts.questions.prune();
    let (number, reply) = parts.questions.begin(host);
    let is_sent = datagrams::send_to(cx, host, Content::FindPart { number, part });
    let reply = match is_sent {
        true => tokio::time::timeout(asker.answer_time(), reply).await.ok(),
        false => None,
    };
    let holders = reply.and_then(Result::ok);
    let now = clock::now();
    let mut askers = parts.askers.borrow_mut();
    let asker = askers.entry(host).or_default();
    match &holders {
        Some(_) => asker.record_answer(now.since(asked_at)),
        None => {
            asker.record_silence(now);
            let hosts = &cx.shared.view().host_hashes;
            askers.retain(|host, _| hosts.contains(host));
        }
    }
    holders
}

/// Tells the registrar of a part that an endpoint is sent a prompt with it.
pub(super) fn report<D>(cx: &Rc<Context<D>>, part: CachedPart)
where
    D: adapter::Dialect,
{
    let view = cx.shared.view();
    if !has_registrars(view.hosts) {
        return;
    }
    match registrar_of(part.part, &view.host_hashes) {
        Some(host) if host == cx.datagrams.own() => record(cx, part),
        Some(host) => {
            // If it is lost, a part may be read once more.
            datagrams::send_to(cx, host, Content::RecordPart(part));
        }
        None => {}
    }
}

/// Records as a registrar what a host reports.
pub(super) fn record<D>(cx: &Rc<Context<D>>, part: CachedPart) {
    let mut registrar = cx.cached_parts.registrar.borrow_mut();
    registrar.record(part.part, part.endpoint, clock::now());
}

/// Answers a host as a registrar.
pub(super) fn answer<D>(cx: &Rc<Context<D>>, host: u64, number: Number, part: u64) {
    let holders = holders_here(cx, part, clock::now());
    datagrams::send_to(cx, host, Content::PartHolders { number, holders });
}

/// Takes the answer of a registrar.
pub(super) fn take<D>(cx: &Rc<Context<D>>, host: u64, number: Number, holders: Vec<PartHolder>) {
    cx.cached_parts.questions.answer(host, number, holders);
}

/// Holders of a part by the records of this host.
fn holders_here<D>(cx: &Rc<Context<D>>, part: u64, now: time::Time) -> Vec<PartHolder> {
    let holders = cx.cached_parts.registrar.borrow().holders(part, now);
    let holder = |h: pistachiochute_core::cached_parts::Holder| PartHolder {
        endpoint: h.endpoint,
        since_ms: u32::try_from(now.since(h.since).as_millis()).unwrap_or(u32::MAX),
    };
    holders.into_iter().map(holder).collect()
}
