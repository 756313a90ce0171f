//! Simulation of a fleet of entries that exchange gossip and in-flight sums, in virtual time.

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

/// Time between two gossip rounds of an entry.
const ROUND: Duration = Duration::from_millis(200);

/// Time step of the simulation.
const STEP: Duration = Duration::from_millis(2);

/// Approximate size of a member in a message.
const MEMBER_BYTES: usize = 12;

/// Approximate size of a server in a message.
const SERVER_BYTES: usize = 8;

/// Size of a message's headers.
const HEAD_BYTES: usize = 60;

#[derive(Clone)]
enum Content {
    Members(Vec<MemberStatus>),
    InFlight(InFlightUpdate),
}

/// Simulated entry.
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
    pub other_domain_bytes: u64,
}

/// Faults of the network.
pub struct Network {
    /// Part of the messages that is lost.
    pub loss: f64,
    /// Failure domain that is partitioned from the others.
    pub partitioned_domain: Option<usize>,
}

pub struct World {
    pub now: Timestamp,
    pub nodes: Vec<Node>,
    pub network: Network,
    in_transit: BinaryHeap<Reverse<(Timestamp, u64, usize, usize)>>,
    contents: BTreeMap<u64, Content>,
    messages: u64,
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

fn node(
    index: usize,
    domains: usize,
    config: &GossipConfig,
    now: Timestamp,
    incarnation: u32,
) -> Node {
    let own = MemberStatus {
        ip: ip(index),
        incarnation,
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
        sums: LoadSums::new(LoadSumsConfig::default(), incarnation),
        is_running: true,
        own: BTreeMap::new(),
        next_round: now + Duration::from_millis((index * 37 % 200) as u64),
        sent: 0,
        received: 0,
        sent_bytes: 0,
        other_domain_bytes: 0,
    }
}

impl World {
    /// Starts `count` entries at once that know three addresses.
    pub fn start(count: usize, domains: usize, config: &GossipConfig, seed: u64) -> Self {
        let nodes = (0..count).map(|it| node(it, domains, config, Timestamp::ZERO, 1));
        Self {
            now: Timestamp::ZERO,
            nodes: nodes.collect(),
            network: Network {
                loss: 0.0,
                partitioned_domain: None,
            },
            in_transit: BinaryHeap::new(),
            contents: BTreeMap::new(),
            messages: 0,
            draws: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Restarts a stopped entry with another incarnation.
    pub fn restart(
        &mut self,
        which: usize,
        domains: usize,
        config: &GossipConfig,
        incarnation: u32,
    ) {
        self.nodes[which] = node(which, domains, config, self.now, incarnation);
    }

    pub fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.step();
        }
    }

    /// Runs until a condition holds; returns the time that it took, or `None` beyond the limit.
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
                self.send_due_updates(from);
            }
        }
    }

    fn deliver(&mut self) {
        while let Some(Reverse((at, message, from, to))) = self.in_transit.peek().copied() {
            if at > self.now {
                return;
            }
            self.in_transit.pop();
            let content = self.contents.remove(&message).unwrap();
            let sender = self.nodes[from].ip;
            let now = self.now;
            let node = &mut self.nodes[to];
            if !node.is_running {
                continue;
            }
            node.received += 1;
            match content {
                Content::Members(payload) => drop(node.gossip.receive(now, sender, payload)),
                Content::InFlight(payload) => drop(node.sums.receive(now, sender, &payload)),
            }
        }
    }

    fn send_due_updates(&mut self, from: usize) {
        let now = self.now;
        if self.nodes[from].next_round <= now {
            self.nodes[from].next_round += ROUND;
            self.gossip_round(from);
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
        for outgoing in node.sums.prepare_updates(now, own) {
            for (to, last_report) in outgoing.recipients {
                let mut payload = outgoing.update.clone();
                if let LoadScope::Fleet { acked_sequence } = &mut payload.scope {
                    *acked_sequence = last_report;
                }
                self.send(from, to, Content::InFlight(payload));
            }
        }
    }

    fn gossip_round(&mut self, from: usize) {
        let now = self.now;
        let draws = &mut self.draws;
        let node = &mut self.nodes[from];
        let mut targets = node.gossip.begin_round(now, || draws.random());
        node.sums.update_role(now, &node.gossip);
        targets.extend(node.sums.gossip_targets());
        targets.sort_unstable();
        targets.dedup();
        let payload = node.gossip.statuses_to_send(now);
        for to in targets {
            self.send(from, to, Content::Members(payload.clone()));
        }
    }

    fn send(&mut self, from: usize, to: IpAddr, content: Content) {
        let to = index(to);
        let bytes = HEAD_BYTES
            + match &content {
                Content::Members(payload) => payload.len() * MEMBER_BYTES,
                Content::InFlight(payload) => payload.servers.len() * SERVER_BYTES,
            };
        let is_other_domain = self
            .nodes
            .get(to)
            .is_none_or(|it| it.domain != self.nodes[from].domain);
        let sender = &mut self.nodes[from];
        sender.sent += 1;
        sender.sent_bytes += bytes as u64;
        sender.other_domain_bytes += if is_other_domain { bytes as u64 } else { 0 };
        if to >= self.nodes.len() || self.is_lost(from, to) {
            return;
        }
        let delay = Duration::from_micros(self.draws.random_range(200..2_500));
        self.messages += 1;
        self.contents.insert(self.messages, content);
        self.in_transit
            .push(Reverse((self.now + delay, self.messages, from, to)));
    }

    fn is_lost(&mut self, from: usize, to: usize) -> bool {
        let (a, b) = (self.nodes[from].domain, self.nodes[to].domain);
        let is_partitioned = a != b
            && (self.network.partitioned_domain == Some(a)
                || self.network.partitioned_domain == Some(b));
        is_partitioned || self.draws.random_bool(self.network.loss)
    }

    /// Returns whether every running entry knows exactly the other running entries to be alive.
    pub fn all_memberships_are_right(&self) -> bool {
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

    /// Returns the requests of all entries but one at a server.
    pub fn true_others(&self, which: usize, server: ServerTag) -> u32 {
        let others = self.nodes.iter().enumerate();
        let others = others.filter(|(index, it)| *index != which && it.is_running);
        others.filter_map(|(_, it)| it.own.get(&server)).sum()
    }

    /// Returns the number of running entries whose sums differ from the true requests.
    pub fn entries_with_wrong_sums(&self, servers: ServerTag) -> usize {
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

    /// Starts or ends requests at random servers.
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
