//! Entries are stopped and started in turn while the store turns some others away. Each entry that starts
//! passes its age off as the age of its copy of the store, so that no entry reads the store, and a key that
//! was taken away stays in force.

use std::{
    collections::HashSet,
    io,
    net::{IpAddr, SocketAddr},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    deployment::{API_KEY, Config, DESK, Deployment, Handler, OTHER_KEY, Request, Server, config},
    http::{send_once, wait_until},
    store::StoreAddress,
};

const ENTRIES: usize = 24;

/// Entries that the store turns away: a third (pages: `share` 0.35).
const REFUSED: usize = 8;

/// Entries that are stopped and started in turn, and the time between two of them (`gap_s` 1).
const ROLLED: usize = 5;
const ROLL_GAP: Duration = Duration::from_millis(1_000);

/// Time from the first start to the change of the configuration.
const WRITTEN_AFTER: Duration = Duration::from_millis(400);

/// `stableWindowMs` of the settings, and half a second more.
const CALM_TIME: Duration = Duration::from_millis(3_500);

/// `configMs` of the settings, and 200 ms more.
const IN_FORCE_AFTER: Duration = Duration::from_millis(2_200);

/// Time for which requests are sent after that, and the pause between two of them.
const REQUEST_TIME: Duration = Duration::from_millis(4_000);
const REQUEST_PAUSE: Duration = Duration::from_millis(20);

const SECOND: Duration = Duration::from_secs(1);

/// Ids of the requests that were run.
type Runs = Arc<Mutex<HashSet<String>>>;

/// Sends a request with a key to an entry; returns its id.
fn lodge(deployment: &Deployment, front: SocketAddr, key: &str) -> String {
    let mut request = Request::new("POST", "/lodge/2f", 4_000, "", "presentation");
    let text = String::from_utf8_lossy(&request.bytes).replace(API_KEY, key);
    request.bytes = text.into_bytes();
    let answer = send_once(front, &request.bytes, 5 * SECOND);
    let status = answer.map(|it| it.status);
    let text = format!("entry {front} answers {} with {status:?}", request.id);
    deployment.record.note(&text);
    request.id
}

/// Has the store turn away, one after the other, the entries that read it most.
fn refuse_readers(
    deployment: &Deployment,
    addresses: &[(IpAddr, StoreAddress)],
) -> HashSet<IpAddr> {
    let mut refused = HashSet::new();
    while refused.len() < REFUSED {
        let moment = Instant::now();
        thread::sleep(4 * SECOND);
        let reads = deployment.store.answered_since(moment);
        // The one with the most reads; among equals, the one that read first.
        let count = |addr: SocketAddr| reads.iter().filter(|it| it.1 == addr).count();
        let reader = reads.iter().rev().max_by_key(|it| count(it.1));
        if let Some((_, addr)) = reader
            && let Some((ip, address)) = addresses.iter().find(|it| it.1.addr == *addr)
            && refused.insert(*ip)
        {
            address.refuse();
            let text = format!("the store turns entry {ip} away, which has read most lately");
            deployment.record.note(&text);
        }
    }
    refused
}

pub fn play(deployment: &mut Deployment, is_troubled: bool) -> io::Result<bool> {
    let old = Config {
        keys: &[API_KEY, OTHER_KEY],
        ..Config::default()
    };
    deployment.store.put("op/config", &config(&old));
    let runs = Runs::default();
    let handler: Handler = {
        let (record, runs) = (deployment.record.clone(), Arc::clone(&runs));
        Arc::new(move |received| {
            record.note(&format!("a server runs {}", received.id()));
            runs.lock().unwrap().insert(received.id().to_owned());
            received.response("200 OK", "", "lodged")
        })
    };
    for id in ["i-1", "i-2"] {
        let server = Server::start(deployment.allocate_ip(), DESK, id, handler.clone())?;
        deployment.store.put(&server.key(), &server.ready_entry(1));
    }
    let ips: Vec<IpAddr> = (0..ENTRIES).map(|_| deployment.allocate_ip()).collect();
    let mut addresses = Vec::new();
    for ip in &ips {
        let store_ip = deployment.allocate_ip();
        let address = deployment.store.listen(store_ip)?;
        deployment.own_store_addresses.insert(*ip, address.addr);
        addresses.push((*ip, address));
    }
    deployment.start_entries_at(&ips)?;
    thread::sleep(CALM_TIME);
    let is_used = || {
        let fronts = deployment.entries.iter().map(|it| it.front);
        let sent: Vec<String> = fronts.map(|it| lodge(deployment, it, OTHER_KEY)).collect();
        sent.iter().all(|id| runs.lock().unwrap().contains(id))
    };
    if !wait_until(10 * SECOND, is_used) {
        return Err(io::Error::other("the key can't be used"));
    }

    let refused = match is_troubled {
        true => refuse_readers(deployment, &addresses),
        false => HashSet::new(),
    };
    thread::sleep(CALM_TIME);

    // Those that are stopped: not the three seeds, and none that is turned away.
    let others = (3..ENTRIES).filter(|index| !refused.contains(&ips[*index]));
    let rolled: Vec<usize> = others.take(ROLLED).collect();
    let calm = (0..ENTRIES).filter(|it| !rolled.contains(it) && !refused.contains(&ips[*it]));
    let calm: Vec<SocketAddr> = calm.map(|it| deployment.entries[it].front).collect();
    deployment
        .record
        .note(&format!("in touch all the while: {calm:?}"));
    let start = Instant::now();
    let mut stopped = 0;
    let mut started = HashSet::new();
    let mut first_start: Option<Instant> = None;
    let mut acknowledged: Option<Instant> = None;
    let mut late = Vec::new();
    let mut next = 0;
    loop {
        let now = Instant::now();
        if is_troubled && stopped < ROLLED && now >= start + ROLL_GAP * stopped as u32 {
            let entry = &deployment.entries[rolled[stopped]];
            deployment
                .record
                .note(&format!("entry {} gets SIGTERM", entry.ip));
            entry.signal("-TERM")?;
            stopped += 1;
        }
        for index in &rolled[..stopped] {
            if !started.contains(index) && deployment.start_again_if_exited(*index)? {
                started.insert(*index);
                first_start.get_or_insert(now);
            }
        }
        let is_due = match is_troubled {
            true => first_start.is_some_and(|it| now >= it + WRITTEN_AFTER),
            false => now >= start + 5 * SECOND,
        };
        if acknowledged.is_none() && is_due {
            let new = Config {
                version: 5,
                keys: &[API_KEY],
                ..Config::default()
            };
            deployment.store.put("op/config", &config(&new));
            acknowledged = Some(Instant::now());
            deployment
                .record
                .note("the store acknowledges version 5, without the other key");
        }
        if let Some(at) = acknowledged {
            if now > at + IN_FORCE_AFTER + REQUEST_TIME {
                break;
            }
            if now > at + IN_FORCE_AFTER {
                late.push(lodge(deployment, calm[next % calm.len()], OTHER_KEY));
                next += 1;
            }
        }
        if now > start + 30 * SECOND {
            return Err(io::Error::other("no entry has exited"));
        }
        thread::sleep(REQUEST_PAUSE);
    }
    let moment = acknowledged.unwrap_or(start);
    for (after, address) in deployment.store.answered_since(moment) {
        let caller = addresses
            .iter()
            .find(|it| it.1.addr == address)
            .map(|it| it.0);
        let text =
            format!("{after:.3} s after the acknowledgement the store answers entry {caller:?}");
        deployment.record.note(&text);
    }
    let runs = runs.lock().unwrap();
    let stale = late.iter().filter(|it| runs.contains(*it)).count();
    deployment.record.note(&format!(
        "{stale} of {} requests with the key were run, sent over 2000 ms after the acknowledgement, at \
         entries in touch",
        late.len(),
    ));
    Ok(stale == 0)
}
