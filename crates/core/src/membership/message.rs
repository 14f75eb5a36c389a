//! Messages that carry the status of hosts and endpoints between hosts.

use smallvec::SmallVec;

use crate::entity;

/// Maximum number of updates in one probe or answer.
pub const MAX_UPDATES: usize = 16;

/// What an update is about.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Subject {
    /// An entry host.
    Host(entity::HostId),
    /// An endpoint.
    Endpoint(entity::EndpointId),
}

/// Status of a host or endpoint. Within one incarnation, a later variant supersedes an earlier one.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Status {
    /// It takes new work.
    Alive,
    /// It finishes the work that it has and takes no new work.
    Leaving,
    /// It missed probes and has not refuted the suspicion yet.
    Suspect,
    /// It did not refute the suspicion in time.
    Down,
}

/// Status of one subject at one incarnation.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
pub struct Update {
    /// What the update is about.
    pub subject: Subject,
    /// Number that the subject raises to supersede the updates that others spread about it.
    pub incarnation: u32,
    /// Status of the subject.
    #[serde(rename = "standing")]
    pub status: Status,
}

impl Update {
    /// Whether this update supersedes the latest known one.
    #[must_use]
    pub fn supersedes(&self, known: &Self) -> bool {
        (self.incarnation, self.status) > (known.incarnation, known.status)
    }
}

/// A probe, or the answer to one.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Probe {
    /// Host that sends it.
    pub from: entity::HostId,
    /// The sender's update about the receiver, so that the receiver can refute it.
    pub receiver: Option<Update>,
    /// Updates about other subjects, at most `MAX_UPDATES`.
    pub updates: SmallVec<[Update; 8]>,
}
