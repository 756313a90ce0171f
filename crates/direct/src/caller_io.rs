//! Connection of a caller: limits the time in which the head of a request (request line and
//! headers) has to arrive, and closes so that the caller can still read the last response.

use std::{
    cell::Cell,
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
    time::Duration,
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time::{Sleep, sleep},
};
use tokio_util::sync::CancellationToken;

/// Maximum time for which incoming bytes are read and discarded after the write side was shut down.
/// Closing with unread bytes would reset the connection, and the last response would be lost.
const MAX_LINGER: Duration = Duration::from_millis(300);

/// Maximum number of bytes discarded in that time.
const MAX_LINGER_BYTES: usize = 256 * 1024;

/// Time after which a write fails when the caller accepts no bytes of its response.
const WRITE_STALL_TIMEOUT: Duration = Duration::from_secs(8);

/// Phase of a caller's connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum ConnectionPhase {
    /// Waiting for a request.
    #[default]
    Idle,
    /// Part of a request's head has arrived.
    Head,
    /// A request is being handled.
    Busy,
}

/// Phase of one connection, shared between its I/O and its request handler.
pub type SharedConnectionPhase = Rc<Cell<ConnectionPhase>>;

/// TCP stream of a caller with timeouts for request heads, writes and closing.
pub struct CallerIo {
    stream: TcpStream,
    phase: SharedConnectionPhase,
    header_timeout: Duration,
    /// Set while part of a head has arrived; fires when the rest is late.
    header_timer: Option<Pin<Box<Sleep>>>,
    /// Set while a write is blocked; fires after [`WRITE_STALL_TIMEOUT`].
    write_timer: Option<Pin<Box<Sleep>>>,
    /// Set after the write side was shut down; fires after [`MAX_LINGER`].
    linger_timer: Option<Pin<Box<Sleep>>>,
    discarded_bytes: usize,
    drain: CancellationToken,
}

impl CallerIo {
    /// Wraps a connection on which each head has to arrive within `header_timeout` of its first
    /// byte. Once `drain` is cancelled, the connection closes without lingering.
    pub fn new(
        stream: TcpStream,
        phase: SharedConnectionPhase,
        header_timeout: Duration,
        drain: CancellationToken,
    ) -> Self {
        Self {
            stream,
            phase,
            header_timeout,
            header_timer: None,
            write_timer: None,
            linger_timer: None,
            discarded_bytes: 0,
            drain,
        }
    }

    /// Returns a timeout error if a head that has begun to arrive is late.
    fn check_header_timeout(&mut self, cx: &mut Context<'_>) -> io::Result<()> {
        if self.phase.get() != ConnectionPhase::Head {
            self.header_timer = None;
            return Ok(());
        }
        let is_late = self
            .header_timer
            .as_mut()
            .is_some_and(|it| it.as_mut().poll(cx).is_ready());
        match is_late {
            true => Err(io::ErrorKind::TimedOut.into()),
            false => Ok(()),
        }
    }

    /// Returns the result of a write, or a timeout error if the write has been blocked for
    /// [`WRITE_STALL_TIMEOUT`].
    fn check_write_stall(
        &mut self,
        cx: &mut Context<'_>,
        written: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        if written.is_ready() {
            self.write_timer = None;
            return written;
        }
        let timer = self
            .write_timer
            .get_or_insert_with(|| Box::pin(sleep(WRITE_STALL_TIMEOUT)));
        ready!(timer.as_mut().poll(cx));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }

    /// Reads and discards what the caller still sends, until the stream ends or a linger limit is
    /// reached.
    fn poll_linger(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let timer = self
            .linger_timer
            .get_or_insert_with(|| Box::pin(sleep(MAX_LINGER)));
        if timer.as_mut().poll(cx).is_ready() {
            return Poll::Ready(());
        }
        let mut bytes = [0; 4_096];
        while self.discarded_bytes < MAX_LINGER_BYTES {
            let mut buffer = ReadBuf::new(&mut bytes);
            let read = ready!(Pin::new(&mut self.stream).poll_read(cx, &mut buffer));
            let length = buffer.filled().len();
            if read.is_err() || length == 0 {
                break;
            }
            self.discarded_bytes += length;
        }
        Poll::Ready(())
    }
}

impl AsyncRead for CallerIo {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.check_header_timeout(cx)?;
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buffer))?;
        if buffer.filled().len() > before && self.phase.get() == ConnectionPhase::Idle {
            self.phase.set(ConnectionPhase::Head);
            self.header_timer = Some(Box::pin(sleep(self.header_timeout)));
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for CallerIo {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.check_write_stall(cx, written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, parts);
        self.check_write_stall(cx, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.linger_timer.is_none() {
            ready!(Pin::new(&mut self.stream).poll_shutdown(cx))?;
        }
        if !self.drain.is_cancelled() {
            ready!(self.poll_linger(cx));
        }
        Poll::Ready(Ok(()))
    }
}
