//! How attempts fail.

/// What became of one attempt that has no answer for the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// Nothing has reached the server: the attempt counts as none.
    NotSent,
    /// The server said that it has not run.
    NotRun,
    /// It may have run.
    Unknown,
}

impl Failure {
    /// Its name in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::NotSent => "not_sent",
            Self::NotRun => "not_run",
            Self::Unknown => "unknown",
        }
    }
}
