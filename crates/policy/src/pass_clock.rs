//! Measures how long the passes of a group take, from the numbers of passes that were begun.

use std::time::Duration;

use jj_utils::clock::Timestamp;

/// Fewest passes that a measurement spans.
const SPAN: u64 = 3;

/// Time after which a measurement is begun anew, since the group may have stood idle.
const LONGEST: Duration = Duration::from_secs(1);

/// Length of the passes of one group.
#[derive(Debug, Clone, Copy, Default)]
pub struct PassClock {
    first: Option<(Timestamp, u64)>,
    length: Option<Duration>,
}

impl PassClock {
    /// Takes in the number of the last pass that was begun.
    pub fn observe(&mut self, now: Timestamp, pass: u64) {
        let Some((since, first)) = self.first else {
            self.first = Some((now, pass));
            return;
        };
        let took = now.saturating_sub(since);
        if pass < first || took > LONGEST {
            self.first = Some((now, pass));
            return;
        }
        if pass >= first + SPAN {
            self.length = Some(took / (pass - first) as u32);
            self.first = Some((now, pass));
        }
    }

    /// Mean length of the last few passes; none before any were seen.
    pub fn length(&self) -> Option<Duration> {
        self.length
    }
}
