//! State shared by all request handlers.

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

/// Verdict for requests that arrive before the first configuration.
pub const NOT_READY: Verdict = Verdict::NotRun {
    retry_after: Duration::from_secs(1),
};

/// Identity of this entry, from its settings.
#[derive(Debug, Clone)]
pub struct EntryIdentity {
    /// Instance name.
    pub instance: InstanceId,
    /// Failure domain.
    pub domain: FailureDomainId,
    /// How long callers may cache an address answer.
    pub address_lifetime: Duration,
}

/// State shared by all traffic threads.
pub struct Context {
    /// Identity of this entry.
    pub identity: EntryIdentity,
    /// Process clock.
    pub clock: SharedClock,
    /// Client for calls to agents.
    pub client: AgentClient,
    /// View last published by the control thread.
    pub view: Arc<ArcSwap<View>>,
    /// Routing settings.
    pub routing: RoutingConfig,
    /// Number of open requests, streams included.
    pub open_requests: Arc<AtomicUsize>,
    /// Retry settings.
    pub retry: RetryConfig,
    /// Requests in flight by service and client account.
    pub usage: Arc<Usage>,
    /// Estimated content of the backend servers' prefix caches.
    pub prefixes: Arc<SharedPrefixIndex>,
    budget: Mutex<RetryBudget>,
    generator: Mutex<Pcg64Mcg>,
}

impl Context {
    /// Creates a context whose random numbers derive from `seed`.
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

    /// Draws two random numbers.
    pub fn random_pair(&self) -> [u64; 2] {
        let mut generator = self
            .generator
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        [generator.next_u64(), generator.next_u64()]
    }

    /// Creates an independent random number generator.
    pub fn new_generator(&self) -> Pcg64Mcg {
        let [high, low] = self.random_pair();
        Pcg64Mcg::new(u128::from(high) << 64 | u128::from(low))
    }

    /// Records an accepted request, which adds to the retry budget.
    pub fn record_request(&self) {
        self.lock_budget()
            .record_request(&self.retry, self.clock.now());
    }

    /// Decides whether to retry after a failed attempt.
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

    /// Creates a request id that is unique in the fleet.
    pub fn new_request_id(&self) -> RequestId {
        let [high, low] = self.random_pair();
        format!("{high:016x}{low:016x}")
    }
}
