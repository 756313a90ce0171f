//! Forwards one request to backend servers, with queueing and retries, until a server responds or
//! the request fails.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, HeaderName, Request as HttpRequest, Response, header};
use http_body_util::Full;
use jj_direct::{
    body::ResponseBody,
    call::{self, CallError, CallResponse},
    header_codec::{EventId, ForwardHeaders, ResponseHeaders},
};
use jj_policy::{
    catalog::{RequestKind, Route},
    outage::{self, OutageAction, OutageForecast},
    pass_model::PassForecast,
    placement::WaitLimit,
    server_health::AttemptOutcome,
    server_notices::{self, PauseAction},
};
use jj_utils::{clock::Timestamp, events, ids::BackendServerId, log_event};

use crate::{
    attempt_failure::{AttemptFailure, AttemptStage},
    dispatch,
    error_response::ErrorResponse,
    long_body::LongBody,
    prompt_guard::{self, SendDecision, Trial},
    rate_limits,
    request::{self, Request},
    request_log::RequestLog,
    server_stream::{NoFirstEvent, ServerStream},
    shared_state::{NextOpening, Reservation, SharedState},
};

/// Longest response body that is buffered in full, in bytes; longer ones are passed on as they
/// arrive.
const MAX_BUFFERED_BODY: usize = 256 * 1024;

/// A request is rejected as infeasible if this fraction of its estimated response time exceeds the
/// time left. Below 1, since callers' estimates of the response length are often far off.
const INFEASIBLE_FRACTION: f64 = 0.7;

/// Time left until the deadline at or below which no further attempt is started.
const MIN_TIME_FOR_ATTEMPT: Duration = Duration::from_millis(10);

/// Timeout for the first event of a stream, as a fraction of the route's stream patience.
const FIRST_EVENT_FRACTION: f64 = 0.9;

/// Timeout of one attempt of an idempotent request while the route allows another one, as a
/// fraction of the time left until the deadline.
const ATTEMPT_FRACTION: f64 = 0.4;

/// Retry-after time of a rejection whose cause gives no better estimate.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(500);

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

/// Response of a server that can be passed to the caller.
pub enum ForwardedResponse {
    /// A response that has been received in full.
    Complete(Response<ResponseBody>),
    /// A long response of which the head and the beginning of the body have been received.
    Partial(Box<LongBody>),
    /// A stream whose first event, or whose end, has been received.
    Stream(Box<ServerStream>),
}

/// State of one request while it is forwarded.
pub struct Forwarder {
    /// State shared by the tasks of the process.
    pub shared: Rc<SharedState>,
    /// The request.
    pub request: Rc<Request>,
    /// What is logged when the request ends.
    pub request_log: RequestLog,
    /// Servers whose attempts have failed.
    tried_servers: Vec<BackendServerId>,
    /// Whether a failed attempt may have executed the request.
    may_have_run: bool,
    /// Why the last attempt failed, for the log.
    failure_cause: String,
    /// How far the last attempt got.
    stage: AttemptStage,
}

impl Forwarder {
    /// Returns the state of a request that has not been sent yet.
    pub fn new(shared: &Rc<SharedState>, request: Rc<Request>) -> Self {
        Self {
            shared: Rc::clone(shared),
            request_log: RequestLog::new(shared, &request),
            request,
            tried_servers: Vec::new(),
            may_have_run: false,
            failure_cause: String::new(),
            stage: AttemptStage::Connecting,
        }
    }

    /// Sends the request to one server after another until one responds; a stream continues after
    /// the event with the id `last_event`.
    ///
    /// # Errors
    /// When no server has responded and no further attempt is allowed.
    pub async fn obtain_response(
        &mut self,
        last_event: Option<EventId>,
    ) -> Result<ForwardedResponse, ErrorResponse> {
        loop {
            let (reservation, trial) = self.wait_for_permission().await?;
            let server = Rc::clone(&reservation.server);
            let attempt = self.attempt_unless_held(reservation, last_event, trial.is_some());
            let failure = match attempt.await {
                Ok(response) => {
                    self.record_output(&response);
                    return Ok(response);
                }
                Err(failure) => failure,
            };
            if failure == AttemptFailure::Crashed {
                prompt_guard::record_crash(&self.shared, &self.request, &server);
            }
            drop(trial);
            self.tried_servers.push(server.id.clone());
            self.may_have_run |= failure.may_have_run();
            metrics::counter!("jujube_attempts_failed_total", "failure" => failure.metric_label())
                .increment(1);
            let admission = prompt_guard::wait_for_admission(&self.shared, &self.request).await;
            let again = admission.is_ok() && self.may_retry(failure);
            log_event!(
                events::ATTEMPT_FAILED,
                request = self.request.id(), server = server.id.as_str(),
                failure = format!("{failure:?}"), again = again,
                stage = format!("{:?}", self.stage), parts = self.request.shared_parts_text(),
                left_ms = self.time_left().as_millis() as u64;
                "attempt {} failed: {}", self.tried_servers.len(), self.failure_cause
            );
            if let Err(remaining) = admission {
                return Err(self.reject_suspect(remaining));
            }
            if !again {
                return Err(self.give_up("no server has answered"));
            }
        }
    }

    /// Records that a server has begun to respond to the request.
    fn record_output(&self, response: &ForwardedResponse) {
        let has_output = match response {
            ForwardedResponse::Complete(response) => response.status().is_success(),
            ForwardedResponse::Partial(body) => body.status.is_success(),
            ForwardedResponse::Stream(stream) => stream.has_output(),
        };
        if has_output {
            prompt_guard::record_served(&self.shared, &self.request);
        }
    }

    /// Reserves a server for a request whose prompt may be sent to it; with the trial if it is one.
    async fn wait_for_permission(&mut self) -> Result<(Reservation, Option<Trial>), ErrorResponse> {
        let (shared, request) = (Rc::clone(&self.shared), Rc::clone(&self.request));
        loop {
            let admitted = prompt_guard::wait_for_admission(&shared, &request).await;
            admitted.map_err(|remaining| self.reject_suspect(remaining))?;
            let held = prompt_guard::wait_until_held(Rc::clone(&shared), Rc::clone(&request));
            let reservation = tokio::select! {
                reservation = self.wait_for_server() => reservation?,
                remaining = held => return Err(self.reject_suspect(remaining)),
            };
            if let SendDecision::Send(trial) = prompt_guard::decide_to_send(&shared, &request) {
                return Ok((reservation, trial));
            }
        }
    }

    /// Makes an attempt, and withdraws it if a suspect is found in the prompt before the server has
    /// responded; a trial and a request that must not be repeated are not withdrawn.
    async fn attempt_unless_held(
        &mut self,
        reservation: Reservation,
        last_event: Option<EventId>,
        is_trial: bool,
    ) -> Result<ForwardedResponse, AttemptFailure> {
        let may_withdraw = !is_trial && self.route().kind.is_repeatable();
        let (shared, request) = (Rc::clone(&self.shared), Rc::clone(&self.request));
        tokio::select! {
            result = self.attempt(reservation, last_event) => return result,
            _ = prompt_guard::wait_until_held(shared, request), if may_withdraw => {}
        }
        self.failure_cause = "a part of the prompt may crash servers".to_owned();
        Err(match self.stage {
            AttemptStage::Connecting => AttemptFailure::NotWanted,
            AttemptStage::Sent | AttemptStage::HeadReceived => AttemptFailure::Withdrawn,
        })
    }

    /// Logs that the prompt holds suspects, and returns the rejection.
    fn reject_suspect(&self, remaining: Duration) -> ErrorResponse {
        let suspects = self.shared.suspects.borrow();
        let suspects = suspects.suspects_among(&self.request.shared_parts);
        log_event!(
            events::REQUEST_REFUSED,
            request = self.request.id(), service = self.request.service.as_str(),
            suspects = request::parts_text(&suspects), parts = self.request.shared_parts_text(),
            left_ms = self.time_left().as_millis() as u64,
            retry_after_ms = remaining.as_millis() as u64;
            "rejected: a part of the prompt is suspected to crash servers"
        );
        self.give_up_with(remaining, "a part of the prompt crashes servers")
    }

    /// Returns whether the request may be sent to another server after a failed attempt, and takes
    /// the retry out of the retry budget.
    fn may_retry(&self, failure: AttemptFailure) -> bool {
        let route = self.route();
        let is_allowed = !failure.may_have_run() || route.kind.is_repeatable();
        let sent = self.request_log.servers.len() as u32;
        let is_in_time = self.time_left() > MIN_TIME_FOR_ATTEMPT;
        if !is_allowed || !is_in_time || self.tried_servers.len() > MAX_TRIES {
            return false;
        }
        failure.is_uncounted() || (sent < route.max_attempts && self.shared.spend_retry())
    }

    /// Returns the route of the request.
    fn route(&self) -> &Route {
        &self.request.authorized.route
    }

    /// Returns the time left until the deadline.
    pub fn time_left(&self) -> Duration {
        self.request
            .deadline
            .saturating_sub(self.shared.clock.now())
    }

    /// Returns the error response of a request for which no further attempt is made.
    pub fn give_up(&self, reason: &'static str) -> ErrorResponse {
        self.give_up_with(DEFAULT_RETRY_AFTER, reason)
    }

    /// Like [`Self::give_up`], with the retry-after time for the case that the request has not run.
    fn give_up_with(&self, retry_after: Duration, reason: &'static str) -> ErrorResponse {
        if self.may_have_run {
            return match self.time_left().is_zero() {
                true => ErrorResponse::TimedOut,
                false => ErrorResponse::OutcomeUnknown { reason },
            };
        }
        ErrorResponse::NotRun {
            retry_after,
            reason,
        }
    }

    /// Logs a request of kind `Once` that failed after it may have run.
    pub fn log_unknown_outcome(&self, error: &ErrorResponse) {
        if self.route().kind != RequestKind::Once || !self.may_have_run {
            return;
        }
        log_event!(
            events::OUTCOME_UNKNOWN,
            request = self.request.id(), service = self.request.service.as_str(),
            servers = self.request_log.servers.join(","), status = error.status().as_u16();
            "may have run: {}", self.failure_cause
        );
    }

    /// Reserves a server, after waiting in the queue if none has capacity.
    async fn wait_for_server(&mut self) -> Result<Reservation, ErrorResponse> {
        let service = self.request.service.clone();
        if self.is_infeasible() {
            let retry_after = self.time_left().mul_f64(outage::MAX_RETRY_AFTER_PART);
            return Err(self.give_up_with(retry_after, "the answer can't be finished in time"));
        }
        let must_wait =
            dispatch::has_queued_requests(&self.shared, &service) && self.tried_servers.is_empty();
        let prompt = self.request.facts.token_usage.prompt_tokens;
        if !must_wait
            && let Some(reservation) =
                self.shared
                    .reserve_server(&service, &self.tried_servers, prompt)
        {
            return Ok(reservation);
        }
        if !self.shared.has_usable_server(&service) {
            return Err(self.give_up("no server takes requests"));
        }
        let wait = self.queue_timeout()?;
        self.check_next_opening(&service)?;
        let mut position = dispatch::enqueue(&self.shared, &self.request, &self.tried_servers);
        self.shared.capacity_changed.notify_one();
        match tokio::time::timeout(wait, &mut position.reservation).await {
            Ok(Ok(reservation)) => Ok(reservation),
            Ok(Err(_)) | Err(_) => Err(self.reject_full()),
        }
    }

    /// Rejects the request if all servers limit what they accept, and none accepts it before it
    /// would be given up.
    fn check_next_opening(&self, service: &str) -> Result<(), ErrorResponse> {
        let waiting = dispatch::queue_length(&self.shared, service);
        let opens = match self.shared.next_opening(service, waiting) {
            NextOpening::Now => return Ok(()),
            NextOpening::At(opens) => opens,
            NextOpening::Unknown => self.shared.clock.now() + DEFAULT_RETRY_AFTER,
        };
        let now = self.shared.clock.now();
        let give_up = self.wait_limit().reject_at();
        match server_notices::decide_while_paused(now, opens, give_up, self.shared.draw()) {
            PauseAction::Wait => Ok(()),
            PauseAction::Reject(retry_after) => Err(self.reject_limited(opens, retry_after)),
        }
    }

    /// Logs that all servers limit what they accept, and returns the rejection.
    fn reject_limited(&self, opens: Timestamp, retry_after: Duration) -> ErrorResponse {
        log_event!(
            events::REQUEST_REFUSED,
            request = self.request.id(), service = self.request.service.as_str(),
            opens_ms = opens.saturating_sub(self.shared.clock.now()).as_millis() as u64,
            left_ms = self.time_left().as_millis() as u64,
            retry_after_ms = retry_after.as_millis() as u64;
            "rejected: all servers of the service have asked for a pause or for fewer requests"
        );
        self.give_up_with(retry_after, "all servers have asked for fewer requests")
    }

    /// Logs that no server has capacity for the request, with the load of the service, and returns
    /// the rejection.
    fn reject_full(&self) -> ErrorResponse {
        let service = self.request.service.as_str();
        let prompt = self.request.facts.token_usage.prompt_tokens;
        let (forecast, requests) = self.shared.forecast(service, prompt).unzip();
        let pass = |length: fn(&PassForecast) -> Duration| {
            forecast
                .as_ref()
                .map_or(0, |it| length(it).as_millis() as u64)
        };
        log_event!(
            events::REQUEST_REFUSED,
            request = self.request.id(), service = service,
            requests = requests.unwrap_or_default(),
            waiting = dispatch::queue_length(&self.shared, service), prompt = prompt,
            next_pass_ms = pass(|it| it.next_pass), worst_pass_ms = pass(|it| it.worst_pass);
            "rejected: no server of the service has capacity"
        );
        self.give_up("all servers are full")
    }

    /// Logs that the engine group of the service is out, and returns the rejection.
    fn reject_outage(&self, outage: &OutageForecast, retry_after: Duration) -> ErrorResponse {
        log_event!(
            events::REQUEST_REFUSED,
            request = self.request.id(), service = self.request.service.as_str(),
            out_ms = outage.age.as_millis() as u64, expected_ms = outage.remaining.as_millis() as u64,
            left_ms = self.time_left().as_millis() as u64,
            has_returned = self.request.is_caller_retry,
            retry_after_ms = retry_after.as_millis() as u64;
            "rejected: the engine group of the service is out"
        );
        self.give_up_with(retry_after, "the group does not work")
    }

    /// Returns whether the response is unlikely to be finished by the deadline, judged by the
    /// caller's estimate of its length.
    fn is_infeasible(&self) -> bool {
        let Some(tokens) = self.request.facts.length_hint else {
            return false;
        };
        let time = self
            .shared
            .estimated_response_time(&self.request.service, tokens);
        time.is_some_and(|time| time.mul_f64(INFEASIBLE_FRACTION) > self.time_left())
    }

    /// Returns the time for which the request may wait in the queue, or its rejection. Except
    /// during an outage, a request that was already sent to a server is not queued.
    fn queue_timeout(&self) -> Result<Duration, ErrorResponse> {
        if let Some(outage) = self.shared.outage(&self.request.service) {
            return match outage::decide_during_outage(
                outage,
                self.time_left(),
                self.request.is_caller_retry,
            ) {
                OutageAction::Wait(wait) => Ok(wait),
                OutageAction::Reject(retry_after) => Err(self.reject_outage(&outage, retry_after)),
            };
        }
        let until = self.wait_limit().reject_at();
        let now = self.shared.clock.now();
        match now >= until || !self.tried_servers.is_empty() {
            true => Err(self.reject_full()),
            false => Ok(until - now),
        }
    }

    /// Returns the times that limit the wait in the queue.
    fn wait_limit(&self) -> WaitLimit {
        WaitLimit {
            arrived: self.request.arrived,
            target_latency: self.route().target_latency,
            deadline: self.request.deadline,
        }
    }

    /// Makes one attempt at the reserved server, and records its result for the server's health.
    async fn attempt(
        &mut self,
        reservation: Reservation,
        last_event: Option<EventId>,
    ) -> Result<ForwardedResponse, AttemptFailure> {
        let limit = self.attempt_timeout();
        let sent_before = self.request_log.servers.len();
        self.stage = AttemptStage::Connecting;
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
                return Err(AttemptFailure::Unknown);
            }
        };
        if self.route().kind.is_stream() && answer.status.is_success() {
            let stream = ServerStream::new(answer, facts, reservation, last_event);
            let started = stream.wait_for_first_event(limit).await;
            let stream = started.map_err(|cause| self.describe_missing_event(cause))?;
            return Ok(ForwardedResponse::Stream(Box::new(stream)));
        }
        self.read_response(answer, facts, reservation).await
    }

    /// Notes why there was no first event, and returns the failure.
    fn describe_missing_event(&mut self, cause: NoFirstEvent) -> AttemptFailure {
        self.failure_cause = format!("no first event: {cause}");
        match cause {
            NoFirstEvent::Crashed(_) => AttemptFailure::Crashed,
            NoFirstEvent::BrokenOff(_) | NoFirstEvent::Timeout => AttemptFailure::Unknown,
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
            let connection = match self.shared.pool.acquire(addr).await {
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
            let error = match call::send(connection, request).await {
                Ok(answer) => break answer,
                Err(error) => error,
            };
            self.failure_cause = error.to_string();
            if matches!(error, CallError::Lost(_)) {
                return Err(AttemptFailure::Unknown);
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
                loads.record_group_refusal(now, &self.request.service);
            }
            self.failure_cause = describe_refusal(&answer, &facts);
            let keep_alive = facts.keep_alive;
            drain_short_body(answer, &self.shared, keep_alive).await;
            return Err(AttemptFailure::NotRun);
        }
        Ok((answer, facts))
    }

    /// Builds the request as it is sent to a server.
    fn outgoing_request(
        &self,
        reservation: &Reservation,
        last_event: Option<EventId>,
    ) -> HttpRequest<Full<Bytes>> {
        let head = &self.request.head;
        let mut request = HttpRequest::new(Full::new(self.request.body.clone()));
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
        let read = tokio::time::timeout(limit, answer.read_body(MAX_BUFFERED_BODY)).await;
        let may_be_cut = match &read {
            Ok(Ok(Ok(_))) => answer.ends_with_connection,
            Ok(result) => result.is_err(),
            Err(_) => false,
        };
        let (failure, cause) = match read {
            _ if may_be_cut && reservation.has_server_crashed().await => {
                (AttemptFailure::Crashed, "the server crashed".to_owned())
            }
            Ok(Ok(body)) => return self.use_response(answer, facts, reservation, body),
            Ok(Err(error)) => (AttemptFailure::Unknown, error.to_string()),
            Err(_) => (AttemptFailure::Unknown, "timeout".to_owned()),
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
        body: Result<Bytes, Bytes>,
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
            return Err(AttemptFailure::Unknown);
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

/// Number of failed attempts up to which a request is sent to another server, including attempts
/// that did not reach their server.
const MAX_TRIES: usize = 4;

/// Maximum number of pooled connections in a row that may turn out to be closed by the server.
const MAX_CLOSED_CONNECTIONS: u32 = 3;

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
    if let Ok(Ok(Ok(_))) = tokio::time::timeout(TIMEOUT, answer.read_body(MAX_BYTES)).await {
        answer.finish(&shared.pool, keep_alive);
    }
}
