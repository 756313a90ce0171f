//! Takes one request of a caller up to the point where it is sent to a server.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use bytes::{Bytes, BytesMut};
use futures_util::future::LocalBoxFuture;
use http::{Response, StatusCode, header, request::Parts};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use jj_direct::{
    body::AnswerBody,
    dialect::RequestFacts,
    server::{Arrival, Handler, ServerConfig},
};
use jj_policy::catalog::{Admitted, Catalog, Denied, TrafficLimits};
use jj_utils::{clock::Timestamp, events, log_event};

use crate::{
    error_response::ErrorResponse,
    forward::{ForwardedResponse, Forwarder},
    long_body,
    request::Request,
    shared_state::SharedState,
    stream_relay,
};
use jj_policy::gossip::Standing;

/// Time after which a caller comes back that came before the first configuration.
const NO_CONFIG_RETRY: Duration = Duration::from_millis(500);

/// Longest time in which a request's body has to arrive.
const BODY_TIME: Duration = Duration::from_secs(10);

/// The handler of callers' requests.
pub fn handler(shared: Rc<SharedState>) -> Handler {
    Rc::new(move |arrival, peer| {
        let shared = Rc::clone(&shared);
        let answer: LocalBoxFuture<'static, Response<AnswerBody>> =
            Box::pin(async move { answer(shared, arrival, peer).await });
        answer
    })
}

/// Bounds on callers' connections, as the configuration in force sets them.
pub fn server_config(shared: &SharedState) -> ServerConfig {
    let replica = shared.replica.borrow();
    let limits = replica.catalog.as_ref().map(|it| it.limits);
    let limits = limits.unwrap_or_default();
    ServerConfig {
        header_bytes: limits.header_bytes,
        head_time: limits.header_time,
        idle_time: limits.idle_time,
    }
}

async fn answer(shared: Rc<SharedState>, arrival: Arrival, _: SocketAddr) -> Response<AnswerBody> {
    let arrived = shared.clock.now();
    let mut response = match read(&shared, arrival, arrived).await {
        Ok(request) => pass_on(&shared, Rc::new(request)).await,
        Err(rejected) => {
            log_rejected(&shared, arrived, &rejected);
            rejected.refusal.response(&shared.dialect)
        }
    };
    metrics::counter!("jujube_requests_total", "status" => response.status().as_u16().to_string())
        .increment(1);
    if shared.entry_state.get() == Standing::Leaving {
        let close = header::HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

/// Has a request that is allowed answered by a server.
async fn pass_on(shared: &Rc<SharedState>, request: Rc<Request>) -> Response<AnswerBody> {
    shared.count_request();
    let mut forward = Forwarder::new(shared, request);
    match forward.obtain_response(None).await {
        Ok(ForwardedResponse::Complete(response)) => {
            forward.request_log.status = Some(response.status());
            forward.request_log.first_response_at = Some(shared.clock.now());
            forward.request_log.ending = "answered";
            response
        }
        Ok(ForwardedResponse::Partial(body)) => {
            forward.request_log.status = Some(body.status);
            forward.request_log.first_response_at = Some(shared.clock.now());
            long_body::response(forward, *body)
        }
        Ok(ForwardedResponse::Stream(open)) => {
            forward.request_log.status = Some(open.status);
            forward.request_log.first_response_at = Some(shared.clock.now());
            stream_relay::response(forward, *open)
        }
        Err(refusal) => {
            metrics::counter!("jujube_given_up_total", "reason" => refusal.reason()).increment(1);
            forward.log_unknown_outcome(&refusal);
            if matches!(refusal, ErrorResponse::NotRun { .. }) {
                shared.record_rejection();
            }
            forward.request_log.status = Some(refusal.status());
            forward.request_log.ending = refusal.reason();
            refusal.response(&shared.dialect)
        }
    }
}

/// A request that was rejected before its route was known.
struct RejectedRequest {
    id: Option<String>,
    /// Host and path that it asked for.
    asked: String,
    refusal: ErrorResponse,
}

fn log_rejected(shared: &SharedState, arrived: Timestamp, rejected: &RejectedRequest) {
    let replica = shared.replica.borrow();
    let version = replica.catalog.as_ref().map_or(0, |it| it.version);
    log_event!(
        events::REQUEST_ENDED,
        request = rejected.id.as_deref().unwrap_or("-"),
        asked = rejected.asked.as_str(),
        version = version,
        store_age_ms = shared.elapsed_since(replica.verified_at).as_millis() as u64,
        status = rejected.refusal.status().as_u16(),
        ms = shared.elapsed_since(arrived).as_millis() as u64;
        "{}", rejected.refusal.reason()
    );
}

/// Longest part of a request's target that is logged, in characters.
const LOGGED_TARGET: usize = 120;

/// Host and path of a request, for the log.
fn asked_of(head: &Parts) -> String {
    let text = format!("{}{}", host(head), head.uri.path());
    text.chars().take(LOGGED_TARGET).collect()
}

async fn read(
    shared: &Rc<SharedState>,
    arrival: Arrival,
    arrived: Timestamp,
) -> Result<Request, RejectedRequest> {
    let (head, body) = arrival.into_parts();
    let facts = (shared.dialect.read_request)(&head.headers).map_err(|_| RejectedRequest {
        id: None,
        asked: asked_of(&head),
        refusal: invalid(StatusCode::BAD_REQUEST, "a header can't be read"),
    })?;
    let rejected = |refusal| RejectedRequest {
        id: facts.id.clone(),
        asked: asked_of(&head),
        refusal,
    };
    let catalog = shared.replica.borrow().catalog.clone();
    let catalog = catalog.ok_or_else(|| rejected(not_configured()))?;
    if head_bytes(&head) > catalog.limits.header_bytes {
        let status = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
        return Err(rejected(invalid(status, "the head is too long")));
    }
    let authorized = admit(&catalog, &head, &facts).map_err(rejected)?;
    let service = Catalog::target(&authorized.route, shared.draw()).cloned();
    let service = service.ok_or_else(|| rejected(not_configured()))?;
    let body = read_body(&catalog.limits, body).await.map_err(rejected)?;
    let wait = facts.deadline.unwrap_or(authorized.route.timeout);
    let is_caller_retry =
        facts.last_event.is_some() || shared.detect_caller_retry(&authorized.route.name, wait);
    Ok(Request {
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

/// Bytes of a request's head as it was written.
fn head_bytes(head: &Parts) -> usize {
    /// Bytes of the version and the spaces in the first line, and of two line ends.
    const FIRST_LINE: usize = 14;
    /// Bytes of the colon, the space and the line end of a header.
    const EACH: usize = 4;
    let target = head.uri.path_and_query().map_or(1, |it| it.as_str().len());
    let headers = head.headers.iter();
    let headers = headers.map(|(name, value)| name.as_str().len() + value.len() + EACH);
    head.method.as_str().len() + target + FIRST_LINE + headers.sum::<usize>()
}

/// Name of the host that a request asks for, without a port.
fn host(head: &Parts) -> &str {
    let host = head
        .headers
        .get(header::HOST)
        .and_then(|it| it.to_str().ok());
    let host = host.or_else(|| head.uri.host()).unwrap_or_default();
    host.rsplit_once(':').map_or(host, |(name, _)| name)
}

fn admit(catalog: &Catalog, head: &Parts, facts: &RequestFacts) -> Result<Admitted, ErrorResponse> {
    let authorized = catalog.admit(host(head), head.uri.path(), facts.key.as_deref());
    authorized.map_err(|denied| match denied {
        Denied::NoRoute => invalid(StatusCode::NOT_FOUND, "no route for this host and path"),
        Denied::NoKey => invalid(StatusCode::UNAUTHORIZED, "the key is missing or unknown"),
    })
}

async fn read_body(limits: &TrafficLimits, body: Incoming) -> Result<Bytes, ErrorResponse> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let too_long = || invalid(StatusCode::PAYLOAD_TOO_LARGE, "the body is too long");
    if body.size_hint().lower() > limits.body_bytes as u64 {
        return Err(too_long());
    }
    match tokio::time::timeout(BODY_TIME, collect(limits.body_bytes, body)).await {
        Ok(Ok(Some(bytes))) => Ok(bytes),
        Ok(Ok(None)) => Err(too_long()),
        Ok(Err(_)) => Err(invalid(StatusCode::BAD_REQUEST, "the body broke off")),
        Err(_) => Err(invalid(
            StatusCode::REQUEST_TIMEOUT,
            "the body did not arrive in time",
        )),
    }
}

/// All bytes of a body; none where it is longer than the limit.
async fn collect(limit: usize, mut body: Incoming) -> Result<Option<Bytes>, hyper::Error> {
    let mut whole = BytesMut::new();
    while let Some(frame) = body.frame().await {
        if let Ok(bytes) = frame?.into_data() {
            whole.extend_from_slice(&bytes);
        }
        if whole.len() > limit {
            return Ok(None);
        }
    }
    Ok(Some(whole.freeze()))
}

fn invalid(status: StatusCode, reason: &'static str) -> ErrorResponse {
    ErrorResponse::Invalid { status, reason }
}

fn not_configured() -> ErrorResponse {
    ErrorResponse::NotRun {
        retry_after: NO_CONFIG_RETRY,
        reason: "there is no configuration yet",
    }
}
