//! An entry gets SIGTERM while it relays streams whose server is sound and silent for a while, for less
//! time than clients wait. The entry ends the streams before the server goes on.

use std::{
    io,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use crate::{
    deployment::{Config, DESK, Deployment, Handler, Received, Request, Server, Step, config},
    http::{Connection, send_once, wait_until},
};

const STREAMS: usize = 4;

/// Events before and after the server's silence, and the time between two of them.
const EVENTS: u64 = 10;
const EVENT_GAP: Duration = Duration::from_millis(50);

/// Silence of the server in the middle of a stream.
const SILENCE: Duration = Duration::from_millis(1_850);

/// Time without an event after which a client leaves: the longest of two seconds, four times the
/// objective (400 ms) and eight times the pause (120 ms) of the route.
const PATIENCE: Duration = Duration::from_millis(2_000);

/// Time from the requests to SIGTERM.
const STOP_AFTER: Duration = Duration::from_millis(300);

/// `graceS` of the settings and a second more, in which the rule counts.
const COUNTED_TIME: Duration = Duration::from_millis(9_000);

/// Returns events as chunks.
fn events(ids: std::ops::RangeInclusive<u64>) -> impl Iterator<Item = Step> {
    ids.flat_map(|id| {
        let text = format!("id: {id}\ndata: piece {id}\n\n");
        let chunk = format!("{:x}\r\n{text}\r\n", text.len());
        [Step::Send(chunk.into_bytes()), Step::Pause(EVENT_GAP)]
    })
}

fn stream(received: &Received, silence: Duration) -> Vec<Step> {
    let more = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
    let mut steps = vec![Step::Send(received.head("200 OK", more).into_bytes())];
    steps.extend(events(1..=EVENTS));
    steps.push(Step::Pause(silence));
    steps.extend(events(EVENTS + 1..=2 * EVENTS));
    steps.push(Step::Send(b"0\r\n\r\n".to_vec()));
    steps
}

pub fn play(deployment: &mut Deployment, is_troubled: bool) -> io::Result<bool> {
    deployment
        .store
        .put("op/config", &config(&Config::default()));
    let record = deployment.record.clone();
    let silence = if is_troubled { SILENCE } else { EVENT_GAP };
    let handler: Handler = Arc::new(move |received| {
        record.note(&format!("server runs {}", received.id()));
        match received.head.word(1).starts_with("/draft/") {
            true => stream(received, silence),
            false => received.response("200 OK", "", "lodged"),
        }
    });
    let server = Server::start(deployment.allocate_ip(), DESK, "i-1", handler)?;
    deployment.store.put(&server.key(), &server.ready_entry(1));
    deployment.start_entries(1)?;
    let entry = &deployment.entries[0];
    let is_used = || {
        let request = Request::new("GET", "/read/2f", 4_000, "", "");
        send_once(entry.front, &request.bytes, PATIENCE).is_ok_and(|it| it.status == 200)
    };
    if !wait_until(Duration::from_secs(10), is_used) {
        return Err(io::Error::other("the server is not used"));
    }

    let clients: Vec<_> = (0..STREAMS)
        .map(|_| {
            let (front, record) = (entry.front, deployment.record.clone());
            thread::spawn(move || {
                let request = Request::new("POST", "/draft/2f", 8_000, "", "prompt");
                let sent = Instant::now();
                let answer =
                    Connection::open(front).and_then(|mut it| it.send(&request.bytes, PATIENCE));
                let answer = answer.map(|it| it.status);
                let text = match &answer {
                    Ok(status) => format!("a complete answer with status {status}"),
                    Err(error) => format!("no complete answer: {error}"),
                };
                record.note(&format!(
                    "client {} gets {text} after {:?}",
                    request.id,
                    sent.elapsed()
                ));
                (answer.is_ok(), Instant::now())
            })
        })
        .collect();
    thread::sleep(STOP_AFTER);
    let stopped = Instant::now();
    entry.signal("-TERM")?;
    deployment.record.note("the entry gets SIGTERM");
    let ended: Vec<(bool, Instant)> = clients
        .into_iter()
        .filter_map(|it| it.join().ok())
        .collect();
    let cut = ended.iter().filter(|(is_complete, _)| !is_complete).count();
    let is_counted = |at: Instant| at <= stopped + COUNTED_TIME;
    let counted = ended
        .iter()
        .filter(|(is_complete, at)| !is_complete && is_counted(*at))
        .count();
    deployment.record.note(&format!(
        "{cut} of {STREAMS} streams ended without a complete answer, {counted} of them around planned work"
    ));
    Ok(counted == 0)
}
