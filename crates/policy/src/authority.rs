//! Whether this process may take new work, given how fresh its view of the configuration is.
//!
//! A failure domain is withdrawn by a configuration that a cut-off process cannot see. So a process
//! takes new work only while it has recent evidence that it would have heard of a withdrawal:
//! - it read the configuration service, or a peer did and told it how long ago; or
//! - a peer in another failure domain in service answered, and cannot reach the service either.
//!   Then all are cut off alike, and everyone keeps serving on the last accepted configuration.
//!
//! Evidence is dated by when the question was sent, not by when the answer was read: an answer may
//! have waited in a socket while this process was frozen. Nothing is stored but dates, so a process
//! that wakes late has lost its authority before it acts.
//!
//! Limits: two failure domains that see each other but neither the third nor the service go on
//! serving, and a three-way split during an outage of the service stops all three.

use std::time::Duration;

use jj_utils::{
    clock::Timestamp,
    collections::{FastMap, FastSet},
    common_derives,
    ids::{ConfigIndex, FailureDomainId, InstanceId},
};

/// Time after its publication at which a withdrawal holds on every process.
pub const WITHDRAWAL_BOUND: Duration = Duration::from_secs(5);

/// Tunables of authority.
#[derive(Debug, Clone, PartialEq)]
pub struct AuthorityConfig {
    /// Age at which evidence counts no more; under [`WITHDRAWAL_BOUND`] by the time that a
    /// configuration, once read, needs to come into force.
    pub evidence_lifetime: Duration,
}

impl Default for AuthorityConfig {
    fn default() -> Self {
        Self {
            evidence_lifetime: Duration::from_secs(4),
        }
    }
}

common_derives! {key:
    /// A peer's answer on what it knows of the configuration.
    pub struct PeerAnswer {
        /// Who answered.
        pub peer: InstanceId,
        /// Its failure domain.
        pub domain: FailureDomainId,
        /// Index that it has in force.
        pub index: ConfigIndex,
        /// Age of its own newest evidence from the service when it answered, if it ever had one.
        pub service_evidence_age: Option<Duration>,
        /// When this process sent the question.
        pub requested_at: Timestamp,
    }
}

common_derives! {copy:
    /// Why new work may or may not be taken.
    pub enum AuthorityState {
        /// The service, or a peer that reached it, confirmed the configuration lately.
        Confirmed,
        /// Another failure domain is cut off alike.
        CutAlike,
        /// Cut off alone: no new work.
        CutAlone,
        /// A newer configuration is in force elsewhere and could not be fetched: no new work.
        Behind,
    }
}

impl AuthorityState {
    /// Whether new work may be taken.
    pub fn may_take_work(self) -> bool {
        matches!(self, Self::Confirmed | Self::CutAlike)
    }
}

common_derives! {copy:
    /// Leave to take new work up to a moment; checked again directly before the write.
    pub struct WorkPermit {
        /// First moment at which it does not hold any more.
        pub expires_at: Timestamp,
    }
}

impl WorkPermit {
    /// Whether the permit still holds.
    pub fn is_valid(self, now: Timestamp) -> bool {
        now < self.expires_at
    }
}

/// Evidence for the freshness of this process's configuration.
#[derive(Debug)]
pub struct Authority {
    config: AuthorityConfig,
    domain: FailureDomainId,
    /// Index that this process has in force.
    index: ConfigIndex,
    /// Highest index that the service or a peer told of.
    newest: ConfigIndex,
    /// Since when a peer is known to have a newer index in force.
    behind: Option<Timestamp>,
    /// Date of the newest evidence from the service.
    confirmed: Option<Timestamp>,
    /// Date of the last answer from each failure domain.
    heard: FastMap<FailureDomainId, Timestamp>,
    /// Failure domains in service where peers are expected.
    in_service: FastSet<FailureDomainId>,
}

impl Authority {
    /// A process in `domain` that has heard from nobody.
    pub fn new(config: AuthorityConfig, domain: FailureDomainId) -> Self {
        Self {
            config,
            domain,
            index: 0,
            newest: 0,
            behind: None,
            confirmed: None,
            heard: FastMap::default(),
            in_service: FastSet::default(),
        }
    }

    /// Takes in the configuration that came into force here.
    pub fn set_in_force(
        &mut self,
        index: ConfigIndex,
        in_service: impl IntoIterator<Item = FailureDomainId>,
    ) {
        self.index = self.index.max(index);
        self.newest = self.newest.max(index);
        if self.index >= self.newest {
            self.behind = None;
        }
        self.in_service = in_service.into_iter().collect();
    }

    /// Takes in a read of the service sent at `asked` that answered with `index`.
    ///
    /// Called once that version is decided on: in force, or refused as invalid. A read behind the
    /// newest known index comes from a stale replica and proves nothing.
    pub fn observe_service(&mut self, index: ConfigIndex, asked: Timestamp) {
        if index < self.newest {
            return;
        }
        self.newest = index;
        self.confirmed = self.confirmed.max(Some(asked));
    }

    /// Takes in a peer's answer.
    pub fn observe_peer(&mut self, answer: &PeerAnswer) {
        let heard = self.heard.entry(answer.domain.clone()).or_default();
        *heard = (*heard).max(answer.requested_at);
        if answer.index < self.index {
            return;
        }
        self.newest = self.newest.max(answer.index);
        if answer.index > self.index {
            self.behind.get_or_insert(answer.requested_at);
        }
        let confirmed = answer
            .service_evidence_age
            .and_then(|age| answer.requested_at.checked_sub(age));
        self.confirmed = self.confirmed.max(confirmed);
    }

    /// Age of the newest evidence from the service, to be told to peers.
    pub fn service_evidence_age(&self, now: Timestamp) -> Option<Duration> {
        self.confirmed.map(|at| now.saturating_sub(at))
    }

    /// Highest index that anyone told of; the body is fetched when it is not in force here.
    pub fn newest_index(&self) -> ConfigIndex {
        self.newest
    }

    /// How this process stands now.
    pub fn state(&self, now: Timestamp) -> AuthorityState {
        if self.behind.is_some() && !self.holds(self.behind, now) {
            return AuthorityState::Behind;
        }
        if self.holds(self.confirmed, now) {
            return AuthorityState::Confirmed;
        }
        if self.holds(self.last_peer(), now) {
            return AuthorityState::CutAlike;
        }
        AuthorityState::CutAlone
    }

    /// Leave to take new work, if there is any; valid as long as nothing more is heard.
    pub fn work_permit(&self, now: Timestamp) -> Option<WorkPermit> {
        let newest = self.confirmed.max(self.last_peer())?;
        let date = self.behind.map_or(newest, |since| newest.min(since));
        let permit = WorkPermit {
            expires_at: date + self.config.evidence_lifetime,
        };
        permit.is_valid(now).then_some(permit)
    }

    fn holds(&self, date: Option<Timestamp>, now: Timestamp) -> bool {
        date.is_some_and(|at| now < at + self.config.evidence_lifetime)
    }

    /// Date of the last answer that shows this process is not cut off alone: from another failure
    /// domain in service, or from any peer where no other one is in service.
    fn last_peer(&self) -> Option<Timestamp> {
        if self.index == 0 {
            return None;
        }
        let has_others = self.in_service.iter().any(|name| *name != self.domain);
        let counts = |name: &FailureDomainId| {
            !has_others || (*name != self.domain && self.in_service.contains(name))
        };
        let dates = self.heard.iter().filter(|(name, _)| counts(name));
        dates.map(|(_, at)| *at).max()
    }
}
