//! Asks endpoints whether they live, once for all who want to know.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use pistachiochute_core::{directory, streams, time};
use pistachiochute_runtime::clock;
use tokio::sync::Mutex;

use crate::traffic::endpoint_report::ReportedProcess;
use crate::traffic::{Context, endpoint_report, pool};
use crate::{adapter, shared};

/// Endpoints that are being asked, and what they said last.
#[derive(Debug, Default)]
pub(super) struct Questions {
    endpoints: RefCell<HashMap<directory::Identity, Rc<Mutex<Option<Reply>>>>>,
}

impl Questions {
    fn of(&self, identity: &directory::Identity) -> Rc<Mutex<Option<Reply>>> {
        let mut endpoints = self.endpoints.borrow_mut();
        endpoints.entry(identity.clone()).or_default().clone()
    }

    /// Forgets what nobody waits for.
    pub(super) fn prune(&self) {
        let mut endpoints = self.endpoints.borrow_mut();
        endpoints.retain(|_, question| Rc::strong_count(question) > 1);
    }
}

/// What a process said.
#[derive(Clone, Copy, Debug)]
struct Reply {
    asked_at: time::Time,
    reported: ReportedProcess,
}

/// Asks the process at an endpoint's address whether it is the one of the endpoint's entry. The answer to a
/// question that was asked while this one waited is shared.
pub(super) async fn ask<D>(
    cx: &Rc<Context<D>>,
    endpoint: &directory::Endpoint,
    max_connections: u32,
) -> ReportedProcess
where
    D: adapter::Dialect,
{
    let began_at = clock::now();
    let question = cx.life_questions.of(&endpoint.identity);
    let mut last = question.lock().await;
    if let Some(reply) = *last
        && reply.asked_at >= began_at
    {
        return reply.reported;
    }
    let asked_at = clock::now();
    let reported = ask_on_a_connection(cx, endpoint, max_connections).await;
    *last = Some(Reply { asked_at, reported });
    reported
}

/// Asks on an idle connection, or on a new one if there is none or the idle one brings no answer.
async fn ask_on_a_connection<D>(
    cx: &Rc<Context<D>>,
    endpoint: &directory::Endpoint,
    max_connections: u32,
) -> ReportedProcess
where
    D: adapter::Dialect,
{
    let hosts = cx.shared.view().hosts;
    let acquired = cx.pool.acquire(endpoint, false, max_connections, hosts);
    let Ok(mut connection) = acquired.await else {
        return ReportedProcess::NoAnswer;
    };
    let is_reused = !connection.is_new();
    let mut reported = ask_and_record(cx, &mut connection, endpoint).await;
    if reported == ReportedProcess::NoAnswer && is_reused {
        drop(connection);
        let opened = cx.pool.open(endpoint, max_connections, hosts).await;
        let Ok(opened) = opened else {
            return ReportedProcess::NoAnswer;
        };
        connection = opened;
        reported = ask_and_record(cx, &mut connection, endpoint).await;
    }
    if connection.is_free() {
        connection.release(None);
    }
    reported
}

/// Asks the process at the other end of a connection for its report, and tells both threads what it shows.
pub(super) async fn ask_and_record<D>(
    cx: &Context<D>,
    connection: &mut pool::Connection,
    endpoint: &directory::Endpoint,
) -> ReportedProcess
where
    D: adapter::Dialect,
{
    let asked_at = clock::now();
    let reported = endpoint_report::ask(cx, connection, endpoint).await;
    let sign = match reported {
        ReportedProcess::Same => {
            connection.set_reported(pool::Reported::Listed);
            streams::LifeSign::Alive(asked_at)
        }
        ReportedProcess::Other { started_at_ms } => {
            connection.set_reported(pool::Reported::Other { started_at_ms });
            streams::LifeSign::Ended
        }
        ReportedProcess::Unknown => {
            let mut endpoints = cx.endpoints.borrow_mut();
            endpoints.record_report(&endpoint.identity, true);
            return reported;
        }
        ReportedProcess::NoAnswer => return reported,
    };
    let mut endpoints = cx.endpoints.borrow_mut();
    endpoints.record_report(&endpoint.identity, false);
    drop(endpoints);
    record(cx, &endpoint.identity, sign);
    reported
}

/// Records what a report or an answer has shown, for this thread and for the control thread.
pub(super) fn record<D>(cx: &Context<D>, identity: &directory::Identity, sign: streams::LifeSign) {
    cx.endpoints
        .borrow_mut()
        .record_sign(identity, sign, clock::now());
    cx.shared.observed_signs.push(shared::ObservedSign {
        endpoint: identity.clone(),
        sign,
    });
}
