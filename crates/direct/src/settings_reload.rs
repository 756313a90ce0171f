//! Reloads the settings file after SIGHUP and when its modification time changes.

use std::{
    path::{Path, PathBuf},
    rc::Rc,
    time::{Duration, SystemTime},
};

use jj_utils::{events, log_event};
use tokio::signal::unix::{SignalKind, signal};

use crate::instance_settings::InstanceSettings;

/// Time between two checks of the file's modification time, since it may change without a signal.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Function that reads a settings file.
pub type ReadSettings = fn(&Path) -> anyhow::Result<InstanceSettings>;

/// Reads the settings file after each SIGHUP or change and calls `apply` with the result. If the
/// file can't be read, the error is logged and the last settings stay in force. Runs until the
/// process ends; returns only if no SIGHUP handler can be installed.
pub async fn watch(path: PathBuf, read: ReadSettings, mut apply: impl FnMut(Rc<InstanceSettings>)) {
    let mut hangup = match signal(SignalKind::hangup()) {
        Ok(hangup) => hangup,
        Err(error) => {
            log_event!(
                events::PROCESS_FAILED,
                "can't install the SIGHUP handler: {error}"
            );
            return;
        }
    };
    let mut last_modified = modification_time(&path);
    loop {
        let signalled = tokio::select! {
            _ = hangup.recv() => true,
            () = tokio::time::sleep(POLL_INTERVAL) => false,
        };
        let modified = modification_time(&path);
        if !signalled && modified == last_modified {
            continue;
        }
        last_modified = modified;
        match read(&path) {
            Ok(settings) => {
                log_event!(
                    events::SETTINGS_RELOADED,
                    signal = signalled, seeds = settings.seeds.len(); "settings reloaded"
                );
                apply(Rc::new(settings));
            }
            Err(error) => log_event!(events::CONFIG_REFUSED, "settings are not used: {error:#}"),
        }
    }
}

/// Returns the file's modification time, none if it can't be read; a switch to or from none counts
/// as a change.
fn modification_time(path: &Path) -> Option<SystemTime> {
    std::fs::metadata(path).and_then(|it| it.modified()).ok()
}
