//! The entry process and the operator command line.

#![warn(clippy::unwrap_used)]

mod addresses;
mod choose;
mod cli;
mod commands;
mod context;
mod control;
mod forward;
mod front;
mod handler;
mod keys;
mod link;
mod prefixes;
mod resume;
mod routes;
mod serve;
mod settings;
mod usage;
mod view;

use std::process::ExitCode;

use cli::{Jujubejunction, JujubejunctionCmd};
use jj_utils::{events, log_event, settings::process_env};
use settings::Settings;

/// Exit code for an invalid command line or invalid settings.
const EXIT_USAGE: u8 = 2;

fn main() -> ExitCode {
    if std::env::args().nth(1).as_deref() == Some("--version") {
        println!("jujubejunction {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    match Jujubejunction::from_env_or_exit().subcommand {
        JujubejunctionCmd::Serve(flags) => serve(flags),
        JujubejunctionCmd::Front(flags) => front::run(flags),
        JujubejunctionCmd::Check(flags) => commands::check(&flags),
        JujubejunctionCmd::Collect(flags) => commands::collect(&flags),
        JujubejunctionCmd::Status(flags) => commands::status(&flags),
    }
}

fn serve(flags: cli::Serve) -> ExitCode {
    let settings = match Settings::read(flags, &process_env) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    match serve::run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log_event!(events::PROCESS_FAILED, "{error:#}");
            ExitCode::FAILURE
        }
    }
}
