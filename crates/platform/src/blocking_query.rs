//! Blocking queries over HTTP: the service responds when the value is newer than the index sent, or
//! when the wait is over.

use std::time::Duration;

use base64::{Engine, engine::general_purpose::STANDARD};
use jj_utils::{common_derives, ids::ConfigIndex};
use reqwest::{Client, Response, StatusCode};
use serde::de::DeserializeOwned;

use crate::wire::{INDEX_HEADER, KeyValue};

/// Longest response read, in bytes: a value of one megabyte in base64, and its JSON.
const MAX_RESPONSE_BYTES: usize = 1_500_000;

/// Time added to the wait for the round trip, after which the request times out.
const RESPONSE_MARGIN: Duration = Duration::from_millis(750);

/// Error of a read.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// No complete response: refused, cut off or timed out.
    #[error("no response: {0}")]
    Unreachable(#[from] reqwest::Error),
    /// A response with an unexpected HTTP status.
    #[error("HTTP status {0}")]
    Status(u16),
    /// The response is longer than any valid value.
    #[error("the response is longer than {MAX_RESPONSE_BYTES} bytes")]
    TooLong,
    /// The response violates the protocol.
    #[error("malformed response: {0}")]
    Malformed(String),
}

common_derives! {value:
    /// A value with its modification index.
    pub struct Indexed<T> {
        /// Index of the last change.
        pub index: ConfigIndex,
        /// The value.
        pub value: T,
    }
}

common_derives! {value:
    /// Parameters of a blocking query.
    #[derive(Copy, Eq)]
    pub struct WatchWait {
        /// Last known index; the query waits for a newer one.
        pub seen: ConfigIndex,
        /// Longest wait for a change.
        pub max_wait: Duration,
    }
}

/// Reads one key; returns `None` if it is absent.
///
/// # Errors
/// Any [`ReadError`].
pub async fn read_key(
    client: &Client,
    base: &str,
    key: &str,
    wait: Option<WatchWait>,
) -> Result<Option<Indexed<String>>, ReadError> {
    let url = query_url(&format!("{base}/v1/kv/{key}"), wait);
    let response = send(client, &url, wait).await?;
    if response.status() == StatusCode::NOT_FOUND {
        return Ok(None);
    }
    let values: Vec<KeyValue> = decode(response).await?;
    let found = values.into_iter().find(|value| value.key == key);
    let found = found.ok_or_else(|| ReadError::Malformed(format!("no value of `{key}`")))?;
    let bytes = STANDARD.decode(&found.value);
    let bytes = bytes.map_err(|error| ReadError::Malformed(error.to_string()))?;
    // Invalid UTF-8 makes the document's checks fail, in the same way for every reader.
    let value = String::from_utf8_lossy(&bytes).into_owned();
    Ok(Some(Indexed {
        index: found.modify_index,
        value,
    }))
}

/// Reads a JSON value whose index is in the response header.
///
/// # Errors
/// Any [`ReadError`].
pub async fn read_json<T: DeserializeOwned>(
    client: &Client,
    url: &str,
    wait: Option<WatchWait>,
) -> Result<Indexed<T>, ReadError> {
    let response = send(client, &query_url(url, wait), wait).await?;
    let header = response.headers().get(INDEX_HEADER);
    let index = header.and_then(|text| text.to_str().ok()?.parse().ok());
    let index = index.ok_or_else(|| ReadError::Malformed(format!("no {INDEX_HEADER}")))?;
    let value = decode(response).await?;
    Ok(Indexed { index, value })
}

fn query_url(url: &str, wait: Option<WatchWait>) -> String {
    match wait {
        Some(wait) => format!(
            "{url}?index={}&wait={}ms",
            wait.seen,
            wait.max_wait.as_millis()
        ),
        None => url.to_owned(),
    }
}

async fn send(client: &Client, url: &str, wait: Option<WatchWait>) -> Result<Response, ReadError> {
    let max_wait = wait.map_or(Duration::ZERO, |wait| wait.max_wait);
    let request = client.get(url).timeout(max_wait + RESPONSE_MARGIN);
    let response = request.send().await?;
    match response.status() {
        StatusCode::OK | StatusCode::NOT_FOUND => Ok(response),
        status => Err(ReadError::Status(status.as_u16())),
    }
}

async fn decode<T: DeserializeOwned>(mut response: Response) -> Result<T, ReadError> {
    let mut bytes = Vec::new();
    while let Some(chunk) = response.chunk().await? {
        if bytes.len() + chunk.len() > MAX_RESPONSE_BYTES {
            return Err(ReadError::TooLong);
        }
        bytes.extend_from_slice(&chunk);
    }
    serde_json::from_slice(&bytes).map_err(|error| ReadError::Malformed(error.to_string()))
}
