//! Load of an endpoint, from everything that a host knows of it.

/// Load of one endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests of this host in progress there.
    pub own_requests: u32,
    /// Prompt tokens of this host's requests that have had no event yet.
    pub own_unread_tokens: u32,
    /// Requests of the other hosts, by their last digests.
    pub other_requests: u32,
    /// Prompt tokens of the other hosts' requests that have had no event yet.
    pub other_unread_tokens: u32,
    /// Requests that the endpoint itself last said that it had, less those that ended since, if
    /// it said so lately.
    pub reported_requests: Option<u32>,
}

impl Load {
    /// Requests in progress, by the highest of the counts.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        let counted = self.own_requests + self.other_requests;
        counted.max(self.reported_requests.unwrap_or(0))
    }

    /// Prompt tokens that are read before those of a new request.
    #[must_use]
    pub const fn unread_tokens(&self) -> u32 {
        self.own_unread_tokens
            .saturating_add(self.other_unread_tokens)
    }
}
