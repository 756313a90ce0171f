//! Token streams of model engines: server-sent events, one token each, ended by `[DONE]`.
//!
//! Engines number the tokens of a stream. A token that arrives late, twice, or from the stream of
//! another request is dropped; a missing token ends the stream as incomplete.

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

/// Data of the event that marks the end of a complete stream.
pub const DONE: &str = "[DONE]";

/// Maximum time between two tokens of a stream, after which its connection counts as dead.
pub const TOKEN_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum number of bytes received without a complete event, after which the stream is invalid.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Number of attempts that fit into a request's deadline when each times out before its first
/// token.
const ATTEMPTS_PER_DEADLINE: u32 = 3;

/// Returns the timeout for the first token, which leaves time for another attempt.
pub fn first_token_timeout(deadline: Duration) -> Duration {
    (deadline / ATTEMPTS_PER_DEADLINE).max(TOKEN_TIMEOUT)
}

/// The fields of a chunk that identify its stream and its position.
#[derive(Deserialize)]
struct ChunkHeader<'a> {
    /// Id of the stream; may have a prefix added by the engine.
    #[serde(borrow, default)]
    id: Option<Cow<'a, str>>,
    /// Index of the token, from 0.
    #[serde(default)]
    index: Option<u64>,
}

/// Position of a chunk relative to the next expected token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChunkPosition {
    /// The next expected token: forward it.
    Next,
    /// Late, repeated, or from another stream: drop it.
    Stray,
    /// Tokens before it are missing: end the stream.
    Gap,
}

/// Checks that the tokens of a stream belong to it and arrive once each and in order.
#[derive(Debug, Clone)]
pub struct TokenOrder {
    /// Suffix of the stream id in each chunk, if the engine uses the request id that we send.
    id: Option<RequestId>,
    next: u64,
}

impl TokenOrder {
    /// Creates a check for a stream that starts at token `first`; `id` is the id of the request if
    /// the engine uses it.
    pub fn new(id: Option<RequestId>, first: u64) -> Self {
        Self { id, next: first }
    }

    /// Classifies the next chunk. Chunks without an index are numbered in the order of arrival.
    pub fn classify(&mut self, chunk: &str) -> ChunkPosition {
        let header = serde_json::from_str(chunk).unwrap_or(ChunkHeader {
            id: None,
            index: None,
        });
        let ids = self.id.as_deref().zip(header.id.as_deref());
        if ids.is_some_and(|(own, stream_id)| !stream_id.ends_with(own)) {
            return ChunkPosition::Stray;
        }
        match header.index.unwrap_or(self.next) {
            index if index < self.next => ChunkPosition::Stray,
            index if index > self.next => ChunkPosition::Gap,
            _ => {
                self.next += 1;
                ChunkPosition::Next
            }
        }
    }
}

/// Returns the events of a token stream without the end marker. The stream ends with an error when
/// the marker is missing, a token is missing, a timeout passes or an event is too long.
pub fn token_events(
    response: Response,
    request: &RequestId,
    first: u64,
    first_timeout: Duration,
) -> BodyStream {
    let echoed = response.headers().get(REQUEST_ID_HEADER);
    let is_request_id_echoed = echoed.is_some_and(|id| id.as_bytes() == request.as_bytes());
    let mut order = TokenOrder::new(is_request_id_echoed.then(|| request.clone()), first);
    let request = request.clone();
    let bytes_since_event = Arc::new(AtomicUsize::new(0));
    let byte_counter = Arc::clone(&bytes_since_event);
    let bytes = response.bytes_stream().map(move |part| {
        let part = part.map_err(|error| error.to_string())?;
        let length = byte_counter.fetch_add(part.len(), Ordering::Relaxed) + part.len();
        match length > MAX_EVENT_BYTES {
            true => Err("stream event exceeds the size limit".to_owned()),
            false => Ok(part),
        }
    });
    let mut events = bytes.eventsource();
    let mut next_token_by = Instant::now() + first_timeout;
    stream! {
        loop {
            let next = tokio::time::timeout_at(next_token_by, events.next()).await;
            bytes_since_event.store(0, Ordering::Relaxed);
            match next {
                Ok(Some(Ok(event))) if event.data == DONE => return,
                Ok(Some(Ok(event))) => match order.classify(&event.data) {
                    ChunkPosition::Next => {
                        yield Ok(Bytes::from(event.data));
                        next_token_by = Instant::now() + TOKEN_TIMEOUT;
                    }
                    ChunkPosition::Stray => {
                        log_event!(
                            log_events::ANSWER_DROPPED,
                            "request {request}: late, repeated or foreign token dropped"
                        );
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
                    yield Err(CallError::Truncated("stream ended without its end marker".into()));
                    return;
                }
                Err(_) => {
                    yield Err(CallError::Truncated("no token before the timeout".into()));
                    return;
                }
            }
        }
    }
    .boxed()
}
