//! The command line.

use std::{net::SocketAddr, path::PathBuf};

xflags::xflags! {
    /// jujubejunction: load balancer for expert-parallel model groups.
    cmd jujubejunction {
        /// Print the version and exit.
        optional --version

        /// Runs an entry. Every flag can also be given as an environment variable:
        /// --traffic-addr is JUJUBE_TRAFFIC_ADDR. The flag wins.
        cmd serve {
            /// Name of this instance, as the platform lists it.
            optional --instance name: String
            /// Failure domain of this instance.
            optional --domain name: String
            /// Base URL of the platform.
            optional --platform url: String
            /// Address for callers.
            optional --traffic-addr addr: String
            /// Address for control calls from the system's other processes.
            optional --control-addr addr: String
            /// Address of the operator port.
            optional --operator-addr addr: String
            /// How long callers may cache an address answer, such as 10s.
            optional --lifetime duration: String
            /// Longest wait for open requests after SIGTERM, such as 60s.
            optional --grace duration: String
            /// Largest body of a caller's request, in bytes.
            optional --max-body bytes: String
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

        /// Runs an entry on the users' prepared machines, which sends requests to backend servers
        /// itself.
        cmd front {
            /// Settings file of the instance; without it, the one that the platform names.
            optional --settings path: PathBuf
            /// Minimum level of log lines: error, warn, info, debug.
            optional --log-level level: String
            /// Address at which the metrics are served, such as 10.0.0.4:9464.
            optional --metrics-addr addr: String
        }

        /// Checks the operators' files below a directory and reports all faults at once.
        /// Exit codes: 0 nothing wrong, 1 faults found, 2 wrong usage or unreadable files.
        cmd check {
            /// Directory that holds the files: `jujube.toml` or `<name>.jujube.toml`.
            required dir: PathBuf
            /// Print the faults as a JSON list on standard output.
            optional --json
        }

        /// Checks the operators' files and merges them into the published form. The same files give
        /// the same bytes. Exit codes as for `check`.
        cmd collect {
            /// Directory that holds the files.
            required dir: PathBuf
            /// Directory to write `manifest.json` and `documents/` to; without it, one JSON bundle
            /// goes to standard output.
            optional --out out: PathBuf
        }

        /// Shows the status of one process. Exit codes: 0 answered, 2 no answer.
        cmd status {
            /// Address of the process's operators' port, such as 10.0.0.4:7003.
            required addr: SocketAddr
            /// Print the answer as JSON.
            optional --json
        }
    }
}
