//! Relays event streams to callers, and resumes a broken stream at another server.

use std::{io, rc::Rc};

use bytes::Bytes;
use futures_util::StreamExt;
use http::{HeaderMap, HeaderValue, Response, StatusCode, header};
use jj_direct::{body::ResponseBody, event_sequence::Delivered};
use jj_policy::{catalog::RequestKind, server_health::AttemptOutcome};
use jj_utils::{clock::Timestamp, events, log_event};

use crate::{
    attempt,
    forward::{ForwardedResponse, Forwarder},
    load_tracker::OpenStreamCount,
    request_log,
    server_stream::{ServerStream, StreamBreak, StreamItem},
};

/// Longest time without an event, as a fraction of the route's stream patience, after which a
/// stream is given up as dead. An engine group that makes no progress ends its streams itself
/// before that.
const MAX_EVENT_GAP_FRACTION: f64 = 0.85;

/// Time since the last event, as a fraction of the route's stream patience, up to which a stream is
/// resumed.
const RESUME_FRACTION: f64 = 0.95;

/// Returns the response to the caller whose body relays a server's stream.
pub fn response(forward: Forwarder, mut stream: ServerStream) -> Response<ResponseBody> {
    let mut headers: HeaderMap = std::mem::take(&mut stream.answer.headers);
    attempt::remove_hop_headers(&mut headers);
    let status = stream.status;
    let form = StreamForm {
        status,
        content_type: headers.get(header::CONTENT_TYPE).cloned(),
    };
    let body = relay_events(forward, stream, form).boxed_local();
    let mut response = Response::new(ResponseBody::stream(body, None));
    *response.status_mut() = status;
    headers.remove(header::CONTENT_LENGTH);
    *response.headers_mut() = headers;
    response
}

/// Yields the bytes of whole events, also those of later servers after the stream has been resumed.
/// An error breaks the caller's connection.
fn relay_events(
    mut forward: Forwarder,
    mut stream: ServerStream,
    form: StreamForm,
) -> impl futures_util::Stream<Item = io::Result<Bytes>> {
    async_stream::stream! {
        let shared = Rc::clone(&forward.shared);
        let mut _open_count = count_open(&forward, &stream);
        let mut delivered = Delivered::up_to(forward.request.facts.last_event_id);
        let mut last_progress: Timestamp = shared.clock.now();
        let max_gap = forward.request.authorized.route.stream_patience().mul_f64(MAX_EVENT_GAP_FRACTION);
        // Start of the wait for the next event, without the time in which the caller reads the
        // last.
        let mut wait_start = last_progress;
        loop {
            let limit = max_gap
                .saturating_sub(shared.elapsed_since(wait_start))
                .min(forward.time_left());
            let next = tokio::time::timeout(limit, stream.next()).await;
            let is_first_event = forward.request_log.events_sent == 0
                && matches!(&next, Ok(StreamItem::Events(events)) if events.progress > 0);
            if forward.time_left().is_zero() && !is_first_event {
                stream.reservation.record_outcome(AttemptOutcome::Failed);
                forward.request_log.set_ending("deadline exceeded during the stream");
                yield Err(io::ErrorKind::TimedOut.into());
                return;
            }
            let reason = match next {
                // Keep-alive comments and other events without progress.
                Ok(StreamItem::Events(events)) if events.progress == 0 && !limit.is_zero() => {
                    yield Ok(events.into_bytes());
                    continue;
                }
                Ok(StreamItem::Events(events)) if events.progress > 0 => {
                    let now = shared.clock.now();
                    let gap = now.saturating_sub(last_progress);
                    if forward.request_log.events_sent > 0 {
                        let server = &stream.reservation.server.id;
                        shared.record_event_gap(&forward.request.service, server, gap);
                        if gap > forward.request_log.longest_gap.0 {
                            forward.request_log.longest_gap = (gap, now);
                        }
                    }
                    last_progress = now;
                    forward.request_log.events_sent += events.progress;
                    delivered = events.delivered;
                    yield Ok(events.into_bytes());
                    wait_start = shared.clock.now();
                    continue;
                }
                Ok(StreamItem::Events(_)) | Err(_) => StreamBreak::Silent,
                Ok(StreamItem::End) => {
                    forward.request_log.set_ending(request_log::COMPLETE);
                    stream.reservation.record_outcome(AttemptOutcome::Succeeded);
                    stream.answer.finish(&shared.pool, attempt::keep_alive_time(&stream.facts));
                    return;
                }
                Ok(StreamItem::Broken(reason)) => reason,
            };
            stream.reservation.record_outcome(AttemptOutcome::Failed);
            let server = stream.reservation.server.id.clone();
            drop(stream);
            match resume(&mut forward, &form, delivered, last_progress).await {
                Some(resumed) => {
                    log_event!(
                        events::STREAM_RESUMED,
                        request = forward.request.id(), broken = server,
                        server = resumed.reservation.server.id.as_str(),
                        after = delivered.last_id.unwrap_or_default(),
                        pause_ms = shared.elapsed_since(last_progress).as_millis() as u64;
                        "stream resumed at another server: {reason}"
                    );
                    stream = resumed;
                    _open_count = count_open(&forward, &stream);
                    wait_start = shared.clock.now();
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

/// Counts a stream as open at the group of its server.
fn count_open(forward: &Forwarder, stream: &ServerStream) -> Option<OpenStreamCount> {
    let mut loads = forward.shared.loads.borrow_mut();
    let server = &stream.reservation.server.id;
    loads.count_open_stream(&forward.request.service, server)
}

/// What the responses of all servers of one stream have in common.
struct StreamForm {
    status: StatusCode,
    content_type: Option<HeaderValue>,
}

impl StreamForm {
    /// Returns whether a response can go on with the stream.
    fn fits(&self, stream: &ServerStream) -> bool {
        let content_type = stream.answer.headers.get(header::CONTENT_TYPE);
        stream.status == self.status && content_type == self.content_type.as_ref()
    }
}

/// Resumes a stream at another server after what was delivered to the caller; `None` if the route,
/// the time or the retry budget doesn't allow it, what was delivered has no id, the attempt fails or its
/// response is of another form.
async fn resume(
    forward: &mut Forwarder,
    form: &StreamForm,
    delivered: Delivered,
    last_progress: Timestamp,
) -> Option<ServerStream> {
    let shared = Rc::clone(&forward.shared);
    let now = shared.clock.now();
    let sent = forward.request_log.servers.len() as u32;
    let route = &forward.request.authorized.route;
    let until = last_progress + route.stream_patience().mul_f64(RESUME_FRACTION);
    let is_resumable = route.kind == RequestKind::ResumableStream;
    let can_go_on = is_resumable && delivered.is_resumable();
    if !can_go_on || now >= until || sent >= route.max_attempts || !shared.spend_retry() {
        return None;
    }
    let attempt = forward.obtain_response(delivered.last_id);
    match tokio::time::timeout(until - now, attempt).await {
        Ok(Ok(ForwardedResponse::Stream(stream))) if form.fits(&stream) => Some(*stream),
        _ => None,
    }
}
