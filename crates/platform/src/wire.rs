//! Wire types of the platform's services.
//!
//! The configuration service follows the published blocking-query protocol of key-value stores:
//! `GET /v1/kv/<key>?index=N&wait=10s` answers `[{"Key","Value" (base64),"ModifyIndex"}]` with the
//! header `X-Consul-Index`; 404 when the key is absent. The live list answers in the same manner
//! at `GET /v1/instances?index=N&wait=10s` with [`InstanceList`].

use std::net::SocketAddr;

use jj_utils::{
    common_derives,
    ids::{FailureDomainId, InstanceId, Rank, ServiceId},
};

/// Header that carries the index of an answer.
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
        /// Every instance that the platform believes to exist.
        pub instances: Vec<Instance>,
    }
}

common_derives! {wire:
    /// One instance of the system.
    pub struct Instance {
        /// Name of the instance.
        pub id: InstanceId,
        /// What runs there.
        pub role: Role,
        /// Its failure domain.
        pub domain: FailureDomainId,
        /// Service of its backend server; empty for an entry.
        #[serde(default)]
        pub service: ServiceId,
        /// Where requests arrive.
        pub traffic: SocketAddr,
        /// Where the system's other processes call.
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
    /// What runs on an instance.
    #[derive(Copy, Eq)]
    #[serde(rename_all = "kebab-case")]
    pub enum Role {
        /// An entry: `jujubejunction serve`.
        Entry,
        /// An agent beside a backend server: `jujube-agent`.
        Agent,
    }
}
