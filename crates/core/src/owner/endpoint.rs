//! State of one owned endpoint: running and queued work.

use std::collections::BTreeMap;

use smallvec::SmallVec;

use crate::owner::{AttemptId, Effect, Effects, Work};
use crate::{entity, name, queue, reason, time, units};

#[derive(Debug)]
struct Running {
    account: name::AccountName,
    weight: u32,
    cost: units::Tokens,
    load: u64,
}

/// Queued work.
#[derive(Debug)]
pub struct Waiting {
    pub id: AttemptId,
    /// Estimated load, in the unit of the endpoint's class.
    pub load: u64,
    /// Endpoints whose mean load the bound is relative to.
    pub pool: SmallVec<[entity::EndpointId; 8]>,
}

/// Running and queued work at one endpoint.
#[derive(Debug)]
pub struct EndpointState {
    /// Requests that the endpoint runs concurrently.
    slots: usize,
    open: bool,
    running: BTreeMap<AttemptId, Running>,
    queue: queue::FairQueue<Waiting>,
}

impl EndpointState {
    pub fn new(bounds: queue::Bounds) -> Self {
        Self {
            slots: 0,
            open: true,
            running: BTreeMap::new(),
            queue: queue::FairQueue::new(bounds),
        }
    }

    pub fn set_slots(&mut self, slots: u32) {
        self.slots = slots as usize;
        self.open = true;
    }

    pub fn is_open(&self) -> bool {
        self.open
    }

    pub fn is_idle(&self) -> bool {
        self.len() == 0
    }

    pub fn len(&self) -> usize {
        self.running.len() + self.queue.len()
    }

    /// Estimated load of the running work.
    pub fn running_load(&self) -> u64 {
        self.running.values().map(|running| running.load).sum()
    }

    pub fn has_queued(&self) -> bool {
        !self.queue.is_empty()
    }

    /// Dispatches, queues or refuses new work. `fits` is whether the load bound allows it now.
    pub fn offer(&mut self, now: time::Time, work: Work, fits: bool) -> Effects {
        if fits && self.queue.is_empty() && self.running.len() < self.slots {
            let id = work.id;
            let running = Running {
                account: work.account,
                weight: work.weight,
                cost: work.cost,
                load: work.load,
            };
            self.running.insert(id, running);
            return smallvec::smallvec![Effect::Dispatch(id)];
        }
        if !work.may_queue {
            return super::refuse(work.id, reason::Refusal::AtBound);
        }
        self.enqueue(now, work)
    }

    fn enqueue(&mut self, now: time::Time, work: Work) -> Effects {
        let id = work.id;
        let ahead = self.queue.len() as u32;
        let entry = queue::Entry {
            account: work.account,
            weight: work.weight,
            priority: work.priority,
            cost: work.cost,
            deadline: work.deadline,
            item: Waiting {
                id,
                load: work.load,
                pool: work.pool,
            },
        };
        let mut effects = Effects::new();
        match self.queue.push(now, entry) {
            Ok(displaced) => {
                effects.push(Effect::Queued { id, ahead });
                effects.extend(displaced.map(refused));
            }
            Err(refused_entry) => effects.push(refused(refused_entry)),
        }
        effects
    }

    /// Ends running work and returns its load, or `None` if it is not running.
    pub fn finish(&mut self, id: AttemptId, used: Option<units::Tokens>) -> Option<u64> {
        let ended = self.running.remove(&id)?;
        if let Some(used) = used {
            self.queue
                .correct(&ended.account, ended.weight, ended.cost, used);
        }
        Some(ended.load)
    }

    pub fn cancel(&mut self, id: AttemptId) -> bool {
        !self.queue.remove(|queued| queued.id == id).is_empty()
    }

    pub fn expire(&mut self, now: time::Time) -> Effects {
        self.queue.expire(now).into_iter().map(refused).collect()
    }

    pub fn close(&mut self, reason: reason::Refusal) -> Effects {
        self.open = false;
        let refuse = |entry: queue::Entry<Waiting>| Effect::Refuse {
            id: entry.item.id,
            reason,
            retry_after: None,
        };
        self.queue.drain().into_iter().map(refuse).collect()
    }

    /// Queued work to start next, or `None` if no slot is free.
    pub fn next_startable(&self) -> Option<&Waiting> {
        let free = self.running.len() < self.slots;
        self.queue.next_item().filter(|_| free)
    }

    /// Starts the next queued work and returns its load, or `None` if no entry can start before
    /// its deadline.
    pub fn start_next(&mut self, now: time::Time, effects: &mut Effects) -> Option<u64> {
        let popped = self.queue.pop(now);
        effects.extend(popped.refused.into_iter().map(refused));
        let entry = popped.next?;
        let load = entry.item.load;
        let running = Running {
            account: entry.account,
            weight: entry.weight,
            cost: entry.cost,
            load,
        };
        effects.push(Effect::Dispatch(entry.item.id));
        self.running.insert(entry.item.id, running);
        Some(load)
    }
}

fn refused(refused: queue::Refused<Waiting>) -> Effect {
    Effect::Refuse {
        id: refused.entry.item.id,
        reason: refused.reason,
        retry_after: Some(refused.retry_after),
    }
}
