//! Messages between hosts that replicate the lists.

use smallvec::SmallVec;

use crate::lists::{Delta, Snapshot, Version};
use crate::{entity, revision};

/// Maximum number of revisions that a domain report counts separately.
pub const MAX_LEVELS: usize = 4;

/// A message between two hosts. Encoded by position: the order of the variants is fixed.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Message {
    /// Version that the sender has in force.
    Announce(Version),
    /// Consecutive deltas, oldest first.
    Deltas(Vec<Delta>),
    /// Requests everything that follows this version, which the sender has in force.
    Fetch(Version),
    /// A snapshot of both lists, for a receiver that is too far behind for deltas.
    Snapshot(Snapshot),
    /// Latest reports on all domains that the sender has.
    Domains(Vec<DomainReport>),
    /// Requests the receiver's reports on the domains.
    AskDomains,
}

/// Report on the revisions that the hosts of one failure domain have in force.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DomainReport {
    /// The domain.
    pub domain: entity::DomainId,
    /// Number of live hosts of the domain.
    pub hosts: u32,
    /// Revisions in force, each with the number of hosts that confirmed it, largest first. If
    /// there are more than [`MAX_LEVELS`] revisions, hosts with a larger revision than the largest
    /// one listed count for that one.
    pub levels: SmallVec<[(revision::Revision, u32); MAX_LEVELS]>,
    /// Age of the report, in milliseconds.
    pub age_ms: u32,
}

impl DomainReport {
    /// Number of hosts that confirmed the revision or a later one.
    #[must_use]
    pub fn confirmed(&self, revision: revision::Revision) -> u32 {
        let levels = self.levels.iter();
        let reached = levels.filter(|(level, _)| *level >= revision);
        reached.map(|(_, hosts)| hosts).sum()
    }
}
