//! Requests in flight of each client account at each service, as this process counts them.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use jj_utils::{
    collections::FastMap,
    ids::{ClientAccountId, ServiceId},
};

/// Requests in flight; an account without any takes no place.
#[derive(Debug, Default)]
pub struct Usage {
    services: Mutex<FastMap<ServiceId, FastMap<ClientAccountId, u32>>>,
}

impl Usage {
    /// Counts one request until the guard is dropped.
    pub fn begin(self: &Arc<Self>, service: &str, account: &str) -> UsageGuard {
        let mut services = self.lock();
        let accounts = services.entry(service.to_owned()).or_default();
        *accounts.entry(account.to_owned()).or_default() += 1;
        UsageGuard {
            usage: Arc::clone(self),
            service: service.to_owned(),
            account: account.to_owned(),
        }
    }

    /// Part of the requests in flight for the service that are the account's, from 0 to 1.
    pub fn part(&self, service: &str, account: &str) -> f64 {
        let services = self.lock();
        let Some(accounts) = services.get(service) else {
            return 0.0;
        };
        let own = accounts.get(account).copied().unwrap_or(0);
        let all: u32 = accounts.values().sum();
        f64::from(own) / f64::from(all.max(1))
    }

    fn end(&self, service: &str, account: &str) {
        let mut services = self.lock();
        let Some(accounts) = services.get_mut(service) else {
            return;
        };
        if let Some(count) = accounts.get_mut(account) {
            *count -= 1;
            if *count == 0 {
                accounts.remove(account);
            }
        }
        if accounts.is_empty() {
            services.remove(service);
        }
    }

    fn lock(&self) -> MutexGuard<'_, FastMap<ServiceId, FastMap<ClientAccountId, u32>>> {
        self.services.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Counts one request in flight.
#[derive(Debug)]
pub struct UsageGuard {
    usage: Arc<Usage>,
    service: ServiceId,
    account: ClientAccountId,
}

impl Drop for UsageGuard {
    fn drop(&mut self) {
        self.usage.end(&self.service, &self.account);
    }
}
