//! Scenes of the demo, each with its stated outcome.

use std::fmt;
use std::thread;
use std::time::{Duration, Instant};

use pistachiochute_core::topology;
use pistachiochute_runtime::host;
use serde_json::{Value, json};

use crate::client;
use crate::demo::fleet;

/// Chats of the demo.
const CHATS: usize = 12;

/// Turns of each chat.
const TURNS: usize = 4;

/// Length of the text of one turn, in bytes.
const TURN_BYTES: usize = 512;

/// Tokens of an answer that is watched as it streams.
const STREAMED_TOKENS: usize = 20;

/// Time after which a leaving endpoint gets no new work.
const LEAVING: Duration = Duration::from_secs(3);

/// Status of a call whose action is in progress or whose outcome is not yet recorded.
const IN_PROGRESS: u16 = 409;

/// Pause before a call in progress is repeated.
const REPEAT_PAUSE: Duration = Duration::from_millis(250);

/// Time that one request may take.
const TIMEOUT: Duration = Duration::from_secs(20);

/// What was stated and what came out.
#[derive(Clone, Debug, serde::Serialize)]
pub(super) struct Scene {
    /// Name of the scene.
    pub(super) name: &'static str,
    /// What has to come out.
    pub(super) stated: String,
    /// What came out.
    pub(super) seen: String,
    /// Whether it came out as stated.
    pub(super) ok: bool,
}

/// Plays all scenes.
pub(super) fn play(fleet: &mut fleet::Fleet) -> Vec<Scene> {
    let mut played = vec![
        returning_chats(fleet),
        stream(fleet),
        outside_the_plan(fleet),
        booking(fleet),
    ];
    let engine = busiest(&fleet.runs());
    played.push(leaving_engine(fleet, engine));
    played.push(returned_engine(fleet, engine));
    played.push(planned_stop(fleet));
    played
}

/// Sends every turn of every chat through the hosts in turn.
fn returning_chats(fleet: &fleet::Fleet) -> Scene {
    let mut whole = 0;
    let mut cached = 0;
    for turn in 1..=TURNS {
        for chat in 0..CHATS {
            let reply = send(fleet, chat + turn, chat, &body(chat, turn, 8, false));
            whole += usize::from(reply.is_whole() && reply.outcome == "run");
            cached += usize::from(turn > 1 && reply.cached_tokens > 0);
        }
    }
    let returned = CHATS * (TURNS - 1);
    let sent = CHATS * TURNS;
    Scene {
        name: "returning chats",
        stated: format!("{sent} whole, {returned} of {returned} returns find their prefix cached"),
        seen: format!("{whole} whole, {cached} of {returned} found it"),
        ok: whole == sent && cached == returned,
    }
}

/// Reads the tokens of a stream as they are generated.
fn stream(fleet: &fleet::Fleet) -> Scene {
    let reply = send(fleet, 0, 0, &body(0, TURNS + 1, STREAMED_TOKENS, true));
    let tokens = &reply.tokens;
    let span = match (tokens.first(), tokens.last()) {
        (Some(first), Some(last)) => *last - *first,
        _ => Duration::ZERO,
    };
    let least = fleet::TOKEN_TIME * (STREAMED_TOKENS as u32 / 2);
    Scene {
        name: "stream",
        stated: format!("{STREAMED_TOKENS} tokens over at least {least:?}, whole"),
        seen: format!("{} tokens over {span:.0?}, {}", tokens.len(), reply.end),
        ok: reply.is_whole() && tokens.len() == STREAMED_TOKENS && span >= least,
    }
}

/// Books twice with one key, through hosts of two failure domains, as a caller that lost its answer.
fn booking(fleet: &fleet::Fleet) -> Scene {
    let before = fleet.bookings();
    let key = uuid::Uuid::now_v7().to_string();
    let book = |host| call_service(fleet, host, &key, "teacher 7, school 3, Monday");
    let answers = [book(0), settled(|| book(fleet.hosts() - 1))];
    let other = call_service(fleet, 1, &key, "teacher 8, school 3, Monday");
    let runs = fleet.bookings() - before;
    let [first, second] = &answers;
    let is_same = first.status == 200 && first == second;
    Scene {
        name: "booking",
        stated: "one run, both callers get its answer, another body with the key gets 422"
            .to_owned(),
        seen: format!("{runs} run, {first} then {second}, same: {is_same}, other body {other}"),
        ok: runs == 1 && is_same && other.status == 422,
    }
}

/// Repeats a call as long as its action is told to be in progress, as callers are asked to.
fn settled<F>(call: F) -> Booked
where
    F: Fn() -> Booked,
{
    let until = Instant::now() + TIMEOUT;
    loop {
        let booked = call();
        if booked.status != IN_PROGRESS || Instant::now() >= until {
            return booked;
        }
        thread::sleep(REPEAT_PAUSE);
    }
}

/// Status and body of an answer of the service.
#[derive(Debug, PartialEq, Eq)]
struct Booked {
    status: u16,
    body: String,
}

impl fmt::Display for Booked {
    /// Writes the status, and why there is none.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.status {
            0 => write!(f, "0 ({})", self.body),
            status => write!(f, "{status}"),
        }
    }
}

fn call_service(fleet: &fleet::Fleet, host: usize, key: &str, body: &str) -> Booked {
    let url = format!(
        "http://{}/v1/services/{}/book",
        fleet.callers(host),
        fleet::SERVICE
    );
    let answer = attohttpc::post(url)
        .header("authorization", format!("Bearer {}", fleet::KEY))
        .header("idempotency-key", key)
        .timeout(TIMEOUT)
        .text(body)
        .send();
    match answer {
        Ok(resp) => Booked {
            status: resp.status().as_u16(),
            body: resp.text().unwrap_or_else(|e| format!("body: {e}")),
        },
        // A call without an answer has status 0.
        Err(e) => Booked {
            status: 0,
            body: e.to_string(),
        },
    }
}

/// Asks for a model that the plan does not hold.
fn outside_the_plan(fleet: &fleet::Fleet) -> Scene {
    let before = fleet.runs();
    let mut request = body(0, 1, 8, false);
    request["model"] = "another".into();
    let reply = send(fleet, 1, 0, &request);
    let ran = fleet.runs() != before;
    Scene {
        name: "outside the plan",
        stated: "403 not_in_plan, not_run, and no engine ran it".to_owned(),
        seen: format!(
            "{} {}, {}, ran: {ran}",
            reply.status, reply.end, reply.outcome
        ),
        ok: reply.status == 403
            && reply.end == client::End::Refused("not_in_plan".to_owned())
            && reply.outcome == "not_run"
            && !ran,
    }
}

/// Shows an engine as leaving and sends every chat again.
fn leaving_engine(fleet: &mut fleet::Fleet, engine: usize) -> Scene {
    fleet.set_presence(engine, topology::Presence::Leaving);
    thread::sleep(LEAVING);
    let (whole, new) = send_all(fleet, engine, TURNS + 2);
    Scene {
        name: "engine leaves",
        stated: format!("{CHATS} whole, ep{engine} gets 0 after {LEAVING:?}"),
        seen: format!("{whole} whole, ep{engine} got {new}"),
        ok: whole == CHATS && new == 0,
    }
}

/// Shows the engine as live again and sends every chat once more.
fn returned_engine(fleet: &mut fleet::Fleet, engine: usize) -> Scene {
    fleet.set_presence(engine, topology::Presence::Live);
    thread::sleep(LEAVING);
    let (whole, new) = send_all(fleet, engine, TURNS + 3);
    Scene {
        name: "engine returns",
        stated: format!("{CHATS} whole, ep{engine} gets its chats again"),
        seen: format!("{whole} whole, ep{engine} got {new}"),
        ok: whole == CHATS && new > 0,
    }
}

/// Sends a turn of every chat. Returns how many answers were whole, and the new runs of an engine.
fn send_all(fleet: &fleet::Fleet, engine: usize, turn: usize) -> (usize, usize) {
    let before = fleet.runs()[engine];
    let whole = (0..CHATS)
        .filter(|&chat| send(fleet, chat, chat, &body(chat, turn, 8, false)).is_whole())
        .count();
    (whole, fleet.runs()[engine] - before)
}

/// Stops a host while it streams, and starts it again.
fn planned_stop(fleet: &mut fleet::Fleet) -> Scene {
    let number = fleet.hosts() - 1;
    let client = client(fleet, number);
    let streaming = thread::spawn(move || {
        client.chat("chat-0", &body(0, TURNS + 4, 4 * STREAMED_TOKENS, true))
    });
    thread::sleep(fleet::TOKEN_TIME * STREAMED_TOKENS as u32);
    let drained = fleet.stop(number) == Some(host::DrainResult::Complete);
    let whole = streaming.join().is_ok_and(|reply| reply.is_whole());
    let meanwhile = send(fleet, 0, 0, &body(0, TURNS + 4, 8, false)).is_whole();
    let restarted = fleet.restart(number).is_ok();
    let after = send(fleet, number, 0, &body(0, TURNS + 5, 8, false)).is_whole();
    Scene {
        name: "planned stop",
        stated: "the stream ends whole, another host answers, the host comes back".to_owned(),
        seen: format!(
            "stream whole: {}, another host: {meanwhile}, back: {}",
            drained && whole,
            restarted && after
        ),
        ok: drained && whole && meanwhile && restarted && after,
    }
}

fn client(fleet: &fleet::Fleet, host: usize) -> client::Client {
    client::Client::new(fleet.callers(host), fleet::KEY, TIMEOUT)
}

fn send(fleet: &fleet::Fleet, host: usize, chat: usize, body: &Value) -> client::Reply {
    client(fleet, host).chat(&format!("chat-{chat}"), body)
}

/// Body of a turn, which holds all earlier turns of its chat.
fn body(chat: usize, turn: usize, tokens: usize, stream: bool) -> Value {
    let text = |turn| format!("Chat {chat}, turn {turn}. ").repeat(TURN_BYTES / 16);
    let messages: Vec<_> = (1..=turn)
        .map(|turn| json!({ "role": "user", "content": text(turn) }))
        .collect();
    json!({
        "model": fleet::MODEL,
        "messages": messages,
        "max_tokens": tokens,
        "stream": stream,
    })
}

/// Engine with the most runs.
fn busiest(runs: &[usize]) -> usize {
    let most = runs.iter().enumerate().max_by_key(|(_, runs)| **runs);
    most.map_or(0, |(engine, _)| engine)
}
