//! A fleet of entries in virtual time that tell each other who is alive and what is in flight.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    net::{IpAddr, Ipv4Addr},
    time::Duration,
};

use jj_policy::{
    gossip::{EntryState, Gossip, GossipConfig, MemberStatus},
    load_sums::{
        InFlightUpdate, LoadScope, LoadSums, LoadSumsConfig, LocalInFlight, ServerInFlight,
        ServerTag,
    },
};
use jj_utils::clock::Timestamp;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Time between two rounds of an entry.
const ROUND: Duration = Duration::from_millis(200);

/// Time that a step of the world takes.
const STEP: Duration = Duration::from_millis(2);

/// Bytes of a member in a message, about.
const MEMBER_BYTES: usize = 12;

/// Bytes of a server in a message, about.
const USE_BYTES: usize = 8;

/// Bytes of a message's headers.
const HEAD_BYTES: usize = 60;

#[derive(Clone)]
enum Content {
    Members(Vec<MemberStatus>),
    Uses(InFlightUpdate),
}

/// One entry.
pub struct Node {
    pub ip: IpAddr,
    pub domain: usize,
    pub gossip: Gossip,
    pub sums: LoadSums,
    pub is_running: bool,
    /// Requests in flight by server.
    pub own: BTreeMap<ServerTag, u32>,
    next_round: Timestamp,
    pub sent: u64,
    pub received: u64,
    pub sent_bytes: u64,
    pub far_bytes: u64,
}

/// Messages that can't be passed on.
pub struct Network {
    /// Part of the messages that is lost.
    pub loss: f64,
    /// Domain that is cut off.
    pub cut: Option<usize>,
}

pub struct World {
    pub now: Timestamp,
    pub nodes: Vec<Node>,
    pub network: Network,
    mail: BinaryHeap<Reverse<(Timestamp, u64, usize, usize)>>,
    contents: BTreeMap<u64, Content>,
    letters: u64,
    pub draws: Pcg64Mcg,
}

pub fn ip(index: usize) -> IpAddr {
    Ipv4Addr::new(10, 1, (index / 250) as u8, 1 + (index % 250) as u8).into()
}

fn index(ip: IpAddr) -> usize {
    match ip {
        IpAddr::V4(it) => {
            let [_, _, high, low] = it.octets();
            usize::from(high) * 250 + usize::from(low) - 1
        }
        IpAddr::V6(_) => unreachable!("all addresses are of version 4"),
    }
}

fn node(index: usize, domains: usize, config: &GossipConfig, now: Timestamp, life: u32) -> Node {
    let own = MemberStatus {
        ip: ip(index),
        incarnation: life,
        heartbeat: 0,
        heartbeat_age: Duration::ZERO,
        domain: format!("domain-{}", index % domains),
        state: EntryState::Ready,
    };
    let mut gossip = Gossip::new(config.clone(), own);
    gossip.set_seeds((0..3).map(ip));
    Node {
        ip: ip(index),
        domain: index % domains,
        gossip,
        sums: LoadSums::new(LoadSumsConfig::default(), life),
        is_running: true,
        own: BTreeMap::new(),
        next_round: now + Duration::from_millis((index * 37 % 200) as u64),
        sent: 0,
        received: 0,
        sent_bytes: 0,
        far_bytes: 0,
    }
}

impl World {
    /// Entries that start at once and know three addresses.
    pub fn start(count: usize, domains: usize, config: &GossipConfig, seed: u64) -> Self {
        let nodes = (0..count).map(|it| node(it, domains, config, Timestamp::ZERO, 1));
        Self {
            now: Timestamp::ZERO,
            nodes: nodes.collect(),
            network: Network {
                loss: 0.0,
                cut: None,
            },
            mail: BinaryHeap::new(),
            contents: BTreeMap::new(),
            letters: 0,
            draws: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Starts an entry anew that was stopped.
    pub fn restart(&mut self, which: usize, domains: usize, config: &GossipConfig, life: u32) {
        self.nodes[which] = node(which, domains, config, self.now, life);
    }

    pub fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.step();
        }
    }

    /// Steps until something holds; the time that it took, or none within the limit.
    pub fn run_until(
        &mut self,
        limit: Duration,
        holds: impl Fn(&Self) -> bool,
    ) -> Option<Duration> {
        let begun = self.now;
        while self.now < begun + limit {
            self.step();
            if holds(self) {
                return Some(self.now - begun);
            }
        }
        None
    }

    fn step(&mut self) {
        self.now += STEP;
        self.deliver();
        for from in 0..self.nodes.len() {
            if self.nodes[from].is_running {
                self.act(from);
            }
        }
    }

    fn deliver(&mut self) {
        while let Some(Reverse((at, letter, from, to))) = self.mail.peek().copied() {
            if at > self.now {
                return;
            }
            self.mail.pop();
            let content = self.contents.remove(&letter).unwrap();
            let sender = self.nodes[from].ip;
            let now = self.now;
            let node = &mut self.nodes[to];
            if !node.is_running {
                continue;
            }
            node.received += 1;
            match content {
                Content::Members(news) => drop(node.gossip.receive(now, sender, news)),
                Content::Uses(news) => drop(node.sums.receive(now, sender, &news)),
            }
        }
    }

    fn act(&mut self, from: usize) {
        let now = self.now;
        if self.nodes[from].next_round <= now {
            self.nodes[from].next_round += ROUND;
            self.round(from);
        }
        let node = &mut self.nodes[from];
        if node.sums.next_send_at() > now {
            return;
        }
        let uses = node.own.iter().map(|(server, requests)| ServerInFlight {
            server: *server,
            requests: *requests,
            avoid_ms: 0,
            pauses: 0,
        });
        let own = LocalInFlight {
            servers: uses.collect(),
            tokens: Vec::new(),
        };
        for telling in node.sums.prepare_updates(now, own) {
            for (to, echo) in telling.recipients {
                let mut news = telling.update.clone();
                if let LoadScope::Fleet {
                    acked_sequence: told,
                } = &mut news.scope
                {
                    *told = echo;
                }
                self.send(from, to, Content::Uses(news));
            }
        }
    }

    fn round(&mut self, from: usize) {
        let now = self.now;
        let draws = &mut self.draws;
        let node = &mut self.nodes[from];
        let mut targets = node.gossip.begin_round(now, || draws.random());
        node.sums.update_role(now, &node.gossip);
        targets.extend(node.sums.gossip_targets());
        targets.sort_unstable();
        targets.dedup();
        let news = node.gossip.statuses_to_send(now);
        for to in targets {
            self.send(from, to, Content::Members(news.clone()));
        }
    }

    fn send(&mut self, from: usize, to: IpAddr, content: Content) {
        let to = index(to);
        let bytes = HEAD_BYTES
            + match &content {
                Content::Members(news) => news.len() * MEMBER_BYTES,
                Content::Uses(news) => news.servers.len() * USE_BYTES,
            };
        let is_far = self
            .nodes
            .get(to)
            .is_none_or(|it| it.domain != self.nodes[from].domain);
        let sender = &mut self.nodes[from];
        sender.sent += 1;
        sender.sent_bytes += bytes as u64;
        sender.far_bytes += if is_far { bytes as u64 } else { 0 };
        if to >= self.nodes.len() || self.is_lost(from, to) {
            return;
        }
        let delay = Duration::from_micros(self.draws.random_range(200..2_500));
        self.letters += 1;
        self.contents.insert(self.letters, content);
        self.mail
            .push(Reverse((self.now + delay, self.letters, from, to)));
    }

    fn is_lost(&mut self, from: usize, to: usize) -> bool {
        let (a, b) = (self.nodes[from].domain, self.nodes[to].domain);
        let is_cut = a != b && (self.network.cut == Some(a) || self.network.cut == Some(b));
        is_cut || self.draws.random_bool(self.network.loss)
    }

    /// Whether everybody who runs knows that all who run are alive, and nobody else.
    pub fn all_know_all(&self) -> bool {
        let running = self.nodes.iter().filter(|it| it.is_running);
        let running: Vec<&Node> = running.collect();
        running.iter().all(|it| {
            let alive = it.gossip.alive_members(self.now).count();
            alive + 1 == running.len()
                && running
                    .iter()
                    .all(|other| other.ip == it.ip || it.gossip.is_alive(self.now, other.ip))
        })
    }

    /// Requests of all others than one at a server.
    pub fn true_others(&self, which: usize, server: ServerTag) -> u32 {
        let others = self.nodes.iter().enumerate();
        let others = others.filter(|(index, it)| *index != which && it.is_running);
        others.filter_map(|(_, it)| it.own.get(&server)).sum()
    }

    /// Entries that run and believe something else of a server than what is true.
    pub fn wrong(&self, servers: ServerTag) -> usize {
        let running = self
            .nodes
            .iter()
            .enumerate()
            .filter(|(_, it)| it.is_running);
        let is_wrong = |(which, node): &(usize, &Node)| {
            (0..servers).any(|it| node.sums.remote_requests(it) != self.true_others(*which, it))
        };
        running.filter(is_wrong).count()
    }

    /// Begins or ends requests at random servers.
    pub fn churn(&mut self, servers: ServerTag, count: usize) {
        for _ in 0..count {
            let which = self.draws.random_range(0..self.nodes.len());
            let server = self.draws.random_range(0..servers);
            let node = &mut self.nodes[which];
            match self.draws.random_bool(0.5) {
                true => *node.own.entry(server).or_default() += 1,
                false => {
                    node.own.pop_first();
                }
            }
            node.sums.mark_changed();
        }
    }
}
