//! Reads callers' requests within limits.

use std::{io, time::Duration};

use bytes::Bytes;
use jj_direct::body_budget::{BodyBudget, ReceiveError};
use jj_peer::frames::Header;
use jj_policy::{body_memory::OwnerId, process_limits::ProcessLimits, verdict::Verdict};
use poem::{
    Request,
    http::{HeaderMap, StatusCode},
};

use xxhash_rust::xxh3::xxh3_64;

use crate::problem::Refusal;

/// Header with the caller's deadline, in milliseconds from arrival.
pub const TIMEOUT_HEADER: &str = "x-request-timeout-ms";

/// Header that names the client account if no API key is used.
pub const ACCOUNT_HEADER: &str = "x-client-account";

/// Header with the idempotency key.
pub const KEY_HEADER: &str = "idempotency-key";

/// Retry-after time of a request for whose body there is no memory.
const NO_MEMORY_RETRY_AFTER: Duration = Duration::from_secs(1);

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
    /// Memory and descriptors of the process.
    pub limits: ProcessLimits,
}

impl Default for CallerConfig {
    fn default() -> Self {
        Self {
            max_body_bytes: 1024 * 1024,
            body_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_secs(75),
            limits: ProcessLimits::default(),
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
pub async fn read(
    request: Request,
    config: &CallerConfig,
    bodies: &BodyBudget,
) -> Result<CallerRequest, Refusal> {
    let peer = request.remote_addr().to_string();
    let (parts, body) = request.into_parts();
    let headers = &parts.headers;
    let timeout = read_timeout(headers)?;
    let key = read_key(headers)?;
    let token = header_text(headers, "authorization")?;
    let token = token.and_then(|value| value.strip_prefix("Bearer ").map(str::to_owned));
    let account = header_text(headers, ACCOUNT_HEADER)?;
    let last_event = header_text(headers, "last-event-id")?;
    let announced = announced_length(headers)?;
    let owner = owner(token.as_deref(), account.as_deref(), &peer);
    let limit = config.max_body_bytes;
    let receiving = bodies.receive(owner, limit, announced, body.into_bytes_stream());
    let received = tokio::time::timeout(config.body_timeout, receiving).await;
    let received = received.map_err(|_| slow_body(config.body_timeout))?;
    let body = received.map_err(|error| body_refusal(error, limit))?;
    let body = body.into_contiguous().ok_or_else(no_memory)?;
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

/// Returns whom a body is counted for: the key or account that the request names, else its address.
fn owner(token: Option<&str>, account: Option<&str>, peer: &str) -> OwnerId {
    xxh3_64(token.or(account).unwrap_or(peer).as_bytes())
}

/// Returns the refusal of a request whose body was not received.
fn body_refusal(error: ReceiveError<io::Error>, limit: usize) -> Refusal {
    match error {
        ReceiveError::TooLong => too_large(limit),
        ReceiveError::NoMemory => no_memory(),
        ReceiveError::Interrupted(error) => {
            bad_request(format!("the body could not be read to its end: {error}"))
        }
    }
}

/// Returns the refusal of a request for whose body there is no memory now.
fn no_memory() -> Refusal {
    let verdict = Verdict::NotRun {
        retry_after: NO_MEMORY_RETRY_AFTER,
    };
    Refusal::given_up(verdict, "too many large bodies arrive at once")
}

fn announced_length(headers: &HeaderMap) -> Result<Option<u64>, Refusal> {
    let Some(length) = header_text(headers, "content-length")? else {
        return Ok(None);
    };
    let length = length.parse();
    length
        .map(Some)
        .map_err(|_| bad_request("content-length is not a number"))
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
