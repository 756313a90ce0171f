//! Standard output for log lines that never holds the process up.
//!
//! A line is left out where the reader of the output is behind, and where more lines come than a
//! fixed rate; the next line that is written says how many were left out.

use std::{
    io::{self, Write},
    time::{Duration, Instant},
};

use rustix::{
    event::{PollFd, PollFlags, Timespec, poll},
    stdio::stdout,
};

/// Lines a second that are written in the long run.
const LINES_PER_SECOND: f64 = 200.0;

/// Lines that may come at once.
const BURST: f64 = 1_000.0;

/// Longest line with its end, in bytes: a pipe takes that much in one piece, or says that it can't.
const LONGEST_LINE: usize = 4_096;

/// Puts lines together from the pieces in which they are written, so that one is written whole or left out
/// whole.
#[derive(Debug, Default)]
pub struct LineBuffer {
    pending: Vec<u8>,
}

impl LineBuffer {
    /// Takes a piece in, and hands over each line that it ends. A line that is too long is cut, and the
    /// end of the line kept.
    pub fn push(&mut self, piece: &[u8], mut take: impl FnMut(&[u8])) {
        for part in piece.split_inclusive(|byte| *byte == b'\n') {
            let room = LONGEST_LINE - 1 - self.pending.len();
            let is_end = part.ends_with(b"\n");
            let text = part.strip_suffix(b"\n").unwrap_or(part);
            self.pending
                .extend_from_slice(&text[..text.len().min(room)]);
            if is_end {
                self.pending.push(b'\n');
                take(&self.pending);
                self.pending.clear();
            }
        }
    }
}

/// Decides which lines are written.
#[derive(Debug)]
pub struct LineRateLimiter {
    balance: f64,
    filled: Duration,
    left_out: u64,
}

impl Default for LineRateLimiter {
    fn default() -> Self {
        Self {
            balance: BURST,
            filled: Duration::ZERO,
            left_out: 0,
        }
    }
}

impl LineRateLimiter {
    /// Whether a line may be written now; `now` is the time since the start.
    pub fn try_take(&mut self, now: Duration) -> bool {
        let passed = now.saturating_sub(self.filled).as_secs_f64();
        self.filled = now;
        self.balance = (self.balance + passed * LINES_PER_SECOND).min(BURST);
        if self.balance < 1.0 {
            self.left_out += 1;
            return false;
        }
        self.balance -= 1.0;
        true
    }

    /// Counts a line that could not be written.
    pub fn record_dropped(&mut self) {
        self.left_out += 1;
    }

    /// Lines left out since the last call.
    pub fn take_dropped_count(&mut self) -> u64 {
        std::mem::take(&mut self.left_out)
    }
}

/// Writes whole lines to standard output, or leaves them out.
pub struct LogOutput {
    lines: LineBuffer,
    budget: LineRateLimiter,
    started: Instant,
}

impl Default for LogOutput {
    fn default() -> Self {
        Self {
            lines: LineBuffer::default(),
            budget: LineRateLimiter::default(),
            started: Instant::now(),
        }
    }
}

impl Write for LogOutput {
    fn write(&mut self, piece: &[u8]) -> io::Result<usize> {
        let (budget, now) = (&mut self.budget, self.started.elapsed());
        self.lines.push(piece, |line| put_line(budget, now, line));
        Ok(piece.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes a line where the budget allows it.
fn put_line(budget: &mut LineRateLimiter, now: Duration, line: &[u8]) {
    if !budget.try_take(now) {
        return;
    }
    let left_out = budget.take_dropped_count();
    if left_out > 0 {
        put(format!("{{\"left_out\":{left_out}}}\n").as_bytes());
    }
    if !put(line) {
        budget.record_dropped();
    }
}

/// Writes bytes if the output takes them without a wait.
fn put(bytes: &[u8]) -> bool {
    let output = stdout();
    let mut fds = [PollFd::new(&output, PollFlags::OUT)];
    let at_once = Timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    let is_writable = poll(&mut fds, Some(&at_once)).is_ok_and(|ready| ready > 0);
    is_writable && rustix::io::write(output, bytes).is_ok()
}
