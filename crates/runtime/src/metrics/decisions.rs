//! Decisions that are counted by kind alone.

/// A decision of a host, or a reason for one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// A datagram was dropped: it is malformed, or its sender is no live host.
    DatagramDropped,
    /// Another host was asked for a permit.
    PermitAsked,
    /// It lent one.
    PermitGranted,
    /// It had none.
    PermitDenied,
    /// It did not answer in time.
    PermitUnanswered,
    /// A permit ran out before the request was sent.
    PermitExpired,
    /// This host lent a permit to another one.
    PermitLent,
    /// This host had no permit for another one.
    PermitRefused,
    /// Another host lends the permits of an endpoint.
    LenderChanged,
    /// An operator has evacuated a failure domain.
    DomainEvacuated,
    /// An operator has taken a failure domain back into use.
    DomainReturned,
    /// An endpoint is cold, or for another time than was known.
    EndpointCold,
    /// A connection to the address of the links was closed: too many are open, or it began nothing.
    LinkRefused,
    /// The store came back from a copy of an earlier time.
    StoreRestored,
    /// A message to another host was too large for the link, and was left out.
    LinkMessageDropped,
    /// A connection to the address of health checks or metrics was closed to make room for another.
    AdminConnectionClosed,
    /// A request has a slot from its scheduler.
    SlotGranted,
    /// A request waited for a slot.
    SlotWaited,
    /// A request was refused, since no slot is free in time.
    SlotRefused,
    /// A scheduler did not answer, and its host chose by load reports.
    SlotUnanswered,
    /// A scheduler was not asked, since it did not answer before.
    SlotNotAsked,
    /// A scheduler knew no endpoint for a request, or the endpoint is closed to its host.
    SlotUnknown,
    /// The registrar of a prompt part named endpoints that hold it.
    PartFound,
    /// It knew none.
    PartNotFound,
    /// It did not answer in time.
    PartUnanswered,
    /// A service with engines is overloaded from now on.
    ServiceOverloaded,
    /// A prompt waited for a place at an overloaded service, and got one.
    PromptWaited,
    /// A prompt was refused, since no place at an overloaded service is free in time.
    PromptRefused,
    /// The endpoint of an answer that its connection delimits lives on: the answer is whole.
    AnswerEndProven,
    /// It may have ended with the connection.
    AnswerEndUnproven,
}

impl Decision {
    /// Every decision.
    pub const ALL: [Self; 30] = [
        Self::DatagramDropped,
        Self::PermitAsked,
        Self::PermitGranted,
        Self::PermitDenied,
        Self::PermitUnanswered,
        Self::PermitExpired,
        Self::PermitLent,
        Self::PermitRefused,
        Self::LenderChanged,
        Self::DomainEvacuated,
        Self::DomainReturned,
        Self::EndpointCold,
        Self::LinkRefused,
        Self::StoreRestored,
        Self::LinkMessageDropped,
        Self::AdminConnectionClosed,
        Self::SlotGranted,
        Self::SlotWaited,
        Self::SlotRefused,
        Self::SlotUnanswered,
        Self::SlotNotAsked,
        Self::SlotUnknown,
        Self::PartFound,
        Self::PartNotFound,
        Self::PartUnanswered,
        Self::ServiceOverloaded,
        Self::PromptWaited,
        Self::PromptRefused,
        Self::AnswerEndProven,
        Self::AnswerEndUnproven,
    ];

    /// Label in the metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::DatagramDropped => "datagram_dropped",
            Self::PermitAsked => "permit_asked",
            Self::PermitGranted => "permit_granted",
            Self::PermitDenied => "permit_denied",
            Self::PermitUnanswered => "permit_unanswered",
            Self::PermitExpired => "permit_expired",
            Self::PermitLent => "permit_lent",
            Self::PermitRefused => "permit_refused",
            Self::LenderChanged => "lender_changed",
            Self::DomainEvacuated => "domain_evacuated",
            Self::DomainReturned => "domain_returned",
            Self::EndpointCold => "endpoint_cold",
            Self::LinkRefused => "link_refused",
            Self::StoreRestored => "store_restored",
            Self::LinkMessageDropped => "link_message_dropped",
            Self::AdminConnectionClosed => "admin_connection_closed",
            Self::SlotGranted => "slot_granted",
            Self::SlotWaited => "slot_waited",
            Self::SlotRefused => "slot_refused",
            Self::SlotUnanswered => "slot_unanswered",
            Self::SlotNotAsked => "slot_not_asked",
            Self::SlotUnknown => "slot_unknown",
            Self::PartFound => "part_found",
            Self::PartNotFound => "part_not_found",
            Self::PartUnanswered => "part_unanswered",
            Self::ServiceOverloaded => "service_overloaded",
            Self::PromptWaited => "prompt_waited",
            Self::PromptRefused => "prompt_refused",
            Self::AnswerEndProven => "answer_end_proven",
            Self::AnswerEndUnproven => "answer_end_unproven",
        }
    }
}
