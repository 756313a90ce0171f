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

use crate::{cold::ServerReport, fairness::Ticket};

common_derives! {value:
    /// When a call counts as lost.
    #[derive(Copy)]
    pub struct LostCallsConfig {
        /// Time that a call must have been open when the server says that it works on nothing;
        /// longer than reports lag.
        pub open_for: Duration,
        /// Time in which an answer that was then on its way arrives.
        pub settle: Duration,
        /// Time for which the server's count is not believed after a suspected call was answered.
        pub distrust: Duration,
    }
}

impl Default for LostCallsConfig {
    fn default() -> Self {
        Self {
            open_for: Duration::from_secs(1),
            settle: Duration::from_millis(200),
            distrust: Duration::from_secs(60),
        }
    }
}

/// Suspected calls to one backend server.
#[derive(Debug, Clone, Default)]
pub struct LostCalls {
    config: LostCallsConfig,
    /// The server has counted some of its work, so that a count of none says something.
    counts: bool,
    believed_from: Timestamp,
    suspects: FastMap<Ticket, Timestamp>,
}

impl LostCalls {
    /// Nothing is suspected yet.
    pub fn new(config: LostCallsConfig) -> Self {
        Self {
            config,
            ..Self::default()
        }
    }

    /// Takes in the answer to a call. One to a suspected call shows that the count is wrong or late.
    pub fn answered(&mut self, now: Timestamp, ticket: Ticket) {
        if self.suspects.remove(&ticket).is_some() {
            self.doubt(now);
        }
    }

    /// Takes in that a call that counted as lost was answered.
    pub fn doubt(&mut self, now: Timestamp) {
        self.believed_from = now + self.config.distrust;
        self.suspects.clear();
    }

    /// Takes in a report, and returns the calls that are lost, each once; `open` are those without
    /// an answer, with the time when they were sent.
    pub fn report(
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
        let measured = report.measured;
        if !self.counts || measured < self.believed_from {
            return Vec::new();
        }
        let old = open
            .iter()
            .filter(|(_, sent)| **sent + self.config.open_for <= measured);
        let old: FastSet<Ticket> = old.map(|(ticket, _)| *ticket).collect();
        let (settle, suspects) = (self.config.settle, &mut self.suspects);
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
