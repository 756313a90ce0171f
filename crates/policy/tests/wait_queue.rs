//! Order of queued requests.

use std::time::Duration;

use googletest::prelude::*;
use jj_policy::wait_queue::{QueueKey, WaitQueue};

fn key(priority: u32, arrived_ms: u64, ticket: u64) -> QueueKey {
    QueueKey {
        priority,
        arrived: Duration::from_millis(arrived_ms),
        ticket,
    }
}

#[gtest]
fn higher_priority_goes_first_then_earlier_arrival() {
    let mut queue = WaitQueue::default();
    queue.push(key(1, 30, 3), "later");
    queue.push(key(1, 10, 1), "first");
    queue.push(key(1, 30, 2), "same time");
    queue.push(key(0, 90, 4), "urgent");

    let order: Vec<&str> = queue
        .keys()
        .iter()
        .filter_map(|it| queue.get(it).copied())
        .collect();

    expect_that!(
        order,
        elements_are![eq(&"urgent"), eq(&"first"), eq(&"same time"), eq(&"later")]
    );
    expect_that!(queue.count_before(&key(1, 30, 3)), eq(3));
}

#[gtest]
fn removed_request_is_no_longer_queued() {
    let mut queue = WaitQueue::default();
    queue.push(key(1, 10, 1), "gone");

    expect_that!(queue.remove(&key(1, 10, 1)), some(eq("gone")));
    expect_that!(queue.remove(&key(1, 10, 1)), none());
    expect_that!(queue.is_empty(), eq(true));
}
