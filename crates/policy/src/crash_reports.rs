//! Crashes of backend servers, and the requests that were lost in them, as entries report them to
//! each other.

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

/// Returns whether a request has one part only.
fn is_plain(parts: &[RequestPart]) -> bool {
    parts.len() <= 1
}

/// Crash of a server.
#[derive(Debug, Clone)]
pub(crate) struct Crash {
    server: ServerTag,
    /// Time of the crash.
    pub at: Timestamp,
    /// Parts of each request to which the server was about to respond.
    requests: Vec<Vec<RequestPart>>,
}

impl Crash {
    /// Returns the parts of all its requests.
    pub fn lost_parts(&self) -> impl Iterator<Item = &RequestPart> {
        self.requests.iter().flatten()
    }

    /// Returns whether one of its requests has a part.
    pub fn involves(&self, part: PartId) -> bool {
        self.lost_parts().any(|it| it.part == part)
    }

    /// Returns the report on it for other entries.
    pub fn report(&self, now: Timestamp) -> CrashReport {
        CrashReport {
            server: self.server,
            age_ms: age_ms(now, self.at),
            requests: self.requests.clone(),
        }
    }

    /// Adds a request. If there are too many, the same ones are kept whatever their order was.
    fn add_request(&mut self, parts: &[RequestPart]) {
        self.requests
            .push(parts[..parts.len().min(MAX_PARTS)].to_vec());
        self.requests.sort_unstable();
        self.requests.dedup();
        let (mut plain_left, mut others_left) = (MAX_PLAIN_REQUESTS, MAX_REQUESTS);
        self.requests.retain(|it| {
            let left = match is_plain(it) {
                true => &mut plain_left,
                false => &mut others_left,
            };
            let is_kept = *left > 0;
            *left = left.saturating_sub(1);
            is_kept
        });
    }
}

/// The crashes that are kept.
#[derive(Debug, Default)]
pub(crate) struct CrashLog {
    crashes: Vec<Crash>,
}

impl CrashLog {
    /// Adds the requests of a crash. Two reports on one server within `window` are of one crash.
    pub fn add(
        &mut self,
        at: Timestamp,
        server: ServerTag,
        requests: &[Vec<RequestPart>],
        window: Duration,
    ) {
        let is_same = |it: &Crash| it.server == server && it.at.abs_diff(at) < window;
        let known = self.crashes.iter().position(is_same);
        let index = known.unwrap_or_else(|| {
            self.crashes.push(Crash {
                server,
                at,
                requests: Vec::new(),
            });
            self.crashes.len() - 1
        });
        let crash = &mut self.crashes[index];
        crash.at = crash.at.min(at);
        for parts in requests {
            crash.add_request(parts);
        }
    }

    /// Returns the crashes.
    pub fn iter(&self) -> impl Iterator<Item = &Crash> {
        self.crashes.iter()
    }

    /// Returns whether there are none.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty()
    }

    /// Returns the parts of the requests of all crashes.
    pub fn lost_parts(&self) -> impl Iterator<Item = &RequestPart> {
        self.crashes.iter().flat_map(Crash::lost_parts)
    }

    /// Returns whether a request with a part was lost in a crash.
    pub fn involves(&self, part: PartId) -> bool {
        self.crashes.iter().any(|it| it.involves(part))
    }

    /// Keeps the crashes younger than their age limit and, of too many, first those with suspects,
    /// then the newest. `has_suspects` says of each crash, in order, whether it has any, and
    /// `age_limit` returns the limit for both cases.
    pub fn forget(
        &mut self,
        now: Timestamp,
        max_crashes: usize,
        has_suspects: &[bool],
        age_limit: impl Fn(bool) -> Duration,
    ) {
        let crashes = std::mem::take(&mut self.crashes).into_iter();
        let mut kept: Vec<(bool, Crash)> = has_suspects.iter().copied().zip(crashes).collect();
        kept.retain(|(has_suspects, it)| now < it.at + age_limit(*has_suspects));
        kept.sort_by_key(|(has_suspects, it)| std::cmp::Reverse((*has_suspects, it.at)));
        kept.truncate(max_crashes);
        self.crashes = kept.into_iter().map(|(_, it)| it).collect();
    }
}

/// Returns the time since `at` in milliseconds.
pub(crate) fn age_ms(now: Timestamp, at: Timestamp) -> u32 {
    u32::try_from(now.saturating_sub(at).as_millis()).unwrap_or(u32::MAX)
}

/// Returns the time that is `age_ms` before `now`.
pub(crate) fn time_of(now: Timestamp, age_ms: u32) -> Timestamp {
    now.saturating_sub(Duration::from_millis(u64::from(age_ms)))
}
