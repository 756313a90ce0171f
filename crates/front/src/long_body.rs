//! Relays a response whose body is too long to be buffered in full.

use std::io;

use bytes::Bytes;
use futures_util::StreamExt;
use http::{HeaderMap, Response, StatusCode};
use jj_direct::{body::ResponseBody, call::CallResponse, header_codec::ResponseHeaders};
use jj_policy::server_health::AttemptOutcome;

use crate::{attempt, forward::Forwarder, request_log, shared_state::Reservation};

/// A response of which the head and the beginning of the body have been received.
pub struct LongBody {
    /// Status of the response.
    pub status: StatusCode,
    /// Response headers without the hop-by-hop ones.
    pub headers: HeaderMap,
    /// Beginning of the body, in parts.
    pub(crate) received: Vec<Bytes>,
    pub(crate) answer: CallResponse,
    pub(crate) facts: ResponseHeaders,
    pub(crate) reservation: Reservation,
}

/// Returns the response to the caller, whose body is relayed up to its end or the request's
/// deadline.
pub fn response(forward: Forwarder, body: LongBody) -> Response<ResponseBody> {
    let (status, headers) = (body.status, body.headers.clone());
    let left = body.answer.bytes_left();
    let received: usize = body.received.iter().map(Bytes::len).sum();
    let length = left.map(|left| left + received as u64);
    let body = relay_body(forward, body).boxed_local();
    let mut response = Response::new(ResponseBody::stream(body, length));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

/// Yields the bytes of the body. An error breaks the caller's connection, so that a truncated body
/// can't be taken for a complete one.
fn relay_body(
    mut forward: Forwarder,
    body: LongBody,
) -> impl futures_util::Stream<Item = io::Result<Bytes>> {
    let LongBody {
        received,
        mut answer,
        facts,
        reservation,
        ..
    } = body;
    async_stream::stream! {
        for part in received.into_iter().filter(|it| !it.is_empty()) {
            yield Ok(part);
        }
        loop {
            let next = tokio::time::timeout(forward.time_left(), answer.next_chunk()).await;
            let error = match next {
                Ok(Ok(Some(bytes))) if !forward.time_left().is_zero() => {
                    yield Ok(bytes);
                    continue;
                }
                Ok(Ok(None))
                    if answer.ends_with_connection && reservation.has_server_ended().await =>
                {
                    io::ErrorKind::UnexpectedEof.into()
                }
                Ok(Ok(None)) => {
                    reservation.record_outcome(AttemptOutcome::Succeeded);
                    forward.request_log.set_ending(request_log::COMPLETE);
                    answer.finish(&forward.shared.pool, attempt::keep_alive_time(&facts));
                    return;
                }
                Ok(Err(error)) => error,
                Ok(Ok(Some(_))) | Err(_) => io::ErrorKind::TimedOut.into(),
            };
            reservation.record_outcome(AttemptOutcome::Failed);
            forward.request_log.set_ending("the response broke off");
            yield Err(error);
            return;
        }
    }
}
