//! Command line of `jujube-lab`.

use std::{net::SocketAddr, path::PathBuf};

xflags::xflags! {
    /// Stand-ins, load, fault injection and experiments for jujubejunction.
    cmd jujube-lab {
        /// Runs a stand-in of a model engine.
        cmd engine {
            /// Address to listen on.
            required --addr addr: SocketAddr
            /// Model to serve; repeatable.
            repeated --model model: String
            /// Maximum requests in the batch.
            optional --capacity count: u32
            /// Duration of each token, in microseconds.
            optional --token-delay-us micros: u64
            /// Time before the first token if the prefix is not cached, in microseconds.
            optional --prefill-delay-us micros: u64
            /// Capacity of the KV cache, in tokens; unlimited by default.
            optional --token-capacity count: u32
            /// Maximum concurrent requests while cold.
            optional --cold-floor count: u32
            /// Time from the start until it is warm, in milliseconds.
            optional --warm-after-ms millis: u64
            /// Whether it refuses orders with a lower fencing number than the highest known.
            optional --fencing on: bool
            /// Delay of cache events, in milliseconds.
            optional --event-lag-ms millis: u64
            /// Drops each nth cache event; 0 drops none.
            optional --event-loss nth: u64
        }
        /// Runs a stand-in of the platform: configuration service and live list.
        cmd platform {
            /// Address to listen on.
            required --addr addr: SocketAddr
            /// Additional address with its own live list; repeatable.
            repeated --view addr: SocketAddr
        }
        /// Runs a stand-in of a lock-step group of engines.
        cmd group {
            /// Address of each rank, separated by commas.
            required --addrs addrs: String
            /// Number of experts.
            optional --experts count: u32
            /// Whether engines refuse orders with a lower fencing number than the highest known.
            optional --fencing on: bool
            /// Duration of a step, in microseconds.
            optional --step-us micros: u64
        }
        /// Runs a stand-in of a plain service.
        cmd service {
            /// Address to listen on.
            required --addr addr: SocketAddr
            /// Duration of each call, in microseconds.
            optional --delay-us micros: u64
            /// Maximum concurrent requests while cold.
            optional --cold-floor count: u32
            /// Time from the start until it is warm, in milliseconds.
            optional --warm-after-ms millis: u64
        }
        /// Runs a relay that injects faults.
        cmd relay {
            /// Address to listen on.
            required --addr addr: SocketAddr
            /// Address to forward connections to.
            required --target addr: SocketAddr
            /// Address of the control port, on which tests set the mode.
            required --control addr: SocketAddr
        }
        /// Runs a demo with stand-ins on loopback and prints the responses.
        cmd demo {
            /// Directory of the operators' files; examples/hangang by default.
            optional --examples dir: PathBuf
        }
        /// Sends load and checks each response.
        cmd load {
            /// Base URL of an entry or a stand-in; repeatable.
            repeated --base url: String
            /// Number of concurrent callers.
            optional --callers count: usize
            /// Time for which new requests are started, in seconds.
            optional --seconds count: u64
            /// Tokens of each streamed completion.
            optional --tokens count: u32
            /// Kind of requests to send: `streams`, `lookups` or `mixed`.
            optional --work name: String
            /// Distinguishes the requests of this run from those of other runs.
            optional --seed seed: u64
        }
        /// Runs a benchmark and prints its tables in Markdown.
        cmd bench {
            /// Cost of the path through entry and agent, compared with direct calls.
            cmd path {
                /// Number of rounds, each with one turn of direct calls and one along the path.
                optional --rounds count: u32
                /// Duration of each turn, in milliseconds.
                optional --turn-ms millis: u64
                /// Duration of the idle measurement, in seconds.
                optional --idle seconds: u64
                /// Distinguishes the requests of this run from those of other runs.
                optional --seed seed: u64
            }
            /// Rebalancing of experts, compared with a static map and a full repack.
            cmd rebalance {
                /// Seed of the experiment.
                optional --seed seed: u64
                /// File to write a plot to.
                optional --svg file: PathBuf
            }
            /// Choice of a backend server, compared with baselines.
            cmd routing {
                /// Seed of the experiment.
                optional --seed seed: u64
            }
            /// Service while a failure domain leaves and returns.
            cmd domain {
                /// Seed of the experiment.
                optional --seed seed: u64
                /// File to write a plot to.
                optional --svg file: PathBuf
            }
            /// Cost of one process's control state as the fleet grows.
            cmd capacity {
                /// Seed of the experiment.
                optional --seed seed: u64
            }
            /// Schemes for once-only requests while home agents fail.
            cmd once {
                /// Seed of the experiment.
                optional --seed seed: u64
            }
        }
        /// Checks operators' files and publishes them to the stand-in platform.
        cmd publish {
            /// Directory that holds the files.
            required dir: PathBuf
            /// Base URL of the platform.
            required --platform url: String
        }
    }
}
