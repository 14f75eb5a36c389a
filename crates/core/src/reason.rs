//! Closed sets of reasons for refusals, retries and closed connections. Every reason has a counter
//! in the metrics.

use std::fmt;

macro_rules! reasons {
    ($(#[$attr:meta])* $name:ident { $($(#[$doc:meta])* $variant:ident => $text:literal,)* }) => {
        $(#[$attr])*
        #[derive(
            Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize,
            serde::Deserialize,
        )]
        #[serde(rename_all = "snake_case")]
        pub enum $name {
            $($(#[$doc])* $variant,)*
        }

        impl $name {
            /// Every reason, in the order of declaration.
            pub const ALL: &'static [Self] = &[$(Self::$variant,)*];

            /// Name of the reason in metrics, logs and error bodies.
            #[must_use]
            pub const fn as_str(self) -> &'static str {
                match self {
                    $(Self::$variant => $text,)*
                }
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(self.as_str())
            }
        }
    };
}

reasons! {
    /// Why a request was refused or ended without a complete answer.
    Refusal {
        /// The request is not well-formed.
        BadRequest => "bad_request",
        /// The headers exceed the size limit.
        HeadersTooLarge => "headers_too_large",
        /// The body exceeds the size limit.
        BodyTooLarge => "body_too_large",
        /// The prompt is longer than the KV cache of an engine.
        PromptTooLarge => "prompt_too_large",
        /// The JSON body exceeds the limit on nesting depth.
        JsonTooDeep => "json_too_deep",
        /// The body ended before its declared length or stalled.
        BodyTruncated => "body_truncated",
        /// The path does not exist.
        NotFound => "not_found",
        /// The path does not support this method.
        MethodNotAllowed => "method_not_allowed",
        /// The API key is missing or belongs to no account.
        Unauthorized => "unauthorized",
        /// The plan does not include the model or service.
        NotInPlan => "not_in_plan",
        /// The plan's limit on requests per minute is reached.
        RequestLimit => "request_limit",
        /// The plan's limit on tokens per minute is reached.
        TokenLimit => "token_limit",
        /// The plan's limit on requests in flight is reached.
        InFlightLimit => "in_flight_limit",
        /// No host that manages a share of the plan's limits answered in time.
        LimitUnconfirmed => "limit_unconfirmed",
        /// The host has reached its limit of connections.
        TooManyConnections => "too_many_connections",
        /// No reachable endpoint serves the model or service.
        NoEndpoint => "no_endpoint",
        /// The endpoint has reached its load bound.
        AtBound => "at_bound",
        /// The queue of the endpoint is full.
        QueueFull => "queue_full",
        /// The deadline cannot be met.
        Deadline => "deadline",
        /// The host is shutting down.
        Draining => "draining",
        /// The receiver does not own the endpoint.
        NotOwner => "not_owner",
        /// The endpoint is leaving.
        EndpointLeaving => "endpoint_leaving",
        /// The host has not loaded the lists yet.
        NotReady => "not_ready",
        /// The key-value service is unreachable, and the call needs a record in it.
        StoreUnavailable => "store_unavailable",
        /// The idempotency key is older than the retention window.
        KeyExpired => "key_expired",
        /// The time in the idempotency key is too far ahead of the host's clock.
        KeyAhead => "key_ahead",
        /// The idempotency key is not a UUIDv7.
        KeyInvalid => "key_invalid",
        /// The idempotency key was used with another body.
        KeyReused => "key_reused",
        /// The action of the idempotency key is in progress.
        InProgress => "in_progress",
        /// The action of the idempotency key ended without a recorded outcome.
        ActionUnknown => "action_unknown",
        /// The action of the idempotency key ran, but its answer was too long to be recorded.
        AnswerNotKept => "answer_not_kept",
        /// The journal of actions has no room for another record at present.
        JournalFull => "journal_full",
        /// The retry budget of the host is exhausted.
        RetryBudget => "retry_budget",
        /// The request passed through too many hosts.
        HopLimit => "hop_limit",
        /// A connection could not be made.
        ConnectFailed => "connect_failed",
        /// The connection was lost before the answer was complete.
        ConnectionLost => "connection_lost",
        /// The answer stalled for longer than its deadline.
        Stalled => "stalled",
        /// The endpoint refused before running the request.
        EndpointRefused => "endpoint_refused",
        /// The endpoint reported an error.
        EndpointFailed => "endpoint_failed",
        /// The answer was truncated or did not match its length.
        AnswerIncomplete => "answer_incomplete",
        /// The caller disconnected.
        CallerGone => "caller_gone",
        /// The credential does not allow the operation.
        Forbidden => "forbidden",
        /// The edit was based on a revision that is not the latest.
        EditConflict => "edit_conflict",
        /// Verification of the lists reported findings.
        InvalidLists => "invalid_lists",
        /// The host itself failed.
        Internal => "internal",
        /// It is not known for certain which software version began the stream.
        StreamVersionUnknown => "stream_version_unknown",
        /// No endpoint of the software version that began the stream can be used.
        StreamVersionGone => "stream_version_gone",
        /// The limits that the endpoints name have no room for this host at present.
        EndpointLimits => "endpoint_limits",
        /// All endpoints of the service have asked this host to send them nothing for a while.
        EndpointPushback => "endpoint_pushback",
        /// The prompt has a part that crashes endpoints.
        CrashesEndpoints => "crashes_endpoints",
        /// The connection was lost, and the prompt may have crashed the endpoint.
        CrashSuspect => "crash_suspect",
        /// An operator has evacuated the failure domains of all endpoints of the service.
        DomainEvacuated => "domain_evacuated",
        /// The endpoints of the service are cold, and have no room for this host at present.
        EndpointsCold => "endpoints_cold",
        /// The host has no memory left for what callers send.
        MemoryShort => "memory_short",
        /// The caller sends too many requests without waiting for answers.
        SentAhead => "sent_ahead",
        /// No slot of the service's endpoints is free in time.
        CallSlots => "call_slots",
        /// The service is overloaded, and the prompt cannot be read in time.
        Overloaded => "overloaded",
    }
}

impl Refusal {
    /// HTTP status of the refusal.
    #[must_use]
    pub const fn status(self) -> u16 {
        match self {
            Self::BadRequest | Self::BodyTruncated | Self::JsonTooDeep => 400,
            Self::KeyAhead | Self::KeyInvalid | Self::InvalidLists => 400,
            Self::Unauthorized => 401,
            Self::NotInPlan | Self::Forbidden => 403,
            Self::NotFound => 404,
            Self::MethodNotAllowed => 405,
            Self::InProgress | Self::EditConflict | Self::AnswerNotKept => 409,
            Self::KeyExpired => 410,
            Self::BodyTooLarge | Self::PromptTooLarge => 413,
            Self::KeyReused => 422,
            Self::RequestLimit | Self::TokenLimit | Self::InFlightLimit => 429,
            Self::HeadersTooLarge => 431,
            Self::Internal => 500,
            Self::EndpointFailed | Self::AnswerIncomplete | Self::ConnectionLost => 502,
            Self::ActionUnknown => 502,
            Self::Deadline | Self::Stalled => 504,
            Self::CallerGone => 499,
            Self::LimitUnconfirmed
            | Self::TooManyConnections
            | Self::NoEndpoint
            | Self::AtBound
            | Self::QueueFull
            | Self::Draining
            | Self::NotOwner
            | Self::EndpointLeaving
            | Self::NotReady
            | Self::StoreUnavailable
            | Self::JournalFull
            | Self::RetryBudget
            | Self::HopLimit
            | Self::ConnectFailed
            | Self::EndpointRefused
            | Self::StreamVersionUnknown
            | Self::StreamVersionGone
            | Self::EndpointLimits
            | Self::EndpointPushback
            | Self::DomainEvacuated
            | Self::EndpointsCold
            | Self::CallSlots
            | Self::Overloaded
            | Self::CrashSuspect
            | Self::MemoryShort
            | Self::SentAhead
            | Self::CrashesEndpoints => 503,
        }
    }
}

reasons! {
    /// Why a host closed a caller's connection that had unfinished requests, or that misbehaved.
    Close {
        /// The host stopped, and the time for its last requests was over.
        StopDeadline => "stop_deadline",
        /// The connection failed, but not because the caller closed it.
        ConnectionError => "connection_error",
        /// The head of a request did not arrive in time.
        HeadTimeout => "head_timeout",
        /// The caller read its answer too slowly.
        AnswerUnread => "answer_unread",
        /// Others needed the memory, and the caller held most of it for longest without progress.
        MemoryShort => "memory_short",
        /// Others needed the connection, and the caller had made no progress for longest.
        ConnectionLimit => "connection_limit",
        /// The library could not read the head of a request, or it exceeds the bounds.
        HeadInvalid => "head_invalid",
        /// The caller left open where a request ends.
        FramingInvalid => "framing_invalid",
    }
}

reasons! {
    /// Why a request was sent again.
    Retry {
        /// The endpoint had reached its load bound, so the next candidate is tried.
        AtBound => "at_bound",
        /// The endpoint's queue was full.
        QueueFull => "queue_full",
        /// The receiver did not own the endpoint.
        NotOwner => "not_owner",
        /// The endpoint was leaving.
        EndpointLeaving => "endpoint_leaving",
        /// The endpoint asked for a pause while the request waited for a connection.
        EndpointPushback => "endpoint_pushback",
        /// The owner was shutting down.
        Draining => "draining",
        /// No connection to the owner or endpoint could be made.
        ConnectFailed => "connect_failed",
        /// The connection was lost and the request may be repeated.
        ConnectionLost => "connection_lost",
        /// The answer stalled and the request may be repeated.
        Stalled => "stalled",
        /// The endpoint refused before running the request.
        EndpointRefused => "endpoint_refused",
        /// The endpoint ran an idempotent request and failed.
        EndpointFailed => "endpoint_failed",
        /// The endpoint did not show that it has the software version of the stream.
        VersionUnproven => "version_unproven",
        /// An interrupted stream is resumed at the engine.
        Resume => "resume",
    }
}

impl Retry {
    /// The retry reason of a refusal, or `None` if another attempt cannot help.
    #[must_use]
    pub const fn of(refusal: Refusal) -> Option<Self> {
        match refusal {
            Refusal::AtBound => Some(Self::AtBound),
            Refusal::QueueFull => Some(Self::QueueFull),
            Refusal::NotOwner => Some(Self::NotOwner),
            Refusal::EndpointLeaving => Some(Self::EndpointLeaving),
            Refusal::Draining => Some(Self::Draining),
            Refusal::ConnectFailed => Some(Self::ConnectFailed),
            Refusal::ConnectionLost | Refusal::AnswerIncomplete => Some(Self::ConnectionLost),
            Refusal::Stalled => Some(Self::Stalled),
            Refusal::EndpointRefused => Some(Self::EndpointRefused),
            _ => None,
        }
    }
}
