//! Error responses that the entry generates itself.

use std::time::Duration;

use http::{HeaderValue, Response, StatusCode, header};
use jj_direct::{body::ResponseBody, header_codec::HeaderCodec};

/// Reason why the entry responds to a request itself instead of forwarding a server's response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ErrorResponse {
    /// The request was rejected without being executed; the caller may retry it.
    NotRun {
        /// Time after which the caller should retry.
        retry_after: Duration,
        /// Reason, as in [`ErrorResponse::reason`].
        reason: &'static str,
    },
    /// An attempt failed after which it is unknown whether the request has run.
    OutcomeUnknown {
        /// Reason, as in [`ErrorResponse::reason`].
        reason: &'static str,
    },
    /// The deadline of the request has passed.
    TimedOut,
    /// The request is malformed, or the configuration doesn't allow it.
    Invalid {
        /// Status of the response.
        status: StatusCode,
        /// Reason, as in [`ErrorResponse::reason`].
        reason: &'static str,
    },
}

impl ErrorResponse {
    /// Returns the status of the response.
    pub fn status(&self) -> StatusCode {
        match self {
            Self::NotRun { .. } => StatusCode::SERVICE_UNAVAILABLE,
            Self::OutcomeUnknown { .. } => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
            Self::Invalid { status, .. } => *status,
        }
    }

    /// Returns the reason, which is the response body and a label value in metrics.
    pub fn reason(&self) -> &'static str {
        match self {
            Self::NotRun { reason, .. } | Self::OutcomeUnknown { reason } => reason,
            Self::TimedOut => "the time for an answer is over",
            Self::Invalid { reason, .. } => reason,
        }
    }

    /// Builds the HTTP response.
    pub fn response(&self, header_codec: &HeaderCodec) -> Response<ResponseBody> {
        let mut response = Response::new(ResponseBody::whole(self.reason()));
        *response.status_mut() = self.status();
        let text = HeaderValue::from_static("text/plain");
        response.headers_mut().insert(header::CONTENT_TYPE, text);
        if let Self::NotRun { retry_after, .. } = self {
            (header_codec.write_retry_after)(response.headers_mut(), *retry_after);
        }
        response
    }
}
