//! The connection of a caller: bounds the time in which the head of a request arrives, and closes so
//! that the caller can still read the last answer.

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

/// Longest time for which a closed connection is read on: one that is closed with unread bytes is
/// reset, and its last answer lost.
const LINGER_TIME: Duration = Duration::from_millis(300);

/// Most bytes that are read and dropped meanwhile.
const LINGER_BYTES: usize = 256 * 1024;

/// Longest time for which a caller takes none of the bytes of its answer.
const STALLED_WRITE: Duration = Duration::from_secs(8);

/// What a connection does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum ConnectionPhase {
    /// Waits for a request.
    #[default]
    Idle,
    /// Part of a head has arrived.
    Head,
    /// A request is being answered.
    Busy,
}

/// The phase of one connection, shared with those who answer its requests.
pub type SharedConnectionPhase = Rc<Cell<ConnectionPhase>>;

/// A caller's connection.
pub struct CallerIo {
    stream: TcpStream,
    phase: SharedConnectionPhase,
    head_time: Duration,
    /// Ends the wait for the rest of a head.
    head_end: Option<Pin<Box<Sleep>>>,
    /// Ends the wait for a caller that reads nothing.
    write_end: Option<Pin<Box<Sleep>>>,
    /// Ends the reading after the last answer.
    linger_end: Option<Pin<Box<Sleep>>>,
    dropped: usize,
    leave: CancellationToken,
}

impl CallerIo {
    /// A connection whose heads have to arrive within `head_time`.
    pub fn new(
        stream: TcpStream,
        phase: SharedConnectionPhase,
        head_time: Duration,
        leave: CancellationToken,
    ) -> Self {
        Self {
            stream,
            phase,
            head_time,
            head_end: None,
            write_end: None,
            linger_end: None,
            dropped: 0,
            leave,
        }
    }

    /// Fails once the head that has begun to arrive is late.
    fn check_head(&mut self, cx: &mut Context<'_>) -> io::Result<()> {
        if self.phase.get() != ConnectionPhase::Head {
            self.head_end = None;
            return Ok(());
        }
        let is_over = self
            .head_end
            .as_mut()
            .is_some_and(|it| it.as_mut().poll(cx).is_ready());
        match is_over {
            true => Err(io::ErrorKind::TimedOut.into()),
            false => Ok(()),
        }
    }

    /// Passes the outcome of a write on; fails once the caller has taken nothing for too long.
    fn check_write(
        &mut self,
        cx: &mut Context<'_>,
        written: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        if written.is_ready() {
            self.write_end = None;
            return written;
        }
        let end = self
            .write_end
            .get_or_insert_with(|| Box::pin(sleep(STALLED_WRITE)));
        ready!(end.as_mut().poll(cx));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }

    /// Reads and drops what the caller still sends, up to its end or the limits.
    fn poll_linger(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let end = self
            .linger_end
            .get_or_insert_with(|| Box::pin(sleep(LINGER_TIME)));
        if end.as_mut().poll(cx).is_ready() {
            return Poll::Ready(());
        }
        let mut bytes = [0; 4_096];
        while self.dropped < LINGER_BYTES {
            let mut buffer = ReadBuf::new(&mut bytes);
            let read = ready!(Pin::new(&mut self.stream).poll_read(cx, &mut buffer));
            let length = buffer.filled().len();
            if read.is_err() || length == 0 {
                break;
            }
            self.dropped += length;
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
        self.check_head(cx)?;
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buffer))?;
        if buffer.filled().len() > before && self.phase.get() == ConnectionPhase::Idle {
            self.phase.set(ConnectionPhase::Head);
            self.head_end = Some(Box::pin(sleep(self.head_time)));
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
        self.check_write(cx, written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, parts);
        self.check_write(cx, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.linger_end.is_none() {
            ready!(Pin::new(&mut self.stream).poll_shutdown(cx))?;
        }
        if !self.leave.is_cancelled() {
            ready!(self.poll_linger(cx));
        }
        Poll::Ready(Ok(()))
    }
}
