//! Keeps requests that may crash servers away from them, and finds out which these are.

use std::{rc::Rc, time::Duration};

use jj_direct::instance_settings::InstanceSettings;
use jj_news::{SuspectExchange, server_tag};
use jj_policy::{
    crash_reports::RequestPart, crash_suspects::PromptAdmission, suspect::SuspectReason,
    suspect_exchange::NewsEffect,
};
use jj_utils::{events, log_event};

use crate::{
    crash_detector::LostRequest,
    request::{self, Request},
    shared_state::SharedState,
};

/// Time since its start for which a process waits for what other entries know of suspects.
const MAX_NEWS_WAIT: Duration = Duration::from_millis(1_000);

/// The same once it has heard of an entry that has just started as well.
const STARTING_PEER_WAIT: Duration = Duration::from_millis(300);

/// Number of suspects up to which a log line gives the reasons.
const MAX_LOGGED_REASONS: usize = 8;

/// Returns the time since its start for which a process waits at most for what other entries know.
pub fn max_wait_for_news(settings: &InstanceSettings) -> Duration {
    let is_alone = settings.seeds.iter().all(|it| it.ip() == settings.ip);
    match is_alone {
        true => Duration::ZERO,
        false => MAX_NEWS_WAIT,
    }
}

/// A request that is the only one to try its suspects; the trial ends on drop.
pub struct Trial {
    shared: Rc<SharedState>,
    request: Rc<Request>,
}

impl Drop for Trial {
    fn drop(&mut self) {
        let mut suspects = self.shared.suspects.borrow_mut();
        suspects.end_trial(&self.request.parts);
        drop(suspects);
        self.shared.suspects_changed.notify_waiters();
    }
}

/// Decision on a request for which a server is reserved.
pub enum SendDecision {
    /// Send it, as a trial if there is one.
    Send(Option<Trial>),
    /// Wait for admission again.
    Recheck,
}

/// Decides whether a request may be sent now, and begins a trial if it is one.
pub fn decide_to_send(shared: &Rc<SharedState>, request: &Rc<Request>) -> SendDecision {
    match admission(shared, request) {
        PromptAdmission::Allowed => SendDecision::Send(None),
        PromptAdmission::Wait { .. } | PromptAdmission::Held { .. } => SendDecision::Recheck,
        PromptAdmission::Trial => {
            let now = shared.clock.now();
            let mut suspects = shared.suspects.borrow_mut();
            suspects.begin_trial(now, &request.parts);
            drop(suspects);
            tell_others(shared);
            SendDecision::Send(Some(Trial {
                shared: Rc::clone(shared),
                request: Rc::clone(request),
            }))
        }
    }
}

/// Returns whether a request may be sent to a server as far as its content is concerned. In a process
/// that has just started it has to wait for what other entries know.
fn admission(shared: &SharedState, request: &Request) -> PromptAdmission {
    let now = shared.clock.now();
    let until = shared.knows_suspects_at.get();
    if now < until {
        return PromptAdmission::Wait { until };
    }
    let suspects = shared.suspects.borrow();
    suspects.admission(now, &request.parts)
}

/// Waits until a request may be sent to a server as far as its content is concerned.
///
/// # Errors
/// When it holds a suspect: the time until that may be tried again.
pub async fn wait_for_admission(shared: &SharedState, request: &Request) -> Result<(), Duration> {
    loop {
        let changed = shared.suspects_changed.notified();
        let now = shared.clock.now();
        let until = match admission(shared, request) {
            PromptAdmission::Allowed | PromptAdmission::Trial => return Ok(()),
            PromptAdmission::Held { remaining } => return Err(remaining),
            PromptAdmission::Wait { until } if now >= request.deadline => return Err(until - now),
            PromptAdmission::Wait { until } => until.min(request.deadline),
        };
        // Both ends of the wait lead to another decision.
        let _ = tokio::time::timeout(until - now, changed).await;
    }
}

/// Waits until a suspect is found in a request, and returns the time until that may
/// be tried again.
pub async fn wait_until_held(shared: Rc<SharedState>, request: Rc<Request>) -> Duration {
    loop {
        let changed = shared.suspects_changed.notified();
        match wait_for_admission(&shared, &request).await {
            Ok(()) => changed.await,
            Err(remaining) => return remaining,
        }
    }
}

/// Waits until a request that has been sent has to be withdrawn from its server.
pub async fn wait_until_withdrawn(shared: Rc<SharedState>, request: Rc<Request>) {
    loop {
        let changed = shared.suspects_changed.notified();
        let is_held = wait_for_admission(&shared, &request).await.is_err();
        if is_held && shared.suspects.borrow().must_withdraw(&request.parts) {
            return;
        }
        changed.await;
    }
}

/// Records that the response to a request has begun, a successful one or an error, which shows only
/// that the request as a whole crashes no server.
pub fn record_response(shared: &SharedState, request: &Request, is_success: bool) {
    let now = shared.clock.now();
    let mut suspects = shared.suspects.borrow_mut();
    let parts = request.parts.iter().copied();
    let served: Vec<RequestPart> = parts
        .filter(|it| is_success || it.is_whole_request())
        .collect();
    let has_changed = suspects.record_served(now, &served);
    drop(suspects);
    if has_changed {
        announce_change(shared, "a served request");
    }
}

/// Records that a request was lost as its server crashed.
pub fn record_crash(shared: &SharedState, lost: &LostRequest) {
    let LostRequest {
        request, server, ..
    } = lost;
    metrics::counter!("jujube_server_crashes_total").increment(1);
    log_event!(
        events::SERVER_CRASHED,
        request = request.id(), server = server.id.as_str(),
        service = server.service.as_str(), parts = request.shared_parts_text(),
        fingerprint = request.fingerprint_text(), evidence = format!("{:?}", lost.evidence),
        sent_ms = lost.lost_at.saturating_sub(lost.sent_at).as_millis() as u64,
        age_ms = shared.elapsed_since(lost.lost_at).as_millis() as u64;
        "a request was lost as its server crashed"
    );
    let tag = server_tag(&server.id);
    let mut suspects = shared.suspects.borrow_mut();
    let has_changed = suspects.record_loss(lost.lost_at, tag, &request.parts, lost.evidence);
    drop(suspects);
    match has_changed {
        true => announce_change(shared, "a crash"),
        false => tell_others(shared),
    }
}

/// Keeps a request that was lost at a server that seems to live, since the store may tell later that
/// the server has started anew.
pub fn keep_unexplained(shared: &SharedState, lost: LostRequest) {
    shared.crash_detector.keep_unexplained(shared, lost);
}

/// Records the crashes that the store has told of since requests were lost in them.
pub fn record_explained(shared: &SharedState) {
    for lost in shared.crash_detector.take_explained(shared) {
        record_crash(shared, &lost);
    }
}

/// Returns what other entries need to know of crashes and suspects, in one message at least.
pub fn news(shared: &SharedState) -> Vec<SuspectExchange> {
    let now = shared.clock.now();
    let is_starting = now < shared.knows_suspects_at.get();
    let suspects = shared.suspects.borrow();
    let crashes = SuspectExchange {
        news: suspects.news(now).unwrap_or_default(),
        is_starting,
        lost: Vec::new(),
    };
    let losses = suspects.lost_news(now);
    let losses = losses.map(|(news, lost)| SuspectExchange {
        news,
        is_starting,
        lost,
    });
    [crashes].into_iter().chain(losses).collect()
}

/// Applies another entry's news of crashes and suspects; `by` names the entry in the log.
pub fn apply_news(shared: &SharedState, received: &SuspectExchange, by: &str) {
    let now = shared.clock.now();
    let known_at = match received.is_starting {
        true => STARTING_PEER_WAIT,
        false => now,
    };
    let mut suspects = shared.suspects.borrow_mut();
    let effect = suspects.apply_exchange(now, &received.news, &received.lost);
    drop(suspects);
    if known_at < shared.knows_suspects_at.get() {
        shared.knows_suspects_at.set(known_at);
        shared.suspects_changed.notify_waiters();
    }
    let NewsEffect {
        is_new,
        needs_reply,
        has_new_losses,
    } = effect;
    if is_new {
        announce_change(shared, by);
    } else if needs_reply || has_new_losses {
        tell_others(shared);
    }
}

/// Logs the suspects, and lets waiting requests and other entries know of a change.
fn announce_change(shared: &SharedState, by: &str) {
    let reasons = shared.suspects.borrow().reasons();
    metrics::gauge!("jujube_prompt_suspects").set(reasons.len() as f64);
    log_event!(
        events::SUSPECTS_CHANGED,
        parts = request::parts_text(reasons.iter().map(|it| it.part)), suspects = reasons.len(),
        evidence = reasons_text(&reasons), by = by;
        "requests and prompt parts that are suspected to crash servers changed"
    );
    shared.suspects_changed.notify_waiters();
    tell_others(shared);
}

/// Returns the reasons of the first [`MAX_LOGGED_REASONS`] suspects for logs.
fn reasons_text(reasons: &[SuspectReason]) -> String {
    let reasons = reasons.iter().take(MAX_LOGGED_REASONS);
    let texts: Vec<String> = reasons.map(SuspectReason::to_string).collect();
    texts.join("; ")
}

/// Has the news of crashes and suspects sent to other entries at once.
pub fn tell_others(shared: &SharedState) {
    shared.has_unsent_suspects.set(true);
    shared.news_to_send.notify_one();
}
