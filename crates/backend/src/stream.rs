//! Token streams of model engines: server-sent events, one token each, ended by `[DONE]`.

use async_stream::stream;
use bytes::Bytes;
use eventsource_stream::Eventsource;
use futures_util::StreamExt;
use reqwest::Response;

use crate::call::{CallError, Parts};

/// Data of the event that ends a whole stream.
pub const DONE: &str = "[DONE]";

/// The events of a stream, without the end marker; a stream without it is an error.
pub fn token_events(response: Response) -> Parts {
    let mut events = response.bytes_stream().eventsource();
    stream! {
        while let Some(event) = events.next().await {
            match event {
                Ok(event) if event.data == DONE => return,
                Ok(event) => yield Ok(Bytes::from(event.data)),
                Err(error) => {
                    yield Err(CallError::Truncated(error.to_string()));
                    return;
                }
            }
        }
        yield Err(CallError::Truncated("no end marker".into()));
    }
    .boxed()
}
