//! Calls whose connection has gone silent, told by the backend server's own count of its work.
//!
//! A server that works on nothing can't be at work on a call that was sent long before it said so:
//! the call never arrived, or its answer was lost on the way. Waiting for the deadline would keep a
//! place at the server for it. A long call alone is no sign, and neither is a server that does not
//! count its work.

use std::time::Duration;

use jj_utils::{
    clock::Timestamp,
    collections::{FastMap, FastSet},
    common_derives,
};

use crate::{cold_detector::ServerReport, fairness::Ticket};

common_derives! {value:
    /// When a call counts as lost.
    #[derive(Copy)]
    pub struct LostCallConfig {
        /// Time that a call must have been open when the server says that it works on nothing;
        /// longer than reports lag.
        pub min_open_time: Duration,
        /// Time in which an answer that was then on its way arrives.
        pub confirmation_time: Duration,
        /// Time for which the server's count is not believed after a suspected call was answered.
        pub distrust_time: Duration,
    }
}

impl Default for LostCallConfig {
    fn default() -> Self {
        Self {
            min_open_time: Duration::from_secs(1),
            confirmation_time: Duration::from_millis(200),
            distrust_time: Duration::from_secs(60),
        }
    }
}

/// Suspected calls to one backend server.
#[derive(Debug, Clone, Default)]
pub struct LostCallDetector {
    config: LostCallConfig,
    /// The server has counted some of its work, so that a count of none says something.
    counts: bool,
    believed_from: Timestamp,
    suspects: FastMap<Ticket, Timestamp>,
}

impl LostCallDetector {
    /// Nothing is suspected yet.
    pub fn new(config: LostCallConfig) -> Self {
        Self {
            config,
            ..Self::default()
        }
    }

    /// Takes in the answer to a call. One to a suspected call shows that the count is wrong or late.
    pub fn record_answer(&mut self, now: Timestamp, ticket: Ticket) {
        if self.suspects.remove(&ticket).is_some() {
            self.record_false_positive(now);
        }
    }

    /// Takes in that a call that counted as lost was answered.
    pub fn record_false_positive(&mut self, now: Timestamp) {
        self.believed_from = now + self.config.distrust_time;
        self.suspects.clear();
    }

    /// Takes in a report, and returns the calls that are lost, each once; `open` are those without
    /// an answer, with the time when they were sent.
    pub fn record_report(
        &mut self,
        report: &ServerReport,
        open: impl Iterator<Item = (Ticket, Timestamp)>,
    ) -> Vec<Ticket> {
        let open: FastMap<Ticket, Timestamp> = open.collect();
        self.suspects.retain(|ticket, _| open.contains_key(ticket));
        match report.in_flight {
            None => return Vec::new(),
            Some(0) => {}
            Some(_) => {
                self.counts = true;
                return Vec::new();
            }
        }
        let measured = report.measured_at;
        if !self.counts || measured < self.believed_from {
            return Vec::new();
        }
        let old = open
            .iter()
            .filter(|(_, sent)| **sent + self.config.min_open_time <= measured);
        let old: FastSet<Ticket> = old.map(|(ticket, _)| *ticket).collect();
        let (settle, suspects) = (self.config.confirmation_time, &mut self.suspects);
        let is_lost = |ticket: &Ticket| {
            let since = *suspects.entry(*ticket).or_insert(measured);
            since + settle <= measured
        };
        let mut lost: Vec<Ticket> = old.into_iter().filter(is_lost).collect();
        lost.sort_unstable();
        for ticket in &lost {
            self.suspects.remove(ticket);
        }
        lost
    }
}
