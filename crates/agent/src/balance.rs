//! The `balance` command: keeps the expert map of a model engine's group balanced, on machines that
//! the operator has prepared.

use std::process::ExitCode;

use jj_adapter::settings;
use jj_rank::run::{self, Options};
use jj_utils::{
    events, log_event,
    settings::{SettingsReader, process_env},
};
use log::LevelFilter;

use crate::{EXIT_USAGE, settings::Balance};

/// Runs the agent until it stops; invalid settings return exit code 2.
pub fn run(flags: Balance) -> ExitCode {
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

fn read(flags: Balance) -> anyhow::Result<Options> {
    let mut reader = SettingsReader::new(&process_env);
    let level = reader.optional("log-level", flags.log_level, LevelFilter::Info);
    let metrics = reader.list("metrics-addr", flags.metrics_addr);
    reader.finish()?;
    let path = settings::path(flags.settings)?;
    Ok(Options {
        path,
        level,
        metrics,
    })
}
