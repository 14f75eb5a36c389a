//! Records what the heads of answers say of their endpoints: for this host in the endpoint table, for the
//! others in the queues of the control thread.

use std::rc::Rc;

use pistachiochute_core::{admission, rate_limits, time};
use pistachiochute_runtime::clock;

use crate::traffic::{Context, endpoints};
use crate::{adapter, events};

/// Records what any answer of an endpoint says, also one to an earlier request.
pub(super) fn record<D>(
    cx: &Rc<Context<D>>,
    selected: &endpoints::SelectedEndpoint,
    head: &adapter::ResponseMetadata,
) where
    D: adapter::Dialect,
{
    record_leave_notice(cx, selected, head.leave_notice);
    record_pushback(cx, selected, head.pushback);
}

/// Records what an answer says of whether its endpoint leaves.
fn record_leave_notice<D>(
    cx: &Rc<Context<D>>,
    selected: &endpoints::SelectedEndpoint,
    notice: admission::LeaveNotice,
) where
    D: adapter::Dialect,
{
    let mut endpoints = cx.endpoints.borrow_mut();
    if !endpoints.record_leave_notice(selected.choice.endpoint, notice, clock::now()) {
        return;
    }
    let identity = &selected.endpoint.identity;
    match notice {
        admission::LeaveNotice::Absent => {}
        admission::LeaveNotice::Leaving => {
            cx.metrics.leave_notice();
            cx.events
                .endpoint_leaves(identity, &events::NoticeSource::Answer);
            cx.pool.close_idle(identity);
            cx.shared.announce_departure(identity, clock::now());
        }
        admission::LeaveNotice::Invalid => cx.events.leave_notice_invalid(identity),
    }
}

/// Records that an answer asks this host to send its endpoint nothing for a while.
fn record_pushback<D>(
    cx: &Rc<Context<D>>,
    selected: &endpoints::SelectedEndpoint,
    pushback: Result<Option<admission::Pushback>, admission::ParsePushbackError>,
) where
    D: adapter::Dialect,
{
    let identity = &selected.endpoint.identity;
    match pushback {
        Ok(None) => {}
        Ok(Some(pushback)) => {
            cx.metrics.pushback();
            cx.events.endpoint_pushback(identity, pushback);
            let id = selected.choice.endpoint;
            let mut endpoints = cx.endpoints.borrow_mut();
            endpoints.record_pushback(id, pushback, clock::now());
        }
        Err(e) => cx.events.endpoint_pushback_invalid(identity, e),
    }
}

/// Records the limit that an answer names, or that it names none.
pub(super) fn record_limit<D>(
    cx: &Rc<Context<D>>,
    selected: &endpoints::SelectedEndpoint,
    limit: Option<Result<rate_limits::RequestRate, rate_limits::ParseRateError>>,
    sent_at: time::Time,
) where
    D: adapter::Dialect,
{
    let identity = &selected.endpoint.identity;
    let limit = match limit.transpose() {
        Ok(limit) => limit,
        Err(e) => return cx.events.endpoint_limit_invalid(identity, e),
    };
    // An answer without a limit may have been made before the endpoint named one, but not if its
    // request was sent after that.
    let at = match limit {
        Some(_) => clock::now(),
        None => sent_at,
    };
    let mut endpoints = cx.endpoints.borrow_mut();
    let new = endpoints.record_limit(selected.choice.endpoint, limit, at);
    if let Some(statement) = new {
        cx.events.endpoint_limit(identity, limit);
        cx.shared.local_limits.push(statement);
    }
}

/// Records whether an answer turns the request away, and how brittle its endpoint is.
pub(super) fn record_admission<D>(
    cx: &Rc<Context<D>>,
    selected: &endpoints::SelectedEndpoint,
    head: &adapter::ResponseMetadata,
    sent_at: time::Time,
) where
    D: adapter::Dialect,
{
    let id = selected.choice.endpoint;
    let times = (sent_at, clock::now());
    let mut endpoints = cx.endpoints.borrow_mut();
    let is_on_trial = endpoints.record_admission(id, head.is_not_run, head.brittleness, times);
    if let (true, Some(brittleness)) = (is_on_trial, head.brittleness) {
        cx.events
            .endpoint_brittle(&selected.endpoint.identity, brittleness);
    }
}
