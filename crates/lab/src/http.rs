//! HTTP server shared by the stand-ins, whose connections a handler can break.

use std::{
    io,
    net::SocketAddr,
    pin::Pin,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll},
    time::Duration,
};

use anyhow::Context as _;
use jj_utils::collections::FastMap;
use poem::{
    Endpoint, EndpointExt, Request, Server,
    http::uri::Scheme,
    listener::{Acceptor, TcpAcceptor},
    web::{LocalAddr, RemoteAddr},
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::{TcpListener, TcpStream},
};
use tokio_util::sync::CancellationToken;

/// Time for which open connections may continue after a stand-in begins to stop.
const STOP_GRACE: Duration = Duration::from_millis(200);

/// Breaks one connection.
///
/// A body that ends with an error is not enough: the server would still write the last chunk of a
/// chunked body, and a truncated response would look complete.
#[derive(Debug, Clone, Default)]
pub struct Breaker(Arc<AtomicBool>);

impl Breaker {
    /// Returns the breaker of the connection on which `request` arrived; one without effect if the
    /// connection is unknown.
    pub fn of(request: &Request) -> Self {
        let peer = request.remote_addr().as_socket_addr().copied();
        let connections = request.data::<Connections>();
        let known = connections.zip(peer).and_then(|(all, peer)| all.find(peer));
        known.unwrap_or_default()
    }

    /// Makes all further writes to the connection fail.
    pub fn break_off(&self) {
        self.0.store(true, Ordering::Release);
    }
}

/// Breakers of the open connections of one server, by the peer's address.
#[derive(Debug, Clone, Default)]
struct Connections(Arc<Mutex<FastMap<SocketAddr, Breaker>>>);

impl Connections {
    fn find(&self, peer: SocketAddr) -> Option<Breaker> {
        self.lock().get(&peer).cloned()
    }

    fn lock(&self) -> MutexGuard<'_, FastMap<SocketAddr, Breaker>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Accepts TCP connections with `TCP_NODELAY`, so that single tokens are sent at once.
struct NoDelayAcceptor {
    inner: TcpAcceptor,
    connections: Connections,
}

impl Acceptor for NoDelayAcceptor {
    type Io = BreakableStream;

    fn local_addr(&self) -> Vec<LocalAddr> {
        self.inner.local_addr()
    }

    async fn accept(&mut self) -> io::Result<(Self::Io, LocalAddr, RemoteAddr, Scheme)> {
        let (stream, local, remote, scheme) = self.inner.accept().await?;
        stream.set_nodelay(true)?;
        let stream = BreakableStream {
            peer: stream.peer_addr()?,
            stream,
            breaker: Breaker::default(),
            connections: self.connections.clone(),
        };
        let known = stream.breaker.clone();
        self.connections.lock().insert(stream.peer, known);
        Ok((stream, local, remote, scheme))
    }
}

/// A connection that a [`Breaker`] can break.
struct BreakableStream {
    peer: SocketAddr,
    stream: TcpStream,
    breaker: Breaker,
    connections: Connections,
}

impl Drop for BreakableStream {
    fn drop(&mut self) {
        self.connections.lock().remove(&self.peer);
    }
}

impl BreakableStream {
    fn check(&self) -> io::Result<()> {
        if self.breaker.0.load(Ordering::Acquire) {
            return Err(io::Error::from(io::ErrorKind::BrokenPipe));
        }
        Ok(())
    }
}

impl AsyncRead for BreakableStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buffer)
    }
}

impl AsyncWrite for BreakableStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.check()?;
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.check()?;
        Pin::new(&mut self.stream).poll_write_vectored(cx, parts)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// Serves `app` on `addr` until `cancel`.
///
/// # Errors
/// When the address cannot be bound or the server fails.
pub async fn serve_app<E>(app: E, addr: SocketAddr, cancel: CancellationToken) -> anyhow::Result<()>
where
    E: Endpoint + 'static,
{
    let listener = TcpListener::bind(addr)
        .await
        .with_context(|| format!("bind {addr}"))?;
    let connections = Connections::default();
    let acceptor = NoDelayAcceptor {
        inner: TcpAcceptor::from_tokio(listener)?,
        connections: connections.clone(),
    };
    Server::new_with_acceptor(acceptor)
        .run_with_graceful_shutdown(
            app.data(connections),
            cancel.cancelled_owned(),
            Some(STOP_GRACE),
        )
        .await
        .with_context(|| format!("serve {addr}"))
}
