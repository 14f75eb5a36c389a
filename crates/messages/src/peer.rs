//! Messages between hosts that call endpoints directly.
//!
//! A host sends its messages to another host on one long stream of frames, and gets that host's
//! messages on a stream that the other host opens.

use std::net;
use std::sync::Arc;

use pistachiochute_core::choice::load;
use pistachiochute_core::{catalog, directory, revision};

/// A part of prompts that an endpoint reads, and so holds for a while.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
pub struct CachedPart {
    /// Key of the part.
    pub part: u64,
    /// Hash of the endpoint's identity.
    pub endpoint: u64,
}

/// How much of the configuration and of the endpoints a host knows.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    serde::Serialize,
    serde::Deserialize,
)]
pub struct StateVersion {
    /// Version of the catalog in force.
    pub catalog: Option<catalog::Version>,
    /// Revision up to and with which all changes of the endpoints in use are known.
    pub endpoints: revision::Revision,
}

/// One entry of the endpoints.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct EndpointRecord {
    /// Key of the entry.
    pub key: Arc<str>,
    /// Revision of its last change.
    pub revision: revision::Revision,
    /// The endpoint, or `None` if the entry is gone or cannot be used.
    pub endpoint: Option<directory::Endpoint>,
}

/// How a host fares with its calls to the store, in milliseconds before the message.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct StoreHealth {
    /// Since when the host's catalog was known to be the newest one.
    pub catalog_age_ms: u32,
    /// Since when every call was answered.
    pub steady_ms: u32,
    /// When the last call was answered.
    pub answered_ms: u32,
}

/// A message to another host.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub enum Message {
    /// Names the sender. First on each stream.
    Hello {
        /// Name of the sending host.
        host: Arc<str>,
        /// Address of its links.
        links: net::SocketAddr,
        /// Its failure domain.
        domain: Arc<str>,
        /// Time since the sender started, in milliseconds.
        up_ms: u32,
    },
    /// What the sender knows and does.
    Status {
        /// What the sender knows.
        known: StateVersion,
        /// The sender's calls to the store.
        store: StoreHealth,
        /// Work of the sender, or `None` if it is as before.
        loads: Option<Vec<load::EndpointLoad>>,
    },
    /// Work of other hosts that a relay carries: to a relay of another domain that of its own
    /// domain, to a host of its domain that of everyone else.
    Carried(Vec<load::EndpointLoad>),
    /// Parts of prompts that endpoints began to read for the sender; on a new link, all that it
    /// knows of.
    Holdings(Vec<CachedPart>),
    /// Asks for what is newer than what the sender knows.
    Want(StateVersion),
    /// A catalog, in answer to a [`Message::Want`].
    Catalog(Box<catalog::Content>),
    /// Endpoints, in answer to a [`Message::Want`].
    Endpoints {
        /// All changes up to and with this revision are among the records, or known already.
        complete: revision::Revision,
        /// Newer records.
        records: Vec<EndpointRecord>,
    },
}
