//! Supervised tasks are restarted after a panic.

use std::{cell::Cell, rc::Rc, time::Duration};

use googletest::prelude::*;
use jj_direct::supervise;
use tokio::{sync::Notify, task::LocalSet, time::timeout};

/// Maximum time for the restarted task to complete.
const TIMEOUT: Duration = Duration::from_secs(30);

/// Runs a task that panics `panics` times and then returns; returns how often it was started.
async fn count_starts(panics: u32) -> u32 {
    let start_count = Rc::new(Cell::new(0));
    let completed = Rc::new(Notify::new());
    let (task_count, task_completed) = (Rc::clone(&start_count), Rc::clone(&completed));
    let run = async move {
        supervise::spawn("test", move || {
            let (count, completed) = (Rc::clone(&task_count), Rc::clone(&task_completed));
            async move {
                count.set(count.get() + 1);
                assert!(count.get() > panics, "an unexpected error");
                completed.notify_one();
            }
        });
        timeout(TIMEOUT, completed.notified()).await
    };
    LocalSet::new().run_until(run).await.unwrap();
    start_count.get()
}

#[gtest]
#[tokio::test]
async fn panicked_task_is_restarted_until_it_completes() {
    expect_that!(count_starts(0).await, eq(1));
    expect_that!(count_starts(3).await, eq(4));
}
