//! Estimates the length of a group's passes from the numbers of the last begun passes.

use std::{collections::VecDeque, time::Duration};

use jj_utils::clock::Timestamp;

/// Time over which the mean is taken: the numbers are read too rarely to measure single passes.
const WINDOW: Duration = Duration::from_millis(700);

/// Estimator of the length of one group's passes.
#[derive(Debug, Clone, Default)]
pub struct PassLengthEstimator {
    readings: VecDeque<(Timestamp, u64)>,
}

impl PassLengthEstimator {
    /// Records the number of the last begun pass. A lower number than before means that the group
    /// has formed anew and resets the estimate.
    pub fn observe(&mut self, now: Timestamp, pass: u64) {
        if self.readings.back().is_some_and(|(_, last)| pass < *last) {
            self.readings.clear();
        }
        self.readings.push_back((now, pass));
        while self
            .readings
            .get(1)
            .is_some_and(|(at, _)| *at + WINDOW <= now)
        {
            self.readings.pop_front();
        }
    }

    /// Returns the mean length of the passes in the window; `None` if no pass has begun in it.
    pub fn mean(&self) -> Option<Duration> {
        let (start, first) = self.readings.front()?;
        let (end, last) = self.readings.back()?;
        let passes = u32::try_from(last - first).ok().filter(|it| *it > 0)?;
        Some(end.saturating_sub(*start) / passes)
    }
}
