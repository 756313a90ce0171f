//! Token streams of model engines: server-sent events, one token each, ended by `[DONE]`.
//!
//! Engines number the tokens of a stream. A token that comes late, twice, or from the stream of
//! another request is dropped; a missing one ends the stream as not whole.

use std::{
    borrow::Cow,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use async_stream::stream;
use bytes::Bytes;
use eventsource_stream::Eventsource;
use futures_util::StreamExt;
use jj_utils::{events as log_events, ids::RequestId, log_event};
use reqwest::Response;
use serde::Deserialize;
use tokio::time::Instant;

use crate::call_error::{BodyStream, CallError, REQUEST_ID_HEADER};

/// Data of the event that ends a whole stream.
pub const DONE: &str = "[DONE]";

/// Longest time between two tokens of one stream before its connection is taken for dead.
pub const TOKEN_TIMEOUT: Duration = Duration::from_secs(2);

/// Most bytes without a whole event, after which a stream is taken for broken.
const LONGEST_EVENT: usize = 256 * 1024;

/// Attempts that fit into a request's deadline when each waits in vain for its first token.
const FIRST_TOKEN_SHARE: u32 = 3;

/// Longest wait for the first token, so that time is left for another attempt.
pub fn first_token_timeout(deadline: Duration) -> Duration {
    (deadline / FIRST_TOKEN_SHARE).max(TOKEN_TIMEOUT)
}

/// What a chunk says about its place.
#[derive(Deserialize)]
struct Mark<'a> {
    /// Id of the stream.
    #[serde(borrow, default)]
    id: Option<Cow<'a, str>>,
    /// Index of the token, from 0.
    #[serde(default)]
    index: Option<u64>,
}

/// What to do with a chunk.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChunkPosition {
    /// The next one: pass it on.
    Next,
    /// Late, repeated, or of another stream: drop it.
    Stray,
    /// Tokens before it are missing.
    Gap,
}

/// Checks that the tokens of one stream are its own, each once and in order.
#[derive(Debug, Clone)]
pub struct TokenOrder {
    /// Id that the stream's chunks end with, where the engine takes ours.
    id: Option<RequestId>,
    next: u64,
}

impl TokenOrder {
    /// A stream that starts at token `first`; `id` is the request's id if the engine uses it.
    pub fn new(id: Option<RequestId>, first: u64) -> Self {
        Self { id, next: first }
    }

    /// Places a chunk. Chunks without an index count in the order of their arrival.
    pub fn classify(&mut self, chunk: &str) -> ChunkPosition {
        let mark = serde_json::from_str(chunk).unwrap_or(Mark {
            id: None,
            index: None,
        });
        let own = self.id.as_deref().zip(mark.id.as_deref());
        if own.is_some_and(|(own, given)| !given.ends_with(own)) {
            return ChunkPosition::Stray;
        }
        match mark.index.unwrap_or(self.next) {
            index if index < self.next => ChunkPosition::Stray,
            index if index > self.next => ChunkPosition::Gap,
            _ => {
                self.next += 1;
                ChunkPosition::Next
            }
        }
    }
}

/// The events of a stream, without the end marker; a stream without it is an error.
pub fn token_events(
    response: Response,
    request: &RequestId,
    first: u64,
    first_limit: Duration,
) -> BodyStream {
    let echoed = response.headers().get(REQUEST_ID_HEADER);
    let is_ours = echoed.is_some_and(|id| id.as_bytes() == request.as_bytes());
    let mut order = TokenOrder::new(is_ours.then(|| request.clone()), first);
    let request = request.clone();
    let unread = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&unread);
    let bytes = response.bytes_stream().map(move |part| {
        let part = part.map_err(|error| error.to_string())?;
        let length = counted.fetch_add(part.len(), Ordering::Relaxed) + part.len();
        match length > LONGEST_EVENT {
            true => Err("an event is too long".to_owned()),
            false => Ok(part),
        }
    });
    let mut events = bytes.eventsource();
    let mut until = Instant::now() + first_limit;
    stream! {
        loop {
            let next = tokio::time::timeout_at(until, events.next()).await;
            unread.store(0, Ordering::Relaxed);
            match next {
                Ok(Some(Ok(event))) if event.data == DONE => return,
                Ok(Some(Ok(event))) => match order.classify(&event.data) {
                    ChunkPosition::Next => {
                        yield Ok(Bytes::from(event.data));
                        until = Instant::now() + TOKEN_TIMEOUT;
                    }
                    ChunkPosition::Stray => {
                        log_event!(log_events::ANSWER_DROPPED, "request {request}: stray token dropped");
                    }
                    ChunkPosition::Gap => {
                        yield Err(CallError::Truncated("tokens are missing".into()));
                        return;
                    }
                },
                Ok(Some(Err(error))) => {
                    yield Err(CallError::Truncated(error.to_string()));
                    return;
                }
                Ok(None) => {
                    yield Err(CallError::Truncated("no end marker".into()));
                    return;
                }
                Err(_) => {
                    yield Err(CallError::Truncated("the stream went silent".into()));
                    return;
                }
            }
        }
    }
    .boxed()
}
