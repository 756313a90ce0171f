//! Receives and authorizes a caller's request, and has it forwarded to a server.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use futures_util::future::LocalBoxFuture;
use http::{Response, StatusCode, header, request::Parts};
use http_body_util::BodyDataStream;
use hyper::body::Body;
use jj_direct::{
    body::ResponseBody,
    body_budget::{ReceiveError, StoredBody},
    caller_body::CallerBody,
    header_codec::RequestHeaders,
    server::{Handler, IncomingRequest, ServerConfig},
};
use jj_policy::{
    body_memory::OwnerId,
    catalog::{AuthorizedRequest, Catalog, Denied, TrafficLimits},
    gossip::EntryState,
    process_limits::ProcessLimits,
};
use jj_utils::{clock::Timestamp, events, log_event};
use xxhash_rust::xxh3::Xxh3;

use crate::{
    error_response::ErrorResponse,
    forward::{ForwardedResponse, Forwarder},
    long_body,
    request::{self, Request},
    request_log,
    shared_state::SharedState,
    stream_relay,
};

/// Retry-after time of a request that is rejected before the first configuration is in force.
const NO_CONFIG_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Retry-after time of a request for whose body there is no memory.
const NO_MEMORY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Timeout for receiving the body of a request.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Returns the HTTP handler for callers' requests.
pub fn handler(shared: Rc<SharedState>) -> Handler {
    Rc::new(move |arrival, peer| {
        let shared = Rc::clone(&shared);
        let response: LocalBoxFuture<'static, Response<ResponseBody>> =
            Box::pin(async move { handle(shared, arrival, peer).await });
        response
    })
}

/// Returns the limits of callers' connections in the configuration in force.
pub fn server_config(shared: &SharedState) -> ServerConfig {
    let replica = shared.replica.borrow();
    let limits = replica.catalog.as_ref().map(|it| it.limits);
    let limits = limits.unwrap_or_default();
    ServerConfig {
        max_header_bytes: limits.max_header_bytes,
        header_timeout: limits.header_timeout,
        idle_timeout: limits.idle_timeout,
        max_linger_bytes: limits.max_body_bytes,
        max_connections: shared.settings().limits.traffic_connections(),
    }
}

/// Returns the limits of a port for the system or its operators, which has this share of connections.
pub fn auxiliary_config(
    shared: &SharedState,
    max_connections: fn(&ProcessLimits) -> usize,
) -> ServerConfig {
    ServerConfig {
        max_connections: max_connections(&shared.settings().limits),
        ..ServerConfig::default()
    }
}

/// Handles one request up to the beginning of its response.
async fn handle(
    shared: Rc<SharedState>,
    arrival: IncomingRequest,
    peer: SocketAddr,
) -> Response<ResponseBody> {
    let arrived = shared.clock.now();
    let mut response = match read(&shared, arrival, peer, arrived).await {
        Ok(request) => forward_request(&shared, Rc::new(request)).await,
        Err(rejected) => {
            log_rejected(&shared, arrived, &rejected);
            rejected.error.response(&shared.header_codec)
        }
    };
    metrics::counter!("jujube_requests_total", "status" => response.status().as_u16().to_string())
        .increment(1);
    if shared.entry_state.get() == EntryState::Leaving {
        let close = header::HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

/// Forwards an authorized request to a server, and returns the server's response or an error
/// response.
async fn forward_request(shared: &Rc<SharedState>, request: Rc<Request>) -> Response<ResponseBody> {
    shared.count_request();
    let mut forward = Forwarder::new(shared, request);
    match forward.obtain_response(None).await {
        Ok(ForwardedResponse::Complete(response)) => {
            forward.request_log.status = Some(response.status());
            forward.request_log.first_response_at = Some(shared.clock.now());
            forward.request_log.ending = request_log::COMPLETE;
            response
        }
        Ok(ForwardedResponse::Partial(body)) => {
            forward.request_log.status = Some(body.status);
            forward.request_log.first_response_at = Some(shared.clock.now());
            long_body::response(forward, *body)
        }
        Ok(ForwardedResponse::Stream(stream)) => {
            forward.request_log.status = Some(stream.status);
            forward.request_log.first_response_at = Some(shared.clock.now());
            stream_relay::response(forward, *stream)
        }
        Err(error) => {
            metrics::counter!("jujube_given_up_total", "reason" => error.reason()).increment(1);
            forward.log_unknown_outcome(&error);
            if matches!(error, ErrorResponse::NotRun { .. }) {
                shared.record_rejection();
            }
            forward.request_log.status = Some(error.status());
            forward.request_log.ending = error.reason();
            error.response(&shared.header_codec)
        }
    }
}

/// A request that was rejected before it was authorized.
struct RejectedRequest {
    id: Option<String>,
    /// Requested host and path.
    target: String,
    error: ErrorResponse,
}

/// Logs the end of a request that was rejected before it was authorized.
fn log_rejected(shared: &SharedState, arrived: Timestamp, rejected: &RejectedRequest) {
    let replica = shared.replica.borrow();
    let version = replica.catalog.as_ref().map_or(0, |it| it.version);
    log_event!(
        events::REQUEST_ENDED,
        request = rejected.id.as_deref().unwrap_or("-"),
        asked = rejected.target.as_str(),
        version = version,
        store_age_ms = shared.elapsed_since(replica.verified_at).as_millis() as u64,
        status = rejected.error.status().as_u16(),
        ms = shared.elapsed_since(arrived).as_millis() as u64;
        "{}", rejected.error.reason()
    );
}

/// Number of characters to which a logged request target is cut.
const MAX_LOGGED_TARGET: usize = 120;

/// Returns the host and path of a request for the log, cut to [`MAX_LOGGED_TARGET`].
fn log_target(head: &Parts) -> String {
    let text = format!("{}{}", host(head), head.uri.path());
    text.chars().take(MAX_LOGGED_TARGET).collect()
}

/// Reads and authorizes a request: headers, route, client account, service and body.
async fn read(
    shared: &Rc<SharedState>,
    arrival: IncomingRequest,
    peer: SocketAddr,
    arrived: Timestamp,
) -> Result<Request, RejectedRequest> {
    let (head, body) = arrival.into_parts();
    let facts = (shared.header_codec.read_request)(&head.headers).map_err(|_| RejectedRequest {
        id: None,
        target: log_target(&head),
        error: invalid(StatusCode::BAD_REQUEST, "a header can't be read"),
    })?;
    let rejected = |error| RejectedRequest {
        id: facts.id.clone(),
        target: log_target(&head),
        error,
    };
    let catalog = shared.replica.borrow().catalog.clone();
    let catalog = catalog.ok_or_else(|| rejected(not_configured()))?;
    if head_bytes(&head) > catalog.limits.max_header_bytes {
        let status = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
        return Err(rejected(invalid(status, "the head is too long")));
    }
    let authorized = authorize(&catalog, &head, &facts).map_err(rejected)?;
    let service = Catalog::pick_service(&authorized.route, shared.draw()).cloned();
    let service = service.ok_or_else(|| rejected(not_configured()))?;
    let owner = body_owner(&authorized, peer);
    let body = read_body(shared, owner, &catalog.limits, body).await;
    let body = body.map_err(rejected)?;
    let wait = facts.timeout.unwrap_or(authorized.route.timeout);
    let is_caller_retry =
        facts.last_event_id.is_some() || shared.detect_caller_retry(&authorized.route.name, wait);
    let account = authorized.account.as_ref().map(|it| it.name.as_str());
    Ok(Request {
        parts: request::parts(&head, &facts, account, &body),
        is_caller_retry,
        config_version: catalog.version,
        deadline: arrived + wait.min(authorized.route.timeout),
        head,
        body,
        facts,
        authorized,
        service,
        arrived,
    })
}

/// Returns the length of a request's head in bytes, as it was received.
fn head_bytes(head: &Parts) -> usize {
    /// Bytes of the version and the spaces in the request line, of its line end and the final empty
    /// line.
    const REQUEST_LINE_OVERHEAD: usize = 14;
    /// Bytes of the colon, the space and the line end of a header.
    const HEADER_OVERHEAD: usize = 4;
    let target = head.uri.path_and_query().map_or(1, |it| it.as_str().len());
    let headers = head.headers.iter();
    let headers = headers.map(|(name, value)| name.as_str().len() + value.len() + HEADER_OVERHEAD);
    head.method.as_str().len() + target + REQUEST_LINE_OVERHEAD + headers.sum::<usize>()
}

/// Returns the requested host name without the port.
fn host(head: &Parts) -> &str {
    let host = head
        .headers
        .get(header::HOST)
        .and_then(|it| it.to_str().ok());
    let host = host.or_else(|| head.uri.host()).unwrap_or_default();
    host.rsplit_once(':').map_or(host, |(name, _)| name)
}

/// Finds the route and the client account of a request.
fn authorize(
    catalog: &Catalog,
    head: &Parts,
    facts: &RequestHeaders,
) -> Result<AuthorizedRequest, ErrorResponse> {
    let authorized = catalog.authorize(host(head), head.uri.path(), facts.api_key.as_deref());
    authorized.map_err(|denied| match denied {
        Denied::NoRoute => invalid(StatusCode::NOT_FOUND, "no route for this host and path"),
        Denied::UnknownKey => invalid(StatusCode::UNAUTHORIZED, "the key is missing or unknown"),
    })
}

/// Reads the body of a request of an owner within [`BODY_TIMEOUT`] and the configured length.
async fn read_body(
    shared: &SharedState,
    owner: OwnerId,
    limits: &TrafficLimits,
    body: CallerBody,
) -> Result<StoredBody, ErrorResponse> {
    if body.is_end_stream() {
        return Ok(StoredBody::default());
    }
    let announced = body.size_hint().exact();
    let body = BodyDataStream::new(body);
    let receiving = shared
        .bodies
        .receive(owner, limits.max_body_bytes, announced, body);
    let received = tokio::time::timeout(BODY_TIMEOUT, receiving).await;
    let reason = "the body did not arrive in time";
    let received = received.map_err(|_| invalid(StatusCode::REQUEST_TIMEOUT, reason))?;
    received.map_err(|error| match error {
        ReceiveError::TooLong => invalid(StatusCode::PAYLOAD_TOO_LARGE, "the body is too long"),
        ReceiveError::Interrupted(_) => invalid(StatusCode::BAD_REQUEST, "the body broke off"),
        ReceiveError::NoMemory => ErrorResponse::NotRun {
            retry_after: NO_MEMORY_RETRY_AFTER,
            reason: "too many large bodies arrive at once",
        },
    })
}

/// Returns whom the body of a request is counted for: its client account, else its address.
fn body_owner(authorized: &AuthorizedRequest, peer: SocketAddr) -> OwnerId {
    let mut hash = Xxh3::new();
    match &authorized.account {
        Some(account) => hash.update(account.name.as_bytes()),
        None => hash.update(peer.ip().to_string().as_bytes()),
    }
    hash.digest()
}

/// Returns the rejection of an invalid request.
fn invalid(status: StatusCode, reason: &'static str) -> ErrorResponse {
    ErrorResponse::Invalid { status, reason }
}

/// Returns the rejection of a request for which the configuration is missing.
fn not_configured() -> ErrorResponse {
    ErrorResponse::NotRun {
        retry_after: NO_CONFIG_RETRY_AFTER,
        reason: "there is no configuration yet",
    }
}
