//! Reads HTTP bodies with a size limit, since a sender may never stop sending.

use std::pin::pin;

use bytes::{Bytes, BytesMut};
use futures_util::{Stream, StreamExt};

/// Reason why a body could not be read.
#[derive(Debug, thiserror::Error)]
pub enum BodyError<E> {
    /// The transfer failed before the body's end.
    #[error("the body ended early: {0}")]
    Interrupted(E),
    /// The body exceeds the limit, in bytes.
    #[error("the body is longer than {0} bytes")]
    TooLong(usize),
}

/// Reads a whole body of at most `max_bytes`.
///
/// # Errors
/// When the transfer fails or the body is longer.
pub async fn collect<E>(
    body: impl Stream<Item = Result<Bytes, E>>,
    max_bytes: usize,
) -> Result<Bytes, BodyError<E>> {
    let mut body = pin!(body);
    let mut whole = BytesMut::new();
    while let Some(chunk) = body.next().await {
        let chunk = chunk.map_err(BodyError::Interrupted)?;
        if whole.len() + chunk.len() > max_bytes {
            return Err(BodyError::TooLong(max_bytes));
        }
        whole.extend_from_slice(&chunk);
    }
    Ok(whole.freeze())
}
