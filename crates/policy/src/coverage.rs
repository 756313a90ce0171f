//! Which services each entry covers, and which agents of them it talks to.
//!
//! In a small fleet every entry covers everything. In a larger one each service is covered by a few
//! entries, spread over failure domains, and an entry takes on services only while it has room for
//! their agents: rendezvous hashing with bounded loads (Mirrokni, Thorup and Zadimoghaddam, 2016).
//! Every process works the same assignment out from the live list, so no process assigns it.

use std::collections::BTreeMap;

use jj_utils::{collections::FastMap, common_derives, ids::ServiceId};

use crate::{
    rendezvous::key_hash,
    subset::{self, Node},
};

common_derives! {key:
    /// Tunables of coverage.
    pub struct CoverageConfig {
        /// Entries of a small fleet, each of which covers everything.
        pub full_coverage_max_entries: usize,
        /// Entries that cover a service also where none has room left.
        pub min_entries_per_service: usize,
        /// Entries that each agent hears from at most, on average over its service.
        pub max_entries_per_agent: usize,
        /// Agents that an entry has room for.
        pub agent_capacity: usize,
    }
}

impl Default for CoverageConfig {
    fn default() -> Self {
        Self {
            full_coverage_max_entries: 10,
            min_entries_per_service: 6,
            max_entries_per_agent: 16,
            agent_capacity: 24,
        }
    }
}

/// Agents of each service.
pub type AgentsPerService = BTreeMap<ServiceId, usize>;

common_derives! {value:
    /// The services of every entry, by the entry's position.
    #[derive(Default)]
    pub struct Coverage {
        covered: Vec<Vec<ServiceId>>,
        is_full: bool,
    }
}

impl Coverage {
    /// Whether the entry at this position covers the service.
    pub fn covers(&self, entry: usize, service: &str) -> bool {
        let services = self.services_of(entry);
        self.is_full || services.iter().any(|name| name == service)
    }

    /// Services that the entry at this position covers, in the order in which it took them on.
    pub fn services_of(&self, entry: usize) -> &[ServiceId] {
        self.covered.get(entry).map_or(&[], Vec::as_slice)
    }

    /// Whether every entry covers every service.
    pub fn is_full(&self) -> bool {
        self.is_full
    }
}

/// Assigns services to entries.
///
/// Services take entries in rounds, each by its own ranking, so that the numbers of entries of two
/// services differ by the entries that have no room for the larger one.
pub fn assign(
    config: &CoverageConfig,
    entries: &[Node<'_>],
    services: &AgentsPerService,
) -> Coverage {
    if entries.len() <= config.full_coverage_max_entries {
        let all: Vec<ServiceId> = services.keys().cloned().collect();
        return Coverage {
            covered: vec![all; entries.len()],
            is_full: true,
        };
    }
    let mut queues: Vec<Queue<'_>> = services
        .iter()
        .filter(|(_, agents)| **agents > 0)
        .map(|(service, &agents)| Queue::new(config, service, agents, entries))
        .collect();
    queues.sort_by_key(|queue| key_hash(queue.service));
    let mut room = vec![config.agent_capacity; entries.len()];
    let mut covered = vec![Vec::new(); entries.len()];
    for round in 0..config.max_entries_per_agent {
        for queue in &mut queues {
            for _ in 0..queue.each_round {
                let Some(entry) = queue.next(&room, round < config.min_entries_per_service) else {
                    break;
                };
                room[entry] = room[entry].saturating_sub(queue.load);
                covered[entry].push(queue.service.clone());
            }
        }
    }
    let is_full = covered.iter().all(|taken| taken.len() == queues.len());
    Coverage { covered, is_full }
}

/// Positions in `agents`, all of one service, that an entry talks to; `entries` is the number of
/// all entries.
pub fn pick_agents(
    config: &CoverageConfig,
    entry: &str,
    entries: usize,
    agents: &[Node<'_>],
) -> Vec<usize> {
    if entries <= config.full_coverage_max_entries || agents.len() <= config.agent_capacity {
        return (0..agents.len()).collect();
    }
    subset::pick(key_hash(entry), agents, config.agent_capacity)
}

/// The entries that a service has not taken yet, the best first.
struct Queue<'a> {
    service: &'a ServiceId,
    /// Agents of the service that an entry has to talk to.
    load: usize,
    /// Entries taken in each round; more than one where an entry can't talk to all agents.
    each_round: usize,
    entries: &'a [Node<'a>],
    ranking: Vec<usize>,
    /// Entries taken in each failure domain.
    taken: FastMap<&'a str, usize>,
}

impl<'a> Queue<'a> {
    fn new(
        config: &CoverageConfig,
        service: &'a ServiceId,
        agents: usize,
        entries: &'a [Node<'a>],
    ) -> Self {
        Self {
            service,
            load: agents.min(config.agent_capacity),
            each_round: agents.div_ceil(config.agent_capacity.max(1)),
            entries,
            ranking: subset::pick(key_hash(service), entries, entries.len()),
            taken: FastMap::default(),
        }
    }

    /// Takes the best entry that has room, of the failure domain with the fewest taken; without
    /// one the best of all, where it must have one.
    fn next(&mut self, room: &[usize], must: bool) -> Option<usize> {
        let has_room = |position: &usize| room[self.ranking[*position]] >= self.load;
        let fitting = (0..self.ranking.len()).filter(has_room);
        let position = fitting.min_by_key(|&position| self.taken_beside(position));
        let position = position.or((must && !self.ranking.is_empty()).then_some(0))?;
        let entry = self.ranking.remove(position);
        *self.taken.entry(self.entries[entry].domain).or_default() += 1;
        Some(entry)
    }

    fn taken_beside(&self, position: usize) -> usize {
        let domain = self.entries[self.ranking[position]].domain;
        self.taken.get(domain).copied().unwrap_or(0)
    }
}
