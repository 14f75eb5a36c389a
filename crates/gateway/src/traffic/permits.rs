//! Asks other hosts for permits, and answers them.

use std::rc::Rc;
use std::time::Duration;

use pistachiochute_core::permits::{ANSWER_TIMEOUT, Answer, Delegate, Number, VALIDITY};
use pistachiochute_core::time;
use pistachiochute_messages::datagram::Content;
use pistachiochute_runtime::{clock, metrics};

use crate::traffic::{Context, datagrams, endpoints};
use crate::{adapter, events, shared};

/// Interval at which delegations are looked at.
const TICK: Duration = Duration::from_millis(100);

/// Answer of another host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Reply {
    /// A permit for this time, from when it was asked for.
    Granted(Duration),
    /// None before this time.
    Denied(Duration),
}

/// Takes the permit for a selected endpoint. Returns whether there was one; else the endpoint is closed
/// for a while.
pub(super) async fn obtain<D>(
    cx: &Rc<Context<D>>,
    selected: &mut endpoints::SelectedEndpoint,
) -> bool
where
    D: adapter::Dialect,
{
    let endpoint = selected.endpoint.identity.hash();
    let until = match selected.permit {
        endpoints::Permit::Own | endpoints::Permit::Until(_) => return true,
        endpoints::Permit::Pool => {
            let now = clock::now();
            let mut endpoints = cx.endpoints.borrow_mut();
            let is_taken = endpoints.permits().take_token(endpoint, now);
            is_taken.then(|| now + VALIDITY)
        }
        endpoints::Permit::Ask(lender) => ask(cx, lender, endpoint).await,
    };
    if let Some(until) = until {
        selected.permit = endpoints::Permit::Until(until);
    }
    until.is_some()
}

/// Asks the lender of an endpoint. Returns until when its permit is valid.
async fn ask<D>(cx: &Rc<Context<D>>, lender: u64, endpoint: u64) -> Option<time::Time>
where
    D: adapter::Dialect,
{
    cx.metrics.decided(metrics::Decision::PermitAsked);
    let (number, reply) = cx.permit_questions.begin(lender);
    let asked_at = clock::now();
    let reply = match datagrams::send_to(cx, lender, Content::AskPermit { number, endpoint }) {
        true => tokio::time::timeout(ANSWER_TIMEOUT, reply).await.ok(),
        false => None,
    };
    let (answer, decision, valid) = match reply.and_then(Result::ok) {
        Some(Reply::Granted(valid)) => (
            Answer::Granted,
            metrics::Decision::PermitGranted,
            Some(valid.min(VALIDITY)),
        ),
        Some(Reply::Denied(retry)) => (
            Answer::Denied { retry },
            metrics::Decision::PermitDenied,
            None,
        ),
        None => (Answer::None, metrics::Decision::PermitUnanswered, None),
    };
    cx.metrics.decided(decision);
    let mut endpoints = cx.endpoints.borrow_mut();
    endpoints
        .permits()
        .record_answer(lender, endpoint, answer, clock::now());
    valid.map(|valid| asked_at + valid)
}

/// Answers a host that asks for a permit.
pub(super) fn lend<D>(cx: &Rc<Context<D>>, peer: &shared::Peer, number: Number, endpoint: u64)
where
    D: adapter::Dialect,
{
    let result = cx.endpoints.borrow_mut().lend(endpoint, clock::now());
    let (decision, content) = match result {
        Ok(()) => (
            metrics::Decision::PermitLent,
            Content::Permit {
                number,
                valid_ms: VALIDITY.as_millis() as u32,
            },
        ),
        Err(retry) => (
            metrics::Decision::PermitRefused,
            Content::NoPermit {
                number,
                retry_ms: retry.as_millis() as u32,
            },
        ),
    };
    cx.metrics.decided(decision);
    cx.datagrams.send(peer, content);
}

/// Takes the shares that another host delegates.
pub(super) fn take_delegated<D>(cx: &Rc<Context<D>>, peer: &shared::Peer, delegate: &Delegate)
where
    D: adapter::Dialect,
{
    let mut endpoints = cx.endpoints.borrow_mut();
    let permits = endpoints.permits();
    if let Some(number) = permits.record_delegate(peer.hash, delegate, clock::now()) {
        cx.datagrams.send(peer, Content::Delegated { number });
    }
}

/// Delegates shares and logs changes of lenders, until the future is dropped.
pub(super) async fn delegate<D>(cx: Rc<Context<D>>)
where
    D: adapter::Dialect,
{
    loop {
        tokio::time::sleep(TICK).await;
        cx.permit_questions.prune();
        let mut endpoints = cx.endpoints.borrow_mut();
        let now = clock::now();
        endpoints.update(&cx.shared.view(), now);
        endpoints.apply_remote_limits(&cx.shared, now);
        let due = endpoints.tick_permits(now);
        let changes = endpoints.take_lender_changes();
        drop(endpoints);
        for (host, delegate) in due {
            datagrams::send_to(&cx, host, Content::Delegate(delegate));
        }
        for (endpoint, lender) in changes {
            cx.metrics.decided(metrics::Decision::LenderChanged);
            let peer = lender.and_then(|hash| datagrams::peer(&cx, hash));
            let lender = match (lender, &peer) {
                (None, _) => events::Lender::None,
                (Some(_), Some(peer)) => events::Lender::Host(&peer.name),
                (Some(_), None) => events::Lender::This,
            };
            cx.events.permit_lender(&endpoint, lender);
        }
    }
}
