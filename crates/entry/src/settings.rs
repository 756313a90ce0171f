//! Settings of an entry, from flags and environment variables.

use std::{net::SocketAddr, time::Duration};

use jj_utils::{
    ids::{FailureDomainId, InstanceId},
    logging::LogFormat,
    settings::{EnvLookup, SettingsReader},
};
use log::LevelFilter;

use crate::cli::Serve;

/// Checked settings.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of this instance.
    pub instance: InstanceId,
    /// Its failure domain.
    pub domain: FailureDomainId,
    /// Base URL of the platform.
    pub platform: String,
    /// Address for callers.
    pub traffic_addr: SocketAddr,
    /// Address for control calls.
    pub control_addr: SocketAddr,
    /// Address of the operators' port.
    pub operator_addr: SocketAddr,
    /// How long callers may keep an address answer.
    pub lifetime: Duration,
    /// Longest wait for open requests after SIGTERM.
    pub grace: Duration,
    /// Largest body of a caller's request, in bytes.
    pub max_body: usize,
    /// Threads for traffic.
    pub threads: usize,
    /// Form of log lines.
    pub log_format: LogFormat,
    /// Least level of log lines.
    pub log_level: LevelFilter,
}

impl Settings {
    /// Checks flags and variables.
    ///
    /// # Errors
    /// Every error found, one a line.
    pub fn read(flags: Serve, env: &EnvLookup<'_>) -> anyhow::Result<Self> {
        let mut reader = SettingsReader::new(env);
        let instance = reader.required("instance", flags.instance);
        let domain = reader.required("domain", flags.domain);
        let platform = reader.required::<String>("platform", flags.platform);
        let traffic_addr = reader.required("traffic-addr", flags.traffic_addr);
        let control_addr = reader.required("control-addr", flags.control_addr);
        let operator_addr = reader.required("operator-addr", flags.operator_addr);
        let lifetime = reader.duration("lifetime", flags.lifetime, Duration::from_secs(10));
        let grace = reader.duration("grace", flags.grace, Duration::from_secs(60));
        let max_body = reader.optional("max-body", flags.max_body, 1024 * 1024);
        let threads = reader.optional("threads", flags.threads, 2);
        let log_format = reader.optional("log-format", flags.log_format, LogFormat::Text);
        let log_level = reader.optional("log-level", flags.log_level, LevelFilter::Info);
        let is_http = platform
            .as_ref()
            .is_none_or(|url| url.starts_with("http://"));
        reader.check(is_http, "--platform: must start with `http://`");
        reader.check(
            lifetime >= Duration::from_secs(1),
            "--lifetime: must be at least 1s",
        );
        reader.check(
            (1..=16 << 20).contains(&max_body),
            "--max-body: must be 1 to 16777216",
        );
        reader.check(
            (1..=64).contains(&threads),
            "--threads: must be from 1 to 64",
        );
        reader.finish()?;
        let missing = || anyhow::anyhow!("a required setting is missing");
        Ok(Self {
            instance: instance.ok_or_else(missing)?,
            domain: domain.ok_or_else(missing)?,
            platform: platform.ok_or_else(missing)?,
            traffic_addr: traffic_addr.ok_or_else(missing)?,
            control_addr: control_addr.ok_or_else(missing)?,
            operator_addr: operator_addr.ok_or_else(missing)?,
            lifetime,
            grace,
            max_body,
            threads,
            log_format,
            log_level,
        })
    }
}
