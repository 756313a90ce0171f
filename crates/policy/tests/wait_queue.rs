//! Order of requests that wait for room.

use std::time::Duration;

use googletest::prelude::*;
use jj_policy::wait_queue::{QueueKey, WaitQueue};

fn turn(priority: u32, arrived_ms: u64, ticket: u64) -> QueueKey {
    QueueKey {
        priority,
        arrived: Duration::from_millis(arrived_ms),
        ticket,
    }
}

#[gtest]
fn urgent_requests_go_first_and_equal_ones_in_the_order_of_their_arrival() {
    let mut queue = WaitQueue::default();
    queue.push(turn(1, 30, 3), "later");
    queue.push(turn(1, 10, 1), "first");
    queue.push(turn(1, 30, 2), "same time");
    queue.push(turn(0, 90, 4), "urgent");

    let order: Vec<&str> = queue
        .keys()
        .iter()
        .filter_map(|it| queue.get(it).copied())
        .collect();

    expect_that!(
        order,
        elements_are![eq(&"urgent"), eq(&"first"), eq(&"same time"), eq(&"later")]
    );
    expect_that!(queue.count_before(&turn(1, 30, 3)), eq(3));
}

#[gtest]
fn a_request_that_has_left_waits_no_longer() {
    let mut queue = WaitQueue::default();
    queue.push(turn(1, 10, 1), "gone");

    expect_that!(queue.remove(&turn(1, 10, 1)), some(eq("gone")));
    expect_that!(queue.remove(&turn(1, 10, 1)), none());
    expect_that!(queue.is_empty(), eq(true));
}
