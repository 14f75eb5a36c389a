//! Admin API: requests of operators, health checks and metrics collectors.
//!
//! | request | effect |
//! |---|---|
//! | `GET /healthz`, `/readyz`, `/metrics` | health, readiness, metrics; no credential needed |
//! | `GET /v1/status` | state of the host and of its lists; `?revision=rN` for another revision |
//! | `GET /v1/lists` | both lists with the revision of each entry |
//! | `PUT /v1/lists` | replaces both lists, with `If-Match: rN` |
//! | `GET /v1/lists/{accounts,plans}/NAME` | one entry |
//! | `PUT`, `DELETE` on the same path | with `If-Match: rN`, or `If-None-Match: *` if it is new |
//! | `GET /v1/history` | the most recent edits, newest first |
//! | `GET /v1/edits/ID` | whether an edit whose answer was lost was recorded |

mod edits;
mod reply;
mod route;

pub use route::MAX_BODY_BYTES;

use std::sync::Arc;

use crate::lists::editor;
use crate::{control, listener, metrics, settings};

/// State shared by the threads that serve admin requests.
#[derive(Debug)]
pub struct Context {
    /// Settings of the host.
    pub settings: Arc<settings::Settings>,
    /// Handle of the control thread.
    pub control: control::Handle,
    /// Makes edits of the lists.
    pub editor: editor::Editor,
    /// Metrics of the host.
    pub metrics: metrics::Metrics,
    /// Log of the host.
    pub log: slog::Logger,
}

impl listener::Service for Context {
    fn serve(&self, req: listener::Request, answer: listener::Answer) {
        route::handle(self, &req).send(answer);
    }

    fn refuse_busy(&self, _req: listener::Request, answer: listener::Answer) {
        reply::Reply::busy().send(answer);
    }
}
