//! Refusals as problem documents (RFC 9457) with the verdict and Retry-After.

use std::time::Duration;

use jj_policy::verdict::Verdict;
use poem::{Response, http::StatusCode};
use serde_json::json;

/// Content type of problem documents.
const CONTENT_TYPE: &str = "application/problem+json";

/// A request that gets no answer from a backend server.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{status}: {detail}")]
pub struct Refusal {
    /// HTTP status.
    pub status: StatusCode,
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// What went wrong and what is allowed, for the caller's developers.
    pub detail: String,
}

impl Refusal {
    /// A request that is wrong as it stands: trying again does not help.
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

    /// A request that was given up with a verdict.
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

    /// A request whose deadline has passed.
    pub fn timeout(verdict: Verdict, detail: impl Into<String>) -> Self {
        Self {
            status: StatusCode::GATEWAY_TIMEOUT,
            verdict,
            detail: detail.into(),
        }
    }

    /// The problem document.
    pub fn document(&self) -> serde_json::Value {
        json!({
            "type": format!("urn:jujubejunction:problem:{}", self.verdict_name()),
            "title": self.status.canonical_reason().unwrap_or("refused"),
            "status": self.status.as_u16(),
            "verdict": self.verdict_name(),
            "detail": self.detail,
        })
    }

    /// The HTTP response.
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

    /// Whole seconds for `Retry-After`; none for requests that are wrong as they stand.
    fn retry_seconds(&self) -> Option<u64> {
        let Verdict::NotRun { retry_after } = self.verdict else {
            return None;
        };
        let is_temporary = self.status.is_server_error() || self.status.as_u16() == 429;
        is_temporary.then(|| retry_after.as_millis().div_ceil(1000).max(1) as u64)
    }
}
