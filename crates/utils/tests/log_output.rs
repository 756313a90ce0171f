//! Lines of the log are written whole or left out whole.

use std::time::Duration;

use googletest::prelude::*;
use jj_utils::log_output::{LineBuffer, LineRateLimiter};

/// Lines that come out of pieces.
fn lines(pieces: &[&[u8]]) -> Vec<String> {
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
    let found = lines(&[b"{\"a\":", b"1}", b"\n", b"{}\n{\"b\":2}\nrest"]);

    expect_that!(found, eq(&["{\"a\":1}\n", "{}\n", "{\"b\":2}\n"]));
}

#[gtest]
fn overlong_line_is_truncated_and_keeps_its_newline() {
    let long = vec![b'x'; 10_000];

    let found = lines(&[&long, &long, b"\nnext\n"]);

    expect_that!(found.len(), eq(2));
    expect_that!(found[0].len(), eq(4_096));
    expect_that!(found[0], ends_with("x\n"));
    expect_that!(found[1], eq("next\n"));
}

#[gtest]
fn lines_over_the_rate_are_dropped_and_counted() {
    let mut budget = LineRateLimiter::default();

    let taken = (0..3_000)
        .filter(|_| budget.try_take(Duration::ZERO))
        .count();
    let later = (0..3_000)
        .filter(|_| budget.try_take(Duration::from_secs(1)))
        .count();

    expect_that!(taken, eq(1_000));
    expect_that!(later, eq(200));
    expect_that!(budget.take_dropped_count(), eq(4_800));
    expect_that!(budget.take_dropped_count(), eq(0));
}
