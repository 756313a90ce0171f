//! The call budget shared by the readers of one process.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use jj_policy::call_budget::{CallBudget, CallCause, CallPacer};
use jj_utils::clock::SharedClock;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

/// Limits the rate of this process's calls to the platform's services; cheap to clone.
#[derive(Clone)]
pub struct SharedBudget {
    clock: SharedClock,
    inner: Arc<Mutex<Inner>>,
}

struct Inner {
    config: CallPacer,
    list: CallPacer,
    random: Pcg64Mcg,
}

impl SharedBudget {
    /// Creates a budget. `budget` applies to configuration reads; the live list has a separate one.
    /// `fleet` is the expected number of processes; `seed` must differ between them.
    pub fn new(budget: CallBudget, fleet: u32, seed: u64, clock: SharedClock) -> Self {
        let inner = Inner {
            config: CallPacer::new(budget, fleet),
            list: CallPacer::new(CallBudget::live_list(), fleet),
            random: Pcg64Mcg::new(u128::from(seed)),
        };
        Self {
            clock,
            inner: Arc::new(Mutex::new(inner)),
        }
    }

    /// Sets the number of processes that share the fleet's budget.
    pub fn set_fleet_size(&self, fleet: u32) {
        self.with(|inner| {
            inner.config.set_fleet_size(fleet);
            inner.list.set_fleet_size(fleet);
        });
    }

    /// Returns this process's interval between two configuration reads.
    pub fn config_interval(&self) -> Duration {
        self.with(|inner| inner.config.interval())
    }

    /// Waits until this process may read the configuration again.
    pub async fn wait_for_config_turn(&self, cause: CallCause) {
        self.wait(cause, |inner| &mut inner.config).await;
    }

    /// Waits until this process may read the live list again.
    pub async fn wait_for_list_turn(&self, cause: CallCause) {
        self.wait(cause, |inner| &mut inner.list).await;
    }

    async fn wait(&self, cause: CallCause, pacer: fn(&mut Inner) -> &mut CallPacer) {
        let now = self.clock.now();
        let at = self.with(|inner| {
            let random = inner.random.random::<f64>();
            pacer(inner).reserve(now, cause, random)
        });
        tokio::time::sleep(at.saturating_sub(now)).await;
    }

    fn with<T>(&self, work: impl FnOnce(&mut Inner) -> T) -> T {
        work(&mut self.inner.lock().unwrap_or_else(PoisonError::into_inner))
    }
}
