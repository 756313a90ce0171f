//! Reads the cache events of the backend server and keeps the newest for entries.

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use jj_backend::{cache::read_events, call::BackendClient, health::read_load};
use jj_peer::cache::CacheEventWire;
use jj_policy::cache_log::CacheLog;
use jj_utils::ids::Incarnation;
use tokio_util::sync::CancellationToken;

/// Interval of reading events.
const INTERVAL: Duration = Duration::from_millis(500);

/// Pause after a reading that failed, as at an engine that publishes no events.
const RETRY: Duration = Duration::from_secs(5);

/// Longest wait for an answer.
const TIMEOUT: Duration = Duration::from_millis(500);

/// The newest cache events of the backend server.
#[derive(Debug)]
pub struct CacheNews(Mutex<CacheLog>);

impl CacheNews {
    /// No events yet; the life of the agent is a time, which rises faster than events come.
    pub fn new(incarnation: Incarnation) -> Self {
        Self(Mutex::new(CacheLog::new(incarnation)))
    }

    /// Events above `seen`, for an entry.
    pub fn after(&self, seen: u64) -> Vec<CacheEventWire> {
        let events = self.lock().events_after(seen);
        events.into_iter().map(CacheEventWire::from).collect()
    }

    /// Reads new events until `token` is cancelled.
    pub async fn follow(&self, backend: BackendClient, token: CancellationToken) {
        loop {
            let pause = match self.read(&backend).await {
                Ok(()) => INTERVAL,
                Err(_) => RETRY,
            };
            tokio::select! {
                () = token.cancelled() => return,
                () = tokio::time::sleep(pause) => {}
            }
        }
    }

    async fn read(&self, backend: &BackendClient) -> anyhow::Result<()> {
        let load = read_load(backend, TIMEOUT).await?;
        let after = {
            let mut log = self.lock();
            log.record_boot(&load.boot_id);
            log.last_server_seq()
        };
        let events = read_events(backend, after, TIMEOUT).await?;
        let mut log = self.lock();
        events.into_iter().for_each(|event| log.record_event(event));
        Ok(())
    }

    fn lock(&self) -> MutexGuard<'_, CacheLog> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
