//! Settings shared by entry and agent.

use std::{net::SocketAddr, time::Duration};

use jj_policy::process_limits::{MIN_DESCRIPTORS, MIN_MEMORY_BYTES, ProcessLimits};
use jj_utils::{
    ids::{FailureDomainId, InstanceId},
    logging::LogFormat,
    settings::SettingsReader,
};
use log::LevelFilter;

/// Shared flags as given on the command line.
#[derive(Debug, Clone, Default)]
pub struct NodeFlags {
    /// `--instance`.
    pub instance: Option<String>,
    /// `--domain`.
    pub domain: Option<String>,
    /// `--platform`.
    pub platform: Option<String>,
    /// `--traffic-addr`.
    pub traffic_addr: Option<String>,
    /// `--control-addr`.
    pub control_addr: Option<String>,
    /// `--operator-addr`.
    pub operator_addr: Option<String>,
    /// `--grace`.
    pub grace: Option<String>,
    /// `--threads`.
    pub threads: Option<String>,
    /// `--memory`.
    pub memory: Option<String>,
    /// `--max-fds`.
    pub max_fds: Option<String>,
    /// `--log-format`.
    pub log_format: Option<String>,
    /// `--log-level`.
    pub log_level: Option<String>,
}

/// Moves the shared flags out of a binary's flags struct into a `NodeFlags`.
#[macro_export]
macro_rules! node_flags {
    ($flags:ident) => {
        $crate::settings::NodeFlags {
            instance: $flags.instance,
            domain: $flags.domain,
            platform: $flags.platform,
            traffic_addr: $flags.traffic_addr,
            control_addr: $flags.control_addr,
            operator_addr: $flags.operator_addr,
            grace: $flags.grace,
            threads: $flags.threads,
            memory: $flags.memory,
            max_fds: $flags.max_fds,
            log_format: $flags.log_format,
            log_level: $flags.log_level,
        }
    };
}

/// Validated shared settings.
#[derive(Debug, Clone)]
pub struct NodeSettings {
    /// Instance name.
    pub instance: InstanceId,
    /// Failure domain of the instance.
    pub domain: FailureDomainId,
    /// Base URL of the platform.
    pub platform: String,
    /// Address for traffic: callers' requests at an entry, attempts at an agent.
    pub traffic_addr: SocketAddr,
    /// Address for control calls and heartbeats.
    pub control_addr: SocketAddr,
    /// Address of the operator port.
    pub operator_addr: SocketAddr,
    /// Longest wait for open requests after SIGTERM.
    pub grace: Duration,
    /// Number of traffic threads.
    pub threads: usize,
    /// Memory and descriptors of the process.
    pub limits: ProcessLimits,
    /// Log format.
    pub log_format: LogFormat,
    /// Minimum log level.
    pub log_level: LevelFilter,
}

impl NodeSettings {
    /// Reads the shared settings; `None` if a required one is missing, which the reader reports.
    pub fn read(reader: &mut SettingsReader<'_>, flags: NodeFlags) -> Option<Self> {
        let instance = reader.required("instance", flags.instance);
        let domain = reader.required("domain", flags.domain);
        let platform = read_url(reader, "platform", flags.platform);
        let traffic_addr = reader.required("traffic-addr", flags.traffic_addr);
        let control_addr = reader.required("control-addr", flags.control_addr);
        let operator_addr = reader.required("operator-addr", flags.operator_addr);
        let grace = reader.duration("grace", flags.grace, Duration::from_secs(60));
        let threads = reader.optional("threads", flags.threads, 2);
        let limits = read_limits(reader, flags.memory, flags.max_fds);
        let log_format = reader.optional("log-format", flags.log_format, LogFormat::Text);
        let log_level = reader.optional("log-level", flags.log_level, LevelFilter::Info);
        reader.check(
            (1..=64).contains(&threads),
            "--threads: must be from 1 to 64",
        );
        Some(Self {
            instance: instance?,
            domain: domain?,
            platform: platform?,
            traffic_addr: traffic_addr?,
            control_addr: control_addr?,
            operator_addr: operator_addr?,
            grace,
            threads,
            limits,
            log_format,
            log_level,
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

/// Reads a required base URL.
pub fn read_url(
    reader: &mut SettingsReader<'_>,
    name: &str,
    flag: Option<String>,
) -> Option<String> {
    let url = reader.required::<String>(name, flag)?;
    reader.check(
        url.starts_with("http://"),
        format!("--{name}: must start with `http://`"),
    );
    Some(url)
}
