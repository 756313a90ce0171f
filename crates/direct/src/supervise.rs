//! Tasks without which a process is of no use: one that panics is started again, and the others go on.

use std::time::Duration;

use jj_utils::{events, log_event};
use tokio::task::spawn_local;

/// Pause before a task is started again.
const RESTART_PAUSE: Duration = Duration::from_millis(100);

/// Runs a task up to its end, anew whenever it panics.
pub fn spawn<F>(name: &'static str, make: impl Fn() -> F + 'static)
where
    F: Future<Output = ()> + 'static,
{
    spawn_local(async move {
        while let Err(error) = spawn_local(make()).await {
            metrics::counter!("jujube_task_failures_total", "task" => name).increment(1);
            log_event!(events::TASK_FAILED, task = name; "a task is started again: {error}");
            tokio::time::sleep(RESTART_PAUSE).await;
        }
    });
}
