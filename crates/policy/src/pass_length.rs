//! Measures how long the passes of a group take, from the numbers of passes that were begun.

use std::{collections::VecDeque, time::Duration};

use jj_utils::clock::Timestamp;

/// Time that a measurement spans: the numbers are read too rarely to see single passes.
const SPAN: Duration = Duration::from_millis(700);

/// Length of the passes of one group.
#[derive(Debug, Clone, Default)]
pub struct PassLengthEstimator {
    seen: VecDeque<(Timestamp, u64)>,
}

impl PassLengthEstimator {
    /// Takes in the number of the last pass that was begun.
    pub fn observe(&mut self, now: Timestamp, pass: u64) {
        if self.seen.back().is_some_and(|(_, last)| pass < *last) {
            self.seen.clear();
        }
        self.seen.push_back((now, pass));
        while self.seen.get(1).is_some_and(|(at, _)| *at + SPAN <= now) {
            self.seen.pop_front();
        }
    }

    /// Mean length of the last few passes; none before any were seen.
    pub fn mean(&self) -> Option<Duration> {
        let (since, first) = self.seen.front()?;
        let (until, last) = self.seen.back()?;
        let passes = u32::try_from(last - first).ok().filter(|it| *it > 0)?;
        Some(until.saturating_sub(*since) / passes)
    }
}
