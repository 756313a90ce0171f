//! Estimates of how long a response of a route will take, from those that have ended and those that
//! are in progress.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use jj_utils::{clock::Timestamp, common_derives};

/// Durations that are kept.
const MAX_DURATIONS: usize = 64;

/// Durations from which on their quantile is used.
const MIN_FOR_QUANTILE: usize = 16;

/// Durations from which on the longest one says more than the time limit.
const MIN_FOR_LONGEST: usize = 4;

/// Part of the responses that take no longer than the usual time.
const USUAL_QUANTILE: f64 = 0.95;

/// Factor by which a response may exceed the longest one that was seen.
const LONGEST_FACTOR: u32 = 2;

/// Usual time as a fraction of the time limit while nothing is known.
const UNKNOWN_USUAL_FRACTION: f64 = 0.58;

/// Cautious time as a fraction of the time limit while nothing is known.
const UNKNOWN_CAUTIOUS_FRACTION: f64 = 0.65;

/// Number that identifies a response in progress.
pub type ResponseTicket = u64;

common_derives! {copy:
    /// Times that a response will take.
    pub struct ResponseForecast {
        /// Time that few responses exceed.
        pub usual: Duration,
        /// Time that hardly any response exceeds.
        pub cautious: Duration,
    }
}

/// Durations of the responses of one route.
#[derive(Debug, Clone, Default)]
pub struct ResponseTimes {
    /// Durations of the last ones that have ended, the oldest first.
    ended: VecDeque<Duration>,
    /// Start of each one in progress.
    running: BTreeMap<ResponseTicket, Timestamp>,
    last_ticket: ResponseTicket,
}

impl ResponseTimes {
    /// Records that a response has been asked for.
    pub fn begin(&mut self, now: Timestamp) -> ResponseTicket {
        self.last_ticket += 1;
        self.running.insert(self.last_ticket, now);
        self.last_ticket
    }

    /// Records the end of a response; one that is not complete says nothing about durations.
    pub fn end(&mut self, now: Timestamp, ticket: ResponseTicket, is_complete: bool) {
        let Some(began) = self.running.remove(&ticket) else {
            return;
        };
        if !is_complete {
            return;
        }
        if self.ended.len() == MAX_DURATIONS {
            self.ended.pop_front();
        }
        self.ended.push_back(now.saturating_sub(began));
    }

    /// Returns the times that a response with this time limit will take.
    pub fn forecast(&self, now: Timestamp, limit: Duration) -> ResponseForecast {
        let seen = self.longest(now) * LONGEST_FACTOR;
        let unless_known = |fraction: f64| match self.ended.len() {
            0..MIN_FOR_LONGEST => seen.max(limit.mul_f64(fraction)),
            _ => seen,
        };
        let usual = self
            .quantile()
            .unwrap_or_else(|| unless_known(UNKNOWN_USUAL_FRACTION));
        ResponseForecast {
            usual: usual.min(limit),
            cautious: unless_known(UNKNOWN_CAUTIOUS_FRACTION).min(limit),
        }
    }

    /// Returns the longest time that a response has taken, in progress or ended.
    fn longest(&self, now: Timestamp) -> Duration {
        let oldest = self.running.values().next();
        let running = oldest.map_or(Duration::ZERO, |it| now.saturating_sub(*it));
        let ended = self.ended.iter().max();
        ended.map_or(running, |it| running.max(*it))
    }

    /// Returns the usual time of those that have ended; `None` while there are few.
    fn quantile(&self) -> Option<Duration> {
        if self.ended.len() < MIN_FOR_QUANTILE {
            return None;
        }
        let mut sorted: Vec<Duration> = self.ended.iter().copied().collect();
        sorted.sort_unstable();
        let index = (sorted.len() as f64 * USUAL_QUANTILE) as usize;
        sorted.get(index).or(sorted.last()).copied()
    }
}
