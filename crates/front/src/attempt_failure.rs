//! How attempts fail.

use jj_policy::server_health::Sign;

/// What became of one attempt that has no answer for the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptFailure {
    /// Nothing has reached the server: the attempt counts as none.
    NotSent,
    /// The server wanted nothing any more by the time it could be sent: the attempt counts as none.
    NotWanted,
    /// The server said that it has not run.
    NotRun,
    /// It may have run.
    Unknown,
}

impl AttemptFailure {
    /// Whether the attempt counts as none.
    pub fn is_uncounted(self) -> bool {
        matches!(self, Self::NotSent | Self::NotWanted)
    }

    /// What it says of the server; none where it says nothing.
    pub fn outcome(self) -> Option<Sign> {
        match self {
            Self::NotSent => Some(Sign::Unreachable),
            Self::NotWanted => None,
            Self::NotRun => Some(Sign::Refused),
            Self::Unknown => Some(Sign::Broken),
        }
    }

    /// Its name in metrics.
    pub fn metric_label(self) -> &'static str {
        match self {
            Self::NotSent => "not_sent",
            Self::NotWanted => "not_wanted",
            Self::NotRun => "not_run",
            Self::Unknown => "unknown",
        }
    }
}
