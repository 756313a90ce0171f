//! The requests that were lost in crashes of servers, by their fingerprints. One that is lost again
//! and again is probably the cause, whatever is known of the state in which it was lost.

use std::time::Duration;

use jj_utils::{clock::Timestamp, collections::FastMap};

use crate::{
    crash_reports::{LossEvidence, LostReport, LostRequest, MAX_LOST_REQUESTS, PartId, age_ms},
    load_sums::ServerTag,
};

/// Maximum number of crashes that are remembered.
const MAX_REMEMBERED: usize = 64;

/// Maximum number of crashes of which other entries are told.
const MAX_TOLD: usize = 20;

/// Time for which a crash without a repeated request is remembered.
const MEMORY: Duration = Duration::from_secs(600);

/// The requests that were lost in one crash.
#[derive(Debug, Clone)]
struct Losses {
    server: ServerTag,
    /// Time of the crash.
    at: Timestamp,
    requests: Vec<LostRequest>,
}

impl Losses {
    /// Adds a request, or better evidence on it. If there are too many, those with the best evidence
    /// are kept. Returns whether that is new.
    fn add(&mut self, lost: LostRequest) -> bool {
        let before = self.requests.clone();
        match self
            .requests
            .iter_mut()
            .find(|it| it.request == lost.request)
        {
            Some(known) => known.evidence = known.evidence.max(lost.evidence),
            None => self.requests.push(lost),
        }
        let rank = |it: &LostRequest| (std::cmp::Reverse(it.evidence), it.request);
        self.requests.sort_unstable_by_key(rank);
        self.requests.truncate(MAX_LOST_REQUESTS);
        self.requests != before
    }

    fn contains(&self, request: PartId) -> bool {
        self.requests.iter().any(|it| it.request == request)
    }
}

/// Bounded memory of lost requests.
#[derive(Debug, Default)]
pub(crate) struct LostRequests {
    crashes: Vec<Losses>,
}

impl LostRequests {
    /// Adds requests of a crash; returns whether any of that is new. Two reports on one server within
    /// `window` are of one crash.
    pub fn add(
        &mut self,
        at: Timestamp,
        server: ServerTag,
        requests: &[LostRequest],
        window: Duration,
    ) -> bool {
        let known = self.position(server, at, window);
        let index = known.unwrap_or_else(|| {
            self.crashes.push(Losses {
                server,
                at,
                requests: Vec::new(),
            });
            self.crashes.len() - 1
        });
        let losses = &mut self.crashes[index];
        losses.at = losses.at.min(at);
        let mut is_new = false;
        for lost in requests {
            is_new |= losses.add(*lost);
        }
        is_new
    }

    /// Returns the index of the crash of a server at a time.
    fn position(&self, server: ServerTag, at: Timestamp, window: Duration) -> Option<usize> {
        let is_same = |it: &Losses| it.server == server && it.at.abs_diff(at) < window;
        self.crashes.iter().position(is_same)
    }

    /// Returns the best evidence on any request that was lost in a crash; `None` if the crash is not
    /// known.
    pub fn best_evidence(
        &self,
        server: ServerTag,
        at: Timestamp,
        window: Duration,
    ) -> Option<LossEvidence> {
        let losses = self.crashes.get(self.position(server, at, window)?)?;
        losses.requests.iter().map(|it| it.evidence).max()
    }

    /// Returns the number of requests that were lost in a crash and may have been running.
    pub fn count_running(&self, server: ServerTag, at: Timestamp, window: Duration) -> usize {
        let position = self.position(server, at, window);
        let losses = position.and_then(|it| self.crashes.get(it));
        let requests = losses.into_iter().flat_map(|it| &it.requests);
        let may_have_run = requests.filter(|it| it.evidence > LossEvidence::Waiting);
        may_have_run.count()
    }

    /// Returns the number of requests of the crash with the most of them in which a request was lost.
    pub fn most_with(&self, request: PartId) -> Option<usize> {
        let involved = self.crashes.iter().filter(|it| it.contains(request));
        involved.map(|it| it.requests.len()).max()
    }

    /// Returns whether there are none.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty()
    }

    /// Returns the times at which a request was lost, in ascending order.
    pub fn times(&self, request: PartId) -> Vec<Timestamp> {
        let involved = self.crashes.iter().filter(|it| it.contains(request));
        let mut times: Vec<Timestamp> = involved.map(|it| it.at).collect();
        times.sort_unstable();
        times
    }

    /// Returns the requests that were lost in several crashes.
    pub fn repeated(&self) -> Vec<PartId> {
        let mut counts: FastMap<PartId, u32> = FastMap::default();
        for lost in self.requests() {
            *counts.entry(lost.request).or_default() += 1;
        }
        let repeated = counts.into_iter().filter(|(_, count)| *count > 1);
        repeated.map(|(request, _)| request).collect()
    }

    /// Returns the requests of all crashes.
    pub fn requests(&self) -> impl Iterator<Item = &LostRequest> {
        self.crashes.iter().flat_map(|it| &it.requests)
    }

    /// Returns whether a request was lost in a crash.
    pub fn involves(&self, request: PartId) -> bool {
        self.crashes.iter().any(|it| it.contains(request))
    }

    /// Returns the reports on the newest crashes for other entries.
    pub fn reports(&self, now: Timestamp) -> Vec<LostReport> {
        let mut newest: Vec<&Losses> = self.crashes.iter().collect();
        newest.sort_unstable_by_key(|it| (std::cmp::Reverse(it.at), it.server));
        let told = newest.into_iter().take(MAX_TOLD);
        told.map(|it| LostReport {
            server: it.server,
            age_ms: age_ms(now, it.at),
            requests: it.requests.clone(),
        })
        .collect()
    }

    /// Keeps the crashes with a repeated request up to the age `max_age`, others for [`MEMORY`], and
    /// of too many, first those with one, then the newest.
    pub fn forget(&mut self, now: Timestamp, max_age: Duration) {
        if self.crashes.is_empty() {
            return;
        }
        let repeated = self.repeated();
        let is_repeated = |it: &Losses| it.requests.iter().any(|it| repeated.contains(&it.request));
        self.crashes.retain(|it| {
            let age_limit = if is_repeated(it) { max_age } else { MEMORY };
            now < it.at + age_limit
        });
        if self.crashes.len() > MAX_REMEMBERED {
            self.crashes
                .sort_by_key(|it| std::cmp::Reverse((is_repeated(it), it.at)));
            self.crashes.truncate(MAX_REMEMBERED);
        }
    }
}
