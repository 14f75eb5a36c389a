//! A caller of the fleet, for the demo and the load tool.

use std::io::{BufRead as _, Read as _};
use std::time::{Duration, Instant};
use std::{fmt, io, net};

use serde_json::Value;

/// Largest body of an answer that is read, in bytes.
const MAX_BODY: u64 = 64 << 20;

/// Path of chat completions.
const CHAT_PATH: &str = "/v1/chat/completions";

/// Header with the caller's name of a chat.
const CHAT_HEADER: &str = "x-chat-id";

/// Header with the outcome of a request.
const OUTCOME_HEADER: &str = "x-outcome";

/// How an exchange ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum End {
    /// The whole answer arrived.
    Whole,
    /// The fleet refused the request, or ended it with an error, for this reason.
    Refused(String),
    /// The answer was cut without a reason.
    Cut,
    /// The host could not be reached or did not answer in time.
    Unreachable,
}

impl fmt::Display for End {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Whole => f.write_str("whole"),
            Self::Refused(reason) => f.write_str(reason),
            Self::Cut => f.write_str("cut"),
            Self::Unreachable => f.write_str("unreachable"),
        }
    }
}

/// What the caller got.
#[derive(Clone, Debug)]
pub(crate) struct Reply {
    /// HTTP status, or 0 if none arrived.
    pub(crate) status: u16,
    /// Outcome that the fleet states: `not_run`, `unknown` or `run`.
    pub(crate) outcome: String,
    /// How the exchange ended.
    pub(crate) end: End,
    /// Text of the answer.
    pub(crate) text: String,
    /// Time of each token, from the start of the exchange. A whole answer has one.
    pub(crate) tokens: Vec<Duration>,
    /// Tokens of the prompt.
    pub(crate) prompt_tokens: u64,
    /// Tokens of the prompt that the engine had cached.
    pub(crate) cached_tokens: u64,
}

impl Reply {
    fn new(status: u16, outcome: String, end: End) -> Self {
        Self {
            status,
            outcome,
            end,
            text: String::new(),
            tokens: Vec::new(),
            prompt_tokens: 0,
            cached_tokens: 0,
        }
    }

    /// Whether the whole answer arrived.
    pub(crate) fn is_whole(&self) -> bool {
        self.end == End::Whole
    }

    fn take_usage(&mut self, usage: &Value) {
        let count = |value: &Value| value.as_u64().unwrap_or(0);
        self.prompt_tokens = count(&usage["prompt_tokens"]);
        self.cached_tokens = count(&usage["prompt_tokens_details"]["cached_tokens"]);
    }
}

/// A caller with its API key and the host that it speaks to.
#[derive(Clone, Debug)]
pub(crate) struct Client {
    addr: net::SocketAddr,
    key: String,
    timeout: Duration,
}

impl Client {
    /// Makes a caller.
    pub(crate) fn new(addr: net::SocketAddr, key: &str, timeout: Duration) -> Self {
        Self {
            addr,
            key: key.to_owned(),
            timeout,
        }
    }

    /// Sends a chat completion and reads the answer, whole or as a stream.
    pub(crate) fn chat(&self, chat: &str, body: &Value) -> Reply {
        let start = Instant::now();
        let streamed = body["stream"] == true;
        let request = self.post(CHAT_PATH).header(CHAT_HEADER, chat);
        let resp = match request.json(body).and_then(attohttpc::RequestBuilder::send) {
            Ok(resp) => resp,
            Err(_) => return unreachable(),
        };
        if streamed && resp.status().is_success() {
            read_stream(resp, start)
        } else {
            read_chat(resp, start)
        }
    }

    fn post(&self, path: &str) -> attohttpc::RequestBuilder {
        attohttpc::post(format!("http://{}{path}", self.addr))
            .header("authorization", format!("Bearer {}", self.key))
            .timeout(self.timeout)
            .read_timeout(self.timeout)
    }
}

fn unreachable() -> Reply {
    Reply::new(0, String::new(), End::Unreachable)
}

fn outcome(resp: &attohttpc::Response) -> String {
    let value = resp.headers().get(OUTCOME_HEADER);
    let text = value.and_then(|value| value.to_str().ok());
    text.unwrap_or_default().to_owned()
}

/// Reads an answer that is not streamed, or a refusal.
fn read_whole(resp: attohttpc::Response) -> Reply {
    let status = resp.status();
    let outcome = outcome(&resp);
    let mut text = String::new();
    if resp.take(MAX_BODY).read_to_string(&mut text).is_err() {
        return Reply::new(status.as_u16(), outcome, End::Cut);
    }
    let end = if status.is_success() {
        End::Whole
    } else {
        End::Refused(reason(&text))
    };
    let mut reply = Reply::new(status.as_u16(), outcome, end);
    reply.text = text;
    reply
}

fn read_chat(resp: attohttpc::Response, start: Instant) -> Reply {
    let mut reply = read_whole(resp);
    if !reply.is_whole() {
        return reply;
    }
    let answer: Value = serde_json::from_str(&reply.text).unwrap_or_default();
    let Some(content) = answer["choices"][0]["message"]["content"].as_str() else {
        reply.end = End::Cut;
        return reply;
    };
    reply.text = content.to_owned();
    reply.tokens.push(start.elapsed());
    reply.take_usage(&answer["usage"]);
    reply
}

/// Reads the events of a stream. Only the end marker makes it whole.
fn read_stream(resp: attohttpc::Response, start: Instant) -> Reply {
    let mut reply = Reply::new(resp.status().as_u16(), outcome(&resp), End::Cut);
    let mut ended = false;
    for line in io::BufReader::new(resp).lines() {
        let Ok(line) = line else {
            return reply;
        };
        let Some(data) = line.strip_prefix("data: ") else {
            continue;
        };
        if data == "[DONE]" {
            ended = true;
            continue;
        }
        let event: Value = serde_json::from_str(data).unwrap_or_default();
        if event["error"].is_object() {
            reply.end = End::Refused(reason(data));
            return reply;
        }
        if let Some(token) = event["choices"][0]["delta"]["content"].as_str() {
            reply.text.push_str(token);
            reply.tokens.push(start.elapsed());
        }
        if event["usage"].is_object() {
            reply.take_usage(&event["usage"]);
        }
    }
    if ended {
        reply.end = End::Whole;
    }
    reply
}

/// Reason code of an error body.
fn reason(text: &str) -> String {
    let body: Value = serde_json::from_str(text).unwrap_or_default();
    body["error"]["code"]
        .as_str()
        .unwrap_or("no_reason")
        .to_owned()
}
