//! Relates the end of an endpoint with the prompts that it was processing.
//!
//! A lost connection may be a cut, a reset or a faulty answer. The endpoint counts as crashed if it
//! refuses the next connection: its process no longer listens.

use std::collections::HashMap;
use std::io;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use pistachiochute_core::routing::lru;
use pistachiochute_core::{directory, quarantine, time};
use pistachiochute_runtime::clock;
use smallvec::SmallVec;
use tokio::sync::watch;

use crate::traffic::plan::Plan;
use crate::traffic::{Context, isolation};
use crate::{adapter, shared, sockets};

/// Time from a lost connection to the next one: a process that ends closes its listener and its
/// connections one after the other.
const PROBE_DELAY: Duration = Duration::from_millis(10);

/// Time in which an endpoint must accept or refuse a connection to tell whether it has crashed.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);

/// Endpoints that are tried to tell a crash from links that are refused.
const WITNESSES: usize = 3;

/// Time after a lost connection in which others of the same endpoint belong to the same event.
const SAME_EVENT: Duration = Duration::from_millis(300);

/// Shortest time between two trials of accused parts.
const TRIAL_INTERVAL: Duration = Duration::from_secs(30);

/// Time for which an answer on a part shows that the part does not crash endpoints, as long as no
/// crash counts against it.
const PROOF_VALIDITY: Duration = Duration::from_secs(60);

/// Parts whose last proof is kept.
const MAX_PROOFS: usize = 16_384;

/// What is known of an endpoint that lost a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// A connection attempt is under way.
    Probing,
    /// It refused a connection.
    Crashed,
    /// It accepted a connection, or nothing is known.
    NotCrashed,
}

/// Lost connections to one incarnation.
#[derive(Debug)]
struct Loss {
    at: time::Time,
    state: watch::Sender<State>,
    /// Requests that it was processing and that are not reported yet.
    requests: SmallVec<[quarantine::LostRequest; 2]>,
}

/// Lost connections to endpoints, and trials of accused parts.
#[derive(Debug)]
pub(super) struct CrashWatch {
    losses: HashMap<directory::Identity, Loss>,
    trials: HashMap<quarantine::Parts, time::Time>,
    /// When an answer of this host last went on, by part.
    proofs: lru::LruMap<quarantine::PartKey, time::Time>,
}

impl Default for CrashWatch {
    fn default() -> Self {
        Self {
            losses: HashMap::new(),
            trials: HashMap::new(),
            proofs: lru::LruMap::new(MAX_PROOFS),
        }
    }
}

impl CrashWatch {
    /// Drops old losses.
    pub(super) fn prune(&mut self, now: time::Time) {
        let is_probing = |loss: &Loss| *loss.state.borrow() == State::Probing;
        self.losses
            .retain(|_, loss| now.since(loss.at) < SAME_EVENT || is_probing(loss));
    }

    /// Whether answers of this host have lately gone on for all of these parts.
    pub(super) fn are_proven(&self, keys: &[quarantine::PartKey], now: time::Time) -> bool {
        keys.iter().all(|key| {
            let proof = self.proofs.get(key);
            proof.is_some_and(|at| now.since(*at) < PROOF_VALIDITY)
        })
    }

    /// Whether a trial of these parts may begin. Counts it as begun.
    fn begin_trial(&mut self, parts: quarantine::Parts, now: time::Time) -> bool {
        self.trials
            .retain(|_, begun| now.since(*begun) < TRIAL_INTERVAL);
        if self.trials.contains_key(&parts) {
            return false;
        }
        self.trials.insert(parts, now);
        true
    }
}

/// Whether a request with these shared parts must not be sent to an endpoint.
pub(super) fn is_refused<D>(cx: &Context<D>, prompt: &[quarantine::PartKey]) -> bool {
    let verdicts = cx.shared.verdicts();
    if !verdicts.has_accusations() {
        return false;
    }
    match verdicts.admission(prompt) {
        quarantine::Admission::Admitted => false,
        quarantine::Admission::Refused(_) => true,
        quarantine::Admission::Trial(parts) => {
            let mut watch = cx.crash_watch.borrow_mut();
            !watch.begin_trial(parts, clock::now())
        }
    }
}

/// Records that an answer went on, so that the shared parts of its prompt do not crash endpoints.
pub(super) fn record_proof<D>(cx: &Context<D>, prompt: &quarantine::Parts) {
    let now = clock::now();
    let proofs = &mut cx.crash_watch.borrow_mut().proofs;
    for part in prompt {
        proofs.insert(*part, now);
    }
    cx.shared.proven_prompts.push(prompt.clone());
}

/// Whether a request whose connection an endpoint just lost may have crashed it, so that it is not
/// sent to another one.
///
/// It may have unless answers on all its shared parts have gone on recently and it was in flight at no
/// other crash. Waits until it is known whether the endpoint has crashed.
pub(super) async fn is_suspect<D>(
    cx: &Context<D>,
    endpoint: &directory::Identity,
    plan: &Plan,
) -> bool {
    let now = clock::now();
    let keys = &plan.keys;
    let is_proven = cx.crash_watch.borrow().are_proven(keys.shared(), now);
    if is_proven && !cx.shared.verdicts().is_suspect(keys.all(), now) {
        return false;
    }
    let state = {
        let watch = cx.crash_watch.borrow();
        watch
            .losses
            .get(endpoint)
            .map(|loss| loss.state.subscribe())
    };
    let Some(mut state) = state else {
        return false;
    };
    let known = state.wait_for(|state| *state != State::Probing).await;
    known.is_ok_and(|state| *state == State::Crashed)
}

/// Records that an endpoint lost the connection of a request whose answer had not gone on.
pub(super) fn record_loss<D>(
    cx: &Rc<Context<D>>,
    endpoint: &Arc<directory::Endpoint>,
    request: quarantine::LostRequest,
) where
    D: adapter::Dialect,
{
    let now = clock::now();
    let mut watch = cx.crash_watch.borrow_mut();
    watch.prune(now);
    let losses = &mut watch.losses;
    if let Some(loss) = losses.get_mut(&endpoint.identity) {
        loss.requests.push(request);
        let has_crashed = *loss.state.borrow() == State::Crashed;
        if has_crashed {
            report(cx, &endpoint.identity, loss);
        }
        return;
    }
    let loss = Loss {
        at: now,
        state: watch::Sender::new(State::Probing),
        requests: SmallVec::from_iter([request]),
    };
    losses.insert(endpoint.identity.clone(), loss);
    tokio::task::spawn_local(probe(cx.clone(), endpoint.clone()));
}

/// Connects to an endpoint and reports its crash if it refuses, and others of its service do not.
async fn probe<D>(cx: Rc<Context<D>>, endpoint: Arc<directory::Endpoint>)
where
    D: adapter::Dialect,
{
    tokio::time::sleep(PROBE_DELAY).await;
    let connected = sockets::connect(endpoint.address, PROBE_TIMEOUT).await;
    let is_refused = connected.is_err_and(|e| e.kind() == io::ErrorKind::ConnectionRefused);
    let has_crashed = is_refused && reaches_another(&cx, &endpoint).await;
    let losses = &mut cx.crash_watch.borrow_mut().losses;
    let Some(loss) = losses.get_mut(&endpoint.identity) else {
        return;
    };
    if has_crashed {
        report(&cx, &endpoint.identity, loss);
    }
    loss.state.send_replace(match has_crashed {
        true => State::Crashed,
        false => State::NotCrashed,
    });
}

/// Whether this host can connect to another endpoint of the same service. If it cannot, the refusal says
/// nothing of the endpoint: the links of this host may be refused. The only endpoint of a service counts
/// as one that has crashed.
async fn reaches_another<D>(cx: &Context<D>, endpoint: &directory::Endpoint) -> bool {
    let others = isolation::other_addresses(cx, endpoint, WITNESSES);
    others.is_empty() || isolation::is_any_reached(&others).await
}

fn report<D>(cx: &Context<D>, endpoint: &directory::Identity, loss: &mut Loss) {
    let crash = quarantine::Crash {
        incarnation: quarantine::IncarnationKey::of(endpoint),
        at: loss.at,
        requests: std::mem::take(&mut loss.requests),
    };
    // One that the control thread cannot take is lost; others of the same part follow.
    cx.shared.report_crash(shared::ObservedCrash {
        crash,
        endpoint: endpoint.clone(),
    });
}
