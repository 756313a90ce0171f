//! The verdict on a request that got no answer: may it have run?

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Whether a request that failed may have run at a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// No byte reached a backend server, and none of this attempt ever will.
    #[error("not run; retry after {} ms", retry_after.as_millis())]
    NotRun {
        /// When a new try is worth making.
        retry_after: Duration,
    },
    /// The request may or may not have run; nobody who could tell is left.
    #[error("may have run")]
    MayHaveRun,
    /// The request ran, and its answer is lost.
    #[error("ran")]
    Ran,
}

impl Verdict {
    /// True when another try cannot make the request run twice.
    pub fn is_retryable(self, idempotent: bool) -> bool {
        match self {
            Self::NotRun { .. } => true,
            Self::MayHaveRun | Self::Ran => idempotent,
        }
    }
}
