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

/// Handle through which other threads call the control thread.
#[derive(Clone, Debug)]
pub struct Handle {
    tx: channel::Sender<Command>,
    /// Disconnected once the control thread has ended. Commands that are still queued then stay in
    /// the channel with their reply senders, so waiting on the reply alone would never return.
    ended: channel::Receiver<Infallible>,
}

impl Handle {
    pub(super) const fn new(
        tx: channel::Sender<Command>,
        ended: channel::Receiver<Infallible>,
    ) -> Self {
        Self { tx, ended }
    }

    /// Checks whether a caller's request is allowed and selects its candidates. Every admitted
    /// request must be ended with [`Handle::end_request`].
    ///
    /// # Errors
    ///
    /// Returns the refusal to send to the caller.
    pub fn admit(
        &self,
        request: request::RequestId,
        call: &call::Call,
    ) -> Result<Admitted, Refused> {
        // Admission does not need the body, which stays with the caller's thread.
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

    /// Returns the models that the plan of a caller's account allows.
    ///
    /// # Errors
    ///
    /// Returns the refusal to send to the caller.
    pub fn models(&self, key_digest: lists::KeyDigest) -> Result<Vec<name::ModelName>, Refused> {
        let models = self.request(|tx| Command::Models { key_digest, tx });
        models.unwrap_or_else(|| Err(Refused::shutting_down()))
    }

    /// Ends a request that was admitted.
    pub fn end_request(&self, request: request::RequestId) {
        self.send(Command::EndRequest(request));
    }

    /// Creates the retry state of a request, which draws on the retry budget of the host. Returns
    /// `None` once the control thread has ended.
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

    /// Records a failed attempt and decides whether the request is retried. Returns `None` once the
    /// control thread has ended.
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

    /// Finds the current owner of an endpoint.
    #[must_use]
    pub fn locate(&self, endpoint: entity::EndpointId) -> Option<Candidate> {
        self.request(|tx| Command::Locate { endpoint, tx })
            .flatten()
    }

    /// Offers a forwarded request to an endpoint that this host owns. Decisions arrive on the
    /// returned channel. Dispatched work must be ended with [`Handle::finish`].
    #[must_use]
    pub fn offer(&self, head: &forward::Forward) -> channel::Receiver<OfferDecision> {
        let (tx, rx) = channel::unbounded();
        self.send(Command::Offer {
            head: Box::new(head.clone()),
            tx,
        });
        rx
    }

    /// Ends dispatched work and frees its slot. `used` is the number of tokens that the endpoint
    /// reported, if any.
    pub fn finish(
        &self,
        endpoint: entity::EndpointId,
        id: owner::AttemptId,
        used: Option<units::Tokens>,
    ) {
        self.send(Command::Finish { endpoint, id, used });
    }

    /// Records what a call showed about the health of its endpoint.
    pub fn observe_health(&self, endpoint: entity::EndpointId, observation: health::Observation) {
        self.send(Command::ObserveHealth(endpoint, observation));
    }

    /// Cancels offered work whose caller disconnected.
    pub fn cancel(&self, endpoint: entity::EndpointId, id: owner::AttemptId) {
        self.send(Command::Cancel { endpoint, id });
    }

    /// Sets the links over which the control thread sends messages.
    pub fn set_links(&self, links: link::Sender) {
        self.send(Command::SetLinks(links));
    }

    /// Handles a message from another host. The answer is sent to `done`.
    pub fn handle_message(&self, message: control::Message, done: oneshot::Sender<Bytes>) {
        self.send(Command::Message { message, done });
    }

    /// Handles the answer of another host to a message, or the error of the call.
    pub(crate) fn handle_answer(
        &self,
        from: entity::HostId,
        answer: Result<control::Message, link::CallError>,
    ) {
        self.send(Command::Answer { from, answer });
    }

    /// Applies a host list read from the platform.
    pub fn update_host_list(&self, list: topology::HostList) {
        self.send(Command::UpdateHostList(list));
    }

    /// Sets the channel to the thread that calls the store.
    pub fn set_store(&self, store: sync::StoreSender) {
        self.send(Command::SetStore(store));
    }

    /// Handles the result of a read of the store.
    pub fn handle_store_answer(&self, answer: lists::replica::StoreAnswer) {
        self.send(Command::StoreAnswer(answer));
    }

    /// Applies an edit of the lists that the store has recorded.
    pub fn handle_recorded_delta(&self, delta: lists::Delta) {
        self.send(Command::RecordedDelta(delta));
    }

    /// Returns the highest version of the lists that this host has seen, even if it does not have
    /// those lists yet.
    #[must_use]
    pub fn highest_version(&self) -> lists::Version {
        self.request(Command::HighestVersion)
            .unwrap_or(lists::Version::NONE)
    }

    /// Returns the models and services that endpoints serve, or `None` before the first host list.
    #[must_use]
    pub fn served_targets(&self) -> Option<lists::verify::ServedTargets> {
        self.request(Command::ServedTargets).flatten()
    }

    /// Reports which domains have applied a revision of the lists. `None` stands for the revision
    /// that this host has applied.
    #[must_use]
    pub fn lists_status(&self, revision: Option<revision::Revision>) -> Option<ListsStatus> {
        self.request(|tx| Command::ListsStatus { revision, tx })
    }

    /// Returns the state of the host, or `None` once the control thread has ended.
    #[must_use]
    pub fn status(&self) -> Option<Status> {
        self.request(Command::Status)
    }

    /// Starts draining: the host admits no more requests and closes its endpoints.
    pub fn drain(&self) {
        self.send(Command::Drain);
    }

    pub(super) fn send(&self, command: Command) {
        // Sending fails only after the control thread has ended, when commands have no effect.
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

    /// Whether the control thread has ended, so that no further decision will arrive.
    #[must_use]
    pub fn has_ended(&self) -> bool {
        self.ended.try_recv() == Err(channel::TryRecvError::Disconnected)
    }
}
