//! Settings of an entry, from flags and environment variables.

use std::time::Duration;

use jj_node::{node_flags, settings::NodeSettings};
use jj_policy::process_limits::{MIN_DESCRIPTORS, MIN_MEMORY_BYTES, ProcessLimits};
use jj_utils::settings::{EnvLookup, SettingsReader};

use crate::cli::Serve;

/// Validated settings.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Settings shared with the agent.
    pub node: NodeSettings,
    /// How long callers may cache an address answer.
    pub address_lifetime: Duration,
    /// Largest request body, in bytes.
    pub max_body_bytes: usize,
    /// Memory and descriptors of the process.
    pub limits: ProcessLimits,
}

impl Settings {
    /// Reads and validates settings from flags and environment variables.
    ///
    /// # Errors
    /// All errors found, one per line.
    pub fn read(flags: Serve, env: &EnvLookup<'_>) -> anyhow::Result<Self> {
        let mut reader = SettingsReader::new(env);
        let node = NodeSettings::read(&mut reader, node_flags!(flags));
        let address_lifetime = reader.duration("lifetime", flags.lifetime, Duration::from_secs(10));
        let max_body_bytes = reader.optional("max-body", flags.max_body, 1024 * 1024);
        let limits = read_limits(&mut reader, flags.memory, flags.max_fds);
        reader.check(
            address_lifetime >= Duration::from_secs(1),
            "--lifetime: must be at least 1s",
        );
        reader.check(
            (1..=16 << 20).contains(&max_body_bytes),
            "--max-body: must be 1 to 16777216",
        );
        reader.finish()?;
        let missing = || anyhow::anyhow!("a required setting is missing");
        Ok(Self {
            node: node.ok_or_else(missing)?,
            address_lifetime,
            max_body_bytes,
            limits,
        })
    }
}

/// Reads the memory and the descriptors that the process may have.
fn read_limits(
    reader: &mut SettingsReader<'_>,
    memory: Option<String>,
    max_fds: Option<String>,
) -> ProcessLimits {
    let default = ProcessLimits::default();
    let limits = ProcessLimits {
        memory_bytes: reader.optional("memory", memory, default.memory_bytes),
        descriptors: reader.optional("max-fds", max_fds, default.descriptors),
    };
    reader.check(
        limits.memory_bytes >= MIN_MEMORY_BYTES,
        format!("--memory: must be at least {MIN_MEMORY_BYTES}"),
    );
    reader.check(
        limits.descriptors >= MIN_DESCRIPTORS,
        format!("--max-fds: must be at least {MIN_DESCRIPTORS}"),
    );
    limits
}
