//! The steps that a trial can take.

use crate::actions::model;

/// One step of a trial. Indices are those of the world's lists before the step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// A caller sends a request to a host.
    SendRequest {
        /// Host.
        host: usize,
        /// Key.
        key: u8,
        /// Whether the body differs from the key's first one.
        other_body: bool,
    },
    /// The service carries out a call and its answer is on the way.
    ServeCall(usize),
    /// The service carries out a call and its answer is lost.
    LoseCallAnswer(usize),
    /// A call is given up and may take effect later.
    DelayCall(usize),
    /// A call fails without effect.
    FailCall(usize),
    /// A swap that was given up takes effect.
    ApplyDelayedCall(usize),
    /// A host takes the answer that came first.
    DeliverCallAnswer(usize),
    /// A host sends a request that it may dispatch, and the endpoint runs it.
    Dispatch(usize),
    /// A host fails to connect to the endpoint.
    FailConnect(usize),
    /// The connection to the endpoint is lost.
    LoseConnection(usize),
    /// The endpoint's answer arrives at the host.
    DeliverEndpointAnswer(usize),
    /// A caller goes away.
    Cancel(usize),
    /// A host is killed and replaced by a new one.
    Kill(usize),
    /// A host deletes the shards whose keys every host refuses.
    Prune(usize),
    /// A host looks at its clock.
    Tick(usize),
    /// Time moves to the next phase.
    AdvancePhase,
}

impl model::Model {
    /// Steps that the trial can take next.
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
                let begin = |other_body| Step::SendRequest {
                    host,
                    key,
                    other_body,
                };
                steps.extend(bodies.into_iter().flatten().map(begin));
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
