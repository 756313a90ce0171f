//! When the leader of a group that stands still looks at all ranks anew.
//!
//! An engine that has lost its state stops the whole group, and nobody tells the leader. A group
//! without work stands still as well, so the looks become rarer the longer it stands.

use std::time::Duration;

use jj_utils::clock::Timestamp;

/// Time for which a group stands before the first look.
const FIRST: Duration = Duration::from_secs(2);

/// Longest time between two looks.
const LONGEST: Duration = Duration::from_secs(64);

/// How long a group has stood still.
#[derive(Debug, Default)]
pub struct StallTimer {
    next: Option<Look>,
}

/// The next look at all ranks.
#[derive(Debug, Clone, Copy)]
struct Look {
    at: Timestamp,
    /// Time until the look after it.
    pause: Duration,
}

impl StallTimer {
    /// Takes in whether the group has stepped since the last call; true when it is time to look.
    pub fn update(&mut self, now: Timestamp, has_stepped: bool) -> bool {
        if has_stepped {
            self.next = None;
            return false;
        }
        let look = *self.next.get_or_insert(Look {
            at: now + FIRST,
            pause: FIRST * 2,
        });
        if now < look.at {
            return false;
        }
        self.next = Some(Look {
            at: now + look.pause,
            pause: (look.pause * 2).min(LONGEST),
        });
        true
    }
}
