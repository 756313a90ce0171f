//! The processes of servers end while their event streams, which end with their connections, are under
//! way: servers crash, or are taken away some seconds after a notice.

use std::{
    io::{BufRead, BufReader},
    net::{SocketAddr, TcpStream},
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
    http,
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

/// Connections without a request that other callers keep open to a server that will crash.
const IDLE_CONNECTIONS: usize = 250;

/// How servers end, one of eight at a time.
#[derive(Debug, Clone, Copy)]
pub struct Disruption {
    /// Servers that end, one after the other.
    servers: &'static [usize],
    /// Time without a disruption before each end.
    calm: Duration,
    /// Time from a server's notice to its end; none if it crashes.
    notice: Option<Duration>,
    /// Time from its end until it is back or, after a notice, another one is there.
    down: Duration,
}

pub const CRASHES: Disruption = Disruption {
    servers: &[1, 4, 6],
    calm: Duration::from_secs(4),
    notice: None,
    down: Duration::from_millis(4_500),
};

pub const TAKEN_AWAY: Disruption = Disruption {
    servers: &[1, 4],
    calm: Duration::from_secs(5),
    notice: Some(Duration::from_secs(2)),
    down: Duration::from_secs(4),
};

/// What a server writes about itself.
const READY: u8 = 0;
const DRAINING: u8 = 1;
/// It is gone and writes nothing more.
const GONE: u8 = 2;

/// Runs the case; returns whether the rule was broken.
pub fn run(mut deployment: Deployment, disruption: Disruption, has_trouble: bool) -> bool {
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
    let mut servers: Vec<Server> = (0..SERVERS)
        .map(|it| Server::start(&deployment, it, 0))
        .collect();
    let _entries = deployment.start_entries(ENTRIES);
    deployment.wait_ready();

    let seen = Arc::new(Seen::default());
    let one = disruption.calm + disruption.notice.unwrap_or_default() + disruption.down;
    let time = one * disruption.servers.len() as u32;
    thread::scope(|scope| {
        let deployment = &deployment;
        let sender = scope.spawn(|| {
            let clients = load::request_streams(deployment, &seen, time, REQUEST_INTERVAL);
            clients.into_iter().for_each(|it| drop(it.join()));
        });
        for index in disruption.servers.iter().copied().filter(|_| has_trouble) {
            let idle = match disruption.notice {
                Some(_) => Vec::new(),
                None => open_idle(servers[index].addr),
            };
            thread::sleep(disruption.calm);
            servers[index].end(deployment, disruption.notice);
            drop(idle);
            thread::sleep(disruption.down);
            servers[index] = match disruption.notice {
                Some(_) => Server::start(deployment, SERVERS + index, 0),
                None => Server::start(deployment, index, 1),
            };
        }
        let _ = sender.join();
    });
    seen.conclude(&deployment.record)
}

/// Opens the connections of other callers to a server.
fn open_idle(addr: SocketAddr) -> Vec<TcpStream> {
    let open = |_| http::connect(addr, Duration::from_secs(1)).ok();
    (0..IDLE_CONNECTIONS).filter_map(open).collect()
}

/// A server in a process of its own.
struct Server {
    id: String,
    addr: SocketAddr,
    process: Process,
    state: Arc<AtomicU8>,
    registration: Registration,
}

impl Server {
    /// Starts a server; `life` counts its earlier runs under the same id.
    fn start(deployment: &Deployment, index: usize, life: u64) -> Self {
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
            deployment::server_entry(SERVICE, addr, zone, SLOTS, state, sequence, life)
        };
        let reported = Arc::clone(&state);
        let registration = deployment.register(&id, move |sequence| {
            match reported.load(Ordering::Relaxed) {
                READY => Some(entry("ready", sequence)),
                DRAINING => Some(entry("draining", sequence)),
                _ => None,
            }
        });
        Self {
            id,
            addr,
            process: Process { child },
            state,
            registration,
        }
    }

    /// Ends the process, a time after a notice if there is one.
    fn end(&mut self, deployment: &Deployment, notice: Option<Duration>) {
        if let Some(notice) = notice {
            deployment
                .record
                .line(&format!("server {} says that it is draining", self.id));
            self.state.store(DRAINING, Ordering::Relaxed);
            self.registration.write();
            thread::sleep(notice);
        }
        self.state.store(GONE, Ordering::Relaxed);
        self.process.kill();
        deployment
            .record
            .line(&format!("the process of server {} was killed", self.id));
    }
}

/// Serves streams at an address as the server with an id, and prints a line for each run and its
/// end. Never returns.
pub fn serve(addr: SocketAddr, id: &str) -> ! {
    stream_server::start(
        addr,
        Behavior {
            id: id.to_owned(),
            framing: Framing::Connection,
            pause: PIECE_PAUSE,
            report: Box::new(|line| println!("{line}")),
            repeated_piece: Box::new(|| None),
        },
    );
    loop {
        thread::park();
    }
}
