//! The steps that a trial can take.

use crate::actions::world;

/// One step of a trial. Indices are those of the world's lists before the step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// A caller sends a request to a host.
    Begin {
        /// Host.
        host: usize,
        /// Key.
        key: u8,
        /// Whether the body differs from the key's first one.
        other_body: bool,
    },
    /// The service carries out a call and its answer is on the way.
    Serve(usize),
    /// The service carries out a call and its answer is lost.
    ServeSilently(usize),
    /// A call is given up and may take effect later.
    Delay(usize),
    /// A call fails without effect.
    Refuse(usize),
    /// A swap that was given up takes effect.
    Late(usize),
    /// A host takes the answer that came first.
    Deliver(usize),
    /// A host sends a request that it may dispatch, and the endpoint runs it.
    Dispatch(usize),
    /// A host fails to connect to the endpoint.
    ConnectFails(usize),
    /// The connection to the endpoint is lost.
    ConnectionLost(usize),
    /// The endpoint's answer arrives at the host.
    Answer(usize),
    /// A caller goes away.
    Cancel(usize),
    /// A host is killed and replaced by a new one.
    Kill(usize),
    /// A host deletes the shards whose keys every host refuses.
    Prune(usize),
    /// A host looks at its clock.
    Tick(usize),
    /// Time moves to the next phase.
    Advance,
}

impl world::World {
    /// Steps that the trial can take next.
    #[must_use]
    pub fn actions(&self) -> Vec<Action> {
        let mut actions = Vec::new();
        self.callers(&mut actions);
        self.service(&mut actions);
        self.endpoint(&mut actions);
        self.hosts(&mut actions);
        if self.phase + 1 < self.left.phases.len() {
            actions.push(Action::Advance);
        }
        actions
    }

    fn callers(&self, actions: &mut Vec<Action>) {
        let bodies = [Some(false), (self.left.reuses > 0).then_some(true)];
        for host in 0..self.hosts.len() {
            for key in 0..self.left.keys {
                if self.left.begins == 0 {
                    continue;
                }
                let begin = |other_body| Action::Begin {
                    host,
                    key,
                    other_body,
                };
                actions.extend(bodies.into_iter().flatten().map(begin));
            }
        }
        if self.left.cancels > 0 {
            let waits = |(_, req): &(usize, &world::Request)| req.stage == world::Stage::Journal;
            let requests = self.requests.iter().enumerate().filter(waits);
            actions.extend(requests.map(|(i, _)| Action::Cancel(i)));
        }
    }

    fn service(&self, actions: &mut Vec<Action>) {
        for (i, call) in self.calls.iter().enumerate() {
            actions.push(Action::Serve(i));
            if self.left.store_faults == 0 {
                continue;
            }
            actions.push(Action::Refuse(i));
            if call.swap.is_some() {
                actions.extend([Action::ServeSilently(i), Action::Delay(i)]);
            }
        }
        actions.extend((0..self.late.len()).map(Action::Late));
    }

    fn endpoint(&self, actions: &mut Vec<Action>) {
        let faults = self.left.endpoint_faults > 0;
        for (i, req) in self.requests.iter().enumerate() {
            match req.stage {
                world::Stage::Permitted { .. } => {
                    actions.push(Action::Dispatch(i));
                    actions.extend(faults.then_some(Action::ConnectFails(i)));
                }
                world::Stage::Ran => {
                    actions.push(Action::Answer(i));
                    actions.extend(faults.then_some(Action::ConnectionLost(i)));
                }
                world::Stage::Journal | world::Stage::Over => {}
            }
        }
    }

    fn hosts(&self, actions: &mut Vec<Action>) {
        for (i, host) in self.hosts.iter().enumerate() {
            if !host.inbox.is_empty() {
                actions.push(Action::Deliver(i));
            }
            if self.left.kills > 0 {
                actions.push(Action::Kill(i));
            }
            if self.may_prune(i) {
                actions.push(Action::Prune(i));
            }
            let due = host.journal.wakeup().is_some_and(|due| due <= self.now());
            let waits = host.phase < self.phase && host.journal.open_attempts() > 0;
            if due || waits {
                actions.push(Action::Tick(i));
            }
        }
    }
}
