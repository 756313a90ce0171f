//! Control between the system's processes: heartbeats with load reports and configuration news, and
//! JSON-RPC for publications.

use std::collections::BTreeMap;

use jj_utils::{
    common_derives,
    ids::{ConfigIndex, FailureDomainId, Incarnation, InstanceId},
};
use jsonrpsee::{core::RpcResult, proc_macros::rpc};

use crate::group::{ReplyWire, RequestWire};

common_derives! {wire:
    /// What a process tells another about itself.
    #[derive(Default)]
    pub struct Heartbeat {
        /// The sender.
        pub instance: InstanceId,
        /// Its life.
        pub incarnation: Incarnation,
        /// Its failure domain.
        pub domain: FailureDomainId,
        /// Index of the configuration in force at the sender.
        pub index: ConfigIndex,
        /// Time since the sender last reached the configuration service, in milliseconds.
        pub platform_age: Option<u64>,
        /// The sender's own clock, in microseconds since its origin.
        pub clock: u64,
        /// True when the sender takes no new work.
        pub draining: bool,
        /// Load of the sender's backend server; agents only.
        pub load: Option<LoadReport>,
    }
}

common_derives! {wire:
    /// Load of an agent and its backend server.
    #[derive(Default)]
    pub struct LoadReport {
        /// Concurrent requests that the agent admits now.
        pub limit: u32,
        /// Requests at the backend server.
        pub running: u32,
        /// Requests waiting in the agent.
        pub waiting: u32,
        /// Smoothed time to the first byte, in microseconds.
        pub latency: u64,
        /// True while the agent's backend server answers.
        pub reachable: bool,
        /// True once the agent is leaving: news that must not wait for a heartbeat.
        #[serde(default)]
        pub leaving: bool,
    }
}

common_derives! {wire:
    /// The manifest in force at a process.
    pub struct ManifestWire {
        /// Its index in the configuration service.
        pub index: ConfigIndex,
        /// Its text.
        pub manifest: String,
    }
}

/// What every process offers the others.
#[rpc(client, server, namespace = "jujube")]
pub trait Control {
    /// The manifest in force, when its index is above `newer_than`.
    #[method(name = "manifest")]
    async fn manifest(&self, newer_than: ConfigIndex) -> RpcResult<Option<ManifestWire>>;

    /// Texts of the documents in force that have one of these digests, by digest.
    #[method(name = "documents")]
    async fn documents(&self, digests: Vec<String>) -> RpcResult<BTreeMap<String, String>>;

    /// A request of a group's leader to a rank; no reply while the rank's agent can't answer.
    #[method(name = "group")]
    async fn group(&self, request: RequestWire) -> RpcResult<Option<ReplyWire>>;
}
