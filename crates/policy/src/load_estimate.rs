//! Estimates a backend server's load between its reports.

use std::time::Duration;

use jj_utils::clock::Timestamp;

use crate::candidate::{Candidate, LoadReport, RoutingConfig};

/// Mean of the candidates' reports, towards which an estimate moves as its report ages.
#[derive(Debug, Clone, Copy)]
pub(crate) struct FleetMean {
    /// Requests in flight and queued, over the limit.
    pub utilisation: f64,
    /// Service time in seconds.
    pub service_secs: f64,
}

impl FleetMean {
    /// Computes the mean of `reports`, or zero utilisation if there are none.
    pub fn of(config: &RoutingConfig, reports: impl Iterator<Item = LoadReport>) -> Self {
        let (mut load, mut limit) = (0.0, 0.0);
        let (mut measured_count, mut service_secs) = (0.0, 0.0);
        for report in reports {
            load += f64::from(report.in_flight + report.queued);
            limit += f64::from(report.limit.max(1));
            if !report.service.is_zero() {
                measured_count += 1.0;
                service_secs += report.service.as_secs_f64();
            }
        }
        if measured_count == 0.0 {
            (measured_count, service_secs) = (1.0, config.default_service_time.as_secs_f64());
        }
        Self {
            utilisation: load / f64::max(limit, 1.0),
            service_secs: service_secs / measured_count,
        }
    }
}

/// Estimate of one server's current load.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LoadEstimate {
    /// Requests in flight and queued.
    pub load: f64,
    /// Limit on concurrent requests.
    pub limit: f64,
    /// Service time in seconds.
    service_secs: f64,
}

impl LoadEstimate {
    /// Computes the estimate from the last report, weighted by its age, and the requests that this
    /// process has sent since.
    pub fn of(
        config: &RoutingConfig,
        server: &Candidate<'_>,
        fleet: &FleetMean,
        now: Timestamp,
    ) -> Self {
        let own_requests = f64::from(server.local_requests_since_report);
        let Some(report) = server.report else {
            let limit = f64::from(config.default_limit.max(1));
            return Self {
                load: own_requests + limit * fleet.utilisation,
                limit,
                service_secs: fleet.service_secs,
            };
        };
        let weight = report_weight(now.saturating_sub(report.at), config.report_half_life);
        let limit = f64::from(report.limit.max(1));
        let reported = f64::from(report.in_flight + report.queued);
        Self {
            load: own_requests + weight * reported + (1.0 - weight) * limit * fleet.utilisation,
            limit,
            service_secs: match report.service.is_zero() {
                true => fleet.service_secs,
                false => report.service.as_secs_f64(),
            },
        }
    }

    /// Returns the expected wait in seconds for a request slot, plus the slowdown by concurrent
    /// requests.
    pub fn delay(&self, contention: f64) -> f64 {
        let excess = (self.load + 1.0 - self.limit).max(0.0);
        let utilisation = (self.load / self.limit).min(1.0);
        self.service_secs * (excess / self.limit + contention * utilisation)
    }
}

/// Returns the weight of a report, from 1 (new) towards 0 (old).
fn report_weight(age: Duration, half_life: Duration) -> f64 {
    let half_lives = age.as_secs_f64() / half_life.as_secs_f64().max(f64::MIN_POSITIVE);
    0.5_f64.powf(half_lives)
}
