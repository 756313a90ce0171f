//! The `front` command: an entry that sends requests to backend servers itself.

use std::process::ExitCode;

use jj_adapter::settings;
use jj_front::run::{self, Options};
use jj_utils::{
    events, log_event,
    settings::{SettingsReader, process_env},
};
use log::LevelFilter;

use crate::{EXIT_USAGE, cli::Front};

/// Runs the entry; invalid settings end with exit code 2.
pub fn run(flags: Front) -> ExitCode {
    let options = match read(flags) {
        Ok(options) => options,
        Err(error) => {
            eprintln!("{error:#}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    match run::run(&options) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log_event!(events::PROCESS_FAILED, "{error:#}");
            ExitCode::FAILURE
        }
    }
}

fn read(flags: Front) -> anyhow::Result<Options> {
    let mut reader = SettingsReader::new(&process_env);
    let level = reader.optional("log-level", flags.log_level, LevelFilter::Info);
    let metrics = reader.list("metrics-addr", flags.metrics_addr);
    reader.finish()?;
    let path = settings::path(flags.settings)?;
    Ok(Options {
        settings_path: path,
        log_level: level,
        metrics_addrs: metrics,
    })
}
