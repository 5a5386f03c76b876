//! Tasks that a process needs for as long as it runs. One that panics is started again, so that a fault in it does not take away
//! what it does until the process ends.

use std::time::Duration;

/// Time before a task is started again.
const RESTART_INTERVAL: Duration = Duration::from_millis(250);

/// Runs the task that `start` makes, on the current thread, and again whenever it panics, until it ends.
pub async fn supervise<F, Fut>(name: &str, mut start: F)
where
    F: FnMut() -> Fut,
    Fut: Future<Output = ()> + 'static,
{
    while let Err(e) = tokio::task::spawn_local(start()).await {
        if !e.is_panic() {
            return;
        }
        log::error!("event=task_restarted task={name}");
        tokio::time::sleep(RESTART_INTERVAL).await;
    }
}
