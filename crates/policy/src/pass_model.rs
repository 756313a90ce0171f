//! How much work a lock-step group may be given, so that its passes stay short enough for the pauses
//! between events that callers expect.
//!
//! Every request that runs makes each pass of the whole group longer, and every prompt makes the
//! pass longer in which it is read; a pass that is too long makes every stream of the group late at
//! once. Most of the work is done by experts, and set by set the most loaded rank counts. So what a
//! pass takes beyond its fixed part is told by the work that was given, times the imbalance of the
//! experts, and the imbalance can be read off the passes that were seen.
//!
//! A group that has formed anew begins with a map that knows nothing of the demand. Its imbalance then is
//! no sign of what the next shift does, so it is remembered for a moment only.
//!
//! Load pattern: near the group's capacity, other experts come into demand every few seconds, and
//! the imbalance is three times as high until the expert map has followed. Requests that wait
//! meanwhile must not all be read in one pass after it.

use std::{collections::VecDeque, time::Duration};

use jj_utils::{clock::Timestamp, common_derives};

use crate::catalog::EngineSpec;

common_derives! {value:
    /// Tunables of the admission to a group.
    pub struct PassConfig {
        /// Part of the pause between events that the next pass may take as things are.
        pub max_next_part: f64,
        /// Part of it that a pass may take when the imbalance is as high as it was lately.
        pub max_worst_part: f64,
        /// Time for which a high imbalance is expected to come back: shifts of demand follow each
        /// other at this pace or faster.
        pub peak_hold: Duration,
        /// Time in which the memory of it falls to a half after that.
        pub peak_half_life: Duration,
        /// Time after the formation of a group in which its imbalance is that of the first map, which
        /// won't come back.
        pub formation_period: Duration,
        /// Time for which a high imbalance is expected back in that time.
        pub formation_peak_hold: Duration,
        /// Requests for each server that are always allowed.
        pub min_requests_per_server: f64,
    }
}

impl Default for PassConfig {
    fn default() -> Self {
        Self {
            max_next_part: 0.85,
            max_worst_part: 0.95,
            peak_hold: Duration::from_secs(6),
            peak_half_life: Duration::from_secs(4),
            formation_period: Duration::from_millis(3_500),
            formation_peak_hold: Duration::from_millis(600),
            min_requests_per_server: 3.0,
        }
    }
}

common_derives! {copy:
    /// What the passes of a group consist of, and what they have to keep.
    pub struct PassSpec {
        /// Servers of the group.
        pub ranks: u32,
        /// Pause between events that callers expect at most.
        pub max_event_gap: Duration,
        /// Tokens of each answer that a pass produces.
        pub tokens_per_pass: u32,
        /// Time that a pass takes without any work for tokens.
        pub idle_pass: Duration,
        /// Time that a request adds to the passes of its own server.
        pub time_per_request: Duration,
        /// Time that a million prompt tokens take on one server.
        pub time_per_million_prompt_tokens: Duration,
        /// Part of the work for tokens that experts do, in thousandths.
        pub expert_share_milli: u32,
        /// How much slower than usual the slowest server works, in thousandths.
        pub slowdown_milli: u32,
    }
}

impl PassSpec {
    /// The passes of a group of so many engines; none where they don't work in lock-step.
    pub fn new(engine: &EngineSpec, ranks: usize, gap: Duration) -> Option<Self> {
        let experts = engine.experts?;
        Some(Self {
            ranks: ranks.max(1) as u32,
            max_event_gap: gap,
            tokens_per_pass: engine.steps_per_pass.max(1),
            idle_pass: engine.idle_step * engine.steps_per_pass,
            time_per_request: Duration::from_secs_f64(engine.step_secs_per_request)
                * engine.steps_per_pass,
            time_per_million_prompt_tokens: Duration::from_secs_f64(
                1e6 / engine.prefill_tokens_per_sec.max(1.0),
            ),
            expert_share_milli: experts.share_milli,
            slowdown_milli: 1_000,
        })
    }

    /// The same while the slowest engine works so many times slower than usual. What experts do there goes
    /// to other ranks, but each pass waits for the part that every rank does itself.
    pub fn with_slowdown(self, pace: f64) -> Self {
        Self {
            slowdown_milli: (pace.max(1.0) * 1e3) as u32,
            ..self
        }
    }

    fn pace(&self) -> f64 {
        f64::from(self.slowdown_milli) / 1e3
    }

    /// Part of a pass that experts take where their work is even, in seconds.
    fn even(&self, requests: f64, tokens: f64) -> f64 {
        let writing = self.time_per_request.as_secs_f64() * requests;
        let reading = self.time_per_million_prompt_tokens.as_secs_f64() * tokens / 1e6;
        self.expert_share() * (writing + reading) / f64::from(self.ranks)
    }

    /// Part of a pass that does not depend on the experts, in seconds.
    fn fixed(&self, requests: f64) -> f64 {
        let fullest = requests / f64::from(self.ranks) * FULLEST;
        let own = self.time_per_request.as_secs_f64() * fullest * (1.0 - self.expert_share());
        (self.idle_pass.as_secs_f64() + own) * self.pace()
    }

    fn expert_share(&self) -> f64 {
        f64::from(self.expert_share_milli) / 1e3
    }
}

common_derives! {copy:
    /// What one more request would do to the passes of its group.
    pub struct PassForecast {
        /// Length of the next pass.
        pub next_pass: Duration,
        /// Length of a pass if the imbalance becomes as high again as it was lately.
        pub worst_pass: Duration,
        /// Whether the request may be sent.
        pub has_room: bool,
    }
}

/// Passes that a request waits for and that read its prompt.
const PASSES_BEFORE: u32 = 2;

/// Requests at the fullest server over the mean.
const FULLEST: f64 = 1.3;

/// Weight of the newest pass in the mean of prompt tokens.
const TOKEN_WEIGHT: f64 = 0.1;

/// Highest imbalance that is believed: more is a pause for another reason.
const HIGHEST: f64 = 8.0;

/// Work that a group was given, and how its passes were.
#[derive(Debug, Clone, Default)]
pub struct PassModel {
    /// Prompt tokens of requests by when they were sent.
    reads: VecDeque<(Timestamp, u32)>,
    /// Length of the last pass, and requests at work in it.
    pass: Duration,
    requests: f64,
    /// Imbalance in the last pass.
    now: f64,
    /// High imbalances of the past, each higher than all after it.
    peaks: VecDeque<(Timestamp, f64)>,
    /// When the last pass ended.
    ended: Timestamp,
    /// When the group last formed, where that was seen.
    formed: Option<Timestamp>,
    /// Mean of the prompt tokens that a pass reads.
    tokens: f64,
}

/// Time for which sent prompts are remembered.
const READS_KEPT: Duration = Duration::from_millis(600);

impl PassModel {
    /// Notes that a request with a prompt was sent, here or by another process.
    pub fn record_prompt(&mut self, now: Timestamp, tokens: u32) {
        self.reads.push_back((now, tokens));
        while self
            .reads
            .front()
            .is_some_and(|(at, _)| *at + READS_KEPT < now)
        {
            self.reads.pop_front();
        }
    }

    /// Takes in a pass that has just ended, with so many requests at work.
    pub fn record_pass(
        &mut self,
        config: &PassConfig,
        spec: &PassSpec,
        now: Timestamp,
        pass: Duration,
        requests: u32,
    ) {
        let requests = f64::from(requests);
        // What was read in it had been sent before it began.
        let begun = now.saturating_sub(pass);
        let tokens = self.tokens_between(begun.saturating_sub(pass), begun);
        self.tokens += (tokens - self.tokens) * TOKEN_WEIGHT;
        let experts = (pass.as_secs_f64() - spec.fixed(requests)).max(0.0);
        let even = spec.even(requests, tokens);
        self.forget(config, now);
        self.pass = pass;
        self.requests = requests;
        if even > 0.0 {
            let before = self.now;
            let imbalance = experts / even;
            self.now = imbalance.clamp(1.0, HIGHEST);
            // A single long pass was held up by something else than its work.
            let is_next = begun <= self.ended + pass;
            if is_next && imbalance <= HIGHEST {
                self.remember(now, self.now.min(before));
            }
        }
        self.ended = now;
    }

    /// Notes that the group has just formed: what its passes were like before says nothing of them now.
    pub fn record_formation(&mut self, now: Timestamp) {
        self.peaks.clear();
        self.formed = Some(now);
    }

    /// Whether no pass was seen yet.
    pub fn has_no_passes(&self) -> bool {
        self.ended.is_zero()
    }

    /// How long passes will be if one more request is sent while so many are at work.
    pub fn forecast(
        &self,
        config: &PassConfig,
        spec: &PassSpec,
        now: Timestamp,
        requests: u32,
        prompt: u32,
    ) -> PassForecast {
        let requests = f64::from(requests) + 1.0;
        let sent = self.tokens_between(now.saturating_sub(self.pass), now);
        let tokens = sent + f64::from(prompt);
        let next = spec.fixed(requests) + self.now.max(1.0) * spec.even(requests, tokens);
        let worst = spec.fixed(requests)
            + self.peak_imbalance(config, now) * spec.even(requests, self.tokens);
        let least = config.min_requests_per_server * f64::from(spec.ranks);
        let gap = spec.max_event_gap.as_secs_f64();
        let is_short = next <= gap * config.max_next_part && worst <= gap * config.max_worst_part;
        PassForecast {
            next_pass: Duration::from_secs_f64(next),
            worst_pass: Duration::from_secs_f64(worst),
            has_room: requests <= least || self.is_too_slow(spec, least) || is_short,
        }
    }

    /// Whether passes would be too long even with few requests, so that no answer can be on time and
    /// as many as possible should be given late.
    fn is_too_slow(&self, spec: &PassSpec, least: f64) -> bool {
        let part = (least / self.requests.max(1.0)).min(1.0);
        let idle = spec.idle_pass.mul_f64(spec.pace());
        let work = self.pass.saturating_sub(idle).mul_f64(part);
        idle + work > spec.max_event_gap
    }

    /// Time that an answer of so many tokens takes as passes are now, its wait for a pass included.
    pub fn answer_time(&self, spec: &PassSpec, tokens: u32) -> Duration {
        let passes = tokens.div_ceil(spec.tokens_per_pass) + PASSES_BEFORE;
        self.pass * passes
    }

    /// Imbalance in the last pass.
    pub fn imbalance(&self) -> f64 {
        self.now
    }

    /// The highest imbalance that is expected to come back.
    pub fn peak_imbalance(&self, config: &PassConfig, now: Timestamp) -> f64 {
        let peaks = self.peaks.iter();
        let faded = peaks.map(|(at, peak)| 1.0 + (peak - 1.0) * fading(config, now, *at));
        faded.fold(1.0, f64::max)
    }

    fn tokens_between(&self, since: Timestamp, until: Timestamp) -> f64 {
        let within = self
            .reads
            .iter()
            .filter(|(at, _)| *at > since && *at <= until);
        within.map(|(_, tokens)| f64::from(*tokens)).sum()
    }

    fn remember(&mut self, now: Timestamp, imbalance: f64) {
        while self.peaks.back().is_some_and(|(_, it)| *it <= imbalance) {
            self.peaks.pop_back();
        }
        let is_covered = self
            .peaks
            .back()
            .is_some_and(|(at, _)| *at + PEAK_PAUSE > now);
        if !is_covered {
            self.peaks.push_back((now, imbalance));
        }
    }

    fn forget(&mut self, config: &PassConfig, now: Timestamp) {
        if let Some(formed) = self.formed {
            let settled = formed + config.formation_period;
            let is_first = |at: Timestamp| at < settled && now >= at + config.formation_peak_hold;
            self.peaks.retain(|(at, _)| !is_first(*at));
        }
        let is_over = |at: Timestamp| fading(config, now, at) < FORGOTTEN;
        while self.peaks.front().is_some_and(|(at, _)| is_over(*at)) {
            self.peaks.pop_front();
        }
    }
}

/// Time for which a high imbalance stands for lower ones after it.
const PEAK_PAUSE: Duration = Duration::from_millis(500);

/// Part of an imbalance under which it is no longer remembered.
const FORGOTTEN: f64 = 0.05;

/// Part of an imbalance seen at a time that is still expected to come back.
fn fading(config: &PassConfig, now: Timestamp, at: Timestamp) -> f64 {
    let age = now.saturating_sub(at).saturating_sub(config.peak_hold);
    0.5_f64.powf(age.as_secs_f64() / config.peak_half_life.as_secs_f64())
}

/// Shortest time over which the pauses of several streams are compared.
const BIN: Duration = Duration::from_millis(30);

/// Pauses between events that callers expect which make a pass long.
const LONG_GAPS: u32 = 3;

/// Fewest pauses that tell the length of a pass.
const FEWEST: usize = 3;

/// Reads the length of a group's passes off the pauses of its streams: all streams of a group have
/// an event in each pass, so what most of them see is the pass, and the rest is the network.
#[derive(Debug, Clone, Default)]
pub struct StreamPassEstimator {
    begun: Timestamp,
    pauses: Vec<Duration>,
    /// When the last long pass ended, and its length.
    long: Option<(Timestamp, Duration)>,
}

impl StreamPassEstimator {
    /// Takes in the pause of one stream before its newest event; the length of the last pass, once
    /// enough streams have told theirs.
    pub fn record_gap(&mut self, now: Timestamp, pause: Duration) -> Option<Duration> {
        if now >= self.begun + BIN {
            self.pauses.clear();
            self.begun = now;
        }
        self.pauses.push(pause);
        if self.pauses.len() != FEWEST {
            return None;
        }
        self.pauses.sort_unstable();
        Some(self.pauses[FEWEST / 2])
    }

    /// Whether the length of a pass that has just ended tells what passes are like. One that is much
    /// longer than it should be does where the one before was like it: else the group stood still for
    /// another reason.
    pub fn is_representative(&mut self, spec: &PassSpec, now: Timestamp, pass: Duration) -> bool {
        if pass <= spec.max_event_gap * LONG_GAPS {
            self.long = None;
            return true;
        }
        let before = self.long.replace((now, pass));
        before.is_some_and(|(ended, length)| {
            let follows = ended + pass + BIN >= now;
            follows && length <= pass * 2 && pass <= length * 2
        })
    }
}
