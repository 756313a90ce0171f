//! Order of requests that wait for room.

use std::time::Duration;

use googletest::prelude::*;
use jj_policy::wait_queue::{Turn, WaitQueue};

/// Time in which an answer can be on time, and for which a request waits at most, in milliseconds.
const FRESH: u64 = 180;
const WAITS: u64 = 1_700;

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn turn(priority: u32, arrived_ms: u64, ticket: u64) -> Turn {
    Turn {
        priority,
        arrived: at(arrived_ms),
        fresh_until: at(arrived_ms + FRESH),
        until: at(arrived_ms + WAITS),
        ticket,
    }
}

fn order<'a>(queue: &WaitQueue<&'a str>, now: u64) -> Vec<&'a str> {
    let order = queue.order(at(now)).into_iter();
    order.filter_map(|it| queue.get(it).copied()).collect()
}

#[gtest]
fn urgent_requests_go_first_and_equal_ones_in_the_order_of_their_arrival() {
    let mut queue = WaitQueue::default();
    queue.push(turn(1, 30, 3), "later");
    queue.push(turn(1, 10, 1), "first");
    queue.push(turn(1, 30, 2), "same time");
    queue.push(turn(0, 90, 4), "urgent");

    expect_that!(
        order(&queue, 100),
        eq(&["urgent", "first", "same time", "later"])
    );
}

#[gtest]
fn those_that_can_be_on_time_go_before_late_ones_and_of_these_the_first_that_is_given_up() {
    let mut queue = WaitQueue::default();
    queue.push(turn(1, 100, 1), "late");
    queue.push(
        Turn {
            until: at(900),
            ..turn(1, 400, 2)
        },
        "late and soon given up",
    );
    queue.push(turn(1, 750, 3), "fresh");
    queue.push(turn(1, 700, 4), "fresh before");

    let found = order(&queue, 800);

    expect_that!(
        found,
        eq(&["fresh before", "fresh", "late and soon given up", "late"])
    );
}

#[gtest]
fn a_request_that_has_left_waits_no_longer() {
    let mut queue = WaitQueue::default();
    queue.push(turn(1, 10, 1), "gone");

    expect_that!(queue.remove(1), some(eq("gone")));
    expect_that!(queue.remove(1), none());
    expect_that!(queue.is_empty(), eq(true));
}

/// What became of a backlog, a request each millisecond step at a time.
#[derive(Debug, Default)]
struct Drained {
    on_time: u32,
    late: u32,
    lost: u32,
}

/// Replay: 110 requests have waited for a group that works again; it takes 15 in each 100 ms while 6 more
/// arrive. `first` says whether those that arrived first go first, whatever they are worth.
fn drained(first: bool) -> Drained {
    let mut queue = WaitQueue::default();
    let mut found = Drained::default();
    let mut ticket = 0;
    let mut push = |queue: &mut WaitQueue<u64>, arrived: u64| {
        ticket += 1;
        let fresh_until = if first {
            at(u64::MAX / 2)
        } else {
            at(arrived + FRESH)
        };
        let turn = Turn {
            fresh_until,
            ..turn(1, arrived, ticket)
        };
        queue.push(turn, arrived);
    };
    for waiting in 0..110 {
        push(&mut queue, 300 + waiting * 10);
    }
    for now in (1_400..3_400).step_by(100) {
        for _ in 0..6 {
            push(&mut queue, now);
        }
        let mut room = 15;
        for ticket in queue.order(at(now)) {
            let Some(arrived) = queue.get(ticket).copied() else {
                continue;
            };
            if now > arrived + WAITS {
                found.lost += 1;
            } else if room > 0 {
                room -= 1;
                match now > arrived + FRESH {
                    true => found.late += 1,
                    false => found.on_time += 1,
                }
            } else {
                continue;
            }
            queue.remove(ticket);
        }
    }
    found
}

#[gtest]
fn a_backlog_after_an_outage_makes_those_who_come_later_late_where_the_first_go_first() {
    let first = drained(true);
    let fresh = drained(false);

    println!("first come first served {first:?}, fresh ones first {fresh:?}");
    expect_that!([first.lost, fresh.lost], eq([0, 0]));
    expect_that!(fresh.on_time, ge(120));
    expect_that!(first.on_time, lt(120));
}
