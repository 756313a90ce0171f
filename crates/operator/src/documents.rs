//! The published form of the operators' files: one document a service, one for the fleet, and a
//! manifest that names each by the digest of its bytes.

use std::{collections::BTreeMap, time::Duration};

use jj_utils::{
    common_derives,
    ids::{ClientAccountId, FailureDomainId, ModelId, ServiceId},
};

/// Key of the manifest in the configuration service.
pub const MANIFEST_KEY: &str = "jujube/manifest";

/// Prefix of the keys of documents; the digest follows, so a document never changes under its key.
pub const DOCUMENT_PREFIX: &str = "jujube/documents/";

/// SHA-256 of a document's bytes, in lower-case hex.
pub type Digest = String;

common_derives! {wire:
    /// Names every document of one publication.
    #[derive(Default)]
    #[serde(deny_unknown_fields)]
    pub struct Manifest {
        /// Version of this form; 1 now.
        pub format: u32,
        /// Digest of the fleet document.
        pub fleet: Digest,
        /// Digest of each service's document.
        pub services: BTreeMap<ServiceId, Digest>,
        /// Digests of the documents that hold the accounts of a large fleet.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        pub accounts: Vec<Digest>,
        /// File that each service's document was made from, for messages.
        #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
        pub sources: BTreeMap<ServiceId, String>,
        /// The fleet's document itself when it is short, so that taking a failure domain out costs
        /// each process no further read.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub inline: Option<FleetDocument>,
    }
}

common_derives! {wire:
    /// What holds for the whole fleet.
    #[derive(Default)]
    #[serde(deny_unknown_fields)]
    pub struct FleetDocument {
        /// Every failure domain, and whether it is in service.
        pub domains: BTreeMap<FailureDomainId, DomainState>,
        /// Every client account.
        pub accounts: BTreeMap<ClientAccountId, Account>,
    }
}

common_derives! {wire:
    /// A part of the accounts of a large fleet, so that a change moves few bytes.
    #[derive(Default)]
    #[serde(deny_unknown_fields)]
    pub struct AccountsDocument {
        /// Client accounts of this part.
        pub accounts: BTreeMap<ClientAccountId, Account>,
    }
}

common_derives! {wire:
    /// Whether a failure domain takes new work.
    #[derive(Copy, Eq)]
    #[serde(rename_all = "kebab-case")]
    pub enum DomainState {
        /// Takes new work.
        InService,
        /// Taken out by operators: no new work.
        Withdrawn,
    }
}

common_derives! {wire:
    /// One client account.
    #[serde(deny_unknown_fields)]
    pub struct Account {
        /// Share under contention, relative to the other accounts.
        pub weight: u32,
        /// SHA-256 of each API key, in lower-case hex; the keys themselves are never published.
        pub keys: Vec<Digest>,
    }
}

common_derives! {wire:
    /// One service and how to treat its requests.
    #[serde(deny_unknown_fields)]
    pub struct ServiceDocument {
        /// Name of the service.
        pub service: ServiceId,
        /// What its backend servers are.
        pub kind: ServiceKind,
        /// Models it serves; empty for a plain service.
        pub models: Vec<ModelId>,
        /// Declared routes, the first match wins.
        pub routes: Vec<Route>,
        /// Limits that its agents hold.
        pub limits: Limits,
        /// Lock-step groups, for expert-parallel models.
        pub group: Option<Group>,
    }
}

common_derives! {wire:
    /// What the backend servers of a service are.
    #[derive(Copy, Eq)]
    #[serde(rename_all = "kebab-case")]
    pub enum ServiceKind {
        /// A model engine.
        Model,
        /// A plain HTTP service.
        Plain,
    }
}

common_derives! {wire:
    /// One declared route of a service.
    #[serde(deny_unknown_fields)]
    pub struct Route {
        /// HTTP method, upper case.
        pub method: String,
        /// Path; a segment `*` stands for any one segment, a last `**` for any rest.
        pub path: String,
        /// True when running a request twice does no harm.
        pub idempotent: bool,
        /// Longest time to the whole answer.
        #[serde(with = "millis")]
        pub timeout: Duration,
    }
}

common_derives! {wire:
    /// Limits of one backend server of a service.
    #[serde(deny_unknown_fields)]
    pub struct Limits {
        /// Concurrent requests that a cold backend server bears.
        pub cold_floor: u32,
        /// Concurrent requests that a warm backend server bears.
        pub concurrency: u32,
        /// Requests that may wait in an agent.
        pub queue: u32,
        /// Tokens that an engine's memory holds for prompts and answers, where that is declared.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub tokens: Option<u32>,
    }
}

common_derives! {wire:
    /// A lock-step group of ranks.
    #[serde(deny_unknown_fields)]
    pub struct Group {
        /// Ranks of the group.
        pub ranks: u32,
        /// Experts in each layer.
        pub experts: u32,
        /// Expert slots on each rank, replicas included.
        pub slots: u32,
        /// True when the engines refuse orders with an old fencing number.
        pub fencing: bool,
    }
}

/// Durations as whole milliseconds.
mod millis {
    use std::time::Duration;

    use serde::{Deserialize, Deserializer, Serializer};

    pub fn serialize<S: Serializer>(value: &Duration, out: S) -> Result<S::Ok, S::Error> {
        out.serialize_u64(u64::try_from(value.as_millis()).unwrap_or(u64::MAX))
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(input: D) -> Result<Duration, D::Error> {
        Ok(Duration::from_millis(u64::deserialize(input)?))
    }
}
