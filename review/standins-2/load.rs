//! Clients that request event streams at a steady rate, and what they saw.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use crate::{
    deployment::{Deployment, client_request},
    http,
    record::Record,
    streams,
};

/// Time that the clients of streams wait.
const DEADLINE_MS: u64 = 8_000;

/// What the clients saw.
#[derive(Default)]
pub struct Seen {
    pub requests: AtomicU64,
    pub whole: AtomicU64,
    /// Answers in which the order of the pieces is broken.
    pub faults: Mutex<Vec<String>>,
}

impl Seen {
    /// Writes the sums into the record; returns whether the rule ORDER was broken.
    pub fn conclude(&self, record: &Record) -> bool {
        let faults = self.faults.lock().unwrap();
        record.announce(&format!(
            "{} streams requested, {} whole, {} that break the rule ORDER",
            self.requests.load(Ordering::Relaxed),
            self.whole.load(Ordering::Relaxed),
            faults.len()
        ));
        for fault in faults.iter() {
            record.announce(fault);
        }
        !faults.is_empty()
    }
}

/// Requests streams of various lengths for a time, one every `interval`, each over a new connection.
pub fn request_streams(
    deployment: &Deployment,
    seen: &Arc<Seen>,
    time: Duration,
    interval: Duration,
) -> Vec<JoinHandle<()>> {
    request_streams_of(deployment, seen, time, interval, streams::length_of)
}

/// Does the same with streams whose length follows from the number of the request.
pub fn request_streams_of(
    deployment: &Deployment,
    seen: &Arc<Seen>,
    time: Duration,
    interval: Duration,
    length_of: fn(u64) -> u64,
) -> Vec<JoinHandle<()>> {
    let end = Instant::now() + time;
    let mut addresses = deployment.resolve();
    let mut clients = Vec::new();
    let mut next = Instant::now();
    while Instant::now() < end {
        let number = seen.requests.fetch_add(1, Ordering::Relaxed) + 1;
        if number % 32 == 0 {
            addresses = deployment.resolve();
        }
        let Some(addr) = addresses
            .get(number as usize % addresses.len().max(1))
            .copied()
        else {
            continue;
        };
        let (seen, record) = (Arc::clone(seen), deployment.record.clone());
        let last = length_of(number);
        clients.push(thread::spawn(move || {
            request_stream(addr, number, last, &seen, &record)
        }));
        next += interval;
        thread::sleep(next.saturating_duration_since(Instant::now()));
    }
    clients
}

fn request_stream(addr: SocketAddr, number: u64, last: u64, seen: &Seen, record: &Record) {
    let id = format!("{number:016x}");
    let path = format!("/lohu930/2f?n={last}");
    let request = client_request("POST", &path, &id, DEADLINE_MS, "close", "", b"prompt");
    record.line(&format!("client sends {id} ({last} pieces) to {addr}"));
    let answer = http::call(addr, &request, Duration::from_millis(DEADLINE_MS));
    let pieces = streams::pieces(&answer.body);
    record.line(&format!(
        "client gets {} for {id}: {} pieces, {}",
        answer.status,
        pieces.len(),
        if answer.is_complete {
            "ends as complete"
        } else {
            "broken off"
        }
    ));
    if answer.status != 200 {
        return;
    }
    match streams::order_fault(&pieces, last, answer.is_success()) {
        Some(fault) => seen
            .faults
            .lock()
            .unwrap()
            .push(format!("request {id}: {fault}")),
        None if answer.is_complete => {
            seen.whole.fetch_add(1, Ordering::Relaxed);
        }
        None => {}
    }
}
