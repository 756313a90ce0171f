//! Parses server-sent events and completions for test callers.

use bytes::BytesMut;
use serde::Deserialize;

/// One chunk of a stream.
#[derive(Deserialize)]
struct Chunk {
    #[serde(default)]
    choices: Vec<Choice>,
}

#[derive(Deserialize)]
struct Choice {
    #[serde(default)]
    delta: Option<Content>,
    #[serde(default)]
    message: Option<Content>,
}

#[derive(Deserialize)]
struct Content {
    #[serde(default)]
    content: String,
}

/// One server-sent event.
pub struct Event {
    /// Id of the event, after which a stream can be resumed.
    pub id: Option<String>,
    /// Whether the event is a refusal instead of a token.
    pub is_error: bool,
    /// Data of the event.
    pub data: String,
}

/// Returns the text of a streamed chunk or of a complete response; `None` if `data` is neither.
pub fn chunk_text(data: &str) -> Option<String> {
    let chunk: Chunk = serde_json::from_str(data).ok()?;
    let choice = chunk.choices.into_iter().next()?;
    Some(choice.delta.or(choice.message)?.content)
}

/// Removes and returns the first complete event of the buffer; skips comments.
pub fn take_event(buffer: &mut BytesMut) -> Option<Event> {
    let end = buffer.windows(2).position(|pair| pair == b"\n\n")?;
    let bytes = buffer.split_to(end + 2);
    let text = String::from_utf8_lossy(&bytes);
    let mut event = Event {
        id: None,
        is_error: false,
        data: String::new(),
    };
    for line in text.lines() {
        match line.split_once(": ") {
            Some(("id", id)) => event.id = Some(id.to_owned()),
            Some(("event", "error")) => event.is_error = true,
            Some(("data", data)) => event.data.push_str(data),
            _ => {}
        }
    }
    if event.data.is_empty() && !event.is_error {
        // A keep-alive comment.
        return take_event(buffer);
    }
    Some(event)
}
