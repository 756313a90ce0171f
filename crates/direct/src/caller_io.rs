//! Connection of a caller: limits the time in which the head of a request (request line and
//! headers) has to arrive, and closes so that the caller can still read the last response.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll, ready},
    time::Duration,
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time::{Sleep, sleep},
};
use tokio_util::sync::CancellationToken;

use crate::{
    connection_table::{ConnectionPhase, SharedConnectionStatus},
    server::ServerConfig,
};

/// Time without a byte after which a connection whose write side was shut down is closed. Until then,
/// incoming bytes are read and discarded: closing with unread ones would reset the connection, and the
/// last response would be lost.
const LINGER_GAP: Duration = Duration::from_millis(300);

/// Maximum time for which incoming bytes are read and discarded.
const MAX_LINGER: Duration = Duration::from_secs(2);

/// Time after which a write fails when the caller accepts next to nothing of its response.
const WRITE_STALL_TIMEOUT: Duration = Duration::from_secs(8);

/// Bytes of a response that a caller has to accept in that time.
const MIN_WRITE_BYTES: usize = 8 * 1024;

/// TCP stream of a caller with timeouts for request heads, writes and closing.
pub struct CallerIo {
    stream: TcpStream,
    status: SharedConnectionStatus,
    config: ServerConfig,
    /// Set while part of a head has arrived; fires when the rest is late.
    header_timer: Option<Pin<Box<Sleep>>>,
    /// Set from when a write is blocked until nothing is left to write; fires after
    /// [`WRITE_STALL_TIMEOUT`].
    write_timer: Option<Pin<Box<Sleep>>>,
    /// Bytes accepted since that timer was set.
    written_bytes: usize,
    /// Set after the write side was shut down.
    linger: Option<Linger>,
    drain: CancellationToken,
}

/// Timers of a connection whose write side was shut down.
struct Linger {
    /// Fires after [`LINGER_GAP`] without a byte.
    gap: Pin<Box<Sleep>>,
    /// Fires after [`MAX_LINGER`].
    end: Pin<Box<Sleep>>,
    discarded_bytes: usize,
}

impl Linger {
    fn begin() -> Self {
        Self {
            gap: Box::pin(sleep(LINGER_GAP)),
            end: Box::pin(sleep(MAX_LINGER)),
            discarded_bytes: 0,
        }
    }
}

impl CallerIo {
    /// Wraps a connection with the limits of its port. Once `drain` is cancelled, the connection closes
    /// without lingering.
    pub fn new(
        stream: TcpStream,
        status: SharedConnectionStatus,
        config: ServerConfig,
        drain: CancellationToken,
    ) -> Self {
        Self {
            stream,
            status,
            config,
            header_timer: None,
            write_timer: None,
            written_bytes: 0,
            linger: None,
            drain,
        }
    }

    /// Returns a timeout error if a head that has begun to arrive is late.
    fn check_header_timeout(&mut self, cx: &mut Context<'_>) -> io::Result<()> {
        if self.status.phase() != ConnectionPhase::Head {
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

    /// Returns the result of a write, or a timeout error if the caller has accepted less than
    /// [`MIN_WRITE_BYTES`] in [`WRITE_STALL_TIMEOUT`] while there was more to write.
    fn check_write_stall(
        &mut self,
        cx: &mut Context<'_>,
        written: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        if let Poll::Ready(Ok(bytes)) = &written {
            self.written_bytes += bytes;
            self.status.record_sent();
        }
        if self.written_bytes >= MIN_WRITE_BYTES {
            self.end_write_stall();
        }
        if written.is_ready() {
            return written;
        }
        let timer = self
            .write_timer
            .get_or_insert_with(|| Box::pin(sleep(WRITE_STALL_TIMEOUT)));
        ready!(timer.as_mut().poll(cx));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }

    /// Begins to measure anew what the caller accepts.
    fn end_write_stall(&mut self) {
        self.write_timer = None;
        self.written_bytes = 0;
    }

    /// Reads and discards what the caller still sends, until the stream ends or a linger limit is
    /// reached.
    fn poll_linger(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let linger = self.linger.get_or_insert_with(Linger::begin);
        if linger.end.as_mut().poll(cx).is_ready() {
            return Poll::Ready(());
        }
        let mut bytes = [0; 4_096];
        while linger.discarded_bytes < self.config.max_linger_bytes {
            let mut buffer = ReadBuf::new(&mut bytes);
            let Poll::Ready(read) = Pin::new(&mut self.stream).poll_read(cx, &mut buffer) else {
                return linger.gap.as_mut().poll(cx);
            };
            let length = buffer.filled().len();
            if read.is_err() || length == 0 {
                break;
            }
            linger.discarded_bytes += length;
            let gap_end = tokio::time::Instant::now() + LINGER_GAP;
            linger.gap.as_mut().reset(gap_end);
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
        if buffer.filled().len() > before && self.status.is_between_requests() {
            self.status.set(ConnectionPhase::Head);
            self.header_timer = Some(Box::pin(sleep(self.config.header_timeout)));
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
        // All bytes are with the kernel.
        self.end_write_stall();
        self.status.record_flushed();
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.linger.is_none() {
            ready!(Pin::new(&mut self.stream).poll_shutdown(cx))?;
            self.status.set(ConnectionPhase::Closing);
        }
        if !self.drain.is_cancelled() {
            ready!(self.poll_linger(cx));
        }
        Poll::Ready(Ok(()))
    }
}
