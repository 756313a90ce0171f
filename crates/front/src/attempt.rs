//! One attempt to have a request served: sends it to the reserved server and reads the response.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, HeaderName, Request as HttpRequest, Response, header};
use jj_direct::{
    body::ResponseBody,
    body_budget::RequestBody,
    call::{self, CallError, CallResponse},
    header_codec::{EventId, ForwardHeaders, ResponseHeaders},
};
use jj_policy::{
    catalog::RequestKind, crash_reports::LossEvidence, server_health::AttemptOutcome,
    server_list::ServerRecord,
};

use crate::{
    attempt_failure::{AttemptFailure, AttemptStage},
    crash_detector::LostRequest,
    forward::{ForwardedResponse, Forwarder},
    long_body::LongBody,
    rate_limits,
    server_stream::{NoFirstEvent, ServerStream},
    shared_state::{Reservation, SharedState},
};

/// Longest response body that is buffered in full, in bytes; longer ones are passed on as they
/// arrive.
const MAX_BUFFERED_BODY: usize = 256 * 1024;

/// Timeout for the first event of a stream, as a fraction of the route's stream patience.
const FIRST_EVENT_FRACTION: f64 = 0.9;

/// Timeout of one attempt of an idempotent request while the route allows another one, as a
/// fraction of the time left until the deadline.
const ATTEMPT_FRACTION: f64 = 0.4;

/// Maximum number of pooled connections in a row that may turn out to be closed by the server.
const MAX_CLOSED_CONNECTIONS: u32 = 3;

/// Headers that apply to one connection only (hop-by-hop) and are not forwarded.
const HOP_HEADERS: [HeaderName; 9] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::CONTENT_LENGTH,
    HeaderName::from_static("keep-alive"),
];

impl Forwarder {
    /// Makes one attempt at the reserved server, and records its result for the server's health.
    pub(crate) async fn attempt(
        &mut self,
        reservation: Reservation,
        last_event: Option<EventId>,
    ) -> Result<ForwardedResponse, AttemptFailure> {
        let limit = self.attempt_timeout();
        let sent_before = self.request_log.servers.len();
        self.stage = AttemptStage::Connecting;
        self.sent_at = None;
        let sent = tokio::time::timeout(limit, self.send(&reservation, last_event));
        let (answer, facts) = match sent.await {
            Ok(Ok(received)) => received,
            Ok(Err(failure)) => {
                if let Some(outcome) = failure.outcome() {
                    reservation.record_outcome(outcome);
                }
                return Err(failure);
            }
            Err(_) if self.request_log.servers.len() == sent_before => {
                self.failure_cause = format!("no connection within {} ms", limit.as_millis());
                reservation.record_outcome(AttemptOutcome::Unreachable);
                return Err(AttemptFailure::NotSent);
            }
            Err(_) => {
                self.failure_cause = format!("no response head within {} ms", limit.as_millis());
                reservation.record_outcome(AttemptOutcome::Failed);
                return Err(AttemptFailure::Lost);
            }
        };
        if self.route().kind.is_stream() && answer.status.is_success() {
            let head_at = self.shared.clock.now();
            let last_event = last_event.or(self.request.facts.last_event_id);
            let stream = ServerStream::new(answer, facts, reservation, last_event);
            let started = stream.wait_for_first_event(limit).await;
            let stream = started.map_err(|cause| self.describe_missing_event(cause))?;
            if stream.has_output() {
                let lead = self.shared.elapsed_since(head_at);
                let detector = &self.shared.crash_detector;
                detector.record_head_lead(&self.request.service, lead);
            }
            return Ok(ForwardedResponse::Stream(Box::new(stream)));
        }
        self.read_response(answer, facts, reservation).await
    }

    /// Notes why there was no first event, and returns the failure.
    fn describe_missing_event(&mut self, cause: NoFirstEvent) -> AttemptFailure {
        self.failure_cause = format!("no first event: {cause}");
        match cause {
            NoFirstEvent::Crashed(_) => AttemptFailure::Crashed,
            NoFirstEvent::Lost(_) | NoFirstEvent::Timeout => AttemptFailure::Lost,
            NoFirstEvent::Unusable(_) => AttemptFailure::Unknown,
        }
    }

    /// Returns the timeout of one attempt, which depends on the kind of request.
    fn attempt_timeout(&self) -> Duration {
        let left = self.time_left();
        match self.route().kind {
            RequestKind::Idempotent if self.has_attempts_left(1) => left
                .mul_f64(ATTEMPT_FRACTION)
                .max(self.route().target_latency)
                .min(left),
            RequestKind::Idempotent | RequestKind::Once => left,
            RequestKind::Stream | RequestKind::ResumableStream => {
                left.min(self.route().stream_patience().mul_f64(FIRST_EVENT_FRACTION))
            }
        }
    }

    /// Returns whether the route allows another attempt after those made and `sending` more.
    fn has_attempts_left(&self, sending: u32) -> bool {
        (self.request_log.servers.len() as u32) + sending < self.route().max_attempts
    }

    /// Sends the request and reads the head of the response. A pooled connection that turns out to
    /// be closed is replaced by another one.
    async fn send(
        &mut self,
        reservation: &Reservation,
        last_event: Option<EventId>,
    ) -> Result<(CallResponse, ResponseHeaders), AttemptFailure> {
        let addr = reservation.server.addr;
        let mut closed_connections = 0;
        let mut sent_at;
        let answer = loop {
            // On a new connection, a response without an id can't be a copy of an earlier one.
            let connection = match self.request.facts.id {
                Some(_) => self.shared.pool.acquire(addr).await,
                None => self.shared.pool.open(addr).await,
            };
            let connection = match connection {
                Ok(connection) => connection,
                Err(error) => {
                    self.failure_cause = error.to_string();
                    return Err(AttemptFailure::NotSent);
                }
            };
            // The server may have asked for a pause or announced its end in the meantime.
            if !self.shared.server_access(&reservation.server).is_allowed() {
                self.failure_cause = "the server accepts no requests now".to_owned();
                return Err(AttemptFailure::NotWanted);
            }
            let request = self.outgoing_request(reservation, last_event);
            // Recorded before sending, since the attempt's timeout may cancel this call.
            self.request_log.servers.push(reservation.server.id.clone());
            self.stage = AttemptStage::Sent;
            sent_at = self.shared.clock.now();
            self.sent_at = Some(sent_at);
            let error = match call::send(connection, request).await {
                Ok(answer) => break answer,
                Err(error) => error,
            };
            self.failure_cause = error.to_string();
            match error {
                CallError::Lost(_) => {
                    return Err(self.classify_lost_connection(reservation).await);
                }
                CallError::InvalidStatus(_) => {
                    self.stage = AttemptStage::HeadReceived;
                    return Err(AttemptFailure::Unknown);
                }
                CallError::NotSent(_) => {}
            }
            self.request_log.servers.pop();
            self.stage = AttemptStage::Connecting;
            // The server closed the idle connection before it read the request.
            closed_connections += 1;
            if closed_connections > MAX_CLOSED_CONNECTIONS {
                return Err(AttemptFailure::NotSent);
            }
        };
        self.stage = AttemptStage::HeadReceived;
        let facts = (self.shared.header_codec.read_response)(answer.status, &answer.headers);
        if !belongs_to_request(&facts, &answer, self.request.facts.id.as_deref()) {
            self.failure_cause = format!(
                "status {} in a response that does not belong to this request",
                answer.status.as_u16()
            );
            return Err(AttemptFailure::Unknown);
        }
        if !facts.is_misdirected {
            self.shared.apply_notices(&reservation.server, &facts);
            let server = &reservation.server;
            rate_limits::record_response(&self.shared, server, sent_at, facts.rate_limit);
        }
        if facts.not_run {
            let is_full = facts.load.is_some_and(|it| it.waiting > 0);
            if !is_full && !facts.is_misdirected {
                let now = self.shared.clock.now();
                let mut loads = self.shared.loads.borrow_mut();
                let server = &reservation.server.id;
                loads.record_group_refusal(now, &self.request.service, server);
            }
            self.failure_cause = describe_refusal(&answer, &facts);
            let keep_alive = facts.keep_alive;
            drain_short_body(answer, &self.shared, keep_alive).await;
            return Err(AttemptFailure::NotRun);
        }
        Ok((answer, facts))
    }

    /// Returns the failure of an attempt whose connection broke before the head of a response.
    async fn classify_lost_connection(&self, reservation: &Reservation) -> AttemptFailure {
        match reservation.has_server_crashed().await {
            true => AttemptFailure::Crashed,
            false => AttemptFailure::Lost,
        }
    }

    /// Returns the request of an attempt that failed, with what is known of the state in which it was
    /// lost; `None` if it wasn't sent.
    pub(crate) fn lost_request(&self, server: &Rc<ServerRecord>) -> Option<LostRequest> {
        let evidence = match self.stage {
            AttemptStage::Connecting => return None,
            AttemptStage::Sent => {
                let detector = &self.shared.crash_detector;
                detector.evidence_without_head(&self.request)
            }
            AttemptStage::HeadReceived => LossEvidence::Began,
        };
        Some(LostRequest {
            request: Rc::clone(&self.request),
            server: Rc::clone(server),
            evidence,
            sent_at: self.sent_at?,
            lost_at: self.shared.clock.now(),
        })
    }

    /// Builds the request as it is sent to a server.
    fn outgoing_request(
        &self,
        reservation: &Reservation,
        last_event: Option<EventId>,
    ) -> HttpRequest<RequestBody> {
        let head = &self.request.head;
        let mut request = HttpRequest::new(RequestBody::from(self.request.body.clone()));
        *request.method_mut() = head.method.clone();
        *request.uri_mut() = head.uri.clone();
        let mut headers = head.headers.clone();
        remove_hop_headers(&mut headers);
        let account = self.request.authorized.account.as_ref();
        let outgoing = ForwardHeaders {
            server: &reservation.server.id,
            time_left: self.request.facts.timeout.map(|_| self.time_left()),
            account: account.map(|it| it.name.as_str()),
            last_event_id: last_event.or(self.request.facts.last_event_id),
            priority: None,
        };
        (self.shared.header_codec.write_request)(&mut headers, &outgoing);
        *request.headers_mut() = headers;
        request
    }

    /// Reads the body of a response that is not an event stream, up to [`MAX_BUFFERED_BODY`].
    async fn read_response(
        &mut self,
        mut answer: CallResponse,
        facts: ResponseHeaders,
        reservation: Reservation,
    ) -> Result<ForwardedResponse, AttemptFailure> {
        let limit = self.attempt_timeout();
        let buffer = self.shared.responses.begin();
        let read = tokio::time::timeout(limit, answer.read_body(MAX_BUFFERED_BODY, buffer)).await;
        let ends_with_connection = matches!(&read, Ok(Ok(Ok(_)))) && answer.ends_with_connection;
        let has_ended = ends_with_connection && reservation.has_server_ended().await;
        let is_cut = has_ended || matches!(&read, Ok(Err(_)));
        let (failure, cause) = match read {
            _ if is_cut && reservation.has_server_crashed().await => {
                (AttemptFailure::Crashed, "the server crashed".to_owned())
            }
            Ok(Ok(_)) if has_ended => (AttemptFailure::Lost, "the server ended".to_owned()),
            Ok(Ok(body)) => return self.use_response(answer, facts, reservation, body),
            Ok(Err(error)) => (AttemptFailure::Lost, error.to_string()),
            Err(_) => (AttemptFailure::Lost, "timeout".to_owned()),
        };
        self.failure_cause = format!("the response body broke off: {cause}");
        reservation.record_outcome(AttemptOutcome::Failed);
        Err(failure)
    }

    /// Returns the response whose body, or its beginning (`Err`), has been read; one with a server
    /// error is a failure if the request may be retried.
    fn use_response(
        &mut self,
        mut answer: CallResponse,
        facts: ResponseHeaders,
        reservation: Reservation,
        body: Result<Bytes, Vec<Bytes>>,
    ) -> Result<ForwardedResponse, AttemptFailure> {
        let is_error = answer.status.is_server_error();
        if is_error || body.is_ok() {
            reservation.record_outcome(if is_error {
                AttemptOutcome::Failed
            } else {
                AttemptOutcome::Succeeded
            });
        }
        if is_error && self.route().kind == RequestKind::Idempotent && self.has_attempts_left(0) {
            self.failure_cause = format!("status {}", answer.status.as_u16());
            return Err(AttemptFailure::ServerError);
        }
        let status = answer.status;
        let mut headers = std::mem::take(&mut answer.headers);
        let is_head = self.request.head.method == http::Method::HEAD;
        let stated = headers.get(header::CONTENT_LENGTH).cloned();
        remove_hop_headers(&mut headers);
        let body = match body {
            Ok(whole) => {
                let keep_alive = keep_alive_time(&facts);
                answer.finish(&self.shared.pool, keep_alive);
                ResponseBody::whole(whole)
            }
            Err(received) => {
                let long = LongBody {
                    status,
                    headers,
                    received,
                    answer,
                    facts,
                    reservation,
                };
                return Ok(ForwardedResponse::Partial(Box::new(long)));
            }
        };
        if let Some(stated) = stated.filter(|_| is_head) {
            headers.insert(header::CONTENT_LENGTH, stated);
        }
        let mut response = Response::new(body);
        *response.status_mut() = status;
        *response.headers_mut() = headers;
        Ok(ForwardedResponse::Complete(response))
    }
}

/// Returns whether a response belongs to this request and is unaltered: a successful one has to
/// name the request and be signed. On a reused connection, one that does not name the request may
/// be a late copy of an earlier response.
fn belongs_to_request(facts: &ResponseHeaders, answer: &CallResponse, id: Option<&str>) -> bool {
    let is_named = id.is_none() || facts.request_id.as_deref() == id;
    if answer.status.is_success() {
        let is_altered = answer.headers.contains_key(header::CONTENT_ENCODING);
        return is_named && facts.is_signed && !is_altered;
    }
    let is_unnamed_on_new_connection =
        facts.request_id.is_none() && !answer.is_on_reused_connection();
    is_named || is_unnamed_on_new_connection
}

/// Describes a server's refusal for the log.
fn describe_refusal(answer: &CallResponse, facts: &ResponseHeaders) -> String {
    let status = answer.status.as_u16();
    let fault = facts.faulty_server.as_deref().unwrap_or("itself");
    let load = facts.load.map_or((0, 0), |it| (it.running, it.waiting));
    let pause = facts.retry_after.unwrap_or_default().as_millis();
    format!("refused with status {status}, at fault {fault}, load {load:?}, pause {pause} ms")
}

/// Returns the time for which the server keeps an idle connection open: zero if it closes the
/// connection, `None` if it did not say.
pub fn keep_alive_time(facts: &ResponseHeaders) -> Option<Duration> {
    match facts.closes_connection {
        true => Some(Duration::ZERO),
        false => facts.keep_alive,
    }
}

/// Removes the hop-by-hop headers, including those that the `Connection` header names.
pub fn remove_hop_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|it| it.to_str().ok())
        .flat_map(|it| it.split(','))
        .filter_map(|it| it.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP_HEADERS) {
        headers.remove(name);
    }
}

/// Reads the short body of a refusal and returns the connection to the pool; a body that is too
/// long or too slow costs the connection.
async fn drain_short_body(
    mut answer: CallResponse,
    shared: &SharedState,
    keep_alive: Option<Duration>,
) {
    const TIMEOUT: Duration = Duration::from_millis(20);
    const MAX_BYTES: usize = 4_096;
    let buffer = shared.responses.begin();
    if let Ok(Ok(Ok(_))) = tokio::time::timeout(TIMEOUT, answer.read_body(MAX_BYTES, buffer)).await
    {
        answer.finish(&shared.pool, keep_alive);
    }
}
