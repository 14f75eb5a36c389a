//! Admission of callers' requests: looks up the account and its plan, and selects the endpoints
//! that may serve the request.

use pistachiochute_core::{entity, lists, name, reason, request, routing, time, units};
use pistachiochute_messages::forward;
use smallvec::SmallVec;

use crate::control::state::State;
use crate::control::{Admitted, Candidate, DEFAULT_RETRY_AFTER, Refused};
use crate::entry::call;

/// Assumed length of the answer if the caller sets no limit, in tokens.
const DEFAULT_ANSWER: units::Tokens = units::Tokens(512);

/// Estimated work of one service call.
const SERVICE_CALL_COST: units::Tokens = units::Tokens(1);

/// Maximum number of load views that a forwarded request carries.
const MAX_LOAD_VIEWS: usize = 4;

impl Refused {
    pub(super) fn new<M>(reason: reason::Refusal, message: M) -> Self
    where
        M: Into<String>,
    {
        Self {
            reason,
            retry_after: None,
            message: message.into(),
        }
    }

    pub(super) fn retry_later<M>(reason: reason::Refusal, message: M) -> Self
    where
        M: Into<String>,
    {
        Self {
            retry_after: Some(DEFAULT_RETRY_AFTER),
            ..Self::new(reason, message)
        }
    }

    pub(crate) fn shutting_down() -> Self {
        Self::retry_later(reason::Refusal::Draining, "the host is shutting down")
    }
}

impl State {
    pub(super) fn admit(
        &mut self,
        _now: time::Time,
        request: request::RequestId,
        call: &call::Call,
    ) -> Result<Admitted, Refused> {
        if self.draining {
            return Err(Refused::shutting_down());
        }
        let (account, plan) = self.authorize(call)?;
        let chat = call
            .chat
            .as_ref()
            .map(|chat| request::ChatKey::new(account, chat));
        let admitted = Admitted {
            weight: plan.weight,
            priority: plan.priority,
            chat,
            cost: estimate_cost(call, plan),
            revision: self.revision,
            candidates: self.candidates(request, chat, &call.target),
            loads: self.load_views(&call.target),
            account: account.clone(),
        };
        if admitted.candidates.is_empty() {
            let message = format!("no endpoint that can be reached serves {}", call.target);
            return Err(Refused::retry_later(reason::Refusal::NoEndpoint, message));
        }
        self.in_progress.insert(request, admitted.account.clone());
        Ok(admitted)
    }

    /// Returns the models that the plan of an account allows.
    pub(super) fn models(
        &self,
        key_digest: &lists::KeyDigest,
    ) -> Result<Vec<name::ModelName>, Refused> {
        let (_, account) = self.account_by_key(key_digest)?;
        let plan = self.plan(account);
        Ok(plan.map_or_else(Vec::new, |plan| plan.models.clone()))
    }

    fn plan(&self, account: &lists::Account) -> Option<&lists::Plan> {
        self.lists.as_ref()?.plans.get(&account.plan)
    }

    fn account_by_key(
        &self,
        key_digest: &lists::KeyDigest,
    ) -> Result<(&name::AccountName, &lists::Account), Refused> {
        let Some(lists) = &self.lists else {
            let message = "the host has not yet taken over the lists";
            return Err(Refused::retry_later(reason::Refusal::NotReady, message));
        };
        let account = self.accounts.get(key_digest);
        account
            .and_then(|name| Some((name, lists.accounts.get(name)?)))
            .ok_or_else(|| {
                let message = "the API key belongs to no account";
                Refused::new(reason::Refusal::Unauthorized, message)
            })
    }

    fn authorize(&self, call: &call::Call) -> Result<(&name::AccountName, &lists::Plan), Refused> {
        let (name, account) = self.account_by_key(&call.key_digest)?;
        match self.plan(account) {
            Some(plan) if plan.allows(&call.target) => Ok((name, plan)),
            _ => {
                let message = format!("plan {} does not hold {}", account.plan, call.target);
                Err(Refused::new(reason::Refusal::NotInPlan, message))
            }
        }
    }

    fn candidates(
        &self,
        request: request::RequestId,
        chat: Option<request::ChatKey>,
        target: &request::Target,
    ) -> SmallVec<[Candidate; 8]> {
        let key = chat.map_or(request.0.as_u64_pair().1, |chat| chat.0);
        let mut order = routing::candidates::Candidates::new();
        self.directory
            .candidates(key, target, self.settings.host.domain, &mut order);
        order
            .iter()
            .filter_map(|&endpoint| self.candidate(endpoint))
            .collect()
    }

    pub(super) fn candidate(&self, endpoint: entity::EndpointId) -> Option<Candidate> {
        let owner = self.directory.owner(endpoint)?;
        let is_self = owner == self.settings.host.id;
        let addr = if is_self {
            None
        } else {
            Some(self.directory.host(owner)?.addr)
        };
        Some(Candidate {
            endpoint,
            owner,
            addr,
        })
    }

    fn load_views(&self, target: &request::Target) -> SmallVec<[forward::LoadView; 4]> {
        let serves = |endpoint: &entity::EndpointId| {
            self.directory
                .endpoint(*endpoint)
                .is_some_and(|e| e.serves.includes(target))
        };
        let view = |(endpoint, load)| forward::LoadView {
            endpoint,
            load,
            age_ms: 0,
        };
        self.owner
            .owned_loads()
            .filter(|(endpoint, _)| serves(endpoint))
            .take(MAX_LOAD_VIEWS)
            .map(view)
            .collect()
    }
}

/// Estimates the work of a call: prompt plus answer, or one unit for a service call.
fn estimate_cost(call: &call::Call, plan: &lists::Plan) -> units::Tokens {
    match call.target {
        request::Target::Model(_) => {
            let answer = call.longest_answer.unwrap_or(DEFAULT_ANSWER);
            call.prompt + answer.min(plan.longest_answer)
        }
        request::Target::Service(_) => SERVICE_CALL_COST,
    }
}
