//! Selects the processes that one process polls by heartbeat, from the live list.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use jj_platform::wire::{Instance, InstanceList, Role};
use jj_policy::{
    coverage::{self, AgentsPerService, Coverage, CoverageConfig},
    subset::Node,
    witnesses,
};
use jj_utils::{
    clock::Timestamp,
    common_derives,
    ids::{FailureDomainId, InstanceId},
};

/// How long an agent is still polled after its service is no longer covered: callers cache
/// addresses, and other entries may have an older list.
const REMOVED_PEER_POLL_TIME: Duration = Duration::from_secs(30);

common_derives! {value:
    /// A process that this one polls.
    pub struct Peer {
        /// Instance name.
        pub id: InstanceId,
        /// Control address, to which heartbeats are sent.
        pub control: SocketAddr,
        /// When polling ends; `None` for a selected peer.
        polled_until: Option<Timestamp>,
    }
}

impl Peer {
    fn new(instance: &Instance) -> Self {
        Self {
            id: instance.id.clone(),
            control: instance.control,
            polled_until: None,
        }
    }
}

common_derives! {value:
    /// The services covered by each listed entry.
    #[derive(Default)]
    pub struct EntryCoverage {
        /// Entries of the live list.
        pub entries: Vec<Instance>,
        /// Services of each entry, by its position in `entries`.
        pub coverage: Coverage,
    }
}

impl EntryCoverage {
    /// Returns whether an entry covers a service.
    pub fn covers(&self, entry: &str, service: &str) -> bool {
        let position = self.entries.iter().position(|i| i.id == entry);
        position.is_some_and(|position| self.coverage.covers(position, service))
    }
}

/// Identity and settings of the process that selects its peers.
pub struct PeerSelector {
    /// Instance name.
    pub instance: InstanceId,
    /// Failure domain.
    pub domain: FailureDomainId,
    /// Whether it is an entry or an agent.
    pub role: Role,
    /// Number of entries polled only to detect new configurations and partitions.
    pub witnesses: usize,
    /// Coverage settings.
    pub coverage: CoverageConfig,
}

/// The processes that this one polls.
#[derive(Default)]
pub struct Peers {
    polled: Vec<Peer>,
    /// Entries polled only to detect new configurations and partitions.
    witnesses: Vec<InstanceId>,
    /// Witnesses polled only while a regular witness is silent.
    spare_witnesses: Vec<Peer>,
    coverage: Arc<EntryCoverage>,
}

impl Peers {
    /// Returns the peers to poll.
    pub fn polled(&self) -> &[Peer] {
        &self.polled
    }

    /// Returns the names of the witnesses that are always polled.
    pub fn witnesses(&self) -> &[InstanceId] {
        &self.witnesses
    }

    /// Returns the witnesses to poll additionally while a regular witness is silent.
    pub fn spare_witnesses(&self) -> &[Peer] {
        &self.spare_witnesses
    }

    /// Returns the services covered by each listed entry.
    pub fn coverage(&self) -> Arc<EntryCoverage> {
        Arc::clone(&self.coverage)
    }

    /// Selects peers from the live list; deselected ones are polled for `REMOVED_PEER_POLL_TIME`
    /// longer if still listed.
    pub fn update(&mut self, own: &PeerSelector, list: &InstanceList, now: Timestamp) {
        if own.role == Role::Entry {
            self.coverage = Arc::new(assign_coverage(own, list));
        }
        let (witnesses, spare) = witnesses_of(own, list);
        let agents = agents_of(own, list, &self.coverage);
        let chosen: Vec<&Instance> = witnesses.iter().chain(&agents).copied().collect();
        let is_kept = |peer: &Peer| {
            list.instances.iter().any(|i| i.id == peer.id)
                && !chosen.iter().any(|i| i.id == peer.id)
        };
        let mut polled: Vec<Peer> = self.polled.drain(..).filter(is_kept).collect();
        for peer in &mut polled {
            peer.polled_until
                .get_or_insert(now + REMOVED_PEER_POLL_TIME);
        }
        polled.extend(chosen.into_iter().map(Peer::new));
        self.polled = polled;
        self.witnesses = witnesses.into_iter().map(|it| it.id.clone()).collect();
        self.spare_witnesses = spare.into_iter().map(Peer::new).collect();
    }

    /// Removes and returns the peers whose polling has ended.
    pub fn take_expired(&mut self, now: Timestamp) -> Vec<InstanceId> {
        let is_over = |peer: &mut Peer| peer.polled_until.is_some_and(|until| until <= now);
        let expired = self.polled.extract_if(.., is_over);
        expired.map(|peer| peer.id).collect()
    }
}

fn assign_coverage(own: &PeerSelector, list: &InstanceList) -> EntryCoverage {
    let (entries, agents) = by_role(list);
    let mut services = AgentsPerService::new();
    for agent in agents {
        *services.entry(agent.service.clone()).or_default() += 1;
    }
    let mut nodes = nodes(&entries);
    // A process not yet in the list adds itself after all others.
    if !entries.iter().any(|entry| entry.id == own.instance) {
        nodes.push(Node {
            id: &own.instance,
            domain: &own.domain,
        });
    }
    EntryCoverage {
        coverage: coverage::assign(&own.coverage, &nodes, &services),
        entries: entries.into_iter().cloned().collect(),
    }
}

/// Returns the regular witnesses and the spare ones.
fn witnesses_of<'a>(
    own: &PeerSelector,
    list: &'a InstanceList,
) -> (Vec<&'a Instance>, Vec<&'a Instance>) {
    let (mut entries, _) = by_role(list);
    entries.retain(|entry| entry.id != own.instance);
    let witnesses = witnesses::choose(&own.instance, &nodes(&entries), own.witnesses);
    let named = |positions: Vec<usize>| positions.into_iter().map(|i| entries[i]).collect();
    (named(witnesses.chosen), named(witnesses.spare))
}

/// Returns the agents that an entry uses; empty for an agent.
fn agents_of<'a>(
    own: &PeerSelector,
    list: &'a InstanceList,
    coverage: &EntryCoverage,
) -> Vec<&'a Instance> {
    if own.role == Role::Agent {
        return Vec::new();
    }
    let (entries, agents) = by_role(list);
    let count = entries.len();
    let position = entries.iter().position(|entry| entry.id == own.instance);
    let position = position.unwrap_or(count);
    let mut chosen = Vec::new();
    for service in coverage.coverage.services_of(position) {
        let service_agents = agents.iter().filter(|agent| agent.service == *service);
        let service_agents: Vec<&Instance> = service_agents.copied().collect();
        let picked =
            coverage::pick_agents(&own.coverage, &own.instance, count, &nodes(&service_agents));
        chosen.extend(picked.into_iter().map(|i| service_agents[i]));
    }
    chosen
}

/// Returns the entries and the agents of the list.
fn by_role(list: &InstanceList) -> (Vec<&Instance>, Vec<&Instance>) {
    let instances = list.instances.iter();
    instances.partition(|instance| instance.role == Role::Entry)
}

fn nodes<'a>(instances: &[&'a Instance]) -> Vec<Node<'a>> {
    let node = |instance: &&'a Instance| Node {
        id: &instance.id,
        domain: &instance.domain,
    };
    instances.iter().map(node).collect()
}
