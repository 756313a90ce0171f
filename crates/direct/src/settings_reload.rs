//! Reads a settings file again when it has changed, with or without a signal.

use std::{
    path::{Path, PathBuf},
    rc::Rc,
    time::{Duration, SystemTime},
};

use jj_utils::{events, log_event};
use tokio::signal::unix::{SignalKind, signal};

use crate::instance_settings::InstanceSettings;

/// Time between two looks at the file, which may change without a signal.
const LOOK: Duration = Duration::from_secs(1);

/// Reads a settings file.
pub type ReadSettings = fn(&Path) -> anyhow::Result<InstanceSettings>;

/// Hands new settings over for as long as the process runs. Settings that can't be read are logged,
/// and the last ones stay in force.
pub async fn watch(path: PathBuf, read: ReadSettings, mut take: impl FnMut(Rc<InstanceSettings>)) {
    let mut hangup = match signal(SignalKind::hangup()) {
        Ok(hangup) => hangup,
        Err(error) => {
            log_event!(events::PROCESS_FAILED, "SIGHUP can't be handled: {error}");
            return;
        }
    };
    let mut known = modified(&path);
    loop {
        let signalled = tokio::select! {
            _ = hangup.recv() => true,
            () = tokio::time::sleep(LOOK) => false,
        };
        let newest = modified(&path);
        if !signalled && newest == known {
            continue;
        }
        known = newest;
        match read(&path) {
            Ok(settings) => {
                log_event!(
                    events::SETTINGS_RELOADED,
                    signal = signalled, seeds = settings.seeds.len(); "settings are in force"
                );
                take(Rc::new(settings));
            }
            Err(error) => log_event!(events::CONFIG_REFUSED, "settings are not used: {error:#}"),
        }
    }
}

/// When the file was changed; none where it can't be seen, which counts as a change as well.
fn modified(path: &Path) -> Option<SystemTime> {
    std::fs::metadata(path).and_then(|it| it.modified()).ok()
}
