//! Steps (atomic transitions) of the journal model.

use crate::actions::model;

/// One step of the model.
///
/// A `usize` is an index into the model's calls, delayed swaps, requests or hosts before the step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// A caller sends a request to a host.
    SendRequest {
        /// Host that receives the request.
        host: usize,
        /// Idempotency key.
        key: u8,
        /// Whether the body differs from the usual one of the key.
        other_body: bool,
    },
    /// The key-value service executes a call and sends its answer.
    ServeCall(usize),
    /// The key-value service executes a swap, but its answer is lost.
    LoseCallAnswer(usize),
    /// A swap times out at its host and may still be executed later.
    DelayCall(usize),
    /// A call fails without effect, and its host learns so.
    FailCall(usize),
    /// The key-value service executes a swap that has timed out at its host.
    ApplyDelayedCall(usize),
    /// A host handles the oldest answer in its inbox.
    DeliverCallAnswer(usize),
    /// A host dispatches a request whose reservation is confirmed, and the endpoint runs it. If
    /// the deadline of the attempt has passed, the host ends it as not run instead.
    Dispatch(usize),
    /// A host fails to connect to the endpoint.
    FailConnect(usize),
    /// The connection to the endpoint is lost after the request was sent.
    LoseConnection(usize),
    /// The endpoint's answer arrives at the host.
    DeliverEndpointAnswer(usize),
    /// A caller cancels its request.
    Cancel(usize),
    /// A host is killed and replaced by one with empty state.
    Kill(usize),
    /// A host deletes the shards whose keys are older than the retention window.
    Prune(usize),
    /// The journal of a host handles a timer tick.
    Tick(usize),
    /// Time advances to the next phase.
    AdvancePhase,
}

impl model::Model {
    /// Returns the steps that can be taken in this state, in a fixed order.
    #[must_use]
    pub fn enabled_steps(&self) -> Vec<Step> {
        let mut steps = Vec::new();
        self.request_steps(&mut steps);
        self.store_steps(&mut steps);
        self.endpoint_steps(&mut steps);
        self.host_steps(&mut steps);
        if self.phase + 1 < self.remaining.phases.len() {
            steps.push(Step::AdvancePhase);
        }
        steps
    }

    fn request_steps(&self, steps: &mut Vec<Step>) {
        let bodies = [Some(false), (self.remaining.key_reuses > 0).then_some(true)];
        for host in 0..self.hosts.len() {
            for key in 0..self.remaining.keys {
                if self.remaining.requests == 0 {
                    continue;
                }
                let send = |other_body| Step::SendRequest {
                    host,
                    key,
                    other_body,
                };
                steps.extend(bodies.into_iter().flatten().map(send));
            }
        }
        if self.remaining.cancels > 0 {
            let waits = |(_, req): &(usize, &model::Request)| req.stage == model::Stage::InJournal;
            let requests = self.requests.iter().enumerate().filter(waits);
            steps.extend(requests.map(|(i, _)| Step::Cancel(i)));
        }
    }

    fn store_steps(&self, steps: &mut Vec<Step>) {
        for (i, call) in self.calls.iter().enumerate() {
            steps.push(Step::ServeCall(i));
            if self.remaining.store_faults == 0 {
                continue;
            }
            steps.push(Step::FailCall(i));
            if call.swap.is_some() {
                steps.extend([Step::LoseCallAnswer(i), Step::DelayCall(i)]);
            }
        }
        steps.extend((0..self.delayed.len()).map(Step::ApplyDelayedCall));
    }

    fn endpoint_steps(&self, steps: &mut Vec<Step>) {
        let faults = self.remaining.endpoint_faults > 0;
        for (i, req) in self.requests.iter().enumerate() {
            match req.stage {
                model::Stage::Permitted { .. } => {
                    steps.push(Step::Dispatch(i));
                    steps.extend(faults.then_some(Step::FailConnect(i)));
                }
                model::Stage::Ran => {
                    steps.push(Step::DeliverEndpointAnswer(i));
                    steps.extend(faults.then_some(Step::LoseConnection(i)));
                }
                model::Stage::InJournal | model::Stage::Ended => {}
            }
        }
    }

    fn host_steps(&self, steps: &mut Vec<Step>) {
        for (i, host) in self.hosts.iter().enumerate() {
            if !host.inbox.is_empty() {
                steps.push(Step::DeliverCallAnswer(i));
            }
            if self.remaining.kills > 0 {
                steps.push(Step::Kill(i));
            }
            if self.can_prune(i) {
                steps.push(Step::Prune(i));
            }
            let due = host.journal.wakeup().is_some_and(|due| due <= self.now());
            let waits = host.phase < self.phase && host.journal.open_attempts() > 0;
            if due || waits {
                steps.push(Step::Tick(i));
            }
        }
    }
}
