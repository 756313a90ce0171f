//! What is believed of a backend server's load between its reports.

use std::time::Duration;

use jj_utils::clock::Timestamp;

use crate::candidate::{Candidate, LoadReport, RoutingConfig};

/// The mean of the candidates' reports, which an aged report is pulled towards.
#[derive(Debug, Clone, Copy)]
pub(crate) struct FleetMean {
    /// Requests running and waiting, over the limit.
    pub utilisation: f64,
    /// Service time in seconds.
    pub service: f64,
}

impl FleetMean {
    /// Mean of `reports`; an idle fleet when there are none.
    pub fn of(config: &RoutingConfig, reports: impl Iterator<Item = LoadReport>) -> Self {
        let (mut load, mut limit) = (0.0, 0.0);
        let (mut measured, mut service) = (0.0, 0.0);
        for report in reports {
            load += f64::from(report.in_flight + report.queued);
            limit += f64::from(report.limit.max(1));
            if !report.service.is_zero() {
                measured += 1.0;
                service += report.service.as_secs_f64();
            }
        }
        if measured == 0.0 {
            (measured, service) = (1.0, config.default_service_time.as_secs_f64());
        }
        Self {
            utilisation: load / f64::max(limit, 1.0),
            service: service / measured,
        }
    }
}

/// What is believed of one server's load now.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LoadEstimate {
    /// Requests running and waiting.
    pub load: f64,
    /// Concurrent requests that it admits.
    pub limit: f64,
    /// Service time in seconds.
    service: f64,
}

impl LoadEstimate {
    /// The last report, aged, with own requests since added.
    pub fn of(
        config: &RoutingConfig,
        server: &Candidate<'_>,
        fleet: &FleetMean,
        now: Timestamp,
    ) -> Self {
        let own = f64::from(server.local_requests_since_report);
        let Some(report) = server.report else {
            let limit = f64::from(config.default_limit.max(1));
            return Self {
                load: own + limit * fleet.utilisation,
                limit,
                service: fleet.service,
            };
        };
        let trust = trust_of(now.saturating_sub(report.at), config.report_half_life);
        let limit = f64::from(report.limit.max(1));
        let reported = f64::from(report.in_flight + report.queued);
        Self {
            load: own + trust * reported + (1.0 - trust) * limit * fleet.utilisation,
            limit,
            service: match report.service.is_zero() {
                true => fleet.service,
                false => report.service.as_secs_f64(),
            },
        }
    }

    /// Expected wait in seconds for a free place, plus the slowing by requests beside it.
    pub fn delay(&self, contention: f64) -> f64 {
        let excess = (self.load + 1.0 - self.limit).max(0.0);
        let beside = (self.load / self.limit).min(1.0);
        self.service * (excess / self.limit + contention * beside)
    }
}

/// Weight from 1 (fresh) to 0 (old) of a report.
fn trust_of(age: Duration, half_life: Duration) -> f64 {
    let half_lives = age.as_secs_f64() / half_life.as_secs_f64().max(f64::MIN_POSITIVE);
    0.5_f64.powf(half_lives)
}
