//! The crashes of backend servers that are remembered, with the requests that were lost in them.

use std::time::Duration;

use jj_utils::clock::Timestamp;

use crate::{
    crash_reports::{
        CrashReport, MAX_PARTS, MAX_PLAIN_REQUESTS, MAX_REQUESTS, PartId, RequestPart, age_ms,
        is_plain,
    },
    load_sums::ServerTag,
};

/// Crash of a server.
#[derive(Debug, Clone)]
pub(crate) struct Crash {
    pub server: ServerTag,
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

    /// Returns the times at which requests with a part were lost, in ascending order.
    pub fn times(&self, part: PartId) -> Vec<Timestamp> {
        let involved = self.crashes.iter().filter(|it| it.involves(part));
        let mut times: Vec<Timestamp> = involved.map(|it| it.at).collect();
        times.sort_unstable();
        times
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
