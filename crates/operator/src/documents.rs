//! The published form of the operators' files: one document per service, one for the fleet, and a
//! manifest that names each by the digest of its bytes.

use std::{collections::BTreeMap, time::Duration};

use jj_utils::{
    common_derives,
    ids::{ClientAccountId, FailureDomainId, ModelId, ServiceId},
};

/// Key of the manifest in the configuration service.
pub const MANIFEST_KEY: &str = "jujube/manifest";

/// Prefix of document keys. The digest follows, so the document of a key never changes.
pub const DOCUMENT_PREFIX: &str = "jujube/documents/";

/// SHA-256 of a document's bytes, in lower-case hex.
pub type Digest = String;

common_derives! {wire:
    /// Lists the documents of one publication.
    #[derive(Default)]
    #[serde(deny_unknown_fields)]
    pub struct Manifest {
        /// Format version; currently 1.
        pub format: u32,
        /// Digest of the fleet document.
        pub fleet: Digest,
        /// Digest of each service's document.
        pub services: BTreeMap<ServiceId, Digest>,
        /// Digests of the accounts documents; used only in a large fleet.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        pub accounts: Vec<Digest>,
        /// Source file of each service's document, for messages.
        #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
        pub sources: BTreeMap<ServiceId, String>,
        /// The fleet document if it is short, so that withdrawing a failure domain costs each
        /// process no further read.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub inline: Option<FleetDocument>,
    }
}

common_derives! {wire:
    /// Failure domains and client accounts of the fleet.
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
    /// A part of a large fleet's client accounts; split so that a change transfers few bytes.
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
        /// Withdrawn by operators: takes no new work.
        Withdrawn,
    }
}

common_derives! {wire:
    /// One client account.
    #[serde(deny_unknown_fields)]
    pub struct Account {
        /// Weight in fair sharing, relative to the other accounts.
        pub weight: u32,
        /// SHA-256 of each API key, in lower-case hex; the keys themselves are never published.
        pub keys: Vec<Digest>,
    }
}

common_derives! {wire:
    /// A service: its kind, models, routes and limits.
    #[serde(deny_unknown_fields)]
    pub struct ServiceDocument {
        /// Name of the service.
        pub service: ServiceId,
        /// Kind of its backend servers.
        pub kind: ServiceKind,
        /// Served models; empty for a plain service.
        pub models: Vec<ModelId>,
        /// Declared routes; the first match applies.
        pub routes: Vec<Route>,
        /// Limits enforced by its agents.
        pub limits: Limits,
        /// Lock-step group of an expert-parallel model.
        pub group: Option<Group>,
    }
}

common_derives! {wire:
    /// Kind of a service's backend servers.
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
        /// Path pattern; a segment `*` matches any one segment, a final `**` the rest of the path.
        pub path: String,
        /// Whether running a request twice is harmless.
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
        /// Largest number of concurrent requests at a cold backend server.
        pub cold_floor: u32,
        /// Largest number of concurrent requests at a warm backend server.
        pub concurrency: u32,
        /// Largest number of requests queued in an agent.
        pub queue: u32,
        /// Tokens of prompts and answers that fit in an engine's memory, if declared.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub tokens: Option<u32>,
    }
}

common_derives! {wire:
    /// A lock-step group of ranks.
    #[serde(deny_unknown_fields)]
    pub struct Group {
        /// Number of ranks.
        pub ranks: u32,
        /// Number of experts in each layer.
        pub experts: u32,
        /// Number of expert slots on each rank, replicas included.
        pub slots: u32,
        /// Whether the engines reject orders with an outdated fencing number.
        pub fencing: bool,
    }
}

/// Serializes durations as whole milliseconds.
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
