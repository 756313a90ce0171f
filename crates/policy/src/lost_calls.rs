//! Detects calls that were lost on a silent connection, by the backend server's reported number of
//! requests in flight.
//!
//! A server that reports no requests in flight can't be processing a call that was sent long before
//! the report: the call never arrived, or its answer was lost. Waiting for the deadline would
//! occupy a request slot of the server until then. A long duration alone does not indicate a lost
//! call, and neither does a report of 0 from a server that never reports any other number.

use std::time::Duration;

use jj_utils::{
    clock::Timestamp,
    collections::{FastMap, FastSet},
    common_derives,
};

use crate::{cold_detector::ServerReport, fairness::Ticket};

common_derives! {value:
    /// Configuration of the detection of lost calls.
    #[derive(Copy)]
    pub struct LostCallConfig {
        /// Minimum time that a call must have been open when the server reports no requests in
        /// flight; longer than the delay of reports.
        pub min_open_time: Duration,
        /// Time for which a call stays suspected before it counts as lost, so that an answer in
        /// transit can arrive.
        pub confirmation_time: Duration,
        /// Time for which the server's reports are ignored after a suspected call was answered.
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

/// Detects lost calls to one backend server.
#[derive(Debug, Clone, Default)]
pub struct LostCallDetector {
    config: LostCallConfig,
    /// Whether the server has ever reported requests in flight, so that a report of 0 is
    /// meaningful.
    reports_in_flight: bool,
    /// Reports measured earlier are ignored.
    trusted_from: Timestamp,
    /// Suspected calls, with the time of the report that raised the suspicion.
    suspects: FastMap<Ticket, Timestamp>,
}

impl LostCallDetector {
    /// Creates a detector without suspected calls.
    pub fn new(config: LostCallConfig) -> Self {
        Self {
            config,
            ..Self::default()
        }
    }

    /// Records the answer to a call. An answer to a suspected call shows that the server's reports
    /// are wrong or late.
    pub fn record_answer(&mut self, now: Timestamp, ticket: Ticket) {
        if self.suspects.remove(&ticket).is_some() {
            self.record_false_positive(now);
        }
    }

    /// Records that a call that counted as lost was answered.
    pub fn record_false_positive(&mut self, now: Timestamp) {
        self.trusted_from = now + self.config.distrust_time;
        self.suspects.clear();
    }

    /// Records a report and returns the calls that are lost, each once. `open` are the calls
    /// without an answer and the times at which they were sent.
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
                self.reports_in_flight = true;
                return Vec::new();
            }
        }
        let measured = report.measured_at;
        if !self.reports_in_flight || measured < self.trusted_from {
            return Vec::new();
        }
        let old = open
            .iter()
            .filter(|(_, sent)| **sent + self.config.min_open_time <= measured);
        let old: FastSet<Ticket> = old.map(|(ticket, _)| *ticket).collect();
        let (confirmation_time, suspects) = (self.config.confirmation_time, &mut self.suspects);
        let is_lost = |ticket: &Ticket| {
            let since = *suspects.entry(*ticket).or_insert(measured);
            since + confirmation_time <= measured
        };
        let mut lost: Vec<Ticket> = old.into_iter().filter(is_lost).collect();
        lost.sort_unstable();
        for ticket in &lost {
            self.suspects.remove(ticket);
        }
        lost
    }
}
