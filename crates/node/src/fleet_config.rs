//! What a process's view of the fleet is opened with: tunables, what the process is, and what it
//! shares with the rest of the process.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use jj_operator::audit::AuditTrail;
use jj_peer::control::LoadReport;
use jj_platform::wire::Role;
use jj_policy::{coverage::CoverageConfig, membership::MembershipConfig};
use jj_utils::{
    clock::SharedClock,
    ids::{FailureDomainId, Incarnation, InstanceId},
};
use tokio_util::sync::CancellationToken;

use crate::control_port::GroupHandler;

/// How peers are asked.
#[derive(Debug, Clone)]
pub struct FleetConfig {
    /// Time between two heartbeats to one peer.
    pub heartbeat_interval: Duration,
    /// Which agents an entry talks to; all of them in a small fleet.
    pub coverage: CoverageConfig,
    /// Entries that a process asks only to learn of configuration and partitions.
    pub witnesses: usize,
    /// Time between two early heartbeats to a listed peer that was never heard from.
    pub early_interval: Duration,
    /// Early heartbeats after a change of the live list: a process may be listed before it listens.
    pub early_heartbeats: u32,
}

impl Default for FleetConfig {
    fn default() -> Self {
        Self {
            heartbeat_interval: Duration::from_secs(2),
            coverage: CoverageConfig::default(),
            witnesses: 3,
            early_interval: Duration::from_millis(250),
            early_heartbeats: 20,
        }
    }
}

/// Silence is judged by the interval of heartbeats: one may be lost before an instance is suspect,
/// two before it counts as gone. A failed connect tells sooner.
pub fn membership_config(config: &FleetConfig) -> MembershipConfig {
    MembershipConfig {
        suspect_after: config.heartbeat_interval * 2,
        gone_after: config.heartbeat_interval * 3,
        ..MembershipConfig::default()
    }
}

/// Tells the load of this process's backend server; none for an entry.
pub type LoadSource = Box<dyn Fn() -> Option<LoadReport> + Send>;

/// Tells whether this process is leaving.
pub type DrainSource = Box<dyn Fn() -> bool + Send>;

/// What this process is.
pub struct LocalProcess {
    /// Name of the instance.
    pub instance: InstanceId,
    /// Life of the process.
    pub incarnation: Incarnation,
    /// Its failure domain.
    pub domain: FailureDomainId,
    /// What runs here.
    pub role: Role,
    /// Its load.
    pub load: LoadSource,
    /// Whether it is leaving.
    pub draining: DrainSource,
    /// Requests of a group's leader, where this process is a rank's agent.
    pub group: Option<GroupHandler>,
}

/// What opening needs beside what this process is.
#[derive(Clone)]
pub struct OpenContext {
    /// Base URL of the platform.
    pub platform: String,
    /// Where control calls and heartbeats arrive.
    pub control_addr: SocketAddr,
    /// Time.
    pub clock: SharedClock,
    /// Where changes are recorded.
    pub audit: Arc<AuditTrail>,
    /// Ends the following of the platform.
    pub token: CancellationToken,
}
