//! Wire types of the platform's services.
//!
//! The configuration service follows the published blocking-query protocol of key-value stores:
//! `GET /v1/kv/<key>?index=N&wait=10s` answers `[{"Key","Value" (base64),"ModifyIndex"}]` with the
//! header `X-Consul-Index`, or 404 if the key is absent. The live list works in the same way
//! at `GET /v1/instances?index=N&wait=10s` with [`InstanceList`].

use std::net::SocketAddr;

use jj_utils::{
    common_derives,
    ids::{FailureDomainId, InstanceId, Rank, ServiceId},
};

/// Response header with the index.
pub const INDEX_HEADER: &str = "x-consul-index";

common_derives! {wire:
    /// One value of the configuration service.
    #[serde(rename_all = "PascalCase")]
    pub struct KeyValue {
        /// Full key.
        pub key: String,
        /// Base64 of the value's bytes.
        pub value: String,
        /// Index of the last change of this key.
        pub modify_index: u64,
    }
}

common_derives! {wire:
    /// The lagging list of live and leaving instances.
    #[derive(Default)]
    pub struct InstanceList {
        /// Instances known to the platform.
        pub instances: Vec<Instance>,
    }
}

common_derives! {wire:
    /// One instance of the system.
    pub struct Instance {
        /// Instance name.
        pub id: InstanceId,
        /// Whether it runs an entry or an agent.
        pub role: Role,
        /// Failure domain.
        pub domain: FailureDomainId,
        /// Service of its backend server; empty for an entry.
        #[serde(default)]
        pub service: ServiceId,
        /// Address for requests.
        pub traffic: SocketAddr,
        /// Address for control calls and heartbeats.
        pub control: SocketAddr,
        /// Whether it is leaving.
        #[serde(default)]
        pub leaving: bool,
        /// Position of its backend server in the service's lock-step group.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub rank: Option<Rank>,
    }
}

common_derives! {wire:
    /// Kind of process on an instance.
    #[derive(Copy, Eq)]
    #[serde(rename_all = "kebab-case")]
    pub enum Role {
        /// An entry: `jujubejunction serve`.
        Entry,
        /// An agent beside a backend server: `jujube-agent`.
        Agent,
    }
}
