//! Slopes behind docs/CAPACITY.md: what the control state of one process costs as the fleet grows.

use std::{
    fmt::Write,
    hint::black_box,
    sync::Arc,
    time::{Duration, Instant},
};

use jj_operator::{
    documents::{Account, AccountsDocument, FleetDocument, Manifest},
    published::{Bundle, FORMAT, Published, digest_of},
};
use jj_peer::control::{Heartbeat, LoadReport};
use jj_policy::{
    addresses::{self, AddressConfig},
    membership::{self, Listed, MemberState, Membership, MembershipConfig},
    rendezvous::key_hash,
    routing::{self, Candidate, RequestFacts, RoutingConfig},
    subset::{self, Node},
};

use crate::publication::Publication;

/// Fleets measured: entries and agents; the last is the size to come.
const FLEETS: [FleetSize; 4] = [
    FleetSize {
        entries: 6,
        agents: 19,
    },
    FleetSize {
        entries: 24,
        agents: 40,
    },
    FleetSize {
        entries: 96,
        agents: 160,
    },
    FleetSize {
        entries: 390,
        agents: 650,
    },
];

/// Client accounts measured; the last is the size to come.
const ACCOUNTS: [usize; 4] = [10, 500, 2_000, 8_100];

/// Candidates of one service measured.
const CANDIDATES: [usize; 4] = [4, 16, 64, 256];

/// Accounts in one document.
const SHARD: usize = 256;

/// Failure domains.
const DOMAINS: usize = 5;

/// Entries that each agent talks to.
const ENTRIES_PER_AGENT: usize = 16;

/// Runs of each timed call; the middle one counts.
const RUNS: usize = 9;

/// Bytes of the headers of one UDP datagram over IPv4.
const UDP_HEADERS: usize = 28;

#[derive(Clone, Copy)]
struct FleetSize {
    entries: usize,
    agents: usize,
}

/// Markdown tables of all slopes.
pub fn run(_seed: u64) -> String {
    let mut text = String::new();
    heartbeat_table(&mut text);
    fleet_table(&mut text);
    routing_table(&mut text);
    configuration_table(&mut text);
    text
}

fn heartbeat_table(text: &mut String) {
    let beat = heartbeat();
    let datagram = jj_node::heartbeats::datagram_size(&beat) + UDP_HEADERS;
    let json = serde_json::to_string(&beat).map_or(0, |json| json.len());
    let _ = writeln!(text, "| one heartbeat | bytes |\n|---|---|");
    let _ = writeln!(text, "| UDP datagram with headers | {datagram} |");
    let _ = writeln!(text, "| the same as JSON, without any headers | {json} |\n");
}

fn heartbeat() -> Heartbeat {
    Heartbeat {
        instance: "instance-0123".into(),
        incarnation: 1_796_334_374_138,
        domain: "region-1-domain-2".into(),
        index: 1_000_000,
        platform_age: Some(2_000),
        clock: 86_400_000_000,
        draining: false,
        load: Some(LoadReport {
            limit: 64,
            running: 48,
            waiting: 12,
            latency: 900_000,
            reachable: true,
            leaving: false,
        }),
    }
}

fn fleet_table(text: &mut String) {
    let _ = writeln!(
        text,
        "| entries | agents | agents of an entry, most | choosing peers, ms | states, ms | \
         address answers, ms | membership, KB |\n|---|---|---|---|---|---|---|"
    );
    for size in FLEETS {
        let fleet = Names::new(size);
        let (entries, agents) = fleet.nodes();
        let most = entries
            .iter()
            .take(8)
            .map(|entry| subset::agents_of(entry.id, &agents, &entries, ENTRIES_PER_AGENT).len());
        let most = most.max().unwrap_or(0);
        let own = entries[0].id;
        let choosing = time(|| {
            black_box(subset::agents_of(own, &agents, &entries, ENTRIES_PER_AGENT));
        });
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
                black_box(addresses::answer(&config, &members, &entries, caller, now));
            }
        });
        let FleetSize { entries, agents } = size;
        let _ = writeln!(
            text,
            "| {entries} | {agents} | {most} | {} | {} | {} | {grown} |",
            millis(choosing),
            millis(states),
            millis(answers)
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

    fn membership(&self) -> Membership {
        let mut members = Membership::new(MembershipConfig::default());
        let (entries, agents) = self.nodes();
        let all: Vec<Node<'_>> = entries.into_iter().chain(agents).collect();
        let listed = all.iter().map(|node| Listed {
            id: node.id.to_owned(),
            domain: node.domain.to_owned(),
            leaving: false,
        });
        members.observe_list(&listed.collect::<Vec<_>>());
        for node in &all {
            members.observe_heartbeat(&membership::Heartbeat {
                id: node.id.to_owned(),
                domain: node.domain.to_owned(),
                incarnation: 1,
                leaving: false,
                asked: Duration::from_millis(900),
            });
        }
        members
    }
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
            account: key_hash("account"),
            share: 0.1,
            used: 0.1,
            prefill: Duration::from_millis(200),
            deadline: now + Duration::from_secs(5),
            tried: &[],
        };
        let config = RoutingConfig::default();
        let choosing = time(|| {
            for draw in 0..100 {
                let _ = black_box(routing::choose(
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
        distance: Duration::from_micros(1_500),
        report: Some(routing::LoadReport {
            in_flight: 20,
            queued: 2,
            limit: 64,
            service: Duration::from_millis(900),
            at: now - Duration::from_millis(300),
        }),
        own_since: 1,
        prefix_hit: 0.0,
        not_before: Duration::ZERO,
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
