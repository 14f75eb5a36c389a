//! Parsing and validation of callers' requests.

use bytes::Bytes;
use pistachiochute_core::{lists, name, reason, request, time, units};
use pistachiochute_messages::forward;

use crate::entry::call;
use crate::{listener, settings};

/// Path of chat completions.
const CHAT_PATH: &str = "/v1/chat/completions";

/// Path prefix of service calls.
const SERVICES_PATH: &str = "/v1/services/";

/// Header with the caller's chat id.
const CHAT_HEADER: &str = "x-chat-id";

/// Header with the caller's idempotency key.
const KEY_HEADER: &str = "idempotency-key";

/// Bytes of JSON text per token, used to estimate the length of a prompt.
const BYTES_PER_TOKEN: u64 = 4;

/// Error of a request that failed validation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestError {
    /// Reason code.
    pub reason: reason::Refusal,
    /// Message for the caller.
    pub message: String,
}

impl RequestError {
    fn new<M>(reason: reason::Refusal, message: M) -> Self
    where
        M: Into<String>,
    {
        Self {
            reason,
            message: message.into(),
        }
    }
}

/// Validates a request and turns it into a call.
pub fn parse_call(
    mut req: listener::Request,
    bounds: &settings::Bounds,
    arrived: time::Time,
) -> Result<call::Call, RequestError> {
    check_headers(&req, bounds)?;
    let key_digest = key_digest(&req)?;
    let route = route(&req)?;
    let body = take_body(&mut req, bounds)?;
    match route {
        Route::Chat => chat_call(&req, key_digest, body, bounds, arrived),
        Route::Service { name, method, path } => {
            let key = idempotency_key(&req)?;
            let prompt = units::Tokens::ZERO;
            Ok(call::Call {
                key_digest,
                target: request::Target::Service(name),
                method,
                path,
                content_type: header(&req, "content-type"),
                body,
                chat: Some(header(&req, CHAT_HEADER)).filter(|chat| !chat.is_empty()),
                stream: false,
                idempotency: idempotency_of(method),
                idempotency_key: key,
                prompt,
                longest_answer: Some(units::Tokens::ZERO),
                arrived,
            })
        }
    }
}

enum Route {
    Chat,
    Service {
        name: name::ServiceName,
        method: forward::Method,
        path: Bytes,
    },
}

const fn idempotency_of(method: forward::Method) -> request::Idempotency {
    match method {
        forward::Method::Get => request::Idempotency::Idempotent,
        forward::Method::Post => request::Idempotency::AtMostOnce,
    }
}

fn route(req: &listener::Request) -> Result<Route, RequestError> {
    let method = match req.head.method {
        http::Method::GET => Some(forward::Method::Get),
        http::Method::POST => Some(forward::Method::Post),
        _ => None,
    };
    let wrong_method = || {
        let message = format!("{} does not take {}", req.path(), req.head.method);
        RequestError::new(reason::Refusal::MethodNotAllowed, message)
    };
    if req.path() == CHAT_PATH {
        return match method {
            Some(forward::Method::Post) => Ok(Route::Chat),
            _ => Err(wrong_method()),
        };
    }
    let Some(rest) = req.target().strip_prefix(SERVICES_PATH) else {
        let message = format!("no such path: {}", req.path());
        return Err(RequestError::new(reason::Refusal::NotFound, message));
    };
    let (service, rest) = rest.split_once('/').unwrap_or((rest, ""));
    let name = service.parse().map_err(|e: name::ParseNameError| {
        RequestError::new(reason::Refusal::NotFound, e.to_string())
    })?;
    let path = Bytes::from(format!("/{rest}"));
    Ok(Route::Service {
        name,
        method: method.ok_or_else(wrong_method)?,
        path,
    })
}

fn check_headers(req: &listener::Request, bounds: &settings::Bounds) -> Result<(), RequestError> {
    let fields = req.head.headers.iter();
    let len: usize = fields
        .map(|(name, value)| name.as_str().len() + value.len())
        .sum();
    let len = (len + req.target().len()) as u64;
    if len > bounds.header.0 {
        let message = format!("headers of {len} bytes exceed {} bytes", bounds.header);
        return Err(RequestError::new(reason::Refusal::HeadersTooLarge, message));
    }
    Ok(())
}

fn header(req: &listener::Request, name: &str) -> Bytes {
    let value = req.header(name);
    value.map_or_else(Bytes::new, |value| Bytes::copy_from_slice(value.as_bytes()))
}

/// Returns the digest of the API key in the `Authorization` header.
pub fn key_digest(req: &listener::Request) -> Result<lists::KeyDigest, RequestError> {
    let value = header(req, "authorization");
    let key = value.strip_prefix(b"Bearer ").map(<[u8]>::trim_ascii);
    match key {
        Some(key) if !key.is_empty() => Ok(lists::KeyDigest::of(key)),
        _ => {
            let message = "the request needs a header `Authorization: Bearer KEY`";
            Err(RequestError::new(reason::Refusal::Unauthorized, message))
        }
    }
}

fn idempotency_key(req: &listener::Request) -> Result<Option<uuid::Uuid>, RequestError> {
    let value = header(req, KEY_HEADER);
    if value.is_empty() {
        return Ok(None);
    }
    let key = uuid::Uuid::try_parse_ascii(&value).ok();
    let key = key.filter(|key| key.get_version() == Some(uuid::Version::SortRand));
    let invalid = || {
        RequestError::new(
            reason::Refusal::KeyInvalid,
            "the idempotency key is not a UUIDv7",
        )
    };
    key.ok_or_else(invalid).map(Some)
}

/// Takes the body out of the request, or returns why it was truncated or too large.
fn take_body(
    req: &mut listener::Request,
    bounds: &settings::Bounds,
) -> Result<Bytes, RequestError> {
    let body = std::mem::replace(&mut req.body, Ok(Bytes::new()));
    body.map_err(|error| {
        let (reason, message) = error.refusal(bounds.body.0);
        RequestError { reason, message }
    })
}

/// Fields of a chat completion that routing needs. The body itself is forwarded unchanged.
#[derive(serde::Deserialize)]
struct ChatBody {
    model: name::ModelName,
    messages: Vec<serde_json::Value>,
    #[serde(default)]
    stream: bool,
    max_tokens: Option<u64>,
    max_completion_tokens: Option<u64>,
}

fn chat_call(
    req: &listener::Request,
    key_digest: lists::KeyDigest,
    body: Bytes,
    bounds: &settings::Bounds,
    arrived: time::Time,
) -> Result<call::Call, RequestError> {
    check_depth(&body, bounds.json_depth)?;
    let chat: ChatBody = serde_json::from_slice(&body)
        .map_err(|e| RequestError::new(reason::Refusal::BadRequest, format!("the body: {e}")))?;
    let named = header(req, CHAT_HEADER);
    let name = if named.is_empty() {
        derive_chat_id(&chat.messages)
    } else {
        named
    };
    Ok(call::Call {
        key_digest,
        target: request::Target::Model(chat.model),
        method: forward::Method::Post,
        path: Bytes::from_static(CHAT_PATH.as_bytes()),
        content_type: Bytes::from_static(b"application/json"),
        chat: Some(name),
        stream: chat.stream,
        idempotency: request::Idempotency::Idempotent,
        idempotency_key: None,
        prompt: units::Tokens(body.len() as u64 / BYTES_PER_TOKEN),
        longest_answer: chat
            .max_completion_tokens
            .or(chat.max_tokens)
            .map(units::Tokens),
        body,
        arrived,
    })
}

/// Derives the id of a chat without one from its messages up to the first user message. These stay
/// the same in each later request of the chat.
fn derive_chat_id(messages: &[serde_json::Value]) -> Bytes {
    let is_user = |message: &serde_json::Value| message["role"] == "user";
    let end = messages
        .iter()
        .position(is_user)
        .map_or(messages.len(), |i| i + 1);
    let start = serde_json::Value::from(&messages[..end]);
    Bytes::from(start.to_string())
}

/// Refuses a body that is nested too deeply. Runs before the body is parsed.
fn check_depth(body: &[u8], limit: u32) -> Result<(), RequestError> {
    let mut depth = 0_u32;
    let mut in_string = false;
    let mut escaped = false;
    for &byte in body {
        if in_string {
            match byte {
                _ if escaped => escaped = false,
                b'\\' => escaped = true,
                b'"' => in_string = false,
                _ => {}
            }
            continue;
        }
        match byte {
            b'"' => in_string = true,
            b'{' | b'[' => depth += 1,
            b'}' | b']' => depth = depth.saturating_sub(1),
            _ => {}
        }
        if depth > limit {
            let message = format!("the body is nested deeper than {limit} levels");
            return Err(RequestError::new(reason::Refusal::JsonTooDeep, message));
        }
    }
    Ok(())
}
