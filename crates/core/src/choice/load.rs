//! Load of an endpoint, from everything that a host knows of it.

/// Work of one or more hosts at an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Work {
    /// Requests in progress.
    pub requests: u32,
    /// Prompt tokens of requests that have had no event yet.
    pub unread_tokens: u32,
}

/// Work at an endpoint, as hosts tell each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct EndpointLoad {
    /// Hash of the endpoint's identity.
    pub endpoint: u64,
    /// The work.
    pub work: Work,
}

/// Load of one endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Work of this host.
    pub own: Work,
    /// Work of the other hosts, by their last digests.
    pub others: Work,
    /// Requests that the endpoint itself last said that it had, less those that ended since, if
    /// it said so lately.
    pub reported_requests: Option<u32>,
}

impl Load {
    /// Requests in progress, by the highest of the counts.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        let counted = self.own.requests + self.others.requests;
        counted.max(self.reported_requests.unwrap_or(0))
    }

    /// Prompt tokens that are read before those of a new request.
    #[must_use]
    pub const fn unread_tokens(&self) -> u32 {
        let others = self.others.unread_tokens;
        self.own.unread_tokens.saturating_add(others)
    }
}
