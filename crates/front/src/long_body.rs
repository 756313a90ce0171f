//! Passes on the rest of an answer that is too long to be read before it begins.

use std::io;

use bytes::Bytes;
use futures_util::StreamExt;
use http::{HeaderMap, Response, StatusCode};
use jj_direct::{body::AnswerBody, call::CallAnswer, dialect::AnswerFacts};
use jj_policy::server_health::Sign;

use crate::{
    forward::{self, Forwarder},
    shared_state::Reservation,
};

/// An answer of which a part has arrived.
pub struct LongBody {
    /// Status of the answer.
    pub status: StatusCode,
    /// Its headers, without those of one connection.
    pub headers: HeaderMap,
    pub(crate) received: Bytes,
    pub(crate) answer: CallAnswer,
    pub(crate) facts: AnswerFacts,
    pub(crate) reservation: Reservation,
}

/// The answer, whose rest goes on up to its end or the end of the request's time.
pub fn response(forward: Forwarder, body: LongBody) -> Response<AnswerBody> {
    let (status, headers) = (body.status, body.headers.clone());
    let left = body.answer.bytes_left();
    let length = left.map(|left| left + body.received.len() as u64);
    let parts = parts(forward, body).boxed_local();
    let mut response = Response::new(AnswerBody::parts(parts, length));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

/// The bytes of the body. An error breaks the caller's connection, so that what is cut looks cut.
fn parts(
    mut forward: Forwarder,
    body: LongBody,
) -> impl futures_util::Stream<Item = io::Result<Bytes>> {
    let LongBody {
        received: begun,
        mut answer,
        facts,
        reservation: place,
        ..
    } = body;
    async_stream::stream! {
        yield Ok(begun);
        loop {
            let next = tokio::time::timeout(forward.time_left(), answer.next()).await;
            let error = match next {
                Ok(Ok(Some(bytes))) if !forward.time_left().is_zero() => {
                    yield Ok(bytes);
                    continue;
                }
                Ok(Ok(None)) => {
                    place.record_outcome(Sign::Good);
                    forward.request_log.set_ending("answered");
                    answer.finish(&forward.shared.pool, forward::keep_alive_time(&facts));
                    return;
                }
                Ok(Err(error)) => error,
                Ok(Ok(Some(_))) | Err(_) => io::ErrorKind::TimedOut.into(),
            };
            place.record_outcome(Sign::Failed);
            forward.request_log.set_ending("the answer broke off");
            yield Err(error);
            return;
        }
    }
}
