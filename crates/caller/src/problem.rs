//! Refusals, sent as problem documents (RFC 9457) with the verdict and Retry-After.

use std::time::Duration;

use jj_policy::verdict::Verdict;
use poem::{Response, http::StatusCode};
use serde_json::json;

/// Content type of problem documents.
const CONTENT_TYPE: &str = "application/problem+json";

/// Error response to a request without an answer from a backend server.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{status}: {detail}")]
pub struct Refusal {
    /// HTTP status.
    pub status: StatusCode,
    /// Whether the request has run or may have run.
    pub verdict: Verdict,
    /// Cause of the refusal and what is allowed, for developers.
    pub detail: String,
}

impl Refusal {
    /// Creates a refusal of an invalid request, which can't succeed if retried.
    pub fn invalid(status: StatusCode, detail: impl Into<String>) -> Self {
        let verdict = Verdict::NotRun {
            retry_after: Duration::ZERO,
        };
        Self {
            status,
            verdict,
            detail: detail.into(),
        }
    }

    /// Creates a refusal after the last attempt; the verdict determines the status.
    pub fn given_up(verdict: Verdict, detail: impl Into<String>) -> Self {
        let status = match verdict {
            Verdict::NotRun { .. } => StatusCode::SERVICE_UNAVAILABLE,
            Verdict::MayHaveRun | Verdict::Ran => StatusCode::BAD_GATEWAY,
        };
        Self {
            status,
            verdict,
            detail: detail.into(),
        }
    }

    /// Creates a refusal of a request whose deadline has passed.
    pub fn timeout(verdict: Verdict, detail: impl Into<String>) -> Self {
        Self {
            status: StatusCode::GATEWAY_TIMEOUT,
            verdict,
            detail: detail.into(),
        }
    }

    /// Returns the problem document.
    pub fn document(&self) -> serde_json::Value {
        json!({
            "type": format!("urn:jujubejunction:problem:{}", self.verdict_name()),
            "title": self.status.canonical_reason().unwrap_or("refused"),
            "status": self.status.as_u16(),
            "verdict": self.verdict_name(),
            "detail": self.detail,
        })
    }

    /// Converts the refusal to an HTTP response.
    pub fn into_response(self) -> Response {
        let mut response = Response::builder()
            .status(self.status)
            .content_type(CONTENT_TYPE)
            .header("x-jujube-verdict", self.verdict_name());
        if let Some(seconds) = self.retry_seconds() {
            response = response.header("retry-after", seconds);
        }
        response.body(self.document().to_string())
    }

    fn verdict_name(&self) -> &'static str {
        match self.verdict {
            Verdict::NotRun { .. } => "not-run",
            Verdict::MayHaveRun => "may-have-run",
            Verdict::Ran => "ran",
        }
    }

    /// Returns whole seconds for `Retry-After`; `None` for invalid requests and unless not run.
    fn retry_seconds(&self) -> Option<u64> {
        let Verdict::NotRun { retry_after } = self.verdict else {
            return None;
        };
        let is_temporary = self.status.is_server_error() || self.status.as_u16() == 429;
        is_temporary.then(|| retry_after.as_millis().div_ceil(1000).max(1) as u64)
    }
}
