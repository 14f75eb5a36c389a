//! Routing of admin requests.

use std::str::FromStr;

use bytes::Bytes;
use pistachiochute_core::lists::storage;
use pistachiochute_core::{lists, reason, revision};
use serde_json::json;

use crate::admin::{Context, edits, reply::Reply};
use crate::{listener, settings};

/// Largest body of an admin request, in bytes. Both lists of the design size take a tenth of it.
pub const MAX_BODY_BYTES: u64 = 1 << 20;

/// Handles a request and returns its response.
pub fn handle(cx: &Context, req: &listener::Request) -> Reply {
    let path = req.path();
    let query = req.head.uri.query().unwrap_or("");
    let is_get = req.head.method == http::Method::GET;
    match path {
        "/healthz" if is_get => Reply::text(200, "ok\n"),
        "/readyz" if is_get => ready(cx),
        "/metrics" if is_get => match cx.metrics.render() {
            Ok(text) => Reply::metrics(text),
            Err(e) => Reply::error(reason::Refusal::Internal, e.to_string()),
        },
        _ => match authenticate(cx, req) {
            Some(operator) => handle_operator(cx, operator, req, path, query),
            None => {
                let message = "the request needs a header `Authorization: Bearer CREDENTIAL`";
                Reply::error(reason::Refusal::Unauthorized, message)
            }
        },
    }
}

fn ready(cx: &Context) -> Reply {
    match cx.control.status().is_some_and(|status| status.ready) {
        true => Reply::text(200, "ready\n"),
        false => Reply::text(503, "not ready\n"),
    }
}

fn authenticate<'a>(cx: &'a Context, req: &listener::Request) -> Option<&'a settings::Operator> {
    let credential = header(req, "authorization")?;
    let credential = credential.strip_prefix("Bearer ")?.trim();
    let digest = lists::KeyDigest::of(credential.as_bytes());
    cx.settings
        .credentials
        .operators
        .iter()
        .find(|operator| operator.digest == digest)
}

fn handle_operator(
    cx: &Context,
    operator: &settings::Operator,
    req: &listener::Request,
    path: &str,
    query: &str,
) -> Reply {
    let segments: Vec<_> = path.split('/').skip(1).collect();
    match (&req.head.method, &segments[..]) {
        (&http::Method::GET, ["v1", "status"]) => status(cx, query),
        (&http::Method::GET, ["v1", "lists"]) => edits::get_lists(cx),
        (&http::Method::GET, ["v1", "lists", list, name]) => edits::get_entry(cx, list, name),
        (&http::Method::GET, ["v1", "history"]) => edits::history(cx),
        (&http::Method::GET, ["v1", "edits", id]) => match storage::EditId::from_str(id) {
            Ok(id) => edits::resolve(cx, id),
            Err(e) => Reply::error(reason::Refusal::BadRequest, e.to_string()),
        },
        (&http::Method::PUT, ["v1", "lists"]) => match body(req) {
            Ok(body) => edits::put_lists(cx, operator, header(req, "if-match"), &body),
            Err(reply) => reply,
        },
        (&http::Method::PUT, ["v1", "lists", list, name]) => match body(req) {
            Ok(body) => {
                let base = edits::parse_base(header(req, "if-match"), header(req, "if-none-match"));
                edits::put_entry(cx, operator, (list, name), base, &body)
            }
            Err(reply) => reply,
        },
        (&http::Method::DELETE, ["v1", "lists", list, name]) => {
            let base = edits::parse_base(header(req, "if-match"), None);
            edits::remove_entry(cx, operator, (list, name), base)
        }
        (method, _) => {
            let message = format!("no such request: {method} {path}");
            Reply::error(reason::Refusal::NotFound, message)
        }
    }
}

fn status(cx: &Context, query: &str) -> Reply {
    let requested = query
        .split('&')
        .find_map(|pair| pair.strip_prefix("revision="));
    let revision = match requested.map(revision::Revision::from_str).transpose() {
        Ok(revision) => revision,
        Err(e) => return Reply::error(reason::Refusal::BadRequest, format!("revision: {e}")),
    };
    let Some(status) = cx.control.status() else {
        return Reply::error(reason::Refusal::Draining, "the host is shutting down");
    };
    let lists = cx.control.lists_status(revision).map(|lists| {
        json!({
            "revision": lists.revision.to_string(),
            "in_force_here": lists.version.revision.to_string(),
            "domains": lists.domains,
        })
    });
    Reply::json(200, &json!({ "host": status, "lists": lists }))
}

fn header(req: &listener::Request, name: &str) -> Option<String> {
    let value = req.header(name)?;
    Some(String::from_utf8_lossy(value.as_bytes()).into_owned())
}

fn body(req: &listener::Request) -> Result<Bytes, Reply> {
    req.body.clone().map_err(|fault| {
        let (reason, message) = fault.refusal(MAX_BODY_BYTES);
        Reply::error(reason, message)
    })
}
