//! The call budget that the readers of one process share.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use jj_policy::call_budget::{CallBudget, CallCause, CallPacer};
use jj_utils::clock::SharedClock;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

/// Paces every call of this process to the platform's services; cheap to clone.
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
    /// `budget` is the share of the configuration; the live list has its own beside it. `fleet` is
    /// the expected number of processes, `seed` differs between them.
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

    /// Sets the number of processes that call.
    pub fn set_fleet_size(&self, fleet: u32) {
        self.with(|inner| {
            inner.config.set_fleet_size(fleet);
            inner.list.set_fleet_size(fleet);
        });
    }

    /// Time that this process leaves between two reads of the configuration.
    pub fn config_interval(&self) -> Duration {
        self.with(|inner| inner.config.interval())
    }

    /// Waits for this process's next read of the configuration.
    pub async fn wait_for_config_turn(&self, cause: CallCause) {
        self.wait(cause, |inner| &mut inner.config).await;
    }

    /// Waits for this process's next read of the live list.
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
