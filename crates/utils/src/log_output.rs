//! Non-blocking output of log lines to standard output.
//!
//! A line is dropped when the reader of the output is behind, or when lines exceed a fixed rate. A
//! record with the number of dropped lines precedes the next line that is written.

use std::{
    io::{self, Write},
    time::{Duration, Instant},
};

use rustix::{
    event::{PollFd, PollFlags, Timespec, poll},
    stdio::stdout,
};

/// Maximum rate of lines over a long time.
const LINES_PER_SECOND: f64 = 200.0;

/// Maximum number of lines in a burst.
const BURST_LINES: f64 = 1_000.0;

/// Maximum length of a line in bytes, including its newline. A pipe accepts a write of up to this
/// size as a whole or not at all.
const MAX_LINE_BYTES: usize = 4_096;

/// Buffer that assembles lines from the pieces in which they are written, so that each line is
/// written or dropped as a whole.
#[derive(Debug, Default)]
pub struct LineBuffer {
    pending: Vec<u8>,
}

impl LineBuffer {
    /// Appends a piece and calls `write_line` with each line that it completes, including the
    /// newline. A line that is too long is truncated but keeps its newline.
    pub fn push(&mut self, piece: &[u8], mut write_line: impl FnMut(&[u8])) {
        for part in piece.split_inclusive(|byte| *byte == b'\n') {
            let room = MAX_LINE_BYTES - 1 - self.pending.len();
            let is_end = part.ends_with(b"\n");
            let text = part.strip_suffix(b"\n").unwrap_or(part);
            self.pending
                .extend_from_slice(&text[..text.len().min(room)]);
            if is_end {
                self.pending.push(b'\n');
                write_line(&self.pending);
                self.pending.clear();
            }
        }
    }
}

/// Token bucket that limits the rate of lines and counts the dropped ones.
#[derive(Debug)]
pub struct LineRateLimiter {
    tokens: f64,
    last_refill: Duration,
    dropped_count: u64,
}

impl Default for LineRateLimiter {
    fn default() -> Self {
        Self {
            tokens: BURST_LINES,
            last_refill: Duration::ZERO,
            dropped_count: 0,
        }
    }
}

impl LineRateLimiter {
    /// Returns whether a line may be written now, and counts it as dropped if not; `now` is the
    /// time since the output was created.
    pub fn try_take(&mut self, now: Duration) -> bool {
        let elapsed_secs = now.saturating_sub(self.last_refill).as_secs_f64();
        self.last_refill = now;
        self.tokens = (self.tokens + elapsed_secs * LINES_PER_SECOND).min(BURST_LINES);
        if self.tokens < 1.0 {
            self.dropped_count += 1;
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Counts a line that could not be written.
    pub fn record_dropped(&mut self) {
        self.dropped_count += 1;
    }

    /// Returns the number of lines dropped since the last call, and resets it.
    pub fn take_dropped_count(&mut self) -> u64 {
        std::mem::take(&mut self.dropped_count)
    }
}

/// Writer that sends whole lines to standard output or drops them.
pub struct LogOutput {
    lines: LineBuffer,
    limiter: LineRateLimiter,
    created_at: Instant,
}

impl Default for LogOutput {
    fn default() -> Self {
        Self {
            lines: LineBuffer::default(),
            limiter: LineRateLimiter::default(),
            created_at: Instant::now(),
        }
    }
}

impl Write for LogOutput {
    fn write(&mut self, piece: &[u8]) -> io::Result<usize> {
        let (limiter, now) = (&mut self.limiter, self.created_at.elapsed());
        self.lines
            .push(piece, |line| write_line(limiter, now, line));
        Ok(piece.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes a line if the limiter allows it, preceded by the number of dropped lines if there are
/// any.
fn write_line(limiter: &mut LineRateLimiter, now: Duration, line: &[u8]) {
    if !limiter.try_take(now) {
        return;
    }
    let dropped = limiter.take_dropped_count();
    if dropped > 0 {
        try_write(format!("{{\"left_out\":{dropped}}}\n").as_bytes());
    }
    if !try_write(line) {
        limiter.record_dropped();
    }
}

/// Writes bytes if the output accepts them without blocking; returns whether they were written.
fn try_write(bytes: &[u8]) -> bool {
    let output = stdout();
    let mut fds = [PollFd::new(&output, PollFlags::OUT)];
    let no_wait = Timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    let is_writable = poll(&mut fds, Some(&no_wait)).is_ok_and(|ready| ready > 0);
    is_writable && rustix::io::write(output, bytes).is_ok()
}
