//! A request crashes each server that runs it, right after its first event. It comes again and again, and
//! entries send it on each time.

use std::{
    io,
    sync::{
        Arc, Mutex, OnceLock,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    deployment::{
        Config, DESK, Deployment, Handler, Received, Record, Request, Server, Step, config,
    },
    http::{send_once, wait_until},
    store::Store,
};

const ENTRIES: usize = 2;
const SERVERS: usize = 4;

/// Time for which the request that crashes servers comes, and the time between two of them.
const PLAY_TIME: Duration = Duration::from_secs(40);
const CRASHING_INTERVAL: Duration = Duration::from_millis(1_500);

/// Time between two sound requests of a client, and the number of clients.
const SOUND_INTERVAL: Duration = Duration::from_millis(100);
const SOUND_CLIENTS: usize = 4;

/// Time for which a server is down after a crash.
const DOWN_TIME: Duration = Duration::from_millis(2_000);

/// Time from the first event to the crash: a step of the engine.
const CRASH_DELAY: Duration = Duration::from_millis(5);

/// Time between two events of a sound stream.
const EVENT_GAP: Duration = Duration::from_millis(50);
const EVENTS: u64 = 6;

/// Time without an event after which a client leaves.
const PATIENCE: Duration = Duration::from_millis(2_000);

/// `stableWindowMs` of the settings.
const STABLE_WINDOW: Duration = Duration::from_millis(3_000);

/// Crash from which the rule counts, and retries that may reach servers.
const COUNTED_CRASH: usize = 3;
const ALLOWED_RETRIES: usize = 3;

/// Bodies of the request that crashes servers, and of the one in its place without the disruption.
const CRASHING_BODY: &str = "the content that crashes servers";
const HARMLESS_BODY: &str = "the content that harms no server";

#[derive(Default)]
struct Seen {
    /// When requests that crash servers reached one.
    arrivals: Vec<Instant>,
    /// When servers crashed.
    crashes: Vec<Instant>,
}

/// What all servers of the case share.
#[derive(Clone)]
struct World {
    store: Store,
    record: Record,
    seen: Arc<Mutex<Seen>>,
    is_over: Arc<AtomicBool>,
}

fn event(id: u64) -> Step {
    let text = format!("id: {id}\ndata: piece {id}\n\n");
    let chunk = format!("{:x}\r\n{text}\r\n", text.len());
    Step::Send(chunk.into_bytes())
}

/// Returns the first event of a response, and those that follow.
fn stream_start(received: &Received) -> (Vec<Step>, u64) {
    let more = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
    let head = Step::Send(received.head("200 OK", more).into_bytes());
    let last = received
        .head
        .get("last-event-id")
        .and_then(|it| it.parse().ok());
    let first = last.unwrap_or(0) + 1;
    (vec![head, event(first)], first + 1)
}

impl World {
    /// Starts a server at an address, or at a free one, and lists it.
    fn start_server(&self, addr: std::net::SocketAddr, id: &str, cold_ms: u64) -> io::Result<()> {
        let this = Arc::new(OnceLock::<Server>::new());
        let (world, own) = (self.clone(), Arc::clone(&this));
        let handler: Handler = Arc::new(move |received| world.respond(received, &own));
        let server = Server::start_at(addr, DESK, id, handler)?;
        let more = format!("\"state\":\"ready\",\"slots\":12,\"coldRemainingMs\":{cold_ms}");
        self.store.put(&server.key(), &server.entry(1, &more));
        let _ = this.set(server);
        Ok(())
    }

    fn respond(&self, received: &Received, own: &Arc<OnceLock<Server>>) -> Vec<Step> {
        let (mut steps, next) = stream_start(received);
        if received.body != CRASHING_BODY.as_bytes() {
            for id in next..=EVENTS {
                steps.extend([Step::Pause(EVENT_GAP), event(id)]);
            }
            steps.push(Step::Send(b"0\r\n\r\n".to_vec()));
            return steps;
        }
        self.seen.lock().unwrap().arrivals.push(received.at);
        let server = own.get().cloned();
        let id = server.as_ref().map_or("?", |it| it.id.as_str());
        self.record.note(&format!(
            "server {id} runs {}, which crashes it",
            received.id()
        ));
        let world = self.clone();
        let crash = Box::new(move || {
            if let Some(server) = &server {
                world.crash(server);
            }
        });
        steps.extend([Step::Pause(CRASH_DELAY), Step::Run(crash)]);
        steps
    }

    /// Ends a server, and starts it again after a while under its id.
    fn crash(&self, server: &Server) {
        if server.has_ended() {
            return;
        }
        server.end();
        self.seen.lock().unwrap().crashes.push(Instant::now());
        self.record.note(&format!("server {} crashes", server.id));
        let (world, addr, id) = (self.clone(), server.addr, server.id.clone());
        thread::spawn(move || {
            thread::sleep(DOWN_TIME);
            if !world.is_over.load(Ordering::SeqCst) {
                let result = world.start_server(addr, &id, 3_000);
                world
                    .record
                    .note(&format!("server {id} is back: {result:?}"));
            }
        });
    }
}

pub fn play(deployment: &mut Deployment, is_troubled: bool) -> io::Result<bool> {
    deployment
        .store
        .put("op/config", &config(&Config::default()));
    let world = World {
        store: deployment.store.clone(),
        record: deployment.record.clone(),
        seen: Arc::default(),
        is_over: Arc::default(),
    };
    for number in 0..SERVERS {
        let addr = std::net::SocketAddr::new(deployment.allocate_ip(), 0);
        world.start_server(addr, &format!("i-{number}"), 0)?;
    }
    deployment.start_entries(ENTRIES)?;
    let fronts: Vec<_> = deployment.entries.iter().map(|it| it.front).collect();
    let is_served = |front| {
        let request = Request::new("POST", "/chat/2f", 8_000, "", "sound");
        send_once(front, &request.bytes, PATIENCE).is_ok_and(|it| it.status == 200)
    };
    if !wait_until(Duration::from_secs(10), || {
        fronts.iter().all(|it| is_served(*it))
    }) {
        return Err(io::Error::other("the servers are not used"));
    }
    thread::sleep(STABLE_WINDOW);

    let end = Instant::now() + PLAY_TIME;
    let clients: Vec<_> = (0..SOUND_CLIENTS)
        .map(|number| {
            let (front, record) = (fronts[number % ENTRIES], world.record.clone());
            thread::spawn(move || {
                let (mut sent, mut lost) = (0, 0);
                while Instant::now() < end {
                    let body = format!("sound {number} {sent}");
                    let request = Request::new("POST", "/chat/2f", 8_000, "", &body);
                    let answer = send_once(front, &request.bytes, PATIENCE).map(|it| it.status);
                    sent += 1;
                    if !matches!(answer, Ok(200)) {
                        lost += 1;
                        record.note(&format!("sound request {} gets {answer:?}", request.id));
                    }
                    thread::sleep(SOUND_INTERVAL);
                }
                (sent, lost)
            })
        })
        .collect();
    let mut number = 0;
    while Instant::now() < end {
        let body = if is_troubled {
            CRASHING_BODY
        } else {
            HARMLESS_BODY
        };
        let request = Request::new("POST", "/chat/2f", 8_000, "", body);
        let (front, record) = (fronts[number % ENTRIES], world.record.clone());
        thread::spawn(move || {
            let answer = send_once(front, &request.bytes, PATIENCE).map(|it| it.status);
            record.note(&format!("repeated request {} gets {answer:?}", request.id));
        });
        number += 1;
        thread::sleep(CRASHING_INTERVAL);
    }
    world.is_over.store(true, Ordering::SeqCst);
    let ended = clients.into_iter().filter_map(|it| it.join().ok());
    let (sent, lost) = ended.fold((0, 0), |sum, it| (sum.0 + it.0, sum.1 + it.1));

    let seen = world.seen.lock().unwrap();
    let from = seen
        .crashes
        .get(COUNTED_CRASH - 1)
        .map(|it| *it + STABLE_WINDOW);
    let late = from.map_or(0, |from| {
        seen.arrivals.iter().filter(|it| **it > from).count()
    });
    world.record.note(&format!(
        "{number} times the same request, {} arrivals at servers, {} crashes; {late} arrivals later than 3000 ms \
         after the third crash, {ALLOWED_RETRIES} are allowed; {lost} of {sent} sound requests got no success",
        seen.arrivals.len(),
        seen.crashes.len()
    ));
    Ok(late <= ALLOWED_RETRIES)
}
