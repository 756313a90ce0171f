//! Assigns services to entries, and picks the agents of these services that an entry talks to.
//!
//! In a small fleet every entry covers every service. In a larger one each service is covered by a
//! few entries, spread over failure domains, and an entry gets services only while it has capacity
//! for their agents: rendezvous hashing with bounded loads (Mirrokni, Thorup and Zadimoghaddam,
//! 2016). Every process computes the same assignment from the live list, without a coordinator.

use std::collections::BTreeMap;

use jj_utils::{collections::FastMap, common_derives, ids::ServiceId};

use crate::{
    rendezvous::key_hash,
    subset::{self, Node},
};

common_derives! {key:
    /// Limits of coverage.
    pub struct CoverageConfig {
        /// Number of entries up to which every entry covers every service.
        pub full_coverage_max_entries: usize,
        /// Minimum number of entries that cover a service, assigned even beyond their capacity.
        pub min_entries_per_service: usize,
        /// Maximum number of entries that talk to an agent, on average over its service.
        pub max_entries_per_agent: usize,
        /// Number of agents that an entry has capacity to talk to.
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

/// Number of agents of each service.
pub type AgentsPerService = BTreeMap<ServiceId, usize>;

common_derives! {value:
    /// Assignment of services to entries.
    #[derive(Default)]
    pub struct Coverage {
        /// Services of each entry, by the entry's position.
        services: Vec<Vec<ServiceId>>,
        is_full: bool,
    }
}

impl Coverage {
    /// Returns whether the entry at this position covers the service.
    pub fn covers(&self, entry: usize, service: &str) -> bool {
        let services = self.services_of(entry);
        self.is_full || services.iter().any(|name| name == service)
    }

    /// Returns the services that the entry at this position covers, in the order of assignment.
    pub fn services_of(&self, entry: usize) -> &[ServiceId] {
        self.services.get(entry).map_or(&[], Vec::as_slice)
    }

    /// Returns whether every entry covers every service.
    pub fn is_full(&self) -> bool {
        self.is_full
    }
}

/// Assigns services to entries.
///
/// In each round, every service gets its best entries by its own ranking. So the numbers of entries
/// of two services differ only by the entries that lack capacity for the larger service.
pub fn assign(
    config: &CoverageConfig,
    entries: &[Node<'_>],
    services: &AgentsPerService,
) -> Coverage {
    if entries.len() <= config.full_coverage_max_entries {
        let all: Vec<ServiceId> = services.keys().cloned().collect();
        return Coverage {
            services: vec![all; entries.len()],
            is_full: true,
        };
    }
    let mut queues: Vec<EntryQueue<'_>> = services
        .iter()
        .filter(|(_, agents)| **agents > 0)
        .map(|(service, &agents)| EntryQueue::new(config, service, agents, entries))
        .collect();
    queues.sort_by_key(|queue| key_hash(queue.service));
    let mut free_capacity = vec![config.agent_capacity; entries.len()];
    let mut assigned = vec![Vec::new(); entries.len()];
    for round in 0..config.max_entries_per_agent {
        for queue in &mut queues {
            for _ in 0..queue.entries_per_round {
                let Some(entry) =
                    queue.next(&free_capacity, round < config.min_entries_per_service)
                else {
                    break;
                };
                free_capacity[entry] = free_capacity[entry].saturating_sub(queue.agents_per_entry);
                assigned[entry].push(queue.service.clone());
            }
        }
    }
    let is_full = assigned
        .iter()
        .all(|services| services.len() == queues.len());
    Coverage {
        services: assigned,
        is_full,
    }
}

/// Returns the positions of the agents that an entry talks to. `agents` are all of one service, and
/// `entries` is the number of entries in the fleet.
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

/// Entries that have not been assigned to a service yet.
struct EntryQueue<'a> {
    service: &'a ServiceId,
    /// Number of the service's agents that an entry has to talk to.
    agents_per_entry: usize,
    /// Entries assigned in each round; more than one if an entry can't talk to all agents.
    entries_per_round: usize,
    entries: &'a [Node<'a>],
    /// Positions of the remaining entries, the best first.
    ranking: Vec<usize>,
    /// Number of entries assigned in each failure domain.
    assigned_per_domain: FastMap<&'a str, usize>,
}

impl<'a> EntryQueue<'a> {
    fn new(
        config: &CoverageConfig,
        service: &'a ServiceId,
        agents: usize,
        entries: &'a [Node<'a>],
    ) -> Self {
        Self {
            service,
            agents_per_entry: agents.min(config.agent_capacity),
            entries_per_round: agents.div_ceil(config.agent_capacity.max(1)),
            entries,
            ranking: subset::pick(key_hash(service), entries, entries.len()),
            assigned_per_domain: FastMap::default(),
        }
    }

    /// Removes and returns the best entry with enough free capacity, from a failure domain with the
    /// fewest assigned entries. If no entry has the capacity, returns the best of all if
    /// `may_exceed_capacity`, else `None`.
    fn next(&mut self, free_capacity: &[usize], may_exceed_capacity: bool) -> Option<usize> {
        let has_capacity =
            |position: &usize| free_capacity[self.ranking[*position]] >= self.agents_per_entry;
        let fitting = (0..self.ranking.len()).filter(has_capacity);
        let position = fitting.min_by_key(|&position| self.assigned_in_domain_of(position));
        let position =
            position.or((may_exceed_capacity && !self.ranking.is_empty()).then_some(0))?;
        let entry = self.ranking.remove(position);
        *self
            .assigned_per_domain
            .entry(self.entries[entry].domain)
            .or_default() += 1;
        Some(entry)
    }

    /// Returns the number of entries assigned in the failure domain of the entry at this position
    /// of the ranking.
    fn assigned_in_domain_of(&self, position: usize) -> usize {
        let domain = self.entries[self.ranking[position]].domain;
        self.assigned_per_domain.get(domain).copied().unwrap_or(0)
    }
}
