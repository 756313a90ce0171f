//! Which configuration is in force: the service's index orders, and nothing goes back.
//!
//! Validity depends on the bytes alone, so an invalid configuration is refused by every process
//! alike and the last valid one stays in force everywhere. A starting process has nothing to
//! compare a stale read with, so it asks peers in each failure domain before it serves.

use std::collections::BTreeMap;

use jj_utils::{
    clock::Timestamp,
    common_derives,
    ids::{ConfigIndex, FailureDomainId},
};

common_derives! {key:
    /// One publication, as the configuration service orders it.
    pub struct ConfigVersion {
        /// The service's modification index of the manifest.
        pub index: ConfigIndex,
        /// Digest of the manifest's bytes.
        pub digest: String,
    }
}

common_derives! {key:
    /// What was decided on an offered version.
    pub enum VersionDecision {
        /// It is in force now.
        Accepted,
        /// It is in force already.
        Same,
        /// It is behind the one in force: a stale read.
        Stale,
        /// It is invalid; the last valid one stays in force.
        Refused(String),
        /// Another manifest under the index in force: the source is faulty.
        Conflict,
    }
}

/// The version in force.
#[derive(Debug, Clone, Default)]
pub struct ConfigVersions {
    in_force: Option<ConfigVersion>,
    refused: Option<ConfigVersion>,
}

impl ConfigVersions {
    /// Decides on a version read from the service or from a peer; `check` validates its bytes and
    /// says where and why they are invalid.
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

    /// The version in force, if any.
    pub fn in_force(&self) -> Option<&ConfigVersion> {
        self.in_force.as_ref()
    }

    /// The version refused last, if any; not fetched again.
    pub fn last_refused(&self) -> Option<&ConfigVersion> {
        self.refused.as_ref()
    }

    /// Index in force; 0 when there is none.
    pub fn index_in_force(&self) -> ConfigIndex {
        self.in_force.as_ref().map_or(0, |version| version.index)
    }
}

common_derives! {copy:
    /// What a failure domain said to a starting process.
    enum DomainAnswer {
        /// Nobody answered yet.
        Open,
        /// The newest valid index that a peer there has in force.
        Newest(ConfigIndex),
        /// Nobody there can be reached.
        Unreachable,
    }
}

common_derives! {copy:
    /// Whether a starting process may serve.
    pub enum Readiness {
        /// A failure domain or the service has not answered yet, and the limit is not reached.
        Waiting,
        /// A newer version is known than the one in force; it is fetched first.
        Behind(ConfigIndex),
        /// Nothing is in force and nobody is left to ask.
        Empty,
        /// It may serve.
        Ready,
    }
}

/// The questions of a starting process.
#[derive(Debug)]
pub struct StartupCheck {
    domains: BTreeMap<FailureDomainId, DomainAnswer>,
    give_up: Timestamp,
}

impl StartupCheck {
    /// Asks peers in `domains`; at `give_up` a domain that has not answered counts as unreachable.
    pub fn new(domains: impl IntoIterator<Item = FailureDomainId>, give_up: Timestamp) -> Self {
        let domains = domains
            .into_iter()
            .map(|name| (name, DomainAnswer::Open))
            .collect();
        Self { domains, give_up }
    }

    /// Takes in the index that a peer in `domain` has in force.
    pub fn observe_answer(&mut self, domain: &str, index: ConfigIndex) {
        let Some(answer) = self.domains.get_mut(domain) else {
            return;
        };
        *answer = match *answer {
            DomainAnswer::Newest(known) => DomainAnswer::Newest(known.max(index)),
            DomainAnswer::Open | DomainAnswer::Unreachable => DomainAnswer::Newest(index),
        };
    }

    /// Takes in that every known peer in `domain` failed to answer.
    pub fn observe_unreachable(&mut self, domain: &str) {
        if let Some(answer) = self.domains.get_mut(domain)
            && *answer == DomainAnswer::Open
        {
            *answer = DomainAnswer::Unreachable;
        }
    }

    /// Whether to serve now with the index `in_force` (0 for none).
    pub fn readiness(&self, in_force: ConfigIndex, now: Timestamp) -> Readiness {
        let newest = self.domains.values().map(|answer| match answer {
            DomainAnswer::Newest(index) => *index,
            DomainAnswer::Open | DomainAnswer::Unreachable => 0,
        });
        let newest = newest.max().unwrap_or(0);
        let is_open = self.domains.values().any(|a| *a == DomainAnswer::Open);
        if is_open && now < self.give_up {
            return Readiness::Waiting;
        }
        if in_force < newest {
            return Readiness::Behind(newest);
        }
        if in_force == 0 {
            return Readiness::Empty;
        }
        Readiness::Ready
    }
}
