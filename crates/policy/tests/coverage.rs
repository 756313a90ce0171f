//! Coverage of services by entries: complete in a small fleet, bounded and balanced in a large one.

use std::collections::{BTreeMap, BTreeSet};

use googletest::prelude::*;
use jj_policy::{
    addresses::{self, AddressConfig, CoveringEntry},
    coverage::{self, AgentsPerService, Coverage, CoverageConfig},
    membership::MemberState,
    subset::{self, Node},
};

const DOMAINS: [&str; 5] = ["a", "b", "c", "d", "e"];

/// Number of entries that each agent talks to in the naive assignment.
const NAIVE_ENTRIES_PER_AGENT: usize = 16;

#[derive(Clone)]
struct Instance {
    id: String,
    domain: &'static str,
    service: String,
}

#[derive(Clone)]
struct Fleet {
    entries: Vec<Instance>,
    agents: Vec<Instance>,
}

impl Fleet {
    fn new(entries: usize, agents_per_service: &[usize], domains: usize) -> Self {
        let instance = |id: String, number: usize, service: String| Instance {
            id,
            domain: DOMAINS[number % domains],
            service,
        };
        let entries =
            (0..entries).map(|number| instance(format!("entry-{number}"), number, String::new()));
        let services = agents_per_service
            .iter()
            .enumerate()
            .flat_map(|(service, &size)| vec![format!("model-{service}"); size]);
        let agents = services
            .enumerate()
            .map(|(number, service)| instance(format!("agent-{number}"), number, service));
        Self {
            entries: entries.collect(),
            agents: agents.collect(),
        }
    }

    fn nodes(list: &[Instance]) -> Vec<Node<'_>> {
        let node = |i| {
            let Instance { id, domain, .. }: &Instance = i;
            Node { id, domain }
        };
        list.iter().map(node).collect()
    }

    fn services(&self) -> AgentsPerService {
        let mut services = AgentsPerService::new();
        for agent in &self.agents {
            *services.entry(agent.service.clone()).or_default() += 1;
        }
        services
    }

    fn coverage(&self) -> Coverage {
        let config = CoverageConfig::default();
        coverage::assign(&config, &Self::nodes(&self.entries), &self.services())
    }

    /// Returns the agents that each entry talks to.
    fn links(&self) -> BTreeMap<&str, BTreeSet<&str>> {
        let (config, coverage) = (CoverageConfig::default(), self.coverage());
        let agents_of_entry = |(position, entry)| {
            let entry: &Instance = entry;
            let mut linked = BTreeSet::new();
            for service in coverage.services_of(position) {
                let agents = self.agents.iter().filter(|a| a.service == *service);
                let agents: Vec<Instance> = agents.cloned().collect();
                let picked = coverage::pick_agents(
                    &config,
                    &entry.id,
                    self.entries.len(),
                    &Self::nodes(&agents),
                );
                let ids: BTreeSet<String> =
                    picked.into_iter().map(|i| agents[i].id.clone()).collect();
                linked.extend(self.agents.iter().filter(|a| ids.contains(&a.id)));
            }
            let linked = linked.into_iter().map(|agent| agent.id.as_str());
            (entry.id.as_str(), linked.collect())
        };
        self.entries
            .iter()
            .enumerate()
            .map(agents_of_entry)
            .collect()
    }

    /// Returns the links of the naive assignment: each agent picks entries, whatever its service.
    fn naive_links(&self) -> BTreeMap<&str, BTreeSet<&str>> {
        let entries = Self::nodes(&self.entries);
        let mut links: BTreeMap<&str, BTreeSet<&str>> = BTreeMap::new();
        for agent in &self.agents {
            for index in subset::entries_of(&agent.id, &entries, NAIVE_ENTRIES_PER_AGENT) {
                links
                    .entry(entries[index].id)
                    .or_default()
                    .insert(&agent.id);
            }
        }
        links
    }
}

impl PartialEq for Instance {
    fn eq(&self, other: &Self) -> bool {
        self.id == other.id
    }
}

impl Eq for Instance {}

impl PartialOrd for Instance {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Instance {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.id.cmp(&other.id)
    }
}

/// Returns the numbers of agents of 28 services, evenly and unevenly distributed: 650 agents in
/// all. Each service is one model.
fn large_fleet_sizes() -> [Vec<usize>; 2] {
    let even = (0..28).map(|model| if model < 6 { 24 } else { 23 });
    let uneven = [
        120, 90, 70, 55, 45, 36, 30, 25, 22, 19, 17, 15, 13, 12, 11, 10, 9, 8, 8, 7, 6, 5, 4, 4, 3,
        2, 2, 2,
    ];
    [even.collect(), uneven.to_vec()]
}

/// Returns a fleet of 9 entries and 19 agents.
fn small_fleet() -> Fleet {
    Fleet::new(9, &[16, 3], 3)
}

/// Returns the number of services that entries reach through links while the failure domain
/// `failed_domain` is down.
fn count_reachable(
    fleet: &Fleet,
    links: &BTreeMap<&str, BTreeSet<&str>>,
    failed_domain: &str,
) -> usize {
    let mut services = BTreeSet::new();
    for entry in fleet
        .entries
        .iter()
        .filter(|entry| entry.domain != failed_domain)
    {
        let linked = links.get(entry.id.as_str());
        let agents = fleet
            .agents
            .iter()
            .filter(|agent| agent.domain != failed_domain);
        let agents = agents.filter(|a| linked.is_some_and(|ids| ids.contains(a.id.as_str())));
        services.extend(agents.map(|agent| &agent.service));
    }
    services.len()
}

fn max_and_mean(counts: impl Iterator<Item = usize>) -> (usize, f64) {
    let counts: Vec<usize> = counts.collect();
    let max = counts.iter().max().copied().unwrap_or(0);
    (
        max,
        counts.iter().sum::<usize>() as f64 / counts.len() as f64,
    )
}

#[gtest]
fn every_entry_of_a_small_fleet_talks_to_every_agent() {
    let fleet = small_fleet();

    let links = fleet.links();

    expect_that!(fleet.coverage().is_full(), eq(true));
    expect_that!(links.values().all(|linked| linked.len() == 19), eq(true));
}

#[gtest]
fn entries_of_a_large_fleet_are_balanced_and_talk_to_no_more_agents_than_their_capacity() {
    for sizes in large_fleet_sizes() {
        let fleet = Fleet::new(390, &sizes, 5);

        let (links, naive) = (fleet.links(), fleet.naive_links());

        let (max, mean) = max_and_mean(links.values().map(BTreeSet::len));
        let (naive_max, naive_mean) = max_and_mean(naive.values().map(BTreeSet::len));
        println!(
            "agents per entry, max and mean: {max}, {mean:.1}; naive: {naive_max}, {naive_mean:.1}"
        );
        expect_that!(max, le(CoverageConfig::default().agent_capacity));
        expect_that!(max as f64, le(1.3 * mean));
        expect_that!(naive_max as f64, gt(1.3 * naive_mean));
    }
}

#[gtest]
fn every_model_is_reachable_with_one_failure_domain_down() {
    for sizes in large_fleet_sizes() {
        let fleet = Fleet::new(390, &sizes, 5);
        let links = fleet.links();
        let coverage = fleet.coverage();

        for failed_domain in DOMAINS {
            let has_servers = |service: &String| {
                let mut agents = fleet
                    .agents
                    .iter()
                    .filter(|agent| agent.service == *service);
                agents.any(|agent| agent.domain != failed_domain)
            };
            let expected = fleet.services().keys().filter(|s| has_servers(s)).count();
            expect_that!(count_reachable(&fleet, &links, failed_domain), eq(expected));
        }
        let entries_of = |service: &str| {
            let all = 0..fleet.entries.len();
            all.filter(|&entry| coverage.covers(entry, service)).count()
        };
        let services = fleet.services();
        let counts: Vec<usize> = services.keys().map(|name| entries_of(name)).collect();
        println!("entries per service: {counts:?}");
        expect_that!(
            counts.iter().min(),
            some(ge(&CoverageConfig::default().min_entries_per_service))
        );
        let mut entries_per_agent: BTreeMap<&str, usize> = BTreeMap::new();
        for agent in links.values().flatten() {
            *entries_per_agent.entry(agent).or_default() += 1;
        }
        let min = entries_per_agent.values().min().copied().unwrap_or(0);
        let max = entries_per_agent.values().max().copied().unwrap_or(0);
        println!("entries per agent: {min} to {max}");
        expect_that!(entries_per_agent.len(), eq(fleet.agents.len()));
        expect_that!(min, ge(2));
    }
}

#[gtest]
fn every_entry_covers_a_service_and_few_naive_entries_reach_all_models() {
    let [even, _] = large_fleet_sizes();
    let fleet = Fleet::new(390, &even, 5);
    let naive = fleet.naive_links();
    let reaches_all = |linked: &BTreeSet<&str>| {
        let agents = fleet
            .agents
            .iter()
            .filter(|a| linked.contains(a.id.as_str()));
        let services: BTreeSet<&String> = agents.map(|agent| &agent.service).collect();
        services.len() == 28
    };

    // In the naive assignment a caller can't know which entries reach a model, so every entry would
    // have to reach all models.
    let naive_reaching_all = naive.values().filter(|linked| reaches_all(linked)).count();
    println!("naive entries that reach all 28 models: {naive_reaching_all} of 390");
    let without_service = fleet
        .links()
        .values()
        .filter(|linked| linked.is_empty())
        .count();
    println!("entries without a service: {without_service}");

    expect_that!(naive_reaching_all, lt(39));
    expect_that!(without_service, eq(0));
}

/// Counts the links that only `after` has, of entries that both fleets have.
fn count_gained_links(before: &Fleet, after: &Fleet) -> usize {
    let (old, new) = (before.links(), after.links());
    let gained = new.iter().map(|(entry, linked)| match old.get(entry) {
        Some(known) => linked.difference(known).count(),
        None => 0,
    });
    gained.sum()
}

#[gtest]
fn removing_an_instance_moves_few_links() {
    for sizes in large_fleet_sizes() {
        let fleet = Fleet::new(390, &sizes, 5);
        let links: usize = fleet.links().values().map(BTreeSet::len).sum();
        let (mut entries, mut agents) = (Vec::new(), Vec::new());
        for number in (0..30).map(|n| n * 13) {
            let mut without = fleet.clone();
            without.entries.remove(number);
            entries.push(count_gained_links(&fleet, &without) as f64 / links as f64);
            let mut without = fleet.clone();
            without.agents.remove(number);
            agents.push(count_gained_links(&fleet, &without) as f64 / links as f64);
        }
        let mean = |shares: &[f64]| shares.iter().sum::<f64>() / shares.len() as f64;
        let max = |shares: &[f64]| shares.iter().copied().fold(0.0, f64::max);
        println!(
            "share of {links} links moved: entry gone {:.4} (max {:.4}), agent gone {:.4} (max {:.4})",
            mean(&entries),
            max(&entries),
            mean(&agents),
            max(&agents)
        );

        expect_that!(mean(&entries), le(0.03));
        expect_that!(mean(&agents), le(0.03));
    }
}

/// Counts the callers for which `answer` returns no entry in the failure domains `d` and `e`, which
/// form one region, that of the caller and of the entry that answers. That entry has received no
/// heartbeats of the entries to choose from.
fn callers_without_local_entry(answer: impl Fn(&[CoveringEntry<'_>], u64) -> Vec<String>) -> usize {
    let [even, _] = large_fleet_sizes();
    let fleet = Fleet::new(390, &even, 5);
    let coverage = fleet.coverage();
    let domain_of = |id: &String| fleet.entries.iter().find(|e| e.id == *id).map(|e| e.domain);
    let mut count = 0;
    for service in fleet.services().keys() {
        let positions = (0..fleet.entries.len()).filter(|&entry| coverage.covers(entry, service));
        let entries = positions.map(|position| CoveringEntry {
            node: Fleet::nodes(&fleet.entries)[position],
            state: MemberState::Unknown,
            is_in_service: true,
        });
        let entries: Vec<CoveringEntry<'_>> = entries.collect();
        for caller in 0..40 {
            let selected = answer(&entries, caller);
            let is_local = |id| matches!(domain_of(id), Some("d" | "e"));
            count += usize::from(!selected.iter().any(is_local));
        }
    }
    count
}

#[gtest]
fn caller_in_a_partitioned_region_gets_an_entry_there() {
    let config = AddressConfig::default();

    let policy = callers_without_local_entry(|entries, caller| {
        addresses::answer_for_service(&config, entries, "e", caller).entries
    });
    let naive = callers_without_local_entry(|entries, caller| {
        let nodes: Vec<Node<'_>> = entries.iter().map(|entry| entry.node).collect();
        let picked = subset::pick(caller, &nodes, config.max_entries);
        picked.into_iter().map(|i| nodes[i].id.to_owned()).collect()
    });
    println!("of 1,120 callers without a local entry: {policy}, naive {naive}");

    expect_that!(policy, eq(0));
    expect_that!(naive, gt(0));
}
