//! Inputs of [`crate::fleet::open`]: settings, identity of the process and shared resources.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use jj_operator::audit::AuditTrail;
use jj_peer::control::LoadReport;
use jj_platform::wire::Role;
use jj_policy::{
    coverage::CoverageConfig, membership::MembershipConfig, process_limits::ProcessLimits,
};
use jj_utils::{
    clock::SharedClock,
    ids::{FailureDomainId, Incarnation, InstanceId},
};
use tokio_util::sync::CancellationToken;

use crate::control_port::GroupHandler;

/// Settings of heartbeats and of the selection of peers.
#[derive(Debug, Clone)]
pub struct FleetConfig {
    /// Time between two heartbeats to one peer.
    pub heartbeat_interval: Duration,
    /// Settings of the services that an entry covers; in a small fleet it covers all.
    pub coverage: CoverageConfig,
    /// Number of entries polled only to detect new configurations and partitions.
    pub witnesses: usize,
    /// Time between two early heartbeats to a listed peer that has never answered.
    pub early_interval: Duration,
    /// Number of early heartbeats after the live list changes: a process may be listed before it
    /// listens.
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

/// Derives the silence timeouts from the heartbeat interval: one heartbeat may be lost before an
/// instance is suspect, two before it counts as gone. A failed connect is detected sooner.
pub fn membership_config(config: &FleetConfig) -> MembershipConfig {
    MembershipConfig {
        suspect_after: config.heartbeat_interval * 2,
        gone_after: config.heartbeat_interval * 3,
        ..MembershipConfig::default()
    }
}

/// Returns the load of this process's backend server; `None` for an entry.
pub type LoadSource = Box<dyn Fn() -> Option<LoadReport> + Send>;

/// Returns whether this process is draining.
pub type DrainSource = Box<dyn Fn() -> bool + Send>;

/// Identity and state of this process, as sent in heartbeats.
pub struct LocalProcess {
    /// Instance name.
    pub instance: InstanceId,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
    /// Failure domain of the instance.
    pub domain: FailureDomainId,
    /// Whether it is an entry or an agent.
    pub role: Role,
    /// Source of its load report.
    pub load: LoadSource,
    /// Source of its draining state.
    pub draining: DrainSource,
    /// Handler of a group leader's requests, if this process is a rank's agent.
    pub group: Option<GroupHandler>,
}

/// Resources for [`crate::fleet::open`].
#[derive(Clone)]
pub struct OpenContext {
    /// Base URL of the platform.
    pub platform: String,
    /// Address that receives control calls and heartbeats.
    pub control_addr: SocketAddr,
    /// Memory and descriptors of the process.
    pub limits: ProcessLimits,
    /// Process clock.
    pub clock: SharedClock,
    /// Audit trail that records changes.
    pub audit: Arc<AuditTrail>,
    /// Cancels following the platform.
    pub token: CancellationToken,
}
