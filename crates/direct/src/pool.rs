//! Connections to backend servers, kept open between requests.
//!
//! `reqwest` hides which connection carries a request, and whether a request was written before the
//! connection broke; both decide here what may be repeated.

use std::{cell::RefCell, io, net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use jj_utils::{
    clock::{SharedClock, Timestamp},
    collections::FastMap,
    common_derives,
};
use tokio::task::AbortHandle;

use crate::socket;

/// Most bytes of an answer that a connection holds: its head has to fit in.
const ANSWER_BUFFER: usize = 64 * 1024;

/// Bodies of requests to backend servers.
pub type RequestBody = Full<Bytes>;

common_derives! {copy:
    /// Bounds on connections.
    pub struct PoolConfig {
        /// Longest time to open a connection.
        pub connect_timeout: Duration,
        /// Time without an acknowledgement after which a connection is broken.
        pub ack_timeout: Duration,
        /// Longest time for which an idle connection is kept.
        pub max_idle: Duration,
        /// Time before the end that a server announced for an idle connection at which it is
        /// no longer used, so that the two don't cross.
        pub keep_alive_margin: Duration,
        /// Most idle connections kept to one server.
        pub max_idle_per_server: usize,
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
        }
    }
}

/// Ends the task of a connection when dropped.
struct Driver(AbortHandle);

impl Drop for Driver {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// One connection, in use by one request. Dropping it closes it.
pub struct Connection {
    pub(crate) sender: SendRequest<RequestBody>,
    driver: Driver,
    addr: SocketAddr,
    /// Whether it has carried a request before.
    pub is_reused: bool,
}

struct Idle {
    connection: Connection,
    until: Timestamp,
}

/// Idle connections by address.
#[derive(Clone)]
pub struct Pool {
    config: PoolConfig,
    clock: SharedClock,
    idle: Rc<RefCell<FastMap<SocketAddr, Vec<Idle>>>>,
}

impl Pool {
    /// A pool without connections.
    pub fn new(config: PoolConfig, clock: SharedClock) -> Self {
        Self {
            config,
            clock,
            idle: Rc::default(),
        }
    }

    /// An idle connection to `addr`, or a new one.
    ///
    /// # Errors
    /// When no connection can be opened: nothing was sent.
    pub async fn acquire(&self, addr: SocketAddr) -> io::Result<Connection> {
        while let Some(mut connection) = self.pop(addr) {
            if connection.sender.ready().await.is_ok() {
                return Ok(connection);
            }
        }
        self.open(addr).await
    }

    /// Opens a new connection.
    ///
    /// # Errors
    /// When it can't be opened.
    pub async fn open(&self, addr: SocketAddr) -> io::Result<Connection> {
        let stream =
            socket::connect(addr, self.config.connect_timeout, self.config.ack_timeout).await?;
        let mut builder = http1::Builder::new();
        builder.max_buf_size(ANSWER_BUFFER);
        let opened = builder.handshake(TokioIo::new(stream)).await;
        let (sender, connection) = opened.map_err(io::Error::other)?;
        let task = tokio::task::spawn_local(async move {
            if let Err(error) = connection.await {
                log::debug!("connection to {addr} ended: {error}");
            }
        });
        metrics_opened();
        Ok(Connection {
            sender,
            driver: Driver(task.abort_handle()),
            addr,
            is_reused: false,
        })
    }

    /// Keeps a connection whose answer has ended. `keep_alive` is the time for which the server
    /// keeps it open.
    pub fn release(&self, mut connection: Connection, keep_alive: Option<Duration>) {
        let now = self.clock.now();
        let announced = keep_alive.map(|it| it.saturating_sub(self.config.keep_alive_margin));
        let kept = announced
            .unwrap_or(self.config.max_idle)
            .min(self.config.max_idle);
        if kept.is_zero() || connection.sender.is_closed() {
            return;
        }
        connection.is_reused = true;
        let mut idle = self.idle.borrow_mut();
        let list = idle.entry(connection.addr).or_default();
        list.retain(|it| it.until > now && !it.connection.sender.is_closed());
        if list.len() < self.config.max_idle_per_server {
            let until = now + kept;
            list.push(Idle { connection, until });
        }
    }

    /// Closes the idle connections to an address.
    pub fn close_idle(&self, addr: SocketAddr) {
        self.idle.borrow_mut().remove(&addr);
    }

    /// Closes idle connections whose time is over.
    pub fn remove_expired(&self) {
        let now = self.clock.now();
        self.idle.borrow_mut().retain(|_, list| {
            list.retain(|it| it.until > now && !it.connection.sender.is_closed());
            !list.is_empty()
        });
    }

    /// The idle connection that was used last, since it is the least likely to be closing.
    fn pop(&self, addr: SocketAddr) -> Option<Connection> {
        let now = self.clock.now();
        let mut idle = self.idle.borrow_mut();
        let list = idle.get_mut(&addr)?;
        list.retain(|it| it.until > now && !it.connection.sender.is_closed());
        list.pop().map(|it| it.connection)
    }
}

impl Connection {
    /// Whether the connection's task has ended.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed() || self.driver.0.is_finished()
    }
}

fn metrics_opened() {
    metrics::counter!("jujube_server_connections_total").increment(1);
}
