//! Connections of the callers of one port. When there are as many as the process may have, one is closed
//! for each new one.

use std::sync::{
    Arc, Mutex,
    atomic::{AtomicBool, AtomicU64, Ordering},
};

use jj_policy::connection_limit::{self, ConnectionId, ConnectionState, ConnectionUse};
use jj_utils::{
    clock::{SharedClock, Timestamp},
    collections::FastMap,
    events, log_event,
};
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use crate::locks::lock;

/// Phase of a caller's connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum ConnectionPhase {
    /// Waiting for a request.
    #[default]
    Idle,
    /// Part of a request's head has arrived.
    Head,
    /// The body of a request is arriving.
    Body,
    /// A request that has arrived in full is being handled.
    Busy,
    /// The response is complete, and its last bytes are being sent.
    Flushing,
    /// The last response has been sent.
    Closing,
}

/// Phase of one connection, shared between its I/O, its request handler and the table.
pub type SharedConnectionStatus = Arc<ConnectionStatus>;

/// Phase of one connection, and since when.
pub struct ConnectionStatus {
    current: Mutex<(ConnectionPhase, Timestamp)>,
    clock: SharedClock,
}

impl ConnectionStatus {
    /// Returns the status of a connection that has just been opened.
    pub fn shared(clock: SharedClock) -> SharedConnectionStatus {
        Arc::new(Self {
            current: Mutex::new((ConnectionPhase::default(), clock.now())),
            clock,
        })
    }

    /// Returns the phase.
    pub fn phase(&self) -> ConnectionPhase {
        lock(&self.current).0
    }

    /// Returns whether a request is being received or handled.
    pub fn has_request(&self) -> bool {
        matches!(self.phase(), ConnectionPhase::Body | ConnectionPhase::Busy)
    }

    /// Returns whether the next bytes are those of a new request.
    pub fn is_between_requests(&self) -> bool {
        let phase = self.phase();
        matches!(phase, ConnectionPhase::Idle | ConnectionPhase::Flushing)
    }

    /// Sets the phase, which begins now, or goes on from now. A connection on which a head arrives has
    /// waited since its last response.
    pub fn set(&self, phase: ConnectionPhase) {
        let mut current = lock(&self.current);
        current.0 = phase;
        if phase != ConnectionPhase::Head {
            current.1 = self.clock.now();
        }
    }

    /// Records that bytes were sent.
    pub fn record_sent(&self) {
        let mut current = lock(&self.current);
        if current.0 == ConnectionPhase::Flushing {
            current.1 = self.clock.now();
        }
    }

    /// Records that all bytes were sent: a connection whose response is complete waits for a request.
    pub fn record_flushed(&self) {
        let mut current = lock(&self.current);
        if current.0 == ConnectionPhase::Flushing {
            *current = (ConnectionPhase::Idle, self.clock.now());
        }
    }

    /// Returns the state by which it is decided which connection is closed.
    fn state(&self) -> ConnectionState {
        let (phase, since) = *lock(&self.current);
        let current = match phase {
            ConnectionPhase::Idle | ConnectionPhase::Head => ConnectionUse::Waiting,
            ConnectionPhase::Body | ConnectionPhase::Flushing => ConnectionUse::Transferring,
            ConnectionPhase::Busy => ConnectionUse::Busy,
            ConnectionPhase::Closing => ConnectionUse::Closing,
        };
        ConnectionState { current, since }
    }
}

/// An open connection.
struct Entry {
    status: SharedConnectionStatus,
    /// Cancelled to close the connection at once.
    close: CancellationToken,
}

/// Connections of one port.
pub struct ConnectionTable {
    clock: SharedClock,
    entries: Mutex<FastMap<ConnectionId, Entry>>,
    next_id: AtomicU64,
    /// Notified when a connection has ended.
    ended: Notify,
    /// Whether the limit was reached and has been logged.
    is_full: AtomicBool,
}

/// A connection in the table, which it leaves on drop.
pub struct TrackedConnection {
    table: Arc<ConnectionTable>,
    id: ConnectionId,
    /// Phase of the connection.
    pub status: SharedConnectionStatus,
    /// Cancelled to close the connection at once.
    pub close: CancellationToken,
}

impl Drop for TrackedConnection {
    fn drop(&mut self) {
        lock(&self.table.entries).remove(&self.id);
        self.table.ended.notify_one();
    }
}

impl ConnectionTable {
    /// Returns a table without connections.
    pub fn shared(clock: SharedClock) -> Arc<Self> {
        Arc::new(Self {
            clock,
            entries: Mutex::default(),
            next_id: AtomicU64::default(),
            ended: Notify::new(),
            is_full: AtomicBool::default(),
        })
    }

    /// Adds a new connection, for which another one is closed where there are `limit` already; `None` if
    /// all of them have a request.
    pub async fn add(self: &Arc<Self>, limit: usize) -> Option<TrackedConnection> {
        while self.len() >= limit {
            self.log_full(limit);
            // The end of one that was told to close is waited for before another one is.
            if !self.is_closing_one() {
                self.close_one()?;
            }
            self.ended.notified().await;
        }
        // A quarter below the limit, so that a connection that comes and goes isn't logged each time.
        if self.len() < limit - limit / 4 {
            self.is_full.store(false, Ordering::Relaxed);
        }
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let tracked = TrackedConnection {
            table: Arc::clone(self),
            id,
            status: ConnectionStatus::shared(self.clock.clone()),
            close: CancellationToken::new(),
        };
        let entry = Entry {
            status: Arc::clone(&tracked.status),
            close: tracked.close.clone(),
        };
        lock(&self.entries).insert(id, entry);
        Some(tracked)
    }

    /// Has the connection closed that is worth least; `None` if all have a request.
    fn close_one(&self) -> Option<()> {
        let entries = lock(&self.entries);
        let states = entries.iter().map(|(id, it)| (*id, it.status.state()));
        let Some(id) = connection_limit::choose_closed(self.clock.now(), states) else {
            count_refused();
            return None;
        };
        entries.get(&id)?.close.cancel();
        metrics::counter!("jujube_connections_closed_total").increment(1);
        Some(())
    }

    fn is_closing_one(&self) -> bool {
        lock(&self.entries)
            .values()
            .any(|it| it.close.is_cancelled())
    }

    fn len(&self) -> usize {
        lock(&self.entries).len()
    }

    /// Logs that the limit was reached, once until there are clearly fewer connections again.
    fn log_full(&self, limit: usize) {
        if !self.is_full.swap(true, Ordering::Relaxed) {
            log_event!(
                events::CONNECTIONS_FULL,
                limit = limit;
                "a port has as many connections as it may have: one is closed for each new one"
            );
        }
    }
}

fn count_refused() {
    metrics::counter!("jujube_connections_refused_total").increment(1);
}
