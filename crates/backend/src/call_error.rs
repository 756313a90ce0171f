//! What all answers of backend servers have in common: their parts, and how calls fail.

use bytes::Bytes;
use futures_util::stream::BoxStream;

/// Header that names the request towards the backend server.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

/// Why a call to a backend server failed.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// No connection could be opened: no byte was sent.
    #[error("backend server not reachable: {0}")]
    Unreachable(reqwest::Error),
    /// The call itself is malformed: no byte was sent.
    #[error("malformed call: {0}")]
    Malformed(String),
    /// The connection was lost after bytes were sent.
    #[error("connection to the backend server lost: {0}")]
    Lost(reqwest::Error),
    /// The stream broke or ended without its end marker.
    #[error("answer of the backend server is not whole: {0}")]
    Truncated(String),
}

/// The parts of an answer's body, in order: pieces of a plain body or tokens of a stream.
pub type BodyStream = BoxStream<'static, Result<Bytes, CallError>>;
