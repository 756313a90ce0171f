//! Settings of the agent, from flags and environment variables.

use std::path::PathBuf;

use jj_node::{
    node_flags,
    settings::{NodeSettings, read_url},
};
use jj_operator::documents::ServiceKind;
use jj_utils::{
    ids::{Rank, ServiceId},
    settings::{EnvLookup, SettingsReader},
};

xflags::xflags! {
    /// The process beside each backend server instance of jujubejunction. Every flag can also be
    /// given as an environment variable: --traffic-addr is JUJUBE_TRAFFIC_ADDR. The flag wins.
    cmd jujube-agent {
        /// Print the version and exit.
        optional --version
        /// Runs beside a backend server and forwards all requests to it; this is the default.
        default cmd serve {
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
            /// Concurrency limit while the backend server is cold, until the configuration sets it.
            optional --cold-floor count: String
            /// Concurrency limit while the backend server is warm, until the configuration sets it.
            optional --concurrency count: String
            /// Token capacity of the engine's memory, until the configuration sets it; 0: no limit.
            optional --tokens count: String
            /// Maximum wait for requests in progress after SIGTERM, such as 60s.
            optional --grace duration: String
            /// Memory of the process, in bytes.
            optional --memory bytes: String
            /// Open file descriptors of the process.
            optional --max-fds count: String
            /// Number of traffic threads.
            optional --threads count: String
            /// Format of log lines: `text` or `json`.
            optional --log-format format: String
            /// Minimum level of log lines: error, warn, info, debug.
            optional --log-level level: String
        }

        /// Runs beside a model engine on machines that the operator has prepared and keeps its
        /// group's expert map balanced; requests do not pass through it.
        cmd balance {
            /// Settings file of the instance; without it, the one that the platform names.
            optional --settings path: PathBuf
            /// Minimum level of log lines: error, warn, info, debug.
            optional --log-level level: String
            /// Address at which the metrics are served, such as 10.0.0.4:9464.
            optional --metrics-addr addr: String
        }
    }
}

/// Validated settings.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Settings that entry and agent share.
    pub node: NodeSettings,
    /// Service of the backend server.
    pub service: ServiceId,
    /// Kind of the backend server.
    pub kind: ServiceKind,
    /// Base URL of the backend server.
    pub backend: String,
    /// Position of the backend server in its service's lock-step group, if it is in one.
    pub rank: Option<Rank>,
    /// Concurrency limit of a cold server, until the configuration sets it.
    pub cold_floor: u32,
    /// Concurrency limit of a warm server, until the configuration sets it.
    pub concurrency: u32,
    /// Token capacity of the engine's memory, until the configuration sets it; `None`: no limit.
    pub tokens: Option<u32>,
}

impl Settings {
    /// Reads and validates flags and environment variables.
    ///
    /// # Errors
    /// All errors found, one per line.
    pub fn read(flags: Serve, env: &EnvLookup<'_>) -> anyhow::Result<Self> {
        let mut reader = SettingsReader::new(env);
        let node = NodeSettings::read(&mut reader, node_flags!(flags));
        let service = reader.required("service", flags.service);
        let kind = reader.required::<String>("kind", flags.kind);
        let kind = kind.and_then(|kind| read_kind(&mut reader, &kind));
        let backend = read_url(&mut reader, "backend", flags.backend);
        let rank = reader.optional::<i64>("rank", flags.rank, -1);
        reader.check(rank >= -1, "--rank: must not be negative");
        let cold_floor = reader.optional("cold-floor", flags.cold_floor, 1);
        let concurrency = reader.optional("concurrency", flags.concurrency, 16);
        let tokens = reader.optional("tokens", flags.tokens, 0);
        reader.check(cold_floor >= 1, "--cold-floor: must be at least 1");
        reader.check(
            concurrency >= cold_floor,
            "--concurrency: must be at least --cold-floor",
        );
        reader.finish()?;
        let missing = || anyhow::anyhow!("a required setting is missing");
        Ok(Self {
            node: node.ok_or_else(missing)?,
            service: service.ok_or_else(missing)?,
            kind: kind.ok_or_else(missing)?,
            backend: backend.ok_or_else(missing)?,
            rank: Rank::try_from(rank).ok(),
            cold_floor,
            concurrency,
            tokens: (tokens > 0).then_some(tokens),
        })
    }
}

fn read_kind(reader: &mut SettingsReader<'_>, kind: &str) -> Option<ServiceKind> {
    match kind {
        "model" => Some(ServiceKind::Model),
        "plain" => Some(ServiceKind::Plain),
        other => {
            reader.check(
                false,
                format!("--kind: `{other}` is neither `model` nor `plain`"),
            );
            None
        }
    }
}
