//! Control messages between the system's processes: heartbeats with load reports and the index of
//! the configuration in force, and a JSON-RPC interface for configurations and group requests.

use std::collections::BTreeMap;

use jj_utils::{
    common_derives,
    ids::{ConfigIndex, FailureDomainId, Incarnation, InstanceId},
};
use jsonrpsee::{core::RpcResult, proc_macros::rpc};

use crate::group::{ReplyWire, RequestWire};

common_derives! {wire:
    /// State that a process reports to another about itself.
    #[derive(Default)]
    pub struct Heartbeat {
        /// Name of the sender's instance.
        pub instance: InstanceId,
        /// Incarnation of the sender.
        pub incarnation: Incarnation,
        /// Failure domain of the sender.
        pub domain: FailureDomainId,
        /// Index of the configuration in force at the sender.
        pub index: ConfigIndex,
        /// Time since the sender last reached the configuration service, in milliseconds.
        pub platform_age: Option<u64>,
        /// Time on the sender's clock, in microseconds since the origin of that clock.
        pub clock: u64,
        /// True when the sender accepts no new work because it is shutting down.
        pub draining: bool,
        /// Load of the sender's backend server; agents only.
        pub load: Option<LoadReport>,
    }
}

common_derives! {wire:
    /// Load of an agent and its backend server.
    #[derive(Default)]
    pub struct LoadReport {
        /// Current limit of concurrent requests at the backend server.
        pub limit: u32,
        /// Number of requests at the backend server.
        pub running: u32,
        /// Number of requests waiting in the agent.
        pub waiting: u32,
        /// Smoothed time to the first byte, in microseconds.
        pub latency: u64,
        /// True while the agent's backend server responds.
        pub reachable: bool,
        /// True once the agent is draining; also sent with each response, because entries must
        /// learn of it before the next heartbeat.
        #[serde(default)]
        pub leaving: bool,
    }
}

common_derives! {wire:
    /// The configuration manifest in force at a process.
    pub struct ManifestWire {
        /// Index of the manifest in the configuration service.
        pub index: ConfigIndex,
        /// Text of the manifest.
        pub manifest: String,
    }
}

/// JSON-RPC interface that every process offers to the others.
#[rpc(client, server, namespace = "jujube")]
pub trait Control {
    /// Returns the manifest in force if its index is above `newer_than`.
    #[method(name = "manifest")]
    async fn manifest(&self, newer_than: ConfigIndex) -> RpcResult<Option<ManifestWire>>;

    /// Returns the texts of those documents in force that have one of these digests, by digest.
    #[method(name = "documents")]
    async fn documents(&self, digests: Vec<String>) -> RpcResult<BTreeMap<String, String>>;

    /// Forwards a request of a group leader to the rank of this agent; returns `None` while the
    /// agent can't reply.
    #[method(name = "group")]
    async fn group(&self, request: RequestWire) -> RpcResult<Option<ReplyWire>>;
}
