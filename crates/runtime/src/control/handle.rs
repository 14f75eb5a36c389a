//! Handle of the control thread.

use std::convert::Infallible;

use bytes::Bytes;
use crossbeam::channel;
use pistachiochute_core::{
    entity, health, lists, name, owner, request, retry, revision, time, topology, units,
};
use pistachiochute_messages::{control, forward};
use tokio::sync::oneshot;

use crate::control::command::Command;
use crate::control::{Admitted, Candidate, ListsStatus, OfferDecision, Refused, Status};
use crate::entry::call;
use crate::link;
use crate::lists::sync;

/// Handle with which other threads use the control thread.
#[derive(Clone, Debug)]
pub struct Handle {
    tx: channel::Sender<Command>,
    /// Disconnected once the control thread has ended. Commands that it has not taken stay in the
    /// channel, so their answers would be waited for without an end.
    ended: channel::Receiver<Infallible>,
}

impl Handle {
    pub(super) const fn new(
        tx: channel::Sender<Command>,
        ended: channel::Receiver<Infallible>,
    ) -> Self {
        Self { tx, ended }
    }

    /// Asks whether and where a caller's request may be served. An admitted request must
    /// [`Handle::end_request`] when it has ended.
    ///
    /// # Errors
    ///
    /// Returns the refusal for the caller.
    pub fn admit(
        &self,
        request: request::RequestId,
        call: &call::Call,
    ) -> Result<Admitted, Refused> {
        // The body stays with the caller's thread.
        let call = call::Call {
            body: bytes::Bytes::new(),
            ..call.clone()
        };
        let admitted = self.request(|tx| Command::Admit {
            request,
            call: Box::new(call),
            tx,
        });
        admitted.unwrap_or_else(|| Err(Refused::shutting_down()))
    }

    /// Models that the plan of a caller's account may use.
    ///
    /// # Errors
    ///
    /// Returns the refusal for the caller.
    pub fn models(&self, key_digest: lists::KeyDigest) -> Result<Vec<name::ModelName>, Refused> {
        let models = self.request(|tx| Command::Models { key_digest, tx });
        models.unwrap_or_else(|| Err(Refused::shutting_down()))
    }

    /// Ends a request that was admitted.
    pub fn end_request(&self, request: request::RequestId) {
        self.send(Command::EndRequest(request));
    }

    /// Makes the attempts of a request, which share the retry budget of the host.
    #[must_use]
    pub fn new_retry_state(
        &self,
        request: request::RequestId,
        idempotency: request::Idempotency,
        deadline: time::Time,
    ) -> Option<retry::RetryState> {
        self.request(|tx| Command::NewRetryState {
            request,
            idempotency,
            deadline,
            tx,
        })
    }

    /// Decides what follows a failed attempt.
    #[must_use]
    pub fn record_failure(
        &self,
        retries: retry::RetryState,
        failure: retry::Failure,
    ) -> Option<(retry::RetryState, retry::Decision)> {
        self.request(|tx| Command::RecordFailure {
            retries: Box::new(retries),
            failure,
            tx,
        })
    }

    /// Finds the owner of an endpoint.
    #[must_use]
    pub fn locate(&self, endpoint: entity::EndpointId) -> Option<Candidate> {
        self.request(|tx| Command::Locate { endpoint, tx })
            .flatten()
    }

    /// Offers a forwarded request for an endpoint that this host owns. Verdicts come on the
    /// returned channel. Work that was dispatched must [`Handle::finish`].
    #[must_use]
    pub fn offer(&self, head: &forward::Forward) -> channel::Receiver<OfferDecision> {
        let (tx, rx) = channel::unbounded();
        self.send(Command::Offer {
            head: Box::new(head.clone()),
            tx,
        });
        rx
    }

    /// Ends dispatched work.
    pub fn finish(
        &self,
        endpoint: entity::EndpointId,
        id: owner::AttemptId,
        used: Option<units::Tokens>,
    ) {
        self.send(Command::Finish { endpoint, id, used });
    }

    /// Takes in what a call showed of the endpoint's health.
    pub fn observe_health(&self, endpoint: entity::EndpointId, observation: health::Observation) {
        self.send(Command::ObserveHealth(endpoint, observation));
    }

    /// Takes offered work back, because its caller went away.
    pub fn cancel(&self, endpoint: entity::EndpointId, id: owner::AttemptId) {
        self.send(Command::Cancel { endpoint, id });
    }

    /// Gives the control thread the links on which it sends messages.
    pub fn set_links(&self, links: link::Sender) {
        self.send(Command::SetLinks(links));
    }

    /// Takes a message of another host. The answer goes to `done`.
    pub fn handle_message(&self, message: control::Message, done: oneshot::Sender<Bytes>) {
        self.send(Command::Message { message, done });
    }

    /// Takes the answer of another host to a message, or the reason why there is none.
    pub(crate) fn handle_answer(
        &self,
        from: entity::HostId,
        answer: Result<control::Message, link::CallError>,
    ) {
        self.send(Command::Answer { from, answer });
    }

    /// Takes in the host list of the platform.
    pub fn update_host_list(&self, list: topology::HostList) {
        self.send(Command::UpdateHostList(list));
    }

    /// Gives the control thread the thread that calls the store.
    pub fn set_store(&self, store: sync::StoreSender) {
        self.send(Command::SetStore(store));
    }

    /// Takes the answer to an order to read the store.
    pub fn handle_store_answer(&self, answer: lists::replica::StoreAnswer) {
        self.send(Command::StoreAnswer(answer));
    }

    /// Takes an edit of the lists that the store has recorded.
    pub fn handle_recorded_delta(&self, delta: lists::Delta) {
        self.send(Command::RecordedDelta(delta));
    }

    /// Largest version of the lists that is known to exist.
    #[must_use]
    pub fn highest_version(&self) -> lists::Version {
        self.request(Command::HighestVersion)
            .unwrap_or(lists::Version::NONE)
    }

    /// Models and services that endpoints serve, or `None` while the host list is not known.
    #[must_use]
    pub fn served_targets(&self) -> Option<lists::verify::ServedTargets> {
        self.request(Command::ServedTargets).flatten()
    }

    /// What the domains have in force of a revision, or of the host's own if it is `None`.
    #[must_use]
    pub fn lists_status(&self, revision: Option<revision::Revision>) -> Option<ListsStatus> {
        self.request(|tx| Command::ListsStatus { revision, tx })
    }

    /// State of the host, or `None` once the control thread has ended.
    #[must_use]
    pub fn status(&self) -> Option<Status> {
        self.request(Command::Status)
    }

    /// Stops taking new requests.
    pub fn drain(&self) {
        self.send(Command::Drain);
    }

    pub(super) fn send(&self, command: Command) {
        // Only a closed control thread refuses commands, and then there is nothing to decide.
        let _ = self.tx.send(command);
    }

    fn request<T, F>(&self, make: F) -> Option<T>
    where
        F: FnOnce(channel::Sender<T>) -> Command,
    {
        let (tx, rx) = channel::bounded(1);
        self.tx.send(make(tx)).ok()?;
        channel::select! {
            recv(rx) -> answer => answer.ok(),
            recv(self.ended) -> _ => rx.try_recv().ok(),
        }
    }

    /// Whether the control thread has ended, so that nothing will be decided any more.
    #[must_use]
    pub fn has_ended(&self) -> bool {
        self.ended.try_recv() == Err(channel::TryRecvError::Disconnected)
    }
}
