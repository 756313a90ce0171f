//! Finds the request, or the part of a prompt, that crashes backend servers, so that it is kept away
//! from them.
//!
//! Load pattern: one part of a prompt ends each server that begins to respond to it, whatever else
//! the prompt holds, or one request does so by its whole content. It arrives at all entries, and is
//! retried by its callers and after an outage. Sound requests share the other parts.
//!
//! A request as a whole counts as a part that only its repeats share, so that what holds for parts
//! holds for plain requests, too.
//!
//! A part that was served, in a request whose response has begun, is not the cause of an earlier
//! crash. The suspects of a crash are the other parts of the requests that may have been running:
//! those never served at all or, if there are none, those that have been in a second crash since they
//! were served; of these, the ones at positions of a prompt where hardly any part was ever served, and
//! the ones in the most crashes. Entries share crashes and what they know of the parts involved, and
//! each draws the conclusions itself. A suspect is held for a time that doubles with each of its
//! crashes; then one request at a time may try it again.
//!
//! A crash ends requests that wait at the server as well. One that is known to have waited is
//! suspected once it is lost again, and one that may have waited no more if several crashes have no
//! request in common: then something else crashes servers, and sound requests have to be served.
//!
//! Several parts may crash servers at the same time. So while a suspect is held, other parts that
//! were never served are held as well if hardly any part was ever served at its position: there the
//! next one would probably crash a server, too.

use std::time::Duration;

use jj_utils::{clock::Timestamp, collections::FastMap, common_derives};

use crate::{
    crash_log::{Crash, CrashLog},
    crash_reports::{
        LossEvidence, LostRequest, MAX_CRASHES, PartId, PartPosition, RequestPart, WHOLE_REQUEST,
    },
    load_sums::ServerTag,
    lost_requests::LostRequests,
    served_parts::ServedParts,
    suspect::{Suspect, SuspectReason},
};

common_derives! {value:
    /// Times and limits.
    pub struct SuspectConfig {
        /// Time after a crash in which other entries may clear its suspects.
        pub settle_time: Duration,
        /// Time for which a suspect is held after its first crash.
        pub first_hold: Duration,
        /// Maximum time for which a suspect is held.
        pub max_hold: Duration,
        /// Time for which a request as a whole is held after its first crash.
        pub request_hold: Duration,
        /// Time for each crash after which a request may try some of several candidates of it.
        pub shared_hold: Duration,
        /// Time after which a trial without a result no longer excludes another one.
        pub trial_timeout: Duration,
        /// Two reports on one server within this time are of the same crash.
        pub crash_window: Duration,
        /// Number of parts served at a position of prompts from which others there are less suspect.
        pub min_served: usize,
        /// Maximum number of suspects of one crash, of parts and of requests each; more say too little
        /// about each.
        pub max_suspects: usize,
        /// Number of crashes without a common request up to which one that may just have waited is
        /// suspected.
        pub max_unexplained: usize,
        /// Two crashes within this time may have a common cause that is no request.
        pub common_cause_window: Duration,
        /// Maximum number of crashes that are kept.
        pub max_crashes: usize,
        /// Maximum number of served parts of prompts, and of served requests, that are remembered.
        pub max_served: usize,
    }
}

impl Default for SuspectConfig {
    fn default() -> Self {
        Self {
            settle_time: Duration::from_millis(60),
            first_hold: Duration::from_secs(60),
            max_hold: Duration::from_secs(3_600),
            request_hold: Duration::from_secs(30),
            shared_hold: Duration::from_secs(3),
            trial_timeout: Duration::from_secs(3),
            crash_window: Duration::from_secs(2),
            min_served: 3,
            max_suspects: 6,
            max_unexplained: 3,
            common_cause_window: Duration::from_secs(1),
            max_crashes: MAX_CRASHES,
            max_served: 16_384,
        }
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

/// Crashes, parts that were served, and the conclusions from both. Times are shifted by
/// [`HISTORY`].
#[derive(Debug, Default)]
pub struct CrashSuspects {
    pub(crate) config: SuspectConfig,
    pub(crate) crashes: CrashLog,
    pub(crate) lost: LostRequests,
    pub(crate) served: ServedParts,
    /// When the running trial of a suspect began.
    pub(crate) trials: FastMap<PartId, Timestamp>,
    /// Conclusions from the crashes and the served parts.
    suspects: FastMap<PartId, Suspect>,
    /// Positions at which parts that were never served are held, and the last crash by a part there.
    doubtful: FastMap<PartPosition, Timestamp>,
}

/// Added to all times that are kept, so that those before the start of this process's clock, of
/// which other entries tell, can be represented.
pub(crate) const HISTORY: Duration = Duration::from_secs(24 * 3_600);

impl CrashSuspects {
    /// Records that the response to a request with these parts has begun; returns whether that has
    /// changed the suspects.
    pub fn record_served(&mut self, now: Timestamp, parts: &[RequestPart]) -> bool {
        let now = now + HISTORY;
        let mut may_change = false;
        for part in parts.iter().copied() {
            let is_new = self.set_served(now, part);
            may_change |= is_new && self.doubtful.contains_key(&part.position);
            may_change |= self.crashes.involves(part.part) || self.lost.involves(part.part);
        }
        may_change && self.conclude(now)
    }

    /// Records that a server crashed when it was about to respond to a request with these parts;
    /// returns whether that has changed the suspects.
    pub fn record_crash(
        &mut self,
        now: Timestamp,
        server: ServerTag,
        parts: &[RequestPart],
    ) -> bool {
        self.record_loss(now, server, parts, LossEvidence::Began)
    }

    /// Records that a request with these parts was lost as a server crashed; returns whether that has
    /// changed the suspects. A request that is known to have waited is suspected only if it is lost
    /// again.
    pub fn record_loss(
        &mut self,
        now: Timestamp,
        server: ServerTag,
        parts: &[RequestPart],
        evidence: LossEvidence,
    ) -> bool {
        self.add_losses(now + HISTORY, server, &lost_requests(parts, evidence));
        if evidence == LossEvidence::Waiting {
            return self.conclude(now + HISTORY);
        }
        let mut lost = parts.to_vec();
        // The request as a whole and parts that were never served say most, if there are too many.
        lost.sort_by_key(|it| (!it.is_whole_request(), self.served.contains(it)));
        self.add_crash(now + HISTORY, server, &[lost]);
        self.conclude(now + HISTORY)
    }

    /// Decides whether a request with these parts may be sent to a server.
    pub fn admission(&self, now: Timestamp, parts: &[RequestPart]) -> PromptAdmission {
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
    fn admission_of_unknown(&self, now: Timestamp, parts: &[RequestPart]) -> PromptAdmission {
        let unknown = parts.iter().filter(|it| !self.served.contains(it));
        let crashes = unknown.filter_map(|it| self.doubtful.get(&it.position));
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
    pub fn suspects_among(&self, parts: &[RequestPart]) -> Vec<PartId> {
        let parts = parts.iter().map(|it| it.part);
        parts.filter(|it| self.suspects.contains_key(it)).collect()
    }

    /// Returns all suspects, in ascending order.
    pub fn all(&self) -> Vec<PartId> {
        let mut parts: Vec<PartId> = self.suspects.keys().copied().collect();
        parts.sort_unstable();
        parts
    }

    /// Returns whether a held request has to be withdrawn from its server. One that was just lost beside
    /// others is not: its result shows whether it is sound.
    pub fn must_withdraw(&self, parts: &[RequestPart]) -> bool {
        let suspects = self.suspects_among(parts);
        let is_likely = |part: &PartId| {
            let suspect = self.suspects.get(part);
            suspect.is_some_and(|it| !it.is_whole_request || it.crashes > 1)
                || self.lost_beside(*part) == 0
        };
        suspects.is_empty() || suspects.iter().any(is_likely)
    }

    /// Returns why each suspect is one, in ascending order of the parts.
    pub fn reasons(&self) -> Vec<SuspectReason> {
        let mut reasons: Vec<SuspectReason> = self
            .suspects
            .iter()
            .map(|(part, suspect)| SuspectReason {
                part: *part,
                is_whole_request: suspect.is_whole_request,
                crashes: suspect.crashes,
                lost_beside: self.lost_beside(*part),
                was_served: self.served.last_served(*part).is_some(),
            })
            .collect();
        reasons.sort_unstable_by_key(|it| it.part);
        reasons
    }

    /// Returns the most requests that were lost in a crash together with one that has a part.
    fn lost_beside(&self, part: PartId) -> usize {
        let window = self.config.crash_window;
        let crashes = self.crashes.iter().filter(|it| it.involves(part));
        let counts = crashes.map(|it| self.lost.count_running(it.server, it.at, window));
        let most = counts.chain(self.lost.most_with(part)).max();
        most.unwrap_or_default().saturating_sub(1)
    }

    /// Records that a request with these parts is sent to try its suspects.
    pub fn begin_trial(&mut self, now: Timestamp, parts: &[RequestPart]) {
        for part in self.suspects_among(parts) {
            self.trials.insert(part, now + HISTORY);
        }
    }

    /// Ends a trial that had no result.
    pub fn end_trial(&mut self, parts: &[RequestPart]) {
        for RequestPart { part, .. } in parts {
            self.trials.remove(part);
        }
    }

    /// Returns the last crash of any of some suspects.
    fn last_crash(&self, suspects: &[PartId]) -> Timestamp {
        let suspects = suspects.iter().filter_map(|it| self.suspects.get(it));
        suspects.map(|it| it.last_crash).max().unwrap_or_default()
    }

    /// Returns from when a request whose suspects are `among` may try one of them: early if it is a
    /// part of prompts and each crash has candidates that the request doesn't have, since one of
    /// them may be the cause.
    fn trial_due(&self, part: PartId, among: &[PartId]) -> Timestamp {
        let Some(suspect) = self.suspects.get(&part) else {
            return Timestamp::ZERO;
        };
        if self.is_untested(suspect) {
            return suspect.last_crash;
        }
        let has_all = |candidates: &[PartId]| candidates.iter().all(|it| among.contains(it));
        let is_decided = suspect.alternatives.iter().any(|it| has_all(it));
        let hold = match is_decided || suspect.is_whole_request {
            true => suspect.hold_time(&self.config),
            false => self.config.shared_hold * suspect.crashes,
        };
        suspect.last_crash + hold
    }

    /// Returns whether a suspect is a part of prompts of which nothing is known: no prompt was ever
    /// served, and the request as a whole may be the cause as well. Most requests may have that part, so
    /// that one of them has to try it at once.
    fn is_untested(&self, suspect: &Suspect) -> bool {
        suspect.has_request && suspect.crashes == 1 && self.served.max_count() == 0
    }

    /// Records when a part was served, and where; returns whether it never was before.
    pub(crate) fn set_served(&mut self, at: Timestamp, part: RequestPart) -> bool {
        self.trials.remove(&part.part);
        self.served.record(at, part, self.config.max_served)
    }

    /// Adds the requests of a crash.
    pub(crate) fn add_crash(
        &mut self,
        at: Timestamp,
        server: ServerTag,
        requests: &[Vec<RequestPart>],
    ) {
        let window = self.config.crash_window;
        self.crashes.add(at, server, requests, window);
    }

    /// Adds the fingerprints of requests that were lost in a crash; returns whether any is new.
    pub(crate) fn add_losses(
        &mut self,
        at: Timestamp,
        server: ServerTag,
        requests: &[LostRequest],
    ) -> bool {
        let window = self.config.crash_window;
        self.lost.add(at, server, requests, window)
    }

    /// Draws the conclusions from what is known; returns whether the suspects are others than
    /// before.
    pub(crate) fn conclude(&mut self, now: Timestamp) -> bool {
        self.forget_crashes(now);
        self.lost.forget(now, self.config.max_hold * 2);
        let mut suspects = self.repeated_suspects();
        let has_other_cause = self.have_crashes_other_cause(now);
        for crash in self.crashes.iter() {
            if has_other_cause && self.is_unclear(crash) {
                continue;
            }
            let candidates = self.candidates(crash);
            let of_prompts = candidates.iter().filter(|it| !it.is_whole_request());
            let alternatives: Vec<PartId> = of_prompts.map(|it| it.part).collect();
            let crash_suspects = self.suspects_of(crash, &candidates);
            let has_request = crash_suspects.iter().any(RequestPart::is_whole_request);
            for it in crash_suspects {
                let suspect = suspects.entry(it.part).or_insert_with(|| Suspect {
                    crashes: self.count_crashes(it.part),
                    last_crash: crash.at,
                    is_whole_request: it.is_whole_request(),
                    has_request: has_request && !it.is_whole_request(),
                    alternatives: Vec::new(),
                });
                suspect.last_crash = suspect.last_crash.max(crash.at);
                suspect.alternatives.push(alternatives.clone());
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
    /// crash of each; none where there is no usual one to compare with.
    fn doubtful_positions(&self) -> FastMap<PartPosition, Timestamp> {
        let mut positions = FastMap::default();
        if !self.has_usual_position() {
            return positions;
        }
        for lost in self.crashes.lost_parts() {
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
    fn candidates(&self, crash: &Crash) -> Vec<RequestPart> {
        let mut lost: Vec<RequestPart> = crash.lost_parts().copied().collect();
        lost.retain(|it| !self.served.is_served_after(it.part, crash.at));
        match lost.iter().any(|it| !self.served.contains(it)) {
            true => lost.retain(|it| !self.served.contains(it)),
            false => lost.retain(|it| self.count_crashes(it.part) > 1),
        }
        let is_unusual = |it: &RequestPart| !self.is_usual_position(it.position);
        if self.has_usual_position() && lost.iter().any(is_unusual) {
            lost.retain(is_unusual);
        }
        lost.sort_unstable();
        lost.dedup_by_key(|it| it.part);
        lost
    }

    /// Returns the suspects among the candidates of a crash: those with the most crashes, if there are
    /// not too many.
    fn suspects_of(&self, crash: &Crash, candidates: &[RequestPart]) -> Vec<RequestPart> {
        let counts = candidates.iter().map(|it| self.count_crashes(it.part));
        let counted: Vec<(RequestPart, u32)> = candidates.iter().copied().zip(counts).collect();
        let most = counted.iter().map(|(_, count)| *count).max();
        let suspects = counted.into_iter().filter(|(_, it)| Some(*it) == most);
        let suspects = suspects.map(|(part, _)| part);
        let (mut requests, mut parts): (Vec<_>, Vec<_>) =
            suspects.partition(RequestPart::is_whole_request);
        let window = self.config.crash_window;
        let lost_requests = self.lost.count_running(crash.server, crash.at, window);
        if lost_requests.max(requests.len()) > self.config.max_suspects && most < Some(2) {
            requests.clear();
        }
        if parts.len() > self.config.max_suspects {
            parts.clear();
        }
        requests.append(&mut parts);
        requests
    }

    /// Returns whether there is a usual position of prompts. Without one, all may be unknown yet.
    fn has_usual_position(&self) -> bool {
        self.served.max_count() >= self.config.min_served
    }

    /// Returns whether other parts were served at a position. New requests are usual.
    fn is_usual_position(&self, position: PartPosition) -> bool {
        position == WHOLE_REQUEST || self.served.count_at(position) >= self.config.min_served
    }

    /// Returns the number of crashes that involved a part since it was served last.
    fn count_crashes(&self, part: PartId) -> u32 {
        let times = match self.lost.involves(part) {
            true => self.lost.times(part),
            false => self.crashes.times(part),
        };
        self.counted(part, times).len() as u32
    }

    /// Returns those of the times at which a part was lost, in ascending order, that count against it:
    /// those since it was served last. If it was ever served, crashes in quick succession count once:
    /// servers that end together have a common cause.
    fn counted(&self, part: PartId, mut times: Vec<Timestamp>) -> Vec<Timestamp> {
        let Some(last_served) = self.served.last_served(part) else {
            return times;
        };
        times.retain(|it| *it >= last_served);
        times.dedup_by(|later, earlier| *later < *earlier + self.config.common_cause_window);
        times
    }

    /// Returns the requests that were lost in several crashes since they were served last.
    fn repeated_suspects(&self) -> FastMap<PartId, Suspect> {
        let repeated = self.lost.repeated().into_iter();
        let repeated = repeated.filter_map(|it| {
            let times = self.counted(it, self.lost.times(it));
            let last_crash = *times.last().filter(|_| times.len() > 1)?;
            let suspect = Suspect::repeated_request(times.len() as u32, last_crash);
            Some((it, suspect))
        });
        repeated.collect()
    }

    /// Returns whether it is unclear of all requests of a crash if they had begun to run.
    fn is_unclear(&self, crash: &Crash) -> bool {
        let window = self.config.crash_window;
        let best = self.lost.best_evidence(crash.server, crash.at, window);
        best.is_some_and(|it| it < LossEvidence::Began)
    }

    /// Returns whether servers crash for another reason than requests: several have, and no request or
    /// part was lost in two of these crashes.
    fn have_crashes_other_cause(&self, now: Timestamp) -> bool {
        let recent = |it: &&Crash| now < it.at + self.config.first_hold;
        let recent: Vec<&Crash> = self.crashes.iter().filter(recent).collect();
        let is_repeated = |it: &RequestPart| self.count_crashes(it.part) > 1;
        recent.len() > self.config.max_unexplained
            && !recent.iter().any(|it| it.lost_parts().any(is_repeated))
            && self.repeated_suspects().is_empty()
    }

    /// Forgets crashes that are old, and those beyond the maximum number.
    fn forget_crashes(&mut self, now: Timestamp) {
        let has_suspects: Vec<bool> = self
            .crashes
            .iter()
            .map(|it| !self.suspects_of(it, &self.candidates(it)).is_empty())
            .collect();
        let age_limit = |has_suspects: bool| match has_suspects {
            true => self.config.max_hold * 2,
            false => self.config.first_hold,
        };
        let max_crashes = self.config.max_crashes;
        self.crashes
            .forget(now, max_crashes, &has_suspects, age_limit);
    }
}

/// Returns the request among some parts, if they are known to be of one.
fn lost_requests(parts: &[RequestPart], evidence: LossEvidence) -> Vec<LostRequest> {
    let whole = parts.iter().filter(|it| it.is_whole_request());
    whole
        .map(|it| LostRequest {
            request: it.part,
            evidence,
        })
        .collect()
}
