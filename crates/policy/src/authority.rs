//! Decides whether this process may take new work, by the freshness of its configuration.
//!
//! A configuration may withdraw a failure domain, and a partitioned process does not receive that
//! configuration. So a process takes new work only while it has recent evidence that it would have
//! learned of a withdrawal:
//! - it read the configuration service, or a peer did and reported how long ago; or
//! - a peer answered from another failure domain that is in service, and cannot reach the
//!   configuration service either. In such an outage all processes keep serving with the last
//!   accepted configuration.
//!
//! Evidence is dated by when its request was sent, not by when the response was read: a response
//! may have waited in a socket while this process was frozen. Only timestamps are stored, so a
//! process that resumes after a freeze has lost its authority before it acts.
//!
//! Limits: two failure domains that reach each other but neither a third one nor the configuration
//! service keep serving, and a three-way partition during an outage of the service stops all three.

use std::time::Duration;

use jj_utils::{
    clock::Timestamp,
    collections::{FastMap, FastSet},
    common_derives,
    ids::{ConfigIndex, FailureDomainId, InstanceId},
};

/// Upper bound on the time from the publication of a withdrawal until every process applies it.
pub const WITHDRAWAL_BOUND: Duration = Duration::from_secs(5);

/// Settings of authority.
#[derive(Debug, Clone, PartialEq)]
pub struct AuthorityConfig {
    /// Age at which evidence expires. Shorter than [`WITHDRAWAL_BOUND`] by the time from reading a
    /// configuration until it is in force.
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
    /// Answer of a peer about its configuration.
    pub struct PeerAnswer {
        /// Instance that answered.
        pub peer: InstanceId,
        /// Its failure domain.
        pub domain: FailureDomainId,
        /// Index of the configuration that it has in force.
        pub index: ConfigIndex,
        /// Age, when it answered, of its newest evidence from the configuration service, if any.
        pub service_evidence_age: Option<Duration>,
        /// Time at which this process sent the request.
        pub requested_at: Timestamp,
    }
}

common_derives! {copy:
    /// State that decides whether new work may be taken.
    pub enum AuthorityState {
        /// The service, or a peer that reached it, has recently confirmed the configuration.
        Confirmed,
        /// There is no recent evidence from the service, but a recent answer of a peer that proves
        /// that this process is not isolated: an outage of the service.
        CutAlike,
        /// There is neither, so this process may be isolated: no new work.
        CutAlone,
        /// A peer has a newer configuration in force that this process could not fetch within the
        /// evidence lifetime: no new work.
        Behind,
    }
}

impl AuthorityState {
    /// Returns whether new work may be taken.
    pub fn may_take_work(self) -> bool {
        matches!(self, Self::Confirmed | Self::CutAlike)
    }
}

common_derives! {copy:
    /// Permission to take new work until it expires; checked again directly before each write.
    pub struct WorkPermit {
        /// Time from which the permit is no longer valid.
        pub expires_at: Timestamp,
    }
}

impl WorkPermit {
    /// Returns whether the permit has not expired.
    pub fn is_valid(self, now: Timestamp) -> bool {
        now < self.expires_at
    }
}

/// Evidence of the freshness of this process's configuration.
#[derive(Debug)]
pub struct Authority {
    config: AuthorityConfig,
    domain: FailureDomainId,
    /// Index of the configuration in force on this process.
    index_in_force: ConfigIndex,
    /// Highest index reported by the configuration service or a peer.
    newest_index: ConfigIndex,
    /// Time since which a peer is known to have a newer index in force.
    behind_since: Option<Timestamp>,
    /// Time of the newest evidence from the configuration service.
    confirmed_at: Option<Timestamp>,
    /// Time of the last answer from each failure domain.
    last_answers: FastMap<FailureDomainId, Timestamp>,
    /// Failure domains in service, in which peers are expected.
    in_service: FastSet<FailureDomainId>,
}

impl Authority {
    /// Creates the state of a process in `domain` without any evidence.
    pub fn new(config: AuthorityConfig, domain: FailureDomainId) -> Self {
        Self {
            config,
            domain,
            index_in_force: 0,
            newest_index: 0,
            behind_since: None,
            confirmed_at: None,
            last_answers: FastMap::default(),
            in_service: FastSet::default(),
        }
    }

    /// Records the configuration that came into force on this process, and the failure domains that
    /// it has in service.
    pub fn set_in_force(
        &mut self,
        index: ConfigIndex,
        in_service: impl IntoIterator<Item = FailureDomainId>,
    ) {
        self.index_in_force = self.index_in_force.max(index);
        self.newest_index = self.newest_index.max(index);
        if self.index_in_force >= self.newest_index {
            self.behind_since = None;
        }
        self.in_service = in_service.into_iter().collect();
    }

    /// Records a read of the configuration service, sent at `requested_at`, that returned `index`.
    ///
    /// To be called once that version is in force or refused as invalid. A read below the newest
    /// known index comes from a stale replica; it is ignored.
    pub fn record_service_read(&mut self, index: ConfigIndex, requested_at: Timestamp) {
        if index < self.newest_index {
            return;
        }
        self.newest_index = index;
        self.confirmed_at = self.confirmed_at.max(Some(requested_at));
    }

    /// Records a peer's answer.
    pub fn record_peer_answer(&mut self, answer: &PeerAnswer) {
        let last_answer = self.last_answers.entry(answer.domain.clone()).or_default();
        *last_answer = (*last_answer).max(answer.requested_at);
        if answer.index < self.index_in_force {
            return;
        }
        self.newest_index = self.newest_index.max(answer.index);
        if answer.index > self.index_in_force {
            self.behind_since.get_or_insert(answer.requested_at);
        }
        let confirmed_at = answer
            .service_evidence_age
            .and_then(|age| answer.requested_at.checked_sub(age));
        self.confirmed_at = self.confirmed_at.max(confirmed_at);
    }

    /// Returns the age of the newest evidence from the configuration service, to be reported to
    /// peers.
    pub fn service_evidence_age(&self, now: Timestamp) -> Option<Duration> {
        self.confirmed_at.map(|at| now.saturating_sub(at))
    }

    /// Returns the highest index reported by the configuration service or a peer. Its configuration
    /// is fetched if it is not in force on this process.
    pub fn newest_index(&self) -> ConfigIndex {
        self.newest_index
    }

    /// Returns the state at `now`.
    pub fn state(&self, now: Timestamp) -> AuthorityState {
        if self.behind_since.is_some() && !self.is_fresh(self.behind_since, now) {
            return AuthorityState::Behind;
        }
        if self.is_fresh(self.confirmed_at, now) {
            return AuthorityState::Confirmed;
        }
        if self.is_fresh(self.last_peer_answer(), now) {
            return AuthorityState::CutAlike;
        }
        AuthorityState::CutAlone
    }

    /// Returns a permit to take new work, if there is one now. It expires at the latest time that
    /// the evidence so far allows.
    pub fn work_permit(&self, now: Timestamp) -> Option<WorkPermit> {
        let newest_evidence = self.confirmed_at.max(self.last_peer_answer())?;
        let evidence_at = self
            .behind_since
            .map_or(newest_evidence, |since| newest_evidence.min(since));
        let permit = WorkPermit {
            expires_at: evidence_at + self.config.evidence_lifetime,
        };
        permit.is_valid(now).then_some(permit)
    }

    /// Returns whether evidence of the given time has not expired.
    fn is_fresh(&self, evidence_at: Option<Timestamp>, now: Timestamp) -> bool {
        evidence_at.is_some_and(|at| now < at + self.config.evidence_lifetime)
    }

    /// Returns the time of the last answer that proves that this process is not isolated: from
    /// another failure domain in service or, if there is none, from any peer. `None` before a
    /// configuration is in force.
    fn last_peer_answer(&self) -> Option<Timestamp> {
        if self.index_in_force == 0 {
            return None;
        }
        let has_others = self.in_service.iter().any(|name| *name != self.domain);
        let is_evidence = |name: &FailureDomainId| {
            !has_others || (*name != self.domain && self.in_service.contains(name))
        };
        let answers = self
            .last_answers
            .iter()
            .filter(|(name, _)| is_evidence(name));
        answers.map(|(_, at)| *at).max()
    }
}
