//! One request to a backend server over one connection.

use std::{io, time::Duration};

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, Request, StatusCode, response::Parts};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

use crate::pool::{Connection, Pool, RequestBody};

/// Why a call has no answer.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// Nothing of the request was written: it has not run.
    #[error("not sent: {0}")]
    NotSent(String),
    /// The connection broke after the request may have been read.
    #[error("connection lost: {0}")]
    Lost(String),
}

/// An answer whose body is still arriving. Dropping it before its end closes the connection.
pub struct CallResponse {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    body: Incoming,
    has_ended: bool,
    connection: Connection,
}

/// Sends a request and waits for the head of its answer.
///
/// # Errors
/// When the request could not be written, or the connection broke.
pub async fn send(
    mut connection: Connection,
    request: Request<RequestBody>,
) -> Result<CallResponse, CallError> {
    let sent = connection.sender.try_send_request(request).await;
    let answer = sent.map_err(|mut error| match error.take_message() {
        Some(_) => CallError::NotSent(error.error().to_string()),
        None => CallError::Lost(error.error().to_string()),
    })?;
    let (
        Parts {
            status, headers, ..
        },
        body,
    ) = answer.into_parts();
    Ok(CallResponse {
        status,
        headers,
        has_ended: body.is_end_stream(),
        body,
        connection,
    })
}

impl CallResponse {
    /// Whether its connection has carried a request before.
    pub fn is_on_reused_connection(&self) -> bool {
        self.connection.is_reused
    }

    /// Bytes of the body that are still to come, where the server tells its length.
    pub fn bytes_left(&self) -> Option<u64> {
        self.body.size_hint().exact()
    }

    /// The next bytes of the body; none at its end.
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

    /// Reads the body up to `limit` bytes; `Err` holds what has arrived where it is longer.
    ///
    /// # Errors
    /// When the connection broke before the end.
    pub async fn read_body(&mut self, limit: usize) -> io::Result<Result<Bytes, Bytes>> {
        let mut whole = BytesMut::new();
        while let Some(bytes) = self.next_chunk().await? {
            whole.extend_from_slice(&bytes);
            if whole.len() > limit {
                return Ok(Err(whole.freeze()));
            }
        }
        Ok(Ok(whole.freeze()))
    }

    /// Keeps the connection for another request once the body has ended.
    pub fn finish(self, pool: &Pool, keep_alive: Option<Duration>) {
        if self.has_ended {
            pool.release(self.connection, keep_alive);
        }
    }
}
