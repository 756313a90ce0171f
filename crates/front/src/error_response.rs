//! Answers of the entry's own.

use std::time::Duration;

use http::{HeaderValue, Response, StatusCode, header};
use jj_direct::{body::AnswerBody, dialect::Dialect};

/// Why a request gets an answer of the entry's own.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ErrorResponse {
    /// No server can take it: it has not run and never will. The caller may come back.
    NotRun {
        /// Time after which it should come back.
        retry_after: Duration,
        /// Why.
        reason: &'static str,
    },
    /// It may have run, and nobody knows.
    OutcomeUnknown {
        /// Why.
        reason: &'static str,
    },
    /// The time that it had is over.
    TimedOut,
    /// It is not what the configuration allows, or malformed.
    Invalid {
        /// Status.
        status: StatusCode,
        /// Why.
        reason: &'static str,
    },
}

impl ErrorResponse {
    /// Status of the answer.
    pub fn status(&self) -> StatusCode {
        match self {
            Self::NotRun { .. } => StatusCode::SERVICE_UNAVAILABLE,
            Self::OutcomeUnknown { .. } => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
            Self::Invalid { status, .. } => *status,
        }
    }

    /// Why, in words.
    pub fn reason(&self) -> &'static str {
        match self {
            Self::NotRun { reason, .. } | Self::OutcomeUnknown { reason } => reason,
            Self::TimedOut => "the time for an answer is over",
            Self::Invalid { reason, .. } => reason,
        }
    }

    /// The answer.
    pub fn response(&self, dialect: &Dialect) -> Response<AnswerBody> {
        let mut response = Response::new(AnswerBody::whole(self.reason()));
        *response.status_mut() = self.status();
        let text = HeaderValue::from_static("text/plain");
        response.headers_mut().insert(header::CONTENT_TYPE, text);
        if let Self::NotRun { retry_after, .. } = self {
            (dialect.write_retry_after)(response.headers_mut(), *retry_after);
        }
        response
    }
}
