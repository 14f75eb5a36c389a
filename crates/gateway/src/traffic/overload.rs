//! Whether and when prompts are sent to services with engines, by `core::overload`.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use pistachiochute_core::choice::load;
use pistachiochute_core::membership::load_reports;
use pistachiochute_core::overload::{AccountKey, Ask, Gate, Limit, Ticket, Verdict, Verdicts};
use pistachiochute_core::{catalog, time};
use pistachiochute_runtime::{clock, metrics};
use tokio::sync::oneshot;

use crate::traffic::Context;
use crate::traffic::event_stream::RequestState;
use crate::{adapter, events};

/// Interval at which requests that wait are looked at, if nothing else happens.
const LINE_INTERVAL: Duration = Duration::from_millis(20);

/// Time without a change of the others' load after which it counts as unknown.
const STALE_AFTER: Duration = Duration::from_secs(1);

/// Gates of all services with engines that had a request.
#[derive(Debug, Default)]
pub(super) struct Gates {
    services: RefCell<HashMap<Arc<str>, ServiceGate>>,
    next: Cell<u64>,
    /// Whether a task looks after requests that wait.
    is_line_watched: Cell<bool>,
    reports: RefCell<Reports>,
}

/// Gate of one service, and the requests that wait for its verdicts.
#[derive(Debug, Default)]
struct ServiceGate {
    gate: Gate,
    waiting: HashMap<Ticket, oneshot::Sender<Verdict>>,
    /// Of the catalog of this version: all accounts, and the longest target latency of the routes.
    version: Option<catalog::Version>,
    accounts: Vec<AccountKey>,
    longest_target: Option<Duration>,
}

/// Load of the other hosts, and when it last changed.
#[derive(Debug, Default)]
struct Reports {
    last: Arc<load_reports::WorkByEndpoint>,
    changed_at: time::Time,
}

impl Reports {
    /// Whether other hosts' reports arrive.
    fn observe(&mut self, others: &Arc<load_reports::WorkByEndpoint>, now: time::Time) -> bool {
        if self.last != *others {
            self.last = others.clone();
            self.changed_at = now;
        }
        now.since(self.changed_at) < STALE_AFTER
    }
}

/// Key of an account at a service. It is also the hash by which hosts report its load.
fn account_key(service: &str, account: &str) -> AccountKey {
    let seed = xxhash_rust::xxh3::xxh3_64(service.as_bytes());
    AccountKey(xxhash_rust::xxh3::xxh3_64_with_seed(
        account.as_bytes(),
        seed,
    ))
}

impl ServiceGate {
    /// Takes what the gate needs from a catalog, if it is another one than before.
    fn update(&mut self, service: &str, catalog: &catalog::Catalog) {
        if self.version == Some(catalog.version()) {
            return;
        }
        self.version = Some(catalog.version());
        let content = catalog.content();
        let accounts = content.accounts.as_slice().iter();
        self.accounts = accounts.map(|a| account_key(service, &a.name)).collect();
        let is_target = |t: &catalog::Target| *catalog.service(t.service).name == *service;
        let routes = content.routes.iter();
        let routes = routes.filter(|route| route.targets.iter().any(is_target));
        self.longest_target = routes.filter_map(|route| route.target_latency).max();
    }

    /// Hands verdicts to the requests that wait for them.
    fn deliver(&mut self, verdicts: Verdicts) {
        for (ticket, verdict) in verdicts {
            if let Some(tx) = self.waiting.remove(&ticket) {
                // A request that has gone looks for its verdict when it is dropped.
                tx.send(verdict).ok();
            }
        }
    }
}

/// Place of a request. It ends when it is dropped, which also happens when the caller disconnects.
pub(super) struct Place<D>
where
    D: adapter::Dialect,
{
    cx: Rc<Context<D>>,
    service: Arc<str>,
    account: AccountKey,
    since: time::Time,
}

impl<D> Drop for Place<D>
where
    D: adapter::Dialect,
{
    fn drop(&mut self) {
        let now = clock::now();
        let mut services = self.cx.overload.services.borrow_mut();
        if let Some(service) = services.get_mut(&self.service) {
            service.gate.end(self.account, now.since(self.since));
            let verdicts = service.gate.advance(now);
            service.deliver(verdicts);
        }
    }
}

/// A request that waits for its verdict.
struct Waiter<'a, D>
where
    D: adapter::Dialect,
{
    cx: &'a Rc<Context<D>>,
    service: Arc<str>,
    ask: Ask,
    rx: oneshot::Receiver<Verdict>,
}

impl<D> Drop for Waiter<'_, D>
where
    D: adapter::Dialect,
{
    fn drop(&mut self) {
        let mut services = self.cx.overload.services.borrow_mut();
        let Some(service) = services.get_mut(&self.service) else {
            return;
        };
        service.waiting.remove(&self.ask.ticket);
        service.gate.withdraw(self.ask.ticket);
        // A verdict that nobody has taken any more.
        if self.rx.try_recv() == Ok(Verdict::Run) {
            service.gate.cancel(self.ask.account);
        }
    }
}

/// Waits until a request may be sent, for as long as its caller can use. Returns the time after which a
/// place is expected if the request may not be sent.
pub(super) async fn admit<D>(
    cx: &Rc<Context<D>>,
    state: &mut RequestState<D>,
) -> Result<(), Duration>
where
    D: adapter::Dialect,
{
    let plan = &state.plan;
    let service = plan.service();
    let has_engines = service.memory_tokens.is_some();
    if state.place.is_some() || plan.choice_request.prompt.is_none() || !has_engines {
        return Ok(());
    }
    let asked_at = clock::now();
    let ask = Ask {
        ticket: Ticket(cx.overload.next.replace(cx.overload.next.get() + 1)),
        account: account_key(&service.name, plan.account.as_deref().unwrap_or("")),
        priority: plan.priority,
        target: plan.route.target_latency,
        deadline: plan.deadline.at(),
    };
    // What goes on with what has run before, or was passed on by another host, does not wait.
    let goes_on = state.version.is_some() || !state.may_be_forwarded();
    let (verdict, by) = match goes_on {
        true => {
            let mut services = cx.overload.services.borrow_mut();
            let service = services.entry(service.name.clone()).or_default();
            service.gate.admit_always(ask.account);
            (Verdict::Run, None)
        }
        false => decide(cx, &service.name, ask, asked_at).await,
    };
    if let Some(by) = by {
        log(cx, state, ask.account, (verdict, by, asked_at));
    }
    match verdict {
        Verdict::Run => {
            state.place = Some(Place {
                cx: cx.clone(),
                service: state.plan.service().name.clone(),
                account: ask.account,
                since: clock::now(),
            });
            Ok(())
        }
        Verdict::Hold(_) => Err(Duration::ZERO),
        Verdict::Refuse { retry_after, .. } => Err(retry_after),
    }
}

/// Asks the gate, and waits for its final verdict. Also returns what held the request back.
async fn decide<D>(
    cx: &Rc<Context<D>>,
    name: &Arc<str>,
    ask: Ask,
    now: time::Time,
) -> (Verdict, Option<Limit>)
where
    D: adapter::Dialect,
{
    let (tx, rx) = oneshot::channel();
    let by = {
        let mut services = cx.overload.services.borrow_mut();
        let service = services.entry(name.clone()).or_default();
        let mut verdicts = service.gate.admit(ask, now);
        let own = verdicts.extract_if(.., |(ticket, _)| *ticket == ask.ticket);
        let own = own.last().map(|(_, verdict)| verdict);
        service.deliver(verdicts);
        match own {
            Some(Verdict::Hold(by)) => {
                service.waiting.insert(ask.ticket, tx);
                by
            }
            Some(Verdict::Refuse { by, .. }) => return (own.expect("matched"), Some(by)),
            Some(Verdict::Run) | None => return (Verdict::Run, None),
        }
    };
    watch_line(cx);
    let mut waiter = Waiter {
        cx,
        service: name.clone(),
        ask,
        rx,
    };
    let verdict = (&mut waiter.rx).await;
    let refusal = Verdict::Refuse {
        by,
        retry_after: Duration::ZERO,
    };
    (verdict.unwrap_or(refusal), Some(by))
}

/// Looks after requests that wait until none does.
fn watch_line<D>(cx: &Rc<Context<D>>)
where
    D: adapter::Dialect,
{
    if cx.overload.is_line_watched.replace(true) {
        return;
    }
    let cx = cx.clone();
    tokio::task::spawn_local(async move {
        let mut waits = true;
        while waits {
            tokio::time::sleep(LINE_INTERVAL).await;
            let now = clock::now();
            let mut services = cx.overload.services.borrow_mut();
            for service in services.values_mut() {
                let verdicts = service.gate.advance(now);
                service.deliver(verdicts);
            }
            waits = services.values().any(|service| service.gate.waiting() > 0);
        }
        cx.overload.is_line_watched.set(false);
    });
}

/// Observes the load of the services. Returns the load of the largest accounts at overloaded ones, which
/// other hosts are to know of.
pub(super) fn tick<D>(cx: &Rc<Context<D>>, now: time::Time) -> Vec<load::EndpointLoad>
where
    D: adapter::Dialect,
{
    let mut services = cx.overload.services.borrow_mut();
    if services.is_empty() {
        return Vec::new();
    }
    let view = cx.shared.view();
    let others = cx.shared.remote_loads();
    let is_fresh = cx.overload.reports.borrow_mut().observe(&others, now) || view.hosts <= 1;
    let mut endpoints = cx.endpoints.borrow_mut();
    endpoints.update(&view, now);
    let mut loads = Vec::new();
    for (name, service) in services.iter_mut() {
        if let Some(catalog) = &view.catalog {
            service.update(name, catalog);
        }
        let mut fleet = endpoints.fleet_load(name, &others, now);
        fleet.is_fresh = is_fresh;
        fleet.hosts = view.hosts;
        fleet.longest_target = service.longest_target;
        let reported = |key: &AccountKey| Some((*key, others.get(&key.0)?.requests));
        fleet.others = service.accounts.iter().filter_map(reported).collect();
        if service.gate.observe(fleet, now) {
            cx.events.service_overload(name, &service.gate);
            if service.gate.is_overloaded() {
                cx.metrics.decided(metrics::Decision::ServiceOverloaded);
            }
        }
        let verdicts = service.gate.advance(now);
        service.deliver(verdicts);
        let accounts = service.gate.reported_accounts().into_iter();
        loads.extend(accounts.map(|(key, requests)| load::EndpointLoad {
            endpoint: key.0,
            work: load::Work {
                requests,
                unread_tokens: 0,
            },
        }));
    }
    loads
}

/// Logs and counts a request that did not run at once.
fn log<D>(
    cx: &Rc<Context<D>>,
    state: &RequestState<D>,
    account: AccountKey,
    (verdict, by, asked_at): (Verdict, Limit, time::Time),
) where
    D: adapter::Dialect,
{
    let decision = match verdict {
        Verdict::Run => metrics::Decision::PromptWaited,
        Verdict::Hold(_) | Verdict::Refuse { .. } => metrics::Decision::PromptRefused,
    };
    cx.metrics.decided(decision);
    let services = cx.overload.services.borrow();
    let service = &state.plan.service().name;
    let gate = services.get(service).map(|service| &service.gate);
    cx.events
        .prompt_admission(&events::PromptAdmissionLogEntry {
            request: &String::from_utf8_lossy(&state.outgoing.id),
            service,
            account: state.plan.account.as_deref().unwrap_or(""),
            result: decision.as_str(),
            limit: by.as_str(),
            waited: clock::now().since(asked_at),
            account_in_flight: gate.map_or(0, |gate| gate.held_by(account)),
            fair_share: gate.map_or(0.0, Gate::fair_share),
        });
}
