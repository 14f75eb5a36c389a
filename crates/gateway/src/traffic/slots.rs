//! Slots of endpoints that one host schedules for all: asks for them, and answers hosts that ask.

mod answering;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use pistachiochute_core::call_slots::{Answer, Asker, QUEUED_TIMEOUT, Scheduler, placement};
use pistachiochute_core::time;
use pistachiochute_messages::datagram::{Content, Number};
use pistachiochute_runtime::{clock, metrics};
use tokio::sync::mpsc;

use crate::traffic::event_stream::RequestState;
use crate::traffic::{Context, endpoints};
use crate::{adapter, events, shared};

pub(super) use answering::receive;

/// Answers to one question that wait for its request. Those beyond are dropped, as if lost.
const MAX_WAITING_ANSWERS: usize = 4;

/// Time to a slot from which on its request counts as one that waited: beyond what an answer takes.
const LOGGED_WAIT: Duration = Duration::from_millis(40);

/// State of this host as one that asks and as one that schedules.
#[derive(Debug, Default)]
pub(super) struct Slots {
    /// Number of the last question. Begins with the time, so that a host that restarts does not repeat
    /// numbers of its last process.
    last: Cell<Option<Number>>,
    /// Questions that wait for answers, or whose requests have slots.
    questions: RefCell<HashMap<Number, mpsc::Sender<Answer>>>,
    /// What is known of each scheduler, by the hash of its host.
    askers: RefCell<HashMap<u64, Asker>>,
    /// Groups that this host schedules.
    schedulers: RefCell<HashMap<placement::Group, Scheduler>>,
    /// Whether a task looks after requests that wait.
    is_line_watched: Cell<bool>,
}

impl Slots {
    fn next_number(&self) -> Number {
        let first = || Number(clock::now().as_micros() as u32);
        let number = self.last.get().unwrap_or_else(first).next();
        self.last.set(Some(number));
        number
    }
}

/// A slot, or a question for one. It is given back when it is dropped, which also happens when the caller
/// disconnects.
pub(super) struct Slot<D>
where
    D: adapter::Dialect,
{
    cx: Rc<Context<D>>,
    scheduler: u64,
    group: placement::Group,
    number: Number,
}

impl<D> Drop for Slot<D>
where
    D: adapter::Dialect,
{
    fn drop(&mut self) {
        let cx = &self.cx;
        cx.slots.questions.borrow_mut().remove(&self.number);
        let content = Content::ReleaseSlot {
            group: self.group.0,
            number: self.number,
        };
        send(cx, self.scheduler, content);
    }
}

/// What came of a question.
pub(super) enum Acquired<D>
where
    D: adapter::Dialect,
{
    /// The request has a slot of this endpoint, as long as the slot is kept.
    Slot(Box<endpoints::SelectedEndpoint>, Slot<D>),
    /// The host chooses an endpoint itself.
    OwnChoice,
    /// No slot is free in time. One is expected to be after this time.
    Refused(Duration),
}

/// Asks for a slot for the next attempt of a request, if the slots of its service are scheduled, and waits
/// for one.
pub(super) async fn acquire<D>(cx: &Rc<Context<D>>, state: &RequestState<D>) -> Acquired<D>
where
    D: adapter::Dialect,
{
    let asked_at = clock::now();
    let Some(question) = question(cx, state, asked_at) else {
        return Acquired::OwnChoice;
    };
    let scheduler = placement::scheduler(question.group, &cx.shared.view().host_hashes);
    let Some(scheduler) = scheduler else {
        return Acquired::OwnChoice;
    };
    let asker = cx.slots.askers.borrow().get(&scheduler).copied();
    let asker = asker.unwrap_or_default();
    if !asker.may_ask(asked_at) {
        cx.metrics.decided(metrics::Decision::SlotNotAsked);
        return Acquired::OwnChoice;
    }
    let (tx, rx) = mpsc::channel(MAX_WAITING_ANSWERS);
    let slot = Slot {
        cx: cx.clone(),
        scheduler,
        group: question.group,
        number: cx.slots.next_number(),
    };
    cx.slots.questions.borrow_mut().insert(slot.number, tx);
    let content = ask_content(cx, state, &question, (slot.number, asked_at));
    send(cx, scheduler, content);
    let result = wait(cx, &slot, rx, asker.answer_time()).await;
    conclude(cx, state, slot, (result, asked_at))
}

/// What a request asks for, if the slots of its service are scheduled.
fn question<D>(
    cx: &Rc<Context<D>>,
    state: &RequestState<D>,
    now: time::Time,
) -> Option<endpoints::SlotQuestion>
where
    D: adapter::Dialect,
{
    let plan = &state.plan;
    let service = plan.service();
    let is_call = plan.choice_request.prompt.is_none() && !plan.route.kind.is_stream();
    let is_worth_asking = placement::is_worth_asking(plan.route.target_latency);
    if !is_call || !is_worth_asking || service.memory_tokens.is_some() {
        return None;
    }
    let mut endpoints = cx.endpoints.borrow_mut();
    endpoints.update(&cx.shared.view(), now);
    let seed = plan.choice_request.seed;
    let may_be_cold = service.cold_rate.is_some();
    endpoints.slot_question(&service.name, seed, &state.eligibility(), may_be_cold, now)
}

fn ask_content<D>(
    cx: &Rc<Context<D>>,
    state: &RequestState<D>,
    question: &endpoints::SlotQuestion,
    (number, now): (Number, time::Time),
) -> Content
where
    D: adapter::Dialect,
{
    let plan = &state.plan;
    let remaining = plan.deadline.remaining(now).unwrap_or_default();
    Content::AskSlot {
        number,
        group: question.group.0,
        account: plan.account.as_deref().map_or(0, shared::host_hash),
        domain: shared::host_hash(&cx.domain),
        priority: plan.priority,
        remaining_ms: u32::try_from(remaining.as_millis()).unwrap_or(u32::MAX),
        excluded: question.excluded.to_vec(),
    }
}

/// Waits for the final answer to a question. `None` if the scheduler falls silent.
async fn wait<D>(
    cx: &Rc<Context<D>>,
    slot: &Slot<D>,
    mut rx: mpsc::Receiver<Answer>,
    answer_time: Duration,
) -> Option<Answer>
where
    D: adapter::Dialect,
{
    let asked_at = clock::now();
    let mut limit = answer_time;
    let mut is_first = true;
    loop {
        let answer = tokio::time::timeout(limit, rx.recv()).await.ok().flatten();
        let now = clock::now();
        let mut askers = cx.slots.askers.borrow_mut();
        let asker = askers.entry(slot.scheduler).or_default();
        match answer {
            Some(_) if std::mem::take(&mut is_first) => asker.record_answer(now.since(asked_at)),
            Some(_) => {}
            None => {
                asker.record_silence(now);
                let hosts = &cx.shared.view().host_hashes;
                askers.retain(|host, _| hosts.contains(host));
            }
        }
        match answer {
            Some(Answer::Queued) => limit = QUEUED_TIMEOUT,
            answer => return answer,
        }
    }
}

/// Decides what follows the answer to a question, and counts it.
fn conclude<D>(
    cx: &Rc<Context<D>>,
    state: &RequestState<D>,
    slot: Slot<D>,
    (answer, asked_at): (Option<Answer>, time::Time),
) -> Acquired<D>
where
    D: adapter::Dialect,
{
    let now = clock::now();
    let waited = now.since(asked_at);
    let (decision, acquired) = match answer {
        Some(Answer::Slot(endpoint)) => match select(cx, state, endpoint, now) {
            Some(selected) => {
                let decision = match waited < LOGGED_WAIT {
                    true => metrics::Decision::SlotGranted,
                    false => metrics::Decision::SlotWaited,
                };
                (decision, Acquired::Slot(Box::new(selected), slot))
            }
            None => (metrics::Decision::SlotUnknown, Acquired::OwnChoice),
        },
        Some(Answer::Full(wait)) => (metrics::Decision::SlotRefused, Acquired::Refused(wait)),
        Some(Answer::Unknown | Answer::Queued) => {
            (metrics::Decision::SlotUnknown, Acquired::OwnChoice)
        }
        None => (metrics::Decision::SlotUnanswered, Acquired::OwnChoice),
    };
    cx.metrics.decided(decision);
    if decision != metrics::Decision::SlotGranted {
        cx.events.call_slot(&events::CallSlotLogEntry {
            request: &String::from_utf8_lossy(&state.outgoing.id),
            service: &state.plan.service().name,
            account: state.plan.account.as_deref().unwrap_or(""),
            result: decision.as_str(),
            waited,
        });
    }
    acquired
}

/// The endpoint of a slot, unless it is closed to this host.
fn select<D>(
    cx: &Rc<Context<D>>,
    state: &RequestState<D>,
    endpoint: u64,
    now: time::Time,
) -> Option<endpoints::SelectedEndpoint>
where
    D: adapter::Dialect,
{
    let mut endpoints = cx.endpoints.borrow_mut();
    endpoints.update(&cx.shared.view(), now);
    endpoints.confirm_list(cx.shared.endpoints_confirmed_at());
    let eligibility = endpoints::Eligibility {
        only: Some(endpoints.id_of_hash(endpoint)?),
        // Nobody is asked twice for one call.
        may_ask: false,
        ..state.eligibility()
    };
    let service = &state.plan.service().name;
    let request = &state.plan.choice_request;
    endpoints.select(
        service,
        request,
        &cx.shared.remote_loads(),
        &eligibility,
        now,
    )
}

/// Sends a datagram about slots to a host, which may be this one.
fn send<D>(cx: &Rc<Context<D>>, to: u64, content: Content)
where
    D: adapter::Dialect,
{
    if to == cx.datagrams.own() {
        return receive(cx, to, content);
    }
    let view = cx.shared.view();
    if let Some(peer) = view.peers.iter().find(|peer| peer.hash == to) {
        cx.datagrams.send(peer, content);
    }
}
