//! What is concluded about one request, or one part of prompts, that may crash backend servers.

use std::{fmt, time::Duration};

use jj_utils::clock::Timestamp;

use crate::{crash_reports::PartId, crash_suspects::SuspectConfig};

/// Number of doublings of the hold time beyond which it doesn't grow.
const MAX_DOUBLINGS: u32 = 16;

/// What is concluded about one suspect.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Suspect {
    /// Number of crashes that involved the part since it was served last.
    pub crashes: u32,
    /// Time of the last one.
    pub last_crash: Timestamp,
    /// Whether it is a request as a whole.
    pub is_whole_request: bool,
    /// Whether it is a part of a prompt, and a request as a whole is suspected beside it.
    pub has_request: bool,
    /// The candidates among the parts of prompts of each crash of which it is a suspect. Requests as
    /// a whole are none: their repeats cost less than another crash.
    pub alternatives: Vec<Vec<PartId>>,
}

impl Suspect {
    /// Returns a request that was lost in several crashes, the last one at a time.
    pub fn repeated_request(crashes: u32, last_crash: Timestamp) -> Self {
        Self {
            crashes,
            last_crash,
            is_whole_request: true,
            has_request: false,
            alternatives: Vec::new(),
        }
    }

    /// Returns whether it is the only suspect of some crash.
    pub fn is_sole(&self) -> bool {
        self.alternatives.iter().any(|it| it.len() == 1)
    }

    /// Returns the time for which it is held after its last crash.
    pub fn hold_time(&self, config: &SuspectConfig) -> Duration {
        let first_hold = match self.is_whole_request {
            true => config.request_hold,
            false => config.first_hold,
        };
        let doublings = self.crashes.saturating_sub(1).min(MAX_DOUBLINGS);
        let hold = first_hold * 2_u32.pow(doublings);
        hold.min(config.max_hold)
    }
}

/// Why a request or a part of prompts is suspected, for logs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SuspectReason {
    /// The request or part.
    pub part: PartId,
    /// Whether it is a request as a whole.
    pub is_whole_request: bool,
    /// Number of crashes that involved it since it was served last.
    pub crashes: u32,
    /// Number of requests that are known to have been lost with it in a crash, at most.
    pub lost_beside: usize,
    /// Whether it was served before these crashes.
    pub was_served: bool,
}

impl fmt::Display for SuspectReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            part,
            crashes,
            lost_beside,
            ..
        } = self;
        let kind = match self.is_whole_request {
            true => "request",
            false => "part",
        };
        let served = match self.was_served {
            true => "served before",
            false => "never served",
        };
        write!(
            f,
            "{kind} {part:x}: crashes {crashes}, lost beside {lost_beside}, {served}"
        )
    }
}
