//! Passes event streams on, and goes on at another server where one breaks off.

use std::{io, rc::Rc};

use bytes::Bytes;
use futures_util::StreamExt;
use http::{HeaderMap, Response, header};
use jj_direct::{body::AnswerBody, dialect::EventId};
use jj_policy::{catalog::RequestKind, server_health::Sign};
use jj_utils::{clock::Timestamp, events, ids::ServiceId, log_event};

use crate::{
    forward::{self, ForwardedResponse, Forwarder},
    server_stream::{ServerStream, StreamItem},
    shared_state::SharedState,
};

/// Part of a caller's patience after which a stream without an event is taken for dead: a group that
/// stands still ends its streams itself before that.
const LONGEST_PAUSE_PART: f64 = 0.85;

/// Part of a caller's patience after the last event up to which a stream is still resumed.
const RESUME_PART: f64 = 0.95;

/// The answer with a stream that is open.
pub fn response(forward: Forwarder, mut open: ServerStream) -> Response<AnswerBody> {
    let mut headers: HeaderMap = std::mem::take(&mut open.answer.headers);
    forward::remove_hop_headers(&mut headers);
    let status = open.status;
    let parts = parts(forward, open).boxed_local();
    let mut response = Response::new(AnswerBody::parts(parts, None));
    *response.status_mut() = status;
    headers.remove(header::CONTENT_LENGTH);
    *response.headers_mut() = headers;
    response
}

fn parts(
    mut forward: Forwarder,
    mut open: ServerStream,
) -> impl futures_util::Stream<Item = io::Result<Bytes>> {
    async_stream::stream! {
        let shared = Rc::clone(&forward.shared);
        let _counted = Counted::new(&forward);
        let mut progress: Timestamp = shared.clock.now();
        let longest = forward.request.authorized.route.patience().mul_f64(LONGEST_PAUSE_PART);
        // Since when the next event is waited for: not while the caller takes in the last one.
        let mut asked = progress;
        loop {
            let limit = longest.saturating_sub(shared.elapsed_since(asked)).min(forward.time_left());
            let next = tokio::time::timeout(limit, open.next()).await;
            if forward.time_left().is_zero() {
                open.reservation.record_outcome(Sign::Failed);
                forward.request_log.set_ending("the time for an answer is over");
                yield Err(io::ErrorKind::TimedOut.into());
                return;
            }
            let reason = match next {
                // What only keeps the connection alive.
                Ok(StreamItem::Events(bytes, 0)) if !limit.is_zero() => {
                    yield Ok(bytes);
                    continue;
                }
                Ok(StreamItem::Events(_, 0)) | Err(_) => "no event for too long",
                Ok(StreamItem::Events(bytes, count)) => {
                    let now = shared.clock.now();
                    let pause = now.saturating_sub(progress);
                    if forward.request_log.events_sent > 0 {
                        shared.record_event_gap(&forward.request.service, pause);
                        if pause > forward.request_log.longest_gap.0 {
                            forward.request_log.longest_gap = (pause, now);
                        }
                    }
                    progress = now;
                    forward.request_log.events_sent += count;
                    yield Ok(bytes);
                    asked = shared.clock.now();
                    continue;
                }
                Ok(StreamItem::End) => {
                    forward.request_log.set_ending("answered");
                    open.reservation.record_outcome(Sign::Good);
                    open.answer.finish(&shared.pool, forward::keep_alive_time(&open.facts));
                    return;
                }
                Ok(StreamItem::Broken(reason)) => reason,
            };
            open.reservation.record_outcome(Sign::Failed);
            let last = open.last_event_id;
            let server = open.reservation.server.id.clone();
            drop(open);
            match resume(&mut forward, last, progress).await {
                Some(resumed) => {
                    log_event!(
                        events::STREAM_RESUMED,
                        request = forward.request.id(), broken = server,
                        server = resumed.reservation.server.id.as_str(),
                        after = last.unwrap_or_default(),
                        pause_ms = shared.elapsed_since(progress).as_millis() as u64;
                        "{reason}"
                    );
                    open = resumed;
                    asked = shared.clock.now();
                }
                None => {
                    forward.request_log.set_ending("the stream broke off");
                    yield Err(io::Error::other(reason));
                    return;
                }
            }
        }
    }
}

/// Counts a stream as open until it is dropped.
struct Counted {
    shared: Rc<SharedState>,
    service: ServiceId,
}

impl Counted {
    fn new(forward: &Forwarder) -> Self {
        let service = forward.request.service.clone();
        let shared = Rc::clone(&forward.shared);
        shared.loads.borrow_mut().count_open_stream(&service, true);
        Self { shared, service }
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        let mut loads = self.shared.loads.borrow_mut();
        loads.count_open_stream(&self.service, false);
    }
}

/// Goes on at another server after the last event that was passed on.
async fn resume(
    forward: &mut Forwarder,
    last: Option<EventId>,
    progress: Timestamp,
) -> Option<ServerStream> {
    let shared = Rc::clone(&forward.shared);
    let now = shared.clock.now();
    let sent = forward.request_log.servers.len() as u32;
    let route = &forward.request.authorized.route;
    let until = progress + route.patience().mul_f64(RESUME_PART);
    let is_resumable = route.kind == RequestKind::ResumableStream;
    if !is_resumable || now >= until || sent >= route.attempts || !shared.spend_retry() {
        return None;
    }
    match tokio::time::timeout(until - now, forward.obtain_response(last)).await {
        Ok(Ok(ForwardedResponse::Stream(open))) => Some(*open),
        _ => None,
    }
}
