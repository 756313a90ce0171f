//! Starts the logger and the traffic threads of a process.

use jj_utils::logging;

use crate::settings::NodeSettings;

/// Runs `work` on the traffic threads to completion.
///
/// # Errors
/// If the logger or the threads can't be started, or the error of `work`.
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
