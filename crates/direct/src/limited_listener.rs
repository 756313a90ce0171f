//! Listener for ports behind an HTTP library that limits neither connections nor heads nor buffers: at the
//! limit, a connection that waits is closed for each new one, and the head of a request is bounded.

use std::{
    io,
    net::SocketAddr,
    pin::Pin,
    sync::{Arc, Mutex},
    task::{Context, Poll, ready},
};

use jj_utils::{clock::SharedClock, collections::FastMap};
use poem::{
    Addr,
    http::uri::Scheme,
    listener::Acceptor,
    web::{LocalAddr, RemoteAddr},
};
use tokio::{
    io::{AsyncRead, AsyncReadExt, AsyncWrite, ReadBuf},
    net::{TcpListener, TcpStream},
};
use tokio_util::sync::WaitForCancellationFutureOwned;

use crate::{
    body::ResponseEndGuard,
    connection_table::{
        ConnectionPhase, ConnectionTable, SharedConnectionStatus, TrackedConnection,
    },
    locks::lock,
    socket,
};

/// Largest head of a request, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// First bytes of an HTTP/2 connection, which no request of HTTP/1.1 begins with. The library would speak
/// it, with buffers of a megabyte and hundreds of requests for each connection.
const HTTP2_PREFACE: &[u8] = b"PRI ";

/// Largest read, in bytes: the library's buffers grow with what a read returns.
const MAX_READ_BYTES: u64 = 16 * 1024;

/// Open connections of callers by their address.
#[derive(Clone, Default)]
pub struct CallerConnections(Arc<Mutex<FastMap<SocketAddr, SharedConnectionStatus>>>);

impl CallerConnections {
    /// Returns the status of the connection from an address.
    pub fn status(&self, peer: &SocketAddr) -> Option<SharedConnectionStatus> {
        lock(&self.0).get(peer).cloned()
    }

    /// Marks the connection from an address as one on which a request is handled, until the guard is
    /// dropped.
    pub fn begin_request(&self, peer: &SocketAddr) -> Option<ResponseEndGuard> {
        let status = self.status(peer)?;
        status.set(ConnectionPhase::Busy);
        Some(ResponseEndGuard(status))
    }
}

/// Listener that keeps to a number of connections.
pub struct LimitedListener {
    listener: TcpListener,
    table: Arc<ConnectionTable>,
    connections: CallerConnections,
    limit: usize,
}

impl LimitedListener {
    /// Listens on `addr` for up to `limit` connections at once.
    ///
    /// # Errors
    /// When the address can't be bound.
    pub fn bind(addr: SocketAddr, clock: SharedClock, limit: usize) -> io::Result<Self> {
        Ok(Self {
            listener: socket::listen(addr)?,
            table: ConnectionTable::shared(clock),
            connections: CallerConnections::default(),
            limit,
        })
    }

    /// Returns the open connections.
    pub fn connections(&self) -> CallerConnections {
        self.connections.clone()
    }

    /// Returns the address of the listener.
    ///
    /// # Errors
    /// When the socket can't be asked.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Accepts the next connection, for which another one is closed at the limit.
    ///
    /// # Errors
    /// When no connection can be accepted.
    pub async fn accept_next(&self) -> io::Result<(CallerStream, SocketAddr)> {
        loop {
            let (stream, peer) = self.listener.accept().await?;
            // One that is not added is closed before anything of it is read.
            let Some(tracked) = self.table.add(self.limit).await else {
                continue;
            };
            socket::prepare_accepted(&stream);
            let connections = self.connections.clone();
            lock(&connections.0).insert(peer, Arc::clone(&tracked.status));
            let closed = Box::pin(tracked.close.clone().cancelled_owned());
            let io = CallerStream {
                stream,
                peer,
                connections,
                tracked,
                closed,
                head_bytes: 0,
                preface_bytes: Some(0),
            };
            return Ok((io, peer));
        }
    }
}

impl Acceptor for LimitedListener {
    type Io = CallerStream;

    fn local_addr(&self) -> Vec<LocalAddr> {
        let addr = self.listener.local_addr().map(Addr::SocketAddr);
        addr.into_iter().map(LocalAddr).collect()
    }

    async fn accept(&mut self) -> io::Result<(Self::Io, LocalAddr, RemoteAddr, Scheme)> {
        let (io, peer) = self.accept_next().await?;
        let local = LocalAddr(Addr::SocketAddr(self.listener.local_addr()?));
        let remote = RemoteAddr(Addr::SocketAddr(peer));
        Ok((io, local, remote, Scheme::HTTP))
    }
}

/// Connection of a caller, which leaves its list on drop.
pub struct CallerStream {
    stream: TcpStream,
    peer: SocketAddr,
    connections: CallerConnections,
    tracked: TrackedConnection,
    closed: Pin<Box<WaitForCancellationFutureOwned>>,
    /// Bytes received of a request's head so far.
    head_bytes: usize,
    /// Number of bytes at the start of the connection that are those of [`HTTP2_PREFACE`]; `None` once
    /// one is not.
    preface_bytes: Option<usize>,
}

impl Drop for CallerStream {
    fn drop(&mut self) {
        lock(&self.connections.0).remove(&self.peer);
    }
}

impl CallerStream {
    /// Returns an error if the connection is closed for another one.
    fn check_open(&mut self, cx: &mut Context<'_>) -> io::Result<()> {
        match self.closed.as_mut().poll(cx) {
            Poll::Ready(()) => Err(io::ErrorKind::ConnectionAborted.into()),
            Poll::Pending => Ok(()),
        }
    }

    /// Returns an error if the connection begins like one of HTTP/2.
    fn check_protocol(&mut self, received: &[u8]) -> io::Result<()> {
        let Some(mut matched) = self.preface_bytes else {
            return Ok(());
        };
        for byte in received {
            if HTTP2_PREFACE[matched] != *byte {
                self.preface_bytes = None;
                return Ok(());
            }
            matched += 1;
            if matched == HTTP2_PREFACE.len() {
                return Err(io::ErrorKind::InvalidData.into());
            }
        }
        self.preface_bytes = Some(matched);
        Ok(())
    }

    /// Counts the bytes of a head that has not arrived in full, up to [`MAX_HEAD_BYTES`], and records that
    /// a body progresses.
    fn record_received(&mut self, received: usize) -> io::Result<()> {
        let status = &self.tracked.status;
        if received > 0 && status.is_between_requests() {
            status.set(ConnectionPhase::Head);
            self.head_bytes = 0;
        }
        match status.phase() {
            ConnectionPhase::Head => self.head_bytes += received,
            ConnectionPhase::Body => status.set(ConnectionPhase::Body),
            _ => {}
        }
        match status.phase() == ConnectionPhase::Head && self.head_bytes > MAX_HEAD_BYTES {
            true => Err(io::ErrorKind::InvalidData.into()),
            false => Ok(()),
        }
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.check_open(cx)?;
        let before = buffer.filled().len();
        let mut part = AsyncReadExt::take(&mut self.stream, MAX_READ_BYTES);
        ready!(Pin::new(&mut part).poll_read(cx, buffer))?;
        self.check_protocol(&buffer.filled()[before..])?;
        let received = buffer.filled().len() - before;
        Poll::Ready(self.record_received(received))
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.check_open(cx)?;
        let written = ready!(Pin::new(&mut self.stream).poll_write(cx, bytes));
        self.tracked.status.record_sent();
        Poll::Ready(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.check_open(cx)?;
        let written = ready!(Pin::new(&mut self.stream).poll_write_vectored(cx, parts));
        self.tracked.status.record_sent();
        Poll::Ready(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.tracked.status.record_flushed();
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.tracked.status.set(ConnectionPhase::Closing);
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
