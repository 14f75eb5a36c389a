//! The HTTP interface for callers.
//!
//! [`crate::listener`] accepts connections, [`parse`] validates HTTP requests against the limits of
//! the settings and turns them into a [`call::Call`], [`serve`] sends the call to owners until one
//! answers, and [`respond`] writes the answer or the refusal.

pub mod call;
mod candidates;
mod parse;
mod respond;
mod serve;

use std::sync::Arc;

use pistachiochute_core::request;

use crate::{clock, control, link, listener, metrics, owner, settings};

/// State shared by the entry threads.
#[derive(Debug)]
pub struct Context {
    /// Settings of the host.
    pub settings: Arc<settings::Settings>,
    /// Handle of the control thread.
    pub control: control::Handle,
    /// Links to other hosts.
    pub links: link::Sender,
    /// Owner server of this host, for endpoints that the host owns itself.
    pub owner: Arc<owner::Server>,
    /// Metrics of the host.
    pub metrics: metrics::Metrics,
    /// Log of the host.
    pub log: slog::Logger,
}

impl listener::Service for Context {
    fn serve(&self, req: listener::Request, answer: listener::Answer) {
        let request = new_request_id();
        match (&req.head.method, req.path()) {
            (&http::Method::GET, "/healthz") => {
                respond::text(answer, http::StatusCode::OK, "ok\n");
            }
            (&http::Method::GET, "/readyz") => self.ready(answer),
            (&http::Method::GET, "/v1/models") => self.models(&req, request, answer),
            _ => match parse::parse_call(req, &self.settings.bounds, clock::now()) {
                Ok(call) => serve::Exchange::new(self, request, call).run(answer),
                Err(error) => {
                    respond::refuse(self, answer, &respond::Refused::invalid(request, error));
                }
            },
        }
    }

    fn refuse_busy(&self, _req: listener::Request, answer: listener::Answer) {
        respond::refuse(self, answer, &respond::Refused::busy(new_request_id()));
    }
}

impl Context {
    /// Lists the models that the caller's plan allows.
    fn models(
        &self,
        req: &listener::Request,
        request: request::RequestId,
        answer: listener::Answer,
    ) {
        let refused = |error| respond::Refused::invalid(request, error);
        let key_digest = match parse::key_digest(req) {
            Ok(key_digest) => key_digest,
            Err(error) => return respond::refuse(self, answer, &refused(error)),
        };
        match self.control.models(key_digest) {
            Ok(models) => respond::models(answer, request, &models),
            Err(e) => respond::refuse(self, answer, &respond::Refused::not_admitted(request, e)),
        }
    }

    fn ready(&self, answer: listener::Answer) {
        match self.control.status().is_some_and(|status| status.ready) {
            true => respond::text(answer, http::StatusCode::OK, "ready\n"),
            false => {
                let status = http::StatusCode::SERVICE_UNAVAILABLE;
                respond::text(answer, status, "not ready\n");
            }
        }
    }
}

fn new_request_id() -> request::RequestId {
    request::RequestId(uuid::Uuid::now_v7())
}

/// Returns the answer to connections beyond the limit.
#[must_use]
pub fn busy_answer() -> bytes::Bytes {
    respond::raw_refusal(&respond::Refused::busy(new_request_id()))
}
