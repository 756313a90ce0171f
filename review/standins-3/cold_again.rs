//! A server that is cold becomes cold again. Entries that learn of the store from another entry miss it
//! and send the server more than it bears.

use std::{
    collections::HashMap,
    io,
    sync::{Arc, Mutex, OnceLock},
    thread,
    time::{Duration, Instant},
};

use crate::{
    deployment::{Config, DESK, Deployment, Handler, Request, Server, config},
    http::Connection,
};

const ENTRIES: usize = 3;

/// Clients of each entry, and the pause of each between two requests.
const CLIENTS: usize = 12;
const PAUSE: Duration = Duration::from_millis(70);

/// `coldStartS` of the service.
const COLD_TIME: Duration = Duration::from_millis(3_000);

/// Time from the start of the server to the moment at which it becomes cold again.
const COLD_AGAIN_AFTER: Duration = Duration::from_millis(2_500);

const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// `coldPerS` x `coldOverage` + `coldSlack`.
const MOST_PER_SECOND: usize = 59;

/// Arrivals in a second with which the cold server crashes: twice the bound, well above `coldPerS`.
const CRASH_PER_SECOND: usize = 2 * MOST_PER_SECOND;

const WORK: Duration = Duration::from_millis(8);

const SECOND: Duration = Duration::from_secs(1);

/// When requests were sent, by id.
type Sent = Arc<Mutex<HashMap<String, Instant>>>;

/// Arrivals at the cold server: when, and their ids.
type Arrivals = Arc<Mutex<Vec<(Instant, String)>>>;

/// Returns the most requests that were sent and arrived inside one second of a time.
fn most_per_second(
    arrivals: &[(Instant, String)],
    sent: &HashMap<String, Instant>,
    from: Instant,
    to: Instant,
) -> usize {
    let times = arrivals
        .iter()
        .filter_map(|(at, id)| Some((*sent.get(id)?, *at)));
    let times: Vec<(Instant, Instant)> = times
        .filter(|(sent, at)| *sent >= from && *at <= to)
        .collect();
    let count = |start: Instant| {
        let inside = times
            .iter()
            .filter(|(sent, at)| *sent >= start && *at <= start + SECOND);
        inside.count()
    };
    times
        .iter()
        .map(|(sent, _)| count(*sent))
        .max()
        .unwrap_or_default()
}

fn client(
    front: std::net::SocketAddr,
    sent: Sent,
    end: Instant,
    record: crate::deployment::Record,
) {
    let mut connection = Connection::open(front).ok();
    while Instant::now() < end {
        let request = Request::new("POST", "/lodge/2f", 4_000, "", "presentation");
        sent.lock()
            .unwrap()
            .insert(request.id.clone(), Instant::now());
        let answer = match &mut connection {
            Some(it) => it.send(&request.bytes, Duration::from_secs(5)),
            None => Err(io::ErrorKind::NotConnected.into()),
        };
        let status = answer.map(|it| it.status);
        if !matches!(status, Ok(200)) {
            record.note(&format!("client gets {status:?} for {}", request.id));
        }
        if status.is_err() {
            connection = Connection::open(front).ok();
        }
        thread::sleep(PAUSE);
    }
}

pub fn play(deployment: &mut Deployment, is_troubled: bool) -> io::Result<bool> {
    deployment
        .store
        .put("op/config", &config(&Config::default()));
    let warm: Handler = Arc::new(|received| {
        thread::sleep(WORK);
        received.response("200 OK", "", "lodged")
    });
    let server = Server::start(deployment.allocate_ip(), DESK, "i-warm", warm)?;
    deployment
        .store
        .put("servers/i-warm", &server.ready_entry(1));
    deployment.start_entries(ENTRIES)?;
    let (sent, arrivals) = (Sent::default(), Arrivals::default());
    let end = Instant::now() + Duration::from_secs(12);
    let mut clients = Vec::new();
    for entry in &deployment.entries {
        for _ in 0..CLIENTS {
            let (front, sent, record) = (entry.front, Arc::clone(&sent), deployment.record.clone());
            clients.push(thread::spawn(move || client(front, sent, end, record)));
        }
    }
    thread::sleep(2 * SECOND);

    // The server starts during traffic, and is cold.
    let cold_until = Arc::new(Mutex::new(Instant::now() + COLD_TIME));
    let this = Arc::new(OnceLock::<Server>::new());
    let handler = cold_handler(deployment, &arrivals, &cold_until, &this);
    let cold = Server::start(deployment.allocate_ip(), DESK, "i-cold", handler)?;
    let _ = this.set(cold.clone());
    let started = Instant::now();
    *cold_until.lock().unwrap() = started + COLD_TIME;
    let mut is_cold_again = false;
    let mut next_heartbeat = started;
    let mut sequence = 0;
    while Instant::now() < end && !cold.has_ended() {
        let now = Instant::now();
        let mut is_due = now >= next_heartbeat;
        if is_troubled && !is_cold_again && now >= started + COLD_AGAIN_AFTER {
            is_cold_again = true;
            is_due = true;
            *cold_until.lock().unwrap() = now + COLD_TIME;
            deployment.record.note("server i-cold becomes cold again");
        }
        if is_due {
            sequence += 1;
            next_heartbeat = now + HEARTBEAT;
            let left = cold_until
                .lock()
                .unwrap()
                .saturating_duration_since(now)
                .as_millis();
            let more = format!("\"state\":\"ready\",\"slots\":6,\"coldRemainingMs\":{left}");
            deployment
                .store
                .put("servers/i-cold", &cold.entry(sequence, &more));
            deployment
                .record
                .note(&format!("server i-cold writes coldRemainingMs {left}"));
        }
        thread::sleep(Duration::from_millis(5));
    }
    for it in clients {
        let _ = it.join();
    }

    let (arrivals, sent) = (arrivals.lock().unwrap(), sent.lock().unwrap());
    let until = *cold_until.lock().unwrap();
    for second in 0..(until - started).as_secs() {
        let (from, to) = (
            started + SECOND * second as u32,
            started + SECOND * (second as u32 + 1),
        );
        let count = arrivals
            .iter()
            .filter(|(at, _)| *at >= from && *at < to)
            .count();
        deployment
            .record
            .note(&format!("second {second} of i-cold: {count} arrivals"));
    }
    let most = most_per_second(&arrivals, &sent, started, until);
    deployment.record.note(&format!(
        "while i-cold was cold it got {most} requests in some second, {MOST_PER_SECOND} are allowed; store calls: {}",
        deployment.store.calls()
    ));
    Ok(most <= MOST_PER_SECOND)
}

/// Returns what the cold server does: it works, and crashes at a rate well above what it bears.
fn cold_handler(
    deployment: &Deployment,
    arrivals: &Arrivals,
    cold_until: &Arc<Mutex<Instant>>,
    this: &Arc<OnceLock<Server>>,
) -> Handler {
    let record = deployment.record.clone();
    let (arrivals, cold_until, this) = (
        Arc::clone(arrivals),
        Arc::clone(cold_until),
        Arc::clone(this),
    );
    Arc::new(move |received| {
        let count = {
            let mut arrivals = arrivals.lock().unwrap();
            arrivals.push((received.at, received.id().to_owned()));
            let last = arrivals.iter().rev();
            last.take_while(|(at, _)| received.at.saturating_duration_since(*at) < SECOND)
                .count()
        };
        let is_cold = received.at < *cold_until.lock().unwrap();
        if is_cold
            && count > CRASH_PER_SECOND
            && let Some(server) = this.get()
            && !server.has_ended()
        {
            record.note(&format!(
                "server i-cold crashes: {count} requests in a second"
            ));
            server.end();
        }
        thread::sleep(WORK);
        received.response("200 OK", "", "lodged")
    })
}
