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
use jj_policy::catalog::{AuthorizedRequest, Catalog, Denied, TrafficLimits};
use jj_utils::{clock::Timestamp, events, log_event};

use crate::{
    answers::Refusal,
    forward::{Answered, Forward},
    long_body,
    request::Request,
    shared::Shared,
    stream,
};
use jj_policy::gossip::EntryState;

/// Time after which a caller comes back that came before the first configuration.
const NO_CONFIG_RETRY: Duration = Duration::from_millis(500);

/// Longest time in which a request's body has to arrive.
const BODY_TIME: Duration = Duration::from_secs(10);

/// The handler of callers' requests.
pub fn handler(shared: Rc<Shared>) -> Handler {
    Rc::new(move |arrival, peer| {
        let shared = Rc::clone(&shared);
        let answer: LocalBoxFuture<'static, Response<AnswerBody>> =
            Box::pin(async move { answer(shared, arrival, peer).await });
        answer
    })
}

/// Bounds on callers' connections, as the configuration in force sets them.
pub fn server_config(shared: &Shared) -> ServerConfig {
    let replica = shared.replica.borrow();
    let limits = replica.catalog.as_ref().map(|it| it.limits);
    let limits = limits.unwrap_or_default();
    ServerConfig {
        header_bytes: limits.max_header_bytes,
        head_time: limits.header_timeout,
        idle_time: limits.idle_timeout,
    }
}

async fn answer(shared: Rc<Shared>, arrival: Arrival, _: SocketAddr) -> Response<AnswerBody> {
    let arrived = shared.clock.now();
    let mut response = match read(&shared, arrival, arrived).await {
        Ok(request) => pass_on(&shared, Rc::new(request)).await,
        Err(rejected) => {
            log_rejected(&shared, arrived, &rejected);
            rejected.refusal.answer(&shared.dialect)
        }
    };
    metrics::counter!("jujube_requests_total", "status" => response.status().as_u16().to_string())
        .increment(1);
    if shared.standing.get() == EntryState::Leaving {
        let close = header::HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

/// Has a request that is allowed answered by a server.
async fn pass_on(shared: &Rc<Shared>, request: Rc<Request>) -> Response<AnswerBody> {
    shared.count_request();
    let mut forward = Forward::new(shared, request);
    match forward.answer(None).await {
        Ok(Answered::Plain(response)) => {
            forward.record.status = Some(response.status());
            forward.record.first = Some(shared.clock.now());
            forward.record.end = "answered";
            response
        }
        Ok(Answered::Long(body)) => {
            forward.record.status = Some(body.status);
            forward.record.first = Some(shared.clock.now());
            long_body::response(forward, *body)
        }
        Ok(Answered::Stream(open)) => {
            forward.record.status = Some(open.status);
            forward.record.first = Some(shared.clock.now());
            stream::response(forward, *open)
        }
        Err(refusal) => {
            metrics::counter!("jujube_given_up_total", "reason" => refusal.reason()).increment(1);
            forward.log_unknown(&refusal);
            if matches!(refusal, Refusal::NotRun { .. }) {
                shared.note_rejected();
            }
            forward.record.status = Some(refusal.status());
            forward.record.end = refusal.reason();
            refusal.answer(&shared.dialect)
        }
    }
}

/// A request that was rejected before its route was known.
struct Rejected {
    id: Option<String>,
    /// Host and path that it asked for.
    asked: String,
    refusal: Refusal,
}

fn log_rejected(shared: &Shared, arrived: Timestamp, rejected: &Rejected) {
    let replica = shared.replica.borrow();
    let version = replica.catalog.as_ref().map_or(0, |it| it.version);
    log_event!(
        events::REQUEST_ENDED,
        request = rejected.id.as_deref().unwrap_or("-"),
        asked = rejected.asked.as_str(),
        version = version,
        store_age_ms = shared.since(replica.asked).as_millis() as u64,
        status = rejected.refusal.status().as_u16(),
        ms = shared.since(arrived).as_millis() as u64;
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
    shared: &Rc<Shared>,
    arrival: Arrival,
    arrived: Timestamp,
) -> Result<Request, Rejected> {
    let (head, body) = arrival.into_parts();
    let facts = (shared.dialect.read_request)(&head.headers).map_err(|_| Rejected {
        id: None,
        asked: asked_of(&head),
        refusal: invalid(StatusCode::BAD_REQUEST, "a header can't be read"),
    })?;
    let rejected = |refusal| Rejected {
        id: facts.id.clone(),
        asked: asked_of(&head),
        refusal,
    };
    let catalog = shared.replica.borrow().catalog.clone();
    let catalog = catalog.ok_or_else(|| rejected(not_configured()))?;
    if head_bytes(&head) > catalog.limits.max_header_bytes {
        let status = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
        return Err(rejected(invalid(status, "the head is too long")));
    }
    let admitted = admit(&catalog, &head, &facts).map_err(rejected)?;
    let service = Catalog::pick_service(&admitted.route, shared.draw()).cloned();
    let service = service.ok_or_else(|| rejected(not_configured()))?;
    let body = read_body(&catalog.limits, body).await.map_err(rejected)?;
    let wait = facts.deadline.unwrap_or(admitted.route.timeout);
    let has_returned =
        facts.last_event.is_some() || shared.has_returned(&admitted.route.name, wait);
    Ok(Request {
        has_returned,
        version: catalog.version,
        deadline: arrived + wait.min(admitted.route.timeout),
        head,
        body,
        facts,
        admitted,
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

fn admit(
    catalog: &Catalog,
    head: &Parts,
    facts: &RequestFacts,
) -> Result<AuthorizedRequest, Refusal> {
    let admitted = catalog.authorize(host(head), head.uri.path(), facts.key.as_deref());
    admitted.map_err(|denied| match denied {
        Denied::NoRoute => invalid(StatusCode::NOT_FOUND, "no route for this host and path"),
        Denied::UnknownKey => invalid(StatusCode::UNAUTHORIZED, "the key is missing or unknown"),
    })
}

async fn read_body(limits: &TrafficLimits, body: Incoming) -> Result<Bytes, Refusal> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let too_long = || invalid(StatusCode::PAYLOAD_TOO_LARGE, "the body is too long");
    if body.size_hint().lower() > limits.max_body_bytes as u64 {
        return Err(too_long());
    }
    match tokio::time::timeout(BODY_TIME, collect(limits.max_body_bytes, body)).await {
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

fn invalid(status: StatusCode, reason: &'static str) -> Refusal {
    Refusal::Invalid { status, reason }
}

fn not_configured() -> Refusal {
    Refusal::NotRun {
        after: NO_CONFIG_RETRY,
        reason: "there is no configuration yet",
    }
}
