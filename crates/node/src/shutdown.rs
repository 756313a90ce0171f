//! Waits for the signals that terminate a process.

use tokio::signal::unix::{SignalKind, signal};

/// Returns on SIGTERM or SIGINT.
///
/// # Errors
/// If no handler can be installed.
pub async fn wait_for_signal() -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
