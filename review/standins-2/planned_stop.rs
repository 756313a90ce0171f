//! An entry is stopped as planned while a client that knows its address asks for a long stream.

use std::{
    io::{BufReader, Write},
    net::{SocketAddr, TcpStream},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use crate::{
    deployment::{self, Deployment, SERVER_PORT, client_request},
    http::{self, Answer},
    load::{self, Seen},
    stream_server::{self, Behavior, Framing},
    streams,
};

const ENTRIES: usize = 3;
const SERVERS: usize = 4;
const SLOTS: u32 = 12;
const SERVICE: &str = "vuno61b";
const PIECE_PAUSE: Duration = Duration::from_millis(70);

/// Pieces of the usual streams, and of the long ones.
const SHORT: u64 = 12;
const LONG: u64 = 66;

/// Time for which all streams are short before the stop.
const BEFORE: Duration = Duration::from_secs(8);
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);

/// Time from the SIGTERM to the long requests: over 3 s, and within three times the lifetime of the
/// directory's answer.
const AFTER_SIGNAL: Duration = Duration::from_millis(3_300);
/// `graceS` of the settings.
const GRACE: Duration = Duration::from_secs(8);
/// Long requests, each on a kept connection of its own.
const LONG_REQUESTS: u64 = 3;
const DEADLINE_MS: u64 = 8_000;

/// Runs the case; returns whether the rule was broken.
pub fn run(mut deployment: Deployment, has_trouble: bool) -> bool {
    let routes = [deployment::route(
        "/lohu930/",
        "streaming",
        SERVICE,
        8_000,
        ",\"sessionAffinity\":true,\"streamResume\":true,\"gapTargetMs\":120",
    )];
    let services = [deployment::service(SERVICE, 328, "")];
    deployment.store.put(
        "op/config",
        &deployment::configuration(7, &routes, &services),
    );
    (0..SERVERS).for_each(|it| start_server(&deployment, it));
    let entries = deployment.start_entries(ENTRIES);
    deployment.wait_ready();

    let seen = Arc::new(Seen::default());
    let clients = load::request_streams_of(&deployment, &seen, BEFORE, REQUEST_INTERVAL, |_| SHORT);
    clients.into_iter().for_each(|it| drop(it.join()));
    let record = deployment.record.clone();
    let stopped = deployment.front_addr(0);
    let kept: Vec<KeptConnection> = (0..LONG_REQUESTS)
        .map(|it| KeptConnection::open(stopped, it))
        .collect();
    let addresses = deployment.resolve();
    if !addresses.contains(&stopped) || kept.iter().any(|it| !it.is_usable) {
        deployment::cannot_run("the entry was not in use before its stop");
    }
    record.line(&format!(
        "the directory names {addresses:?}; they are kept for up to 4.5 s"
    ));

    let signalled = Instant::now();
    if has_trouble {
        entries[0].signal("TERM");
        record.line(&format!("SIGTERM to the entry at {stopped}"));
    }
    thread::sleep(AFTER_SIGNAL);
    let requests = kept.into_iter().map(|it| {
        let record = record.clone();
        thread::spawn(move || {
            let answer = it.request_long(&record);
            (answer, signalled.elapsed())
        })
    });
    let requests: Vec<_> = requests.collect();
    let mut lost = 0;
    for (number, request) in requests.into_iter().enumerate() {
        let (answer, ended) = request.join().expect("the client");
        let pieces = streams::pieces(&answer.body).len();
        let is_cut = answer.status == 0 || !answer.is_complete;
        record.announce(&format!(
            "long request {number}: status {}, {pieces} of {LONG} pieces, {} {} ms after the SIGTERM",
            answer.status,
            if is_cut { "cut off" } else { "ended" },
            ended.as_millis()
        ));
        lost += u32::from(is_cut && ended < GRACE + Duration::from_secs(1));
    }
    record.announce(&format!("{lost} requests that break the rule LOST"));
    lost > 0
}

fn start_server(deployment: &Deployment, index: usize) {
    let addr = SocketAddr::new(deployment::ip(40 + index as u8), SERVER_PORT);
    let id = format!("i-{index:08x}");
    let record = deployment.record.clone();
    stream_server::start(
        addr,
        Behavior {
            id: id.clone(),
            framing: Framing::Chunks,
            pause: PIECE_PAUSE,
            report: Box::new(move |line| record.line(&line)),
            repeated_piece: Box::new(|| None),
        },
    );
    let zone = deployment::zone(index);
    deployment.register(&id, move |sequence| {
        Some(deployment::server_entry(
            SERVICE, addr, zone, SLOTS, "ready", sequence, 0,
        ))
    });
}

/// A client's connection that has carried a short stream.
struct KeptConnection {
    number: u64,
    writer: TcpStream,
    reader: BufReader<TcpStream>,
    is_usable: bool,
}

impl KeptConnection {
    fn open(addr: SocketAddr, number: u64) -> Self {
        let connected = http::connect(addr, Duration::from_millis(DEADLINE_MS));
        let writer = connected.unwrap_or_else(|error| deployment::cannot_run(&error.to_string()));
        let reader = BufReader::new(writer.try_clone().expect("a second handle"));
        let mut connection = Self {
            number,
            writer,
            reader,
            is_usable: true,
        };
        let answer = connection.request(1_000 + number, SHORT);
        connection.is_usable = answer.is_success();
        connection
    }

    fn request(&mut self, id: u64, pieces: u64) -> Answer {
        let path = format!("/lohu930/2f?n={pieces}");
        let id = format!("{id:016x}");
        let request = client_request("POST", &path, &id, DEADLINE_MS, "keep-alive", "", b"prompt");
        if self.writer.write_all(&request).is_err() {
            return Answer::default();
        }
        http::read_answer(&mut self.reader)
    }

    fn request_long(mut self, record: &crate::record::Record) -> Answer {
        let id = 2_000 + self.number;
        record.line(&format!(
            "client sends {id:016x} ({LONG} pieces) on a kept connection"
        ));
        self.request(id, LONG)
    }
}
