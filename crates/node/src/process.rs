//! Starts what every process needs before its own work: logger and traffic threads.

use jj_utils::logging;

use crate::settings::NodeSettings;

/// Runs `work` on traffic threads until it ends.
///
/// # Errors
/// When the logger or the threads can't be started, or what `work` ends with.
pub fn run(
    settings: &NodeSettings,
    work: impl Future<Output = anyhow::Result<()>>,
) -> anyhow::Result<()> {
    logging::install(settings.log_format, settings.log_level)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(settings.threads)
        .thread_name("traffic")
        .enable_all()
        .build()?;
    runtime.block_on(work)
}
