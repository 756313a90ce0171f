//! Body type of the responses of backend servers, and the errors of calls to them.

use bytes::Bytes;
use futures_util::stream::BoxStream;

/// Header with the request id, sent to the backend server.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

/// Why a call to a backend server failed.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// No connection could be opened: no byte was sent.
    #[error("backend server is not reachable: {0}")]
    Unreachable(reqwest::Error),
    /// The call itself is malformed: no byte was sent.
    #[error("malformed call: {0}")]
    Malformed(String),
    /// The connection was lost after bytes were sent.
    #[error("connection to the backend server was lost: {0}")]
    Lost(reqwest::Error),
    /// The stream was interrupted or ended without its end marker.
    #[error("response of the backend server is incomplete: {0}")]
    Truncated(String),
}

/// The parts of a response body, in order: pieces of a plain body or tokens of a stream.
pub type BodyStream = BoxStream<'static, Result<Bytes, CallError>>;
