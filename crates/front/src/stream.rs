//! Passes event streams on, and goes on at another server where one breaks off.

use std::{io, rc::Rc, time::Duration};

use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use http::{HeaderMap, Response, StatusCode, header};
use jj_direct::{
    body::AnswerBody,
    call::CallAnswer,
    dialect::{AnswerFacts, EventId},
    events::Framer,
};
use jj_policy::{catalog::RequestKind, server_health::Sign};
use jj_utils::{clock::Timestamp, events, ids::ServiceId, log_event};

use crate::{
    forward::{self, Answered, Failure, Forward},
    shared::{Place, Shared},
};

/// Longest pause between two events after which the connection is taken for dead: a group that
/// stands still ends its streams itself before that.
const LONGEST_PAUSE: Duration = Duration::from_millis(1_700);

/// Time after the last event up to which a stream is still resumed; callers leave soon after.
const RESUME_WITHIN: Duration = Duration::from_millis(1_900);

/// A stream at one server.
pub struct OpenStream {
    /// Status of the answer.
    pub status: StatusCode,
    answer: CallAnswer,
    facts: AnswerFacts,
    place: Place,
    framer: Framer,
    /// Events that are there and not passed on.
    ready: Bytes,
    ready_events: u32,
    last: Option<EventId>,
}

/// What comes next of a stream.
enum Next {
    /// Whole events, one after the other.
    Events(Bytes, u32),
    /// The server has sent everything.
    End,
    /// The stream broke off.
    Broken(&'static str),
}

impl OpenStream {
    /// A stream whose head has arrived.
    pub fn new(
        answer: CallAnswer,
        facts: AnswerFacts,
        place: Place,
        last: Option<EventId>,
    ) -> Self {
        Self {
            status: answer.status,
            answer,
            facts,
            place,
            framer: Framer::default(),
            ready: Bytes::new(),
            ready_events: 0,
            last,
        }
    }

    /// Waits for the first event.
    ///
    /// # Errors
    /// When the stream breaks before it, or has none in time.
    pub async fn start(mut self, limit: Duration) -> Result<Self, Failure> {
        match tokio::time::timeout(limit, self.next()).await {
            Ok(Next::Events(bytes, count)) => {
                self.ready = bytes;
                self.ready_events = count;
                Ok(self)
            }
            // A stream without events is whole as well.
            Ok(Next::End) => Ok(self),
            Ok(Next::Broken(_)) | Err(_) => {
                self.place.observe(Sign::Failed);
                Err(Failure::Unknown)
            }
        }
    }

    async fn next(&mut self) -> Next {
        if !self.ready.is_empty() {
            let count = std::mem::take(&mut self.ready_events);
            return Next::Events(std::mem::take(&mut self.ready), count);
        }
        loop {
            let bytes = match self.answer.next().await {
                Ok(Some(bytes)) => bytes,
                Ok(None) if self.framer.has_partial() => return Next::Broken("inside an event"),
                Ok(None) => return Next::End,
                Err(_) => return Next::Broken("the connection broke"),
            };
            self.framer.push(&bytes);
            let mut whole = BytesMut::new();
            let mut count = 0;
            while let Some(event) = self.framer.next_event() {
                if event
                    .id
                    .is_some_and(|id| self.last.is_some_and(|last| id <= last))
                {
                    return Next::Broken("an event came twice");
                }
                self.last = event.id.or(self.last);
                whole.extend_from_slice(&event.bytes);
                count += 1;
            }
            if count > 0 {
                return Next::Events(whole.freeze(), count);
            }
            if self.framer.is_overlong() {
                return Next::Broken("an event is too long");
            }
        }
    }
}

/// The answer with a stream that is open.
pub fn response(forward: Forward, mut open: OpenStream) -> Response<AnswerBody> {
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
    mut forward: Forward,
    mut open: OpenStream,
) -> impl futures_util::Stream<Item = io::Result<Bytes>> {
    async_stream::stream! {
        let shared = Rc::clone(&forward.shared);
        let _counted = Counted::new(&forward);
        let mut progress: Timestamp = shared.clock.now();
        loop {
            let left = forward.request.deadline.saturating_sub(shared.clock.now());
            let limit = LONGEST_PAUSE.min(left);
            let next = tokio::time::timeout(limit, open.next()).await;
            let reason = match next {
                Ok(Next::Events(bytes, count)) => {
                    let now = shared.clock.now();
                    let pause = now.saturating_sub(progress);
                    if forward.record.events > 0 {
                        shared.take_pause(&forward.request.service, pause);
                        if pause > forward.record.pause.0 {
                            forward.record.pause = (pause, now);
                        }
                    }
                    progress = now;
                    forward.record.events += count;
                    yield Ok(bytes);
                    continue;
                }
                Ok(Next::End) => {
                    forward.record.finish("answered");
                    open.place.observe(Sign::Good);
                    open.answer.finish(&shared.pool, forward::kept(&open.facts));
                    return;
                }
                Ok(Next::Broken(reason)) => reason,
                Err(_) => "no event for too long",
            };
            open.place.observe(Sign::Failed);
            let last = open.last;
            let server = open.place.server.id.clone();
            drop(open);
            match resume(&mut forward, last, progress).await {
                Some(resumed) => {
                    log_event!(
                        events::STREAM_RESUMED,
                        request = forward.request.id(), broken = server,
                        server = resumed.place.server.id.as_str(),
                        after = last.unwrap_or_default(),
                        pause_ms = shared.since(progress).as_millis() as u64;
                        "{reason}"
                    );
                    open = resumed;
                }
                None => {
                    forward.record.finish("the stream broke off");
                    yield Err(io::Error::other(reason));
                    return;
                }
            }
        }
    }
}

/// Counts a stream as open until it is dropped.
struct Counted {
    shared: Rc<Shared>,
    service: ServiceId,
}

impl Counted {
    fn new(forward: &Forward) -> Self {
        let service = forward.request.service.clone();
        let shared = Rc::clone(&forward.shared);
        shared.loads.borrow_mut().count_stream(&service, true);
        Self { shared, service }
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        let mut loads = self.shared.loads.borrow_mut();
        loads.count_stream(&self.service, false);
    }
}

/// Goes on at another server after the last event that was passed on.
async fn resume(
    forward: &mut Forward,
    last: Option<EventId>,
    progress: Timestamp,
) -> Option<OpenStream> {
    let shared = Rc::clone(&forward.shared);
    let until = progress + RESUME_WITHIN;
    let now = shared.clock.now();
    let sent = forward.record.servers.len() as u32;
    let route = &forward.request.admitted.route;
    let is_resumable = route.kind == RequestKind::ResumableStream;
    if !is_resumable || now >= until || sent >= route.attempts || !shared.pay_repeat() {
        return None;
    }
    match tokio::time::timeout(until - now, forward.answer(last)).await {
        Ok(Ok(Answered::Stream(open))) => Some(*open),
        _ => None,
    }
}

/// A long body whose beginning has arrived.
pub fn rest(begun: Bytes, mut answer: CallAnswer, place: Place) -> AnswerBody {
    let length = answer.bytes_left().map(|left| left + begun.len() as u64);
    let parts = async_stream::stream! {
        // Holds the place for as long as the server works on the answer.
        let _place = place;
        yield Ok(begun);
        loop {
            match answer.next().await {
                Ok(Some(bytes)) => yield Ok(bytes),
                Ok(None) => return,
                Err(error) => {
                    yield Err(error);
                    return;
                }
            }
        }
    };
    AnswerBody::parts(parts.boxed_local(), length)
}
