//! Load of an endpoint, combined from local counts, reports of other hosts and its own reports.

/// Work of one or more hosts at an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Work {
    /// Requests in progress.
    pub requests: u32,
    /// Prompt tokens of the requests that have not produced output yet.
    pub unread_tokens: u32,
}

/// Work at an endpoint, as hosts report it to each other. While a service is overloaded, also the work of
/// its largest client accounts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct EndpointLoad {
    /// Hash of the endpoint's identity, or of service and account.
    pub endpoint: u64,
    /// Work of the reporting hosts there.
    pub work: Work,
}

/// Load of one endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Work of this host.
    pub own: Work,
    /// Work of the other hosts, by their last reports.
    pub others: Work,
    /// Requests that the endpoint last reported itself, if the report is recent.
    pub reported_requests: Option<u32>,
}

impl Load {
    /// Requests in progress: the larger of the hosts' count and the endpoint's own report.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        let counted = self.own.requests + self.others.requests;
        counted.max(self.reported_requests.unwrap_or(0))
    }

    /// Prompt tokens that are prefilled before those of a new request.
    #[must_use]
    pub const fn unread_tokens(&self) -> u32 {
        let others = self.others.unread_tokens;
        self.own.unread_tokens.saturating_add(others)
    }
}
