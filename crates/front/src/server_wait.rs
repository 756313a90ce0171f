//! The wait of a request for a server with capacity, and the rejections of those that none will
//! serve in time.

use std::time::Duration;

use jj_policy::{
    outage::{self, OutageAction, OutageForecast},
    pass_model::PassForecast,
    placement::WaitLimit,
    server_notices::{self, PauseAction},
};
use jj_utils::{clock::Timestamp, events, log_event};

use crate::{
    dispatch,
    error_response::ErrorResponse,
    forward::Forwarder,
    shared_state::{NextOpening, Reservation},
};

/// A request is rejected as infeasible if this fraction of its estimated response time exceeds the
/// time left. Below 1, since callers' estimates of the response length are often far off.
const INFEASIBLE_FRACTION: f64 = 0.7;

impl Forwarder {
    /// Reserves a server, after waiting in the queue if none has capacity.
    pub(crate) async fn wait_for_server(&mut self) -> Result<Reservation, ErrorResponse> {
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
        let opening = match self.shared.next_opening(service, waiting) {
            NextOpening::Now => return Ok(()),
            NextOpening::Later(opening) => opening,
        };
        let now = self.shared.clock.now();
        let give_up = self.wait_limit().reject_at();
        match server_notices::decide_while_paused(now, opening, give_up, self.shared.draw()) {
            PauseAction::Wait => Ok(()),
            PauseAction::Reject(retry_after) => Err(self.reject_limited(opening, retry_after)),
        }
    }

    /// Logs that all servers limit what they accept, and returns the rejection.
    fn reject_limited(&self, opening: Option<Timestamp>, retry_after: Duration) -> ErrorResponse {
        let opens = opening.map(|it| it.saturating_sub(self.shared.clock.now()));
        log_event!(
            events::REQUEST_REFUSED,
            request = self.request.id(), service = self.request.service.as_str(),
            opens_ms = opens.map_or(-1, |it| it.as_millis() as i64),
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
}
