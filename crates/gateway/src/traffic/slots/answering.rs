//! Answers questions of hosts for slots, and takes answers for the questions of this one.

use std::rc::Rc;
use std::time::Duration;

use pistachiochute_core::call_slots::{Answer, Ask, Ticket, placement};
use pistachiochute_messages::datagram::{Content, Number};
use pistachiochute_runtime::clock;
use smallvec::SmallVec;

use super::send;
use crate::adapter;
use crate::traffic::Context;

/// Interval at which requests that wait are looked at, if nothing else happens.
const LINE_INTERVAL: Duration = Duration::from_millis(10);

/// Receives what a host, which may be this one, says of slots.
pub(in crate::traffic) fn receive<D>(cx: &Rc<Context<D>>, from: u64, content: Content)
where
    D: adapter::Dialect,
{
    match content {
        Content::AskSlot {
            number,
            group,
            account,
            domain,
            priority,
            remaining_ms,
            excluded,
        } => {
            let group = placement::Group(group);
            let now = clock::now();
            let target_latency = cx.endpoints.borrow().slot_target_latency(group);
            let ask = Ask {
                ticket: Ticket {
                    host: from,
                    number: number.0,
                },
                account,
                domain,
                priority,
                deadline: now + Duration::from_millis(u64::from(remaining_ms)),
                target: target_latency.map(|latency| now + latency),
                excluded: SmallVec::from_vec(excluded),
            };
            schedule(cx, group, Event::Ask(ask));
        }
        Content::ReleaseSlot { group, number } => {
            let ticket = Ticket {
                host: from,
                number: number.0,
            };
            schedule(cx, placement::Group(group), Event::Release(ticket));
        }
        Content::Slot { number, endpoint } => take(cx, number, Answer::Slot(endpoint)),
        Content::SlotQueued { number } => take(cx, number, Answer::Queued),
        Content::NoSlot { number, retry_ms } => {
            let answer = match retry_ms {
                0 => Answer::Unknown,
                ms => Answer::Full(Duration::from_millis(u64::from(ms))),
            };
            take(cx, number, answer);
        }
        Content::Delegate { .. }
        | Content::Delegated { .. }
        | Content::AskPermit { .. }
        | Content::Permit { .. }
        | Content::NoPermit { .. }
        | Content::RecordPart(_)
        | Content::FindPart { .. }
        | Content::PartHolders { .. } => {}
    }
}

/// Hands an answer to the request that waits for it. An answer that nobody waits for needs nothing: the
/// request has given back its slot when it stopped waiting.
fn take<D>(cx: &Rc<Context<D>>, number: Number, answer: Answer) {
    if let Some(tx) = cx.slots.questions.borrow().get(&number) {
        // One that does not fit counts as lost.
        tx.try_send(answer).ok();
    }
}

/// What happens at a scheduler.
enum Event {
    Ask(Ask),
    Release(Ticket),
    /// Time passes.
    Tick,
}

/// Tells the scheduler of a group what happens, and sends its answers.
fn schedule<D>(cx: &Rc<Context<D>>, group: placement::Group, event: Event)
where
    D: adapter::Dialect,
{
    let now = clock::now();
    let endpoints = {
        let mut table = cx.endpoints.borrow_mut();
        table.update(&cx.shared.view(), now);
        let others = cx.shared.remote_loads();
        table
            .has_slot_group(group)
            .then(|| table.slot_endpoints(group, &others, now))
    };
    let Some(endpoints) = endpoints else {
        cx.slots.schedulers.borrow_mut().remove(&group);
        if let Event::Ask(ask) = event {
            answer(cx, ask.ticket, Answer::Unknown);
        }
        return;
    };
    let (answers, is_anyone_waiting) = {
        let mut schedulers = cx.slots.schedulers.borrow_mut();
        let scheduler = schedulers.entry(group).or_default();
        let answers = match event {
            Event::Ask(ask) => scheduler.ask(ask, &endpoints, now),
            Event::Release(ticket) => scheduler.release(ticket, &endpoints, now),
            Event::Tick => scheduler.advance(&endpoints, now),
        };
        (answers, scheduler.waiting() > 0)
    };
    for (ticket, content) in answers {
        answer(cx, ticket, content);
    }
    if is_anyone_waiting && !cx.slots.is_line_watched.replace(true) {
        tokio::task::spawn_local(watch_lines(cx.clone()));
    }
}

/// Looks at the requests that wait until none does.
async fn watch_lines<D>(cx: Rc<Context<D>>)
where
    D: adapter::Dialect,
{
    loop {
        tokio::time::sleep(LINE_INTERVAL).await;
        let groups: Vec<_> = {
            let schedulers = cx.slots.schedulers.borrow();
            let waiting = schedulers.iter().filter(|(_, s)| s.waiting() > 0);
            waiting.map(|(group, _)| *group).collect()
        };
        if groups.is_empty() {
            cx.slots.is_line_watched.set(false);
            return;
        }
        for group in groups {
            schedule(&cx, group, Event::Tick);
        }
    }
}

fn answer<D>(cx: &Rc<Context<D>>, to: Ticket, answer: Answer)
where
    D: adapter::Dialect,
{
    let number = Number(to.number);
    let content = match answer {
        Answer::Slot(endpoint) => Content::Slot { number, endpoint },
        Answer::Queued => Content::SlotQueued { number },
        Answer::Full(wait) => Content::NoSlot {
            number,
            retry_ms: millis_at_least_one(wait),
        },
        Answer::Unknown => Content::NoSlot {
            number,
            retry_ms: 0,
        },
    };
    send(cx, to.host, content);
}

/// Milliseconds of a span, rounded up, since zero has a meaning of its own.
fn millis_at_least_one(span: Duration) -> u32 {
    let millis = u32::try_from(span.as_micros().div_ceil(1_000));
    millis.unwrap_or(u32::MAX).max(1)
}
