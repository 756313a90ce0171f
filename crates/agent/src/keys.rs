//! Requests with an idempotency key: the first attempt with a key runs, later ones read its
//! response.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use jj_peer::{attempt::AttemptHead, frames::Failure};
use jj_policy::{
    keys::{AgentIncarnation, OnceKey},
    once::{Claim, Fingerprint, KeyCheck, KeyOutcome, OnceConfig, OnceRegister, check_key},
    verdict::Verdict,
};
use jj_utils::{clock::SharedClock, collections::FastMap, events, log_event};

use crate::attempt::Attempt;

/// Maximum total size of the responses kept for retries, in bytes; the oldest are dropped first.
const MAX_TOTAL_RESPONSE_BYTES: usize = 16 << 20;

/// The idempotency keys that this incarnation of the agent has received.
pub struct KeyTable {
    own: AgentIncarnation,
    clock: SharedClock,
    state: Mutex<TableState>,
}

/// Keys with their outcomes, and the attempts whose responses are kept.
#[derive(Debug)]
struct TableState {
    register: OnceRegister<()>,
    /// Attempt that claimed each key, until its response is dropped.
    attempts: FastMap<String, Arc<Attempt>>,
    /// Stored responses, the oldest first.
    responses: VecDeque<StoredResponse>,
    total_response_bytes: usize,
}

/// Key and size of a response that is kept for retries.
#[derive(Debug)]
struct StoredResponse {
    key: String,
    bytes: usize,
}

/// Decision on an attempt that has arrived.
pub enum KeyClaim {
    /// Run it; the guard holds the key of a non-idempotent request that has one.
    Run(Option<KeyGuard>),
    /// Return the response of the earlier attempt with this key.
    Read(Arc<Attempt>),
    /// Do not run it; respond with this failure.
    Refuse(Failure),
    /// The key was used for a different request.
    Conflict,
}

/// Reserves the key of a request that may run; dropping it records how the request ended.
pub struct KeyGuard {
    table: Arc<KeyTable>,
    key: String,
}

impl KeyTable {
    /// Creates an empty table.
    pub fn new(own: AgentIncarnation, config: OnceConfig, clock: SharedClock) -> Self {
        let state = TableState {
            register: OnceRegister::new(config),
            attempts: FastMap::default(),
            responses: VecDeque::new(),
            total_response_bytes: 0,
        };
        Self {
            own,
            clock,
            state: Mutex::new(state),
        }
    }

    /// Claims the key of an attempt that has arrived; `attempt` receives the response if it runs.
    pub fn claim(
        self: &Arc<Self>,
        head: &AttemptHead,
        body: &[u8],
        attempt: &Arc<Attempt>,
    ) -> KeyClaim {
        let Some(key) = head.key.as_ref().filter(|_| !head.idempotent) else {
            return KeyClaim::Run(None);
        };
        if let Err(failure) = self.check_key_origin(key) {
            return KeyClaim::Refuse(failure);
        }
        let route = format!("{} {}", head.call.method, head.call.target);
        let fingerprint = Fingerprint::new(&head.account, &route, body);
        let mut state = self.lock();
        match state.register.claim(self.clock.now(), key, fingerprint) {
            Claim::Run => {
                state.attempts.insert(key.clone(), Arc::clone(attempt));
                KeyClaim::Run(Some(KeyGuard {
                    table: Arc::clone(self),
                    key: key.clone(),
                }))
            }
            Claim::Known(outcome) => state.claim_known(key, &outcome),
            Claim::Conflict => KeyClaim::Conflict,
            Claim::Full { retry_after } => {
                let verdict = Verdict::NotRun { retry_after };
                KeyClaim::Refuse(Failure::new(verdict, "too many idempotency keys"))
            }
        }
    }

    /// Removes the keys whose retention time has expired.
    pub fn sweep(&self) {
        let mut state = self.lock();
        state.register.remove_expired(self.clock.now());
        let TableState {
            register, attempts, ..
        } = &mut *state;
        attempts.retain(|key, _| register.outcome(key).is_some());
    }

    /// Refuses a key that was not issued for this incarnation of the agent.
    fn check_key_origin(&self, key: &str) -> Result<(), Failure> {
        let not_run = |reason: String| {
            let retry_after = Duration::ZERO;
            Failure::new(Verdict::NotRun { retry_after }, reason)
        };
        let parsed: OnceKey = key
            .parse()
            .map_err(|error: jj_policy::keys::KeyError| not_run(error.to_string()))?;
        if matches!(parsed, OnceKey::CallerMade(_)) {
            return Err(not_run(
                "the idempotency key was not issued by this system".into(),
            ));
        }
        match check_key(&parsed, &self.own) {
            KeyCheck::Allowed => Ok(()),
            KeyCheck::OtherIncarnation => {
                let reason = "the idempotency key was issued for another agent incarnation";
                Err(Failure::new(Verdict::MayHaveRun, reason))
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, TableState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl TableState {
    /// Decides on an attempt whose key is known, by the outcome of the earlier attempt.
    fn claim_known(&self, key: &str, outcome: &KeyOutcome<()>) -> KeyClaim {
        if let Some(attempt) = self.attempts.get(key) {
            log_event!(
                events::KEY_REPLAYED,
                "key {key} is known, earlier outcome: {outcome:?}"
            );
            return KeyClaim::Read(Arc::clone(attempt));
        }
        let verdict = match outcome {
            KeyOutcome::Finished(()) => Verdict::Ran,
            _ => Verdict::MayHaveRun,
        };
        KeyClaim::Refuse(Failure::new(verdict, "the response is no longer kept"))
    }

    /// Stores the response of a key for retries and drops the oldest ones beyond the size limit.
    fn store_response(&mut self, key: &str) {
        let bytes = self
            .attempts
            .get(key)
            .map_or(0, |attempt| attempt.response_bytes());
        self.total_response_bytes += bytes;
        self.responses.push_back(StoredResponse {
            key: key.to_owned(),
            bytes,
        });
        while self.total_response_bytes > MAX_TOTAL_RESPONSE_BYTES {
            let Some(oldest) = self.responses.pop_front() else {
                return;
            };
            self.total_response_bytes -= oldest.bytes;
            self.attempts.remove(&oldest.key);
        }
    }
}

impl KeyGuard {
    /// Marks the key as started. Must be called directly before the first byte is sent; returns
    /// false when nothing may be sent.
    pub fn start(&self) -> bool {
        self.table.lock().register.start(&self.key)
    }

    /// Records that the request has completed; its response is in the log of its attempt.
    pub fn finish(self) {
        let mut state = self.table.lock();
        let now = self.table.clock.now();
        state.register.finish(now, &self.key, ());
        state.store_response(&self.key);
    }

    /// Releases the key of a started request of which no byte was sent.
    pub fn release_unsent(self) {
        self.table.lock().register.release_unsent(&self.key);
    }
}

impl Drop for KeyGuard {
    /// Releases a key that was not started; marks a started but unfinished one as lost.
    fn drop(&mut self) {
        let now = self.table.clock.now();
        let mut state = self.table.lock();
        state.register.release(&self.key);
        state.register.mark_lost(now, &self.key);
        match state.register.outcome(&self.key) {
            Some(KeyOutcome::Lost) => state.store_response(&self.key),
            Some(_) => {}
            None => drop(state.attempts.remove(&self.key)),
        }
    }
}
