//! Tasks that panic are started again while the others go on.

use std::{cell::Cell, rc::Rc, time::Duration};

use googletest::prelude::*;
use jj_direct::supervise;
use tokio::{sync::Notify, task::LocalSet, time::timeout};

/// Longest wait for a task that was started again and again.
const LIMIT: Duration = Duration::from_secs(30);

/// Runs a task that panics so many times and then ends; how often it was started.
async fn started(panics: u32) -> u32 {
    let count = Rc::new(Cell::new(0));
    let ended = Rc::new(Notify::new());
    let (counted, end) = (Rc::clone(&count), Rc::clone(&ended));
    let run = async move {
        supervise::spawn("test", move || {
            let (count, end) = (Rc::clone(&counted), Rc::clone(&end));
            async move {
                count.set(count.get() + 1);
                assert!(count.get() > panics, "an unexpected error");
                end.notify_one();
            }
        });
        timeout(LIMIT, ended.notified()).await
    };
    LocalSet::new().run_until(run).await.unwrap();
    count.get()
}

#[gtest]
#[tokio::test]
async fn panicked_task_is_restarted_until_it_completes() {
    expect_that!(started(0).await, eq(1));
    expect_that!(started(3).await, eq(4));
}
