//! Membership of the fleet of entries, spread by gossip.
//!
//! Each entry increments its own heartbeat counter, and periodically sends a few others the
//! counters of all entries that it knows to be alive. A higher counter proves that an entry is
//! alive whichever way it arrived, so each status reaches all entries within a few rounds, while
//! the traffic of one entry does not grow with their number. An entry whose counter has not
//! increased within a timeout counts as silent.
//!
//! Load pattern: hundreds of entries start at once; some are killed, frozen or partitioned and
//! return.

use std::{net::IpAddr, time::Duration};

use jj_utils::{clock::Timestamp, collections::FastMap, common_derives, ids::FailureDomainId};

/// Short number that distinguishes the incarnations of one entry, that is, its successive
/// processes.
pub type IncarnationTag = u32;

/// Number of heartbeats of an incarnation.
pub type HeartbeatCount = u32;

common_derives! {wire:
    /// Lifecycle state of an entry.
    #[derive(Copy, Eq, Hash)]
    pub enum EntryState {
        /// Not ready for requests yet.
        Starting,
        /// Takes requests.
        Ready,
        /// About to stop.
        Leaving,
    }
}

common_derives! {value:
    /// Status of one entry as sent in gossip.
    #[derive(Eq)]
    pub struct MemberStatus {
        /// Address of the entry.
        pub ip: IpAddr,
        /// Incarnation of the entry.
        pub incarnation: IncarnationTag,
        /// Highest known heartbeat count.
        pub heartbeat: HeartbeatCount,
        /// Time since that heartbeat.
        pub heartbeat_age: Duration,
        /// Failure domain of the entry.
        pub domain: FailureDomainId,
        /// Lifecycle state of the entry.
        pub state: EntryState,
    }
}

common_derives! {value:
    /// Fan-out and timeouts of gossip.
    pub struct GossipConfig {
        /// Number of entries up to which each sends to all others.
        pub full_mesh_entries: usize,
        /// Entries of its own failure domain that an entry of a larger fleet sends to in each
        /// round.
        pub same_domain_fanout: usize,
        /// In a larger fleet: number of rounds in which an entry sends once to an entry of another
        /// failure domain and once to a silent one.
        pub rounds_per_other_domain_target: u32,
        /// Time without a heartbeat after which an entry counts as silent, in a full mesh.
        pub full_mesh_failure_timeout: Duration,
        /// The same timeout in a larger fleet.
        pub failure_timeout: Duration,
        /// Time by which the heartbeat of another incarnation must be later than the last one known
        /// to be accepted from an entry other than the one that sent it.
        pub replacement_timeout: Duration,
        /// Time without a heartbeat after which an entry is removed.
        pub removal_timeout: Duration,
    }
}

impl Default for GossipConfig {
    fn default() -> Self {
        Self {
            full_mesh_entries: 12,
            same_domain_fanout: 2,
            rounds_per_other_domain_target: 3,
            full_mesh_failure_timeout: Duration::from_millis(1_200),
            failure_timeout: Duration::from_millis(1_800),
            replacement_timeout: Duration::from_millis(600),
            removal_timeout: Duration::from_secs(30),
        }
    }
}

/// Another entry, with its last known status.
#[derive(Debug, Clone)]
pub struct Member {
    /// Last status received.
    pub status: MemberStatus,
    /// Time of its last heartbeat, as reported by any entry.
    pub last_heartbeat: Timestamp,
    /// Whether `take_newly_silent` has returned it since that heartbeat.
    is_reported_silent: bool,
}

impl Member {
    fn new(status: MemberStatus, last_heartbeat: Timestamp) -> Self {
        Self {
            status,
            last_heartbeat,
            is_reported_silent: false,
        }
    }
}

common_derives! {copy:
    /// Change of the status of an entry.
    pub enum MemberChange {
        /// The entry is new, or has restarted.
        Joined(IpAddr),
        /// The entry has another lifecycle state.
        StateChanged(IpAddr),
        /// The entry has sent no heartbeat within the timeout.
        Silent(IpAddr),
        /// The entry was silent and has sent a heartbeat.
        Returned(IpAddr),
    }
}

/// Membership view of one entry.
#[derive(Debug)]
pub struct Gossip {
    config: GossipConfig,
    own: MemberStatus,
    members: FastMap<IpAddr, Member>,
    /// Addresses from the settings at which an entry may run.
    seeds: Vec<IpAddr>,
    round: u32,
    /// Whether the fleet is so small that each entry sends to all others.
    is_full_mesh: bool,
}

impl Gossip {
    /// Returns a view that contains only this entry.
    pub fn new(config: GossipConfig, own: MemberStatus) -> Self {
        Self {
            config,
            own,
            members: FastMap::default(),
            seeds: Vec::new(),
            round: 0,
            is_full_mesh: true,
        }
    }

    /// Returns the address of this entry.
    pub fn ip(&self) -> IpAddr {
        self.own.ip
    }

    /// Returns the failure domain of this entry.
    pub fn domain(&self) -> &FailureDomainId {
        &self.own.domain
    }

    /// Sets the lifecycle state of this entry; returns whether it changed.
    pub fn set_state(&mut self, state: EntryState) -> bool {
        let is_new = self.own.state != state;
        self.own.state = state;
        is_new
    }

    /// Sets the addresses to try beside those learned from gossip.
    pub fn set_seeds(&mut self, seeds: impl Iterator<Item = IpAddr>) {
        self.seeds = seeds.filter(|ip| *ip != self.own.ip).collect();
    }

    /// Starts a gossip round and returns the entries to send to; the caller may add others. `draw`
    /// returns random numbers.
    pub fn begin_round(&mut self, now: Timestamp, mut draw: impl FnMut() -> u64) -> Vec<IpAddr> {
        self.own.heartbeat += 1;
        self.round += 1;
        let removal_timeout = self.config.removal_timeout;
        self.members
            .retain(|_, it| it.last_heartbeat + removal_timeout >= now);
        self.update_full_mesh(now);
        let mut targets = match self.is_full_mesh {
            true => self.members.keys().copied().collect(),
            false => self.pick_targets(now, &mut draw),
        };
        // Silent seeds may belong to a part of the fleet that was partitioned.
        let is_not_alive = |ip: &&IpAddr| !self.is_alive(now, **ip);
        targets.extend(self.seeds.iter().filter(is_not_alive));
        targets.sort_unstable();
        targets.dedup();
        targets
    }

    /// Picks the targets of a round in a large fleet: some of the own domain, and every few rounds
    /// one of another domain and one that is silent; these two in every round if the own domain
    /// has no further entry.
    fn pick_targets(&self, now: Timestamp, draw: &mut impl FnMut() -> u64) -> Vec<IpAddr> {
        let mut same_domain = Vec::new();
        let mut other_domains = Vec::new();
        let mut silent = Vec::new();
        for (ip, member) in &self.members {
            if !self.is_alive(now, *ip) {
                silent.push(*ip);
            } else if member.status.domain == self.own.domain {
                same_domain.push(*ip);
            } else {
                other_domains.push(*ip);
            }
        }
        let mut targets = pick(&mut same_domain, self.config.same_domain_fanout, draw);
        let is_other_domain_round = self
            .round
            .is_multiple_of(self.config.rounds_per_other_domain_target)
            || same_domain.is_empty();
        let other_domain_count = usize::from(is_other_domain_round);
        targets.extend(pick(&mut other_domains, other_domain_count, draw));
        targets.extend(pick(&mut silent, other_domain_count, draw));
        targets
    }

    /// Returns the statuses to send: of this entry and of all that are alive.
    pub fn statuses_to_send(&self, now: Timestamp) -> Vec<MemberStatus> {
        let alive = self.alive_members(now).map(|it| MemberStatus {
            heartbeat_age: now.saturating_sub(it.last_heartbeat),
            ..it.status.clone()
        });
        std::iter::once(self.own.clone()).chain(alive).collect()
    }

    /// Applies received statuses and returns the resulting changes.
    pub fn receive(
        &mut self,
        now: Timestamp,
        from: IpAddr,
        statuses: Vec<MemberStatus>,
    ) -> Vec<MemberChange> {
        let others = statuses.into_iter().filter(|it| it.ip != self.own.ip);
        let others: Vec<MemberStatus> = others.collect();
        let changes: Vec<MemberChange> = others
            .into_iter()
            .filter_map(|it| self.apply_status(now, from, it))
            .collect();
        if !changes.is_empty() {
            self.update_full_mesh(now);
        }
        changes
    }

    /// Updates whether the fleet is small enough for a full mesh.
    fn update_full_mesh(&mut self, now: Timestamp) {
        let timeout = self.config.failure_timeout;
        let recent = self
            .members
            .values()
            .filter(|it| it.last_heartbeat + timeout >= now);
        self.is_full_mesh = recent.count() < self.config.full_mesh_entries;
    }

    /// Applies one received status, and returns the change if there is one.
    fn apply_status(
        &mut self,
        now: Timestamp,
        from: IpAddr,
        status: MemberStatus,
    ) -> Option<MemberChange> {
        let ip = status.ip;
        let last_heartbeat = now.saturating_sub(status.heartbeat_age);
        let Some(known) = self.members.get_mut(&ip) else {
            if last_heartbeat + self.config.failure_timeout < now {
                return None;
            }
            self.members.insert(ip, Member::new(status, last_heartbeat));
            return Some(MemberChange::Joined(ip));
        };
        if known.status.incarnation != status.incarnation {
            let is_accepted = from == ip
                || known.last_heartbeat + self.config.replacement_timeout < last_heartbeat;
            if !is_accepted {
                return None;
            }
            *known = Member::new(status, last_heartbeat);
            return Some(MemberChange::Joined(ip));
        }
        if status.heartbeat <= known.status.heartbeat {
            return None;
        }
        let has_changed = known.status.state != status.state;
        known.last_heartbeat = known.last_heartbeat.max(last_heartbeat);
        known.status = status;
        if known.is_reported_silent && known.last_heartbeat + self.config.failure_timeout >= now {
            known.is_reported_silent = false;
            return Some(MemberChange::Returned(ip));
        }
        has_changed.then_some(MemberChange::StateChanged(ip))
    }

    /// Returns the entries that became silent since the last call.
    pub fn take_newly_silent(&mut self, now: Timestamp) -> Vec<MemberChange> {
        let timeout = self.failure_timeout();
        let members = self.members.iter_mut();
        let silent =
            members.filter(|(_, it)| !it.is_reported_silent && it.last_heartbeat + timeout < now);
        let silent = silent.map(|(ip, member)| {
            member.is_reported_silent = true;
            MemberChange::Silent(*ip)
        });
        silent.collect()
    }

    /// Returns whether the fleet is so small that each entry sends to all others.
    pub fn is_full_mesh(&self) -> bool {
        self.is_full_mesh
    }

    /// Returns the time without a heartbeat after which an entry counts as silent.
    pub fn failure_timeout(&self) -> Duration {
        match self.is_full_mesh {
            true => self.config.full_mesh_failure_timeout,
            false => self.config.failure_timeout,
        }
    }

    /// Returns another entry, alive or not.
    pub fn member(&self, ip: IpAddr) -> Option<&Member> {
        self.members.get(&ip)
    }

    /// Returns the addresses of all other entries that are known, alive or not.
    pub fn known_ips(&self) -> impl ExactSizeIterator<Item = IpAddr> {
        self.members.keys().copied()
    }

    /// Returns whether another entry has sent a heartbeat within the timeout.
    pub fn is_alive(&self, now: Timestamp, ip: IpAddr) -> bool {
        let timeout = self.failure_timeout();
        let member = self.members.get(&ip);
        member.is_some_and(|it| it.last_heartbeat + timeout >= now)
    }

    /// Returns the other entries that have sent a heartbeat within the timeout.
    pub fn alive_members(&self, now: Timestamp) -> impl Iterator<Item = &Member> {
        let timeout = self.failure_timeout();
        let members = self.members.values();
        members.filter(move |it| it.last_heartbeat + timeout >= now)
    }

    /// Returns the live entries of each failure domain that are not leaving, including this one,
    /// sorted by address.
    pub fn staying_by_domain(&self, now: Timestamp) -> FastMap<FailureDomainId, Vec<IpAddr>> {
        let mut domains: FastMap<FailureDomainId, Vec<IpAddr>> = FastMap::default();
        let alive = self.alive_members(now).map(|it| &it.status);
        for status in alive.chain([&self.own]) {
            if status.state != EntryState::Leaving {
                let ips = domains.entry(status.domain.clone()).or_default();
                ips.push(status.ip);
            }
        }
        for ips in domains.values_mut() {
            ips.sort_unstable();
        }
        domains
    }
}

/// Removes up to `count` random items and returns them.
fn pick(from: &mut Vec<IpAddr>, count: usize, draw: &mut impl FnMut() -> u64) -> Vec<IpAddr> {
    let mut picked = Vec::new();
    while picked.len() < count && !from.is_empty() {
        let index = draw() as usize % from.len();
        picked.push(from.swap_remove(index));
    }
    picked
}
