//! What hosts tell each other about hosts and endpoints.

use smallvec::SmallVec;

use crate::entity;

/// Most updates in one probe or answer.
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

/// How a host or endpoint stands. A later one supersedes an earlier one of the same incarnation.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Status {
    /// It takes new work.
    Alive,
    /// It finishes what it has and takes no new work.
    Leaving,
    /// It misses probes and has not refuted it yet.
    Suspect,
    /// It did not refute the suspicion in time.
    Down,
}

/// What is known of one subject.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
pub struct Update {
    /// What the update is about.
    pub subject: Subject,
    /// Number that the subject raises to supersede what is told of it.
    pub incarnation: u32,
    /// How the subject stands.
    #[serde(rename = "standing")]
    pub status: Status,
}

impl Update {
    /// Whether this update supersedes what is known.
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
    /// What the sender knows of the receiver, so that the receiver can refute it.
    pub receiver: Option<Update>,
    /// What the sender tells of others, at most [`MAX_UPDATES`].
    pub updates: SmallVec<[Update; 8]>,
}
