//! Pool of connections to backend servers, kept open between requests.
//!
//! `reqwest` hides which connection carries a request, and whether a request was written before the
//! connection broke; both are needed to decide whether a request may be retried.

use std::{
    cell::{Cell, RefCell},
    io,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use jj_policy::process_limits::ProcessLimits;
use jj_utils::{
    clock::{SharedClock, Timestamp},
    collections::FastMap,
    common_derives,
};
use tokio::task::AbortHandle;

use crate::{body_budget::RequestBody, socket};

/// Maximum read buffer of a connection in bytes; the status line and headers of a response have to
/// fit.
const MAX_READ_BUFFER_BYTES: usize = 64 * 1024;

common_derives! {copy:
    /// Limits of pooled connections.
    pub struct PoolConfig {
        /// Maximum time to open a connection.
        pub connect_timeout: Duration,
        /// Maximum time for which sent bytes may stay unacknowledged before the connection is
        /// closed.
        pub ack_timeout: Duration,
        /// Maximum time for which an idle connection is kept.
        pub max_idle: Duration,
        /// Safety margin: an idle connection is no longer used this long before the server's
        /// announced keep-alive time ends, so that a request doesn't cross with the server closing
        /// it.
        pub keep_alive_margin: Duration,
        /// Maximum number of idle connections kept to one server.
        pub max_idle_per_server: usize,
        /// Maximum number of connections to all servers.
        pub max_connections: usize,
    }
}

impl Default for PoolConfig {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_millis(400),
            ack_timeout: Duration::from_millis(900),
            max_idle: Duration::from_secs(4),
            keep_alive_margin: Duration::from_millis(500),
            max_idle_per_server: 32,
            max_connections: ProcessLimits::default().server_connections(),
        }
    }
}

/// Handle of the task that drives a connection; aborts the task when dropped.
struct DriverTask(AbortHandle);

impl Drop for DriverTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Connection in use by one request. Dropping it closes it.
pub struct Connection {
    pub(crate) sender: SendRequest<RequestBody>,
    driver: DriverTask,
    addr: SocketAddr,
    _count: OpenCount,
    /// Whether the connection has carried an earlier request.
    pub is_reused: bool,
}

/// Counts a connection as open until dropped.
struct OpenCount(Rc<Cell<usize>>);

impl OpenCount {
    fn new(open: &Rc<Cell<usize>>) -> Self {
        open.set(open.get() + 1);
        Self(Rc::clone(open))
    }
}

impl Drop for OpenCount {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

struct IdleConnection {
    connection: Connection,
    expires_at: Timestamp,
}

/// Pool of idle connections by server address.
#[derive(Clone)]
pub struct Pool {
    config: PoolConfig,
    clock: SharedClock,
    max_connections: Rc<Cell<usize>>,
    /// Number of connections, idle or in use.
    open: Rc<Cell<usize>>,
    idle: Rc<RefCell<FastMap<SocketAddr, Vec<IdleConnection>>>>,
}

impl Pool {
    /// Returns a pool without connections.
    pub fn new(config: PoolConfig, clock: SharedClock) -> Self {
        Self {
            max_connections: Rc::new(Cell::new(config.max_connections)),
            config,
            clock,
            open: Rc::default(),
            idle: Rc::default(),
        }
    }

    /// Changes the maximum number of connections to all servers.
    pub fn set_max_connections(&self, max_connections: usize) {
        self.max_connections.set(max_connections);
    }

    /// Returns an idle connection to `addr`, or opens a new one.
    ///
    /// # Errors
    /// When no connection can be opened; nothing was sent in that case.
    pub async fn acquire(&self, addr: SocketAddr) -> io::Result<Connection> {
        while let Some(mut connection) = self.pop(addr) {
            if connection.sender.ready().await.is_ok() {
                return Ok(connection);
            }
        }
        self.open(addr).await
    }

    /// Opens a new connection, for which an idle one is closed where there are too many.
    ///
    /// # Errors
    /// When the connection can't be opened within the connect timeout, or too many are in use.
    pub async fn open(&self, addr: SocketAddr) -> io::Result<Connection> {
        if self.open.get() >= self.max_connections.get() && !self.close_one_idle() {
            return Err(io::Error::other("too many connections to servers"));
        }
        let count = OpenCount::new(&self.open);
        let stream =
            socket::connect(addr, self.config.connect_timeout, self.config.ack_timeout).await?;
        let mut builder = http1::Builder::new();
        builder.max_buf_size(MAX_READ_BUFFER_BYTES);
        let opened = builder.handshake(TokioIo::new(stream)).await;
        let (sender, connection) = opened.map_err(io::Error::other)?;
        let task = tokio::task::spawn_local(async move {
            if let Err(error) = connection.await {
                log::debug!("connection to server {addr} ended with an error: {error}");
            }
        });
        count_opened_connection();
        Ok(Connection {
            sender,
            driver: DriverTask(task.abort_handle()),
            addr,
            _count: count,
            is_reused: false,
        })
    }

    /// Returns whether the port of a server refuses connections, which shows that the server has
    /// ended. A connection that it accepts is kept.
    pub async fn is_refused(&self, addr: SocketAddr) -> bool {
        match self.open(addr).await {
            Ok(connection) => {
                self.release(connection, None);
                false
            }
            Err(error) => error.kind() == io::ErrorKind::ConnectionRefused,
        }
    }

    /// Puts a connection back into the pool after its response has ended. `keep_alive` is the time
    /// for which the server keeps it open, if announced. Closed connections, and those over the
    /// limit for the server, are dropped.
    pub fn release(&self, mut connection: Connection, keep_alive: Option<Duration>) {
        let now = self.clock.now();
        let server_limit = keep_alive.map(|it| it.saturating_sub(self.config.keep_alive_margin));
        let idle_time = server_limit
            .unwrap_or(self.config.max_idle)
            .min(self.config.max_idle);
        if idle_time.is_zero() || connection.sender.is_closed() {
            return;
        }
        connection.is_reused = true;
        let mut idle = self.idle.borrow_mut();
        let list = idle.entry(connection.addr).or_default();
        list.retain(|it| it.expires_at > now && !it.connection.sender.is_closed());
        if list.len() < self.config.max_idle_per_server {
            let expires_at = now + idle_time;
            list.push(IdleConnection {
                connection,
                expires_at,
            });
        }
    }

    /// Closes the idle connection that expires first; returns false if there is none.
    fn close_one_idle(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        let lists = idle.values_mut().filter(|it| !it.is_empty());
        let Some(list) = lists.min_by_key(|it| it.first().map(|it| it.expires_at)) else {
            return false;
        };
        list.remove(0);
        true
    }

    /// Closes all idle connections to an address.
    pub fn close_idle(&self, addr: SocketAddr) {
        self.idle.borrow_mut().remove(&addr);
    }

    /// Closes expired idle connections.
    pub fn remove_expired(&self) {
        let now = self.clock.now();
        self.idle.borrow_mut().retain(|_, list| {
            list.retain(|it| it.expires_at > now && !it.connection.sender.is_closed());
            !list.is_empty()
        });
    }

    /// Removes and returns the idle connection that was used last, since it is the least likely to
    /// be closing.
    fn pop(&self, addr: SocketAddr) -> Option<Connection> {
        let now = self.clock.now();
        let mut idle = self.idle.borrow_mut();
        let list = idle.get_mut(&addr)?;
        list.retain(|it| it.expires_at > now && !it.connection.sender.is_closed());
        list.pop().map(|it| it.connection)
    }
}

impl Connection {
    /// Returns whether the connection is closed or its task has ended.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed() || self.driver.0.is_finished()
    }
}

fn count_opened_connection() {
    metrics::counter!("jujube_server_connections_total").increment(1);
}
