//! Datagrams between entries and with agents: heartbeats, requests in flight, revisions of the
//! store replica, group status, and what servers state: that they leave, and the rates that they
//! accept.

use std::{
    net::{IpAddr, SocketAddr},
    rc::Rc,
    time::Duration,
};

use jj_news::{
    GroupStatus, Hello, MAX_DATAGRAM_BYTES, MAX_RATES, Message, Roster, StoreStatus, server_tag,
};
use jj_policy::{
    gossip::{EntryState, MemberChange},
    group_members::GroupTag,
    load_sums::{LoadScope, OutgoingUpdate},
    rate_limits::RateStatement,
    server_list::{Era, ServerRecord},
    subset::{self, Node},
};
use jj_utils::{clock::Timestamp, collections::FastMap, events, ids::ServiceId, log_event};
use tokio::{
    net::UdpSocket,
    time::{Instant, MissedTickBehavior},
};

use crate::{
    peers::{Peers, ReplicaStatus},
    prompt_guard, rate_limits,
    shared_state::SharedState,
    store_replica::DEFAULT_EVENT_GAP,
};

/// Time between two rounds of heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);

/// Time between two rounds beyond which the process is taken to have been stalled.
const STALL_THRESHOLD: Duration = Duration::from_millis(600);

/// Maximum number of datagrams that are read at once.
const MAX_BATCH: usize = 64;

/// Number of heartbeat rounds between two messages on suspects and rates that have not changed.
const NEWS_INTERVAL_ROUNDS: u64 = 5;

/// Entries of each failure domain to which agents report the group status in a large fleet.
const ROSTER_ENTRIES_PER_DOMAIN: usize = 2;

/// Time within which an unchanged status of a group is forwarded only once.
const GROUP_STATUS_INTERVAL: Duration = Duration::from_millis(150);

/// Exchanges datagrams for as long as the process runs.
pub async fn run(shared: Rc<SharedState>, socket: Rc<UdpSocket>) {
    let mut tick = tokio::time::interval(HEARTBEAT_INTERVAL);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut exchange = PeerDatagrams {
        last_round_at: shared.clock.now(),
        announced_state: EntryState::Starting,
        round: 0,
        buffer: vec![0; MAX_DATAGRAM_BYTES],
        forwarded_group_status: FastMap::default(),
        shared,
        socket,
    };
    loop {
        let due = exchange.next_update_at();
        tokio::select! {
            received = exchange.socket.recv_from(&mut exchange.buffer) => {
                if let Ok((length, from)) = received {
                    exchange.handle_batch(length, from);
                }
            }
            _ = tick.tick() => exchange.send_heartbeats(),
            () = exchange.shared.news_to_send.notified() => exchange.handle_local_news(),
            () = tokio::time::sleep_until(due) => exchange.send_in_flight_updates(),
        }
    }
}

/// Task state of the datagram exchange.
struct PeerDatagrams {
    shared: Rc<SharedState>,
    socket: Rc<UdpSocket>,
    buffer: Vec<u8>,
    last_round_at: Timestamp,
    /// State of this entry in the last heartbeats.
    announced_state: EntryState,
    /// Number of heartbeat rounds.
    round: u64,
    /// Whether each group works according to the news forwarded last, and when that was.
    forwarded_group_status: FastMap<(ServiceId, GroupTag), (bool, Timestamp)>,
}

impl PeerDatagrams {
    /// Returns when the next messages on requests in flight are due.
    fn next_update_at(&self) -> Instant {
        let due = self.shared.loads.borrow().peer_loads.next_send_at();
        Instant::now() + due.saturating_sub(self.shared.clock.now())
    }

    /// Marks the requests in flight as changed, and sends the notices of leaving servers. A shutdown
    /// of this entry goes out with a round of heartbeats.
    fn handle_local_news(&mut self) {
        if self.shared.entry_state.get() != self.announced_state {
            self.send_heartbeats();
        }
        let leaves = std::mem::take(&mut *self.shared.unsent_leaves.borrow_mut());
        let mut loads = self.shared.loads.borrow_mut();
        loads.peer_loads.mark_changed();
        let targets = loads.peer_loads.gossip_targets();
        drop(loads);
        for news in leaves {
            self.send_all(&Message::ServerLeaves(news), &targets);
        }
        if self.shared.has_unsent_suspects.take() {
            self.send_suspects(&targets);
        }
        let rates = std::mem::take(&mut *self.shared.unsent_rates.borrow_mut());
        self.send_rates(rates, &targets);
    }

    /// Sends the rates that servers accept.
    fn send_rates(&self, rates: Vec<RateStatement>, targets: &[IpAddr]) {
        for part in rates.chunks(MAX_RATES) {
            self.send_all(&Message::ServerRates(part.to_vec()), targets);
        }
    }

    /// Applies the rates that another entry knows, and tells it where it knows less.
    fn receive_rates(&self, told: &[RateStatement], from: IpAddr) {
        let by = from.to_string();
        let replies = told
            .iter()
            .filter_map(|it| rate_limits::apply_news(&self.shared, it, &by));
        self.send_rates(replies.collect(), &[from]);
    }

    /// Sends what is known of crashes of servers and their suspects, if there is anything.
    fn send_suspects(&self, targets: &[IpAddr]) {
        let news = prompt_guard::news(&self.shared).into_iter();
        for part in news.filter(|it| !it.is_empty()) {
            self.send_all(&Message::Suspects(part), targets);
        }
    }

    /// Handles a received datagram and, up to [`MAX_BATCH`], those already waiting on the socket.
    fn handle_batch(&mut self, length: usize, from: SocketAddr) {
        self.update_time();
        self.handle_datagram(length, from);
        for _ in 1..MAX_BATCH {
            let Ok((length, from)) = self.socket.try_recv_from(&mut self.buffer) else {
                return;
            };
            self.handle_datagram(length, from);
        }
    }

    /// Reads the clock and sets the current time of the membership.
    fn update_time(&self) -> Timestamp {
        let now = self.shared.clock.now();
        self.shared.peers.borrow_mut().now = now;
        now
    }

    /// Handles one datagram.
    fn handle_datagram(&mut self, length: usize, from: SocketAddr) {
        let ip = from.ip();
        match Message::decode(&self.buffer[..length]) {
            Some(Message::Hello(hello)) => self.receive_hello(ip, hello),
            Some(Message::InFlight { uses, store, era }) => {
                let now = self.shared.clock.now();
                self.shared
                    .loads
                    .borrow_mut()
                    .apply_in_flight_update(now, ip, &uses);
                self.shared.capacity_changed.notify_one();
                apply_store_status(&self.shared, ip, store, era);
            }
            Some(Message::AskRoster { server, group }) => self.send_roster(server, group, from),
            Some(Message::GroupStatus(news)) => self.receive_group_status(news),
            Some(Message::ServerLeaves(news)) => {
                // A new notice is forwarded to other entries.
                self.shared
                    .record_leaving_server(&news.server, news.incarnation, &ip.to_string());
            }
            Some(Message::Suspects(news)) => {
                prompt_guard::apply_news(&self.shared, &news, &ip.to_string());
            }
            Some(Message::ServerRates(rates)) => self.receive_rates(&rates, ip),
            // Other messages are for agents; unreadable ones are ignored.
            _ => {}
        }
    }

    /// Applies an entry's heartbeat. One that has appeared waits for news of suspects before it sends
    /// requests.
    fn receive_hello(&self, from: IpAddr, hello: Hello) {
        if apply_hello(&self.shared, from, hello) {
            self.send_rates(rate_limits::news(&self.shared), &[from]);
            for part in prompt_guard::news(&self.shared) {
                self.send_all(&Message::Suspects(part), &[from]);
            }
        }
    }

    /// Sends an agent the roster of its service, if that is known, without servers that are known to be
    /// in another group.
    fn send_roster(&self, server: SocketAddr, group: GroupTag, to: SocketAddr) {
        record_member(&self.shared, server, group);
        if let Some(roster) = roster(&self.shared, server, group) {
            self.send(&Message::Roster(roster), to);
        }
    }

    /// Applies an agent's report on its group, and forwards it to the entries that report to this
    /// one.
    fn receive_group_status(&mut self, news: GroupStatus) {
        let reporter = self.shared.replica.borrow().server_at(news.server).cloned();
        let Some(reporter) = reporter else {
            return;
        };
        let now = self.shared.clock.now();
        record_servers(&self.shared, &reporter.service, &news);
        let mut loads = self.shared.loads.borrow_mut();
        loads.apply_group_status(now, (&reporter.service, &reporter.id), &news);
        self.shared.capacity_changed.notify_one();
        let key = (reporter.service, news.group);
        let last = self.forwarded_group_status.get(&key).copied();
        let is_known = news.servers.is_empty()
            && last.is_some_and(|(works, at)| {
                works == news.is_open && now < at + GROUP_STATUS_INTERVAL
            });
        if is_known {
            return;
        }
        self.forwarded_group_status.insert(key, (news.is_open, now));
        let members: Vec<IpAddr> = loads.peer_loads.members().collect();
        drop(loads);
        self.send_all(&Message::GroupStatus(news), &members);
    }

    /// Sends one round of heartbeats. After a stall, datagrams that arrived meanwhile are dropped
    /// first.
    fn send_heartbeats(&mut self) {
        let now = self.update_time();
        if now > self.last_round_at + STALL_THRESHOLD {
            self.drop_stale_datagrams();
            log_event!(
                events::PROCESS_STALLED,
                for_ms = (now - self.last_round_at).as_millis() as u64; "the process was stalled"
            );
        }
        self.last_round_at = now;
        self.announced_state = self.shared.entry_state.get();
        let targets = self.begin_round(now);
        let settings = self.shared.settings();
        let message = Message::Hello(Hello {
            name: settings.name.clone(),
            era: self.shared.store_position().era,
            store: store_status(&self.shared),
            members: self
                .shared
                .peers
                .borrow()
                .gossip
                .statuses_to_send(now)
                .into(),
        });
        self.send_all(&message, &targets);
        self.round += 1;
        if self.round.is_multiple_of(NEWS_INTERVAL_ROUNDS) {
            self.send_suspects(&targets);
            self.send_rates(rate_limits::news(&self.shared), &targets);
        }
    }

    /// Updates the membership and this entry's role, and returns the recipients of this round.
    fn begin_round(&self, now: Timestamp) -> Vec<IpAddr> {
        let mut peers = self.shared.peers.borrow_mut();
        let seeds = self.shared.settings().seeds.clone();
        peers.gossip.set_state(self.shared.entry_state.get());
        peers.gossip.set_seeds(seeds.iter().map(SocketAddr::ip));
        for change in peers.gossip.take_newly_silent(now) {
            log_change(&peers, change);
        }
        let mut targets = peers.gossip.begin_round(now, || self.shared.draw());
        let mut loads = self.shared.loads.borrow_mut();
        if loads.peer_loads.update_role(now, &peers.gossip) {
            log_event!(
                events::AGGREGATOR_CHANGED,
                role = format!("{:?}", loads.peer_loads.role()), alive = peers.count_alive();
                "role in the exchange of load data changed"
            );
        }
        targets.extend(loads.peer_loads.gossip_targets());
        targets.sort_unstable();
        targets.dedup();
        targets
    }

    /// Drops datagrams that arrived during a stall, which would be taken for current ones.
    fn drop_stale_datagrams(&mut self) {
        while self.socket.try_recv_from(&mut self.buffer).is_ok() {}
    }

    /// Sends the messages on requests in flight that are due.
    fn send_in_flight_updates(&self) {
        let now = self.shared.clock.now();
        let updates = self.shared.loads.borrow_mut().prepare_updates(now);
        let store = store_status(&self.shared);
        let era = self.shared.store_position().era;
        for OutgoingUpdate {
            recipients: to,
            update: news,
        } in updates
        {
            let mut uses = news;
            for (ip, echo) in to {
                if let LoadScope::Fleet {
                    acked_sequence: scope_echo,
                } = &mut uses.scope
                {
                    *scope_echo = echo;
                }
                let message = Message::InFlight {
                    uses: uses.clone(),
                    store,
                    era,
                };
                self.send_all(&message, &[ip]);
            }
        }
    }

    /// Sends a message to the datagram port of each of several entries.
    fn send_all(&self, message: &Message, targets: &[IpAddr]) {
        let Some(bytes) = message.encode() else {
            return;
        };
        let port = self.shared.settings().internal_ports.0;
        for ip in targets {
            // A send error is equivalent to a lost datagram.
            let _ = self.socket.try_send_to(&bytes, SocketAddr::new(*ip, port));
        }
    }

    /// Sends a message to one address.
    fn send(&self, message: &Message, to: SocketAddr) {
        if let Some(bytes) = message.encode() {
            // The requester asks again if this datagram is lost.
            let _ = self.socket.try_send_to(&bytes, to);
        }
    }
}

/// Returns revision, age and digest of this process's replica, to be sent to other entries.
fn store_status(shared: &SharedState) -> StoreStatus {
    let replica = shared.replica.borrow();
    let age = shared.elapsed_since(replica.verified_at);
    StoreStatus {
        revision: replica.position.unwrap_or_default().revision,
        age_ms: age.as_millis() as u32,
        digest: replica.digest,
    }
}

/// Records the group of the server at an address, as its agent has named it.
fn record_member(shared: &SharedState, addr: SocketAddr, group: GroupTag) {
    if let Some(record) = shared.replica.borrow().server_at(addr) {
        let now = shared.clock.now();
        let mut loads = shared.loads.borrow_mut();
        loads.record_member(now, &record.service, &record.id, group);
    }
}

/// Records the servers that an agent has reported for its group.
fn record_servers(shared: &SharedState, service: &str, status: &GroupStatus) {
    if status.servers.is_empty() {
        return;
    }
    let now = shared.clock.now();
    let replica = shared.replica.borrow();
    let mut loads = shared.loads.borrow_mut();
    let records = replica.servers.all().map(|it| &it.record);
    for record in records.filter(|it| it.service == service) {
        let tag = server_tag(&record.addr.to_string());
        if status.servers.contains(&tag) {
            loads.record_member(now, service, &record.id, status.group);
        }
    }
}

/// Returns the roster for the agent of the server at an address, which is in a group; `None` if its
/// service is unknown or its engines have no experts.
fn roster(shared: &Rc<SharedState>, server: SocketAddr, group: GroupTag) -> Option<Roster> {
    let replica = shared.replica.borrow();
    let catalog = replica.catalog.as_ref()?;
    let service = &replica.server_at(server)?.service;
    let engine = catalog.services.get(service)?.engine.as_ref()?;
    let all = replica.servers.all().map(|it| &it.record);
    let now = shared.clock.now();
    let loads = shared.loads.borrow();
    let may_be_member = |it: &&ServerRecord| {
        it.service == *service && !loads.is_in_other_group(now, service, &it.id, group)
    };
    let servers: Vec<&ServerRecord> = all.filter(may_be_member).collect();
    let peers = shared.peers.borrow();
    let entries_per_domain = match peers.gossip.is_full_mesh() {
        true => usize::MAX,
        false => ROSTER_ENTRIES_PER_DOMAIN,
    };
    Some(Roster {
        experts: engine.experts?,
        idle_pass: engine.idle_step * engine.steps_per_pass,
        gap_target: catalog.min_gap_target(service).unwrap_or(DEFAULT_EVENT_GAP),
        servers: interleave_domains(&servers),
        entries: peers.ips_per_domain(entries_per_domain),
        report_lag_ms: engine.report_lag.as_millis() as u32,
    })
}

/// Returns the addresses of servers, alternating between failure domains, in an order that is the
/// same on all entries.
fn interleave_domains(servers: &[&ServerRecord]) -> Vec<SocketAddr> {
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

/// Applies an entry's heartbeat; returns whether the entry is new or was silent.
fn apply_hello(shared: &Rc<SharedState>, from: IpAddr, hello: Hello) -> bool {
    let mut peers = shared.peers.borrow_mut();
    peers.set_name(from, hello.name);
    let now = peers.now;
    let changes = peers.gossip.receive(now, from, hello.members.into());
    let has_appeared = changes.iter().any(|it| match it {
        MemberChange::Joined(ip) | MemberChange::Returned(ip) => *ip == from,
        MemberChange::StateChanged(_) | MemberChange::Silent(_) => false,
    });
    for change in changes {
        log_change(&peers, change);
    }
    drop(peers);
    apply_store_status(shared, from, hello.store, hello.era);
    has_appeared
}

/// Logs a change of the membership.
fn log_change(peers: &Peers, change: MemberChange) {
    let (ip, what) = match change {
        MemberChange::Joined(ip) => (ip, "entry joined"),
        MemberChange::StateChanged(ip) => (ip, "entry changed its state"),
        MemberChange::Silent(ip) => (ip, "entry stopped sending heartbeats"),
        MemberChange::Returned(ip) => (ip, "entry sends heartbeats again"),
    };
    let Some(member) = peers.gossip.member(ip) else {
        return;
    };
    log_event!(
        events::MEMBER_CHANGED,
        peer = peers.name_of(ip), life = member.status.incarnation,
        standing = format!("{:?}", member.status.state),
        heard_ms = peers.now.saturating_sub(member.last_heartbeat).as_millis() as u64;
        "{what}"
    );
}

/// Applies a peer's report on its replica: an equal replica that was verified later confirms this
/// one, a newer one wakes the store task to fetch it.
fn apply_store_status(shared: &Rc<SharedState>, from: IpAddr, news: StoreStatus, era: Era) {
    let theirs = ReplicaStatus {
        position: news.position(era),
        digest: news.digest,
    };
    shared.peers.borrow_mut().record_store_status(from, theirs);
    let now = shared.clock.now();
    let verified_at = now.saturating_sub(Duration::from_millis(u64::from(news.age_ms)));
    let mut replica = shared.replica.borrow_mut();
    let own = ReplicaStatus {
        position: replica.position.unwrap_or_default(),
        digest: replica.digest,
    };
    if theirs.is_newer_than(&own) {
        shared.store_read_requested.notify_one();
        return;
    }
    if theirs.digest == replica.digest {
        replica.confirm(verified_at, theirs.position);
    }
}
