//! Candidates of the server choice and its configuration.

use std::time::Duration;

use jj_utils::{clock::Timestamp, common_derives};

use crate::membership::MemberState;

common_derives! {copy:
    /// Load of one backend server, as last reported by its agent.
    pub struct LoadReport {
        /// Requests in flight at the backend server.
        pub in_flight: u32,
        /// Requests in the agent's queue.
        pub queued: u32,
        /// Current limit on concurrent requests; low while the server is cold.
        pub limit: u32,
        /// Mean service time from admission to the end of a request; zero while unknown.
        pub service: Duration,
        /// When this process received the report.
        pub at: Timestamp,
    }
}

/// Configuration of the server choice.
#[derive(Debug, Clone, PartialEq)]
pub struct RoutingConfig {
    /// Age at which a load report has half its weight.
    pub report_half_life: Duration,
    /// Limit on concurrent requests assumed for a server without a load report.
    pub default_limit: u32,
    /// Mean service time of the servers assumed if no load report has one.
    pub default_service_time: Duration,
    /// Fraction of the service time that a fully used server adds to a request that need not wait.
    pub contention_share: f64,
    /// Multiple of the mean utilisation above which a prefix's home or holder is not used.
    pub load_bound: f64,
    /// Probability assumed that the prefix home holds the prefix without evidence from events.
    pub home_hit_probability: f64,
    /// Size of an account's shard as a multiple of its share of the servers.
    pub shard_factor: f64,
    /// Minimum number of servers in an account's shard.
    pub min_shard_servers: usize,
    /// An account floods if its share of the requests in flight exceeds this multiple of its
    /// configured share.
    pub flood_factor: f64,
    /// Utilisation up to which an account that floods may use servers outside its shard.
    pub max_spill_utilisation: f64,
    /// Retry delay sent to the caller if no candidate gives a time at which it accepts requests.
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

/// A backend server that may be chosen.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate<'a> {
    /// Name of the backend server.
    pub id: &'a str,
    /// Its failure domain.
    pub domain: &'a str,
    /// Membership state of its agent.
    pub state: MemberState,
    /// One-way network delay to its failure domain.
    pub one_way_delay: Duration,
    /// Last load report, if any.
    pub report: Option<LoadReport>,
    /// Requests of this process that are in flight there and were sent after the report.
    pub local_requests_since_report: u32,
    /// Probability that the server holds the request's prefix; see [`crate::prefix`].
    pub prefix_hit_probability: f64,
    /// Time until which the server refuses requests; zero if it does not.
    pub closed_until: Timestamp,
}
