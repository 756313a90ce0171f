//! Log lines are assembled, truncated and rate limited as a whole.

use std::time::Duration;

use googletest::prelude::*;
use jj_utils::log_output::{LineBuffer, LineRateLimiter};

/// Returns the lines that a buffer emits for these pieces.
fn emitted_lines(pieces: &[&[u8]]) -> Vec<String> {
    let mut buffer = LineBuffer::default();
    let mut lines = Vec::new();
    for piece in pieces {
        buffer.push(piece, |line| {
            lines.push(String::from_utf8_lossy(line).into_owned());
        });
    }
    lines
}

#[gtest]
fn lines_are_reassembled_from_any_split() {
    let found = emitted_lines(&[b"{\"a\":", b"1}", b"\n", b"{}\n{\"b\":2}\nrest"]);

    expect_that!(found, eq(&["{\"a\":1}\n", "{}\n", "{\"b\":2}\n"]));
}

#[gtest]
fn overlong_line_is_truncated_and_keeps_its_newline() {
    let long = vec![b'x'; 10_000];

    let found = emitted_lines(&[&long, &long, b"\nnext\n"]);

    expect_that!(found.len(), eq(2));
    expect_that!(found[0].len(), eq(4_096));
    expect_that!(found[0], ends_with("x\n"));
    expect_that!(found[1], eq("next\n"));
}

#[gtest]
fn lines_over_the_rate_are_dropped_and_counted() {
    let mut limiter = LineRateLimiter::default();

    let burst = (0..3_000)
        .filter(|_| limiter.try_take(Duration::ZERO))
        .count();
    let next_second = (0..3_000)
        .filter(|_| limiter.try_take(Duration::from_secs(1)))
        .count();

    expect_that!(burst, eq(1_000));
    expect_that!(next_second, eq(200));
    expect_that!(limiter.take_dropped_count(), eq(4_800));
    expect_that!(limiter.take_dropped_count(), eq(0));
}
