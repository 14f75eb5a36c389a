//! Answers of endpoints that may be passed on to callers.

use bytes::Bytes;
use http::{Response, StatusCode, header};
use pistachiochute_core::catalog;

use crate::adapter;
use crate::traffic::answer_head::AnswerHead;
use crate::traffic::attempt::CompleteAnswer;
use crate::traffic::reply::{self, ReplyBody};

/// An answer of an endpoint, as its caller gets it.
///
/// Invariant: its status does not promise that the request has not run, unless the request may run more than
/// once. The endpoint that has made the answer may have run the request: one that has not says so, and its
/// answer is a failed attempt.
pub(super) struct DeliverableAnswer {
    head: AnswerHead,
    body: Bytes,
}

impl DeliverableAnswer {
    /// The answer to a request of a kind, or `None` if it would promise what is not known.
    pub(super) fn of(answer: CompleteAnswer, kind: catalog::RequestKind) -> Option<Self> {
        let CompleteAnswer { mut head, body } = answer;
        if reply::implies_not_run(head.status()) {
            if !kind.is_idempotent() {
                return None;
            }
            // Callers wait for what has not run; this may have.
            head.remove(header::RETRY_AFTER);
        }
        Some(Self { head, body })
    }

    /// Status of the answer.
    pub(super) const fn status(&self) -> StatusCode {
        self.head.status()
    }

    /// The answer as it is sent.
    pub(super) fn into_response<D>(self) -> Response<ReplyBody<D>>
    where
        D: adapter::Dialect,
    {
        self.head.into_response(reply::full_body(self.body))
    }
}
