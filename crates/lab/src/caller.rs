//! Test client: reads entry addresses, sends requests and checks every response to its end.

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

/// Header with the caller's timeout, in milliseconds.
const TIMEOUT_HEADER: &str = "x-request-timeout-ms";

/// Data of the event that ends a complete stream.
const DONE_MARKER: &str = "[DONE]";

/// A client with one API key, one model and a timeout per request.
#[derive(Debug, Clone)]
pub struct Caller {
    client: Client,
    timeout: Duration,
    key: String,
    model: String,
}

/// Outcome of a request as its caller observes it.
#[derive(Debug, Clone, PartialEq)]
pub enum Outcome {
    /// The complete and correct response to this request.
    Whole(Whole),
    /// A refusal: an error status, or an error event in the stream.
    Refused(Refused),
    /// A broken connection, or no complete response within the timeout.
    Broken(Broken),
    /// An incorrect response, such as one with missing, repeated or another request's tokens.
    Wrong(String),
}

/// A complete response.
#[derive(Debug, Clone, PartialEq)]
pub struct Whole {
    /// Time to the first token, or to the complete response if it isn't streamed.
    pub first: Duration,
    /// Time to the end of the response.
    pub total: Duration,
    /// Tokens of the response, including those from before a resumption.
    pub tokens: u32,
    /// Text of a streamed completion, or body of any other response.
    pub body: String,
    /// Id of the last event of a stream.
    pub last_event: Option<String>,
}

/// Status and details of a refusal.
#[derive(Debug, Clone, PartialEq)]
pub struct Refused {
    /// HTTP status.
    pub status: u16,
    /// `not-run`, `may-have-run` or `ran`; empty if the refusal has no verdict.
    pub verdict: String,
    /// Value of `Retry-After`, in seconds.
    pub retry_after: Option<u64>,
    /// The problem document.
    pub document: String,
}

/// A broken connection.
#[derive(Debug, Clone, PartialEq)]
pub struct Broken {
    /// Description of the error.
    pub reason: String,
    /// Id of the last event of a stream.
    pub last_event: Option<String>,
    /// Tokens that this request had received.
    pub tokens: u32,
}

/// One completion to request.
#[derive(Debug, Clone)]
pub struct Chat {
    /// The prompt; a unique marker in it makes tokens of other requests detectable.
    pub prompt: String,
    /// Tokens of the response.
    pub tokens: u32,
    /// Whether the response is streamed.
    pub stream: bool,
    /// Id of the event after which to resume.
    pub last_event: Option<String>,
    /// Tokens received before the resumption.
    pub first: u32,
    /// Tokens received so far, updated while the stream is read.
    pub seen: Arc<AtomicU32>,
}

impl Chat {
    /// Returns a streamed completion of `tokens` tokens.
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

    /// Returns the same completion, resumed after the tokens received so far.
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

/// One call to a plain service.
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
    /// Returns an idempotent call.
    pub fn lookup(marker: &str) -> Self {
        Self {
            method: "GET".to_owned(),
            target: format!("/desk/entries?marker={marker}"),
            ..Self::default()
        }
    }

    /// Returns a call that is not idempotent.
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
    /// Creates a caller with a timeout per request, for the default test configuration.
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

    /// Returns the same caller with another API key and model.
    #[must_use]
    pub fn with_account(mut self, key: &str, model: &str) -> Self {
        self.key = key.to_owned();
        self.model = model.to_owned();
        self
    }

    /// Reads the addresses of the entries to use from an entry.
    ///
    /// # Errors
    /// When the entry refuses, does not answer, or the response is not JSON.
    pub async fn addresses(&self, base: &str) -> anyhow::Result<serde_json::Value> {
        let answer = self
            .client
            .get(format!("{base}/v1/addresses"))
            .send()
            .await?;
        Ok(answer.error_for_status()?.json().await?)
    }

    /// Requests an idempotency key for a call.
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

    /// Requests a completion and checks each token of the response.
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

    /// Calls a plain service and checks that the response echoes this call.
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
        // One second more, so that the system's own response at the timeout still arrives.
        let limit = self.timeout + Duration::from_secs(1);
        let ended = tokio::time::timeout(limit, reading).await;
        ended.unwrap_or_else(|_| {
            broken(
                "no complete response within the timeout".to_owned(),
                None,
                0,
            )
        })
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

/// Parses a refusal that arrives as the last event of a stream.
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
            if event.data == DONE_MARKER {
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
