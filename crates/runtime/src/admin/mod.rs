//! The side of the host that operators and the collector of metrics speak to.
//!
//! | request | what it does |
//! |---|---|
//! | `GET /healthz`, `/readyz`, `/metrics` | health, readiness, metrics; need no credential |
//! | `GET /v1/status` | state of the host and how far its lists have come; `?revision=rN` for another |
//! | `GET /v1/lists` | both lists with the revision of each entry |
//! | `PUT /v1/lists` | whole lists, with `If-Match: rN` |
//! | `GET`, `PUT`, `DELETE /v1/lists/{accounts,plans}/NAME` | one entry, with `If-Match: rN` or `If-None-Match: *` |
//! | `GET /v1/history` | the last edits, newest first |
//! | `GET /v1/edits/ID` | whether an edit whose answer was lost was recorded |

mod edits;
mod reply;
mod route;

pub use route::MAX_BODY_BYTES;

use std::sync::Arc;

use crate::lists::editor;
use crate::{control, listener, metrics, settings};

/// What the threads that serve operators share.
#[derive(Debug)]
pub struct Context {
    /// Settings of the host.
    pub settings: Arc<settings::Settings>,
    /// Requests to the control thread.
    pub control: control::Handle,
    /// Edits of the lists.
    pub editor: editor::Editor,
    /// Counters of the host.
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
