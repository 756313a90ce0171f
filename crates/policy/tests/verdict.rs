//! Verdicts that allow a retry.

use std::time::Duration;

use googletest::prelude::*;
use jj_policy::verdict::Verdict;

#[gtest]
fn only_not_run_is_retryable_for_non_idempotent_requests() {
    let not_run = Verdict::NotRun {
        retry_after: Duration::ZERO,
    };

    expect_that!(not_run.is_retryable(false), eq(true));
    expect_that!(Verdict::MayHaveRun.is_retryable(false), eq(false));
    expect_that!(Verdict::Ran.is_retryable(false), eq(false));
    expect_that!(Verdict::MayHaveRun.is_retryable(true), eq(true));
}
