//! The platform's store moves to another address. The entries are told by their settings and SIGHUP, but
//! go on asking the old address, and never learn of a later configuration.

use std::{
    io,
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use crate::{
    deployment::{Config, DESK, Deployment, Handler, OTHER_DESK, Record, Request, Server, config},
    http::{send_once, wait_until},
};

const ENTRIES: usize = 2;

/// `stableWindowMs` of the settings and a second more, in which nothing happens.
const CALM_TIME: Duration = Duration::from_millis(4_000);

/// `configMs` of the settings, and a second more.
const IN_FORCE_AFTER: Duration = Duration::from_millis(3_000);

/// Requests after that.
const REQUESTS: usize = 20;

/// Ids of the requests that a service ran.
type Runs = Arc<Mutex<Vec<String>>>;

fn handler(record: &Record, service: &'static str, runs: &Runs) -> Handler {
    let (record, runs) = (record.clone(), Arc::clone(runs));
    Arc::new(move |received| {
        record.note(&format!("service {service} runs {}", received.id()));
        runs.lock().unwrap().push(received.id().to_owned());
        received.response("200 OK", "", "lodged")
    })
}

/// Sends a request to each entry in turn; returns the ids.
fn lodge(deployment: &Deployment, count: usize) -> Vec<String> {
    let entries = deployment.entries.iter().cycle().take(count);
    let send = |entry: &crate::deployment::Entry| {
        let request = Request::new("POST", "/lodge/2f", 4_000, "", "presentation");
        let answer = send_once(entry.front, &request.bytes, Duration::from_secs(5));
        let status = answer.map(|it| it.status);
        let text = format!("entry {} answers {} with {status:?}", entry.ip, request.id);
        deployment.record.note(&text);
        request.id
    };
    entries.map(send).collect()
}

pub fn play(deployment: &mut Deployment, is_troubled: bool) -> io::Result<bool> {
    let old = Config::default();
    deployment.store.put("op/config", &config(&old));
    let (old_runs, new_runs) = (Runs::default(), Runs::default());
    for (service, id, runs) in [(DESK, "i-old", &old_runs), (OTHER_DESK, "i-new", &new_runs)] {
        let handler = handler(&deployment.record, service, runs);
        let server = Server::start(deployment.allocate_ip(), service, id, handler)?;
        deployment.store.put(&server.key(), &server.ready_entry(1));
    }
    deployment.start_entries(ENTRIES)?;
    let is_used = || {
        lodge(deployment, ENTRIES);
        old_runs.lock().unwrap().len() >= ENTRIES
    };
    if !wait_until(Duration::from_secs(10), is_used) {
        return Err(io::Error::other("the server is not used"));
    }

    let ip = deployment.allocate_ip();
    if is_troubled {
        let address = deployment.store.listen(ip)?;
        let before = std::mem::replace(&mut deployment.store_address, address);
        before.close();
        let (from, to) = (before.addr, deployment.store_address.addr);
        deployment
            .record
            .note(&format!("the store moves from {from} to {to}"));
    }
    deployment.reload_settings()?;
    thread::sleep(CALM_TIME);
    let new = Config {
        version: 5,
        lodge_service: OTHER_DESK,
        ..old
    };
    deployment.store.put("op/config", &config(&new));
    deployment.record.note(&format!(
        "store acknowledges version 5: /lodge/ goes to {OTHER_DESK}"
    ));
    thread::sleep(IN_FORCE_AFTER);
    let sent = lodge(deployment, REQUESTS);

    for entry in &deployment.entries {
        for line in deployment.log_lines(entry.ip, "\"JJ-1006\"") {
            deployment
                .record
                .note(&format!("entry {} has logged {line}", entry.ip));
        }
    }
    let old_runs = old_runs.lock().unwrap();
    let stale = sent.iter().filter(|it| old_runs.contains(it)).count();
    deployment.record.note(&format!(
        "{stale} of {REQUESTS} requests were run by the old service more than 2000 ms after the \
         acknowledgement; store calls: {}",
        deployment.store.calls()
    ));
    Ok(stale == 0)
}
