//! Counts this process's requests in flight by service and client account.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use jj_utils::{
    collections::FastMap,
    ids::{ClientAccountId, ServiceId},
};

/// Counts of requests in flight by service and client account.
#[derive(Debug, Default)]
pub struct Usage {
    services: Mutex<FastMap<ServiceId, ServiceUsage>>,
}

#[derive(Debug, Default)]
struct ServiceUsage {
    total: u32,
    accounts: FastMap<ClientAccountId, u32>,
}

/// Guard that counts one request until dropped.
#[derive(Debug)]
pub struct UsageGuard {
    usage: Arc<Usage>,
    service: ServiceId,
    account: ClientAccountId,
}

impl Usage {
    /// Counts one request until the returned guard is dropped.
    pub fn begin_request(self: &Arc<Self>, service: &str, account: &str) -> UsageGuard {
        let mut services = self.lock();
        let service_usage = services.entry(service.to_owned()).or_default();
        service_usage.total += 1;
        *service_usage
            .accounts
            .entry(account.to_owned())
            .or_default() += 1;
        drop(services);
        let (service, account) = (service.to_owned(), account.to_owned());
        UsageGuard {
            usage: Arc::clone(self),
            service,
            account,
        }
    }

    /// Returns the account's share of the service's requests, from 0 to 1.
    pub fn account_share(&self, service: &str, account: &str) -> f64 {
        let services = self.lock();
        let Some(usage) = services.get(service) else {
            return 0.0;
        };
        let own = usage.accounts.get(account).copied().unwrap_or_default();
        f64::from(own) / f64::from(usage.total.max(1))
    }

    fn end_request(&self, service: &str, account: &str) {
        let mut services = self.lock();
        let Some(usage) = services.get_mut(service) else {
            return;
        };
        usage.total = usage.total.saturating_sub(1);
        let remaining = usage.accounts.get_mut(account).map(|count| {
            *count = count.saturating_sub(1);
            *count
        });
        if remaining == Some(0) {
            usage.accounts.remove(account);
        }
    }

    fn lock(&self) -> MutexGuard<'_, FastMap<ServiceId, ServiceUsage>> {
        self.services.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for UsageGuard {
    fn drop(&mut self) {
        self.usage.end_request(&self.service, &self.account);
    }
}
