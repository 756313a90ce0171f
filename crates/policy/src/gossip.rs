//! Which entries of a fleet are alive, as they tell each other.
//!
//! Each entry counts its beats and tells a few others now and then what it knows of the beats of all.
//! A beat that rises is proof of life, whichever way it came, so news of every entry reaches all others
//! within a few rounds, while what one entry sends and receives does not grow with their number. One
//! whose beat has not risen for some time passes for silent.
//!
//! Load pattern: hundreds of entries start at once; some are killed, frozen or cut off and return.

use std::{net::IpAddr, time::Duration};

use jj_utils::{clock::Timestamp, collections::FastMap, common_derives, ids::FailureDomainId};

/// Short number that tells the lives of one process apart.
pub type IncarnationTag = u32;

/// Signs of life that a process has given.
pub type HeartbeatCount = u32;

common_derives! {wire:
    /// Whether an entry takes requests.
    #[derive(Copy, Eq, Hash)]
    pub enum EntryState {
        /// Not yet.
        Starting,
        /// Yes.
        Ready,
        /// It is about to end.
        Leaving,
    }
}

common_derives! {value:
    /// What is told of one entry.
    #[derive(Eq)]
    pub struct MemberStatus {
        /// Its address.
        pub ip: IpAddr,
        /// This life of it.
        pub incarnation: IncarnationTag,
        /// Its last beat that is known.
        pub heartbeat: HeartbeatCount,
        /// Time since that was heard.
        pub heartbeat_age: Duration,
        /// Its failure domain.
        pub domain: FailureDomainId,
        /// Whether it takes requests.
        pub state: EntryState,
    }
}

common_derives! {value:
    /// Tunables of membership.
    pub struct GossipConfig {
        /// Entries up to which each one tells all others.
        pub full_mesh_entries: usize,
        /// Others in its own failure domain that an entry tells in each round of a larger fleet.
        pub same_domain_fanout: usize,
        /// Rounds after which one in another failure domain is told as well.
        pub rounds_per_remote_target: u32,
        /// Silence after which an entry counts as gone, where each one tells all others.
        pub full_mesh_failure_timeout: Duration,
        /// The same in a larger fleet.
        pub failure_timeout: Duration,
        /// Silence after which another life is believed on the word of others.
        pub replacement_timeout: Duration,
        /// Silence after which an entry is forgotten.
        pub removal_timeout: Duration,
    }
}

impl Default for GossipConfig {
    fn default() -> Self {
        Self {
            full_mesh_entries: 12,
            same_domain_fanout: 2,
            rounds_per_remote_target: 3,
            full_mesh_failure_timeout: Duration::from_millis(1_200),
            failure_timeout: Duration::from_millis(1_800),
            replacement_timeout: Duration::from_millis(600),
            removal_timeout: Duration::from_secs(30),
        }
    }
}

/// An entry as it was last heard of.
#[derive(Debug, Clone)]
pub struct Member {
    /// What was told.
    pub status: MemberStatus,
    /// When its last beat was heard by anyone who told.
    pub last_heartbeat: Timestamp,
    /// Whether it was found to be silent since.
    is_silent: bool,
}

impl Member {
    fn new(news: MemberStatus, heard: Timestamp) -> Self {
        Self {
            status: news,
            last_heartbeat: heard,
            is_silent: false,
        }
    }
}

common_derives! {copy:
    /// What has become known of an entry.
    pub enum MemberChange {
        /// It is new, or has started again.
        Joined(IpAddr),
        /// Its standing is another one.
        StateChanged(IpAddr),
        /// It has fallen silent.
        Silent(IpAddr),
        /// It is heard again.
        Returned(IpAddr),
    }
}

/// All that one entry knows of the others.
#[derive(Debug)]
pub struct Gossip {
    config: GossipConfig,
    own: MemberStatus,
    members: FastMap<IpAddr, Member>,
    /// Addresses that may have an entry, from the settings.
    seeds: Vec<IpAddr>,
    round: u32,
    /// Whether the fleet is so small that each entry tells all others.
    is_direct: bool,
}

impl Gossip {
    /// An entry that knows of itself only.
    pub fn new(config: GossipConfig, own: MemberStatus) -> Self {
        Self {
            config,
            own,
            members: FastMap::default(),
            seeds: Vec::new(),
            round: 0,
            is_direct: true,
        }
    }

    /// This entry's own address.
    pub fn ip(&self) -> IpAddr {
        self.own.ip
    }

    /// This entry's failure domain.
    pub fn domain(&self) -> &FailureDomainId {
        &self.own.domain
    }

    /// Sets whether this entry takes requests; true where that is new.
    pub fn set_state(&mut self, standing: EntryState) -> bool {
        let is_new = self.own.state != standing;
        self.own.state = standing;
        is_new
    }

    /// Sets where entries may be that nobody has told of.
    pub fn set_seeds(&mut self, seeds: impl Iterator<Item = IpAddr>) {
        self.seeds = seeds.filter(|ip| *ip != self.own.ip).collect();
    }

    /// Begins a round: the entries to tell, beside those that are told for other reasons. `draw` gives
    /// random numbers.
    pub fn begin_round(&mut self, now: Timestamp, mut draw: impl FnMut() -> u64) -> Vec<IpAddr> {
        self.own.heartbeat += 1;
        self.round += 1;
        let forget = self.config.removal_timeout;
        self.members
            .retain(|_, it| it.last_heartbeat + forget >= now);
        self.measure(now);
        let mut targets = match self.is_direct {
            true => self.members.keys().copied().collect(),
            false => self.some(now, &mut draw),
        };
        // Seeds that are silent may belong to a part of the fleet that was cut off.
        let unheard = |ip: &&IpAddr| !self.is_alive(now, **ip);
        targets.extend(self.seeds.iter().filter(unheard));
        targets.sort_unstable();
        targets.dedup();
        targets
    }

    /// A few others of a large fleet: some near, one far now and then, and one that is silent.
    fn some(&self, now: Timestamp, draw: &mut impl FnMut() -> u64) -> Vec<IpAddr> {
        let mut near = Vec::new();
        let mut far = Vec::new();
        let mut silent = Vec::new();
        for (ip, member) in &self.members {
            if !self.is_alive(now, *ip) {
                silent.push(*ip);
            } else if member.status.domain == self.own.domain {
                near.push(*ip);
            } else {
                far.push(*ip);
            }
        }
        let mut targets = pick(&mut near, self.config.same_domain_fanout, draw);
        let is_far_round = self
            .round
            .is_multiple_of(self.config.rounds_per_remote_target)
            || near.is_empty();
        let far_count = usize::from(is_far_round);
        targets.extend(pick(&mut far, far_count, draw));
        targets.extend(pick(&mut silent, far_count, draw));
        targets
    }

    /// What to tell: this entry itself and all that are alive.
    pub fn statuses_to_send(&self, now: Timestamp) -> Vec<MemberStatus> {
        let alive = self.alive_members(now).map(|it| MemberStatus {
            heartbeat_age: now.saturating_sub(it.last_heartbeat),
            ..it.status.clone()
        });
        std::iter::once(self.own.clone()).chain(alive).collect()
    }

    /// Takes in what an entry has told; what is new of whom.
    pub fn receive(
        &mut self,
        now: Timestamp,
        from: IpAddr,
        news: Vec<MemberStatus>,
    ) -> Vec<MemberChange> {
        let others = news.into_iter().filter(|it| it.ip != self.own.ip);
        let others: Vec<MemberStatus> = others.collect();
        let changes: Vec<MemberChange> = others
            .into_iter()
            .filter_map(|it| self.take_one(now, from, it))
            .collect();
        if !changes.is_empty() {
            self.measure(now);
        }
        changes
    }

    /// Finds out whether the fleet is small.
    fn measure(&mut self, now: Timestamp) {
        let silent = self.config.failure_timeout;
        let recent = self
            .members
            .values()
            .filter(|it| it.last_heartbeat + silent >= now);
        self.is_direct = recent.count() < self.config.full_mesh_entries;
    }

    fn take_one(
        &mut self,
        now: Timestamp,
        from: IpAddr,
        news: MemberStatus,
    ) -> Option<MemberChange> {
        let ip = news.ip;
        let heard = now.saturating_sub(news.heartbeat_age);
        let Some(known) = self.members.get_mut(&ip) else {
            if heard + self.config.failure_timeout < now {
                return None;
            }
            self.members.insert(ip, Member::new(news, heard));
            return Some(MemberChange::Joined(ip));
        };
        if known.status.incarnation != news.incarnation {
            let is_believed =
                from == ip || known.last_heartbeat + self.config.replacement_timeout < heard;
            if !is_believed {
                return None;
            }
            *known = Member::new(news, heard);
            return Some(MemberChange::Joined(ip));
        }
        if news.heartbeat <= known.status.heartbeat {
            return None;
        }
        let has_changed = known.status.state != news.state;
        known.last_heartbeat = known.last_heartbeat.max(heard);
        known.status = news;
        if known.is_silent && known.last_heartbeat + self.config.failure_timeout >= now {
            known.is_silent = false;
            return Some(MemberChange::Returned(ip));
        }
        has_changed.then_some(MemberChange::StateChanged(ip))
    }

    /// Entries that have fallen silent since the last call.
    pub fn take_newly_silent(&mut self, now: Timestamp) -> Vec<MemberChange> {
        let silence = self.failure_timeout();
        let members = self.members.iter_mut();
        let silent = members.filter(|(_, it)| !it.is_silent && it.last_heartbeat + silence < now);
        let silent = silent.map(|(ip, member)| {
            member.is_silent = true;
            MemberChange::Silent(*ip)
        });
        silent.collect()
    }

    /// Whether the fleet is so small that each entry tells all others.
    pub fn is_full_mesh(&self) -> bool {
        self.is_direct
    }

    /// Silence after which an entry counts as gone.
    pub fn failure_timeout(&self) -> Duration {
        match self.is_direct {
            true => self.config.full_mesh_failure_timeout,
            false => self.config.failure_timeout,
        }
    }

    /// One other entry, alive or not.
    pub fn member(&self, ip: IpAddr) -> Option<&Member> {
        self.members.get(&ip)
    }

    /// Whether another entry was heard of lately.
    pub fn is_alive(&self, now: Timestamp, ip: IpAddr) -> bool {
        let silence = self.failure_timeout();
        let member = self.members.get(&ip);
        member.is_some_and(|it| it.last_heartbeat + silence >= now)
    }

    /// The other entries that were heard of lately.
    pub fn alive_members(&self, now: Timestamp) -> impl Iterator<Item = &Member> {
        let silence = self.failure_timeout();
        let members = self.members.values();
        members.filter(move |it| it.last_heartbeat + silence >= now)
    }

    /// All entries of each failure domain that are alive and stay, in the order of their addresses, this
    /// one among them.
    pub fn staying_by_domain(&self, now: Timestamp) -> FastMap<FailureDomainId, Vec<IpAddr>> {
        let mut domains: FastMap<FailureDomainId, Vec<IpAddr>> = FastMap::default();
        let alive = self.alive_members(now).map(|it| &it.status);
        for news in alive.chain([&self.own]) {
            if news.state != EntryState::Leaving {
                let ips = domains.entry(news.domain.clone()).or_default();
                ips.push(news.ip);
            }
        }
        for ips in domains.values_mut() {
            ips.sort_unstable();
        }
        domains
    }
}

/// Removes up to `count` random items and gives them back.
fn pick(from: &mut Vec<IpAddr>, count: usize, draw: &mut impl FnMut() -> u64) -> Vec<IpAddr> {
    let mut picked = Vec::new();
    while picked.len() < count && !from.is_empty() {
        let index = draw() as usize % from.len();
        picked.push(from.swap_remove(index));
    }
    picked
}
