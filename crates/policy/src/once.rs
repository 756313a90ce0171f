//! The once-only register of an agent: records the outcome of each idempotency key.
//!
//! A key runs at most once because a single register decides on it. A record is never evicted
//! within the retention time; a full register refuses new keys as "not run" instead.

use std::{collections::BTreeSet, time::Duration};

use jj_utils::{
    clock::Timestamp,
    collections::FastMap,
    common_derives,
    ids::{ClientAccountId, Incarnation, InstanceId},
};
use xxhash_rust::xxh3::Xxh3;

use crate::{
    keys::{AgentIncarnation, IssuedKey, OnceKey},
    verdict::Verdict,
};

common_derives! {value:
    /// Limits of the register.
    #[derive(Copy)]
    pub struct OnceConfig {
        /// Maximum number of keys.
        pub capacity: usize,
        /// Time for which a key is kept after its request ended or was fenced.
        pub retention: Duration,
    }
}

impl Default for OnceConfig {
    fn default() -> Self {
        Self {
            capacity: 100_000,
            retention: Duration::from_secs(24 * 3600),
        }
    }
}

common_derives! {key:
    /// Identifies the request that a key is bound to, so that the key cannot be used for another.
    pub struct Fingerprint {
        /// Client account that sent the request.
        pub account: ClientAccountId,
        /// Hash of route and body.
        pub digest: u128,
    }
}

impl Fingerprint {
    /// Computes the fingerprint of a request; `route` is its method and path with query.
    pub fn new(account: &str, route: &str, body: &[u8]) -> Self {
        let mut hash = Xxh3::new();
        hash.update(&(route.len() as u64).to_le_bytes());
        hash.update(route.as_bytes());
        hash.update(body);
        Self {
            account: account.to_owned(),
            digest: hash.digest128(),
        }
    }
}

common_derives! {value:
    /// Outcome of a key at one agent; `A` is the handle of a kept answer.
    pub enum KeyOutcome<A> {
        /// Accepted, but not yet sent to the backend server.
        Claimed,
        /// Sent to the backend server, no answer yet.
        Running,
        /// Ran, and the answer is kept.
        Finished(A),
        /// Never started and never will.
        Fenced,
        /// Sent to the backend server, but the answer was lost.
        Lost,
    }
}

impl<A> KeyOutcome<A> {
    fn is_ended(&self) -> bool {
        matches!(self, Self::Finished(_) | Self::Fenced | Self::Lost)
    }
}

common_derives! {value:
    /// Result of claiming a key for a request.
    pub enum Claim<A> {
        /// The key is new: this request runs, and no other may run under the key.
        Run,
        /// The key is known; the request does not run again.
        Known(KeyOutcome<A>),
        /// The key is bound to another request.
        Conflict,
        /// The register has no capacity for a new key; nothing ran.
        Full {
            /// Time until the oldest record expires.
            retry_after: Duration,
        },
    }
}

#[derive(Debug, Clone)]
struct Record<A> {
    /// `None` if the key was fenced before any request with it arrived.
    fingerprint: Option<Fingerprint>,
    outcome: KeyOutcome<A>,
}

/// Outcomes of the keys of one agent incarnation.
#[derive(Debug, Clone)]
pub struct OnceRegister<A> {
    config: OnceConfig,
    records: FastMap<String, Record<A>>,
    expiry: BTreeSet<(Timestamp, String)>,
}

impl<A: Clone> OnceRegister<A> {
    /// Creates an empty register.
    pub fn new(config: OnceConfig) -> Self {
        Self {
            config,
            records: FastMap::default(),
            expiry: BTreeSet::new(),
        }
    }

    /// Returns the number of keys.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether the register has no keys.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Claims a key for a request. After [`Claim::Run`] the caller must call
    /// [`OnceRegister::start`] directly before the first byte is sent, or
    /// [`OnceRegister::release`] if the request will not be sent.
    pub fn claim(&mut self, now: Timestamp, key: &str, fingerprint: Fingerprint) -> Claim<A> {
        self.remove_expired(now);
        if let Some(record) = self.records.get(key) {
            return match &record.fingerprint {
                Some(bound) if *bound != fingerprint => Claim::Conflict,
                _ => Claim::Known(record.outcome.clone()),
            };
        }
        if self.is_full() {
            return Claim::Full {
                retry_after: self.time_to_expiry(now),
            };
        }
        self.insert(now, key, Some(fingerprint), KeyOutcome::Claimed);
        Claim::Run
    }

    /// Marks a claimed key as running. Returns false if the key has been fenced since, in which
    /// case the request must not be sent.
    pub fn start(&mut self, key: &str) -> bool {
        match self.records.get_mut(key) {
            Some(record) if matches!(record.outcome, KeyOutcome::Claimed) => {
                record.outcome = KeyOutcome::Running;
                true
            }
            _ => false,
        }
    }

    /// Removes a claimed key whose request was refused before any byte was sent, so that a later
    /// attempt may run.
    pub fn release(&mut self, key: &str) {
        let is_claimed = |record: &Record<A>| matches!(record.outcome, KeyOutcome::Claimed);
        if self.records.get(key).is_some_and(is_claimed) {
            self.records.remove(key);
        }
    }

    /// Removes a running key of whose request no byte was sent after all.
    pub fn release_unsent(&mut self, key: &str) {
        let is_running = |record: &Record<A>| matches!(record.outcome, KeyOutcome::Running);
        if self.records.get(key).is_some_and(is_running) {
            self.records.remove(key);
        }
    }

    /// Records the answer of a running key.
    pub fn finish(&mut self, now: Timestamp, key: &str, answer: A) {
        self.end_if_running(now, key, KeyOutcome::Finished(answer));
    }

    /// Records that the answer of a running key was lost: the request may have run.
    pub fn mark_lost(&mut self, now: Timestamp, key: &str) {
        self.end_if_running(now, key, KeyOutcome::Lost);
    }

    /// Fences a key that has not started, and returns the outcome of the key. Returns `None` if
    /// the register has no capacity to record the fence, in which case the key may still run.
    pub fn fence(&mut self, now: Timestamp, key: &str) -> Option<KeyOutcome<A>> {
        self.remove_expired(now);
        match self.records.get(key).map(|record| &record.outcome) {
            None if self.is_full() => None,
            None => {
                self.insert(now, key, None, KeyOutcome::Fenced);
                Some(KeyOutcome::Fenced)
            }
            Some(KeyOutcome::Claimed) => {
                self.set_ended(now, key, KeyOutcome::Fenced);
                Some(KeyOutcome::Fenced)
            }
            Some(known) => Some(known.clone()),
        }
    }

    /// Returns the outcome of a key; `None` if the key is unknown.
    pub fn outcome(&self, key: &str) -> Option<&KeyOutcome<A>> {
        self.records.get(key).map(|record| &record.outcome)
    }

    /// Removes the records whose retention time is over. Claimed and running keys stay.
    pub fn remove_expired(&mut self, now: Timestamp) {
        while let Some((expires_at, _)) = self.expiry.first() {
            if *expires_at > now {
                return;
            }
            if let Some((_, key)) = self.expiry.pop_first() {
                self.records.remove(&key);
            }
        }
    }

    fn is_full(&self) -> bool {
        self.records.len() >= self.config.capacity
    }

    fn time_to_expiry(&self, now: Timestamp) -> Duration {
        let first = self.expiry.first().map(|(expires_at, _)| *expires_at);
        let expires_at = first.unwrap_or(now + self.config.retention);
        expires_at.saturating_sub(now)
    }

    fn insert(
        &mut self,
        now: Timestamp,
        key: &str,
        fingerprint: Option<Fingerprint>,
        outcome: KeyOutcome<A>,
    ) {
        if outcome.is_ended() {
            self.expiry
                .insert((now + self.config.retention, key.to_owned()));
        }
        self.records.insert(
            key.to_owned(),
            Record {
                fingerprint,
                outcome,
            },
        );
    }

    fn end_if_running(&mut self, now: Timestamp, key: &str, outcome: KeyOutcome<A>) {
        let is_running = |record: &Record<A>| matches!(record.outcome, KeyOutcome::Running);
        if self.records.get(key).is_some_and(is_running) {
            self.set_ended(now, key, outcome);
        }
    }

    fn set_ended(&mut self, now: Timestamp, key: &str, outcome: KeyOutcome<A>) {
        let Some(record) = self.records.get_mut(key) else {
            return;
        };
        record.outcome = outcome;
        self.expiry
            .insert((now + self.config.retention, key.to_owned()));
    }
}

common_derives! {value:
    /// Whether an agent incarnation may decide on a key.
    #[derive(Copy, Eq)]
    pub enum KeyCheck {
        /// This incarnation is the key's home, or the key has none.
        Allowed,
        /// The key belongs to another incarnation, which alone could know its outcome.
        OtherIncarnation,
    }
}

/// Checks at the receiving agent whether it may decide on a key, since the sender's view of the
/// agents may be stale.
pub fn check_key(key: &OnceKey, own: &AgentIncarnation) -> KeyCheck {
    match key {
        OnceKey::Issued(IssuedKey { home, .. }) if home != own => KeyCheck::OtherIncarnation,
        _ => KeyCheck::Allowed,
    }
}

common_derives! {wire:
    /// State of an attempt as reported by its agent.
    #[derive(Copy, Eq)]
    #[serde(rename_all = "kebab-case")]
    pub enum AttemptState {
        /// In the queue or at the backend server.
        Running,
        /// Completed; the answer can be fetched.
        Finished,
        /// Never started and never will.
        Fenced,
        /// Sent to the backend server, but the answer was lost.
        Lost,
    }
}

common_derives! {value:
    /// How an entry handles an attempt whose connection broke.
    #[derive(Copy, Eq)]
    pub enum Resolution {
        /// Attach to the attempt again and wait for its answer.
        Attach,
        /// Fetch the kept answer.
        Fetch,
        /// Fail the request with this verdict: there will be no answer.
        Final(Verdict),
    }
}

common_derives! {value:
    /// Result of querying an agent for the state of an attempt.
    #[derive(Eq)]
    pub enum AttemptQuery {
        /// The agent incarnation that received the attempt answered.
        Answered(AttemptState),
        /// Another incarnation of the agent answered: the one that received the attempt is gone.
        OtherIncarnation(Incarnation),
        /// The query timed out.
        Unreachable(InstanceId),
    }
}

/// Decides how an entry handles an attempt whose connection broke.
///
/// `retry_after` is the delay in a "not run" verdict.
pub fn resolve(inquiry: &AttemptQuery, retry_after: Duration) -> Resolution {
    match inquiry {
        AttemptQuery::Answered(AttemptState::Running) => Resolution::Attach,
        AttemptQuery::Answered(AttemptState::Finished) => Resolution::Fetch,
        AttemptQuery::Answered(AttemptState::Fenced) => {
            Resolution::Final(Verdict::NotRun { retry_after })
        }
        AttemptQuery::Answered(AttemptState::Lost) => Resolution::Final(Verdict::MayHaveRun),
        AttemptQuery::OtherIncarnation(_) | AttemptQuery::Unreachable(_) => {
            Resolution::Final(Verdict::MayHaveRun)
        }
    }
}

common_derives! {value:
    /// State of a caller-made key at another possible home.
    #[derive(Copy, Eq)]
    pub enum HomeKeyState {
        /// Fenced there: never ran there and never will.
        Fenced,
        /// Ran, is running, or may have run there.
        Held,
        /// No answer, or an incarnation too young to know what its predecessor did.
        Unknown,
    }
}

/// Checks that a caller-made key is fenced at every other possible home, so that this home may run
/// it.
///
/// # Errors
/// [`Verdict::MayHaveRun`] if it is not fenced at all of them.
pub fn check_all_fenced(others: impl IntoIterator<Item = HomeKeyState>) -> Result<(), Verdict> {
    let all_fenced = others
        .into_iter()
        .all(|state| state == HomeKeyState::Fenced);
    if all_fenced {
        return Ok(());
    }
    Err(Verdict::MayHaveRun)
}
