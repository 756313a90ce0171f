//! Settings of an entry, from flags and environment variables.

use std::time::Duration;

use jj_node::settings::{NodeFlags, NodeSettings};
use jj_utils::settings::{EnvLookup, SettingsReader};

use crate::cli::Serve;

/// Checked settings.
#[derive(Debug, Clone)]
pub struct Settings {
    /// What entry and agent share.
    pub node: NodeSettings,
    /// How long callers may keep an address answer.
    pub lifetime: Duration,
    /// Largest body of a caller's request, in bytes.
    pub max_body: usize,
}

impl Settings {
    /// Checks flags and variables.
    ///
    /// # Errors
    /// Every error found, one a line.
    pub fn read(flags: Serve, env: &EnvLookup<'_>) -> anyhow::Result<Self> {
        let mut reader = SettingsReader::new(env);
        let node = NodeFlags {
            instance: flags.instance,
            domain: flags.domain,
            platform: flags.platform,
            traffic_addr: flags.traffic_addr,
            control_addr: flags.control_addr,
            operator_addr: flags.operator_addr,
            grace: flags.grace,
            threads: flags.threads,
            log_format: flags.log_format,
            log_level: flags.log_level,
        };
        let node = NodeSettings::read(&mut reader, node);
        let lifetime = reader.duration("lifetime", flags.lifetime, Duration::from_secs(10));
        let max_body = reader.optional("max-body", flags.max_body, 1024 * 1024);
        reader.check(
            lifetime >= Duration::from_secs(1),
            "--lifetime: must be at least 1s",
        );
        reader.check(
            (1..=16 << 20).contains(&max_body),
            "--max-body: must be 1 to 16777216",
        );
        reader.finish()?;
        let missing = || anyhow::anyhow!("a required setting is missing");
        Ok(Self {
            node: node.ok_or_else(missing)?,
            lifetime,
            max_body,
        })
    }
}
