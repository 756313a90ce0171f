//! Finds the part of a prompt that crashes backend servers, so that requests with it are kept away
//! from them.
//!
//! Load pattern: one part of a prompt ends each server that begins to respond to it, whatever else
//! the prompt holds. Requests with that part arrive at all entries, and are retried by their callers
//! and after an outage. Sound requests share their other parts.
//!
//! A part that was served, in a request whose response has begun, is not the cause of an earlier
//! crash. The suspects of a crash are the other parts of the requests whose responses were about to
//! begin: those never served at all or, if there are none, those that have been in a second crash
//! since they were served. Entries share crashes and what they know of the parts involved, and each
//! draws the conclusions itself. A suspect is held for a time that doubles with each of its crashes;
//! then one request at a time may try it again.

use std::time::Duration;

use jj_utils::{clock::Timestamp, collections::FastMap, common_derives};

use crate::load_sums::ServerTag;

/// Id of a part of a prompt.
pub type PartId = u64;

common_derives! {value:
    /// Times and limits.
    pub struct SuspectConfig {
        /// Time after a crash in which other entries may clear its suspects.
        pub settle_time: Duration,
        /// Time for which a suspect is held after its first crash.
        pub first_hold: Duration,
        /// Maximum time for which a suspect is held.
        pub max_hold: Duration,
        /// Time after which a request may try some of several suspects of one crash, to clear them.
        pub shared_hold: Duration,
        /// Time after which a trial without a result no longer excludes another one.
        pub trial_timeout: Duration,
        /// Two reports on one server within this time are of the same crash.
        pub crash_window: Duration,
        /// Maximum number of suspects of one crash; more say too little about each.
        pub max_suspects: usize,
        /// Maximum number of crashes that are kept.
        pub max_crashes: usize,
        /// Maximum number of served parts that are remembered.
        pub max_served: usize,
    }
}

impl Default for SuspectConfig {
    fn default() -> Self {
        Self {
            settle_time: Duration::from_millis(60),
            first_hold: Duration::from_secs(60),
            max_hold: Duration::from_secs(3_600),
            shared_hold: Duration::from_secs(3),
            trial_timeout: Duration::from_secs(3),
            crash_window: Duration::from_secs(2),
            max_suspects: 6,
            max_crashes: MAX_CRASHES,
            max_served: 16_384,
        }
    }
}

/// Maximum number of crashes in a message.
pub const MAX_CRASHES: usize = 16;

/// Maximum number of requests of one crash.
pub const MAX_REQUESTS: usize = 4;

/// Maximum number of parts of one request.
pub const MAX_PARTS: usize = 8;

common_derives! {wire:
    /// A server that crashed while it was about to respond to requests.
    #[derive(Eq)]
    pub struct CrashReport {
        /// The server.
        pub server: ServerTag,
        /// Time since the crash, in milliseconds.
        pub age_ms: u32,
        /// Shared parts of the prompts of these requests.
        pub requests: Vec<Vec<PartId>>,
    }
}

common_derives! {wire:
    /// Part to which something happened some time ago.
    #[derive(Copy, Eq)]
    pub struct PartAge {
        /// The part.
        pub part: PartId,
        /// Time since then, in milliseconds.
        pub age_ms: u32,
    }
}

common_derives! {wire:
    /// What an entry knows of crashes and of the parts involved, for the other entries.
    #[derive(Eq, Default)]
    pub struct SuspectNews {
        /// Crashes with parts that have not been served since.
        pub crashes: Vec<CrashReport>,
        /// When parts of these crashes were served last, by any entry.
        pub served: Vec<PartAge>,
        /// When trials of such parts began that have no result yet.
        pub trials: Vec<PartAge>,
    }
}

common_derives! {copy:
    /// Whether a request may be sent to a server.
    pub enum PromptAdmission {
        /// It may.
        Allowed,
        /// It may, as the only one with its suspects.
        Trial,
        /// It has to wait: until then, its suspects may be cleared.
        Wait {
            /// When to decide again.
            until: Timestamp,
        },
        /// It must not be sent for a time.
        Held {
            /// Time until its suspects may be tried again.
            remaining: Duration,
        },
    }
}

common_derives! {copy:
    /// What applying news of another entry has changed.
    #[derive(Default)]
    pub struct NewsEffect {
        /// Whether the suspects may have changed here.
        pub is_new: bool,
        /// Whether this entry knows something that the sender doesn't and needs.
        pub needs_reply: bool,
    }
}

/// Crash of a server.
#[derive(Debug, Clone)]
struct Crash {
    server: ServerTag,
    at: Timestamp,
    /// Shared parts of each request whose response was about to begin.
    requests: Vec<Vec<PartId>>,
}

impl Crash {
    /// Returns the parts of all requests, each once.
    fn parts(&self) -> Vec<PartId> {
        let mut parts = self.requests.concat();
        parts.sort_unstable();
        parts.dedup();
        parts
    }

    /// Adds a request. If there are too many, the same ones are kept whatever their order was.
    fn add_request(&mut self, parts: &[PartId]) {
        self.requests
            .push(parts[..parts.len().min(MAX_PARTS)].to_vec());
        self.requests.sort_unstable();
        self.requests.dedup();
        self.requests.truncate(MAX_REQUESTS);
    }
}

/// What is concluded about one suspect.
#[derive(Debug, Clone, PartialEq)]
struct Suspect {
    /// Number of crashes that involved the part since it was served last.
    crashes: u32,
    /// Time of the last one.
    last_crash: Timestamp,
    /// All suspects of each crash of which it is one.
    groups: Vec<Vec<PartId>>,
}

/// Crashes, parts that were served, and the conclusions from both. Times are shifted by
/// [`HISTORY`].
#[derive(Debug, Default)]
pub struct CrashSuspects {
    config: SuspectConfig,
    crashes: Vec<Crash>,
    /// When each part was served last.
    served: FastMap<PartId, Timestamp>,
    /// When the running trial of a suspect began.
    trials: FastMap<PartId, Timestamp>,
    /// Conclusions from the crashes and the served parts.
    suspects: FastMap<PartId, Suspect>,
}

/// Added to all times that are kept, so that those before the start of this process's clock, of
/// which other entries tell, can be represented.
const HISTORY: Duration = Duration::from_secs(24 * 3_600);

impl CrashSuspects {
    /// Records that the response to a request with these shared parts has begun; returns whether
    /// that has changed the suspects.
    pub fn record_served(&mut self, now: Timestamp, parts: &[PartId]) -> bool {
        for part in parts {
            self.set_served(*part, now + HISTORY);
        }
        // Parts of no crash change nothing; that is the usual case.
        parts.iter().any(|it| self.is_in_crash(*it)) && self.conclude(now + HISTORY)
    }

    /// Records that a server crashed when it was about to respond to a request with these shared
    /// parts; returns whether that has changed the suspects.
    pub fn record_crash(&mut self, now: Timestamp, server: ServerTag, parts: &[PartId]) -> bool {
        // Parts that were never served say most, if there are too many.
        let mut parts = parts.to_vec();
        parts.sort_by_key(|it| self.served.contains_key(it));
        self.add_crash(now + HISTORY, server, &[parts]);
        self.conclude(now + HISTORY)
    }

    /// Decides whether a request with these shared parts may be sent to a server.
    pub fn admission(&self, now: Timestamp, parts: &[PartId]) -> PromptAdmission {
        let now = now + HISTORY;
        let suspects = self.suspects_among(parts);
        let Some(settled_at) = self.settled_at(&suspects) else {
            return PromptAdmission::Allowed;
        };
        if now < settled_at {
            let until = settled_at - HISTORY;
            return PromptAdmission::Wait { until };
        }
        let due = suspects.iter().map(|it| self.trial_due(*it, &suspects));
        let remaining = due.max().unwrap_or_default().saturating_sub(now);
        if !remaining.is_zero() {
            return PromptAdmission::Held { remaining };
        }
        let running = suspects.iter().filter_map(|it| self.trials.get(it));
        let trial_end = running.map(|it| *it + self.config.trial_timeout).max();
        match trial_end.filter(|it| now < *it) {
            Some(end) => PromptAdmission::Wait {
                until: end - HISTORY,
            },
            None => PromptAdmission::Trial,
        }
    }

    /// Returns the suspects among some parts.
    pub fn suspects_among(&self, parts: &[PartId]) -> Vec<PartId> {
        let parts = parts.iter().copied();
        parts.filter(|it| self.suspects.contains_key(it)).collect()
    }

    /// Returns all suspects, in ascending order.
    pub fn all(&self) -> Vec<PartId> {
        let mut parts: Vec<PartId> = self.suspects.keys().copied().collect();
        parts.sort_unstable();
        parts
    }

    /// Records that a request with these parts is sent to try its suspects.
    pub fn begin_trial(&mut self, now: Timestamp, parts: &[PartId]) {
        for part in self.suspects_among(parts) {
            self.trials.insert(part, now + HISTORY);
        }
    }

    /// Ends a trial that had no result.
    pub fn end_trial(&mut self, parts: &[PartId]) {
        for part in parts {
            self.trials.remove(part);
        }
    }

    /// Returns what other entries need to know; `None` if there is nothing.
    pub fn news(&self, now: Timestamp) -> Option<SuspectNews> {
        if self.crashes.is_empty() {
            return None;
        }
        let now = now + HISTORY;
        let mut parts: Vec<PartId> = self.crashes.iter().flat_map(Crash::parts).collect();
        parts.sort_unstable();
        parts.dedup();
        let crashes = self.crashes.iter().map(|it| CrashReport {
            server: it.server,
            age_ms: age_ms(now, it.at),
            requests: it.requests.clone(),
        });
        Some(SuspectNews {
            crashes: crashes.collect(),
            served: ages(now, &parts, &self.served),
            trials: ages(now, &parts, &self.trials),
        })
    }

    /// Applies the news of another entry.
    pub fn apply_news(&mut self, now: Timestamp, news: &SuspectNews) -> NewsEffect {
        let now = now + HISTORY;
        for report in &news.crashes {
            let at = time_of(now, report.age_ms);
            self.add_crash(at, report.server, &report.requests);
        }
        let needs_reply = self.knows_more(now, news);
        for PartAge { part, age_ms } in &news.served {
            if self.is_in_crash(*part) {
                self.set_served(*part, time_of(now, *age_ms));
            }
        }
        for PartAge { part, age_ms } in &news.trials {
            let at = time_of(now, *age_ms);
            let trial = self.trials.entry(*part).or_insert(at);
            *trial = at.max(*trial);
        }
        NewsEffect {
            is_new: self.conclude(now),
            needs_reply,
        }
    }

    /// Returns whether this entry knows of a served part that the sender of some news would judge
    /// otherwise if it knew.
    fn knows_more(&self, now: Timestamp, news: &SuspectNews) -> bool {
        let told = |part: PartId| {
            let told = news.served.iter().find(|it| it.part == part);
            told.map(|it| time_of(now, it.age_ms))
        };
        news.crashes.iter().any(|report| {
            let crashed_at = time_of(now, report.age_ms);
            let parts = report.requests.iter().flatten();
            parts.copied().any(|part| {
                let (known, told) = (self.served.get(&part), told(part));
                let clears = |it: Timestamp| it > crashed_at;
                known.is_some_and(|it| told.is_none_or(|told| clears(*it) && !clears(told)))
            })
        })
    }

    /// Returns when the suspects of the last crash of some parts have had time to be cleared;
    /// `None` without suspects.
    fn settled_at(&self, suspects: &[PartId]) -> Option<Timestamp> {
        let suspects = suspects.iter().filter_map(|it| self.suspects.get(it));
        let last = suspects.map(|it| it.last_crash).max();
        last.map(|it| it + self.config.settle_time)
    }

    /// Returns from when a request whose suspects are `among` may try one of them: early if it has
    /// only some of the suspects of each crash, since one of the others may be the cause.
    fn trial_due(&self, part: PartId, among: &[PartId]) -> Timestamp {
        let Some(suspect) = self.suspects.get(&part) else {
            return Timestamp::ZERO;
        };
        let has_all = |group: &[PartId]| group.iter().all(|it| among.contains(it));
        let hold = match suspect.groups.iter().any(|group| has_all(group)) {
            true => self.hold_time(suspect.crashes),
            false => self.config.shared_hold,
        };
        suspect.last_crash + hold
    }

    /// Returns the time for which a suspect is held after its last crash.
    fn hold_time(&self, crashes: u32) -> Duration {
        let doublings = crashes.saturating_sub(1).min(MAX_DOUBLINGS);
        let hold = self.config.first_hold * 2_u32.pow(doublings);
        hold.min(self.config.max_hold)
    }

    /// Returns whether a part belongs to a crash that is kept.
    fn is_in_crash(&self, part: PartId) -> bool {
        let mut requests = self.crashes.iter().flat_map(|it| &it.requests);
        requests.any(|it| it.contains(&part))
    }

    /// Records when a part was served.
    fn set_served(&mut self, part: PartId, at: Timestamp) {
        if self.served.len() >= self.config.max_served && !self.served.contains_key(&part) {
            self.forget_served();
        }
        let served = self.served.entry(part).or_insert(at);
        *served = at.max(*served);
        self.trials.remove(&part);
    }

    /// Forgets the half of the served parts that was served first.
    fn forget_served(&mut self) {
        let mut times: Vec<Timestamp> = self.served.values().copied().collect();
        let middle = times.len() / 2;
        let (_, median, _) = times.select_nth_unstable(middle);
        let median = *median;
        self.served.retain(|_, at| *at > median);
    }

    /// Adds the requests of a crash; two reports on one server at about the same time are of one
    /// crash.
    fn add_crash(&mut self, at: Timestamp, server: ServerTag, requests: &[Vec<PartId>]) {
        let window = self.config.crash_window;
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

    /// Draws the conclusions from what is known; returns whether the suspects are others than
    /// before.
    fn conclude(&mut self, now: Timestamp) -> bool {
        self.forget_crashes(now);
        let mut suspects: FastMap<PartId, Suspect> = FastMap::default();
        for crash in &self.crashes {
            let group = self.suspects_of(crash);
            for part in &group {
                let suspect = suspects.entry(*part).or_insert_with(|| Suspect {
                    crashes: self.count_crashes(*part),
                    last_crash: crash.at,
                    groups: Vec::new(),
                });
                suspect.last_crash = suspect.last_crash.max(crash.at);
                suspect.groups.push(group.clone());
            }
        }
        let is_before_trial = |part: &PartId, began: Timestamp| {
            let suspect = suspects.get(part);
            suspect.is_some_and(|it| it.last_crash < began)
        };
        self.trials
            .retain(|part, began| is_before_trial(part, *began));
        let has_changed = suspects.len() != self.suspects.len()
            || suspects.iter().any(|(part, it)| {
                let before = self.suspects.get(part);
                before.is_none_or(|before| before.crashes != it.crashes)
            });
        self.suspects = suspects;
        has_changed
    }

    /// Returns the suspects of a crash: of its parts not served since, those never served or, if
    /// there are none, those of a second crash; of these the ones with the most crashes.
    fn suspects_of(&self, crash: &Crash) -> Vec<PartId> {
        let mut candidates = crash.parts();
        candidates.retain(|it| !self.is_served_after(*it, crash.at));
        match candidates.iter().any(|it| !self.served.contains_key(it)) {
            true => candidates.retain(|it| !self.served.contains_key(it)),
            false => candidates.retain(|it| self.count_crashes(*it) > 1),
        }
        let most = candidates.iter().map(|it| self.count_crashes(*it)).max();
        candidates.retain(|it| Some(self.count_crashes(*it)) == most);
        match candidates.len() <= self.config.max_suspects {
            true => candidates,
            false => Vec::new(),
        }
    }

    /// Returns the number of crashes that involved a part since it was served last.
    fn count_crashes(&self, part: PartId) -> u32 {
        let crashes = self.crashes.iter();
        let involved = crashes.filter(|it| it.requests.iter().any(|it| it.contains(&part)));
        let counted = involved.filter(|it| !self.is_served_after(part, it.at));
        counted.count() as u32
    }

    fn is_served_after(&self, part: PartId, at: Timestamp) -> bool {
        self.served.get(&part).is_some_and(|served| *served > at)
    }

    /// Forgets crashes that are old, and those beyond the maximum number: first those without
    /// suspects, then the oldest.
    fn forget_crashes(&mut self, now: Timestamp) {
        let suspicious: Vec<bool> = self
            .crashes
            .iter()
            .map(|it| !self.suspects_of(it).is_empty())
            .collect();
        let age_limit = |is_suspicious: bool| match is_suspicious {
            true => self.config.max_hold * 2,
            false => self.config.first_hold,
        };
        let crashes = std::mem::take(&mut self.crashes).into_iter();
        let mut kept: Vec<(bool, Crash)> = suspicious.into_iter().zip(crashes).collect();
        kept.retain(|(is_suspicious, it)| now < it.at + age_limit(*is_suspicious));
        kept.sort_by_key(|(is_suspicious, it)| std::cmp::Reverse((*is_suspicious, it.at)));
        kept.truncate(self.config.max_crashes);
        self.crashes = kept.into_iter().map(|(_, it)| it).collect();
    }
}

/// Number of doublings of the hold time beyond which it doesn't grow.
const MAX_DOUBLINGS: u32 = 16;

/// Returns the ages of the parts whose time is known.
fn ages(now: Timestamp, parts: &[PartId], times: &FastMap<PartId, Timestamp>) -> Vec<PartAge> {
    let known = parts.iter().filter_map(|it| Some((*it, *times.get(it)?)));
    let aged = known.map(|(part, at)| PartAge {
        part,
        age_ms: age_ms(now, at),
    });
    aged.collect()
}

fn age_ms(now: Timestamp, at: Timestamp) -> u32 {
    u32::try_from(now.saturating_sub(at).as_millis()).unwrap_or(u32::MAX)
}

fn time_of(now: Timestamp, age_ms: u32) -> Timestamp {
    now.saturating_sub(Duration::from_millis(u64::from(age_ms)))
}
