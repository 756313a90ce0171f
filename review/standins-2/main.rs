//! Stand-ins and scripts of the second review. Each script starts the project's own programs, plays
//! clients, servers and the platform, and checks one rule.
//!
//! `standins CASE ROOT FOLDER TEMPORARY` runs a case: 0 if the rule held, 1 if it was broken, 2 if
//! the case could not run. `TROUBLE=0` leaves out the disruption.

mod deployment;
mod group;
mod http;
mod json;
mod load;
mod planned_stop;
mod record;
mod repeated_event;
mod server_ends;
mod store;
mod stream_server;
mod streams;
mod two_groups;

use std::path::PathBuf;

use deployment::Deployment;
use record::Record;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    if let [_, command, addr, id] = args.as_slice()
        && command == "serve-streams"
        && let Ok(addr) = addr.parse()
    {
        server_ends::serve(addr, id);
    }
    let [_, case, root, folder, temporary] = args.as_slice() else {
        deployment::cannot_run("usage: standins CASE ROOT FOLDER TEMPORARY");
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |it| it != "0");
    let record = Record::create(&PathBuf::from(folder).join("record.txt"));
    record.line(&format!(
        "case {case}, {}",
        if has_trouble {
            "TROUBLE=1"
        } else {
            "TROUBLE=0"
        }
    ));
    let deployment = Deployment::start(root.into(), temporary.into(), record.clone());
    let is_broken = match case.as_str() {
        "repeated-event" => repeated_event::run(deployment, has_trouble),
        "planned-stop" => planned_stop::run(deployment, has_trouble),
        "two-groups" => two_groups::run(deployment, has_trouble),
        "server-crashes" => server_ends::run(deployment, server_ends::CRASHES, has_trouble),
        "server-taken-away" => server_ends::run(deployment, server_ends::TAKEN_AWAY, has_trouble),
        _ => deployment::cannot_run("no such case"),
    };
    record.announce(if is_broken {
        "the rule was broken"
    } else {
        "the rule held"
    });
    std::process::exit(i32::from(is_broken));
}
