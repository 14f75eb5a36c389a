//! Slots of one group of endpoints: who has one, and who waits for one.

use std::collections::HashMap;
use std::time::Duration;

use super::{Answer, Ask, Endpoint, QUEUED_INTERVAL, Ticket, foreign, leases, line, room, usage};
use crate::time;

/// Usual duration of a lease before one has ended.
const INITIAL_DURATION: Duration = Duration::from_millis(40);

/// Weight of a new duration in the mean.
const DURATION_WEIGHT: f64 = 0.05;

/// Usual durations after which a lease ends whose release is missing, and the least such time.
const TERM_FACTOR: f64 = 8.0;
const MIN_TERM: Duration = Duration::from_millis(250);

/// Longest time in the line.
const MAX_WAIT: Duration = Duration::from_secs(1);

/// Time for which an endpoint that a request must not be sent to comes after the others: it may have
/// crashed, or be full with what the scheduler does not know.
const DOUBT_SPAN: Duration = Duration::from_millis(300);

/// Most leases, whatever endpoints say of their slots.
const MAX_LEASES: usize = 4_096;

/// Answers for hosts, in the order in which they are to be sent.
pub type Answers = Vec<(Ticket, Answer)>;

/// Scheduler of one group. Times are those of its host.
#[derive(Clone, Debug, Default)]
pub struct Scheduler {
    leases: leases::Leases,
    line: line::Line,
    usage: usage::Usage,
    foreign: HashMap<u64, foreign::ForeignLoad>,
    /// Until when endpoints come after the others.
    doubted: HashMap<u64, time::Time>,
    /// Mean duration of a lease, in seconds, if one has ended.
    duration: Option<f64>,
}

impl Scheduler {
    /// Whether it holds neither a lease nor a request that waits.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.leases.is_empty() && self.line.is_empty()
    }

    /// Number of requests that wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.line.len()
    }

    /// Number of slots that requests have.
    #[must_use]
    pub fn leased(&self) -> usize {
        self.leases.len()
    }

    /// A host asks for a slot. `endpoints` are those of the group that take requests now.
    pub fn ask(&mut self, ask: Ask, endpoints: &[Endpoint], now: time::Time) -> Answers {
        let ticket = ask.ticket;
        if let Some(lease) = self.leases.get(ticket) {
            return vec![(ticket, Answer::Slot(lease.endpoint))];
        }
        if let Some(waiting) = self.line.get_mut(ticket) {
            waiting.told_at = now;
            return vec![(ticket, Answer::Queued)];
        }
        for endpoint in &ask.excluded {
            self.doubted.insert(*endpoint, now + DOUBT_SPAN);
        }
        let mut answers = self.advance(endpoints, now);
        if !endpoints.iter().any(|e| ask.allows(e)) {
            answers.push((ticket, Answer::Unknown));
            return answers;
        }
        // What is free now is of no use to those that still wait.
        if let Some(endpoint) = self.room(endpoints).take(&ask) {
            answers.push(self.grant(&ask, endpoint, now));
            return answers;
        }
        let ahead = self.line.ahead_of(&ask, self.moment(now));
        let wait = self.expected_wait(ahead, endpoints);
        if !self.is_in_time(&ask, wait, now) {
            answers.push((ticket, Answer::Full(wait)));
            return answers;
        }
        answers.push((ticket, Answer::Queued));
        let moment = line::Moment {
            usage: &self.usage,
            duration: self.usual_duration(),
            now,
        };
        if let Some(last) = self.line.push(ask, moment) {
            let wait = self.expected_wait(self.line.len(), endpoints);
            let refusal = (last.ask.ticket, Answer::Full(wait));
            answers.retain(|(ticket, _)| *ticket != last.ask.ticket);
            answers.push(refusal);
        }
        answers
    }

    /// A host gives a slot back, or no longer wants one.
    pub fn release(&mut self, ticket: Ticket, endpoints: &[Endpoint], now: time::Time) -> Answers {
        self.observe(endpoints, now);
        match self.leases.remove(ticket) {
            Some(lease) => {
                let held = now.since(lease.granted_at);
                self.usage.record(lease.account, held, now);
                let mean = self.duration.unwrap_or(held.as_secs_f64());
                self.duration = Some(mean + (held.as_secs_f64() - mean) * DURATION_WEIGHT);
            }
            None => self.line.remove(ticket),
        }
        self.advance(endpoints, now)
    }

    /// Time passes: leases end, requests that cannot be in time any more are refused, free slots are
    /// granted in order, and those that still wait are told so now and then.
    pub fn advance(&mut self, endpoints: &[Endpoint], now: time::Time) -> Answers {
        self.observe(endpoints, now);
        self.end_leases(endpoints, now);
        let mut answers = self.grant_free(endpoints, now);
        answers.extend(self.refuse_late(endpoints, now));
        for waiting in self.line.iter_mut() {
            if now.since(waiting.told_at) >= QUEUED_INTERVAL {
                waiting.told_at = now;
                answers.push((waiting.ask.ticket, Answer::Queued));
            }
        }
        answers
    }

    /// Grants the free slots in the order of the line, which is not looked at while none is free.
    fn grant_free(&mut self, endpoints: &[Endpoint], now: time::Time) -> Answers {
        if self.line.is_empty() {
            return Answers::new();
        }
        let mut room = self.room(endpoints);
        if room.is_empty() {
            return Answers::new();
        }
        let mut granted = Vec::new();
        for ask in self.line.in_order(self.moment(now)) {
            if room.is_empty() {
                break;
            }
            if ask.deadline <= now {
                continue;
            }
            if let Some(endpoint) = room.take(ask) {
                granted.push((ask.clone(), endpoint));
            }
        }
        let grant = |(ask, endpoint): (Ask, u64)| {
            self.line.remove(ask.ticket);
            self.grant(&ask, endpoint, now)
        };
        granted.into_iter().map(grant).collect()
    }

    /// Ends the leases whose time is over. Their requests count on if reports show them, which are younger
    /// than any lease that ends so.
    fn end_leases(&mut self, endpoints: &[Endpoint], now: time::Time) {
        for hash in self.leases.end(now) {
            let reported = endpoints.iter().find(|e| e.hash == hash);
            let is_running = reported.is_some_and(|e| e.reported > self.taken(hash));
            if let Some(load) = self.foreign.get_mut(&hash).filter(|_| is_running) {
                load.record_expired();
            }
        }
    }

    /// Removes the requests that are too late, or that no endpoint can take.
    fn refuse_late(&mut self, endpoints: &[Endpoint], now: time::Time) -> Answers {
        let duration = self.usual_duration();
        let wait = self.expected_wait(self.line.len(), endpoints);
        let is_late = |w: &line::Waiting| {
            w.ask.deadline.since(now) < duration || now.since(w.since) >= MAX_WAIT
        };
        let late = self.line.take(is_late);
        let stranded = |w: &line::Waiting| !endpoints.iter().any(|e| w.ask.allows(e));
        let stranded = self.line.take(stranded);
        let late = late.into_iter().map(|w| (w.ask.ticket, Answer::Full(wait)));
        let stranded = stranded
            .into_iter()
            .map(|w| (w.ask.ticket, Answer::Unknown));
        late.chain(stranded).collect()
    }

    /// Updates the load that others put on the endpoints.
    fn observe(&mut self, endpoints: &[Endpoint], now: time::Time) {
        let is_known = |hash: &u64| endpoints.iter().any(|e| e.hash == *hash);
        self.foreign.retain(|hash, _| is_known(hash));
        self.doubted
            .retain(|hash, until| *until > now && is_known(hash));
        for endpoint in endpoints {
            let leases = self.leases.at(endpoint.hash);
            let load = self.foreign.entry(endpoint.hash);
            load.or_insert_with(|| foreign::ForeignLoad::new(endpoint.reported, leases, now))
                .observe(endpoint.reported, leases, now);
        }
    }

    /// Requests at an endpoint, as far as they are known.
    fn taken(&self, endpoint: u64) -> u32 {
        let foreign = self.foreign.get(&endpoint);
        self.leases.at(endpoint) + foreign.map_or(0, |load| load.slots())
    }

    /// Slots that are free now.
    fn room(&self, endpoints: &[Endpoint]) -> room::Room {
        let mut room = room::Room::new(MAX_LEASES.saturating_sub(self.leases.len()));
        for endpoint in endpoints {
            let is_doubted = self.doubted.contains_key(&endpoint.hash);
            room.add(*endpoint, self.taken(endpoint.hash), is_doubted);
        }
        room
    }

    fn grant(&mut self, ask: &Ask, endpoint: u64, now: time::Time) -> (Ticket, Answer) {
        let term = self.usual_duration().mul_f64(TERM_FACTOR).max(MIN_TERM);
        let lease = leases::Lease {
            endpoint,
            account: ask.account,
            granted_at: now,
            ends_at: ask.deadline.min(now + term),
        };
        self.leases.insert(ask.ticket, lease);
        (ask.ticket, Answer::Slot(endpoint))
    }

    fn moment(&self, now: time::Time) -> line::Moment<'_> {
        line::Moment {
            usage: &self.usage,
            duration: self.usual_duration(),
            now,
        }
    }

    fn usual_duration(&self) -> Duration {
        self.duration
            .map_or(INITIAL_DURATION, Duration::from_secs_f64)
    }

    /// Time until a request with so many ahead of it is expected to have a slot.
    fn expected_wait(&self, ahead: usize, endpoints: &[Endpoint]) -> Duration {
        let slots: u32 = endpoints.iter().map(|endpoint| endpoint.slots).sum();
        let turns = (ahead + 1) as f64 / f64::from(slots.max(1));
        self.usual_duration().mul_f64(turns)
    }

    /// Whether a request that waits so long can end before its deadline.
    fn is_in_time(&self, ask: &Ask, wait: Duration, now: time::Time) -> bool {
        wait < MAX_WAIT && now + wait + self.usual_duration() <= ask.deadline
    }
}
