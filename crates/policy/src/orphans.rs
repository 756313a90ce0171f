//! Requests that a backend server may still be working on though its agent no longer follows
//! them: abandoned ones, those on broken connections, and those of an earlier agent life.

use std::time::Duration;

use jj_utils::clock::Timestamp;

use crate::cold_detector::ServerReport;

#[derive(Debug, Clone, Copy)]
struct Orphan {
    lost: Timestamp,
    ends: Timestamp,
    tokens: u32,
}

/// Requests at one backend server that nobody follows.
#[derive(Debug, Clone)]
pub struct Orphans {
    life: Duration,
    started: Timestamp,
    settled: bool,
    lost: Vec<Orphan>,
}

impl Orphans {
    /// Orphans of an agent that has just started: how many the life before left is unknown until
    /// a report measured since, or until `life` is over.
    pub fn new(life: Duration, now: Timestamp) -> Self {
        Self {
            life,
            started: now,
            settled: false,
            lost: Vec::new(),
        }
    }

    /// How long a request is taken to go on after the agent lost sight of it.
    pub fn configure(&mut self, life: Duration) {
        self.life = life;
    }

    /// True while nobody can tell what an earlier agent life left at the server.
    pub fn is_earlier_work_unknown(&self, now: Timestamp) -> bool {
        !self.settled && now < self.started + self.life
    }

    /// Requests that may still be at the server.
    pub fn count(&self, now: Timestamp) -> u32 {
        self.lost.iter().filter(|it| it.ends > now).count() as u32
    }

    /// Tokens of those requests; what an earlier agent life left counts as none.
    pub fn tokens(&self, now: Timestamp) -> u32 {
        let present = self.lost.iter().filter(|it| it.ends > now);
        present.fold(0, |sum: u32, it| sum.saturating_add(it.tokens))
    }

    /// Adds one of so many tokens that the agent has just lost sight of.
    pub fn add(&mut self, now: Timestamp, tokens: u32) {
        self.lost.retain(|it| it.ends > now);
        self.lost.push(Orphan {
            lost: now,
            ends: now + self.life,
            tokens,
        });
    }

    /// Takes in a report: no more than its requests in flight are left of those lost before it.
    pub fn record_report(&mut self, report: &ServerReport) {
        let Some(busy) = report.in_flight else {
            return;
        };
        if report.measured_at < self.started {
            return;
        }
        if !self.settled {
            self.settle(report.measured_at, busy);
            return;
        }
        let mut room = busy;
        self.lost.retain(|it| {
            if it.lost > report.measured_at {
                return true;
            }
            let kept = room > 0;
            room = room.saturating_sub(1);
            kept
        });
    }

    /// Takes in that the server has restarted and been up for `uptime`: what was lost before that
    /// boot died with it.
    pub fn record_restart(&mut self, measured: Timestamp, uptime: Option<Duration>) {
        let Some(boot) = uptime.and_then(|uptime| measured.checked_sub(uptime)) else {
            return;
        };
        self.lost.retain(|it| it.lost >= boot);
    }

    /// Nothing of this agent life starts before the settling report, so all that the server is
    /// then working on was left by an earlier one.
    fn settle(&mut self, measured: Timestamp, busy: u32) {
        self.settled = true;
        let ends = self.started + self.life;
        if measured >= ends {
            return;
        }
        let before = (0..busy).map(|_| Orphan {
            lost: self.started,
            ends,
            tokens: 0,
        });
        self.lost.extend(before);
    }
}
