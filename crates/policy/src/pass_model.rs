//! Predicts the passes of a lock-step group, to limit its load so that they stay shorter than the
//! pauses between events that callers accept.
//!
//! Every running request lengthens each pass of the whole group, and every prompt lengthens the
//! pass that reads it. A pass that is too long makes every stream of the group late at once. Most
//! of the work is done by experts, and in each set the most loaded rank determines the time. So the
//! time of a pass beyond its fixed part is predicted as the given work times the imbalance of the
//! experts, and the imbalance is derived from past passes.
//!
//! A group that has just formed starts with an expert map that does not reflect the demand. Its
//! imbalance does not predict that of the next shift of demand, so it is kept only briefly.
//!
//! Load pattern: near the group's capacity, the demand shifts to other experts every few seconds,
//! and the imbalance is three times as high until the expert map is updated. Requests that are
//! queued meanwhile must not all be read in one pass afterwards.

use std::{collections::VecDeque, time::Duration};

use jj_utils::{clock::Timestamp, common_derives};

use crate::catalog::EngineSpec;

common_derives! {value:
    /// Limits on the predicted passes of a group.
    pub struct PassConfig {
        /// Maximum part of the accepted event gap for the next pass at the current imbalance.
        pub max_next_part: f64,
        /// Maximum part of it for a pass at the recent peak imbalance.
        pub max_worst_part: f64,
        /// Time for which a peak imbalance is expected to recur in full: shifts of demand follow
        /// each other at least this often.
        pub peak_hold: Duration,
        /// Time in which the expected peak halves after that.
        pub peak_half_life: Duration,
        /// Time after the formation of a group in which its imbalance is that of the initial expert
        /// map, which does not recur.
        pub formation_period: Duration,
        /// Time for which a peak imbalance of that period is expected to recur.
        pub formation_peak_hold: Duration,
        /// Requests per server that are always allowed.
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
    /// Cost of the passes of a group, and their maximum length.
    pub struct PassSpec {
        /// Servers of the group.
        pub ranks: u32,
        /// Maximum pause between events that callers accept.
        pub max_event_gap: Duration,
        /// Tokens of each response that a pass produces.
        pub tokens_per_pass: u32,
        /// Time of a pass without any work for tokens.
        pub idle_pass: Duration,
        /// Time that a request adds to the passes of its own server.
        pub time_per_request: Duration,
        /// Time that a server takes to read a million prompt tokens.
        pub time_per_million_prompt_tokens: Duration,
        /// Part of the work for tokens that experts do, in thousandths.
        pub expert_share_milli: u32,
        /// Slowdown of the slowest server, in thousandths; 1000 is normal speed.
        pub slowdown_milli: u32,
    }
}

impl PassSpec {
    /// Returns the passes of a group of `ranks` engines, or `None` if they don't work in lock-step.
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

    /// Returns the same passes with the slowest engine slowed down by a factor. The work of its
    /// experts moves to other ranks, but each pass waits for the part that every rank does itself.
    pub fn with_slowdown(self, slowdown: f64) -> Self {
        Self {
            slowdown_milli: (slowdown.max(1.0) * 1e3) as u32,
            ..self
        }
    }

    fn slowdown(&self) -> f64 {
        f64::from(self.slowdown_milli) / 1e3
    }

    /// Returns the time in a pass that experts take if evenly loaded, in seconds.
    fn even_expert_secs(&self, requests: f64, tokens: f64) -> f64 {
        let decode_secs = self.time_per_request.as_secs_f64() * requests;
        let prefill_secs = self.time_per_million_prompt_tokens.as_secs_f64() * tokens / 1e6;
        self.expert_share() * (decode_secs + prefill_secs) / f64::from(self.ranks)
    }

    /// Returns the time of a pass that does not depend on the experts, in seconds.
    fn fixed_secs(&self, requests: f64) -> f64 {
        let fullest = requests / f64::from(self.ranks) * FULLEST_SERVER_RATIO;
        let own_secs = self.time_per_request.as_secs_f64() * fullest * (1.0 - self.expert_share());
        (self.idle_pass.as_secs_f64() + own_secs) * self.slowdown()
    }

    fn expert_share(&self) -> f64 {
        f64::from(self.expert_share_milli) / 1e3
    }
}

common_derives! {copy:
    /// Predicted passes of a group with one more request.
    pub struct PassForecast {
        /// Length of the next pass.
        pub next_pass: Duration,
        /// Length of a pass at the peak imbalance that is expected to recur.
        pub worst_pass: Duration,
        /// Whether the request may be sent.
        pub has_room: bool,
    }
}

/// Passes before the first token: one that the request waits for, and one that reads its prompt.
const PASSES_BEFORE_FIRST_TOKEN: u32 = 2;

/// Ratio of requests at the fullest server to the mean.
const FULLEST_SERVER_RATIO: f64 = 1.3;

/// Weight of the newest pass in the mean of prompt tokens.
const TOKEN_WEIGHT: f64 = 0.1;

/// Maximum plausible imbalance; a longer pass has another cause.
const MAX_IMBALANCE: f64 = 8.0;

/// Load given to a group, and the observed lengths of its passes.
#[derive(Debug, Clone, Default)]
pub struct PassModel {
    /// Prompt tokens of recent requests, with the time at which they were sent.
    prompts: VecDeque<(Timestamp, u32)>,
    /// Length of the last pass, and running requests during it.
    last_pass: Duration,
    last_requests: f64,
    /// Imbalance in the last pass.
    imbalance: f64,
    /// Past peaks of the imbalance in decreasing order, with their times.
    peaks: VecDeque<(Timestamp, f64)>,
    /// End of the last pass.
    last_end: Timestamp,
    /// Time at which the group last formed, if that was observed.
    formed: Option<Timestamp>,
    /// Moving average of the prompt tokens read in a pass.
    mean_prompt_tokens: f64,
}

/// Time for which sent prompts are kept.
const PROMPTS_KEPT: Duration = Duration::from_millis(600);

impl PassModel {
    /// Records the prompt of a request that was sent by this or another process.
    pub fn record_prompt(&mut self, now: Timestamp, tokens: u32) {
        self.prompts.push_back((now, tokens));
        while self
            .prompts
            .front()
            .is_some_and(|(at, _)| *at + PROMPTS_KEPT < now)
        {
            self.prompts.pop_front();
        }
    }

    /// Records a pass that has just ended, with the number of requests that ran in it.
    pub fn record_pass(
        &mut self,
        config: &PassConfig,
        spec: &PassSpec,
        now: Timestamp,
        pass: Duration,
        requests: u32,
    ) {
        let requests = f64::from(requests);
        // The prompts read in a pass were sent before it began.
        let pass_began = now.saturating_sub(pass);
        let tokens = self.tokens_between(pass_began.saturating_sub(pass), pass_began);
        self.mean_prompt_tokens += (tokens - self.mean_prompt_tokens) * TOKEN_WEIGHT;
        let expert_secs = (pass.as_secs_f64() - spec.fixed_secs(requests)).max(0.0);
        let even_secs = spec.even_expert_secs(requests, tokens);
        self.drop_faded_peaks(config, now);
        self.last_pass = pass;
        self.last_requests = requests;
        if even_secs > 0.0 {
            let before = self.imbalance;
            let imbalance = expert_secs / even_secs;
            self.imbalance = imbalance.clamp(1.0, MAX_IMBALANCE);
            // A single long pass was delayed by something other than its work.
            let is_next = pass_began <= self.last_end + pass;
            if is_next && imbalance <= MAX_IMBALANCE {
                self.record_peak(now, self.imbalance.min(before));
            }
        }
        self.last_end = now;
    }

    /// Records that the group has just formed: earlier passes say nothing about the following ones.
    pub fn record_formation(&mut self, now: Timestamp) {
        self.peaks.clear();
        self.formed = Some(now);
    }

    /// Returns whether no pass was recorded yet.
    pub fn has_no_passes(&self) -> bool {
        self.last_end.is_zero()
    }

    /// Predicts the passes with one more request beside `requests` running ones.
    pub fn forecast(
        &self,
        config: &PassConfig,
        spec: &PassSpec,
        now: Timestamp,
        requests: u32,
        prompt: u32,
    ) -> PassForecast {
        let requests = f64::from(requests) + 1.0;
        let sent = self.tokens_between(now.saturating_sub(self.last_pass), now);
        let tokens = sent + f64::from(prompt);
        let next_secs = spec.fixed_secs(requests)
            + self.imbalance.max(1.0) * spec.even_expert_secs(requests, tokens);
        let worst_secs = spec.fixed_secs(requests)
            + self.peak_imbalance(config, now)
                * spec.even_expert_secs(requests, self.mean_prompt_tokens);
        let min_requests = config.min_requests_per_server * f64::from(spec.ranks);
        let max_gap_secs = spec.max_event_gap.as_secs_f64();
        let is_short = next_secs <= max_gap_secs * config.max_next_part
            && worst_secs <= max_gap_secs * config.max_worst_part;
        PassForecast {
            next_pass: Duration::from_secs_f64(next_secs),
            worst_pass: Duration::from_secs_f64(worst_secs),
            has_room: requests <= min_requests || self.is_too_slow(spec, min_requests) || is_short,
        }
    }

    /// Returns whether passes would be too long even with few requests. Then no response can be on
    /// time, and as many as possible should be given late.
    fn is_too_slow(&self, spec: &PassSpec, min_requests: f64) -> bool {
        let part = (min_requests / self.last_requests.max(1.0)).min(1.0);
        let idle = spec.idle_pass.mul_f64(spec.slowdown());
        let work = self.last_pass.saturating_sub(idle).mul_f64(part);
        idle + work > spec.max_event_gap
    }

    /// Returns the time for a response of `tokens` tokens at the current pass length, including the
    /// wait for a pass.
    pub fn estimated_response_time(&self, spec: &PassSpec, tokens: u32) -> Duration {
        let passes = tokens.div_ceil(spec.tokens_per_pass) + PASSES_BEFORE_FIRST_TOKEN;
        self.last_pass * passes
    }

    /// Returns the imbalance in the last pass.
    pub fn imbalance(&self) -> f64 {
        self.imbalance
    }

    /// Returns the highest imbalance that is expected to recur.
    pub fn peak_imbalance(&self, config: &PassConfig, now: Timestamp) -> f64 {
        let peaks = self.peaks.iter();
        let faded = peaks.map(|(at, peak)| 1.0 + (peak - 1.0) * fading(config, now, *at));
        faded.fold(1.0, f64::max)
    }

    /// Returns the prompt tokens sent after `since` and up to `until`.
    fn tokens_between(&self, since: Timestamp, until: Timestamp) -> f64 {
        let within = self
            .prompts
            .iter()
            .filter(|(at, _)| *at > since && *at <= until);
        within.map(|(_, tokens)| f64::from(*tokens)).sum()
    }

    /// Records an imbalance as a peak, which replaces lower ones, unless a recent higher one covers
    /// it.
    fn record_peak(&mut self, now: Timestamp, imbalance: f64) {
        while self.peaks.back().is_some_and(|(_, it)| *it <= imbalance) {
            self.peaks.pop_back();
        }
        let is_covered = self
            .peaks
            .back()
            .is_some_and(|(at, _)| *at + PEAK_COVERAGE > now);
        if !is_covered {
            self.peaks.push_back((now, imbalance));
        }
    }

    /// Drops peaks of a past formation, and those that are no longer expected to recur.
    fn drop_faded_peaks(&mut self, config: &PassConfig, now: Timestamp) {
        if let Some(formed) = self.formed {
            let formation_end = formed + config.formation_period;
            let is_of_formation =
                |at: Timestamp| at < formation_end && now >= at + config.formation_peak_hold;
            self.peaks.retain(|(at, _)| !is_of_formation(*at));
        }
        let is_faded = |at: Timestamp| fading(config, now, at) < MIN_FADING;
        while self.peaks.front().is_some_and(|(at, _)| is_faded(*at)) {
            self.peaks.pop_front();
        }
    }
}

/// Time for which a peak also covers lower ones after it.
const PEAK_COVERAGE: Duration = Duration::from_millis(500);

/// Remaining part of a peak under which it is dropped.
const MIN_FADING: f64 = 0.05;

/// Returns the part of an imbalance seen at `at` that is still expected to recur.
fn fading(config: &PassConfig, now: Timestamp, at: Timestamp) -> f64 {
    let age = now.saturating_sub(at).saturating_sub(config.peak_hold);
    0.5_f64.powf(age.as_secs_f64() / config.peak_half_life.as_secs_f64())
}

/// Minimum time over which the gaps of several streams are compared.
const MIN_SAMPLE_PERIOD: Duration = Duration::from_millis(30);

/// Ratio of a pass to the accepted event gap from which it counts as long.
const LONG_PASS_GAPS: u32 = 3;

/// Streams needed to estimate the length of a pass.
const MIN_STREAMS: usize = 3;

/// Estimates the length of a group's passes from the event gaps of its streams. All streams of a
/// group have an event in each pass, so the median gap is the pass length, and the deviations are
/// network delay.
#[derive(Debug, Clone, Default)]
pub struct StreamPassEstimator {
    period_began: Timestamp,
    gaps: Vec<Duration>,
    /// End and length of the last long pass.
    last_long: Option<(Timestamp, Duration)>,
}

impl StreamPassEstimator {
    /// Records the gap before the newest event of a stream; returns the length of the last pass
    /// once enough streams have reported theirs.
    pub fn record_gap(&mut self, now: Timestamp, gap: Duration) -> Option<Duration> {
        if now >= self.period_began + MIN_SAMPLE_PERIOD {
            self.gaps.clear();
            self.period_began = now;
        }
        self.gaps.push(gap);
        if self.gaps.len() != MIN_STREAMS {
            return None;
        }
        self.gaps.sort_unstable();
        Some(self.gaps[MIN_STREAMS / 2])
    }

    /// Returns whether a pass that has just ended is representative of the group's passes. A pass
    /// much longer than it should be is so only if the previous one was similar; otherwise the
    /// group stalled for another reason.
    pub fn is_representative(&mut self, spec: &PassSpec, now: Timestamp, pass: Duration) -> bool {
        if pass <= spec.max_event_gap * LONG_PASS_GAPS {
            self.last_long = None;
            return true;
        }
        let before = self.last_long.replace((now, pass));
        before.is_some_and(|(ended, length)| {
            let follows = ended + pass + MIN_SAMPLE_PERIOD >= now;
            follows && length <= pass * 2 && pass <= length * 2
        })
    }
}
