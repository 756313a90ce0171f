//! The once-only register of an agent: what came of each idempotency key.
//!
//! A key runs at most once because one register decides on it. A record is never evicted inside
//! the retention time; a full register refuses new keys as not run instead.

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
    /// Bounds of the register.
    #[derive(Copy)]
    pub struct OnceConfig {
        /// Most keys that are kept.
        pub capacity: usize,
        /// How long a key is kept after it ended or was fenced.
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
    /// What a key is bound to, so that it cannot be used for another request.
    pub struct Fingerprint {
        /// Whose request it is.
        pub account: ClientAccountId,
        /// Hash of route and body.
        pub digest: u128,
    }
}

impl Fingerprint {
    /// Fingerprint of a request; `route` is its method and path with query.
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
    /// What came of a key, as one agent knows it; `A` is the handle of a kept answer.
    pub enum KeyOutcome<A> {
        /// Accepted, nothing sent to the backend server yet.
        Claimed,
        /// Sent to the backend server, no answer yet.
        Running,
        /// Ran, and the answer is kept.
        Finished(A),
        /// Never started, and never will.
        Fenced,
        /// Sent to the backend server, whose answer is lost.
        Lost,
    }
}

impl<A> KeyOutcome<A> {
    fn is_ended(&self) -> bool {
        matches!(self, Self::Finished(_) | Self::Fenced | Self::Lost)
    }
}

common_derives! {value:
    /// Answer to a request that wants to run under a key.
    pub enum Claim<A> {
        /// The key is new: the request goes on, and nobody else may run it.
        Run,
        /// The key is known; the request does not run again.
        Known(KeyOutcome<A>),
        /// The key is bound to another request.
        Conflict,
        /// No room for a new key; nothing ran.
        Full {
            /// When the oldest record leaves the register.
            retry_after: Duration,
        },
    }
}

#[derive(Debug, Clone)]
struct Record<A> {
    print: Option<Fingerprint>,
    outcome: KeyOutcome<A>,
}

/// What came of each key of one agent life.
#[derive(Debug, Clone)]
pub struct OnceRegister<A> {
    config: OnceConfig,
    records: FastMap<String, Record<A>>,
    expiry: BTreeSet<(Timestamp, String)>,
}

impl<A: Clone> OnceRegister<A> {
    /// An empty register.
    pub fn new(config: OnceConfig) -> Self {
        Self {
            config,
            records: FastMap::default(),
            expiry: BTreeSet::new(),
        }
    }

    /// Number of keys that are kept.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// True when no key is kept.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Claims a key for a request. After [`Claim::Run`] the caller has to call
    /// [`OnceRegister::start`] directly before the first byte goes out, or
    /// [`OnceRegister::release`] when that will never happen.
    pub fn claim(&mut self, now: Timestamp, key: &str, print: Fingerprint) -> Claim<A> {
        self.remove_expired(now);
        if let Some(record) = self.records.get(key) {
            return match &record.print {
                Some(bound) if *bound != print => Claim::Conflict,
                _ => Claim::Known(record.outcome.clone()),
            };
        }
        if self.is_full() {
            return Claim::Full {
                retry_after: self.room_after(now),
            };
        }
        self.insert(now, key, Some(print), KeyOutcome::Claimed);
        Claim::Run
    }

    /// Marks a claimed key as sent. False when the key has been fenced since, and nothing may be
    /// sent.
    pub fn start(&mut self, key: &str) -> bool {
        match self.records.get_mut(key) {
            Some(record) if matches!(record.outcome, KeyOutcome::Claimed) => {
                record.outcome = KeyOutcome::Running;
                true
            }
            _ => false,
        }
    }

    /// Gives a claimed key back: its request was refused before anything was sent, so that a
    /// later attempt may run.
    pub fn release(&mut self, key: &str) {
        let claimed = |record: &Record<A>| matches!(record.outcome, KeyOutcome::Claimed);
        if self.records.get(key).is_some_and(claimed) {
            self.records.remove(key);
        }
    }

    /// Gives a running key back: it turned out that no byte of its request was sent.
    pub fn release_unsent(&mut self, key: &str) {
        let running = |record: &Record<A>| matches!(record.outcome, KeyOutcome::Running);
        if self.records.get(key).is_some_and(running) {
            self.records.remove(key);
        }
    }

    /// Keeps the answer of a running key.
    pub fn finish(&mut self, now: Timestamp, key: &str, answer: A) {
        self.end_running(now, key, KeyOutcome::Finished(answer));
    }

    /// Records that the answer of a running key is lost: it may have run.
    pub fn mark_lost(&mut self, now: Timestamp, key: &str) {
        self.end_running(now, key, KeyOutcome::Lost);
    }

    /// Fences a key that has not started, and says what came of it otherwise. `None` when the
    /// register has no room to keep the fence: nothing is promised.
    pub fn fence(&mut self, now: Timestamp, key: &str) -> Option<KeyOutcome<A>> {
        self.remove_expired(now);
        match self.records.get(key).map(|record| &record.outcome) {
            None if self.is_full() => None,
            None => {
                self.insert(now, key, None, KeyOutcome::Fenced);
                Some(KeyOutcome::Fenced)
            }
            Some(KeyOutcome::Claimed) => {
                self.end(now, key, KeyOutcome::Fenced);
                Some(KeyOutcome::Fenced)
            }
            Some(known) => Some(known.clone()),
        }
    }

    /// What came of a key; `None` when the register has not seen it.
    pub fn outcome(&self, key: &str) -> Option<&KeyOutcome<A>> {
        self.records.get(key).map(|record| &record.outcome)
    }

    /// Drops the records whose retention time is over. Claimed and running keys stay.
    pub fn remove_expired(&mut self, now: Timestamp) {
        while let Some((ends, _)) = self.expiry.first() {
            if *ends > now {
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

    fn room_after(&self, now: Timestamp) -> Duration {
        let first = self.expiry.first().map(|(ends, _)| *ends);
        let ends = first.unwrap_or(now + self.config.retention);
        ends.saturating_sub(now)
    }

    fn insert(
        &mut self,
        now: Timestamp,
        key: &str,
        print: Option<Fingerprint>,
        outcome: KeyOutcome<A>,
    ) {
        if outcome.is_ended() {
            self.expiry
                .insert((now + self.config.retention, key.to_owned()));
        }
        self.records
            .insert(key.to_owned(), Record { print, outcome });
    }

    fn end_running(&mut self, now: Timestamp, key: &str, outcome: KeyOutcome<A>) {
        let running = |record: &Record<A>| matches!(record.outcome, KeyOutcome::Running);
        if self.records.get(key).is_some_and(running) {
            self.end(now, key, outcome);
        }
    }

    fn end(&mut self, now: Timestamp, key: &str, outcome: KeyOutcome<A>) {
        let Some(record) = self.records.get_mut(key) else {
            return;
        };
        record.outcome = outcome;
        self.expiry
            .insert((now + self.config.retention, key.to_owned()));
    }
}

common_derives! {value:
    /// Whether an agent may decide on a key.
    #[derive(Copy, Eq)]
    pub enum KeyCheck {
        /// This life of this agent is the key's home, or the key has none.
        Allowed,
        /// The key belongs to another life; only that one could tell what came of it.
        OtherIncarnation,
    }
}

/// Checks a key at the agent it arrived at, whatever the sender believed.
pub fn check_key(key: &OnceKey, own: &AgentIncarnation) -> KeyCheck {
    match key {
        OnceKey::Issued(IssuedKey { home, .. }) if home != own => KeyCheck::OtherIncarnation,
        _ => KeyCheck::Allowed,
    }
}

common_derives! {wire:
    /// What an agent says of one attempt when it is asked.
    #[derive(Copy, Eq)]
    #[serde(rename_all = "kebab-case")]
    pub enum AttemptState {
        /// In the queue or at the backend server.
        Running,
        /// Ran to its end; the answer can be fetched.
        Finished,
        /// Never started, and never will.
        Fenced,
        /// Sent to the backend server, whose answer is lost.
        Lost,
    }
}

common_derives! {value:
    /// What an entry does about an attempt whose connection broke.
    #[derive(Copy, Eq)]
    pub enum Resolution {
        /// Attach to the attempt again and wait for its answer.
        Attach,
        /// Fetch the kept answer.
        Fetch,
        /// No answer will come: this is the verdict.
        Final(Verdict),
    }
}

common_derives! {value:
    /// What became of the question about an attempt.
    #[derive(Eq)]
    pub enum AttemptQuery {
        /// The agent life that had the attempt has answered.
        Answered(AttemptState),
        /// Another life of the agent has answered: the one that had the attempt is gone.
        OtherIncarnation(Incarnation),
        /// No answer within the time for it.
        Unreachable(InstanceId),
    }
}

/// What an entry may say of an attempt that it has sent, and whose connection broke.
///
/// `retry_after` goes into the verdict "not run".
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
    /// What one other possible home of a caller-made key says of it.
    #[derive(Copy, Eq)]
    pub enum HomeKeyState {
        /// Fenced there: never ran there and never will.
        Fenced,
        /// Ran, runs, or may have run there.
        Held,
        /// No answer, or a life too young to know what its predecessor did.
        Unknown,
    }
}

/// Whether the home of a caller-made key may run it, from what every other possible home says.
///
/// # Errors
/// The verdict for the caller when it may not.
pub fn check_all_fenced(others: impl IntoIterator<Item = HomeKeyState>) -> Result<(), Verdict> {
    let all_fenced = others.into_iter().all(|said| said == HomeKeyState::Fenced);
    if all_fenced {
        return Ok(());
    }
    Err(Verdict::MayHaveRun)
}
