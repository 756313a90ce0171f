//! Shutdown of an entry: requests that would outlast the process are rejected, and those that are
//! still without a response shortly before its end get a final one.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use jj_policy::{
    response_times::{ResponseTicket, ResponseTimes},
    shutdown::{Shutdown, ShutdownRequest},
};
use jj_utils::{clock::Timestamp, collections::FastMap, events, log_event};
use tokio_util::sync::CancellationToken;

use crate::{request::Request, shared_state::SharedState};

/// State of the shutdown of an entry, and the durations by which it judges requests.
#[derive(Default)]
pub struct EntryShutdown {
    plan: Cell<Option<Shutdown>>,
    /// Cancelled when the shutdown begins.
    begun: CancellationToken,
    /// Cancelled when each request without a response has to be given a final one.
    final_responses: CancellationToken,
    /// Whether the process ends now, so that what is still in progress is cut off.
    is_over: Cell<bool>,
    /// Durations of the responses of each route.
    response_times: RefCell<FastMap<String, ResponseTimes>>,
}

impl EntryShutdown {
    /// Begins the shutdown of a process that ends after `grace`.
    pub fn begin(&self, now: Timestamp, grace: Duration) -> Shutdown {
        let plan = Shutdown::new(now, grace);
        self.plan.set(Some(plan));
        self.begun.cancel();
        plan
    }

    /// Has each request without a response given a final one.
    pub fn demand_final_responses(&self) {
        self.final_responses.cancel();
    }

    /// Waits until each request without a response has to be given a final one.
    pub async fn wait_for_final_responses(&self) {
        self.final_responses.cancelled().await;
    }

    /// Records that the process ends now.
    pub fn finish(&self) {
        self.is_over.set(true);
    }

    /// Returns whether the process ends now.
    pub fn is_over(&self) -> bool {
        self.is_over.get()
    }

    /// Records that a response of a route has been asked for.
    pub fn begin_response(&self, now: Timestamp, route: &str) -> ResponseTicket {
        let mut times = self.response_times.borrow_mut();
        times.entry(route.to_owned()).or_default().begin(now)
    }

    /// Records the end of a response.
    pub fn end_response(
        &self,
        now: Timestamp,
        route: &str,
        ticket: ResponseTicket,
        is_complete: bool,
    ) {
        if let Some(times) = self.response_times.borrow_mut().get_mut(route) {
            times.end(now, ticket, is_complete);
        }
    }

    /// Returns the last time at which a request may be sent during this shutdown; `None` before.
    fn latest_send(&self, now: Timestamp, request: &Request) -> Option<Timestamp> {
        let plan = self.plan.get()?;
        Some(plan.latest_send(&self.facts(now, request)))
    }

    /// Returns what decides on a request.
    fn facts(&self, now: Timestamp, request: &Request) -> ShutdownRequest {
        let route = &request.authorized.route;
        let limit = request.deadline.saturating_sub(request.arrived);
        let times = self.response_times.borrow();
        let times = times.get(&route.name);
        let unknown = ResponseTimes::default();
        ShutdownRequest {
            deadline: request.deadline,
            is_repeatable: route.kind.is_repeatable(),
            forecast: times.unwrap_or(&unknown).forecast(now, limit),
        }
    }

    /// Returns the time until the last responses.
    fn time_left(&self, now: Timestamp) -> Duration {
        let last = self.plan.get().map(|it| it.final_responses_at());
        last.unwrap_or_default().saturating_sub(now)
    }
}

/// Waits until a request that has not been sent to a server has to be rejected, since this process
/// shuts down and the response could not be expected to end before it does.
pub async fn wait_until_too_late(shared: Rc<SharedState>, request: Rc<Request>) {
    shared.shutdown.begun.cancelled().await;
    loop {
        let now = shared.clock.now();
        let latest = shared.shutdown.latest_send(now, &request);
        let left = latest.unwrap_or_default().checked_sub(now);
        let Some(left) = left.filter(|it| !it.is_zero()) else {
            return;
        };
        // The forecast changes with each response that ends.
        tokio::time::sleep(left.min(RECHECK_INTERVAL)).await;
    }
}

/// Longest time between two checks of a request that waits for a server.
const RECHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Logs that a request is rejected by a process that shuts down.
pub fn log_rejection(shared: &SharedState, request: &Request) {
    let now = shared.clock.now();
    let facts = shared.shutdown.facts(now, request);
    log_event!(
        events::REQUEST_REFUSED,
        request = request.id(), service = request.service.as_str(),
        left_ms = request.deadline.saturating_sub(now).as_millis() as u64,
        usual_ms = facts.forecast.usual.as_millis() as u64,
        cautious_ms = facts.forecast.cautious.as_millis() as u64,
        ends_ms = shared.shutdown.time_left(now).as_millis() as u64;
        "rejected: the entry shuts down before the response would end"
    );
}
