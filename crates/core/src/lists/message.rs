//! Messages between hosts that distribute the lists.

use smallvec::SmallVec;

use crate::lists::{Delta, Snapshot, Version};
use crate::{entity, revision};

/// Most revisions that a domain report tells apart.
pub const MAX_LEVELS: usize = 4;

/// A message between two hosts.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Message {
    /// The sender has this version in force.
    Announce(Version),
    /// Consecutive deltas.
    Deltas(Vec<Delta>),
    /// Asks for what follows the version that the sender has.
    Fetch(Version),
    /// The whole lists, for a receiver that is too far behind for deltas.
    Snapshot(Snapshot),
    /// What the sender knows of the domains.
    Domains(Vec<DomainReport>),
    /// Asks for what the receiver knows of the domains.
    AskDomains,
}

/// What the hosts of one domain have in force.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DomainReport {
    /// The domain.
    pub domain: entity::DomainId,
    /// Live hosts of the domain.
    pub hosts: u32,
    /// Revisions in force with the number of hosts that confirmed them, the largest first.
    /// Beyond [`MAX_LEVELS`] the hosts count for the smallest of them.
    pub levels: SmallVec<[(revision::Revision, u32); MAX_LEVELS]>,
    /// Age of the report, in milliseconds.
    pub age_ms: u32,
}

impl DomainReport {
    /// Hosts that confirmed the revision or a later one.
    #[must_use]
    pub fn confirmed(&self, revision: revision::Revision) -> u32 {
        let levels = self.levels.iter();
        let reached = levels.filter(|(level, _)| *level >= revision);
        reached.map(|(_, hosts)| hosts).sum()
    }
}
