//! Answers to callers: whole bodies, and token streams as server-sent events.

use async_stream::stream;
use bytes::Bytes;
use futures_util::{StreamExt, stream::BoxStream};
use jj_direct::body::ResponseEndGuard;
use jj_peer::frames::Head;
use poem::{Body, Response, http::StatusCode};

use crate::problem::Refusal;

/// Data of the event that ends a complete stream.
const DONE: &str = "[DONE]";

/// An answer for a caller.
pub enum Answer {
    /// A whole body.
    Whole(WholeAnswer),
    /// A stream of tokens.
    Stream(TokenStream),
}

/// A completely received answer.
#[derive(Debug, Clone)]
pub struct WholeAnswer {
    /// Status and headers.
    pub head: Head,
    /// The body.
    pub body: Bytes,
}

/// Stream of tokens in order, each once; ends after the last token or with a refusal.
pub type TokenStream = BoxStream<'static, Result<TokenEvent, Refusal>>;

/// One token of a stream.
#[derive(Debug, Clone)]
pub struct TokenEvent {
    /// Event id with which any entry can resume the stream after this token.
    pub id: String,
    /// Chunk of the engine's answer.
    pub data: Bytes,
}

impl Answer {
    /// Creates a JSON answer with status 200.
    pub fn json(document: &serde_json::Value) -> Self {
        let header = jj_peer::frames::Header {
            name: "content-type".into(),
            value: "application/json".into(),
        };
        let head = Head {
            status: 200,
            headers: vec![header],
        };
        Self::Whole(WholeAnswer {
            head,
            body: document.to_string().into(),
        })
    }

    /// Returns the same answer with a guard that is dropped when it has been handed over to the
    /// connection.
    pub fn with_end_guard(self, end: Option<ResponseEndGuard>) -> Self {
        match self {
            Self::Whole(_) => self,
            Self::Stream(tokens) => {
                let guarded = tokens.inspect(move |_| {
                    let _held = &end;
                });
                Self::Stream(guarded.boxed())
            }
        }
    }

    /// Converts the answer to an HTTP response.
    pub fn into_response(self) -> Response {
        match self {
            Self::Whole(whole) => whole_response(whole),
            Self::Stream(tokens) => stream_response(tokens),
        }
    }
}

fn whole_response(answer: WholeAnswer) -> Response {
    let status = StatusCode::from_u16(answer.head.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = Response::builder().status(status);
    for header in &answer.head.headers {
        response = response.header(&header.name, &header.value);
    }
    response.body(answer.body)
}

fn stream_response(tokens: TokenStream) -> Response {
    Response::builder()
        .content_type("text/event-stream")
        .header("cache-control", "no-cache")
        .body(Body::from_bytes_stream(event_bytes(tokens)))
}

fn event_bytes(tokens: TokenStream) -> BoxStream<'static, std::io::Result<Bytes>> {
    // Tokens that are ready at the same time are sent in one write.
    let mut batches = tokens.ready_chunks(64);
    stream! {
        while let Some(batch) = batches.next().await {
            let mut out = Vec::with_capacity(batch.len() * 192);
            let mut has_failed = false;
            for token in batch {
                match token {
                    Ok(token) => write_event(&mut out, &token),
                    Err(refusal) => {
                        has_failed = true;
                        let text = format!("event: error\ndata: {}\n\n", refusal.document());
                        out.extend_from_slice(text.as_bytes());
                    }
                }
            }
            yield Ok(Bytes::from(out));
            if has_failed {
                return;
            }
        }
        yield Ok(Bytes::from(format!("data: {DONE}\n\n")));
    }
    .boxed()
}

fn write_event(out: &mut Vec<u8>, token: &TokenEvent) {
    out.extend_from_slice(b"id: ");
    out.extend_from_slice(token.id.as_bytes());
    out.extend_from_slice(b"\ndata: ");
    out.extend_from_slice(&token.data);
    out.extend_from_slice(b"\n\n");
}
