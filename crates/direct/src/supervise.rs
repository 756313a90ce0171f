//! Supervision of a process's essential tasks: a task that panics is restarted while the others
//! keep running.

use std::time::Duration;

use jj_utils::{events, log_event};
use tokio::task::spawn_local;

/// Delay before a panicked task is restarted.
const RESTART_DELAY: Duration = Duration::from_millis(100);

/// Spawns a task from `make_task`, and again after each panic, until it returns.
pub fn spawn<F>(name: &'static str, make_task: impl Fn() -> F + 'static)
where
    F: Future<Output = ()> + 'static,
{
    spawn_local(async move {
        while let Err(error) = spawn_local(make_task()).await {
            metrics::counter!("jujube_task_failures_total", "task" => name).increment(1);
            log_event!(
                events::TASK_FAILED,
                task = name; "task {name} panicked and is restarted: {error}"
            );
            tokio::time::sleep(RESTART_DELAY).await;
        }
    });
}
