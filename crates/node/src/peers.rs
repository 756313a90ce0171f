//! Whom a process asks by heartbeat, worked out anew when the live list changes.

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

/// Time for which an agent is still asked after its service is not covered any more: callers keep
/// addresses for a while, and other entries may have an older list.
const REMOVED_PEER_POLL_TIME: Duration = Duration::from_secs(30);

common_derives! {value:
    /// A process that this one asks.
    pub struct Peer {
        /// Name of its instance.
        pub id: InstanceId,
        /// Where it is polled.
        pub control: SocketAddr,
        /// When it is asked no more; none for one that was chosen.
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
    /// The services of every listed entry.
    #[derive(Default)]
    pub struct EntryCoverage {
        /// Entries, as the live list names them.
        pub entries: Vec<Instance>,
        /// Services of each of them.
        pub coverage: Coverage,
    }
}

impl EntryCoverage {
    /// Whether an entry covers a service.
    pub fn covers(&self, entry: &str, service: &str) -> bool {
        let position = self.entries.iter().position(|i| i.id == entry);
        position.is_some_and(|position| self.coverage.covers(position, service))
    }
}

/// Who chooses: this process.
pub struct PeerSelector {
    /// Name of the instance.
    pub instance: InstanceId,
    /// Its failure domain.
    pub domain: FailureDomainId,
    /// What runs there.
    pub role: Role,
    /// Entries that are asked only to learn of configuration and partitions.
    pub witnesses: usize,
    /// Tunables of coverage.
    pub coverage: CoverageConfig,
}

/// Whom this process asks.
#[derive(Default)]
pub struct Peers {
    polled: Vec<Peer>,
    /// Entries asked only to learn of configuration and partitions.
    witnesses: Vec<InstanceId>,
    /// Witnesses asked while one of the others is silent.
    spare_witnesses: Vec<Peer>,
    coverage: Arc<EntryCoverage>,
}

impl Peers {
    /// Those to ask now.
    pub fn polled(&self) -> &[Peer] {
        &self.polled
    }

    /// Names of the witnesses that are asked always.
    pub fn witnesses(&self) -> &[InstanceId] {
        &self.witnesses
    }

    /// Witnesses to ask as well while one of the others is silent.
    pub fn spare_witnesses(&self) -> &[Peer] {
        &self.spare_witnesses
    }

    /// Services of every listed entry.
    pub fn coverage(&self) -> Arc<EntryCoverage> {
        Arc::clone(&self.coverage)
    }

    /// Chooses anew from the live list; those given up are asked a while longer.
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

    /// Takes out those that are asked no more.
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
    // A process that the list does not name yet counts itself in, after all others.
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

/// Witnesses that are asked always, and the spare ones.
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

/// Agents that an entry talks to; none for an agent.
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

/// Entries and agents of the list.
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
