//! Servers spoil some of their event streams: one event comes twice in one write.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    deployment::{self, Deployment, SERVER_PORT},
    load::{self, Seen},
    stream_server::{self, Behavior, Framing},
};

const ENTRIES: usize = 3;
const SERVERS: usize = 8;
const SLOTS: u32 = 12;
const SERVICE: &str = "vuno61b";

/// Time between two requests: 40 a second.
const REQUEST_INTERVAL: Duration = Duration::from_millis(25);
const PIECE_PAUSE: Duration = Duration::from_millis(30);

/// The disruption comes twice: half of the servers spoil 1 in 50 of their answers for 5 s.
const DISRUPTIONS: u32 = 2;
const DISRUPTION: Duration = Duration::from_secs(5);
const CALM: Duration = Duration::from_secs(4);
const ANSWERS_PER_SPOILT: u64 = 50;

/// Piece that a spoilt answer repeats.
const REPEATED_PIECE: u64 = 7;

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
    let is_spoiling = Arc::new(AtomicBool::new(false));
    let answers = Arc::new(AtomicU64::new(0));
    for index in 0..SERVERS {
        start_server(
            &deployment,
            index,
            Arc::clone(&is_spoiling),
            Arc::clone(&answers),
        );
    }
    let _entries = deployment.start_entries(ENTRIES);
    deployment.wait_ready();

    let seen = Arc::new(Seen::default());
    let record = deployment.record.clone();
    let disrupting = thread::spawn(move || {
        for _ in 0..DISRUPTIONS {
            thread::sleep(CALM);
            record.line("half of the servers begin to spoil answers");
            is_spoiling.store(has_trouble, Ordering::Relaxed);
            thread::sleep(DISRUPTION);
            is_spoiling.store(false, Ordering::Relaxed);
            record.line("all servers are sound again");
        }
    });
    let time = (CALM + DISRUPTION) * DISRUPTIONS + CALM;
    let clients = load::request_streams(&deployment, &seen, time, REQUEST_INTERVAL);
    let _ = disrupting.join();
    clients.into_iter().for_each(|it| drop(it.join()));
    seen.conclude(&deployment.record)
}

/// Starts a server; every second one takes part in the disruption.
fn start_server(
    deployment: &Deployment,
    index: usize,
    is_spoiling: Arc<AtomicBool>,
    answers: Arc<AtomicU64>,
) {
    let addr = SocketAddr::new(deployment::ip(40 + index as u8), SERVER_PORT);
    let id = format!("i-{index:08x}");
    let record = deployment.record.clone();
    let takes_part = index % 2 == 0;
    let repeated_piece = move || {
        let may_spoil = takes_part && is_spoiling.load(Ordering::Relaxed);
        let number = may_spoil.then(|| answers.fetch_add(1, Ordering::Relaxed))?;
        (number % ANSWERS_PER_SPOILT == ANSWERS_PER_SPOILT / 2).then_some(REPEATED_PIECE)
    };
    stream_server::start(
        addr,
        Behavior {
            id: id.clone(),
            framing: Framing::Chunks,
            pause: PIECE_PAUSE,
            report: Box::new(move |line| record.line(&line)),
            repeated_piece: Box::new(repeated_piece),
        },
    );
    let zone = deployment::zone(index);
    deployment.register(&id, move |sequence| {
        Some(deployment::server_entry(
            SERVICE, addr, zone, SLOTS, "ready", sequence, 0,
        ))
    });
}
