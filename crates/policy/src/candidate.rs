//! A backend server that may be chosen, and the tunables of the choice.

use std::time::Duration;

use jj_utils::{clock::Timestamp, common_derives};

use crate::membership::MemberState;

common_derives! {copy:
    /// Load of one backend server, as its agent last reported it.
    pub struct LoadReport {
        /// Requests running at the backend server.
        pub in_flight: u32,
        /// Requests waiting in the agent.
        pub queued: u32,
        /// Concurrent requests that the agent admits now; low while the server is cold.
        pub limit: u32,
        /// Smoothed time from admission to the end of a request; zero while unknown.
        pub service: Duration,
        /// When the report arrived here.
        pub at: Timestamp,
    }
}

/// Tunables of the choice.
#[derive(Debug, Clone, PartialEq)]
pub struct RoutingConfig {
    /// Age at which a load report counts half.
    pub report_half_life: Duration,
    /// Concurrent requests assumed at a server that has not reported.
    pub default_limit: u32,
    /// Service time assumed at a server that has not reported.
    pub default_service_time: Duration,
    /// Share of the service time that a full server adds to a request that need not wait.
    pub contention_share: f64,
    /// The prefix home is passed over above this multiple of the mean utilisation.
    pub load_bound: f64,
    /// Probability that the prefix home holds the prefix when no event says so.
    pub home_hit_probability: f64,
    /// An account's shard is this multiple of its share of the servers.
    pub shard_factor: f64,
    /// Fewest servers in an account's shard.
    pub min_shard_servers: usize,
    /// An account with more than this multiple of its share of the requests in flight floods.
    pub flood_factor: f64,
    /// Utilisation up to which an account that floods may use servers outside its shard.
    pub max_spill_utilisation: f64,
    /// Wait told to the caller when no candidate may take work.
    pub default_retry_after: Duration,
}

impl Default for RoutingConfig {
    fn default() -> Self {
        Self {
            report_half_life: Duration::from_millis(500),
            default_limit: 1,
            default_service_time: Duration::from_millis(500),
            contention_share: 0.2,
            load_bound: 1.25,
            home_hit_probability: 0.5,
            shard_factor: 3.0,
            min_shard_servers: 3,
            flood_factor: 4.0,
            max_spill_utilisation: 0.6,
            default_retry_after: Duration::from_secs(1),
        }
    }
}

/// One backend server that may be chosen.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate<'a> {
    /// Name of the backend server.
    pub id: &'a str,
    /// Its failure domain.
    pub domain: &'a str,
    /// What membership believes of its agent.
    pub state: MemberState,
    /// One-way time to its failure domain.
    pub one_way_delay: Duration,
    /// Last load report, if any.
    pub report: Option<LoadReport>,
    /// Requests of this process that are in flight there and younger than the report.
    pub local_requests_since_report: u32,
    /// Probability that the server holds the request's prefix; see [`crate::prefix`].
    pub prefix_hit_probability: f64,
    /// The server refused work until then; zero when it did not.
    pub closed_until: Timestamp,
}
