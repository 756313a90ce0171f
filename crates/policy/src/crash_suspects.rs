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
//! since they were served; of these, the ones at positions of a prompt where hardly any part was ever
//! served, and the ones in the most crashes. Entries share crashes and what they know of the parts involved, and each
//! draws the conclusions itself. A suspect is held for a time that doubles with each of its crashes;
//! then one request at a time may try it again.
//!
//! Several parts may crash servers at the same time. So while a suspect is held, other parts that
//! were never served are held as well if hardly any part was ever served at its position: there the
//! next one would probably crash a server, too.

use std::time::Duration;

use jj_utils::{
    clock::Timestamp,
    collections::{FastMap, FastSet},
    common_derives,
};

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
        /// Time for each crash after which a request may try some of several candidates of it.
        pub shared_hold: Duration,
        /// Time after which a trial without a result no longer excludes another one.
        pub trial_timeout: Duration,
        /// Two reports on one server within this time are of the same crash.
        pub crash_window: Duration,
        /// Number of parts served at a position of prompts from which others there are less suspect.
        pub min_served: usize,
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
            min_served: 3,
            max_suspects: 6,
            max_crashes: MAX_CRASHES,
            max_served: 16_384,
        }
    }
}

/// Maximum number of crashes in a message.
pub const MAX_CRASHES: usize = 8;

/// Maximum number of requests of one crash.
pub const MAX_REQUESTS: usize = 3;

/// Maximum number of parts of one request.
pub const MAX_PARTS: usize = 8;

/// Position of a part in its prompt, counted from 0.
pub type PartPosition = u8;

common_derives! {wire:
    /// Part of the prompt of a request that was lost in a crash.
    #[derive(Copy, Eq, PartialOrd, Ord)]
    pub struct LostPart {
        /// The part.
        pub part: PartId,
        /// Its position.
        pub position: PartPosition,
    }
}

common_derives! {wire:
    /// A server that crashed while it was about to respond to requests.
    #[derive(Eq)]
    pub struct CrashReport {
        /// The server.
        pub server: ServerTag,
        /// Time since the crash, in milliseconds.
        pub age_ms: u32,
        /// Shared parts of the prompts of these requests.
        pub requests: Vec<Vec<LostPart>>,
    }
}

common_derives! {wire:
    /// Part that was served.
    #[derive(Copy, Eq)]
    pub struct ServedPart {
        /// The part.
        pub part: PartId,
        /// Its position in the prompt that was served last.
        pub position: PartPosition,
        /// Time since then, in milliseconds.
        pub age_ms: u32,
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
    requests: Vec<Vec<LostPart>>,
}

impl Crash {
    fn lost_parts(&self) -> impl Iterator<Item = &LostPart> {
        self.requests.iter().flatten()
    }

    fn involves(&self, part: PartId) -> bool {
        self.lost_parts().any(|it| it.part == part)
    }

    /// Adds a request. If there are too many, the same ones are kept whatever their order was.
    fn add_request(&mut self, parts: &[LostPart]) {
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
    /// The candidates of each crash of which it is a suspect.
    alternatives: Vec<Vec<PartId>>,
}

impl Suspect {
    /// Returns whether it is the only suspect of some crash.
    fn is_sole(&self) -> bool {
        self.alternatives.iter().any(|it| it.len() == 1)
    }
}

/// Last time at which a part was served.
#[derive(Debug, Clone, Copy)]
struct Served {
    at: Timestamp,
    position: PartPosition,
}

/// Crashes, parts that were served, and the conclusions from both. Times are shifted by
/// [`HISTORY`].
#[derive(Debug, Default)]
pub struct CrashSuspects {
    config: SuspectConfig,
    crashes: Vec<Crash>,
    /// When each part was served last.
    served: FastMap<PartId, Served>,
    /// Number of parts in `served` by position.
    served_at: FastMap<PartPosition, usize>,
    /// When the running trial of a suspect began.
    trials: FastMap<PartId, Timestamp>,
    /// Conclusions from the crashes and the served parts.
    suspects: FastMap<PartId, Suspect>,
    /// Positions at which parts that were never served are held, and the last crash by a part there.
    doubtful: FastMap<PartPosition, Timestamp>,
}

/// Added to all times that are kept, so that those before the start of this process's clock, of
/// which other entries tell, can be represented.
const HISTORY: Duration = Duration::from_secs(24 * 3_600);

impl CrashSuspects {
    /// Records that the response to a request with these shared parts has begun; returns whether
    /// that has changed the suspects.
    pub fn record_served(&mut self, now: Timestamp, parts: &[PartId]) -> bool {
        let now = now + HISTORY;
        let mut may_change = false;
        for (position, part) in (0..).zip(parts) {
            let is_new = self.set_served(*part, Served { at: now, position });
            may_change |= is_new && self.doubtful.contains_key(&position);
            may_change |= self.is_in_crash(*part);
        }
        may_change && self.conclude(now)
    }

    /// Records that a server crashed when it was about to respond to a request with these shared
    /// parts; returns whether that has changed the suspects.
    pub fn record_crash(&mut self, now: Timestamp, server: ServerTag, parts: &[PartId]) -> bool {
        let lost = (0..).zip(parts).map(|(position, part)| LostPart {
            part: *part,
            position,
        });
        let mut lost: Vec<LostPart> = lost.collect();
        // Parts that were never served say most, if there are too many.
        lost.sort_by_key(|it| self.served.contains_key(&it.part));
        self.add_crash(now + HISTORY, server, &[lost]);
        self.conclude(now + HISTORY)
    }

    /// Decides whether a request with these shared parts may be sent to a server.
    pub fn admission(&self, now: Timestamp, parts: &[PartId]) -> PromptAdmission {
        let now = now + HISTORY;
        let suspects = self.suspects_among(parts);
        if suspects.is_empty() {
            return self.admission_of_unknown(now, parts);
        }
        let settled_at = self.last_crash(&suspects) + self.config.settle_time;
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

    /// Decides on a request without suspects, which may have parts that were never served at a
    /// doubtful position.
    fn admission_of_unknown(&self, now: Timestamp, parts: &[PartId]) -> PromptAdmission {
        let unknown = (0..)
            .zip(parts)
            .filter(|(_, it)| !self.served.contains_key(it));
        let crashes = unknown.filter_map(|(position, _)| self.doubtful.get(&position));
        let Some(last_crash) = crashes.max() else {
            return PromptAdmission::Allowed;
        };
        let settled_at = *last_crash + self.config.settle_time;
        let end = *last_crash + self.config.first_hold;
        match now {
            _ if now < settled_at => PromptAdmission::Wait {
                until: settled_at - HISTORY,
            },
            _ if now < end => PromptAdmission::Held {
                remaining: end - now,
            },
            _ => PromptAdmission::Allowed,
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
        let crashes = self.crashes.iter().map(|it| CrashReport {
            server: it.server,
            age_ms: age_ms(now, it.at),
            requests: it.requests.clone(),
        });
        let trials = self.trials.iter().map(|(part, began)| TrialReport {
            part: *part,
            age_ms: age_ms(now, *began),
        });
        Some(SuspectNews {
            crashes: crashes.collect(),
            served: self.served_to_tell(now),
            trials: trials.collect(),
        })
    }

    /// Returns when the parts of crashes were served, and for each of their positions enough parts
    /// served there to show that it is usual.
    fn served_to_tell(&self, now: Timestamp) -> Vec<ServedPart> {
        let lost = || self.crashes.iter().flat_map(Crash::lost_parts);
        let mut parts: Vec<PartId> = lost().map(|it| it.part).collect();
        let positions: FastSet<PartPosition> = lost().map(|it| it.position).collect();
        for position in positions {
            parts.extend(self.served_at_position(position));
        }
        parts.sort_unstable();
        parts.dedup();
        let known = parts
            .iter()
            .filter_map(|it| Some((*it, self.served.get(it)?)));
        let told = known.map(|(part, served)| ServedPart {
            part,
            position: served.position,
            age_ms: age_ms(now, served.at),
        });
        told.collect()
    }

    /// Returns parts served at a position, as many as make it a usual one.
    fn served_at_position(&self, position: PartPosition) -> impl Iterator<Item = PartId> {
        let served = self.served.iter();
        let there = served.filter(move |(_, it)| it.position == position);
        there.map(|(part, _)| *part).take(self.config.min_served)
    }

    /// Applies the news of another entry.
    pub fn apply_news(&mut self, now: Timestamp, news: &SuspectNews) -> NewsEffect {
        let now = now + HISTORY;
        for report in &news.crashes {
            let at = time_of(now, report.age_ms);
            self.add_crash(at, report.server, &report.requests);
        }
        let needs_reply = self.knows_more(now, news);
        for it in &news.served {
            let at = time_of(now, it.age_ms);
            let position = it.position;
            self.set_served(it.part, Served { at, position });
        }
        for TrialReport { part, age_ms } in &news.trials {
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
        let told = |part: PartId| news.served.iter().find(|it| it.part == part);
        let knows_more_of = |crashed_at: Timestamp, part: PartId| {
            let clears = |served_at: Timestamp| served_at > crashed_at;
            let known = self.served.get(&part).map(|it| it.at);
            match (known, told(part)) {
                (Some(known), Some(told)) => clears(known) && !clears(time_of(now, told.age_ms)),
                (known, told) => known.is_some() && told.is_none(),
            }
        };
        let knows_more_at = |position: PartPosition| {
            let there = news.served.iter().filter(|it| it.position == position);
            there.count() < self.config.min_served
                && self
                    .served_at_position(position)
                    .any(|it| told(it).is_none())
        };
        news.crashes.iter().any(|report| {
            let at = time_of(now, report.age_ms);
            let mut lost = report.requests.iter().flatten();
            lost.any(|it| knows_more_of(at, it.part) || knows_more_at(it.position))
        })
    }

    /// Returns the last crash of any of some suspects.
    fn last_crash(&self, suspects: &[PartId]) -> Timestamp {
        let suspects = suspects.iter().filter_map(|it| self.suspects.get(it));
        suspects.map(|it| it.last_crash).max().unwrap_or_default()
    }

    /// Returns from when a request whose suspects are `among` may try one of them: early if each
    /// crash has candidates that the request doesn't have, since one of them may be the cause.
    fn trial_due(&self, part: PartId, among: &[PartId]) -> Timestamp {
        let Some(suspect) = self.suspects.get(&part) else {
            return Timestamp::ZERO;
        };
        let has_all = |candidates: &[PartId]| candidates.iter().all(|it| among.contains(it));
        let hold = match suspect.alternatives.iter().any(|it| has_all(it)) {
            true => self.hold_time(suspect.crashes),
            false => self.config.shared_hold * suspect.crashes,
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
        self.crashes.iter().any(|it| it.involves(part))
    }

    /// Records when and where a part was served; returns whether it never was before.
    fn set_served(&mut self, part: PartId, served: Served) -> bool {
        self.trials.remove(&part);
        if self.served.len() >= self.config.max_served && !self.served.contains_key(&part) {
            self.forget_served();
        }
        let known = self.served.get(&part).copied();
        let merged = known.map_or(served, |known| Served {
            at: known.at.max(served.at),
            position: known.position.min(served.position),
        });
        self.served.insert(part, merged);
        if let Some(known) = known {
            self.count_at(known.position, false);
        }
        self.count_at(merged.position, true);
        known.is_none()
    }

    /// Counts a part as served at a position, or no longer.
    fn count_at(&mut self, position: PartPosition, is_there: bool) {
        let count = self.served_at.entry(position).or_default();
        *count = match is_there {
            true => *count + 1,
            false => count.saturating_sub(1),
        };
    }

    /// Forgets the half of the served parts that was served first.
    fn forget_served(&mut self) {
        let mut times: Vec<Timestamp> = self.served.values().map(|it| it.at).collect();
        let middle = times.len() / 2;
        let (_, median, _) = times.select_nth_unstable(middle);
        let median = *median;
        self.served.retain(|_, it| it.at > median);
        self.served_at.clear();
        let positions: Vec<PartPosition> = self.served.values().map(|it| it.position).collect();
        for position in positions {
            self.count_at(position, true);
        }
    }

    /// Adds the requests of a crash; two reports on one server at about the same time are of one
    /// crash.
    fn add_crash(&mut self, at: Timestamp, server: ServerTag, requests: &[Vec<LostPart>]) {
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
            let candidates = self.candidates(crash);
            for part in self.suspects_of(&candidates) {
                let suspect = suspects.entry(part).or_insert_with(|| Suspect {
                    crashes: self.count_crashes(part),
                    last_crash: crash.at,
                    alternatives: Vec::new(),
                });
                suspect.last_crash = suspect.last_crash.max(crash.at);
                suspect.alternatives.push(candidates.clone());
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
        self.doubtful = self.doubtful_positions();
        has_changed
    }

    /// Returns the unusual positions of parts that are the only suspect of a crash, with the last
    /// crash of each. Without a usual one to compare with there is none: all may be unknown yet.
    fn doubtful_positions(&self) -> FastMap<PartPosition, Timestamp> {
        let mut positions = FastMap::default();
        if !self.served_at.keys().any(|it| self.is_usual_position(*it)) {
            return positions;
        }
        for lost in self.crashes.iter().flat_map(Crash::lost_parts) {
            let suspect = self.suspects.get(&lost.part);
            let Some(suspect) = suspect.filter(|it| it.is_sole()) else {
                continue;
            };
            if self.is_usual_position(lost.position) {
                continue;
            }
            let last_crash = positions.entry(lost.position).or_insert(suspect.last_crash);
            *last_crash = suspect.last_crash.max(*last_crash);
        }
        positions
    }

    /// Returns the parts of a crash that may have caused it: of those not served since, the ones
    /// never served or, if there are none, the ones of a second crash. Parts at positions where
    /// others were served are left out if there are also some where hardly any was.
    fn candidates(&self, crash: &Crash) -> Vec<PartId> {
        let mut lost: Vec<LostPart> = crash.lost_parts().copied().collect();
        lost.retain(|it| !self.is_served_after(it.part, crash.at));
        match lost.iter().any(|it| !self.served.contains_key(&it.part)) {
            true => lost.retain(|it| !self.served.contains_key(&it.part)),
            false => lost.retain(|it| self.count_crashes(it.part) > 1),
        }
        if lost.iter().any(|it| !self.is_usual_position(it.position)) {
            lost.retain(|it| !self.is_usual_position(it.position));
        }
        let mut parts: Vec<PartId> = lost.into_iter().map(|it| it.part).collect();
        parts.sort_unstable();
        parts.dedup();
        parts
    }

    /// Returns the suspects among the candidates of a crash: those with the most crashes.
    fn suspects_of(&self, candidates: &[PartId]) -> Vec<PartId> {
        if candidates.len() > self.config.max_suspects {
            return Vec::new();
        }
        let most = candidates.iter().map(|it| self.count_crashes(*it)).max();
        let candidates = candidates.iter().copied();
        candidates
            .filter(|it| Some(self.count_crashes(*it)) == most)
            .collect()
    }

    /// Returns whether other parts were served at a position.
    fn is_usual_position(&self, position: PartPosition) -> bool {
        let served = self.served_at.get(&position);
        served.is_some_and(|it| *it >= self.config.min_served)
    }

    /// Returns the number of crashes that involved a part since it was served last.
    fn count_crashes(&self, part: PartId) -> u32 {
        let crashes = self.crashes.iter();
        let involved = crashes.filter(|it| it.involves(part));
        let counted = involved.filter(|it| !self.is_served_after(part, it.at));
        counted.count() as u32
    }

    fn is_served_after(&self, part: PartId, at: Timestamp) -> bool {
        self.served.get(&part).is_some_and(|it| it.at > at)
    }

    /// Forgets crashes that are old, and those beyond the maximum number: first those without
    /// suspects, then the oldest.
    fn forget_crashes(&mut self, now: Timestamp) {
        let suspicious: Vec<bool> = self
            .crashes
            .iter()
            .map(|it| !self.suspects_of(&self.candidates(it)).is_empty())
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

fn age_ms(now: Timestamp, at: Timestamp) -> u32 {
    u32::try_from(now.saturating_sub(at).as_millis()).unwrap_or(u32::MAX)
}

fn time_of(now: Timestamp, age_ms: u32) -> Timestamp {
    now.saturating_sub(Duration::from_millis(u64::from(age_ms)))
}
