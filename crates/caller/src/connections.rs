//! Connections of callers: at the limit, one that waits is closed for each new one, and the head of a
//! request is bounded. The HTTP library behind this port offers neither.

use std::{
    io,
    net::SocketAddr,
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    task::{Context, Poll, ready},
};

use jj_direct::connection_table::{
    ConnectionPhase, ConnectionTable, SharedConnectionStatus, TrackedConnection,
};
use jj_utils::{clock::SharedClock, collections::FastMap, listener::NoDelayAcceptor};
use poem::{
    http::uri::Scheme,
    listener::Acceptor,
    web::{LocalAddr, RemoteAddr},
};
use tokio::{
    io::{AsyncRead, AsyncReadExt, AsyncWrite, ReadBuf},
    net::TcpStream,
};
use tokio_util::sync::WaitForCancellationFutureOwned;

/// Largest head of a request, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Largest read, in bytes: the library's buffers grow with what a read returns.
const MAX_READ_BYTES: u64 = 16 * 1024;

/// Open connections of callers by their address.
#[derive(Clone, Default)]
pub struct CallerConnections(Arc<Mutex<FastMap<SocketAddr, SharedConnectionStatus>>>);

impl CallerConnections {
    /// Returns the status of the connection from an address.
    pub fn status(&self, peer: &SocketAddr) -> Option<SharedConnectionStatus> {
        self.lock().get(peer).cloned()
    }

    fn lock(&self) -> MutexGuard<'_, FastMap<SocketAddr, SharedConnectionStatus>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Acceptor that keeps to a number of connections.
pub struct LimitedAcceptor {
    inner: NoDelayAcceptor,
    table: Arc<ConnectionTable>,
    connections: CallerConnections,
    limit: usize,
}

impl LimitedAcceptor {
    /// Limits the connections of an acceptor, which are listed in `connections`.
    pub fn new(
        inner: NoDelayAcceptor,
        clock: SharedClock,
        connections: CallerConnections,
        limit: usize,
    ) -> Self {
        Self {
            inner,
            table: ConnectionTable::shared(clock),
            connections,
            limit,
        }
    }
}

impl Acceptor for LimitedAcceptor {
    type Io = CallerStream;

    fn local_addr(&self) -> Vec<LocalAddr> {
        self.inner.local_addr()
    }

    async fn accept(&mut self) -> io::Result<(Self::Io, LocalAddr, RemoteAddr, Scheme)> {
        loop {
            let (stream, local, remote, scheme) = self.inner.accept().await?;
            // One that is not added is closed before anything of it is read.
            let Some(tracked) = self.table.add(self.limit).await else {
                continue;
            };
            let Ok(peer) = stream.peer_addr() else {
                continue;
            };
            let connections = self.connections.clone();
            connections.lock().insert(peer, Arc::clone(&tracked.status));
            let closed = Box::pin(tracked.close.clone().cancelled_owned());
            let io = CallerStream {
                stream,
                peer,
                connections,
                tracked,
                closed,
                head_bytes: 0,
            };
            return Ok((io, local, remote, scheme));
        }
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
}

impl Drop for CallerStream {
    fn drop(&mut self) {
        self.connections.lock().remove(&self.peer);
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

    /// Counts the bytes of a head that has not arrived in full, up to [`MAX_HEAD_BYTES`].
    fn count_head(&mut self, received: usize) -> io::Result<()> {
        let status = &self.tracked.status;
        match status.phase() {
            ConnectionPhase::Idle if received > 0 => {
                status.set(ConnectionPhase::Head);
                self.head_bytes = received;
            }
            ConnectionPhase::Head => self.head_bytes += received,
            _ => self.head_bytes = 0,
        }
        match self.head_bytes > MAX_HEAD_BYTES {
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
        let received = buffer.filled().len() - before;
        Poll::Ready(self.count_head(received))
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.check_open(cx)?;
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.check_open(cx)?;
        Pin::new(&mut self.stream).poll_write_vectored(cx, parts)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.tracked.status.set(ConnectionPhase::Closing);
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
