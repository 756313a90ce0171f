//! Settings of the agent, from flags and environment variables.

use std::{net::SocketAddr, time::Duration};

use jj_operator::documents::ServiceKind;
use jj_utils::{
    ids::{FailureDomainId, InstanceId, Rank, ServiceId},
    logging::LogFormat,
    settings::{EnvLookup, SettingsReader},
};
use log::LevelFilter;

xflags::xflags! {
    /// The process beside each backend server instance of jujubejunction. Every flag can also be
    /// given as an environment variable: --traffic-addr is JUJUBE_TRAFFIC_ADDR. The flag wins.
    cmd jujube-agent {
        /// Print the version and exit.
        optional --version
        /// Name of this instance, as the platform lists it.
        optional --instance name: String
        /// Failure domain of this instance.
        optional --domain name: String
        /// Service that the backend server belongs to.
        optional --service name: String
        /// Kind of the backend server: `model` or `plain`.
        optional --kind kind: String
        /// Base URL of the backend server, such as http://127.0.0.1:8000.
        optional --backend url: String
        /// Position of the backend server in its service's lock-step group.
        optional --rank rank: String
        /// Base URL of the platform.
        optional --platform url: String
        /// Address for attempts from entries.
        optional --traffic-addr addr: String
        /// Address for control calls from the system's other processes.
        optional --control-addr addr: String
        /// Address of the operators' port.
        optional --operator-addr addr: String
        /// Concurrent requests that the cold backend server bears, until configuration says.
        optional --cold-floor count: String
        /// Concurrent requests that the warm backend server bears, until configuration says.
        optional --concurrency count: String
        /// Longest wait for requests in progress after SIGTERM, such as 60s.
        optional --grace duration: String
        /// Threads for traffic.
        optional --threads count: String
        /// Form of log lines: `text` or `json`.
        optional --log-format format: String
        /// Least level of log lines: error, warn, info, debug.
        optional --log-level level: String
    }
}

/// Checked settings.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of this instance.
    pub instance: InstanceId,
    /// Its failure domain.
    pub domain: FailureDomainId,
    /// Service of the backend server.
    pub service: ServiceId,
    /// Kind of the backend server.
    pub kind: ServiceKind,
    /// Base URL of the backend server.
    pub backend: String,
    /// Position of the backend server in its service's lock-step group, if it is in one.
    pub rank: Option<Rank>,
    /// Base URL of the platform.
    pub platform: String,
    /// Address for attempts.
    pub traffic_addr: SocketAddr,
    /// Address for control calls.
    pub control_addr: SocketAddr,
    /// Address of the operators' port.
    pub operator_addr: SocketAddr,
    /// Concurrent requests at a cold server, until configuration says.
    pub cold_floor: u32,
    /// Concurrent requests at a warm server, until configuration says.
    pub concurrency: u32,
    /// Longest wait for requests in progress after SIGTERM.
    pub grace: Duration,
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
    pub fn read(flags: JujubeAgent, env: &EnvLookup<'_>) -> anyhow::Result<Self> {
        let mut reader = SettingsReader::new(env);
        let instance = reader.required("instance", flags.instance);
        let domain = reader.required("domain", flags.domain);
        let service = reader.required("service", flags.service);
        let kind = reader.required::<String>("kind", flags.kind);
        let backend = reader.required::<String>("backend", flags.backend);
        let platform = reader.required::<String>("platform", flags.platform);
        let rank = reader.optional::<i64>("rank", flags.rank, -1);
        reader.check(rank >= -1, "--rank: must not be negative");
        let traffic_addr = reader.required("traffic-addr", flags.traffic_addr);
        let control_addr = reader.required("control-addr", flags.control_addr);
        let operator_addr = reader.required("operator-addr", flags.operator_addr);
        let cold_floor = reader.optional("cold-floor", flags.cold_floor, 1);
        let concurrency = reader.optional("concurrency", flags.concurrency, 16);
        let grace = reader.duration("grace", flags.grace, Duration::from_secs(60));
        let threads = reader.optional("threads", flags.threads, 2);
        let log_format = reader.optional("log-format", flags.log_format, LogFormat::Text);
        let log_level = reader.optional("log-level", flags.log_level, LevelFilter::Info);
        let kind = match kind.as_deref() {
            Some("model") => Some(ServiceKind::Model),
            Some("plain") => Some(ServiceKind::Plain),
            Some(other) => {
                reader.check(
                    false,
                    format!("--kind: `{other}` is neither `model` nor `plain`"),
                );
                None
            }
            None => None,
        };
        for (name, url) in [("backend", &backend), ("platform", &platform)] {
            let is_http = url.as_ref().is_none_or(|url| url.starts_with("http://"));
            reader.check(is_http, format!("--{name}: must start with `http://`"));
        }
        reader.check(cold_floor >= 1, "--cold-floor: must be at least 1");
        reader.check(
            concurrency >= cold_floor,
            "--concurrency: must be at least --cold-floor",
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
            service: service.ok_or_else(missing)?,
            kind: kind.ok_or_else(missing)?,
            backend: backend.ok_or_else(missing)?,
            rank: Rank::try_from(rank).ok(),
            platform: platform.ok_or_else(missing)?,
            traffic_addr: traffic_addr.ok_or_else(missing)?,
            control_addr: control_addr.ok_or_else(missing)?,
            operator_addr: operator_addr.ok_or_else(missing)?,
            cold_floor,
            concurrency,
            grace,
            threads,
            log_format,
            log_level,
        })
    }
}
