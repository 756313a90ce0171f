//! Log line and metrics of a request, written when it has ended.

use std::{rc::Rc, time::Duration};

use http::StatusCode;
use jj_policy::response_times::ResponseTicket;
use jj_utils::{clock::Timestamp, events, ids::BackendServerId, log_event};

use crate::{request::Request, shared_state::SharedState};

/// Collects the results of a request, and writes its log line and metrics on drop.
pub struct RequestLog {
    shared: Rc<SharedState>,
    request: Rc<Request>,
    /// Servers to which it was sent, in order.
    pub servers: Vec<BackendServerId>,
    /// Status of the response; `None` if there was none.
    pub status: Option<StatusCode>,
    /// When the first event of a stream, or the response that is passed on, was available.
    pub first_response_at: Option<Timestamp>,
    /// Number of stream events sent to the caller.
    pub events_sent: u32,
    /// Longest time between two events, and when it ended.
    pub longest_gap: (Duration, Timestamp),
    /// How it ended, as the text of the log line.
    pub ending: &'static str,
    /// Response that the request has asked for.
    response: ResponseTicket,
}

/// Ending of a request whose response was passed on in full.
pub const COMPLETE: &str = "answered";

/// Ending of a request whose caller has closed the connection.
const DISCONNECTED: &str = "the caller disconnected";

/// Ending of a request that was still in progress when the process ended.
const CUT_OFF: &str = "cut off: the entry stopped";

impl RequestLog {
    /// Returns the log of a request that has just been authorized.
    pub fn new(shared: &Rc<SharedState>, request: &Rc<Request>) -> Self {
        let route = &request.authorized.route.name;
        Self {
            response: shared.shutdown.begin_response(request.arrived, route),
            shared: Rc::clone(shared),
            request: Rc::clone(request),
            servers: Vec::new(),
            status: None,
            first_response_at: None,
            events_sent: 0,
            longest_gap: Default::default(),
            ending: DISCONNECTED,
        }
    }

    /// Sets how the request ended.
    pub fn set_ending(&mut self, ending: &'static str) {
        self.ending = ending;
    }

    /// Records the duration of a complete response.
    fn record_response_time(&self) {
        let is_success = self.status.is_some_and(|it| it.is_success());
        let is_complete = is_success && self.ending == COMPLETE;
        let now = self.shared.clock.now();
        let route = &self.request.authorized.route.name;
        let shutdown = &self.shared.shutdown;
        shutdown.end_response(now, route, self.response, is_complete);
    }

    /// Counts a request that was a caller's retry, by its result.
    fn count_caller_retry(&self) {
        if !self.request.is_caller_retry {
            return;
        }
        let end = match self.status {
            Some(status) if status.is_success() => "served",
            Some(StatusCode::SERVICE_UNAVAILABLE) => "rejected",
            Some(_) => "failed",
            None => "left",
        };
        metrics::counter!("jujube_returned_total", "end" => end).increment(1);
    }

    /// Counts a response later than the route's target for the first event or the gap between
    /// events.
    fn count_late(&self, first: Option<Duration>) {
        let route = &self.request.authorized.route;
        if first.is_some_and(|first| first > route.target_latency) {
            metrics::counter!("jujube_late_total", "what" => "first").increment(1);
        }
        if route.gap_target.is_some_and(|gap| self.longest_gap.0 > gap) {
            metrics::counter!("jujube_late_total", "what" => "pause").increment(1);
        }
    }
}

impl Drop for RequestLog {
    fn drop(&mut self) {
        let arrived = self.request.arrived;
        let first = self.first_response_at.map(|at| at.saturating_sub(arrived));
        let total = self.shared.elapsed_since(arrived);
        let kind = self.request.authorized.route.kind;
        if let Some(first) = first {
            metrics::histogram!("jujube_first_seconds").record(first.as_secs_f64());
        }
        metrics::histogram!("jujube_request_seconds").record(total.as_secs_f64());
        self.count_late(first);
        self.count_caller_retry();
        self.record_response_time();
        if self.ending == DISCONNECTED && self.shared.shutdown.is_over() {
            self.ending = CUT_OFF;
        }
        log_event!(
            events::REQUEST_ENDED,
            request = self.request.id(),
            route = self.request.authorized.route.name.as_str(),
            version = self.request.config_version,
            returned = self.request.is_caller_retry,
            kind = format!("{kind:?}"),
            servers = self.servers.join(","),
            status = self.status.map_or(0, |it| it.as_u16()),
            first_ms = first.map_or(-1, |it| it.as_millis() as i64),
            ms = total.as_millis() as u64,
            prompt = self.request.facts.token_usage.prompt_tokens,
            parts = self.request.shared_parts_text(),
            fingerprint = self.request.fingerprint_text(),
            answer = self.request.facts.token_usage.max_answer_tokens,
            sent_events = self.events_sent,
            pause_ms = self.longest_gap.0.as_millis() as u64,
            pause_end = self.longest_gap.1.as_millis() as u64;
            "{}", self.ending
        );
    }
}
