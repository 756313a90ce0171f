//! The call budget that the readers of one process share.

use std::sync::{Arc, Mutex, PoisonError};

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
    pacer: CallPacer,
    random: Pcg64Mcg,
}

impl SharedBudget {
    /// `fleet` is the expected number of processes, `seed` differs between them.
    pub fn new(budget: CallBudget, fleet: u32, seed: u64, clock: SharedClock) -> Self {
        let inner = Inner {
            pacer: CallPacer::new(budget, fleet),
            random: Pcg64Mcg::new(u128::from(seed)),
        };
        Self {
            clock,
            inner: Arc::new(Mutex::new(inner)),
        }
    }

    /// Sets the number of processes that call.
    pub fn set_fleet(&self, fleet: u32) {
        self.with(|inner| inner.pacer.set_fleet(fleet));
    }

    /// Time that this process leaves between two calls.
    pub fn interval(&self) -> std::time::Duration {
        self.with(|inner| inner.pacer.interval())
    }

    /// Waits for this process's next call.
    pub async fn turn(&self, cause: CallCause) {
        let now = self.clock.now();
        let at = self.with(|inner| {
            let random = inner.random.random::<f64>();
            inner.pacer.reserve(now, cause, random)
        });
        tokio::time::sleep(at.saturating_sub(now)).await;
    }

    fn with<T>(&self, work: impl FnOnce(&mut Inner) -> T) -> T {
        work(&mut self.inner.lock().unwrap_or_else(PoisonError::into_inner))
    }
}
