//! Datagrams between the entries, and with agents: who is alive, what is in flight, what the store says.

use std::{
    net::{IpAddr, SocketAddr},
    rc::Rc,
    time::Duration,
};

use jj_news::{GroupNews, Hello, MAX_DATAGRAM, Message, Roster, StoreNews};
use jj_policy::{
    gossip::Change,
    load_sums::{Scope, Telling},
    server_list::ServerRecord,
    subset::{self, Node},
};
use jj_utils::{clock::Timestamp, collections::FastMap, events, ids::ServiceId, log_event};
use tokio::{
    net::UdpSocket,
    time::{Instant, MissedTickBehavior},
};

use crate::{peers::Peers, shared_state::SharedState, store_replica::DEFAULT_EVENT_GAP};

/// Time between two rounds of signs of life.
const ROUND: Duration = Duration::from_millis(200);

/// A step of the clock between two rounds from which the process was stopped.
const STOPPED_FOR: Duration = Duration::from_millis(600);

/// Datagrams that are read at once.
const BATCH: usize = 64;

/// Entries of each failure domain that agents of a large fleet tell how the group is.
const TOLD_OF_EACH: usize = 2;

/// Time within which the same word on a group is passed on once.
const WORD_PAUSE: Duration = Duration::from_millis(150);

/// Exchanges datagrams for as long as the process runs.
pub async fn run(shared: Rc<SharedState>, socket: Rc<UdpSocket>) {
    let mut tick = tokio::time::interval(ROUND);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut mesh = PeerDatagrams {
        last_round: shared.clock.now(),
        buffer: vec![0; MAX_DATAGRAM],
        words: FastMap::default(),
        shared,
        socket,
    };
    loop {
        let due = mesh.due();
        tokio::select! {
            received = mesh.socket.recv_from(&mut mesh.buffer) => {
                if let Ok((length, from)) = received {
                    mesh.take_batch(length, from);
                }
            }
            _ = tick.tick() => mesh.round(),
            () = mesh.shared.news_to_send.notified() => mesh.take_change(),
            () = tokio::time::sleep_until(due) => mesh.tell_use(),
        }
    }
}

struct PeerDatagrams {
    shared: Rc<SharedState>,
    socket: Rc<UdpSocket>,
    buffer: Vec<u8>,
    last_round: Timestamp,
    /// What was passed on last of each group, and when.
    words: FastMap<ServiceId, (bool, Timestamp)>,
}

impl PeerDatagrams {
    /// When requests in flight are to be told.
    fn due(&self) -> Instant {
        let due = self.shared.loads.borrow().peer_loads.due();
        Instant::now() + due.saturating_sub(self.shared.clock.now())
    }

    /// Requests in flight have changed, or a server has said that it leaves.
    fn take_change(&mut self) {
        let left = std::mem::take(&mut *self.shared.unsent_leaves.borrow_mut());
        let mut loads = self.shared.loads.borrow_mut();
        loads.peer_loads.touch();
        let targets = loads.peer_loads.gossip_targets();
        drop(loads);
        for news in left {
            self.send_all(&Message::ServerLeaves(news), &targets);
        }
    }

    /// Takes in a datagram, and those that have arrived with it.
    fn take_batch(&mut self, length: usize, from: SocketAddr) {
        self.look_at_clock();
        self.take(length, from);
        for _ in 1..BATCH {
            let Ok((length, from)) = self.socket.try_recv_from(&mut self.buffer) else {
                return;
            };
            self.take(length, from);
        }
    }

    fn look_at_clock(&self) -> Timestamp {
        let now = self.shared.clock.now();
        self.shared.peers.borrow_mut().now = now;
        now
    }

    fn take(&mut self, length: usize, from: SocketAddr) {
        let ip = from.ip();
        match Message::read(&self.buffer[..length]) {
            Some(Message::Hello(hello)) => take_hello(&self.shared, ip, hello),
            Some(Message::Use { uses, store }) => {
                let now = self.shared.clock.now();
                self.shared
                    .loads
                    .borrow_mut()
                    .apply_in_flight_update(now, ip, &uses);
                self.shared.capacity_changed.notify_one();
                take_store_news(&self.shared, ip, store);
            }
            Some(Message::AskRoster { server }) => self.tell_roster(server, from),
            Some(Message::GroupNews(news)) => self.take_group(news),
            Some(Message::ServerLeaves(news)) => {
                // One that is new here is passed on.
                self.shared
                    .record_leaving_server(&news.server, news.life, &ip.to_string());
            }
            // The rest is for agents, or can't be read.
            _ => {}
        }
    }

    fn tell_roster(&self, server: SocketAddr, to: SocketAddr) {
        if let Some(roster) = roster(&self.shared, server) {
            self.send(&Message::Roster(roster), to);
        }
    }

    /// Takes in a word on a group, and passes it on to the entries that this one tells of the others.
    fn take_group(&mut self, news: GroupNews) {
        let service = self.shared.replica.borrow().service_at(news.server);
        let Some(service) = service else {
            return;
        };
        let now = self.shared.clock.now();
        let mut loads = self.shared.loads.borrow_mut();
        loads.apply_group_status(now, &service, news.epoch, news.works, news.pace);
        self.shared.capacity_changed.notify_one();
        let last = self.words.get(&service).copied();
        if last.is_some_and(|(works, at)| works == news.works && now < at + WORD_PAUSE) {
            return;
        }
        self.words.insert(service, (news.works, now));
        let members: Vec<IpAddr> = loads.peer_loads.members().collect();
        drop(loads);
        self.send_all(&Message::GroupNews(news), &members);
    }

    /// One round of signs of life.
    fn round(&mut self) {
        let now = self.look_at_clock();
        if now > self.last_round + STOPPED_FOR {
            self.drop_stale();
            log_event!(
                events::PROCESS_STALLED,
                for_ms = (now - self.last_round).as_millis() as u64; "the process stood still"
            );
        }
        self.last_round = now;
        let targets = self.begin_round(now);
        let settings = self.shared.settings();
        let message = Message::Hello(Hello {
            name: settings.name.clone(),
            store: store_news(&self.shared),
            members: self.shared.peers.borrow().gossip.told(now).into(),
        });
        self.send_all(&message, &targets);
    }

    /// The entries to tell in this round.
    fn begin_round(&self, now: Timestamp) -> Vec<IpAddr> {
        let mut peers = self.shared.peers.borrow_mut();
        let seeds = self.shared.settings().seeds.clone();
        peers.gossip.set_standing(self.shared.entry_state.get());
        peers.gossip.set_seeds(seeds.iter().map(SocketAddr::ip));
        for change in peers.gossip.take_silent(now) {
            log_change(&peers, change);
        }
        let mut targets = peers.gossip.begin_round(now, || self.shared.draw());
        let mut loads = self.shared.loads.borrow_mut();
        if loads.peer_loads.assign(now, &peers.gossip) {
            log_event!(
                events::AGGREGATOR_CHANGED,
                role = format!("{:?}", loads.peer_loads.role()), alive = peers.count_alive();
                "whom this entry tells what it has in flight"
            );
        }
        targets.extend(loads.peer_loads.gossip_targets());
        targets.sort_unstable();
        targets.dedup();
        targets
    }

    /// Drops what arrived while the process stood still: it would pass for new.
    fn drop_stale(&mut self) {
        while self.socket.try_recv_from(&mut self.buffer).is_ok() {}
    }

    /// Tells what is in flight, to those for whom it is this entry's turn.
    fn tell_use(&self) {
        let now = self.shared.clock.now();
        let tellings = self.shared.loads.borrow_mut().prepare_updates(now);
        let store = store_news(&self.shared);
        for Telling { to, news } in tellings {
            let mut uses = news;
            for (ip, echo) in to {
                if let Scope::Fleet { echo: told } = &mut uses.scope {
                    *told = echo;
                }
                let message = Message::Use {
                    uses: uses.clone(),
                    store,
                };
                self.send_all(&message, &[ip]);
            }
        }
    }

    fn send_all(&self, message: &Message, targets: &[IpAddr]) {
        let Some(bytes) = message.bytes() else {
            return;
        };
        let port = self.shared.settings().ports.0;
        for ip in targets {
            // A datagram that can't be sent is like one that is lost.
            let _ = self.socket.try_send_to(&bytes, SocketAddr::new(*ip, port));
        }
    }

    fn send(&self, message: &Message, to: SocketAddr) {
        if let Some(bytes) = message.bytes() {
            // The one who asked asks again when this is lost.
            let _ = self.socket.try_send_to(&bytes, to);
        }
    }
}

/// What this process knows of the store, for the others.
fn store_news(shared: &SharedState) -> StoreNews {
    let replica = shared.replica.borrow();
    let age = shared.elapsed_since(replica.verified_at);
    StoreNews {
        at: replica.revision.unwrap_or_default(),
        age_ms: age.as_millis() as u32,
        digest: replica.digest,
    }
}

/// What the agent beside a server has to know.
fn roster(shared: &Rc<SharedState>, server: SocketAddr) -> Option<Roster> {
    let replica = shared.replica.borrow();
    let catalog = replica.catalog.as_ref()?;
    let service = replica.service_at(server)?;
    let engine = catalog.services.get(&service)?.engine.as_ref()?;
    let all = replica.servers.all().map(|it| &it.record);
    let servers: Vec<&ServerRecord> = all.filter(|it| it.service == service).collect();
    let peers = shared.peers.borrow();
    let each = match peers.gossip.is_direct() {
        true => usize::MAX,
        false => TOLD_OF_EACH,
    };
    Some(Roster {
        experts: engine.experts?,
        idle_pass: engine.step * engine.stride,
        gap: catalog.gap(&service).unwrap_or(DEFAULT_EVENT_GAP),
        servers: in_turn(&servers),
        entries: peers.ips_per_domain(each),
    })
}

/// Addresses of servers in an order that all entries find alike and that goes round the failure domains.
fn in_turn(servers: &[&ServerRecord]) -> Vec<SocketAddr> {
    let nodes: Vec<Node> = servers
        .iter()
        .map(|it| Node {
            id: &it.id,
            domain: &it.domain,
        })
        .collect();
    let order = subset::pick(0, &nodes, nodes.len());
    order.into_iter().map(|it| servers[it].addr).collect()
}

fn take_hello(shared: &Rc<SharedState>, from: IpAddr, hello: Hello) {
    let mut peers = shared.peers.borrow_mut();
    peers.set_name(from, hello.name);
    let now = peers.now;
    let changes = peers.gossip.take(now, from, hello.members.into());
    for change in changes {
        log_change(&peers, change);
    }
    drop(peers);
    take_store_news(shared, from, hello.store);
}

fn log_change(peers: &Peers, change: Change) {
    let (ip, what) = match change {
        Change::Joined(ip) => (ip, "entry has started"),
        Change::Standing(ip) => (ip, "entry has another standing"),
        Change::Silent(ip) => (ip, "entry is silent"),
        Change::Back(ip) => (ip, "entry is heard again"),
    };
    let Some(member) = peers.gossip.member(ip) else {
        return;
    };
    log_event!(
        events::MEMBER_CHANGED,
        peer = peers.name_of(ip), life = member.news.life,
        standing = format!("{:?}", member.news.standing),
        heard_ms = peers.now.saturating_sub(member.heard).as_millis() as u64;
        "{what}"
    );
}

/// A peer that knows the same, and has asked the store later, makes what is known here fresher.
fn take_store_news(shared: &Rc<SharedState>, from: IpAddr, news: StoreNews) {
    shared.peers.borrow_mut().record_store_status(from, news);
    let now = shared.clock.now();
    let asked = now.saturating_sub(Duration::from_millis(u64::from(news.age_ms)));
    let mut replica = shared.replica.borrow_mut();
    if replica.revision.is_none_or(|at| news.at > at) && news.digest != replica.digest {
        shared.store_read_requested.notify_one();
        return;
    }
    if news.digest == replica.digest {
        replica.confirm(asked, news.at);
    }
}
