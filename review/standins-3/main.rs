//! Stand-ins and cases of the third review. `case N FOLDER` plays case N, writes `record.txt` into the
//! folder and exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run. With
//! `TROUBLE=0` the disruption is left out.

mod cold_again;
mod deployment;
mod false_freshness;
mod http;
mod late_crash;
mod leaving_entry;
mod moved_store;
mod port;
mod raised_limit;
mod silent_stream;
mod store;

use std::{
    io,
    path::{Path, PathBuf},
    process::ExitCode,
};

use deployment::{Deployment, Record};

/// Plays a case, with its disruption or without; returns whether the rule held.
type Case = fn(&mut Deployment, bool) -> io::Result<bool>;

fn case_named(name: &str) -> Option<Case> {
    Some(match name {
        "false-freshness" => false_freshness::play,
        "late-crash" => late_crash::play,
        "leaving-entry" => leaving_entry::play,
        "cold-again" => cold_again::play,
        "moved-store" => moved_store::play,
        "raised-limit" => raised_limit::play,
        "silent-stream" => silent_stream::play,
        _ => return None,
    })
}

fn play(name: &str, folder: &Path) -> io::Result<bool> {
    let case = case_named(name).ok_or_else(|| io::Error::other("no such case"))?;
    let record = Record::create(folder)?;
    let repository = folder.join("../..").canonicalize()?;
    let is_troubled = std::env::var("TROUBLE").as_deref() != Ok("0");
    record.note(match is_troubled {
        true => "with the disruption",
        false => "without the disruption",
    });
    let mut deployment = Deployment::new(&repository, record.clone())?;
    let result = case(&mut deployment, is_troubled);
    record.note(&match &result {
        Ok(true) => "the rule held".to_owned(),
        Ok(false) => "THE RULE WAS BROKEN".to_owned(),
        Err(error) => format!("the case couldn't run: {error}"),
    });
    result
}

fn main() -> ExitCode {
    let mut args = std::env::args().skip(1);
    let (Some(name), Some(folder)) = (args.next(), args.next()) else {
        eprintln!("usage: cases NAME FOLDER");
        return ExitCode::from(2);
    };
    match play(&name, &PathBuf::from(folder)) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            eprintln!("the case couldn't run: {error}");
            ExitCode::from(2)
        }
    }
}
