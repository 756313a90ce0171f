//! Fair queue of an agent: limits, shares of client accounts, and isolation from a large account.

use std::{collections::VecDeque, time::Duration};

use googletest::prelude::*;
use jj_policy::fairness::{AdmissionRequest, FairQueue, FairnessConfig, PushOutcome};
use proptest::{prelude::any, test_runner::TestRunner};

fn request(ticket: u64, account: &str, weight: u32) -> AdmissionRequest {
    AdmissionRequest {
        ticket,
        account: account.into(),
        weight,
        deadline: Duration::from_secs(60),
        cost: 1,
        tokens: 0,
    }
}

fn queue(queue_limit: u32, account_limit: u32) -> FairQueue {
    FairQueue::new(FairnessConfig {
        queue_limit,
        account_limit,
    })
}

fn drain(queue: &mut FairQueue) -> Vec<AdmissionRequest> {
    std::iter::from_fn(|| queue.pop()).collect()
}

#[gtest]
fn small_account_is_not_delayed_by_a_large_backlog() {
    let mut fair = queue(100, 100);
    let mut fifo = VecDeque::new();
    let large = (0..50).map(|n| request(n, "large", 1));
    let small = (50..55).map(|n| request(n, "small", 1));
    for request in large.chain(small) {
        fifo.push_back(request.clone());
        fair.push(request);
    }

    let last_small =
        |order: &[AdmissionRequest]| order.iter().rposition(|it| it.account == "small");
    let fair_last = last_small(&drain(&mut fair));
    let fifo_last = last_small(fifo.make_contiguous());

    println!("position of the last small request: FIFO {fifo_last:?}, fair {fair_last:?}");
    expect_that!(fifo_last, some(eq(54)));
    expect_that!(fair_last, some(le(10)));
}

#[gtest]
fn dequeued_shares_match_the_weights() {
    let mut queue = queue(400, 200);
    for n in 0..100 {
        queue.push(request(n, "one", 1));
        queue.push(request(100 + n, "three", 3));
    }

    let first: Vec<AdmissionRequest> = drain(&mut queue).into_iter().take(80).collect();
    let three = first.iter().filter(|it| it.account == "three").count();

    expect_that!(three, all!(ge(58), le(62)));
}

#[gtest]
fn full_queue_displaces_the_newest_request_of_the_largest_backlog() {
    let mut queue = queue(4, 4);
    for n in 0..4 {
        queue.push(request(n, "large", 1));
    }

    let small = queue.push(request(4, "small", 1));
    let more = queue.push(request(5, "large", 1));
    let other = queue.push(request(6, "other", 1));

    expect_that!(small, eq(&PushOutcome::Displaced(request(3, "large", 1))));
    expect_that!(more, eq(&PushOutcome::QueueFull));
    expect_that!(other, eq(&PushOutcome::Displaced(request(2, "large", 1))));
}

#[gtest]
fn account_limit_applies_per_account() {
    let mut queue = queue(10, 2);
    queue.push(request(0, "a", 1));
    queue.push(request(1, "a", 1));

    expect_that!(
        queue.push(request(2, "a", 1)),
        eq(&PushOutcome::AccountFull)
    );
    expect_that!(queue.push(request(3, "b", 1)), eq(&PushOutcome::Queued));
}

/// For any sequence of pushes and pops, the limits hold and no request is lost or duplicated.
#[gtest]
fn any_sequence_keeps_the_bounds_and_loses_no_request() {
    let operations = proptest::collection::vec((0_u8..5, 1_u32..4, any::<bool>()), 1..200);
    let mut runner = TestRunner::deterministic();

    let result = runner.run(&operations, |operations| {
        let mut queue = queue(16, 6);
        let (mut inside, mut ticket) = (0_u32, 0);
        for (account, weight, push) in operations {
            if !push {
                inside -= u32::from(queue.pop().is_some());
                continue;
            }
            ticket += 1;
            let pushed = queue.push(request(ticket, &format!("a{account}"), weight));
            inside += u32::from(pushed == PushOutcome::Queued);
            assert!(queue.len() <= 16 && queue.account_len(&format!("a{account}")) <= 6);
        }
        assert_eq!(queue.len(), inside);
        assert_eq!(drain(&mut queue).len() as u32, inside);
        assert!(queue.is_empty());
        Ok(())
    });

    expect_that!(result, ok(anything()));
}

/// While all accounts have a backlog and equal weights, their served counts differ by at most one.
#[gtest]
fn backlogged_accounts_of_equal_weight_alternate() {
    let mut runner = TestRunner::deterministic();
    let sizes = proptest::collection::vec(10_usize..30, 2..6);

    let result = runner.run(&sizes, |sizes| {
        let mut queue = queue(200, 200);
        for (account, size) in sizes.iter().enumerate() {
            for n in 0..*size {
                queue.push(request(n as u64, &account.to_string(), 2));
            }
        }
        let mut served = vec![0_usize; sizes.len()];
        for _ in 0..10 * sizes.len() {
            let next = queue.pop().expect("backlogged");
            served[next.account.parse::<usize>().expect("a number")] += 1;
            let spread = served.iter().max().unwrap() - served.iter().min().unwrap();
            assert!(spread <= 1, "{served:?}");
        }
        Ok(())
    });

    expect_that!(result, ok(anything()));
}
