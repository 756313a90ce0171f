//! Settings of an entry, from flags and environment variables.

use std::time::Duration;

use jj_node::{node_flags, settings::NodeSettings};
use jj_policy::{body_memory::BodyMemoryConfig, process_limits::ProcessLimits};
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
        reader.check(
            address_lifetime >= Duration::from_secs(1),
            "--lifetime: must be at least 1s",
        );
        reader.check(
            (1..=16 << 20).contains(&max_body_bytes),
            "--max-body: must be 1 to 16777216",
        );
        if let Some(node) = &node {
            check_body_fits(&mut reader, &node.limits, max_body_bytes);
        }
        reader.finish()?;
        let missing = || anyhow::anyhow!("a required setting is missing");
        Ok(Self {
            node: node.ok_or_else(missing)?,
            address_lifetime,
            max_body_bytes,
        })
    }
}

/// Checks that the largest body fits the memory for bodies. It is held twice for a moment, in segments
/// and in one piece.
fn check_body_fits(reader: &mut SettingsReader<'_>, limits: &ProcessLimits, max_body: usize) {
    let config = BodyMemoryConfig {
        capacity: limits.body_bytes(),
        ..BodyMemoryConfig::default()
    };
    let max = config.large_capacity() / 2;
    reader.check(
        max_body <= max,
        format!("--max-body: must be at most {max} with this --memory"),
    );
}
