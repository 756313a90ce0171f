//! Polls the prefix cache events of the backend server and keeps the newest ones for entries.

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use jj_backend::{cache_events::read_events, call::BackendClient, health::read_load};
use jj_peer::cache_events::CacheEventWire;
use jj_policy::cache_log::CacheLog;
use jj_utils::ids::Incarnation;
use tokio_util::sync::CancellationToken;

/// Interval between reads of new events.
const READ_INTERVAL: Duration = Duration::from_millis(500);

/// Delay after a failed read, for example from an engine that publishes no events.
const RETRY_INTERVAL: Duration = Duration::from_secs(5);

/// Timeout of each request to the backend server.
const READ_TIMEOUT: Duration = Duration::from_millis(500);

/// The newest cache events of the backend server.
#[derive(Debug)]
pub struct CacheEventFeed(Mutex<CacheLog>);

impl CacheEventFeed {
    /// Creates an empty log. Numbering starts at the agent's incarnation, a time in milliseconds
    /// that increases faster than events arrive, so numbers stay ascending across restarts.
    pub fn new(incarnation: Incarnation) -> Self {
        Self(Mutex::new(CacheLog::new(incarnation)))
    }

    /// Returns the events with a number above `seen`, in wire form.
    pub fn events_after(&self, seen: u64) -> Vec<CacheEventWire> {
        let events = self.lock().events_after(seen);
        events.into_iter().map(CacheEventWire::from).collect()
    }

    /// Polls for new events until `token` is cancelled.
    pub async fn run(&self, backend: BackendClient, token: CancellationToken) {
        loop {
            let delay = match self.read_new_events(&backend).await {
                Ok(()) => READ_INTERVAL,
                Err(_) => RETRY_INTERVAL,
            };
            tokio::select! {
                () = token.cancelled() => return,
                () = tokio::time::sleep(delay) => {}
            }
        }
    }

    async fn read_new_events(&self, backend: &BackendClient) -> anyhow::Result<()> {
        let load = read_load(backend, READ_TIMEOUT).await?;
        let after = {
            let mut log = self.lock();
            log.record_boot(&load.boot_id);
            log.last_server_seq()
        };
        let events = read_events(backend, after, READ_TIMEOUT).await?;
        let mut log = self.lock();
        events.into_iter().for_each(|event| log.record_event(event));
        Ok(())
    }

    fn lock(&self) -> MutexGuard<'_, CacheLog> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
