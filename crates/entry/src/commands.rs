//! The operator commands: check, collect and status.

use std::{fmt::Display, net::SocketAddr, process::ExitCode, time::Duration};

use anyhow::Context;
use jj_operator::{
    check::{ExitStatus, check_directory},
    collect::{Collected, write_directory},
    finding::Finding,
    status_text::status_text,
};

use crate::cli::{Check, Collect, Status};

/// Timeout of a status request to a process.
const STATUS_TIMEOUT: Duration = Duration::from_secs(5);

/// Checks the configuration files below a directory and prints the findings.
pub fn check(flags: &Check) -> ExitCode {
    let outcome = match check_directory(&flags.dir) {
        Ok(outcome) => outcome,
        Err(error) => return failed(error),
    };
    let findings = outcome.as_ref().err();
    if flags.json {
        let list: &[Finding] = findings.map_or(&[], Vec::as_slice);
        return match print_json(&list) {
            Ok(()) => exit(status_of(findings)),
            Err(error) => failed(error),
        };
    }
    match &outcome {
        Ok(collected) => println!("{}", summary(collected)),
        Err(findings) => print_findings(findings),
    }
    exit(status_of(findings))
}

/// Merges the configuration files below a directory into the published form.
pub fn collect(flags: &Collect) -> ExitCode {
    let collected = match check_directory(&flags.dir) {
        Ok(Ok(collected)) => collected,
        Ok(Err(findings)) => {
            print_findings(&findings);
            return exit(ExitStatus::Findings);
        }
        Err(error) => return failed(error),
    };
    let written = match &flags.out {
        Some(out) => write_directory(&collected, out).with_context(|| out.display().to_string()),
        None => print_json(&collected.bundle),
    };
    match written {
        Ok(()) => {
            eprintln!("{}", summary(&collected));
            exit(ExitStatus::Sound)
        }
        Err(error) => failed(format!("{error:#}")),
    }
}

/// Prints the status reported by one process.
pub fn status(flags: &Status) -> ExitCode {
    let value = match fetch_status(flags.addr) {
        Ok(value) => value,
        Err(error) => return failed(format!("{error:#}")),
    };
    if !flags.json {
        print!("{}", status_text(&value));
        return exit(ExitStatus::Sound);
    }
    match print_json(&value) {
        Ok(()) => exit(ExitStatus::Sound),
        Err(error) => failed(error),
    }
}

fn fetch_status(addr: SocketAddr) -> anyhow::Result<serde_json::Value> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(async {
        let client = reqwest::Client::builder()
            .timeout(STATUS_TIMEOUT)
            .no_proxy()
            .build()?;
        let response = client.get(format!("http://{addr}/status")).send().await?;
        Ok(response.error_for_status()?.json().await?)
    })
}

fn print_json<T: serde::Serialize>(value: &T) -> anyhow::Result<()> {
    println!("{}", serde_json::to_string_pretty(value)?);
    Ok(())
}

fn print_findings(findings: &[Finding]) {
    for finding in findings {
        eprintln!("{finding}");
    }
    eprintln!("{} findings", findings.len());
}

fn summary(collected: &Collected) -> String {
    let Collected {
        digest,
        services,
        accounts,
        ..
    } = collected;
    format!("sound: {services} services, {accounts} client accounts, publication {digest}")
}

fn status_of(findings: Option<&Vec<Finding>>) -> ExitStatus {
    match findings {
        None => ExitStatus::Sound,
        Some(_) => ExitStatus::Findings,
    }
}

fn failed(error: impl Display) -> ExitCode {
    eprintln!("{error}");
    exit(ExitStatus::Failed)
}

fn exit(status: ExitStatus) -> ExitCode {
    ExitCode::from(status as u8)
}
