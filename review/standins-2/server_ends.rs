//! Servers are taken away some seconds after their notice while their event streams, which end with
//! their connections, are under way.

use std::{
    io::{BufRead, BufReader},
    net::SocketAddr,
    process::{Command, Stdio},
    sync::{
        Arc,
        atomic::{AtomicU8, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    deployment::{self, Deployment, Process, Registration, SERVER_PORT},
    load::{self, Seen},
    stream_server::{self, Behavior, Framing},
};

const ENTRIES: usize = 3;
const SERVERS: usize = 8;
const SLOTS: u32 = 12;
const SERVICE: &str = "vuno61b";

/// Time between two requests: 25 a second.
const REQUEST_INTERVAL: Duration = Duration::from_millis(40);
const PIECE_PAUSE: Duration = Duration::from_millis(60);

/// The disruption comes twice, at one server of eight each time.
const DISRUPTED: [usize; 2] = [1, 4];
const CALM: Duration = Duration::from_secs(5);
/// Time from the notice to the end of the server.
const NOTICE: Duration = Duration::from_secs(2);
/// Time from the end of a server until another one replaces it.
const REPLACEMENT: Duration = Duration::from_secs(4);

/// What a server writes about itself.
const READY: u8 = 0;
const DRAINING: u8 = 1;
/// It is gone and writes nothing more.
const GONE: u8 = 2;

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
    deployment.store.put("op/config", &deployment::configuration(7, &routes, &services));
    let mut servers: Vec<Server> = (0..SERVERS).map(|it| Server::start(&deployment, it)).collect();
    let _entries = deployment.start_entries(ENTRIES);
    deployment.wait_ready();

    let seen = Arc::new(Seen::default());
    let time = (CALM + NOTICE + REPLACEMENT) * DISRUPTED.len() as u32;
    thread::scope(|scope| {
        let deployment = &deployment;
        let sender = scope.spawn(|| {
            let clients = load::request_streams(deployment, &seen, time, REQUEST_INTERVAL);
            clients.into_iter().for_each(|it| drop(it.join()));
        });
        for index in DISRUPTED.into_iter().filter(|_| has_trouble) {
            thread::sleep(CALM);
            servers[index].take_away(deployment);
            thread::sleep(REPLACEMENT);
            let replacement = Server::start(deployment, SERVERS + index);
            servers.push(replacement);
        }
        let _ = sender.join();
    });
    seen.conclude(&deployment.record)
}

/// A server in a process of its own.
struct Server {
    id: String,
    process: Process,
    state: Arc<AtomicU8>,
    registration: Registration,
}

impl Server {
    fn start(deployment: &Deployment, index: usize) -> Self {
        let addr = SocketAddr::new(deployment::ip(40 + index as u8), SERVER_PORT);
        let id = format!("i-{index:08x}");
        let program = std::env::current_exe().expect("the path of this program");
        let mut command = Command::new(program);
        command.args(["serve-streams", &addr.to_string(), &id]);
        let spawned = command.stdin(Stdio::null()).stdout(Stdio::piped()).spawn();
        let mut child = spawned.unwrap_or_else(|error| deployment::cannot_run(&error.to_string()));
        let output = child.stdout.take().expect("the output of the server");
        let record = deployment.record.clone();
        thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                record.line(&line);
            }
        });
        let state = Arc::new(AtomicU8::new(READY));
        let zone = deployment::zone(index);
        let entry = move |state: &str, sequence: u64| {
            deployment::server_entry(SERVICE, addr, zone, SLOTS, state, sequence)
        };
        let reported = Arc::clone(&state);
        let registration = deployment.register(&id, move |sequence| {
            match reported.load(Ordering::Relaxed) {
                READY => Some(entry("ready", sequence)),
                DRAINING => Some(entry("draining", sequence)),
                _ => None,
            }
        });
        Self { id, process: Process { child }, state, registration }
    }

    /// Gives notice, and ends the process [`NOTICE`] later.
    fn take_away(&mut self, deployment: &Deployment) {
        deployment.record.line(&format!("server {} says that it is draining", self.id));
        self.state.store(DRAINING, Ordering::Relaxed);
        self.registration.write();
        thread::sleep(NOTICE);
        self.state.store(GONE, Ordering::Relaxed);
        self.process.kill();
        deployment.record.line(&format!("the process of server {} was killed", self.id));
    }
}

/// Serves streams at an address as the server with an id, and prints a line for each run and its
/// end. Never returns.
pub fn serve(addr: SocketAddr, id: &str) -> ! {
    stream_server::start(addr, Behavior {
        id: id.to_owned(),
        framing: Framing::Connection,
        pause: PIECE_PAUSE,
        report: Box::new(|line| println!("{line}")),
        repeated_piece: Box::new(|| None),
    });
    loop {
        thread::park();
    }
}
