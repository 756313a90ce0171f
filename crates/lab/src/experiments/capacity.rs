//! Slopes behind docs/CAPACITY.md: what the control state of one process costs as the fleet grows.

use std::{
    fmt::Write,
    hint::black_box,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use jj_node::{
    fleet::FleetConfig,
    heartbeats,
    peers::{PeerSelector, Peers},
};
use jj_operator::{
    documents::{Account, AccountsDocument, FleetDocument, Manifest},
    published::{Bundle, FORMAT, Published, digest_of},
};
use jj_peer::control::{Heartbeat, LoadReport};
use jj_platform::wire::{Instance, InstanceList, Role};
use jj_policy::{
    addresses::{self, AddressConfig, CoveringEntry},
    membership::{self, ListedInstance, MemberState, Membership, MembershipConfig},
    rendezvous::key_hash,
    routing::{self, Candidate, RequestFacts, RoutingConfig},
    subset::Node,
};
use jj_utils::collections::FastMap;

use crate::{
    experiments::{agent_slopes, leader_bytes},
    publication::Publication,
};

/// Fleets measured; the first two are of today's size, the last is the size to come.
const FLEETS: [FleetSize; 5] = [
    FleetSize::new(6, 19, 2),
    FleetSize::new(9, 19, 2),
    FleetSize::new(24, 40, 4),
    FleetSize::new(96, 160, 10),
    FleetSize::new(390, 650, 28),
];

/// Client accounts measured; the last is the size to come.
const ACCOUNTS: [usize; 4] = [10, 500, 2_000, 8_100];

/// Candidates of one service measured.
const CANDIDATES: [usize; 4] = [4, 16, 64, 256];

/// Accounts in one document.
const SHARD: usize = 256;

/// Failure domains.
const DOMAINS: usize = 5;

/// Entries that cover one service.
const COVERING: usize = 16;

/// Runs of each timed call; the middle one counts.
const RUNS: usize = 9;

/// Bytes of the headers of one UDP datagram over IPv4.
const UDP_HEADERS: usize = 28;

#[derive(Clone, Copy)]
struct FleetSize {
    entries: usize,
    agents: usize,
    services: usize,
}

impl FleetSize {
    const fn new(entries: usize, agents: usize, services: usize) -> Self {
        Self {
            entries,
            agents,
            services,
        }
    }
}

/// Markdown tables of all slopes.
pub fn run(seed: u64) -> String {
    let mut text = String::new();
    heartbeat_table(&mut text);
    links_table(&mut text);
    fleet_table(&mut text);
    leader_bytes::table(&mut text, seed);
    if let Err(error) = agent_slopes::table(&mut text) {
        let _ = writeln!(text, "agent not measured: {error:#}\n");
    }
    routing_table(&mut text);
    configuration_table(&mut text);
    text
}

fn heartbeat_table(text: &mut String) {
    let json = serde_json::to_string(&heartbeat(true)).map_or(0, |json| json.len());
    let [question, agent] = datagrams(true);
    let [_, entry] = datagrams(false);
    let _ = writeln!(text, "| datagram, with headers | bytes |\n|---|---|");
    let _ = writeln!(text, "| question | {question} |");
    let _ = writeln!(text, "| answer of an entry | {entry} |");
    let _ = writeln!(text, "| answer of an agent | {agent} |");
    let _ = writeln!(text, "| the same as JSON, without any headers | {json} |\n");
}

/// Bytes of a question and its answer, headers included.
fn datagrams(has_load: bool) -> [usize; 2] {
    heartbeats::datagram_sizes(&heartbeat(has_load)).map(|bytes| bytes + UDP_HEADERS)
}

fn heartbeat(has_load: bool) -> Heartbeat {
    let load = LoadReport {
        limit: 64,
        running: 48,
        waiting: 12,
        latency: 900_000,
        reachable: true,
        leaving: false,
    };
    Heartbeat {
        instance: "instance-0123".into(),
        incarnation: 1_796_334_374_138,
        domain: "region-1-domain-2".into(),
        index: 1_000_000,
        platform_age: Some(2_000),
        clock: 86_400_000_000,
        draining: false,
        load: has_load.then_some(load),
    }
}

/// Bytes of heartbeats of one process, both ways, in a second.
#[derive(Default, Clone, Copy)]
struct Links {
    asks_agents: usize,
    asks_entries: usize,
    asked: usize,
}

impl Links {
    fn bytes(self, role: Role) -> f64 {
        let exchange = |has_load| datagrams(has_load).into_iter().sum::<usize>();
        let answered = exchange(role == Role::Agent);
        let bytes = self.asks_agents * exchange(true)
            + self.asks_entries * exchange(false)
            + self.asked * answered;
        bytes as f64 / FleetConfig::default().heartbeat_interval.as_secs_f64()
    }
}

/// Whom every process of a fleet asks, by its own choice.
fn links(list: &InstanceList) -> FastMap<&str, Links> {
    let config = FleetConfig::default();
    let mut links: FastMap<&str, Links> = FastMap::default();
    let control = |instance: &Instance| instance.control;
    let by_control = list.instances.iter().map(|it| (control(it), it));
    let by_control: FastMap<SocketAddr, &Instance> = by_control.collect();
    for own in &list.instances {
        let chooser = chooser(own, &config);
        let mut peers = Peers::default();
        peers.update(&chooser, list, Duration::ZERO);
        for peer in peers.polled() {
            let asked = by_control[&peer.control];
            let counts = links.entry(own.id.as_str()).or_default();
            match asked.role {
                Role::Agent => counts.asks_agents += 1,
                Role::Entry => counts.asks_entries += 1,
            }
            links.entry(asked.id.as_str()).or_default().asked += 1;
        }
    }
    links
}

fn chooser(own: &Instance, config: &FleetConfig) -> PeerSelector {
    PeerSelector {
        instance: own.id.clone(),
        domain: own.domain.clone(),
        role: own.role,
        witnesses: config.witnesses,
        coverage: config.coverage.clone(),
    }
}

/// Mean and highest.
fn spread(values: impl Iterator<Item = f64>) -> String {
    let values: Vec<f64> = values.collect();
    let mean = values.iter().sum::<f64>() / values.len().max(1) as f64;
    let most = values.iter().copied().fold(0.0, f64::max);
    format!("{mean:.0} / {most:.0}")
}

fn links_table(text: &mut String) {
    let _ = writeln!(
        text,
        "| entries | agents | services | agents of an entry, mean / most | entries of an agent | \
         bytes/s of an entry, mean / most | bytes/s of an agent | choosing peers, ms |\n\
         |---|---|---|---|---|---|---|---|"
    );
    for size in FLEETS {
        let list = Names::new(size).list(size.services);
        let links = links(&list);
        let of_role = |role: Role| {
            let instances = list.instances.iter().filter(move |it| it.role == role);
            instances.filter_map(|it| links.get(it.id.as_str()).copied())
        };
        let bytes = |role: Role| spread(of_role(role).map(|it| it.bytes(role)));
        let config = FleetConfig::default();
        let own = chooser(&list.instances[0], &config);
        let choosing = time(|| {
            let mut peers = Peers::default();
            peers.update(&own, &list, Duration::ZERO);
            black_box(peers.polled());
        });
        let FleetSize {
            entries,
            agents,
            services,
        } = size;
        let _ = writeln!(
            text,
            "| {entries} | {agents} | {services} | {} | {} | {} | {} | {} |",
            spread(of_role(Role::Entry).map(|it| it.asks_agents as f64)),
            spread(of_role(Role::Agent).map(|it| it.asked as f64)),
            bytes(Role::Entry),
            bytes(Role::Agent),
            millis(choosing)
        );
    }
    let _ = writeln!(text);
}

fn fleet_table(text: &mut String) {
    let _ = writeln!(
        text,
        "| entries | agents | states, ms | address answers, ms | one answer for a service, ms | \
         membership, KB |\n|---|---|---|---|---|---|"
    );
    for size in FLEETS {
        let fleet = Names::new(size);
        let (entries, _) = fleet.nodes();
        let before = resident();
        let members = fleet.membership();
        let grown = resident().saturating_sub(before) / 1024;
        let now = Duration::from_secs(1);
        let states = time(|| {
            black_box(members.states(now));
        });
        let config = AddressConfig::default();
        let answers = time(|| {
            for caller in 0..16 {
                black_box(addresses::answer_for_any_service(
                    &config, &members, &entries, caller, now,
                ));
            }
        });
        let covering = entries.iter().take(COVERING).map(|&node| CoveringEntry {
            node,
            state: MemberState::Unknown,
            is_in_service: true,
        });
        let covering: Vec<CoveringEntry<'_>> = covering.collect();
        let named = time(|| {
            black_box(addresses::answer_for_service(
                &config, &covering, "domain-0", 7,
            ));
        });
        let FleetSize {
            entries, agents, ..
        } = size;
        let _ = writeln!(
            text,
            "| {entries} | {agents} | {} | {} | {} | {grown} |",
            millis(states),
            millis(answers),
            millis(named)
        );
    }
    let _ = writeln!(text);
}

struct Names {
    entries: Vec<String>,
    agents: Vec<String>,
    domains: Vec<String>,
}

impl Names {
    fn new(size: FleetSize) -> Self {
        Self {
            entries: (0..size.entries).map(|n| format!("entry-{n:04}")).collect(),
            agents: (0..size.agents).map(|n| format!("agent-{n:04}")).collect(),
            domains: (0..DOMAINS).map(|n| format!("domain-{n}")).collect(),
        }
    }

    fn nodes(&self) -> (Vec<Node<'_>>, Vec<Node<'_>>) {
        (self.nodes_of(&self.entries), self.nodes_of(&self.agents))
    }

    fn nodes_of<'a>(&'a self, names: &'a [String]) -> Vec<Node<'a>> {
        let named = names.iter().enumerate();
        named
            .map(|(n, id)| Node {
                id,
                domain: &self.domains[n % DOMAINS],
            })
            .collect()
    }

    /// The live list; the services take the agents in turn.
    fn list(&self, services: usize) -> InstanceList {
        let listed = |role: Role| {
            move |(number, node): (usize, Node<'_>)| Instance {
                id: node.id.to_owned(),
                role,
                domain: node.domain.to_owned(),
                service: match role {
                    Role::Entry => String::new(),
                    Role::Agent => format!("model-{:02}", number % services),
                },
                traffic: address(role, number),
                control: address(role, number),
                leaving: false,
                rank: None,
            }
        };
        let (entries, agents) = self.nodes();
        let entries = entries.into_iter().enumerate().map(listed(Role::Entry));
        let agents = agents.into_iter().enumerate().map(listed(Role::Agent));
        InstanceList {
            instances: entries.chain(agents).collect(),
        }
    }

    fn membership(&self) -> Membership {
        let mut members = Membership::new(MembershipConfig::default());
        let (entries, agents) = self.nodes();
        let all: Vec<Node<'_>> = entries.into_iter().chain(agents).collect();
        let listed = all.iter().map(|node| ListedInstance {
            id: node.id.to_owned(),
            domain: node.domain.to_owned(),
            leaving: false,
        });
        members.record_live_list(&listed.collect::<Vec<_>>());
        for node in &all {
            members.record_heartbeat(&membership::Heartbeat {
                id: node.id.to_owned(),
                domain: node.domain.to_owned(),
                incarnation: 1,
                leaving: false,
                requested_at: Duration::from_millis(900),
            });
        }
        members
    }
}

/// An address of its own for each process.
fn address(role: Role, number: usize) -> SocketAddr {
    let first = match role {
        Role::Entry => 10_000,
        Role::Agent => 20_000,
    };
    let port = u16::try_from(first + number).unwrap_or(u16::MAX);
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn routing_table(text: &mut String) {
    let _ = writeln!(
        text,
        "| candidates of a service | one choice, µs |\n|---|---|"
    );
    for count in CANDIDATES {
        let names: Vec<String> = (0..count).map(|n| format!("agent-{n:04}")).collect();
        let now = Duration::from_secs(10);
        let candidates: Vec<Candidate<'_>> = names.iter().map(|id| candidate(id, now)).collect();
        let facts = RequestFacts {
            prefix: Some(key_hash("a shared beginning")),
            account_hash: key_hash("account"),
            account_share: 0.1,
            account_in_flight_share: 0.1,
            prefill_time: Duration::from_millis(200),
            deadline: now + Duration::from_secs(5),
            tried_servers: &[],
        };
        let config = RoutingConfig::default();
        let choosing = time(|| {
            for draw in 0..100 {
                let _ = black_box(routing::choose_backend(
                    &config,
                    &candidates,
                    &facts,
                    now,
                    [draw, 7],
                ));
            }
        });
        let _ = writeln!(
            text,
            "| {count} | {:.1} |",
            choosing.as_secs_f64() * 1e6 / 100.0
        );
    }
    let _ = writeln!(text);
}

fn candidate(id: &str, now: Duration) -> Candidate<'_> {
    Candidate {
        id,
        domain: "domain-0",
        state: MemberState::Live,
        one_way_delay: Duration::from_micros(1_500),
        report: Some(routing::LoadReport {
            in_flight: 20,
            queued: 2,
            limit: 64,
            service: Duration::from_millis(900),
            at: now - Duration::from_millis(300),
        }),
        local_requests_since_report: 1,
        prefix_hit_probability: 0.0,
        closed_until: Duration::ZERO,
    }
}

fn configuration_table(text: &mut String) {
    let _ = writeln!(
        text,
        "| accounts | publication, KB | manifest, KB | largest document, KB | parsing, ms | \
         in memory, KB |\n|---|---|---|---|---|---|"
    );
    for count in ACCOUNTS {
        let Ok(bundle) = bundle(count) else { continue };
        let total: usize = bundle.documents.values().map(String::len).sum();
        let largest = bundle
            .documents
            .values()
            .map(String::len)
            .max()
            .unwrap_or(0);
        let manifest = bundle.manifest.len();
        let bundle = Arc::new(bundle);
        let before = resident();
        let held = Published::parse(1, Arc::clone(&bundle));
        let grown = resident().saturating_sub(before) / 1024;
        let parsing = time(|| {
            let _ = black_box(Published::parse(1, Arc::clone(&bundle)));
        });
        let _ = writeln!(
            text,
            "| {count} | {:.1} | {:.1} | {:.1} | {} | {grown} |",
            kilobytes(total + manifest),
            kilobytes(manifest),
            kilobytes(largest),
            millis(parsing)
        );
        drop(held);
    }
}

/// A publication of 28 services and so many accounts.
fn bundle(accounts: usize) -> anyhow::Result<Bundle> {
    let publication = Publication::default();
    let mut bundle = Bundle::default();
    let fleet = FleetDocument {
        accounts: Default::default(),
        ..publication.fleet
    };
    let mut manifest = Manifest {
        format: FORMAT,
        ..Manifest::default()
    };
    manifest.fleet = add(&mut bundle, serde_json::to_string(&fleet)?);
    for number in 0..28 {
        let Some(model) = publication.services.first() else {
            break;
        };
        let mut service = model.clone();
        service.service = format!("model-{number:02}");
        service.models = vec![format!("model-{number:02}-70b")];
        let digest = add(&mut bundle, serde_json::to_string(&service)?);
        manifest.services.insert(service.service, digest);
    }
    let names: Vec<String> = (0..accounts).map(|n| format!("account-{n:05}")).collect();
    for part in names.chunks(SHARD) {
        let accounts = part.iter().map(|name| {
            let keys = vec![digest_of(name.as_bytes())];
            (name.clone(), Account { weight: 1, keys })
        });
        let shard = AccountsDocument {
            accounts: accounts.collect(),
        };
        let digest = add(&mut bundle, serde_json::to_string(&shard)?);
        manifest.accounts.push(digest);
    }
    bundle.manifest = serde_json::to_string(&manifest)?;
    Ok(bundle)
}

fn add(bundle: &mut Bundle, text: String) -> String {
    let digest = digest_of(text.as_bytes());
    bundle.documents.insert(digest.clone(), text);
    digest
}

/// Middle one of several runs.
fn time(mut call: impl FnMut()) -> Duration {
    let mut runs: Vec<Duration> = (0..RUNS)
        .map(|_| {
            let start = Instant::now();
            call();
            start.elapsed()
        })
        .collect();
    runs.sort();
    runs[RUNS / 2]
}

/// Resident memory of this process, in bytes.
fn resident() -> usize {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text
        .split(' ')
        .nth(1)
        .and_then(|pages| pages.parse::<usize>().ok());
    pages.unwrap_or(0) * 4096
}

fn millis(time: Duration) -> String {
    format!("{:.3}", time.as_secs_f64() * 1e3)
}

fn kilobytes(bytes: usize) -> f64 {
    bytes as f64 / 1024.0
}
