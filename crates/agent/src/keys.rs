//! Requests with an idempotency key: the first attempt of a key runs, later ones read its answer.

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

/// Bytes of answers that are kept for retries; the oldest go first.
const MAX_KEPT: usize = 16 << 20;

/// Once-only requests of this agent life.
pub struct Keys {
    own: AgentIncarnation,
    clock: SharedClock,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    register: OnceRegister<()>,
    attempts: FastMap<String, Arc<Attempt>>,
    kept: VecDeque<Kept>,
    kept_bytes: usize,
}

#[derive(Debug)]
struct Kept {
    key: String,
    size: usize,
}

/// What to do with an attempt.
pub enum KeyClaim {
    /// Run it; the guard holds its key, if it has one.
    Run(Option<KeyGuard>),
    /// Read the answer of the earlier attempt with this key.
    Read(Arc<Attempt>),
    /// It does not run here.
    Refuse(Failure),
    /// The key belongs to another request.
    Conflict,
}

/// Holds the key of a request that may run.
pub struct KeyGuard {
    keys: Arc<Keys>,
    key: String,
}

impl Keys {
    /// An empty register.
    pub fn new(own: AgentIncarnation, config: OnceConfig, clock: SharedClock) -> Self {
        let state = State {
            register: OnceRegister::new(config),
            attempts: FastMap::default(),
            kept: VecDeque::new(),
            kept_bytes: 0,
        };
        Self {
            own,
            clock,
            state: Mutex::new(state),
        }
    }

    /// Decides on an attempt that has arrived; `attempt` is where its answer would go.
    pub fn claim(
        self: &Arc<Self>,
        head: &AttemptHead,
        body: &[u8],
        attempt: &Arc<Attempt>,
    ) -> KeyClaim {
        let Some(key) = head.key.as_ref().filter(|_| !head.idempotent) else {
            return KeyClaim::Run(None);
        };
        if let Err(failure) = self.check(key) {
            return KeyClaim::Refuse(failure);
        }
        let route = format!("{} {}", head.call.method, head.call.target);
        let print = Fingerprint::new(&head.account, &route, body);
        let mut state = self.lock();
        match state.register.claim(self.clock.now(), key, print) {
            Claim::Run => {
                state.attempts.insert(key.clone(), Arc::clone(attempt));
                KeyClaim::Run(Some(KeyGuard {
                    keys: Arc::clone(self),
                    key: key.clone(),
                }))
            }
            Claim::Known(outcome) => state.known(key, &outcome),
            Claim::Conflict => KeyClaim::Conflict,
            Claim::Full { retry_after } => {
                let verdict = Verdict::NotRun { retry_after };
                KeyClaim::Refuse(Failure::new(verdict, "too many idempotency keys"))
            }
        }
    }

    /// Drops the keys whose retention time is over.
    pub fn sweep(&self) {
        let mut state = self.lock();
        state.register.remove_expired(self.clock.now());
        let State {
            register, attempts, ..
        } = &mut *state;
        attempts.retain(|key, _| register.outcome(key).is_some());
    }

    fn check(&self, key: &str) -> Result<(), Failure> {
        let not_run = |reason: String| {
            let retry_after = Duration::ZERO;
            Failure::new(Verdict::NotRun { retry_after }, reason)
        };
        let parsed: OnceKey = key
            .parse()
            .map_err(|error: jj_policy::keys::KeyError| not_run(error.to_string()))?;
        if matches!(parsed, OnceKey::CallerMade(_)) {
            return Err(not_run("the idempotency key was not issued here".into()));
        }
        match check_key(&parsed, &self.own) {
            KeyCheck::Allowed => Ok(()),
            KeyCheck::OtherIncarnation => {
                let reason = "the agent that could tell what came of the key is gone";
                Err(Failure::new(Verdict::MayHaveRun, reason))
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn known(&self, key: &str, outcome: &KeyOutcome<()>) -> KeyClaim {
        if let Some(attempt) = self.attempts.get(key) {
            log_event!(events::KEY_REPLAYED, "key {key} known: {outcome:?}");
            return KeyClaim::Read(Arc::clone(attempt));
        }
        let verdict = match outcome {
            KeyOutcome::Finished(()) => Verdict::Ran,
            _ => Verdict::MayHaveRun,
        };
        KeyClaim::Refuse(Failure::new(verdict, "the answer is not kept any more"))
    }

    /// Keeps an answer for retries, in place of the oldest ones when need be.
    fn keep(&mut self, key: &str) {
        let size = self.attempts.get(key).map_or(0, |attempt| attempt.size());
        self.kept_bytes += size;
        self.kept.push_back(Kept {
            key: key.to_owned(),
            size,
        });
        while self.kept_bytes > MAX_KEPT {
            let Some(oldest) = self.kept.pop_front() else {
                return;
            };
            self.kept_bytes -= oldest.size;
            self.attempts.remove(&oldest.key);
        }
    }
}

impl KeyGuard {
    /// To be called directly before the first byte goes out; false when nothing may be sent.
    pub fn start(&self) -> bool {
        self.keys.lock().register.start(&self.key)
    }

    /// The request ran to its end, and its answer is in its attempt.
    pub fn finish(self) {
        let mut state = self.keys.lock();
        let now = self.keys.clock.now();
        state.register.finish(now, &self.key, ());
        state.keep(&self.key);
    }

    /// No byte was sent after all.
    pub fn unsend(self) {
        self.keys.lock().register.release_unsent(&self.key);
    }
}

impl Drop for KeyGuard {
    /// A key that was not started is free again; one that was has lost its answer.
    fn drop(&mut self) {
        let now = self.keys.clock.now();
        let mut state = self.keys.lock();
        state.register.release(&self.key);
        state.register.mark_lost(now, &self.key);
        match state.register.outcome(&self.key) {
            Some(KeyOutcome::Lost) => state.keep(&self.key),
            Some(_) => {}
            None => drop(state.attempts.remove(&self.key)),
        }
    }
}
