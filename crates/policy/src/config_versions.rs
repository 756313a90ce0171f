//! Decides which configuration is in force: the valid one with the highest index seen so far.
//!
//! The configuration service assigns the indices. Validity depends only on the bytes, so every
//! process refuses the same invalid configurations and the last valid one stays in force
//! everywhere. A starting process can't tell whether a read is stale, so it queries peers in each
//! failure domain before it serves.

use std::collections::BTreeMap;

use jj_utils::{
    clock::Timestamp,
    common_derives,
    ids::{ConfigIndex, FailureDomainId},
};

common_derives! {key:
    /// One published version of the configuration.
    pub struct ConfigVersion {
        /// Modification index of the manifest in the configuration service.
        pub index: ConfigIndex,
        /// Digest of the manifest's bytes.
        pub digest: String,
    }
}

common_derives! {key:
    /// Decision on an offered version.
    pub enum VersionDecision {
        /// The version is valid and has come into force.
        Accepted,
        /// The version was in force already.
        Same,
        /// The index is lower than that of the version in force: a stale read.
        Stale,
        /// The version is invalid, for this reason; the last valid one stays in force.
        Refused(String),
        /// The index is that of the version in force but the manifest differs: the source is
        /// faulty.
        Conflict,
    }
}

/// The version in force and the version refused last.
#[derive(Debug, Clone, Default)]
pub struct ConfigVersions {
    in_force: Option<ConfigVersion>,
    refused: Option<ConfigVersion>,
}

impl ConfigVersions {
    /// Decides on a version read from the configuration service or a peer, and records it if it
    /// comes into force or is refused. `check` validates the version's bytes; its error says
    /// where and why they are invalid.
    pub fn offer(
        &mut self,
        version: &ConfigVersion,
        check: impl FnOnce() -> Result<(), String>,
    ) -> VersionDecision {
        if let Some(current) = &self.in_force {
            if version.index < current.index {
                return VersionDecision::Stale;
            }
            if version.index == current.index {
                let is_same = version.digest == current.digest;
                return if is_same {
                    VersionDecision::Same
                } else {
                    VersionDecision::Conflict
                };
            }
        }
        if let Err(reason) = check() {
            self.refused = Some(version.clone());
            return VersionDecision::Refused(reason);
        }
        self.in_force = Some(version.clone());
        VersionDecision::Accepted
    }

    /// Returns the version in force, if any.
    pub fn in_force(&self) -> Option<&ConfigVersion> {
        self.in_force.as_ref()
    }

    /// Returns the version refused last, if any, so that the caller need not fetch it again.
    pub fn last_refused(&self) -> Option<&ConfigVersion> {
        self.refused.as_ref()
    }

    /// Returns the index of the version in force; 0 if there is none.
    pub fn index_in_force(&self) -> ConfigIndex {
        self.in_force.as_ref().map_or(0, |version| version.index)
    }
}

common_derives! {copy:
    /// Answer of the peers in a failure domain to a starting process.
    enum DomainAnswer {
        /// No peer has answered yet.
        Pending,
        /// Highest index that an answering peer has in force.
        Newest(ConfigIndex),
        /// No known peer has answered, and none is awaited.
        Unreachable,
    }
}

common_derives! {copy:
    /// Readiness of a starting process to serve.
    pub enum Readiness {
        /// A failure domain has not answered yet, and the deadline has not passed.
        Waiting,
        /// A peer has this newer index in force; its version has to be fetched first.
        Behind(ConfigIndex),
        /// No version is in force, and no peer has reported one.
        Empty,
        /// The process may serve.
        Ready,
    }
}

/// Check by which a starting process learns of the newest index from its peers.
#[derive(Debug)]
pub struct StartupCheck {
    domains: BTreeMap<FailureDomainId, DomainAnswer>,
    deadline: Timestamp,
}

impl StartupCheck {
    /// Creates a check that awaits an answer from each of `domains`. From `deadline` on, domains
    /// without an answer count as unreachable.
    pub fn new(domains: impl IntoIterator<Item = FailureDomainId>, deadline: Timestamp) -> Self {
        let domains = domains
            .into_iter()
            .map(|name| (name, DomainAnswer::Pending))
            .collect();
        Self { domains, deadline }
    }

    /// Records the index that a peer in `domain` has in force.
    pub fn record_answer(&mut self, domain: &str, index: ConfigIndex) {
        let Some(answer) = self.domains.get_mut(domain) else {
            return;
        };
        *answer = match *answer {
            DomainAnswer::Newest(known) => DomainAnswer::Newest(known.max(index)),
            DomainAnswer::Pending | DomainAnswer::Unreachable => DomainAnswer::Newest(index),
        };
    }

    /// Records that no known peer in `domain` has answered.
    pub fn record_unreachable(&mut self, domain: &str) {
        if let Some(answer) = self.domains.get_mut(domain)
            && *answer == DomainAnswer::Pending
        {
            *answer = DomainAnswer::Unreachable;
        }
    }

    /// Returns whether the process may serve with `index_in_force` (0 for none).
    pub fn readiness(&self, index_in_force: ConfigIndex, now: Timestamp) -> Readiness {
        let newest = self.domains.values().map(|answer| match answer {
            DomainAnswer::Newest(index) => *index,
            DomainAnswer::Pending | DomainAnswer::Unreachable => 0,
        });
        let newest = newest.max().unwrap_or(0);
        let is_pending = self.domains.values().any(|a| *a == DomainAnswer::Pending);
        if is_pending && now < self.deadline {
            return Readiness::Waiting;
        }
        if index_in_force < newest {
            return Readiness::Behind(newest);
        }
        if index_in_force == 0 {
            return Readiness::Empty;
        }
        Readiness::Ready
    }
}
