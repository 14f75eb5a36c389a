//! Work that runs and waits at one endpoint.

use std::collections::BTreeMap;

use crate::owner::{AttemptId, Effect, Effects, Work};
use crate::{name, queue, reason, time, units};

#[derive(Debug)]
struct Running {
    account: name::AccountName,
    weight: u32,
    cost: units::Tokens,
}

/// Work at one endpoint.
#[derive(Debug)]
pub struct Station {
    /// Requests that the endpoint runs at once.
    slots: usize,
    open: bool,
    running: BTreeMap<AttemptId, Running>,
    /// Estimated work that runs. Invariant: the sum over `running`.
    running_cost: units::Tokens,
    queue: queue::FairQueue<AttemptId>,
}

impl Station {
    pub fn new(bounds: queue::Bounds) -> Self {
        Self {
            slots: 0,
            open: true,
            running: BTreeMap::new(),
            running_cost: units::Tokens::ZERO,
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

    pub fn load(&self) -> units::Tokens {
        self.running_cost + self.queue.cost()
    }

    /// Dispatches, queues or refuses new work. `bound` is the largest load with the work.
    pub fn offer(&mut self, now: time::Time, work: Work, bound: units::Tokens) -> Effects {
        let within = self.load() + work.cost <= bound;
        if within && self.queue.is_empty() && self.running.len() < self.slots {
            let id = work.id;
            self.start(id, work.account, work.weight, work.cost);
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
            item: id,
        };
        let mut effects = Effects::new();
        match self.queue.push(now, entry) {
            Ok(displaced) => {
                effects.push(Effect::Queued { id, ahead });
                effects.extend(displaced.map(refused));
            }
            Err(refused_entry) => effects.push(refused(refused_entry)),
        }
        self.fill(now, &mut effects);
        effects
    }

    pub fn finish(
        &mut self,
        now: time::Time,
        id: AttemptId,
        used: Option<units::Tokens>,
    ) -> Effects {
        let mut effects = Effects::new();
        let Some(ended) = self.running.remove(&id) else {
            return effects;
        };
        self.running_cost -= ended.cost;
        if let Some(used) = used {
            self.queue
                .correct(&ended.account, ended.weight, ended.cost, used);
        }
        self.fill(now, &mut effects);
        effects
    }

    pub fn abandon(&mut self, id: AttemptId) -> bool {
        !self.queue.remove(|&queued| queued == id).is_empty()
    }

    pub fn expire(&mut self, now: time::Time) -> Effects {
        self.queue.expire(now).into_iter().map(refused).collect()
    }

    pub fn shut(&mut self, reason: reason::Refusal) -> Effects {
        self.open = false;
        let waiting = self.queue.remove(|_| true);
        let refuse = |entry: queue::Entry<AttemptId>| Effect::Refuse {
            id: entry.item,
            reason,
            retry_after: None,
        };
        waiting.into_iter().map(refuse).collect()
    }

    /// Starts queued work while slots are free.
    fn fill(&mut self, now: time::Time, effects: &mut Effects) {
        while self.running.len() < self.slots {
            let popped = self.queue.pop(now);
            effects.extend(popped.refused.into_iter().map(refused));
            let Some(entry) = popped.next else { return };
            self.start(entry.item, entry.account, entry.weight, entry.cost);
            effects.push(Effect::Dispatch(entry.item));
        }
    }

    fn start(
        &mut self,
        id: AttemptId,
        account: name::AccountName,
        weight: u32,
        cost: units::Tokens,
    ) {
        self.running_cost += cost;
        self.running.insert(
            id,
            Running {
                account,
                weight,
                cost,
            },
        );
    }
}

fn refused(refused: queue::Refused<AttemptId>) -> Effect {
    Effect::Refuse {
        id: refused.entry.item,
        reason: refused.reason,
        retry_after: Some(refused.retry_after),
    }
}
