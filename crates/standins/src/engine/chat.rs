//! Chats: admission, prefill, token generation and resumption.

use std::io;
use std::time::Duration;

use serde_json::json;

use crate::{engine, server, sync};

use super::{api, cache, run};

/// Priority of a request without `x-priority`.
const DEFAULT_PRIORITY: u8 = 0;

/// An answer that is being generated.
struct Answer<'a> {
    chat: &'a api::Chat,
    run: run::Run,
    /// Prompt tokens that were cached.
    cached: u64,
    /// Tokens that have not been sent yet.
    remaining_tokens: u64,
}

/// How the generation of an answer ended.
enum Outcome {
    Complete,
    /// The connection is to be closed before the answer is complete.
    Cut,
    /// The connection is to stay open without further tokens.
    Stalled,
    /// The run was cancelled or resumed on another connection, or the engine closes.
    Stopped,
    /// The caller has disconnected.
    CallerGone,
}

impl engine::Shared {
    pub(super) fn chat(&self, exchange: server::Exchange) {
        if let Some(status) = self.faults.get().status {
            return self.refuse(exchange, status, "fault", "fault of the stand-in");
        }
        let body = match exchange.json::<api::ChatRequest>() {
            Ok(body) => body,
            Err(err) => return self.refuse(exchange, 400, "bad_request", &err.to_string()),
        };
        let state = self.commands.state();
        if state.draining {
            return self.refuse(exchange, 503, "draining", "the engine takes no new chats");
        }
        if !state
            .models
            .iter()
            .any(|model| model.as_str() == body.model)
        {
            return self.refuse(exchange, 404, "model_not_found", "the model is not loaded");
        }
        let chat = self.new_chat(&exchange, &body);
        let priority = exchange
            .header("x-priority")
            .and_then(|text| text.parse().ok());
        let work = chat.prompt_tokens() + u64::from(chat.answer_tokens);
        self.load.queue(work);
        if !self
            .slots
            .acquire(priority.unwrap_or(DEFAULT_PRIORITY), &self.control)
        {
            self.load.reject(work);
            return self.refuse(
                exchange,
                503,
                "queue_full",
                "all slots and the queue are taken",
            );
        }
        self.load.start();
        let remaining_tokens = self.run(exchange, &chat, work);
        self.load.finish(remaining_tokens);
        self.slots.release();
    }

    fn refuse(&self, exchange: server::Exchange, status: u16, code: &str, message: &str) {
        self.runs.count(|counters| counters.refused += 1);
        exchange.refuse(status, code, message);
    }

    fn new_chat(&self, exchange: &server::Exchange, body: &api::ChatRequest) -> api::Chat {
        api::Chat {
            id: exchange
                .header("x-request-id")
                .unwrap_or("anonymous")
                .to_owned(),
            model: body.model.clone(),
            prompt: body.prompt(),
            answer_tokens: body.answer_tokens(self.cfg.answer_tokens),
            stream: body.stream,
            include_usage: body.include_usage(),
            resume_after: exchange
                .header("last-event-id")
                .and_then(|text| text.parse().ok()),
        }
    }

    /// Runs a chat. Returns the number of tokens of `work` that were not processed.
    fn run(&self, exchange: server::Exchange, chat: &api::Chat, work: u64) -> u64 {
        let run = match chat.resume_after {
            Some(_) => self.runs.resume(&chat.id),
            None => Some(self.runs.start(&chat.id)),
        };
        let Some(run) = run else {
            self.refuse(
                exchange,
                409,
                "not_resumable",
                "there is no such run to resume",
            );
            return work;
        };
        let cached = if chat.resume_after.is_some() {
            chat.prompt_tokens()
        } else {
            self.prefill(chat)
        };
        self.load.process_tokens(chat.prompt_tokens());
        let mut answer = Answer {
            chat,
            run,
            cached,
            remaining_tokens: u64::from(chat.answer_tokens),
        };
        if chat.stream {
            self.stream(exchange, &mut answer);
        } else {
            self.respond(exchange, &mut answer);
        }
        answer.remaining_tokens
    }

    /// Spends the time to process the prompt tokens that are not cached. Returns the number of
    /// cached tokens.
    fn prefill(&self, chat: &api::Chat) -> u64 {
        let blocks = cache::prefix_blocks(chat.prompt.as_bytes());
        let cached_blocks = sync::lock(&self.cache).store(&blocks) as u64;
        let cached = cached_blocks * api::BLOCK_TOKENS;
        let read = chat.prompt_tokens().saturating_sub(cached);
        self.runs.count(|counters| {
            counters.prompt_tokens += read;
            counters.cached_tokens += cached;
        });
        let read = u32::try_from(read).unwrap_or(u32::MAX);
        self.control
            .sleep(self.slowed(self.cfg.prompt_token_time.saturating_mul(read)));
        cached
    }

    /// Multiplies `span` by the `slow_factor` of the faults.
    fn slowed(&self, span: Duration) -> Duration {
        self.faults
            .get()
            .slow_factor
            .map_or(span, |factor| span.mul_f64(factor.max(0.0)))
    }

    fn stream(&self, exchange: server::Exchange, answer: &mut Answer<'_>) {
        let Answer {
            chat, run, cached, ..
        } = *answer;
        let Ok(mut body) = exchange.stream("text/event-stream") else {
            self.count_disconnect(chat, run);
            return;
        };
        let outcome = self.generate(answer, |number| {
            let delta = if number == 1 {
                json!({ "role": "assistant", "content": chat.token(run, number) })
            } else {
                json!({ "content": chat.token(run, number) })
            };
            body.send(&api::sse_event(
                Some(number),
                &chat.chunk(&delta, None).to_string(),
            ))
        });
        match outcome {
            Outcome::Complete => {
                let sent = api::finish_stream(&mut body, chat, cached);
                drop(sent);
                body.finish();
            }
            Outcome::Stalled => {
                while self.runs.is_current(&chat.id, run)
                    && self.faults.get().stall_after_tokens.is_some()
                    && self
                        .control
                        .sleep(self.cfg.token_time.max(Duration::from_millis(5)))
                {}
                body.abort();
            }
            Outcome::Cut | Outcome::Stopped => body.abort(),
            Outcome::CallerGone => {
                self.count_disconnect(chat, run);
                body.abort();
            }
        }
    }

    fn respond(&self, exchange: server::Exchange, answer: &mut Answer<'_>) {
        let Answer {
            chat, run, cached, ..
        } = *answer;
        let outcome = self.generate(answer, |_| Ok(()));
        match outcome {
            Outcome::Complete => exchange.respond(200, &chat.completion(run, cached)),
            Outcome::Cut => exchange.respond_truncated(&chat.completion(run, cached)),
            Outcome::Stalled => exchange.stall(&self.control, || {
                self.faults.get().stall_after_tokens.is_some()
                    && self.runs.is_current(&chat.id, run)
            }),
            Outcome::Stopped | Outcome::CallerGone => exchange.hang_up(),
        }
    }

    /// Generates the tokens that the caller has not received, and calls `send` with the number of
    /// each.
    fn generate<F>(&self, answer: &mut Answer<'_>, mut send: F) -> Outcome
    where
        F: FnMut(u32) -> io::Result<()>,
    {
        let Answer { chat, run, .. } = *answer;
        let received = chat.resume_after.unwrap_or(0).min(chat.answer_tokens);
        for number in received + 1..=chat.answer_tokens {
            if let Some(outcome) = self.injected_fault(number - 1 - received) {
                return outcome;
            }
            // Tokens that were generated for an earlier connection are resent without delay.
            let fresh = number > run.generated;
            if fresh && !self.control.sleep(self.slowed(self.cfg.token_time)) {
                return Outcome::Stopped;
            }
            if !self.runs.is_current(&chat.id, run) {
                return Outcome::Stopped;
            }
            self.runs.generate(&chat.id, number);
            self.load.process_tokens(1);
            answer.remaining_tokens -= 1;
            if send(number).is_err() {
                return Outcome::CallerGone;
            }
        }
        self.cache_answer(chat, run);
        Outcome::Complete
    }

    /// How a fault ends the answer after `sent` tokens, if one applies.
    fn injected_fault(&self, sent: u32) -> Option<Outcome> {
        let mut faults = self.faults.lock();
        let outcome = match (faults.cut_after_tokens, faults.stall_after_tokens) {
            (Some(after), _) if after == sent => Outcome::Cut,
            (_, Some(after)) if after == sent => Outcome::Stalled,
            _ => return None,
        };
        server::take_fault(&mut faults.times).then_some(outcome)
    }

    /// Caches the prompt and its answer, which are the prefix of the next turn of the chat.
    fn cache_answer(&self, chat: &api::Chat, run: run::Run) {
        let text = format!("{}assistant\n{}\n", chat.prompt, chat.text(run));
        let blocks = cache::prefix_blocks(text.as_bytes());
        sync::lock(&self.cache).store(&blocks);
    }

    /// Counts a run whose caller disconnected. The run can still be resumed.
    fn count_disconnect(&self, chat: &api::Chat, run: run::Run) {
        if self.runs.is_current(&chat.id, run) {
            self.runs.count(|counters| counters.cancels += 1);
        }
    }
}
