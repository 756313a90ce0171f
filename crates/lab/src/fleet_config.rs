//! What a test fleet consists of.

use std::path::PathBuf;

use jj_utils::ids::FailureDomainId;

use crate::publication::{DOMAINS, Publication};

/// What to start.
#[derive(Debug, Clone)]
pub struct FleetConfig {
    /// Entries.
    pub entries: usize,
    /// Model engines, each with an agent.
    pub engines: usize,
    /// Plain services, each with an agent.
    pub services: usize,
    /// Concurrent requests that a cold backend server bears.
    pub cold_floor: u32,
    /// Concurrent requests that a warm backend server bears.
    pub concurrency: u32,
    /// Whether requests go through the relays on both sides of each agent.
    pub relays: bool,
    /// Flags of every engine.
    pub engine_flags: Vec<String>,
    /// Flags of every plain service.
    pub service_flags: Vec<String>,
    /// Flags of every agent.
    pub agent_flags: Vec<String>,
    /// Flags of every entry.
    pub entry_flags: Vec<String>,
    /// The configuration.
    pub publication: Publication,
    /// Operators' files to publish in its place; they declare the same services.
    pub directory: Option<PathBuf>,
    /// Failure domains, which the instances fill in turn.
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
