//! The caller's side: asks for addresses, sends requests and checks every answer to its end.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::{Duration, Instant},
};

use anyhow::Context;
use bytes::BytesMut;
use futures_util::StreamExt;
use reqwest::{Client, Response};
use serde_json::json;

use crate::{
    events::{chunk_text, take_event},
    publication::{API_KEY, MODEL},
    tokens,
};

/// Header with the caller's deadline, in milliseconds.
const TIMEOUT_HEADER: &str = "x-request-timeout-ms";

/// Data of the event that ends a whole stream.
const DONE: &str = "[DONE]";

/// One caller.
#[derive(Debug, Clone)]
pub struct Caller {
    client: Client,
    timeout: Duration,
    key: String,
    model: String,
}

/// How a request ended, as its caller sees it.
#[derive(Debug, Clone, PartialEq)]
pub enum Outcome {
    /// The whole answer to this very request.
    Whole(Whole),
    /// A clear refusal.
    Refused(Refused),
    /// The connection broke, or went silent until the caller's own deadline.
    Broken(Broken),
    /// An answer that is wrong: crossed, doubled, truncated or otherwise not its own.
    Wrong(String),
}

/// A whole answer.
#[derive(Debug, Clone, PartialEq)]
pub struct Whole {
    /// Time to the first token, or to the whole answer where it isn't streamed.
    pub first: Duration,
    /// Time to the end.
    pub total: Duration,
    /// Tokens in it.
    pub tokens: u32,
    /// The body of a plain answer, or the text of a completion.
    pub body: String,
    /// Id of the last event of a stream.
    pub last_event: Option<String>,
}

/// A refusal.
#[derive(Debug, Clone, PartialEq)]
pub struct Refused {
    /// HTTP status.
    pub status: u16,
    /// `not-run`, `may-have-run` or `ran`; empty when the refusal doesn't say.
    pub verdict: String,
    /// Seconds of `Retry-After`.
    pub retry_after: Option<u64>,
    /// The problem document.
    pub document: String,
}

/// A broken connection.
#[derive(Debug, Clone, PartialEq)]
pub struct Broken {
    /// What was seen.
    pub reason: String,
    /// Id of the last event of a stream.
    pub last_event: Option<String>,
    /// Tokens that had arrived.
    pub tokens: u32,
}

/// One streamed or whole completion to ask for.
#[derive(Debug, Clone)]
pub struct Chat {
    /// The prompt; a marker that no other request has makes crossed answers visible.
    pub prompt: String,
    /// Tokens of the answer.
    pub tokens: u32,
    /// Whether to stream.
    pub stream: bool,
    /// Resume after this event.
    pub last_event: Option<String>,
    /// Tokens that have arrived before.
    pub first: u32,
    /// Counts the tokens as they arrive.
    pub seen: Arc<AtomicU32>,
}

impl Chat {
    /// A streamed completion.
    pub fn streamed(prompt: impl Into<String>, tokens: u32) -> Self {
        Self {
            prompt: prompt.into(),
            tokens,
            stream: true,
            last_event: None,
            first: 0,
            seen: Arc::default(),
        }
    }

    /// The same, resumed after what had arrived.
    #[must_use]
    pub fn resumed(mut self, broken: &Broken) -> Self {
        self.first += broken.tokens;
        self.last_event = broken.last_event.clone().or(self.last_event);
        self
    }

    fn body(&self, model: &str) -> serde_json::Value {
        json!({
            "model": model,
            "messages": [{"role": "user", "content": self.prompt}],
            "stream": self.stream,
            "max_tokens": self.tokens,
        })
    }
}

/// One call of a plain service.
#[derive(Debug, Clone, Default)]
pub struct Call {
    /// Method, upper case.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// Idempotency key.
    pub key: Option<String>,
    /// Body.
    pub body: String,
}

impl Call {
    /// A call that may be repeated.
    pub fn lookup(marker: &str) -> Self {
        Self {
            method: "GET".to_owned(),
            target: format!("/desk/entries?marker={marker}"),
            ..Self::default()
        }
    }

    /// A call that may not be repeated.
    pub fn claim(marker: &str) -> Self {
        Self {
            method: "POST".to_owned(),
            target: format!("/desk/claims/new?marker={marker}"),
            body: marker.to_owned(),
            key: None,
        }
    }
}

impl Default for Caller {
    fn default() -> Self {
        Self::new(Duration::from_secs(20))
    }
}

impl Caller {
    /// A caller that allows each request `timeout`.
    pub fn new(timeout: Duration) -> Self {
        let client = Client::builder()
            .no_proxy()
            .tcp_nodelay(true)
            .connect_timeout(Duration::from_secs(2))
            .build();
        Self {
            client: client.unwrap_or_default(),
            timeout,
            key: API_KEY.to_owned(),
            model: MODEL.to_owned(),
        }
    }

    /// The same with another account's API key, asking for another model.
    #[must_use]
    pub fn with_account(mut self, key: &str, model: &str) -> Self {
        self.key = key.to_owned();
        self.model = model.to_owned();
        self
    }

    /// Asks an entry which addresses to use.
    ///
    /// # Errors
    /// When it doesn't answer with a document.
    pub async fn addresses(&self, base: &str) -> anyhow::Result<serde_json::Value> {
        let answer = self
            .client
            .get(format!("{base}/v1/addresses"))
            .send()
            .await?;
        Ok(answer.error_for_status()?.json().await?)
    }

    /// Takes an idempotency key for a call.
    ///
    /// # Errors
    /// When the entry issues none.
    pub async fn take_key(&self, base: &str, call: &Call) -> anyhow::Result<String> {
        let path = call.target.split('?').next();
        let request = self
            .client
            .post(format!("{base}/v1/keys"))
            .bearer_auth(&self.key)
            .json(&json!({"method": call.method, "path": path}));
        let answer = request.send().await?.error_for_status()?;
        let document: serde_json::Value = answer.json().await?;
        let key = document["key"].as_str();
        Ok(key.context("a key in the answer")?.to_owned())
    }

    /// Asks for a completion and checks the answer token by token.
    pub async fn chat(&self, base: &str, chat: &Chat) -> Outcome {
        let started = Instant::now();
        let mut request = self
            .client
            .post(format!("{base}/v1/chat/completions"))
            .bearer_auth(&self.key)
            .header(TIMEOUT_HEADER, self.timeout.as_millis() as u64)
            .json(&chat.body(&self.model));
        if let Some(id) = &chat.last_event {
            request = request.header("last-event-id", id);
        }
        let reading = async {
            let answer = match request.send().await {
                Ok(answer) if answer.status().is_success() => answer,
                Ok(answer) => return refused(answer).await,
                Err(error) => return broken(error.to_string(), None, 0),
            };
            match chat.stream {
                true => read_stream(answer, chat, started).await,
                false => read_whole(answer, chat, started).await,
            }
        };
        self.limited(reading).await
    }

    /// Calls a plain service and checks that the answer is this call's own.
    pub async fn call(&self, base: &str, call: &Call) -> Outcome {
        let started = Instant::now();
        let method = call.method.parse().unwrap_or(reqwest::Method::GET);
        let mut request = self
            .client
            .request(method, format!("{base}{}", call.target))
            .bearer_auth(&self.key)
            .header(TIMEOUT_HEADER, self.timeout.as_millis() as u64)
            .body(call.body.clone());
        if let Some(key) = &call.key {
            request = request.header("idempotency-key", key);
        }
        let reading = async {
            let answer = match request.send().await {
                Ok(answer) if answer.status().is_success() => answer,
                Ok(answer) => return refused(answer).await,
                Err(error) => return broken(error.to_string(), None, 0),
            };
            match answer.text().await {
                Ok(text) => check_echo(call, text, started),
                Err(error) => broken(error.to_string(), None, 0),
            }
        };
        self.limited(reading).await
    }

    async fn limited(&self, reading: impl Future<Output = Outcome>) -> Outcome {
        // A second on top, so that the system's own answer at the deadline still arrives.
        let limit = self.timeout + Duration::from_secs(1);
        let ended = tokio::time::timeout(limit, reading).await;
        ended.unwrap_or_else(|_| broken("silent until the deadline".to_owned(), None, 0))
    }
}

async fn refused(answer: Response) -> Outcome {
    let header = |name: &str| {
        let value = answer.headers().get(name)?.to_str().ok()?;
        Some(value.to_owned())
    };
    let verdict = header("x-jujube-verdict").unwrap_or_default();
    let retry_after = header("retry-after").and_then(|text| text.parse().ok());
    Outcome::Refused(Refused {
        status: answer.status().as_u16(),
        verdict,
        retry_after,
        document: answer.text().await.unwrap_or_default(),
    })
}

/// A refusal that comes as the last event of a stream.
fn refused_late(document: String) -> Outcome {
    let value: serde_json::Value = serde_json::from_str(&document).unwrap_or_default();
    Outcome::Refused(Refused {
        status: value["status"].as_u64().unwrap_or(0) as u16,
        verdict: value["verdict"].as_str().unwrap_or_default().to_owned(),
        retry_after: None,
        document,
    })
}

fn broken(reason: String, last_event: Option<String>, tokens: u32) -> Outcome {
    Outcome::Broken(Broken {
        reason,
        last_event,
        tokens,
    })
}

async fn read_stream(answer: Response, chat: &Chat, started: Instant) -> Outcome {
    let hash = tokens::prompt_hash(&chat.prompt);
    let mut pieces = answer.bytes_stream();
    let mut buffer = BytesMut::new();
    let mut next = chat.first;
    let mut first = None;
    let mut last_event = None;
    let mut answer_text = String::new();
    loop {
        while let Some(event) = take_event(&mut buffer) {
            if event.is_error {
                return refused_late(event.data);
            }
            if event.data == DONE {
                return match next == chat.tokens {
                    true => whole(first, started, next, answer_text, last_event),
                    false => Outcome::Wrong(format!("ended after {next} of {}", chat.tokens)),
                };
            }
            let expected = tokens::token(hash, next);
            if chunk_text(&event.data).as_ref() != Some(&expected) {
                return Outcome::Wrong(format!("token {next}: {}", event.data));
            }
            answer_text.push_str(&expected);
            first.get_or_insert_with(|| started.elapsed());
            last_event = event.id.or(last_event);
            next += 1;
            chat.seen.store(next, Ordering::Relaxed);
        }
        let reason = match pieces.next().await {
            Some(Ok(piece)) => {
                buffer.extend_from_slice(&piece);
                continue;
            }
            Some(Err(error)) => error.to_string(),
            None => "the stream ended without an end marker".to_owned(),
        };
        return broken(reason, last_event, next - chat.first);
    }
}

async fn read_whole(answer: Response, chat: &Chat, started: Instant) -> Outcome {
    let text = match answer.text().await {
        Ok(text) => text,
        Err(error) => return broken(error.to_string(), None, 0),
    };
    let expected = tokens::whole_answer(&chat.prompt, chat.tokens);
    if chunk_text(&text).as_deref() != Some(expected.as_str()) {
        return Outcome::Wrong(text);
    }
    whole(None, started, chat.tokens, text, None)
}

fn check_echo(call: &Call, text: String, started: Instant) -> Outcome {
    let echo: serde_json::Value = serde_json::from_str(&text).unwrap_or_default();
    let (path, query) = call.target.split_once('?').unwrap_or((&call.target, ""));
    let is_own = echo["method"] == call.method.as_str()
        && echo["path"] == path
        && echo["query"] == query
        && echo["body"] == call.body.as_str();
    if !is_own {
        return Outcome::Wrong(text);
    }
    whole(None, started, 0, text, None)
}

fn whole(
    first: Option<Duration>,
    started: Instant,
    tokens: u32,
    body: String,
    last_event: Option<String>,
) -> Outcome {
    let total = started.elapsed();
    Outcome::Whole(Whole {
        first: first.unwrap_or(total),
        total,
        tokens,
        body,
        last_event,
    })
}
