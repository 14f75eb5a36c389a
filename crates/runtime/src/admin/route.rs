//! Which request does what.

use std::io::Read as _;
use std::str::FromStr;

use bytes::Bytes;
use pistachiochute_core::lists::storage;
use pistachiochute_core::{lists, reason, revision};
use serde_json::json;

use crate::admin::{Context, edits, reply::Reply};
use crate::settings;

/// Largest body of an operator, in bytes. Both lists of the size to design for take a tenth.
const MAX_BODY: u64 = 1 << 20;

/// Answers a request.
pub fn reply(cx: &Context, req: &mut tiny_http::Request) -> Reply {
    let url = req.url().to_owned();
    let (path, query) = url.split_once('?').unwrap_or((&url, ""));
    let is_get = *req.method() == tiny_http::Method::Get;
    match path {
        "/healthz" if is_get => Reply::text(200, "ok\n"),
        "/readyz" if is_get => ready(cx),
        "/metrics" if is_get => match cx.metrics.render() {
            Ok(text) => Reply::metrics(text),
            Err(e) => Reply::error(reason::Refusal::Internal, e.to_string()),
        },
        _ => match operator(cx, req) {
            Some(operator) => operator_reply(cx, operator, req, path, query),
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

fn operator<'a>(cx: &'a Context, req: &tiny_http::Request) -> Option<&'a settings::Operator> {
    let credential = header(req, "authorization")?;
    let credential = credential.strip_prefix("Bearer ")?.trim();
    let digest = lists::KeyDigest::of(credential.as_bytes());
    cx.settings
        .credentials
        .operators
        .iter()
        .find(|operator| operator.digest == digest)
}

fn operator_reply(
    cx: &Context,
    operator: &settings::Operator,
    req: &mut tiny_http::Request,
    path: &str,
    query: &str,
) -> Reply {
    let segments: Vec<_> = path.split('/').skip(1).collect();
    match (req.method().clone(), &segments[..]) {
        (tiny_http::Method::Get, ["v1", "status"]) => status(cx, query),
        (tiny_http::Method::Get, ["v1", "lists"]) => edits::whole(cx),
        (tiny_http::Method::Get, ["v1", "lists", list, name]) => edits::entry(cx, list, name),
        (tiny_http::Method::Get, ["v1", "history"]) => edits::history(cx),
        (tiny_http::Method::Get, ["v1", "edits", id]) => match storage::EditId::from_str(id) {
            Ok(id) => edits::resolve(cx, id),
            Err(e) => Reply::error(reason::Refusal::BadRequest, e.to_string()),
        },
        (tiny_http::Method::Put, ["v1", "lists"]) => match body(req) {
            Ok(body) => edits::put_whole(cx, operator, header(req, "if-match"), &body),
            Err(reply) => reply,
        },
        (tiny_http::Method::Put, ["v1", "lists", list, name]) => match body(req) {
            Ok(body) => {
                let base = edits::base(header(req, "if-match"), header(req, "if-none-match"));
                edits::put_entry(cx, operator, (list, name), base, &body)
            }
            Err(reply) => reply,
        },
        (tiny_http::Method::Delete, ["v1", "lists", list, name]) => {
            let base = edits::base(header(req, "if-match"), None);
            edits::remove_entry(cx, operator, (list, name), base)
        }
        (method, _) => {
            let message = format!("no such request: {method} {path}");
            Reply::error(reason::Refusal::NotFound, message)
        }
    }
}

fn status(cx: &Context, query: &str) -> Reply {
    let asked = query
        .split('&')
        .find_map(|pair| pair.strip_prefix("revision="));
    let revision = match asked.map(revision::Revision::from_str).transpose() {
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

fn header(req: &tiny_http::Request, name: &str) -> Option<String> {
    let is_named =
        |header: &&tiny_http::Header| header.field.as_str().as_str().eq_ignore_ascii_case(name);
    req.headers()
        .iter()
        .find(is_named)
        .map(|header| header.value.to_string())
}

fn body(req: &mut tiny_http::Request) -> Result<Bytes, Reply> {
    let declared = req.body_length();
    let mut body = Vec::new();
    let mut reader = req.as_reader().take(MAX_BODY + 1);
    let read = reader.read_to_end(&mut body);
    if body.len() as u64 > MAX_BODY {
        let message = format!("the body exceeds {MAX_BODY} bytes");
        return Err(Reply::error(reason::Refusal::BodyTooLarge, message));
    }
    if read.is_err() || declared.is_some_and(|len| len != body.len()) {
        let message = "the body ended before its declared length";
        return Err(Reply::error(reason::Refusal::BodyTruncated, message));
    }
    Ok(body.into())
}
