//! Sends one request to servers until one has answered, or the request is given up.

use std::{rc::Rc, time::Duration};

use http::{HeaderMap, HeaderName, Request as HttpRequest, Response, header};
use http_body_util::Full;
use jj_direct::{
    body::AnswerBody,
    call::{self, CallAnswer, CallError},
    dialect::{AnswerFacts, EventId, Outgoing},
};
use jj_policy::{
    catalog::{RequestKind, Route},
    outage::{self, OutageAnswer, Outlook},
    pass_model::Forecast,
    placement::WaitBound,
    server_health::Sign,
    server_notices::{self, PauseAnswer},
};
use jj_utils::{clock::Timestamp, events, ids::BackendServerId, log_event};

use crate::{
    attempt_failure::AttemptFailure,
    dispatch,
    error_response::ErrorResponse,
    long_body::LongBody,
    request::Request,
    request_log::RequestLog,
    server_stream::ServerStream,
    shared_state::{Reservation, SharedState},
};

/// Longest body that is read before the answer begins, in bytes.
const BUFFERED_BODY: usize = 256 * 1024;

/// Part of the time that an answer is expected to take which has to be over the time left for it to
/// be hopeless; callers' estimates of lengths are often far off.
const HOPELESS_PART: f64 = 0.7;

/// Time left under which no attempt is worth its start.
const LEAST_LEFT: Duration = Duration::from_millis(10);

/// Part of a caller's patience for which the first event of a stream is waited for.
const FIRST_EVENT_PART: f64 = 0.9;

/// Part of the time left that one attempt of an idempotent request may take while there is
/// another server to try.
const ATTEMPT_PART: f64 = 0.4;

/// Time after which a refused caller comes back where nothing better is known.
const RETRY_AFTER: Duration = Duration::from_millis(500);

/// Headers that belong to one connection and are not passed on.
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

/// An answer for the caller.
pub enum ForwardedResponse {
    /// All of it is there.
    Complete(Response<AnswerBody>),
    /// Its beginning is there.
    Partial(Box<LongBody>),
    /// A stream whose first event is there.
    Stream(Box<ServerStream>),
}

/// One request on its way.
pub struct Forwarder {
    /// State of the process.
    pub shared: Rc<SharedState>,
    /// The request.
    pub request: Rc<Request>,
    /// What the log will say of it.
    pub request_log: RequestLog,
    tried: Vec<BackendServerId>,
    may_have_run: bool,
    /// Why the last attempt has no answer, for the log.
    cause: String,
}

impl Forwarder {
    /// A request that was not sent anywhere yet.
    pub fn new(shared: &Rc<SharedState>, request: Rc<Request>) -> Self {
        Self {
            shared: Rc::clone(shared),
            request_log: RequestLog::new(shared, &request),
            request,
            tried: Vec::new(),
            may_have_run: false,
            cause: String::new(),
        }
    }

    /// The first answer that the caller can have; a stream goes on after `last_event`.
    ///
    /// # Errors
    /// When the request is given up.
    pub async fn obtain_response(
        &mut self,
        last_event: Option<EventId>,
    ) -> Result<ForwardedResponse, ErrorResponse> {
        loop {
            let place = self.place().await?;
            let server = place.server.id.clone();
            let failure = match self.attempt(place, last_event).await {
                Ok(answered) => return Ok(answered),
                Err(failure) => failure,
            };
            self.tried.push(server.clone());
            self.may_have_run |= failure == AttemptFailure::Unknown;
            metrics::counter!("jujube_attempts_failed_total", "failure" => failure.metric_label())
                .increment(1);
            let again = self.may_repeat(failure);
            log_event!(
                events::ATTEMPT_FAILED,
                request = self.request.id(), server = server,
                failure = format!("{failure:?}"), again = again,
                left_ms = self.time_left().as_millis() as u64;
                "attempt {} has no answer: {}", self.tried.len(), self.cause
            );
            if !again {
                return Err(self.give_up("no server has answered"));
            }
        }
    }

    /// Whether another server may be tried after a failed attempt; pays for it.
    fn may_repeat(&self, failure: AttemptFailure) -> bool {
        let route = self.route();
        let is_allowed = failure != AttemptFailure::Unknown || route.kind.is_repeatable();
        let sent = self.request_log.servers.len() as u32;
        let is_in_time = self.time_left() > LEAST_LEFT;
        if !is_allowed || !is_in_time || self.tried.len() > MOST_TRIES {
            return false;
        }
        failure.is_uncounted() || (sent < route.attempts && self.shared.spend_retry())
    }

    fn route(&self) -> &Route {
        &self.request.authorized.route
    }

    /// Time left until its answer is worth nothing any more.
    pub fn time_left(&self) -> Duration {
        self.request
            .deadline
            .saturating_sub(self.shared.clock.now())
    }

    /// The final answer of a request that is given up.
    pub fn give_up(&self, reason: &'static str) -> ErrorResponse {
        self.give_up_until(RETRY_AFTER, reason)
    }

    /// The same, with the time after which the caller may come back where the request has not run.
    fn give_up_until(&self, after: Duration, reason: &'static str) -> ErrorResponse {
        if self.may_have_run {
            return match self.time_left().is_zero() {
                true => ErrorResponse::TimedOut,
                false => ErrorResponse::OutcomeUnknown { reason },
            };
        }
        ErrorResponse::NotRun {
            retry_after: after,
            reason,
        }
    }

    /// Says in the log that a request that may run once only may have run.
    pub fn log_unknown_outcome(&self, refusal: &ErrorResponse) {
        if self.route().kind != RequestKind::Once || !self.may_have_run {
            return;
        }
        log_event!(
            events::OUTCOME_UNKNOWN,
            request = self.request.id(), service = self.request.service.as_str(),
            servers = self.request_log.servers.join(","), status = refusal.status().as_u16();
            "may have run: {}", self.cause
        );
    }

    /// Waits for room at a server.
    async fn place(&mut self) -> Result<Reservation, ErrorResponse> {
        let service = self.request.service.clone();
        if self.is_hopeless() {
            let after = self.time_left().mul_f64(outage::RETURN_PART);
            return Err(self.give_up_until(after, "the answer can't be finished in time"));
        }
        let must_wait =
            dispatch::has_queued_requests(&self.shared, &service) && self.tried.is_empty();
        let prompt = self.request.facts.usage.prompt;
        if !must_wait && let Some(place) = self.shared.reserve_server(&service, &self.tried, prompt)
        {
            return Ok(place);
        }
        if !self.shared.has_usable_server(&service) {
            return Err(self.give_up("no server takes requests"));
        }
        let wait = self.wait_for_room()?;
        if let Some(opens) = self.shared.next_opening(&service) {
            self.wait_until_open(opens)?;
        }
        let mut spot = dispatch::enqueue(&self.shared, &self.request, &self.tried);
        self.shared.capacity_changed.notify_one();
        match tokio::time::timeout(wait, &mut spot.reservation).await {
            Ok(Ok(place)) => Ok(place),
            Ok(Err(_)) | Err(_) => Err(self.full()),
        }
    }

    /// Goes on where one of the servers, all of which want nothing for a while, opens before the request
    /// would be given up.
    fn wait_until_open(&self, opens: Timestamp) -> Result<(), ErrorResponse> {
        let now = self.shared.clock.now();
        let give_up = self.wait_bound().give_up();
        match server_notices::answer(now, opens, give_up, self.shared.draw()) {
            PauseAnswer::Wait => Ok(()),
            PauseAnswer::Reject(after) => Err(self.paused(opens, after)),
        }
    }

    /// Rejects the request since all servers want nothing for a while, and says why in the log.
    fn paused(&self, opens: Timestamp, after: Duration) -> ErrorResponse {
        log_event!(
            events::REQUEST_REFUSED,
            request = self.request.id(), service = self.request.service.as_str(),
            opens_ms = opens.saturating_sub(self.shared.clock.now()).as_millis() as u64,
            left_ms = self.time_left().as_millis() as u64, retry_after_ms = after.as_millis() as u64;
            "all servers have asked for a pause"
        );
        self.give_up_until(after, "all servers have asked for a pause")
    }

    /// Rejects the request since no server has room for it, and says why in the log.
    fn full(&self) -> ErrorResponse {
        let service = self.request.service.as_str();
        let prompt = self.request.facts.usage.prompt;
        let (forecast, requests) = self.shared.forecast(service, prompt).unzip();
        let pass = |length: fn(&Forecast) -> Duration| {
            forecast
                .as_ref()
                .map_or(0, |it| length(it).as_millis() as u64)
        };
        log_event!(
            events::REQUEST_REFUSED,
            request = self.request.id(), service = service, requests = requests.unwrap_or_default(),
            waiting = dispatch::queue_length(&self.shared, service), prompt = prompt,
            next_pass_ms = pass(|it| it.next), worst_pass_ms = pass(|it| it.worst);
            "no server has room"
        );
        self.give_up("all servers are full")
    }

    /// Rejects the request since the group of its service does not work, and says why in the log.
    fn out(&self, outage: &Outlook, after: Duration) -> ErrorResponse {
        log_event!(
            events::REQUEST_REFUSED,
            request = self.request.id(), service = self.request.service.as_str(),
            out_ms = outage.age.as_millis() as u64, expected_ms = outage.left.as_millis() as u64,
            left_ms = self.time_left().as_millis() as u64, has_returned = self.request.is_caller_retry,
            retry_after_ms = after.as_millis() as u64;
            "the group does not work"
        );
        self.give_up_until(after, "the group does not work")
    }

    /// Whether the answer would surely not be finished by the deadline, by the caller's own estimate
    /// of its length.
    fn is_hopeless(&self) -> bool {
        let Some(tokens) = self.request.facts.length_hint else {
            return false;
        };
        let time = self
            .shared
            .estimated_response_time(&self.request.service, tokens);
        time.is_some_and(|time| time.mul_f64(HOPELESS_PART) > self.time_left())
    }

    /// Time for which the request may wait for room.
    fn wait_for_room(&self) -> Result<Duration, ErrorResponse> {
        if let Some(outage) = self.shared.outage(&self.request.service) {
            return match outage::answer(outage, self.time_left(), self.request.is_caller_retry) {
                OutageAnswer::Wait(wait) => Ok(wait),
                OutageAnswer::Reject(after) => Err(self.out(&outage, after)),
            };
        }
        let until = self.wait_bound().give_up();
        let now = self.shared.clock.now();
        match now >= until || !self.tried.is_empty() {
            true => Err(self.full()),
            false => Ok(until - now),
        }
    }

    fn wait_bound(&self) -> WaitBound {
        WaitBound {
            arrived: self.request.arrived,
            aim: self.route().aim,
            deadline: self.request.deadline,
        }
    }

    /// One attempt at one server.
    async fn attempt(
        &mut self,
        place: Reservation,
        last_event: Option<EventId>,
    ) -> Result<ForwardedResponse, AttemptFailure> {
        let limit = self.attempt_limit();
        let sent_before = self.request_log.servers.len();
        let sent = tokio::time::timeout(limit, self.send(&place, last_event));
        let (answer, facts) = match sent.await {
            Ok(Ok(answered)) => answered,
            Ok(Err(failure)) => {
                if let Some(sign) = failure.outcome() {
                    place.record_outcome(sign);
                }
                return Err(failure);
            }
            Err(_) if self.request_log.servers.len() == sent_before => {
                self.cause = format!("no connection within {} ms", limit.as_millis());
                place.record_outcome(Sign::Unreachable);
                return Err(AttemptFailure::NotSent);
            }
            Err(_) => {
                self.cause = format!("nothing within {} ms", limit.as_millis());
                place.record_outcome(Sign::Failed);
                return Err(AttemptFailure::Unknown);
            }
        };
        if self.route().kind.is_stream() && answer.status.is_success() {
            let open = ServerStream::new(answer, facts, place, last_event);
            self.cause = "no event".to_owned();
            return open
                .wait_for_first_event(limit)
                .await
                .map(|it| ForwardedResponse::Stream(Box::new(it)));
        }
        self.plain(answer, facts, place).await
    }

    fn attempt_limit(&self) -> Duration {
        let left = self.time_left();
        match self.route().kind {
            RequestKind::Idempotent if self.has_more_tries(1) => {
                left.mul_f64(ATTEMPT_PART).max(self.route().aim).min(left)
            }
            RequestKind::Idempotent | RequestKind::Once => left,
            RequestKind::Stream | RequestKind::ResumableStream => {
                left.min(self.route().patience().mul_f64(FIRST_EVENT_PART))
            }
        }
    }

    /// Whether the route allows another server once the request has been sent to one more.
    fn has_more_tries(&self, sending: u32) -> bool {
        (self.request_log.servers.len() as u32) + sending < self.route().attempts
    }

    /// Sends the request and reads the head of the answer.
    async fn send(
        &mut self,
        place: &Reservation,
        last_event: Option<EventId>,
    ) -> Result<(CallAnswer, AnswerFacts), AttemptFailure> {
        let addr = place.server.addr;
        let mut tries = 0;
        let answer = loop {
            let connection = match self.shared.pool.take(addr).await {
                Ok(connection) => connection,
                Err(error) => {
                    self.cause = error.to_string();
                    return Err(AttemptFailure::NotSent);
                }
            };
            // It may have said so while the connection was opened.
            if !self.shared.server_access(&place.server).is_allowed() {
                self.cause = "the server wants nothing now".to_owned();
                return Err(AttemptFailure::NotWanted);
            }
            let request = self.outgoing(place, last_event);
            // Counted before, since this may be given up while it waits for the answer.
            self.request_log.servers.push(place.server.id.clone());
            let error = match call::send(connection, request).await {
                Ok(answer) => break answer,
                Err(error) => error,
            };
            self.cause = error.to_string();
            if matches!(error, CallError::Lost(_)) {
                return Err(AttemptFailure::Unknown);
            }
            self.request_log.servers.pop();
            // The server closed an idle connection just then.
            tries += 1;
            if tries > MOST_CLOSED {
                return Err(AttemptFailure::NotSent);
            }
        };
        let facts = (self.shared.dialect.read_answer)(answer.status, &answer.headers);
        if !is_own(&facts, &answer, self.request.facts.id.as_deref()) {
            self.cause = format!(
                "status {} that is not its own answer",
                answer.status.as_u16()
            );
            return Err(AttemptFailure::Unknown);
        }
        if !facts.misdirected {
            self.shared.apply_notices(&place.server, &facts);
        }
        if facts.not_run {
            let is_full = facts.load.is_some_and(|it| it.waiting > 0);
            if !is_full && !facts.misdirected {
                let now = self.shared.clock.now();
                let mut loads = self.shared.loads.borrow_mut();
                loads.record_group_refusal(now, &self.request.service);
            }
            self.cause = refusal_text(&answer, &facts);
            let keep_alive = facts.keep_alive;
            finish_small(answer, &self.shared, keep_alive).await;
            return Err(AttemptFailure::NotRun);
        }
        Ok((answer, facts))
    }

    fn outgoing(
        &self,
        place: &Reservation,
        last_event: Option<EventId>,
    ) -> HttpRequest<Full<bytes::Bytes>> {
        let head = &self.request.head;
        let mut request = HttpRequest::new(Full::new(self.request.body.clone()));
        *request.method_mut() = head.method.clone();
        *request.uri_mut() = head.uri.clone();
        let mut headers = head.headers.clone();
        remove_hop_headers(&mut headers);
        let account = self.request.authorized.account.as_ref();
        let outgoing = Outgoing {
            server: &place.server.id,
            left: self.request.facts.deadline.map(|_| self.time_left()),
            account: account.map(|it| it.name.as_str()),
            last_event: last_event.or(self.request.facts.last_event),
            rank: None,
        };
        (self.shared.dialect.write_request)(&mut headers, &outgoing);
        *request.headers_mut() = headers;
        request
    }

    /// An answer that is not a stream of events.
    async fn plain(
        &mut self,
        mut answer: CallAnswer,
        facts: AnswerFacts,
        place: Reservation,
    ) -> Result<ForwardedResponse, AttemptFailure> {
        let limit = self.attempt_limit();
        let read = tokio::time::timeout(limit, answer.read(BUFFERED_BODY)).await;
        let Ok(Ok(body)) = read else {
            self.cause = "the answer broke off".to_owned();
            place.record_outcome(Sign::Failed);
            return Err(AttemptFailure::Unknown);
        };
        let is_error = answer.status.is_server_error();
        if is_error || body.is_ok() {
            place.record_outcome(if is_error { Sign::Failed } else { Sign::Good });
        }
        if is_error && self.route().kind == RequestKind::Idempotent && self.has_more_tries(0) {
            self.cause = format!("status {}", answer.status.as_u16());
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
                AnswerBody::whole(whole)
            }
            Err(begun) => {
                let long = LongBody {
                    status,
                    headers,
                    received: begun,
                    answer,
                    facts,
                    reservation: place,
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

/// Most servers that one request is tried at, also those that nothing reached.
const MOST_TRIES: usize = 4;

/// Most connections in a row that may turn out closed by the server.
const MOST_CLOSED: u32 = 3;

/// Whether an answer is the one to this request, and as the server made it. On a connection that has been
/// in use before, one that does not name the request may be a late copy of an earlier answer.
fn is_own(facts: &AnswerFacts, answer: &CallAnswer, id: Option<&str>) -> bool {
    let is_named = id.is_none() || facts.request_id.as_deref() == id;
    if answer.status.is_success() {
        let is_altered = answer.headers.contains_key(header::CONTENT_ENCODING);
        return is_named && facts.signed && !is_altered;
    }
    let is_first = facts.request_id.is_none() && !answer.on_reused();
    is_named || is_first
}

/// A server's refusal, for the log.
fn refusal_text(answer: &CallAnswer, facts: &AnswerFacts) -> String {
    let status = answer.status.as_u16();
    let fault = facts.at_fault.as_deref().unwrap_or("itself");
    let load = facts.load.map_or((0, 0), |it| (it.running, it.waiting));
    let pause = facts.pause.unwrap_or_default().as_millis();
    format!("refused with status {status}, at fault {fault}, load {load:?}, pause {pause} ms")
}

/// Time for which the server keeps the connection; nothing where it closes it.
pub fn keep_alive_time(facts: &AnswerFacts) -> Option<Duration> {
    match facts.closes {
        true => Some(Duration::ZERO),
        false => facts.keep_alive,
    }
}

/// Removes the headers that belong to one connection, with those that it names.
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

/// Reads a refusal's short body, so that the connection can go on.
async fn finish_small(mut answer: CallAnswer, shared: &SharedState, keep_alive: Option<Duration>) {
    const SHORT: Duration = Duration::from_millis(20);
    const LIMIT: usize = 4_096;
    if let Ok(Ok(Ok(_))) = tokio::time::timeout(SHORT, answer.read(LIMIT)).await {
        answer.finish(&shared.pool, keep_alive);
    }
}
