//! Completions API of the stand-in engine, streamed as server-sent events or in one response.

use std::{io, sync::Arc};

use bytes::Bytes;
use futures_util::Stream;
use jj_utils::{clock::unix_millis, common_derives, ids::RequestId};
use poem::{
    Body, IntoResponse, Request, Response, handler,
    http::StatusCode,
    web::{Data, Json},
};
use serde_json::json;
use tokio_util::sync::CancellationToken;

use crate::{
    http::Breaker,
    standins::{
        cold_start::Working, engine::Engine, faults::Fault, kv_memory::Held, ledger::Names,
        slots::Slot,
    },
    tokens,
};

/// Tokens of a response when the request has no `max_tokens`.
const DEFAULT_MAX_TOKENS: u32 = 16;

common_derives! {wire:
    /// Body of a completion request.
    pub struct Completion {
        /// Id of the model.
        pub model: String,
        /// Messages of the conversation (chat completions).
        #[serde(default)]
        pub messages: Vec<Message>,
        /// Prompt (plain completions).
        #[serde(default)]
        pub prompt: String,
        /// Whether to stream.
        #[serde(default)]
        pub stream: bool,
        /// Tokens of the response.
        #[serde(default)]
        pub max_tokens: Option<u32>,
        /// Priority in the queue; a higher one goes first.
        #[serde(default)]
        pub priority: Option<i32>,
    }
}

common_derives! {wire:
    /// One message of a conversation.
    pub struct Message {
        /// Role of the author, such as `user`.
        pub role: String,
        /// Text of the message.
        pub content: String,
    }
}

impl Completion {
    /// Returns the text that determines the tokens of the response.
    pub fn prompt_text(&self) -> String {
        if self.messages.is_empty() {
            return self.prompt.clone();
        }
        let contents: Vec<&str> = self.messages.iter().map(|m| m.content.as_str()).collect();
        contents.join("\n")
    }

    /// Returns the number of tokens of prompt (one per word) and response.
    fn total_tokens(&self) -> u32 {
        let prompt = self.prompt_text().split_whitespace().count();
        u32::try_from(prompt)
            .unwrap_or(u32::MAX)
            .saturating_add(self.response_tokens())
    }

    fn response_tokens(&self) -> u32 {
        self.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS)
    }
}

/// One running completion; unregistered from the engine when dropped.
struct Job {
    engine: Arc<Engine>,
    request: RequestId,
    names: Names,
    model: String,
    chat: bool,
    hash: u64,
    first: u32,
    count: u32,
    fault: Fault,
    falls: u32,
    cancel: CancellationToken,
    breaker: Breaker,
    _resources: Resources,
    _slot: Slot,
}

/// Capacity that one completion holds in the engine; released when dropped.
struct Resources {
    _working: Working,
    _held: Held,
}

impl Drop for Job {
    fn drop(&mut self) {
        self.engine.forget(&self.request);
    }
}

/// Handles `GET /v1/models`.
#[handler]
pub fn models(Data(engine): Data<&Arc<Engine>>) -> Json<serde_json::Value> {
    let models = engine.orders.state().models;
    let data = models.iter().map(|id| json!({"id": id, "object": "model"}));
    Json(json!({"object": "list", "data": data.collect::<Vec<_>>()}))
}

/// Handles `POST /v1/chat/completions` and `POST /v1/completions`.
#[handler]
pub async fn complete(
    Data(engine): Data<&Arc<Engine>>,
    request: &Request,
    Json(completion): Json<Completion>,
) -> Response {
    if !engine.orders.state().models.contains(&completion.model) {
        return (StatusCode::NOT_FOUND, "unknown model").into_response();
    }
    let fault = engine.faults.take();
    if fault == Fault::Refuse {
        return StatusCode::INTERNAL_SERVER_ERROR.into_response();
    }
    let Ok(working) = engine.cold.enter() else {
        return (StatusCode::INTERNAL_SERVER_ERROR, "out of memory").into_response();
    };
    let Ok(held) = engine.memory.take(completion.total_tokens()) else {
        return (StatusCode::INTERNAL_SERVER_ERROR, "out of KV memory").into_response();
    };
    let stream = completion.stream;
    let resources = Resources {
        _working: working,
        _held: held,
    };
    let job = start(engine, request, completion, fault, resources).await;
    if stream {
        return Response::builder()
            .content_type("text/event-stream")
            .header("cache-control", "no-cache")
            .header("x-request-id", &job.request)
            .body(Body::from_bytes_stream(stream_tokens(job)));
    }
    whole_answer(job).await
}

async fn start(
    engine: &Arc<Engine>,
    request: &Request,
    completion: Completion,
    fault: Fault,
    resources: Resources,
) -> Job {
    let header = |name: &str| request.header(name).map(str::to_owned);
    let priority = header("x-priority").and_then(|text| text.parse().ok());
    let slot = engine
        .slots
        .take(priority.or(completion.priority).unwrap_or(0))
        .await;
    let prompt = completion.prompt_text();
    if !engine.cache.touch(&prompt) && !engine.config.prefill_delay.is_zero() {
        tokio::time::sleep(engine.config.prefill_delay).await;
    }
    let names = Names {
        request: header("x-request-id"),
        key: header("idempotency-key"),
        marker: prompt,
    };
    engine.ledger.start(&names);
    let request_id = names
        .request
        .clone()
        .unwrap_or_else(|| unix_millis().to_string());
    Job {
        engine: Arc::clone(engine),
        cancel: engine.register(request_id.clone()),
        breaker: Breaker::of(request),
        request: request_id,
        hash: tokens::prompt_hash(&names.marker),
        names,
        chat: request.uri().path().contains("chat"),
        first: header("x-resume-from")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0),
        count: completion.response_tokens(),
        model: completion.model,
        fault,
        falls: engine.cold.counts().falls,
        _resources: resources,
        _slot: slot,
    }
}

fn stream_tokens(job: Job) -> impl Stream<Item = io::Result<Bytes>> + Send + 'static {
    async_stream::stream! {
        let chunk = ChunkFormat::new(&job);
        for index in job.first..job.count {
            if !wait_token(&job).await {
                yield Err(broken(&job));
                return;
            }
            match job.fault {
                Fault::Freeze { after } if index >= after => std::future::pending().await,
                Fault::Reset { after } if index >= after => {
                    yield Err(broken(&job));
                    return;
                }
                Fault::Truncate { after } if index >= after => return,
                Fault::Double => yield Ok(chunk.token(job.hash, index)),
                Fault::Cross => yield Ok(chunk.foreign(!job.hash, index)),
                _ => {}
            }
            yield Ok(chunk.token(job.hash, index));
        }
        job.engine.ledger.complete(&job.names);
        yield Ok(Bytes::from_static(b"data: [DONE]\n\n"));
    }
}

/// Waits for the time of one token; returns false if the request was cancelled or the engine was
/// overloaded while cold since the request began.
async fn wait_token(job: &Job) -> bool {
    let delay = job.engine.faults.delay();
    if delay.is_zero() {
        tokio::task::yield_now().await;
    } else {
        tokio::time::sleep(delay).await;
    }
    !job.cancel.is_cancelled() && job.engine.cold.counts().falls == job.falls
}

async fn whole_answer(job: Job) -> Response {
    let mut text = String::new();
    for index in 0..job.count {
        if !wait_token(&job).await {
            return StatusCode::INTERNAL_SERVER_ERROR.into_response();
        }
        text.push_str(&tokens::token(job.hash, index));
    }
    job.engine.ledger.complete(&job.names);
    match job.fault {
        Fault::Freeze { .. } => std::future::pending().await,
        Fault::Reset { .. } | Fault::Truncate { .. } => return broken_body(job),
        _ => {}
    }
    Json(answer(&job, &text)).into_response()
}

/// Breaks the connection of `job`; returns the error that ends its body.
fn broken(job: &Job) -> io::Error {
    job.breaker.break_off();
    io::Error::from(io::ErrorKind::ConnectionReset)
}

fn broken_body(job: Job) -> Response {
    let parts = [Ok(Bytes::from_static(b"{")), Err(broken(&job))];
    Response::builder().body(Body::from_bytes_stream(futures_util::stream::iter(parts)))
}

fn answer(job: &Job, text: &str) -> serde_json::Value {
    let choice = if job.chat {
        json!({"index": 0, "finish_reason": "length",
               "message": {"role": "assistant", "content": text}})
    } else {
        json!({"index": 0, "finish_reason": "length", "text": text})
    };
    json!({
        "id": job.request,
        "object": if job.chat { "chat.completion" } else { "text_completion" },
        "created": 0,
        "model": job.model,
        "choices": [choice],
        "usage": usage(job),
    })
}

fn usage(job: &Job) -> serde_json::Value {
    let prompt_tokens = job.names.marker.split_whitespace().count();
    json!({
        "prompt_tokens": prompt_tokens,
        "completion_tokens": job.count,
        "total_tokens": prompt_tokens + job.count as usize,
    })
}

/// Constant parts of the chunks of one stream.
struct ChunkFormat {
    head: String,
    foreign_head: String,
    open: &'static str,
    close: &'static str,
    last: u32,
    usage: String,
}

impl ChunkFormat {
    fn new(job: &Job) -> Self {
        let (open, close) = if job.chat {
            (r#""delta":{"content":""#, r#""}"#)
        } else {
            (r#""text":""#, r#"""#)
        };
        Self {
            head: chunk_head(job, &job.request),
            foreign_head: chunk_head(job, "another-request"),
            open,
            close,
            last: job.count.saturating_sub(1),
            usage: usage(job).to_string(),
        }
    }

    fn token(&self, hash: u64, index: u32) -> Bytes {
        self.chunk(&self.head, hash, index)
    }

    fn foreign(&self, hash: u64, index: u32) -> Bytes {
        self.chunk(&self.foreign_head, hash, index)
    }

    fn chunk(&self, head: &str, hash: u64, index: u32) -> Bytes {
        let Self { open, close, .. } = self;
        let token = tokens::token(hash, index);
        let start =
            format!(r#"data: {head},"index":{index},"choices":[{{"index":0,{open}{token}{close}"#);
        let end = if index == self.last {
            format!(
                ",\"finish_reason\":\"length\"}}],\"usage\":{}}}\n\n",
                self.usage
            )
        } else {
            ",\"finish_reason\":null}]}\n\n".to_owned()
        };
        Bytes::from(start + &end)
    }
}

fn chunk_head(job: &Job, id: &str) -> String {
    let object = if job.chat {
        "chat.completion.chunk"
    } else {
        "text_completion"
    };
    let head = json!({"id": id, "object": object, "created": 0, "model": job.model});
    head.to_string().trim_end_matches('}').to_owned()
}
