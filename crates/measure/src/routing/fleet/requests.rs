//! Requests: routed, admitted, run and ended.

use std::time::Duration;

use pistachiochute_core::entity::Entity as _;
use pistachiochute_core::routing::{router, spill};
use pistachiochute_core::{entity, time, units};

use super::{Event, Fleet, RETRY_DELAY};
use crate::routing::plain;

impl Fleet<'_> {
    /// Sends a request to the owner of its first candidate, which decides.
    pub(super) fn route(&mut self, number: usize, now: time::Time) {
        let arrival = self.trace[number];
        let entry = self.world.entry(arrival.entry);
        let order = self.world.candidates(entry, arrival.chat);
        let Some(home) = order.first().copied() else {
            return;
        };
        let Some(decider) = self.world.owner_seen_by(entry, home) else {
            return;
        };
        self.forward_views(entry, decider, now);
        let ask = router::RouteRequest {
            chat: Some(arrival.chat),
            prompt: arrival.prompt,
            cost: arrival.cost(),
            candidates: &order,
            refused: &self.progress[number].refused.clone(),
            may_wait: !self.progress[number].waited,
        };
        match self.owners[decider.index()].decide(&ask, now) {
            Some(spill::Decision::Wait { endpoint, at_most }) => {
                self.wait(number, decider, endpoint, at_most, now);
            }
            Some(way) => self.send(number, decider, home, way, now),
            None => {
                self.progress[number].refused.clear();
                self.progress[number].waited = true;
                self.at(now + RETRY_DELAY, Event::Retry(number));
            }
        }
    }

    pub(super) fn wait(
        &mut self,
        number: usize,
        decider: entity::HostId,
        endpoint: entity::EndpointId,
        at_most: Duration,
        now: time::Time,
    ) {
        self.progress[number].waited = true;
        let owner = self
            .world
            .owner_seen_by(decider, endpoint)
            .unwrap_or(decider);
        self.waiting
            .entry((owner, endpoint))
            .or_default()
            .push(number);
        self.at(now + at_most, Event::WaitOver(number, endpoint));
    }

    pub(super) fn wait_over(
        &mut self,
        number: usize,
        endpoint: entity::EndpointId,
        now: time::Time,
    ) {
        let mut found = false;
        for ((_, at), queue) in &mut self.waiting {
            if *at == endpoint {
                let before = queue.len();
                queue.retain(|waiting| *waiting != number);
                found |= queue.len() < before;
            }
        }
        if found {
            self.route(number, now);
        }
    }

    /// Sends a request on its way. A refusal by the endpoint's owner is decided again.
    pub(super) fn send(
        &mut self,
        number: usize,
        decider: entity::HostId,
        home: entity::EndpointId,
        way: spill::Decision,
        now: time::Time,
    ) {
        let endpoint = way.endpoint();
        let from = match way {
            spill::Decision::Import { from, .. } => Some(from),
            spill::Decision::Send { .. } | spill::Decision::Wait { .. } => None,
        };
        let owner = self
            .world
            .owner_seen_by(decider, endpoint)
            .unwrap_or(decider);
        if self.admit(number, owner, endpoint, from, now) {
            self.note_holder(number, decider, home, endpoint);
        } else {
            self.forward_views(owner, decider, now);
            self.progress[number].refused.push(endpoint);
            self.route(number, now);
        }
    }

    pub(super) fn admit(
        &mut self,
        number: usize,
        owner: entity::HostId,
        endpoint: entity::EndpointId,
        from: Option<entity::EndpointId>,
        now: time::Time,
    ) -> bool {
        let arrival = self.trace[number];
        let tokens = arrival.prompt + arrival.answer;
        let state = &mut self.owners[owner.index()];
        if state
            .admit(endpoint, Some(arrival.chat), tokens, arrival.cost(), now)
            .is_err()
        {
            return false;
        }
        self.begin(number, owner, endpoint, from, now);
        self.loads_changed(owner, now);
        true
    }

    /// Starts a request at its endpoint.
    pub(super) fn begin(
        &mut self,
        number: usize,
        owner: entity::HostId,
        endpoint: entity::EndpointId,
        from: Option<entity::EndpointId>,
        now: time::Time,
    ) {
        let arrival = self.trace[number];
        self.tally.admit(endpoint.index(), arrival.cost(), now);
        let held = self.stores[endpoint.index()]
            .tokens(arrival.chat)
            .min(arrival.history);
        let there = from.map_or(units::Tokens::ZERO, |from| {
            self.stores[from.index()]
                .tokens(arrival.chat)
                .min(arrival.history)
        });
        let imported = there.saturating_sub(held);
        let first_run = self.progress[number].run == 0;
        if first_run && self.tally.counts(arrival.at) {
            self.tally.wait(now.since(arrival.at));
            self.tally.prefix(held, imported);
        }
        let import = self.import_time(endpoint, from, imported);
        let read_s = (arrival.prompt - held - imported).0 as f64 / plain::READ_TOKENS_PER_S;
        let ends = now + import + arrival.generation() + Duration::from_secs_f64(read_s);
        self.hold(endpoint, arrival.chat, arrival.prompt + arrival.answer, now);
        let progress = &mut self.progress[number];
        progress.run += 1;
        progress.runs = Some((owner, endpoint, progress.run));
        let run = progress.run;
        self.at(ends, Event::End(number, run));
    }

    pub(super) fn import_time(
        &mut self,
        endpoint: entity::EndpointId,
        from: Option<entity::EndpointId>,
        tokens: units::Tokens,
    ) -> Duration {
        let Some(from) = from else {
            return Duration::ZERO;
        };
        let link = spill::Settings::default();
        let bytes = tokens.0 * link.kv_bytes_per_token;
        let same = self.world.domain(endpoint) == self.world.domain(from);
        let reuse = &mut self.tally.reuse;
        let (sum, rate) = if same {
            (&mut reuse.domain_bytes, link.domain_bytes_per_s)
        } else {
            (&mut reuse.cross_bytes, link.cross_bytes_per_s)
        };
        *sum += bytes;
        Duration::from_secs_f64(bytes as f64 / rate as f64)
    }

    /// Ends a request, and admits the ones that waited for its room.
    pub(super) fn end(&mut self, number: usize, run: u32, now: time::Time) {
        let Some((owner, endpoint, runs)) = self.progress[number].runs else {
            return;
        };
        if runs != run {
            return;
        }
        self.progress[number].runs = None;
        let cost = self.trace[number].cost();
        self.tally.complete(endpoint.index(), cost, now);
        self.owners[owner.index()].complete(endpoint, cost, now);
        self.admit_waiting(owner, endpoint, now);
        self.loads_changed(owner, now);
    }

    pub(super) fn admit_waiting(
        &mut self,
        owner: entity::HostId,
        endpoint: entity::EndpointId,
        now: time::Time,
    ) {
        let waiting = self
            .waiting
            .get(&(owner, endpoint))
            .cloned()
            .unwrap_or_default();
        for number in waiting {
            if !self.admit(number, owner, endpoint, None, now) {
                return;
            }
            self.waiting
                .entry((owner, endpoint))
                .or_default()
                .retain(|w| *w != number);
            let arrival = self.trace[number];
            let order = self.world.candidates(owner, arrival.chat);
            if let Some(home) = order.first().copied()
                && let Some(decider) = self.world.owner_seen_by(owner, home)
            {
                self.note_holder(number, decider, home, endpoint);
            }
        }
    }
}
