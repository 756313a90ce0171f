//! What entries tell each other of crashes of backend servers and of the requests that were lost in
//! them.

use std::time::Duration;

use jj_utils::{clock::Timestamp, common_derives};

use crate::load_sums::ServerTag;

/// Id of a part of a prompt, or hash of the content of a whole request.
pub type PartId = u64;

/// Position of a part in its prompt, counted from 0.
pub type PartPosition = u8;

/// Position of the part that stands for a request as a whole, which only its repeats share.
pub const WHOLE_REQUEST: PartPosition = PartPosition::MAX;

/// Maximum number of crashes that are kept, and of those in a message.
pub const MAX_CRASHES: usize = 8;

/// Maximum number of requests of one crash that have several parts.
pub const MAX_REQUESTS: usize = 3;

/// Maximum number of requests of one crash that have one part only.
pub const MAX_PLAIN_REQUESTS: usize = 8;

/// Maximum number of requests of one crash of which only the fingerprint is kept.
pub const MAX_LOST_REQUESTS: usize = 12;

/// Maximum number of parts of one request.
pub const MAX_PARTS: usize = 8;

common_derives! {wire:
    /// Part of a request that may be what crashes a server: a shared part of its prompt, or the
    /// request as a whole.
    #[derive(Copy, Eq, PartialOrd, Ord)]
    pub struct RequestPart {
        /// The part.
        pub part: PartId,
        /// Its position.
        pub position: PartPosition,
    }
}

impl RequestPart {
    /// Returns whether it stands for a request as a whole.
    pub fn is_whole_request(&self) -> bool {
        self.position == WHOLE_REQUEST
    }
}

/// Returns the parts of a request: the shared ones of its prompt, in order, and the request as a
/// whole, if its content is known.
pub fn request_parts(
    shared: impl IntoIterator<Item = PartId>,
    whole: Option<PartId>,
) -> Vec<RequestPart> {
    let shared = (0..WHOLE_REQUEST).zip(shared);
    let whole = whole.map(|it| (WHOLE_REQUEST, it));
    let all = shared.chain(whole);
    all.map(|(position, part)| RequestPart { part, position })
        .collect()
}

common_derives! {wire:
    /// A server that crashed while it was about to respond to requests.
    #[derive(Eq)]
    pub struct CrashReport {
        /// The server.
        pub server: ServerTag,
        /// Time since the crash, in milliseconds.
        pub age_ms: u32,
        /// Parts of each of these requests.
        pub requests: Vec<Vec<RequestPart>>,
    }
}

impl CrashReport {
    /// Returns whether the numbers of requests and parts are within their limits.
    pub fn is_bounded(&self) -> bool {
        let plain = self.requests.iter().filter(|it| is_plain(it)).count();
        plain <= MAX_PLAIN_REQUESTS
            && self.requests.len() - plain <= MAX_REQUESTS
            && self.requests.iter().all(|it| it.len() <= MAX_PARTS)
    }
}

common_derives! {wire:
    /// What is known of a request that was lost as its server crashed.
    #[derive(Copy, Eq, PartialOrd, Ord)]
    pub enum LossEvidence {
        /// It waited at the server and had not begun to run.
        Waiting,
        /// It may have waited or run.
        Unclear,
        /// It was about to be responded to.
        Began,
    }
}

common_derives! {wire:
    /// Request that was lost as its server crashed.
    #[derive(Copy, Eq)]
    pub struct LostRequest {
        /// Fingerprint of the request.
        pub request: PartId,
        /// What is known of it.
        pub evidence: LossEvidence,
    }
}

common_derives! {wire:
    /// The requests that were lost as a server crashed.
    #[derive(Eq)]
    pub struct LostReport {
        /// The server.
        pub server: ServerTag,
        /// Time since the crash, in milliseconds.
        pub age_ms: u32,
        /// The requests.
        pub requests: Vec<LostRequest>,
    }
}

impl LostReport {
    /// Returns whether the number of requests is within its limit.
    pub fn is_bounded(&self) -> bool {
        self.requests.len() <= MAX_LOST_REQUESTS
    }
}

common_derives! {wire:
    /// Part that was served.
    #[derive(Copy, Eq)]
    pub struct ServedPart {
        /// The part.
        pub part: PartId,
        /// A position at which it was served.
        pub position: PartPosition,
        /// Time since then, in milliseconds.
        pub age_ms: u32,
    }
}

impl ServedPart {
    /// Returns the part and its position.
    pub(crate) fn request_part(&self) -> RequestPart {
        RequestPart {
            part: self.part,
            position: self.position,
        }
    }
}

common_derives! {wire:
    /// Suspect that is being tried.
    #[derive(Copy, Eq)]
    pub struct TrialReport {
        /// The suspect.
        pub part: PartId,
        /// Time since the trial began, in milliseconds.
        pub age_ms: u32,
    }
}

common_derives! {wire:
    /// What an entry knows of crashes and of the parts involved, for the other entries.
    #[derive(Eq, Default)]
    pub struct SuspectNews {
        /// Crashes that are kept.
        pub crashes: Vec<CrashReport>,
        /// When parts of these crashes were served last by any entry, and some parts served at the
        /// positions of suspects.
        pub served: Vec<ServedPart>,
        /// Trials of suspects that have no result yet.
        pub trials: Vec<TrialReport>,
    }
}

/// Returns whether a request has one part only.
pub(crate) fn is_plain(parts: &[RequestPart]) -> bool {
    parts.len() <= 1
}

/// Returns the time since `at` in milliseconds.
pub(crate) fn age_ms(now: Timestamp, at: Timestamp) -> u32 {
    u32::try_from(now.saturating_sub(at).as_millis()).unwrap_or(u32::MAX)
}

/// Returns the time that is `age_ms` before `now`.
pub(crate) fn time_of(now: Timestamp, age_ms: u32) -> Timestamp {
    now.saturating_sub(Duration::from_millis(u64::from(age_ms)))
}
