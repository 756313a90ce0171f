//! Reads callers' requests within limits.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use jj_peer::frames::Header;
use poem::{
    Request,
    http::{HeaderMap, StatusCode},
};

use crate::problem::Refusal;

/// Header with the caller's deadline, in milliseconds from arrival.
pub const TIMEOUT_HEADER: &str = "x-request-timeout-ms";

/// Header that names the client account if no API key is used.
pub const ACCOUNT_HEADER: &str = "x-client-account";

/// Header with the idempotency key.
pub const KEY_HEADER: &str = "idempotency-key";

/// Longest idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 200;

/// Limits on requests and connections of callers.
#[derive(Debug, Clone)]
pub struct CallerConfig {
    /// Largest body, in bytes.
    pub max_body_bytes: usize,
    /// Longest time to receive a body.
    pub body_timeout: Duration,
    /// Longest time for an idle connection, and for the headers of a request.
    pub idle_timeout: Duration,
}

impl Default for CallerConfig {
    fn default() -> Self {
        Self {
            max_body_bytes: 1024 * 1024,
            body_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_secs(75),
        }
    }
}

/// A caller's request, read and validated.
#[derive(Debug, Clone)]
pub struct CallerRequest {
    /// HTTP method, upper case.
    pub method: String,
    /// Path without the query.
    pub path: String,
    /// Query without the question mark.
    pub query: Option<String>,
    /// All headers whose values are valid ASCII text.
    pub headers: Vec<Header>,
    /// The whole body.
    pub body: Bytes,
    /// Longest time to the answer, as set by the caller.
    pub timeout: Option<Duration>,
    /// Idempotency key.
    pub key: Option<String>,
    /// API key from `Authorization: Bearer`.
    pub token: Option<String>,
    /// Client account named in the `x-client-account` header.
    pub account: Option<String>,
    /// Value of `last-event-id`: the last stream event that the caller received.
    pub last_event: Option<String>,
}

impl CallerRequest {
    /// Returns path and query, as forwarded.
    pub fn target(&self) -> String {
        match &self.query {
            Some(query) => format!("{}?{query}", self.path),
            None => self.path.clone(),
        }
    }
}

/// Reads and validates a request within the limits.
///
/// # Errors
/// A refusal that names the invalid value and what is allowed.
pub async fn read(request: Request, config: &CallerConfig) -> Result<CallerRequest, Refusal> {
    let (parts, body) = request.into_parts();
    let headers = &parts.headers;
    let timeout = read_timeout(headers)?;
    let key = read_key(headers)?;
    let token = header_text(headers, "authorization")?;
    let token = token.and_then(|value| value.strip_prefix("Bearer ").map(str::to_owned));
    let account = header_text(headers, ACCOUNT_HEADER)?;
    let last_event = header_text(headers, "last-event-id")?;
    check_length(headers, config.max_body_bytes)?;
    let body = tokio::time::timeout(config.body_timeout, read_body(body, config.max_body_bytes));
    let body = body.await.map_err(|_| slow_body(config.body_timeout))??;
    Ok(CallerRequest {
        method: parts.method.as_str().to_owned(),
        path: parts.uri.path().to_owned(),
        query: parts.uri.query().map(str::to_owned),
        headers: all_headers(headers),
        body,
        timeout,
        key,
        token,
        account,
        last_event,
    })
}

async fn read_body(body: poem::Body, limit: usize) -> Result<Bytes, Refusal> {
    let mut stream = body.into_bytes_stream();
    let mut whole = BytesMut::new();
    while let Some(chunk) = stream.next().await {
        let chunk = chunk.map_err(|error| {
            bad_request(format!("the body could not be read to its end: {error}"))
        })?;
        if whole.len() + chunk.len() > limit {
            return Err(too_large(limit));
        }
        whole.extend_from_slice(&chunk);
    }
    Ok(whole.freeze())
}

fn check_length(headers: &HeaderMap, limit: usize) -> Result<(), Refusal> {
    let Some(length) = header_text(headers, "content-length")? else {
        return Ok(());
    };
    let length: usize = length
        .parse()
        .map_err(|_| bad_request("content-length is not a number"))?;
    if length > limit {
        Err(too_large(limit))
    } else {
        Ok(())
    }
}

fn read_timeout(headers: &HeaderMap) -> Result<Option<Duration>, Refusal> {
    let Some(value) = header_text(headers, TIMEOUT_HEADER)? else {
        return Ok(None);
    };
    let millis: u64 = value.parse().map_err(|_| {
        bad_request(format!(
            "{TIMEOUT_HEADER}: `{value}` is not a whole number of milliseconds"
        ))
    })?;
    Ok(Some(Duration::from_millis(millis)))
}

fn read_key(headers: &HeaderMap) -> Result<Option<String>, Refusal> {
    let Some(key) = header_text(headers, KEY_HEADER)? else {
        return Ok(None);
    };
    let is_valid =
        !key.is_empty() && key.len() <= MAX_KEY_BYTES && key.bytes().all(|b| b.is_ascii_graphic());
    if !is_valid {
        return Err(bad_request(format!(
            "{KEY_HEADER} must be 1 to {MAX_KEY_BYTES} visible ASCII characters without spaces"
        )));
    }
    Ok(Some(key))
}

fn header_text(headers: &HeaderMap, name: &str) -> Result<Option<String>, Refusal> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let value = value
        .to_str()
        .map_err(|_| bad_request(format!("header {name} is not ASCII text")))?;
    Ok(Some(value.to_owned()))
}

fn all_headers(headers: &HeaderMap) -> Vec<Header> {
    let texts = headers
        .iter()
        .filter_map(|(name, value)| Some((name, value.to_str().ok()?)));
    texts
        .map(|(name, value)| Header {
            name: name.to_string(),
            value: value.to_owned(),
        })
        .collect()
}

fn bad_request(detail: impl Into<String>) -> Refusal {
    Refusal::invalid(StatusCode::BAD_REQUEST, detail)
}

fn too_large(limit: usize) -> Refusal {
    let detail = format!("the body is larger than the {limit} bytes allowed");
    Refusal::invalid(StatusCode::PAYLOAD_TOO_LARGE, detail)
}

fn slow_body(limit: Duration) -> Refusal {
    let detail = format!("the body did not arrive within {} ms", limit.as_millis());
    Refusal::invalid(StatusCode::REQUEST_TIMEOUT, detail)
}
