//! One request to a backend server over one connection.

use std::{io, ops::RangeInclusive, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode, header, response::Parts};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

use crate::{
    body_budget::RequestBody,
    pool::{Connection, Pool},
    response_budget::ResponseBuffer,
};

/// Reason why a request got no response.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// Nothing of the request was written: it has not run.
    #[error("not sent: {0}")]
    NotSent(String),
    /// The connection broke after the request may have been read.
    #[error("connection lost: {0}")]
    Lost(String),
    /// The response has a status that no final response has; nothing in it can be relied on.
    #[error("status {0} in a final response")]
    InvalidStatus(StatusCode),
}

/// Statuses of final responses; RFC 9110 has others taken for a fault of the server.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// Response whose body is still arriving. Dropping it before the body's end closes the connection.
pub struct CallResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers of the response.
    pub headers: HeaderMap,
    body: Incoming,
    has_ended: bool,
    /// Whether the body has neither a length nor chunks, so that only the end of the connection
    /// ends it.
    pub ends_with_connection: bool,
    /// Whether bytes may follow that belong to no response.
    has_forbidden_body: bool,
    connection: Connection,
}

/// Sends a request and waits for the status and headers of the response.
///
/// # Errors
/// [`CallError::NotSent`] when nothing could be written, [`CallError::Lost`] when the connection
/// broke later, [`CallError::InvalidStatus`] when the response has no valid status.
pub async fn send(
    mut connection: Connection,
    request: Request<RequestBody>,
) -> Result<CallResponse, CallError> {
    let sent = connection.sender.try_send_request(request).await;
    let response = sent.map_err(|mut error| match error.take_message() {
        Some(_) => CallError::NotSent(error.error().to_string()),
        None => CallError::Lost(error.error().to_string()),
    })?;
    let (
        Parts {
            status, headers, ..
        },
        body,
    ) = response.into_parts();
    if !FINAL_STATUSES.contains(&status.as_u16()) {
        return Err(CallError::InvalidStatus(status));
    }
    let is_delimited = headers.contains_key(header::CONTENT_LENGTH)
        || headers.contains_key(header::TRANSFER_ENCODING);
    Ok(CallResponse {
        status,
        ends_with_connection: !is_delimited,
        has_forbidden_body: has_forbidden_body(status, &headers),
        headers,
        has_ended: body.is_end_stream(),
        body,
        connection,
    })
}

/// Returns whether a response that can have no body announces one, which may follow.
fn has_forbidden_body(status: StatusCode, headers: &HeaderMap) -> bool {
    let has_none = matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    let length = headers.get(header::CONTENT_LENGTH);
    let is_announced =
        length.is_some_and(|it| it != "0") || headers.contains_key(header::TRANSFER_ENCODING);
    has_none && is_announced
}

impl CallResponse {
    /// Returns whether the connection has carried an earlier request.
    pub fn is_on_reused_connection(&self) -> bool {
        self.connection.is_reused
    }

    /// Returns the number of body bytes still to come, if the server declared the length.
    pub fn bytes_left(&self) -> Option<u64> {
        self.body.size_hint().exact()
    }

    /// Returns the next bytes of the body; none at its end.
    ///
    /// # Errors
    /// When the connection broke before the end.
    pub async fn next_chunk(&mut self) -> io::Result<Option<Bytes>> {
        while let Some(frame) = self.body.frame().await {
            let frame = frame.map_err(io::Error::other)?;
            if let Ok(bytes) = frame.into_data() {
                return Ok(Some(bytes));
            }
        }
        self.has_ended = true;
        Ok(None)
    }

    /// Reads the whole body into a buffer. If it is longer than `limit` bytes, or there is no memory for
    /// more, the inner `Err` holds the parts read so far.
    ///
    /// # Errors
    /// When the connection broke before the end.
    pub async fn read_body(
        &mut self,
        limit: usize,
        mut buffer: ResponseBuffer,
    ) -> io::Result<Result<Bytes, Vec<Bytes>>> {
        while let Some(bytes) = self.next_chunk().await? {
            if buffer.len() + bytes.len() > limit || !buffer.push(&bytes) {
                return Ok(Err(vec![buffer.into_bytes(), bytes]));
            }
        }
        Ok(Ok(buffer.into_bytes()))
    }

    /// Returns the connection to the pool if the body was read to its end and nothing may follow, else
    /// closes it.
    pub fn finish(self, pool: &Pool, keep_alive: Option<Duration>) {
        if self.has_ended && !self.has_forbidden_body {
            pool.release(self.connection, keep_alive);
        }
    }
}
