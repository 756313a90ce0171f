//! Whether the group behind a service works at all, and when it may work again.
//!
//! A group may also be slow: one rank that takes twelve times as long makes passes of half a second, between
//! which no stream has an event. That is no outage, and callers are better served late than sent away.
//!
//! Load pattern: one rank of a lock-step group fails and all of them stand still, first without a
//! word, then refusing everything, until the rank is back and the group has formed anew. Requests
//! that are sent meanwhile only wait; their callers come back once, so what they are told decides
//! whether they find the group at work.

use std::time::Duration;

use jj_utils::{clock::Timestamp, common_derives};

common_derives! {value:
    /// Tunables of the judgement.
    pub struct OutageConfig {
        /// Time without any event of any stream from which the group stands still.
        pub stall_timeout: Duration,
        /// The same in passes as they were lately, where these are long.
        pub stall_passes: u32,
        /// Streams that have to be open for that.
        pub min_streams: u32,
        /// Time for which the word of an agent counts.
        pub report_lifetime: Duration,
        /// Time for which refusals of servers count.
        pub refusal_lifetime: Duration,
        /// Length that is expected of the first outage.
        pub default_length: Duration,
        /// Least time that is expected to be left.
        pub min_remaining: Duration,
    }
}

impl Default for OutageConfig {
    fn default() -> Self {
        Self {
            stall_timeout: Duration::from_millis(350),
            stall_passes: 2,
            min_streams: 4,
            report_lifetime: Duration::from_millis(1_200),
            refusal_lifetime: Duration::from_millis(250),
            default_length: Duration::from_millis(4_500),
            min_remaining: Duration::from_millis(700),
        }
    }
}

/// State of one group.
#[derive(Debug, Clone, Default)]
pub struct Outage {
    since: Option<Timestamp>,
    /// When an agent last said whether the group works, and what.
    word: Option<(Timestamp, bool)>,
    /// When a server last refused since its group does not work.
    refused: Option<Timestamp>,
    /// When a stream last had an event.
    event: Timestamp,
    /// The last two pauses without any event: those between passes.
    pauses: (Duration, Duration),
    /// Mean length of the outages seen.
    length: Option<Duration>,
    /// An outage has ended that nobody was told of.
    has_ended: bool,
}

impl Outage {
    /// Takes in an event of a stream.
    pub fn record_event(&mut self, now: Timestamp) {
        let pause = now.saturating_sub(self.event);
        if pause >= LEAST_PAUSE {
            self.pauses = (self.pauses.1, pause);
        }
        self.event = now;
        self.refused = None;
        if self.word.is_some_and(|(_, works)| !works) {
            self.word = None;
        }
        self.end(now);
    }

    /// Takes in what an agent says of its group.
    pub fn record_agent_report(&mut self, now: Timestamp, works: bool) {
        self.word = Some((now, works));
        if works {
            self.refused = None;
            self.end(now);
        }
    }

    /// Takes in that a server refused a request since its group does not work.
    pub fn record_refusal(&mut self, now: Timestamp) {
        let is_contradicted = self
            .word
            .is_some_and(|(at, works)| works && at > self.event);
        if !is_contradicted {
            self.refused = Some(now);
        }
    }

    /// Whether the group does not work, while so many streams are open.
    pub fn is_down(&mut self, config: &OutageConfig, now: Timestamp, streams: u32) -> bool {
        let is_fresh = |at: Timestamp, life: Duration| now <= at + life;
        let word = self
            .word
            .filter(|(at, _)| is_fresh(*at, config.report_lifetime));
        let is_said = word.is_some_and(|(_, works)| !works);
        let is_refused = self
            .refused
            .is_some_and(|at| is_fresh(at, config.refusal_lifetime));
        let still = config.stall_timeout.max(self.pass() * config.stall_passes);
        let is_still = streams >= config.min_streams && now > self.event + still;
        let is_out = is_said || is_refused || is_still;
        match is_out {
            true => {
                self.since.get_or_insert(now);
            }
            false => self.end(now),
        }
        is_out
    }

    /// Length of a pass as it was lately; a single pause that is longer is no pass.
    fn pass(&self) -> Duration {
        self.pauses.0.min(self.pauses.1)
    }

    /// How the outage stands.
    pub fn forecast(&self, config: &OutageConfig, now: Timestamp) -> OutageForecast {
        let since = self.since.unwrap_or(now);
        let age = now.saturating_sub(since);
        let length = self.length.unwrap_or(config.default_length);
        let left = length.saturating_sub(age).max(config.min_remaining);
        OutageForecast {
            age,
            remaining: left,
        }
    }

    /// Whether an outage has ended since the last call.
    pub fn take_ended(&mut self) -> bool {
        std::mem::take(&mut self.has_ended)
    }

    fn end(&mut self, now: Timestamp) {
        let Some(since) = self.since.take() else {
            return;
        };
        let length = now.saturating_sub(since);
        // A short pause says nothing about how long a failed rank is away.
        if length > SHORT {
            self.has_ended = true;
            self.length = Some(self.length.map_or(length, |mean| (mean + length) / 2));
        }
    }
}

/// Shortest pause without any event that may lie between two passes: events of one pass come together.
const LEAST_PAUSE: Duration = Duration::from_millis(30);

/// Longest pause that is no outage.
const SHORT: Duration = Duration::from_millis(1_000);

common_derives! {copy:
    /// How an outage stands.
    pub struct OutageForecast {
        /// Time since it began.
        pub age: Duration,
        /// Time that it is expected to last from now on.
        pub remaining: Duration,
    }
}

common_derives! {copy:
    /// What to do with a request whose group does not work.
    pub enum OutageAction {
        /// Reject it at once; the caller may come back after this time.
        Reject(Duration),
        /// Have it wait for this long at most.
        Wait(Duration),
    }
}

/// Longest time for which a caller waits for the first event, less some for the event itself.
const PATIENCE: Duration = Duration::from_millis(1_700);

/// Part of the time that callers have left up to which they let themselves be sent away.
pub const MAX_RETRY_AFTER_PART: f64 = 1.0 / 3.0;

/// Age of an outage from which it may end while a caller waits.
const RIPE: Duration = Duration::from_millis(500);

/// What to do with a request that has `left` until its deadline. A caller comes back once: the first
/// time it is sent away for as long as the outage is expected to last, or as long as it lets itself
/// be sent; when it `has_returned` it waits, since another rejection would be its last answer.
pub fn decide_during_outage(
    outlook: OutageForecast,
    left: Duration,
    has_returned: bool,
) -> OutageAction {
    if has_returned && outlook.age >= RIPE {
        return OutageAction::Wait(PATIENCE.min(left));
    }
    OutageAction::Reject(outlook.remaining.min(left.mul_f64(MAX_RETRY_AFTER_PART)))
}
