//! Settings of a test fleet.

use std::path::PathBuf;

use jj_utils::ids::FailureDomainId;

use crate::publication::{DOMAINS, Publication};

/// Processes to start, their flags, and the configuration to publish.
#[derive(Debug, Clone)]
pub struct FleetConfig {
    /// Number of entries.
    pub entries: usize,
    /// Number of model engines, each with an agent.
    pub engines: usize,
    /// Number of plain services, each with an agent.
    pub services: usize,
    /// Maximum concurrent requests that agents admit to a cold backend server.
    pub cold_floor: u32,
    /// Maximum concurrent requests that agents admit to a warm backend server.
    pub concurrency: u32,
    /// Whether requests pass through relays on both sides of each agent.
    pub relays: bool,
    /// Flags of every engine.
    pub engine_flags: Vec<String>,
    /// Flags of every plain service.
    pub service_flags: Vec<String>,
    /// Flags of every agent.
    pub agent_flags: Vec<String>,
    /// Flags of every entry.
    pub entry_flags: Vec<String>,
    /// Configuration to publish.
    pub publication: Publication,
    /// Directory of operators' files to publish instead; they declare the same services.
    pub directory: Option<PathBuf>,
    /// Failure domains, to which the instances are assigned in turn.
    pub domains: Vec<FailureDomainId>,
    /// Whether the network between failure domains can be cut.
    pub network: bool,
}

impl Default for FleetConfig {
    fn default() -> Self {
        Self {
            entries: 2,
            engines: 2,
            services: 2,
            cold_floor: 4,
            concurrency: 64,
            relays: true,
            engine_flags: Vec::new(),
            service_flags: Vec::new(),
            agent_flags: Vec::new(),
            entry_flags: Vec::new(),
            publication: Publication::default(),
            directory: None,
            domains: DOMAINS.map(str::to_owned).to_vec(),
            network: false,
        }
    }
}
