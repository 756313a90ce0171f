//! Bodies of which no more is read than they may have: whoever sends one may never stop.

use std::pin::pin;

use bytes::{Bytes, BytesMut};
use futures_util::{Stream, StreamExt};

/// Why a body is not there.
#[derive(Debug, thiserror::Error)]
pub enum BodyError<E> {
    /// It broke off.
    #[error("the body broke off: {0}")]
    Interrupted(E),
    /// It is longer than it may be.
    #[error("the body is longer than {0} bytes")]
    TooLong(usize),
}

/// All of a body of at most `longest` bytes.
///
/// # Errors
/// When it breaks off, or is longer.
pub async fn collect<E>(
    body: impl Stream<Item = Result<Bytes, E>>,
    longest: usize,
) -> Result<Bytes, BodyError<E>> {
    let mut body = pin!(body);
    let mut whole = BytesMut::new();
    while let Some(part) = body.next().await {
        let part = part.map_err(BodyError::Interrupted)?;
        if whole.len() + part.len() > longest {
            return Err(BodyError::TooLong(longest));
        }
        whole.extend_from_slice(&part);
    }
    Ok(whole.freeze())
}
