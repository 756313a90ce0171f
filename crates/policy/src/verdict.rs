//! The verdict on a failed request: whether it may have run.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Whether a request that failed may have run at a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// The request did not run and never will: no byte reached a backend server.
    #[error("not run; retry after {} ms", retry_after.as_millis())]
    NotRun {
        /// Delay after which a retry may succeed.
        retry_after: Duration,
    },
    /// The request may have run; no process that could know is left.
    #[error("may have run")]
    MayHaveRun,
    /// The request ran, but its answer was lost.
    #[error("ran")]
    Ran,
}

impl Verdict {
    /// Returns whether a retry is safe: the request cannot run twice, or may do so if `idempotent`.
    pub fn is_retryable(self, idempotent: bool) -> bool {
        match self {
            Self::NotRun { .. } => true,
            Self::MayHaveRun | Self::Ran => idempotent,
        }
    }
}
