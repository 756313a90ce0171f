//! Command line of `jujube-lab`.

use std::{net::SocketAddr, path::PathBuf};

xflags::xflags! {
    /// Stand-ins, load, fault injection and experiments for jujubejunction.
    cmd jujube-lab {
        /// Runs a stand-in of a model engine.
        cmd engine {
            /// Where it listens.
            required --addr addr: SocketAddr
            /// A model that it serves; may be given again.
            repeated --model model: String
            /// Requests in the batch at once.
            optional --capacity count: u32
            /// Time of each token, in microseconds.
            optional --token-delay-us micros: u64
            /// Time before the first token of an unknown prefix, in microseconds.
            optional --prefill-delay-us micros: u64
            /// Tokens that its memory holds; any without a number.
            optional --token-capacity count: u32
            /// Requests that it bears while cold.
            optional --cold-floor count: u32
            /// Time from the start to being warm, in milliseconds.
            optional --warm-after-ms millis: u64
            /// Whether it refuses orders with an old fencing number.
            optional --fencing on: bool
            /// Lag of cache events, in milliseconds.
            optional --event-lag-ms millis: u64
            /// Each nth cache event is lost.
            optional --event-loss nth: u64
        }
        /// Runs a stand-in of the platform: configuration service and live list.
        cmd platform {
            /// Where it listens.
            required --addr addr: SocketAddr
            /// A further address, with a live list of its own; may be given again.
            repeated --view addr: SocketAddr
        }
        /// Runs a stand-in of a lock-step group of engines.
        cmd group {
            /// Address of each rank, separated by commas.
            required --addrs addrs: String
            /// Experts.
            optional --experts count: u32
            /// Whether engines refuse orders with an old fencing number.
            optional --fencing on: bool
            /// Time of a step, in microseconds.
            optional --step-us micros: u64
        }
        /// Runs a stand-in of a plain service.
        cmd service {
            /// Where it listens.
            required --addr addr: SocketAddr
            /// Time of each call, in microseconds.
            optional --delay-us micros: u64
            /// Requests that it bears while cold.
            optional --cold-floor count: u32
            /// Time from the start to being warm, in milliseconds.
            optional --warm-after-ms millis: u64
        }
        /// Runs a relay that injects faults.
        cmd relay {
            /// Where it listens.
            required --addr addr: SocketAddr
            /// Where it connects to.
            required --target addr: SocketAddr
            /// Where tests set its mode.
            required --control addr: SocketAddr
        }
        /// Runs the main job with stand-ins on loopback and prints the whole answers.
        cmd demo {
            /// Directory of the operators' files; examples/hangang by default.
            optional --examples dir: PathBuf
        }
        /// Sends load and checks each answer.
        cmd load {
            /// Base URL of an entry or of a stand-in; may be given again.
            repeated --base url: String
            /// Callers at once.
            optional --callers count: usize
            /// How long new requests are begun, in seconds.
            optional --seconds count: u64
            /// Tokens of each streamed completion.
            optional --tokens count: u32
            /// What to send: `streams`, `lookups` or `mixed`.
            optional --work name: String
            /// Makes the requests of this run differ from those of others.
            optional --seed seed: u64
        }
        /// Runs a benchmark and prints its tables in Markdown.
        cmd bench {
            /// Cost of the path through entry and agent, beside direct calls.
            cmd path {
                /// Turns that direct calls and calls along the path take.
                optional --rounds count: u32
                /// Time of each turn, in milliseconds.
                optional --turn-ms millis: u64
                /// Time without any request, in seconds.
                optional --idle seconds: u64
                /// Makes the requests of this run differ from those of others.
                optional --seed seed: u64
            }
            /// Rebalancing of experts against a static map and a full repack.
            cmd rebalance {
                /// Seed of the experiment.
                optional --seed seed: u64
                /// File for a plot.
                optional --svg file: PathBuf
            }
            /// Choice of a backend server against the baselines.
            cmd routing {
                /// Seed of the experiment.
                optional --seed seed: u64
            }
            /// Service while a failure domain leaves and returns.
            cmd domain {
                /// Seed of the experiment.
                optional --seed seed: u64
                /// File for a plot.
                optional --svg file: PathBuf
            }
            /// What the control state of one process costs as the fleet grows.
            cmd capacity {
                /// Seed of the experiment.
                optional --seed seed: u64
            }
            /// Once-only schemes under vanishing homes.
            cmd once {
                /// Seed of the experiment.
                optional --seed seed: u64
            }
        }
        /// Checks, collects and publishes operators' files to the stand-in of the platform.
        cmd publish {
            /// Directory that holds the files.
            required dir: PathBuf
            /// Base URL of the platform.
            required --platform url: String
        }
    }
}
