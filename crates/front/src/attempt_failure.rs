//! The ways in which an attempt to send a request to a server fails.

use jj_policy::server_health::AttemptOutcome;

/// How far an attempt got. Variant names are logged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptStage {
    /// No part of the request has been written.
    Connecting,
    /// The request was written, and nothing of a response has arrived.
    Sent,
    /// The head of a response has arrived.
    HeadReceived,
}

/// Reason why one attempt gave no response for the caller. Variant names are logged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptFailure {
    /// Nothing reached the server; the attempt does not count against the route's limit.
    NotSent,
    /// The server had stopped accepting requests by the time the connection was open; the attempt
    /// does not count either.
    NotWanted,
    /// The server refused the request without executing it.
    NotRun,
    /// The server crashed before the first event of the response or, if it is no stream, before the
    /// end of the response. The request may have waited or run.
    Crashed,
    /// The request was withdrawn from the server, since its prompt may crash it.
    Withdrawn,
    /// The server responded with an error, which is not passed on.
    ServerError,
    /// The connection broke, or there was no response in time, and the server seems to live.
    Lost,
    /// The server sent something that is no usable response.
    Unknown,
}

impl AttemptFailure {
    /// Returns whether the attempt doesn't count against the route's limit or the retry budget.
    pub fn is_uncounted(self) -> bool {
        matches!(self, Self::NotSent | Self::NotWanted)
    }

    /// Returns whether the request may have been executed.
    pub fn may_have_run(self) -> bool {
        matches!(
            self,
            Self::Crashed | Self::Withdrawn | Self::ServerError | Self::Lost | Self::Unknown
        )
    }

    /// Returns what the failure means for the server's health; `None` if it means nothing.
    pub fn outcome(self) -> Option<AttemptOutcome> {
        match self {
            Self::NotSent => Some(AttemptOutcome::Unreachable),
            Self::NotWanted | Self::Withdrawn => None,
            Self::NotRun => Some(AttemptOutcome::Refused),
            Self::ServerError => Some(AttemptOutcome::Failed),
            Self::Crashed | Self::Lost | Self::Unknown => Some(AttemptOutcome::Broken),
        }
    }

    /// Returns the label value in metrics.
    pub fn metric_label(self) -> &'static str {
        match self {
            Self::NotSent => "not_sent",
            Self::NotWanted => "not_wanted",
            Self::NotRun => "not_run",
            Self::Crashed => "crashed",
            Self::Withdrawn => "withdrawn",
            Self::ServerError => "server_error",
            Self::Lost => "lost",
            Self::Unknown => "unknown",
        }
    }
}
