//! Commands that other threads send to the control thread.

use bytes::Bytes;
use crossbeam::channel;
use pistachiochute_core::{
    entity, health, lists, name, owner, request, retry, revision, time, topology, units,
};
use pistachiochute_messages::{control, forward};
use tokio::sync::oneshot;

use crate::control::{Admitted, Candidate, ListsStatus, OfferDecision, Refused, Status};
use crate::entry::call;
use crate::link;
use crate::lists::sync;

/// A command, with a reply channel if it has a result.
pub(super) enum Command {
    Admit {
        request: request::RequestId,
        call: Box<call::Call>,
        tx: channel::Sender<Result<Admitted, Refused>>,
    },
    EndRequest(request::RequestId),
    Models {
        key_digest: lists::KeyDigest,
        tx: channel::Sender<Result<Vec<name::ModelName>, Refused>>,
    },
    NewRetryState {
        request: request::RequestId,
        idempotency: request::Idempotency,
        deadline: time::Time,
        tx: channel::Sender<retry::RetryState>,
    },
    RecordFailure {
        retries: Box<retry::RetryState>,
        failure: retry::Failure,
        tx: channel::Sender<(retry::RetryState, retry::Decision)>,
    },
    Locate {
        endpoint: entity::EndpointId,
        tx: channel::Sender<Option<Candidate>>,
    },
    Offer {
        head: Box<forward::Forward>,
        tx: channel::Sender<OfferDecision>,
    },
    Finish {
        endpoint: entity::EndpointId,
        id: owner::AttemptId,
        used: Option<units::Tokens>,
    },
    Cancel {
        endpoint: entity::EndpointId,
        id: owner::AttemptId,
    },
    ObserveHealth(entity::EndpointId, health::Observation),
    /// Sets the links. They are created after the control thread because they need its handle.
    SetLinks(link::Sender),
    Message {
        message: control::Message,
        done: oneshot::Sender<Bytes>,
    },
    Answer {
        from: entity::HostId,
        answer: Result<control::Message, link::CallError>,
    },
    UpdateHostList(topology::HostList),
    /// Sets the channel to the thread that calls the store.
    SetStore(sync::StoreSender),
    StoreAnswer(lists::replica::StoreAnswer),
    RecordedDelta(lists::Delta),
    HighestVersion(channel::Sender<lists::Version>),
    ServedTargets(channel::Sender<Option<lists::verify::ServedTargets>>),
    ListsStatus {
        revision: Option<revision::Revision>,
        tx: channel::Sender<ListsStatus>,
    },
    Status(channel::Sender<Status>),
    Drain,
    Close,
}
