//! What every request handler is given.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError, atomic::AtomicUsize},
    time::Duration,
};

use arc_swap::ArcSwap;
use jj_peer::client::AgentClient;
use jj_policy::{
    retry::{self, Attempts, RetryBudget, RetryConfig, RetryDecision, RetryFacts},
    routing::RoutingConfig,
    verdict::Verdict,
};
use jj_utils::{
    clock::SharedClock,
    ids::{FailureDomainId, InstanceId, RequestId},
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::{prefixes::SharedPrefixIndex, usage::Usage, view::View};

/// Verdict on requests that arrive before the first configuration.
pub const NOT_READY: Verdict = Verdict::NotRun {
    retry_after: Duration::from_secs(1),
};

/// What this entry's settings say of it.
#[derive(Debug, Clone)]
pub struct EntryIdentity {
    /// Name of the instance.
    pub instance: InstanceId,
    /// Its failure domain.
    pub domain: FailureDomainId,
    /// How long callers may keep an address answer.
    pub address_lifetime: Duration,
}

/// Shared by all traffic threads.
pub struct Context {
    /// What this entry's settings say of it.
    pub identity: EntryIdentity,
    /// Time.
    pub clock: SharedClock,
    /// Client of every agent.
    pub client: AgentClient,
    /// What the control thread published last.
    pub view: Arc<ArcSwap<View>>,
    /// Tunables of the choice of a backend server.
    pub routing: RoutingConfig,
    /// Requests being handled, streams included.
    pub open_requests: Arc<AtomicUsize>,
    /// Tunables of retries.
    pub retry: RetryConfig,
    /// Requests in flight by service and client account.
    pub usage: Arc<Usage>,
    /// Beliefs in prefix caches.
    pub prefixes: Arc<SharedPrefixIndex>,
    budget: Mutex<RetryBudget>,
    generator: Mutex<Pcg64Mcg>,
}

impl Context {
    /// A context whose random numbers start from `seed`.
    pub fn new(
        identity: EntryIdentity,
        clock: SharedClock,
        client: AgentClient,
        view: Arc<ArcSwap<View>>,
        prefixes: Arc<SharedPrefixIndex>,
        seed: u64,
    ) -> Self {
        let retry = RetryConfig::default();
        Self {
            identity,
            clock,
            client,
            view,
            routing: RoutingConfig::default(),
            open_requests: Arc::default(),
            usage: Arc::default(),
            prefixes,
            budget: Mutex::new(RetryBudget::new(&retry)),
            retry,
            generator: Mutex::new(Pcg64Mcg::seed_from_u64(seed)),
        }
    }

    /// Two random numbers for one decision.
    pub fn random_pair(&self) -> [u64; 2] {
        let mut generator = self
            .generator
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        [generator.next_u64(), generator.next_u64()]
    }

    /// A generator of its own for one use.
    pub fn new_generator(&self) -> Pcg64Mcg {
        let [high, low] = self.random_pair();
        Pcg64Mcg::new(u128::from(high) << 64 | u128::from(low))
    }

    /// Counts one request taken in, which adds to the retry budget.
    pub fn record_request(&self) {
        self.lock_budget()
            .record_request(&self.retry, self.clock.now());
    }

    /// Decides whether a failed attempt is followed by another.
    pub fn decide_retry(&self, attempts: &Attempts, facts: &RetryFacts) -> RetryDecision {
        let now = self.clock.now();
        let [draw, _] = self.random_pair();
        retry::decide_retry(
            &self.retry,
            &mut self.lock_budget(),
            attempts,
            facts,
            now,
            draw,
        )
    }

    fn lock_budget(&self) -> MutexGuard<'_, RetryBudget> {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A new request's id, unique over the fleet.
    pub fn new_request_id(&self) -> RequestId {
        let [high, low] = self.random_pair();
        format!("{high:016x}{low:016x}")
    }
}
