//! A server leaves, and its entry in the store says `draining` but lacks a field. Requests that come
//! after `drainMs` reach it all the same, and are lost when it exits.

use std::{
    io,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    deployment::{Config, DESK, Deployment, Handler, Record, Request, Server, config},
    http::{send_once, wait_until},
};

/// Requests of the quiet time before the server leaves.
const WARM_UP_REQUESTS: usize = 20;

/// `drainMs` of the settings.
const DRAIN: Duration = Duration::from_millis(2_000);

/// Time from the store's acknowledgement to the next requests.
const QUIET_TIME: Duration = Duration::from_millis(3_000);

/// Requests that come together after that.
const LATE_REQUESTS: usize = 12;

/// Time that a server works on a request.
const WORK: Duration = Duration::from_millis(600);

/// Time from these requests to the exit of the server.
const EXIT_DELAY: Duration = Duration::from_millis(300);

/// Requests that reached a server: when, and their ids.
type Arrivals = Arc<Mutex<Vec<(Instant, String)>>>;

fn handler(
    record: &Record,
    id: &str,
    arrivals: &Arrivals,
    is_leaving: &Arc<AtomicBool>,
) -> Handler {
    let (record, id) = (record.clone(), id.to_owned());
    let (arrivals, is_leaving) = (Arc::clone(arrivals), Arc::clone(is_leaving));
    Arc::new(move |received| {
        record.note(&format!("server {id} runs {}", received.id()));
        arrivals
            .lock()
            .unwrap()
            .push((received.at, received.id().to_owned()));
        thread::sleep(WORK);
        let more = match is_leaving.load(Ordering::SeqCst) {
            true => "Server-Leaving: 1\r\n",
            false => "",
        };
        received.response("200 OK", more, &format!("lodged by {id}"))
    })
}

/// Sends requests at the same moment; returns the number without a success.
fn send_together(deployment: &Deployment, count: usize) -> usize {
    let clients: Vec<_> = (0..count)
        .map(|number| {
            let front = deployment.entries[number % deployment.entries.len()].front;
            let record = deployment.record.clone();
            thread::spawn(move || {
                let request = Request::new("POST", "/lodge/2f", 4_000, "", "presentation");
                record.note(&format!("client sends {}", request.id));
                let answer = send_once(front, &request.bytes, Duration::from_secs(5));
                let status = answer.map(|it| it.status);
                record.note(&format!("client gets {status:?} for {}", request.id));
                status.is_ok_and(|it| it == 200)
            })
        })
        .collect();
    let ended = clients.into_iter().map(|it| it.join().unwrap_or(false));
    ended.filter(|is_answered| !is_answered).count()
}

pub fn play(deployment: &mut Deployment, is_troubled: bool) -> io::Result<bool> {
    deployment
        .store
        .put("op/config", &config(&Config::default()));
    let is_leaving = Arc::new(AtomicBool::new(false));
    let (stays, leaves) = (Arrivals::default(), Arrivals::default());
    let mut servers = Vec::new();
    for (id, arrivals, leaving) in [
        ("i-stays", &stays, Arc::default()),
        ("i-leaves", &leaves, Arc::clone(&is_leaving)),
    ] {
        let handler = handler(&deployment.record, id, arrivals, &leaving);
        let server = Server::start(deployment.allocate_ip(), DESK, id, handler)?;
        deployment
            .store
            .put(&format!("servers/{id}"), &server.ready_entry(1));
        servers.push(server);
    }
    deployment.start_entries(2)?;
    let are_used = || {
        send_together(deployment, WARM_UP_REQUESTS);
        [&stays, &leaves]
            .iter()
            .all(|it| !it.lock().unwrap().is_empty())
    };
    if !wait_until(Duration::from_secs(10), are_used) {
        return Err(io::Error::other("not both servers are used"));
    }

    is_leaving.store(true, Ordering::SeqCst);
    let entry = match is_troubled {
        // From another writer: `slots` is missing.
        true => servers[1].entry(2, "\"state\":\"draining\",\"coldRemainingMs\":0"),
        false => servers[1].entry(
            2,
            "\"state\":\"draining\",\"slots\":6,\"coldRemainingMs\":0",
        ),
    };
    deployment.store.put("servers/i-leaves", &entry);
    let acknowledged = Instant::now();
    deployment
        .record
        .note(&format!("store acknowledges servers/i-leaves = {entry}"));
    thread::sleep(QUIET_TIME);
    let server = servers[1].clone();
    let record = deployment.record.clone();
    let exit = thread::spawn(move || {
        thread::sleep(EXIT_DELAY);
        record.note("server i-leaves exits");
        server.end();
    });
    let unanswered = send_together(deployment, LATE_REQUESTS);
    let _ = exit.join();

    let late = leaves.lock().unwrap();
    let late = late
        .iter()
        .filter(|(at, _)| *at > acknowledged + DRAIN)
        .count();
    deployment.record.note(&format!(
        "{late} of {LATE_REQUESTS} requests reached i-leaves later than {} ms after the \
         acknowledgement; {unanswered} got no success",
        DRAIN.as_millis()
    ));
    Ok(late == 0)
}
