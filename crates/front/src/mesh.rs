//! Signs of life and load between the entries.

use std::{
    net::{IpAddr, SocketAddr},
    rc::Rc,
    time::Duration,
};

use jj_utils::{clock::Timestamp, events, log_event};
use tokio::net::UdpSocket;
use tokio::time::MissedTickBehavior;

use jj_news::{Hello, MAX_DATAGRAM, Message, Roster, StoreNews};

use crate::{
    peers::{Peer, SILENT_AFTER},
    replica::DEFAULT_GAP,
    shared::Shared,
};

/// Time between two signs of life.
const HELLO_PAUSE: Duration = Duration::from_millis(200);

/// Silence after which an entry is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(30);

/// Shortest time between two messages on requests in flight.
const USE_PAUSE: Duration = Duration::from_millis(8);

/// A step of the clock between two signs of life from which the process was stopped.
const STOPPED_FOR: Duration = Duration::from_millis(600);

/// Exchanges signs of life and load with the other entries for as long as the process runs.
pub async fn run(shared: Rc<Shared>, socket: UdpSocket) {
    let mut tick = tokio::time::interval(HELLO_PAUSE);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut buffer = vec![0; MAX_DATAGRAM];
    let mut number = 0;
    let mut last_tick = shared.clock.now();
    let mut last_use = Timestamp::ZERO;
    loop {
        tokio::select! {
            received = socket.recv_from(&mut buffer) => {
                if let Ok((length, from)) = received {
                    let now = shared.clock.now();
                    shared.peers.borrow_mut().now = now;
                    if let Some(message) = Message::read(&buffer[..length]) {
                        take(&shared, &socket, from, message);
                    }
                }
            }
            _ = tick.tick() => {
                let now = shared.clock.now();
                if now > last_tick + STOPPED_FOR {
                    drop_stale(&socket, &mut buffer);
                    log_event!(
                        events::PROCESS_STALLED,
                        for_ms = (now - last_tick).as_millis() as u64; "the process stood still"
                    );
                }
                last_tick = now;
                shared.peers.borrow_mut().now = now;
                forget_silent(&shared, now);
                hello(&shared, &socket).await;
                tell_use(&shared, &socket, &mut number).await;
                last_use = now;
            }
            () = shared.changed.notified() => {
                let now = shared.clock.now();
                let due = last_use + USE_PAUSE;
                if now < due {
                    tokio::time::sleep(due - now).await;
                }
                last_use = shared.clock.now();
                tell_use(&shared, &socket, &mut number).await;
            }
        }
    }
}

/// Drops what arrived while the process stood still: it would pass for new.
fn drop_stale(socket: &UdpSocket, buffer: &mut [u8]) {
    while socket.try_recv_from(buffer).is_ok() {}
}

fn take(shared: &Rc<Shared>, socket: &UdpSocket, from: SocketAddr, message: Message) {
    let ip = from.ip();
    match message {
        Message::Hello(hello) => take_hello(shared, ip, hello),
        Message::AskRoster { server } => {
            if let Some(bytes) = roster(shared, server).and_then(|it| Message::Roster(it).bytes()) {
                // The agent asks again when this is lost.
                let _ = socket.try_send_to(&bytes, from);
            }
        }
        Message::Use {
            life,
            number,
            uses,
            tokens,
        } => {
            let mut peers = shared.peers.borrow_mut();
            let Some(peer) = peers.known.get_mut(&ip) else {
                return;
            };
            if peer.hello.life != life || number <= peer.number {
                return;
            }
            peer.number = number;
            let now = shared.clock.now();
            let mut loads = shared.loads.borrow_mut();
            loads.take_uses(now, &peer.hello.name, uses, &tokens);
            shared.room.notify_one();
        }
        Message::GroupNews(news) => {
            let service = shared.replica.borrow().service_at(news.server);
            if let Some(service) = service {
                let now = shared.clock.now();
                shared
                    .loads
                    .borrow_mut()
                    .take_word(now, &service, news.works);
                shared.room.notify_one();
            }
        }
        // The rest is for agents.
        _ => {}
    }
}

/// What the agent beside a server has to know.
fn roster(shared: &Rc<Shared>, server: SocketAddr) -> Option<Roster> {
    let replica = shared.replica.borrow();
    let catalog = replica.catalog.as_ref()?;
    let service = replica.service_at(server)?;
    let engine = catalog.services.get(&service)?.engine.as_ref()?;
    let all = replica.servers.all().map(|it| &it.record);
    let servers = all.filter(|it| it.service == service);
    let peers = shared.peers.borrow();
    let own = shared.settings().ip;
    let entries = peers.alive().map(|it| it.hello.traffic.ip());
    Some(Roster {
        experts: engine.experts?,
        idle_pass: engine.step * engine.stride,
        gap: catalog.gap(&service).unwrap_or(DEFAULT_GAP),
        servers: servers.map(|it| it.addr).collect(),
        entries: entries.chain([own]).collect(),
    })
}

fn take_hello(shared: &Rc<Shared>, from: IpAddr, hello: Hello) {
    let now = shared.clock.now();
    let own = shared.settings().ip;
    let mut peers = shared.peers.borrow_mut();
    if hello.life == shared.life && from == own {
        return;
    }
    for ip in hello.peers.iter().filter(|ip| **ip != own) {
        peers.asked.entry(*ip).or_default();
    }
    let known = peers.known.get(&from);
    let is_new = known.is_none_or(|it| it.hello.life != hello.life);
    let changed = known.is_none_or(|it| it.hello.standing != hello.standing);
    if is_new || changed {
        log_event!(
            events::MEMBER_CHANGED,
            peer = hello.name.as_str(), life = hello.life; "entry is {:?}", hello.standing
        );
    }
    let number = known.filter(|_| !is_new).map_or(0, |it| it.number);
    let news = hello.store;
    peers.known.insert(
        from,
        Peer {
            hello,
            heard: now,
            number,
        },
    );
    drop(peers);
    take_store_news(shared, news);
}

/// A peer that knows the same, and has asked the store later, makes what is known here fresher.
fn take_store_news(shared: &Rc<Shared>, news: StoreNews) {
    let now = shared.clock.now();
    let asked = now.saturating_sub(Duration::from_millis(u64::from(news.age_ms)));
    let mut replica = shared.replica.borrow_mut();
    if replica.at.is_none_or(|at| news.at < at) {
        shared.look.notify_one();
        return;
    }
    if news.digest == replica.digest {
        replica.asked = replica.asked.max(asked);
    } else if replica.at.is_some_and(|at| news.at > at) {
        shared.look.notify_one();
    }
}

fn forget_silent(shared: &Rc<Shared>, now: Timestamp) {
    let mut peers = shared.peers.borrow_mut();
    let mut loads = shared.loads.borrow_mut();
    for peer in peers.known.values() {
        let silent_for = now.saturating_sub(peer.heard);
        if silent_for > SILENT_AFTER && silent_for <= SILENT_AFTER + HELLO_PAUSE * 2 {
            loads.forget(&peer.hello.name);
            log_event!(
                events::MEMBER_CHANGED,
                peer = peer.hello.name.as_str(), silent_ms = silent_for.as_millis() as u64;
                "entry is silent"
            );
        }
    }
    peers.known.retain(|_, it| it.heard + FORGET_AFTER >= now);
}

async fn hello(shared: &Rc<Shared>, socket: &UdpSocket) {
    let settings = shared.settings();
    let (Some(traffic), Some(control)) = (settings.listen.traffic, settings.listen.control) else {
        return;
    };
    let now = shared.clock.now();
    let store = {
        let replica = shared.replica.borrow();
        StoreNews {
            at: replica.at.unwrap_or_default(),
            age_ms: now.saturating_sub(replica.asked).as_millis() as u32,
            digest: replica.digest,
        }
    };
    let (peers, targets) = targets(shared, &settings.seeds);
    let message = Message::Hello(Hello {
        name: settings.name.clone(),
        domain: settings.domain.clone(),
        life: shared.life,
        traffic,
        control,
        standing: shared.standing.get(),
        store,
        peers,
    });
    send_all(socket, &message, &targets, settings.ports.0).await;
}

/// Entries heard lately, and all that may be there.
fn targets(shared: &Rc<Shared>, seeds: &[SocketAddr]) -> (Vec<IpAddr>, Vec<IpAddr>) {
    let own = shared.settings().ip;
    let peers = shared.peers.borrow();
    let now = peers.now;
    let heard = peers
        .known
        .iter()
        .filter(|(_, it)| it.heard + SILENT_AFTER >= now);
    let heard: Vec<IpAddr> = heard.map(|(ip, _)| *ip).collect();
    let mut targets: Vec<IpAddr> = peers.known.keys().copied().collect();
    targets.extend(seeds.iter().map(SocketAddr::ip));
    targets.extend(peers.asked.keys());
    targets.sort_unstable();
    targets.dedup();
    targets.retain(|ip| *ip != own);
    (heard, targets)
}

async fn tell_use(shared: &Rc<Shared>, socket: &UdpSocket, number: &mut u64) {
    *number += 1;
    let message = Message::Use {
        life: shared.life,
        number: *number,
        uses: shared.loads.borrow().uses(shared.clock.now()),
        tokens: shared.loads.borrow().tokens_sent(),
    };
    let targets: Vec<IpAddr> = shared.peers.borrow().known.keys().copied().collect();
    send_all(socket, &message, &targets, shared.settings().ports.0).await;
}

async fn send_all(socket: &UdpSocket, message: &Message, targets: &[IpAddr], port: u16) {
    let Some(bytes) = message.bytes() else {
        return;
    };
    for ip in targets {
        // A datagram that can't be sent is like one that is lost.
        let _ = socket.send_to(&bytes, SocketAddr::new(*ip, port)).await;
    }
}
