//! Forwards one request to backend servers, with queueing and retries, until a server responds or
//! the request fails.

use std::{rc::Rc, time::Duration};

use http::Response;
use jj_direct::{body::ResponseBody, header_codec::EventId};
use jj_policy::{
    catalog::{RequestKind, Route},
    server_list::ServerRecord,
};
use jj_utils::{clock::Timestamp, events, ids::BackendServerId, log_event};

use crate::{
    attempt_failure::{AttemptFailure, AttemptStage},
    entry_shutdown,
    error_response::ErrorResponse,
    long_body::LongBody,
    prompt_guard::{self, SendDecision, Trial},
    request::{self, Request},
    request_log::RequestLog,
    server_stream::ServerStream,
    shared_state::{Reservation, SharedState},
};

/// Time left until the deadline at or below which no further attempt is started.
const MIN_TIME_FOR_ATTEMPT: Duration = Duration::from_millis(10);

/// Number of failed attempts up to which a request is sent to another server, including attempts
/// that did not reach their server.
const MAX_TRIES: usize = 4;

/// Retry-after time of a rejection whose cause gives no better estimate.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Reason of a rejection by a process that shuts down.
const SHUTDOWN_REASON: &str = "the entry shuts down";

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
    pub(crate) tried_servers: Vec<BackendServerId>,
    /// Whether a failed attempt may have executed the request.
    may_have_run: bool,
    /// Why the last attempt failed, for the log.
    pub(crate) failure_cause: String,
    /// How far the last attempt got.
    pub(crate) stage: AttemptStage,
    /// When the last attempt was sent.
    pub(crate) sent_at: Option<Timestamp>,
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
            sent_at: None,
        }
    }

    /// Sends the request to one server after another until one responds; a stream continues after
    /// the event with the id `last_event`.
    ///
    /// # Errors
    /// When no server has responded and no further attempt is allowed, or this process is about to
    /// end.
    pub async fn obtain_response(
        &mut self,
        last_event: Option<EventId>,
    ) -> Result<ForwardedResponse, ErrorResponse> {
        let shared = Rc::clone(&self.shared);
        tokio::select! {
            response = self.try_servers(last_event) => return response,
            () = shared.shutdown.wait_for_final_responses() => {}
        }
        self.may_have_run |= self.stage != AttemptStage::Connecting;
        Err(self.give_up_with(Duration::ZERO, SHUTDOWN_REASON))
    }

    /// Sends the request to one server after another until one responds.
    async fn try_servers(
        &mut self,
        last_event: Option<EventId>,
    ) -> Result<ForwardedResponse, ErrorResponse> {
        loop {
            self.stage = AttemptStage::Connecting;
            let is_resumed = last_event.is_some();
            let (reservation, trial) = self.wait_for_permission_in_time(is_resumed).await?;
            let server = Rc::clone(&reservation.server);
            let attempt = self.attempt_unless_held(reservation, last_event, trial.is_some());
            let failure = match attempt.await {
                Ok(response) => {
                    self.record_output(&response);
                    return Ok(response);
                }
                Err(failure) => failure,
            };
            self.record_failure(failure, &server);
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
                fingerprint = self.request.fingerprint_text(),
                sent_ms = self.sent_at.map_or(-1, |it| self.shared.elapsed_since(it).as_millis() as i64),
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

    /// Records what a failed attempt shows of the request as the possible cause of a crash.
    fn record_failure(&self, failure: AttemptFailure, server: &Rc<ServerRecord>) {
        let (shared, lost) = (&self.shared, self.lost_request(server));
        match (failure, lost) {
            (AttemptFailure::Crashed, Some(lost)) => prompt_guard::record_crash(shared, &lost),
            (AttemptFailure::Lost, Some(lost)) => prompt_guard::keep_unexplained(shared, lost),
            (AttemptFailure::ServerError, _) => {
                prompt_guard::record_response(shared, &self.request, false)
            }
            _ => {}
        }
    }

    /// Records that a server has begun to respond to the request. An error response shows nothing
    /// of the parts of the prompt, which may not have been read.
    fn record_output(&self, response: &ForwardedResponse) {
        let (has_output, is_success) = match response {
            ForwardedResponse::Complete(response) => (true, response.status().is_success()),
            ForwardedResponse::Partial(body) => (true, body.status.is_success()),
            ForwardedResponse::Stream(stream) => (stream.has_output(), true),
        };
        if has_output {
            prompt_guard::record_response(&self.shared, &self.request, is_success);
        }
    }

    /// Reserves a server, unless this process shuts down and the response could not be expected to
    /// end before it does. A stream that the caller is reading goes on in any case.
    async fn wait_for_permission_in_time(
        &mut self,
        is_resumed: bool,
    ) -> Result<(Reservation, Option<Trial>), ErrorResponse> {
        let (shared, request) = (Rc::clone(&self.shared), Rc::clone(&self.request));
        let too_late = entry_shutdown::wait_until_too_late(shared, request);
        tokio::select! {
            biased;
            () = too_late, if !is_resumed => {}
            permission = self.wait_for_permission() => return permission,
        }
        entry_shutdown::log_rejection(&self.shared, &self.request);
        Err(self.give_up_with(Duration::ZERO, SHUTDOWN_REASON))
    }

    /// Reserves a server for a request that may be sent to it; with the trial if it is one.
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

    /// Makes an attempt, and withdraws it if the request is found to hold a suspect before the
    /// server has responded; a trial and a request that must not be repeated are not withdrawn.
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
            () = prompt_guard::wait_until_withdrawn(shared, request), if may_withdraw => {}
        }
        self.failure_cause = "the request may crash servers".to_owned();
        Err(match self.stage {
            AttemptStage::Connecting => AttemptFailure::NotWanted,
            AttemptStage::Sent | AttemptStage::HeadReceived => AttemptFailure::Withdrawn,
        })
    }

    /// Logs that the request may crash servers, and returns the rejection.
    fn reject_suspect(&self, remaining: Duration) -> ErrorResponse {
        let suspects = self.shared.suspects.borrow();
        let suspects = suspects.suspects_among(&self.request.parts);
        log_event!(
            events::REQUEST_REFUSED,
            request = self.request.id(), service = self.request.service.as_str(),
            suspects = request::parts_text(suspects), parts = self.request.shared_parts_text(),
            fingerprint = self.request.fingerprint_text(),
            left_ms = self.time_left().as_millis() as u64,
            retry_after_ms = remaining.as_millis() as u64;
            "rejected: the request or a part of its prompt is suspected to crash servers"
        );
        self.give_up_with(
            remaining,
            "the request or a part of its prompt crashes servers",
        )
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
    pub(crate) fn route(&self) -> &Route {
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
    pub(crate) fn give_up_with(
        &self,
        retry_after: Duration,
        reason: &'static str,
    ) -> ErrorResponse {
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
}
